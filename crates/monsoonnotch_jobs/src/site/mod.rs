//! The operators' configuration: queues, client accounts and API keys.

use std::collections::BTreeMap;

use compact_str::CompactString;
use monsoonnotch_core::resource::Resources;

/// A configuration that the operators have published.
#[derive(Debug, Clone, Default)]
pub struct PublishedConfig {
    /// The version; a later configuration has a higher one.
    pub version: u64,
    /// The queues by name.
    pub queues: BTreeMap<CompactString, Queue>,
    /// The client accounts by name.
    pub accounts: BTreeMap<CompactString, ClientAccount>,
    /// The name of the account that each API key belongs to.
    pub keys: BTreeMap<CompactString, CompactString>,
}

/// A queue that callers submit jobs to.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// The host name of the queue in requests.
    pub host: CompactString,
    /// The prefix of the queue's request paths.
    pub prefix: CompactString,
    /// The pool of VMs that runs the tasks.
    pub pool: CompactString,
    /// Priority: zero is the highest and may use reserved capacity.
    pub priority: u32,
    /// Number of failed attempts at one task after which its job fails; zero means no
    /// limit. Failures of long-lived tasks do not count.
    pub attempts_max: u32,
    /// Factor of the completion objective, which is the plan's critical path times this
    /// factor, plus `target_ms`.
    pub slack_factor: f64,
    /// Constant part of the completion objective, in milliseconds.
    pub target_ms: u64,
    /// Whether callers may submit without an API key.
    pub open: bool,
    /// Timing of the approval service; `None` if any VM of the pool may run the tasks.
    pub approval: Option<ApprovalTiming>,
}

/// Timing of the service that approves VMs for a stage.
#[derive(Debug, Clone, Copy, Default)]
pub struct ApprovalTiming {
    /// Fixed time of an approval request, in milliseconds.
    pub request_ms: f64,
    /// Additional time for each VM in the request, in milliseconds.
    pub per_vm_ms: f64,
    /// How long an approval stays valid, in milliseconds.
    pub valid_ms: u64,
}

impl ApprovalTiming {
    /// Returns the expected time of a request for `n` VMs, in milliseconds.
    pub fn time_ms(&self, n: usize) -> f64 {
        self.request_ms + self.per_vm_ms * n as f64
    }
}

/// A client account, with its entitled share and its limit.
#[derive(Debug, Clone, Default)]
pub struct ClientAccount {
    /// The entitled share: the jobs per second that it may submit before its further jobs
    /// are scheduled behind those of other accounts; zero or less means no such bound.
    pub weight: f64,
    /// Maximum resources that its running tasks may use; a field that is zero means no
    /// limit.
    pub limit: Resources,
}

impl PublishedConfig {
    /// Returns the name and the queue that a host and path belong to, or `None`. The
    /// longest matching prefix wins.
    pub fn queue(&self, host: &str, path: &str) -> Option<(&CompactString, &Queue)> {
        let matches = |q: &Queue| q.host == host && path.starts_with(q.prefix.as_str());
        let matching = self.queues.iter().filter(|(_, q)| matches(q));
        matching.max_by_key(|(_, q)| q.prefix.len())
    }
}
