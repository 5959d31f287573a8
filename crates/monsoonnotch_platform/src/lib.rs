//! Clients of the platform: its log, its list of VMs, its workers.
//!
//! Each call is one HTTP request with a timeout. A failed call says whether it
//! may have taken effect.

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
