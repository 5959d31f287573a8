//! The operators' configuration: queues and client accounts.

use std::collections::BTreeMap;

use compact_str::CompactString;
use monsoonnotch_core::resource::Resources;

/// A configuration in force.
#[derive(Debug, Clone, Default)]
pub struct PublishedConfig {
    /// Its version; later ones are higher.
    pub version: u64,
    /// The queues by name.
    pub queues: BTreeMap<CompactString, Queue>,
    /// The client accounts by name.
    pub accounts: BTreeMap<CompactString, ClientAccount>,
    /// The account of each key.
    pub keys: BTreeMap<CompactString, CompactString>,
}

/// A queue that callers hand jobs to.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// The host that callers name.
    pub host: CompactString,
    /// What a path of the queue begins with.
    pub prefix: CompactString,
    /// The pool of VMs that runs its tasks.
    pub pool: CompactString,
    /// Zero goes first and may preempt others.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub attempts_max: u32,
    /// Time to completion that is good, as a multiple of the longest chain.
    pub slack_factor: f64,
    /// Time to completion that is good, beyond the chain, in milliseconds.
    pub target_ms: u64,
    /// Whether callers need no key.
    pub open: bool,
    /// How VMs are approved for a step; `None` where any VM may run it.
    pub approval: Option<ApprovalTiming>,
}

/// Times of the service that approves VMs for a step.
#[derive(Debug, Clone, Copy, Default)]
pub struct ApprovalTiming {
    /// Time of a call in milliseconds.
    pub call_ms: f64,
    /// Time for each VM named, in milliseconds.
    pub per_vm_ms: f64,
    /// How long an approval holds, in milliseconds.
    pub valid_ms: u64,
}

impl ApprovalTiming {
    /// Time that a call for `n` VMs takes, in milliseconds.
    pub fn time_ms(&self, n: usize) -> f64 {
        self.call_ms + self.per_vm_ms * n as f64
    }
}

/// A client account.
#[derive(Debug, Clone, Default)]
pub struct ClientAccount {
    /// Its share when all is full, and the jobs a second that it is owed.
    pub weight: f64,
    /// What it may have running; zero in a field: any amount.
    pub limit: Resources,
}

impl PublishedConfig {
    /// The queue that a host and path belong to: the longest prefix wins.
    pub fn queue(&self, host: &str, path: &str) -> Option<(&CompactString, &Queue)> {
        let fits = |q: &Queue| q.host == host && path.starts_with(q.prefix.as_str());
        let fitting = self.queues.iter().filter(|(_, q)| fits(q));
        fitting.max_by_key(|(_, q)| q.prefix.len())
    }
}
