//! What VMs report: their registrations, their runs and the answers to status polls.

use compact_str::CompactString;
use monsoonnotch_core::resource::Resources;

use crate::plan::TaskId;

/// A VM's entry in the VM list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Registration {
    /// The VM's id, which it keeps across incarnations.
    pub id: CompactString,
    /// When the current incarnation started, in Unix milliseconds; identifies the
    /// incarnation.
    pub started_ms: u64,
    /// Address for orders, as `ip:port`.
    pub addr: CompactString,
    /// The failure domain that the VM is in.
    pub domain: CompactString,
    /// The pool that the VM belongs to.
    pub pool: CompactString,
    /// Resources that the VM has in total.
    pub capacity: Resources,
    /// Labels of the VM, among them its kind and its rack.
    pub labels: Vec<CompactString>,
    /// Whether the VM is about to leave and takes no new work.
    pub draining: bool,
    /// Minimum time until the VM leaves, in milliseconds; `None` if no time is announced.
    pub remaining_ms: Option<u64>,
}

/// A run that a VM lists as running.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRun {
    /// The task that runs.
    pub task: TaskId,
    /// The attempt at the task.
    pub attempt: u64,
    /// The latest checkpoint of the task; empty if there is none.
    pub checkpoint: CompactString,
    /// Percentage of the work that is done; 100 for a long-lived task at work.
    pub percent: u64,
    /// Tail latency in milliseconds for a serving task; CPU use in thousandths of a core
    /// for any other.
    pub latency_or_usage: u64,
}

/// The way in which a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RunOutcome {
    /// The run succeeded.
    Done,
    /// The run failed by its own fault or that of the VM.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease under which the run was started expired.
    LeaseExpired,
    /// The run was ended because another task of its gang had ended.
    GangBroken,
    /// The run was ended because the other tasks of its gang had not started in time.
    GangIncomplete,
}

/// A finished run that a VM lists until it is acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedRun {
    /// Completion number: counts the finished runs of this incarnation of the VM, from one.
    pub number: u64,
    /// The task that ran.
    pub task: TaskId,
    /// The attempt at the task.
    pub attempt: u64,
    /// The way in which the run ended.
    pub outcome: RunOutcome,
    /// The last checkpoint of the task; empty if there is none.
    pub checkpoint: CompactString,
}

/// A VM's answer to a status poll.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PollAnswer {
    /// When the incarnation that answers started, in Unix milliseconds; `None` if the VM
    /// does not say.
    pub started_ms: Option<u64>,
    /// The VM's clock, in milliseconds.
    pub clock_ms: u64,
    /// The runs that are running.
    pub running: Vec<RunningRun>,
    /// The finished runs that have not been acknowledged.
    pub finished: Vec<FinishedRun>,
    /// Whether the lists lack runs: more finished runs wait than one answer can list, or an
    /// entry could not be decoded.
    pub more: bool,
}
