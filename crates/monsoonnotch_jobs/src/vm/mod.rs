//! What VMs say of themselves.

use compact_str::CompactString;
use monsoonnotch_core::resource::Resources;

use crate::plan::TaskId;

/// A VM's entry in the list of VMs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Registration {
    /// Its id.
    pub id: CompactString,
    /// When this incarnation started, in Unix milliseconds.
    pub started_ms: u64,
    /// Where it takes orders, as `ip:port`.
    pub addr: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// The pool it belongs to.
    pub pool: CompactString,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack among others.
    pub labels: Vec<CompactString>,
    /// Whether it is leaving.
    pub draining: bool,
    /// Least time left until it leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
}

/// A run that a VM lists.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u64,
    /// Saved progress; empty: none.
    pub checkpoint: CompactString,
    /// Percent of its work that is done, or 100 for a lasting task at work.
    pub percent: u64,
    /// Tail latency in milliseconds of a task that serves, else thousandths of a core in use.
    pub latency_or_usage: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// Well.
    Done,
    /// Through its own fault or the VM's.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come.
    GangIncomplete,
}

/// An end that a VM lists.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedRun {
    /// Its number in this incarnation, from one.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u64,
    /// How.
    pub outcome: RunOutcome,
    /// Saved progress; empty: none.
    pub checkpoint: CompactString,
}

/// A VM's answer to a look.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PollAnswer {
    /// When this incarnation started, where the VM says so.
    pub started_ms: Option<u64>,
    /// The VM's clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// Ends that were not forgotten yet.
    pub finished: Vec<FinishedRun>,
    /// Whether more ends wait than an answer holds.
    pub more: bool,
}
