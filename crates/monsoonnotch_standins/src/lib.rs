//! Stand-ins for the platform's services, for tests and examples.
//!
//! There is a log service, a list of VMs, and workers, each on its own port. Faults can be
//! injected into them: they can be slow or unavailable, lose responses, or report outdated state.
//! The workers check invariants but do not enforce them: a worker records each violation and
//! carries on.

pub mod caller;
pub mod connection_count;
pub mod fault_injection;
pub mod load;
pub mod log;
pub mod path;
pub mod serve;
pub mod site;
pub mod vms;
pub mod worker;

/// The types that users of this crate need.
pub mod prelude {
    pub use crate::caller::Connections;
    pub use crate::caller::Response;
    pub use crate::caller::request;
    pub use crate::caller::send_request;
    pub use crate::caller::wait_until;
    pub use crate::fault_injection::Fault;
    pub use crate::fault_injection::FaultProxy;
    pub use crate::load::Load;
    pub use crate::load::Outcomes;
    pub use crate::load::Plan;
    pub use crate::log::Faults as LogFaults;
    pub use crate::log::Service as LogService;
    pub use crate::site::EntryProcess;
    pub use crate::site::Platform;
    pub use crate::site::Programs;
    pub use crate::site::wait_ready;
    pub use crate::vms::VmDirectory;
    pub use crate::worker::Checker;
    pub use crate::worker::Faults as WorkerFaults;
    pub use crate::worker::Violation;
    pub use crate::worker::Worker;
}
