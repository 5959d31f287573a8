//! Small stand-ins for the platform, for tests and examples.
//!
//! A log service, a list of VMs and workers, each on its own port. They can be
//! told to be slow, dark, lossy or lagging. They are witnesses: a worker
//! records each breach that it sees and prevents none.

pub mod caller;
pub mod load;
pub mod log;
pub mod serve;
pub mod site;
pub mod tap;
pub mod vms;
pub mod worker;

/// The types that users of this crate need.
pub mod prelude {
    pub use crate::caller::Answer;
    pub use crate::caller::call;
    pub use crate::caller::eventually;
    pub use crate::load::Load;
    pub use crate::load::Plan;
    pub use crate::load::Seen;
    pub use crate::log::Faults as LogFaults;
    pub use crate::log::Service as LogService;
    pub use crate::site::Platform;
    pub use crate::site::Process;
    pub use crate::site::Programs;
    pub use crate::site::ready;
    pub use crate::tap::Fault;
    pub use crate::tap::Tap;
    pub use crate::vms::VmDirectory;
    pub use crate::worker::Breach;
    pub use crate::worker::Faults as WorkerFaults;
    pub use crate::worker::Fleet;
    pub use crate::worker::Worker;
}
