//! Effects that the scheduler requests and the caller executes.

use std::sync::Arc;

use compact_str::CompactString;
use monsoonnotch_core::ident::VmKey;
use monsoonnotch_core::time::Duration;

use crate::admission::Backlogs;
use crate::explanation::Explanation;
use crate::journal::KeyedRecord;
use crate::plan::StageId;
use crate::plan::TaskId;
use crate::scheduler::RunKey;

/// Identifies a member's slot for requests to the approval service.
///
/// The service processes one request at a time for each member, so each member that
/// can reach it provides one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApprovalSlotKey(pub u64);

/// Identifies a query, so that the reply reaches the member that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryKey {
    /// The link to the member.
    pub link: u64,
    /// The number of the query on that link.
    pub seq: u64,
}

/// Identifies a request to the approval service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApprovalRequestKey(pub u64);

/// Identifies a status poll of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollKey {
    /// The VM that is polled.
    pub vm: VmKey,
    /// The number of the poll among the polls of that VM.
    pub seq: u64,
}

/// The VM that an order is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// The VM's address, as `ip:port`.
    pub addr: CompactString,
    /// The VM's id.
    pub id: CompactString,
    /// The failure domain that the VM is in.
    pub domain: CompactString,
    /// The VM's clock when it was last read, in milliseconds; zero if it was never read. A
    /// response with a lower clock comes from a later incarnation.
    pub min_clock_ms: u64,
    /// Number of restarts of the VM that the leader knows of in its term; decides the order's token,
    /// see [`order_token`](crate::fencing::order_token).
    pub restarts: u32,
}

/// The state of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobState {
    /// No task of the job has started.
    Queued,
    /// A task of the job has started and the job has not ended.
    Active,
    /// All tasks of the job succeeded.
    Completed,
    /// A task of the job failed too often.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// The answer to a caller's query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// The state of the job.
    State(JobState),
    /// The records of the journal before an offset contain no such job.
    NoJob {
        /// The offset of the next record to be read.
        read_to: u64,
    },
    /// The job belongs to another account than the requester's.
    Foreign,
    /// The number of jobs in the queue that have not started.
    Pending(u64),
}

/// An output of the scheduler.
#[derive(Debug)]
pub enum Effect {
    /// Sends a start order to a VM.
    Start {
        /// The run to start.
        run: RunKey,
        /// The VM that executes it.
        to: Target,
        /// The order.
        order: Box<StartOrder>,
    },
    /// Sends an order that stops a run, or prevents its start.
    Stop {
        /// The run to stop.
        run: RunKey,
        /// The VM that the run was sent to.
        to: Target,
        /// The task of the run.
        task: TaskId,
        /// The attempt at the task.
        attempt: u64,
        /// How long to wait for the VM's answer.
        timeout: Duration,
    },
    /// Polls the status of a VM and renews its lease.
    Poll {
        /// The poll.
        key: PollKey,
        /// The VM to poll.
        to: Target,
        /// Highest completion number whose finished run is stored; the VM may forget all
        /// finished runs up to it.
        acknowledged: u64,
        /// End of the requested lease on the VM's clock, in milliseconds; `None` if the
        /// lease is not to be renewed.
        lease_until_ms: Option<u64>,
        /// How long the VM may hold the poll open until a run finishes.
        wait: Duration,
        /// How long to wait for the VM's answer beyond `wait`.
        timeout: Duration,
    },
    /// Sends a request to the approval service: which VMs may run a stage.
    RequestApproval {
        /// The request.
        key: ApprovalRequestKey,
        /// The slot of the member that sends the request.
        slot: ApprovalSlotKey,
        /// The stage that is to run.
        stage: StageId,
        /// Ids of the VMs to approve.
        vms: Vec<CompactString>,
    },
    /// Appends records to the journal under the leader's token.
    Append(Vec<KeyedRecord>),
    /// Replies to a caller's query.
    Reply {
        /// The query.
        key: QueryKey,
        /// The answer.
        answer: Answer,
    },
    /// Replies to an operator's question where a job would go.
    Explained {
        /// The question.
        key: QueryKey,
        /// The answer; `None` if the queue or the job is unknown, or the plan is invalid.
        explanation: Option<Box<Explanation>>,
    },
    /// Replaces what is known to wait in full pools, by which submissions are admitted.
    Backlogs(Box<Backlogs>),
    /// Ends the leader term: another member is the leader.
    StepDown,
    /// Sets a gauge of the metrics.
    Gauge {
        /// The name of the metric.
        name: &'static str,
        /// The value.
        value: f64,
    },
    /// Writes a line to the log.
    Log(LogEntry),
}

/// The content of a start order.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The task to run.
    pub task: TaskId,
    /// The attempt at the task.
    pub attempt: u64,
    /// The plan's `spec`, passed to the task unchanged.
    pub spec: Arc<str>,
    /// When the order expires, on the VM's clock in milliseconds.
    pub expires_ms: u64,
    /// Checkpoint from which the task resumes; empty if it starts from the beginning.
    pub checkpoint: CompactString,
    /// Ticket that proves the approval; empty if none is needed.
    pub ticket: CompactString,
    /// How long to wait for the VM's answer.
    pub timeout: Duration,
}

/// A decision that is written to the log.
#[derive(Debug)]
pub struct LogEntry {
    /// Whether the line is a warning, which has its own limit per second.
    pub is_warning: bool,
    /// The id of the job that the decision is about; zero if it is about no single job.
    pub job: u64,
    /// The name of the decision.
    pub event: &'static str,
    /// The values that the decision is based on.
    pub detail: String,
}
