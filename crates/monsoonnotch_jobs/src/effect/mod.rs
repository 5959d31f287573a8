//! What the holder wants done.

use std::sync::Arc;

use compact_str::CompactString;
use monsoonnotch_core::ident::VmKey;
use monsoonnotch_core::time::Duration;

use crate::journal::KeyedRecord;
use crate::plan::StageId;
use crate::plan::TaskId;
use crate::scheduler::RunKey;

/// A member that can ask the approval service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApprovalSlotKey(pub u64);

/// Where the answer to a caller goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryKey {
    /// The member's link.
    pub link: u64,
    /// The number of the question on that link.
    pub seq: u64,
}

/// One question to the approval service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApprovalRequestKey(pub u64);

/// One look at a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollKey {
    /// The VM.
    pub vm: VmKey,
    /// The number of the look.
    pub seq: u64,
}

/// Where an order goes.
#[derive(Debug, Clone)]
pub struct Target {
    /// The VM's address, as `ip:port`.
    pub addr: CompactString,
    /// The VM's id.
    pub id: CompactString,
}

/// The state of a job, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobState {
    /// Nothing of it has started.
    Queued,
    /// It is at work.
    Active,
    /// All of it ended well.
    Completed,
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// The answer to a caller's question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// The job's state.
    State(JobState),
    /// There is no such job among the records before an offset of the journal.
    NoJob {
        /// The offset of the next record to be read.
        read_to: u64,
    },
    /// Jobs that have not begun.
    Pending(u64),
}

/// Something to do.
#[derive(Debug)]
pub enum Effect {
    /// Start a run.
    Start {
        /// The run.
        run: RunKey,
        /// The VM.
        to: Target,
        /// The order.
        order: Box<StartOrder>,
    },
    /// Stop a run, or keep it from starting.
    Stop {
        /// The run.
        run: RunKey,
        /// The VM.
        to: Target,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u64,
    },
    /// Look at a VM and renew its lease.
    Poll {
        /// The look.
        key: PollKey,
        /// The VM.
        to: Target,
        /// Ends up to this number may be forgotten.
        acknowledged: u64,
        /// End of the lease on the VM's clock, in milliseconds.
        lease_until_ms: Option<u64>,
        /// How long the VM may wait for an end.
        wait: Duration,
    },
    /// Ask which VMs may run a stage.
    RequestApproval {
        /// The question.
        key: ApprovalRequestKey,
        /// Who asks.
        slot: ApprovalSlotKey,
        /// The stage.
        stage: StageId,
        /// Ids of the VMs.
        vms: Vec<CompactString>,
    },
    /// Store records under the holder's token.
    Append(Vec<KeyedRecord>),
    /// Answer a caller.
    Reply {
        /// Where to.
        key: QueryKey,
        /// The answer.
        answer: Answer,
    },
    /// Somebody else holds the jobs now.
    StepDown,
    /// A line for the log.
    Log(LogEntry),
}

/// A start, as a VM takes it.
#[derive(Debug)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u64,
    /// Passed to the task.
    pub spec: Arc<str>,
    /// When the order is void, on the VM's clock in milliseconds.
    pub expires_ms: u64,
    /// Saved progress to go on from; empty: none.
    pub checkpoint: CompactString,
    /// The approval; empty: none.
    pub ticket: CompactString,
    /// How long an answer is waited for.
    pub timeout: Duration,
}

/// A decision worth a line in the log.
#[derive(Debug)]
pub struct LogEntry {
    /// The job it is about, or zero.
    pub job: u64,
    /// What was decided.
    pub event: &'static str,
    /// What it was decided by.
    pub detail: String,
}
