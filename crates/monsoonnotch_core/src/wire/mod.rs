//! Messages between members.
//!
//! A message may be lost, delayed or duplicated, so each is safe to handle at
//! any time. A clock reading inside a message is the original sender's and is
//! returned to it unchanged.

use serde::Deserialize;
use serde::Serialize;

use crate::ident::CallKey;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::TaskId;
use crate::job::Spec;
use crate::job::TaskSpec;
use crate::record::Batch;
use crate::resource::Resources;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// A batch of the control stream and its offset, relayed by a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Relayed {
    /// Offset of the batch on the control stream.
    pub offset: u64,
    /// The batch itself.
    pub batch: Batch,
}

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// The sender requests the promise of a guard not to vote against it.
    Ping {
        /// The sender's clock, in microseconds.
        sent: u64,
        /// The sender's position on the control stream.
        next: u64,
        /// Records that the guard lacks, by the position that it last reported.
        records: Vec<Relayed>,
    },
    /// A guard has not voted against the receiver and will not for the promise's validity.
    Promise {
        /// The clock reading of the ping that this answers.
        sent: u64,
        /// The guard's position on the control stream.
        next: u64,
        /// Records that the receiver lacks, by the position in its ping.
        records: Vec<Relayed>,
    },
    /// The sender's load, from which peers choose where to send slot requests.
    Summary(Summary),
    /// The sender requests a slot on a worker of the receiver, for a caller's request.
    #[serde(rename = "SlotAsk")]
    SlotRequest(SlotRequest),
    /// The sender grants a slot.
    SlotGrant {
        /// The requester's call.
        call: CallKey,
        /// The requester's clock when it sent the slot request, in microseconds.
        asked: u64,
        /// Name of the worker that has the slot.
        vm: Name,
        /// Address of the worker, as `ip:port`.
        addr: Name,
    },
    /// The sender denies a slot.
    #[serde(rename = "SlotNone")]
    SlotDenied {
        /// The requester's call.
        call: CallKey,
        /// Why no slot was granted.
        reason: Reason,
    },
    /// The requester returns a granted slot or withdraws its slot request.
    SlotReturn {
        /// The requester's call.
        call: CallKey,
        /// The requester's clock when it sent the slot request, in microseconds.
        asked: u64,
        /// Whether the request may still run in the slot.
        verdict: Verdict,
    },
    /// The sender requests permission from the home of an idempotency key to dispatch a request.
    #[serde(rename = "IntentAsk")]
    IntentRequest {
        /// The requester's call.
        call: CallKey,
        /// The team and the idempotency key.
        key: IdemKey,
        /// Digest of the request, which detects a different request with the same key.
        digest: u64,
    },
    /// The answer of the key's home to an intent request.
    IntentAnswer {
        /// The requester's call.
        call: CallKey,
        /// Whether the request may be dispatched.
        answer: IntentAnswer,
    },
    /// The sender reports the outcome of a request that the key's home allowed.
    IntentSettle {
        /// The team and the idempotency key.
        key: IdemKey,
        /// The requester's call.
        call: CallKey,
        /// Whether the request ran.
        verdict: Verdict,
    },
    /// The home of the key has recorded the outcome of the request, or has no record of the key.
    #[serde(rename = "IntentSeen")]
    SettleAck {
        /// The requester's call.
        call: CallKey,
    },
    /// Orders of a home for its jobs' tasks on the receiver's workers.
    TaskOrders {
        /// Number of the message; one that is not above the last received is ignored.
        seq: u64,
        /// The orders, in order.
        orders: Vec<TaskOrder>,
    },
    /// Updates about tasks on the sender's workers whose home is the receiver.
    #[serde(rename = "TaskNews")]
    TaskUpdates {
        /// At most one update for each task.
        #[serde(rename = "news")]
        updates: Vec<(TaskId, TaskUpdate)>,
    },
    /// The home has recorded that tasks ended.
    #[serde(rename = "TaskSeen")]
    TaskUpdatesAck {
        /// The tasks whose end is recorded.
        tasks: Vec<TaskId>,
    },
    /// A new home requests the tasks of its hash ranges on the receiver's workers.
    #[serde(rename = "TasksOf")]
    ListTasks {
        /// Identifies the query in its answer.
        #[serde(rename = "question")]
        query: u64,
        /// Position on the control stream that the receiver must have read before it answers.
        next: u64,
    },
    /// The tasks on the sender's workers whose home is the receiver.
    #[serde(rename = "TasksHere")]
    TaskList {
        /// Identifier of the query that this answers.
        #[serde(rename = "question")]
        query: u64,
        /// Tasks that run or are being started.
        tasks: Vec<TaskId>,
        /// Ended tasks that the receiver has not acknowledged.
        ended: Vec<(TaskId, TaskUpdate)>,
        /// Number of workers that have not reported, on which further tasks may run.
        unknown: u32,
    },
    /// A request about a job, forwarded to its home.
    #[serde(rename = "JobAsk")]
    JobRequest {
        /// Identifies the request in its answer.
        #[serde(rename = "question")]
        query: u64,
        /// The request itself.
        #[serde(rename = "ask")]
        request: JobRequest,
    },
    /// The answer of the job's home.
    JobAnswer {
        /// Identifier of the request that this answers.
        #[serde(rename = "question")]
        query: u64,
        /// The answer itself.
        answer: JobAnswer,
    },
}

