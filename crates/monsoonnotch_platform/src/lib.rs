//! Clients of the platform's services: the log, the list of VMs, and the workers.
//!
//! Each operation is one HTTP request with a timeout. The error of a failed operation states
//! whether the operation may have taken effect.

pub mod http_client;
pub mod log;
pub mod vms;
pub mod worker;

/// The types that users of this crate need.
pub mod prelude {
    pub use crate::http_client::Error;
    pub use crate::http_client::HttpClient;
    pub use crate::log::Client as LogClient;
    pub use crate::log::Page;
    pub use crate::vms::Client as VmsClient;
    pub use crate::worker::Client as WorkerClient;
}
