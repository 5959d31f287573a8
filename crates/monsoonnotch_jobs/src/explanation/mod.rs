//! Why a job would go where it would go now: the question and the answer of `monsoonctl explain`.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::plan::JobId;
use crate::plan::Plan;

/// What is to be explained.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Subject {
    /// A job that is not submitted.
    Plan {
        /// The name of the queue.
        queue: CompactString,
        /// The account that would submit it; empty if none.
        account: CompactString,
        /// The job.
        plan: Box<Plan>,
    },
    /// A job that was submitted.
    Job(JobId),
}

/// Why a job would go where it would go now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The queue, and the pool of VMs that runs its tasks.
    pub queue: CompactString,
    /// The pool.
    pub pool: CompactString,
    /// The account; empty if none.
    pub account: CompactString,
    /// Priority of the queue; zero goes first.
    pub priority: u32,
    /// Completion objective, in milliseconds.
    pub objective_ms: u64,
    /// Whether the account uses more of the pool than its weight gives it.
    pub above_share: bool,
    /// CPU that the account uses and may use, in thousandths of a core; zero means no limit.
    pub cpu_used_milli: u64,
    /// See `cpu_used_milli`.
    pub cpu_limit_milli: u64,
    /// The steps that could start now.
    pub steps: Vec<WaitingStep>,
}

/// Why the tasks of a step would go where they would go now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingStep {
    /// Index of the step in the plan.
    pub step: u16,
    /// Number of its waiting tasks.
    pub tasks: u32,
    /// Number of them that find room now, before approvals.
    pub fits: u64,
    /// What keeps the step from starting; empty if nothing does.
    pub blocked: CompactString,
    /// Number of waiting stages that go before it.
    pub ahead: usize,
    /// Whether only VMs may be used that an approval service allows.
    pub needs_approval: bool,
    /// VMs of the pool, by why they cannot take a task, or `fits`.
    pub vms: BTreeMap<CompactString, usize>,
    /// The VMs that would be tried first, best first.
    pub first_vms: Vec<CompactString>,
    /// Expected run time of a task on the fastest and on the slowest kind of VM, in milliseconds.
    pub run_ms: [u64; 2],
}