/// An idempotency key of a team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IdemKey {
    /// The team of the caller.
    pub team: Name,
    /// The key, as the caller sent it.
    pub key: Name,
}

impl IdemKey {
    /// Returns the position of the key in the hash space, which determines its home.
    pub fn hash(&self) -> u64 {
        crate::config::hash64(&format!("{}\n{}", self.team, self.key))
    }
}

/// The answer of an idempotency key's home to an intent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntentAnswer {
    /// The intent is recorded; the request may be dispatched once.
    Proceed,
    /// The request must not be dispatched.
    Refuse(Reason, Verdict),
}

/// A request for a slot on a worker of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The requester's call.
    pub call: CallKey,
    /// The requester's clock when it sent the slot request, in microseconds.
    pub asked: u64,
    /// The team that the request runs for; `None` for a request without a team key.
    pub team: Option<Name>,
    /// Name of the profile.
    pub profile: Name,
    /// Resources that the request occupies.
    pub size: Resources,
    /// Maximum time from dispatch to the end of the response, in milliseconds.
    pub timeout_ms: u64,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// Run time in microseconds that the requester expects for the profile.
    pub run_us: u64,
    /// Time since the request arrived at the requester, in milliseconds.
    pub waited_ms: u64,
}

/// A member's load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of free slots on workers that accept work.
    pub free: u32,
    /// Number of requests and tasks that wait.
    pub waiting: u32,
    /// Price of a slot, in thousandths; rises while requests wait longer than the target.
    pub price: u32,
    /// Total cost charged to teams for work on the sender's workers.
    ///
    /// Only the teams whose total changed most since it was last sent are included.
    pub used: Vec<(Name, u64)>,
}

/// An order of a home for tasks on another member's workers.
///
/// A home sends the order to start an attempt only once; afterwards it queries
/// the attempt's state. An attempt that was refused is therefore never started
/// later by a delayed order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOrder {
    /// Start the tasks.
    Start {
        /// The attempts to start.
        tasks: Vec<TaskId>,
        /// The specification of each of the tasks.
        spec: TaskSpec,
    },
    /// Reserve a slot for each task without starting it.
    Reserve {
        /// The attempts to reserve slots for.
        tasks: Vec<TaskId>,
        /// The specification of each of the tasks.
        spec: TaskSpec,
    },
    /// Start the tasks in their reserved slots.
    #[serde(rename = "Go")]
    StartReserved(Vec<TaskId>),
    /// Report the state of the tasks.
    #[serde(rename = "Check")]
    Query(Vec<TaskId>),
    /// Stop the tasks, or free their reserved slots.
    Stop(Vec<TaskId>),
}

/// The state of a task, as reported to its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskUpdate {
    /// The task runs.
    Running,
    /// A slot is reserved for the task.
    Reserved,
    /// The task runs on a worker that is leaving.
    Leaving,
    /// The task could not be placed and did not run.
    NotPlaced(Reason),
    /// The task completed.
    Done,
    /// The task ran and failed.
    Failed,
    /// The task was stopped or its lease expired; it no longer runs.
    Lost,
}

/// A request about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Accept a job; sent to any member that holds a hash range.
    Submit {
        /// The specification, with the team of the submitter's key.
        spec: Spec,
    },
    /// Return the status of a job.
    Show {
        /// The team of the requester; `None` for operators.
        team: Option<Name>,
        /// Identifier of the job.
        job: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// The team of the requester; `None` for operators.
        team: Option<Name>,
        /// Identifier of the job.
        job: JobId,
    },
}

/// The answer to a request about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobAnswer {
    /// The present status of the job.
    Status(crate::job::Status),
    /// The request was refused.
    Refused(crate::verdict::Refusal),
}

/// A peer and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddr {
    /// The peer's member identifier.
    pub member: MemberId,
    /// Address at which the peer accepts messages, as `ip:port`.
    pub addr: Name,
}
