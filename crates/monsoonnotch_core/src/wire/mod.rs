//! Messages between members.
//!
//! A message may be lost, late or doubled; each is safe to handle at any time.
//! Times inside a message are the sender's and come back to it unchanged.

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

/// A batch of the control stream and its offset, passed on by a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Relayed {
    /// The offset on the control stream.
    pub offset: u64,
    /// The batch.
    pub batch: Batch,
}

/// What one member says to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// A member asks its guard to vouch for it.
    Ping {
        /// The sender's clock, in microseconds.
        sent: u64,
        /// The sender's position on the control stream.
        next: u64,
        /// Records that the guard lacks, as far as the sender knows.
        records: Vec<Relayed>,
    },
    /// A guard has not voted against the receiver and will not for a while.
    Promise {
        /// The clock of the ping.
        sent: u64,
        /// The guard's position on the control stream.
        next: u64,
        /// Records that the receiver lacks.
        records: Vec<Relayed>,
    },
    /// The sender's load, for choosing where to forward.
    Summary(Summary),
    /// The sender would run a request on a worker of the receiver.
    #[serde(rename = "SlotAsk")]
    SlotRequest(SlotRequest),
    /// A slot for the sender's request.
    SlotGrant {
        /// The asker's request.
        call: CallKey,
        /// The asker's clock when it asked, in microseconds.
        asked: u64,
        /// The worker.
        vm: Name,
        /// Where it answers, as `ip:port`.
        addr: Name,
    },
    /// No slot for the request.
    #[serde(rename = "SlotNone")]
    SlotDenied {
        /// The asker's request.
        call: CallKey,
        /// Why.
        reason: Reason,
    },
    /// The granted slot is not needed any more.
    SlotReturn {
        /// The asker's request.
        call: CallKey,
        /// The asker's clock when it asked, in microseconds.
        asked: u64,
        /// Whether the request may still run there.
        verdict: Verdict,
    },
    /// May a request that must run at most once be dispatched?
    #[serde(rename = "IntentAsk")]
    IntentRequest {
        /// The asker's request.
        call: CallKey,
        /// The team and the idempotency key.
        key: IdemKey,
        /// Digest of the request, to tell a different one with the same key.
        digest: u64,
    },
    /// The answer of the key's home.
    IntentAnswer {
        /// The asker's request.
        call: CallKey,
        /// The answer.
        answer: IntentAnswer,
    },
    /// What became of a request that was allowed.
    IntentSettle {
        /// The team and the idempotency key.
        key: IdemKey,
        /// The asker's request.
        call: CallKey,
        /// Whether it ran.
        verdict: Verdict,
    },
    /// The home of the key has recorded what became of the request, or knows nothing of it.
    #[serde(rename = "IntentSeen")]
    SettleAck {
        /// The asker's request.
        call: CallKey,
    },
    /// What the home of jobs wants done with their tasks on the receiver's workers.
    TaskOrders {
        /// Counts the sender's messages of this kind; a lower one than seen is too late.
        seq: u64,
        /// The orders.
        orders: Vec<TaskOrder>,
    },
    /// What the receiver's tasks do on the sender's workers.
    #[serde(rename = "TaskNews")]
    TaskUpdates {
        /// The news, one for each task.
        #[serde(rename = "news")]
        updates: Vec<(TaskId, TaskUpdate)>,
    },
    /// The home has recorded what became of these.
    #[serde(rename = "TaskSeen")]
    TaskUpdatesAck {
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// A new home asks what runs of its hash ranges on the receiver's workers.
    #[serde(rename = "TasksOf")]
    ListTasks {
        /// Names the question.
        #[serde(rename = "question")]
        query: u64,
        /// The home's position on the control stream; the receiver answers when it is as far.
        next: u64,
    },
    /// The tasks that run for the receiver on the sender's workers.
    #[serde(rename = "TasksHere")]
    TaskList {
        /// The question.
        #[serde(rename = "question")]
        query: u64,
        /// The tasks that run or are about to.
        tasks: Vec<TaskId>,
        /// Ends that the receiver has not confirmed.
        ended: Vec<(TaskId, TaskUpdate)>,
        /// Workers that have yet to report, so that more may turn up.
        unknown: u32,
    },
    /// A question about a job, passed on to its home.
    #[serde(rename = "JobAsk")]
    JobRequest {
        /// Names the question.
        #[serde(rename = "question")]
        query: u64,
        /// What is asked.
        #[serde(rename = "ask")]
        request: JobRequest,
    },
    /// The answer from the job's home.
    JobAnswer {
        /// The question.
        #[serde(rename = "question")]
        query: u64,
        /// The answer.
        answer: JobAnswer,
    },
}

/// A team's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IdemKey {
    /// The team.
    pub team: Name,
    /// The key that the caller sent.
    pub key: Name,
}

impl IdemKey {
    /// The place in the hash space.
    pub fn hash(&self) -> u64 {
        crate::config::hash64(&format!("{}\n{}", self.team, self.key))
    }
}

/// What the home of an idempotency key answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntentAnswer {
    /// Recorded; dispatch it, once.
    Proceed,
    /// Do not dispatch it.
    Refuse(Reason, Verdict),
}

/// A request that looks for a slot with a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The asker's request.
    pub call: CallKey,
    /// The asker's clock, in microseconds.
    pub asked: u64,
    /// The team, unless the queue is open to all.
    pub team: Option<Name>,
    /// The profile.
    pub profile: Name,
    /// What it takes.
    pub size: Resources,
    /// Longest time from dispatch to the end of the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Importance, 0 to 9.
    pub priority: u8,
    /// How long such requests run, in microseconds, as the asker has seen.
    pub run_us: u64,
    /// How long it has waited, in milliseconds.
    pub waited_ms: u64,
}

/// A member's load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Free slots on workers that it may use now.
    pub free: u32,
    /// Requests and tasks that wait.
    pub waiting: u32,
    /// Price of a slot, in thousandths; rises while more comes than goes.
    pub price: u32,
    /// What teams' work on the sender's workers has cost so far; the teams of which most is new.
    pub used: Vec<(Name, u64)>,
}

/// What a home wants done with tasks on another member's workers.
///
/// The right to start an attempt is sent once; after that a home only asks
/// what became of it. So an attempt that was refused is never started later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOrder {
    /// Start these.
    Start {
        /// The tasks.
        tasks: Vec<TaskId>,
        /// What each of them is.
        spec: TaskSpec,
    },
    /// Keep a slot for each of these and start none yet.
    Reserve {
        /// The tasks.
        tasks: Vec<TaskId>,
        /// What each of them is.
        spec: TaskSpec,
    },
    /// Start these in their reserved slots.
    #[serde(rename = "Go")]
    StartReserved(Vec<TaskId>),
    /// Tell what became of these.
    #[serde(rename = "Check")]
    Query(Vec<TaskId>),
    /// Stop these, or free their reserved slots.
    Stop(Vec<TaskId>),
}

/// What became of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskUpdate {
    /// It runs.
    Running,
    /// A slot is kept for it.
    Reserved,
    /// It runs on a worker that is leaving.
    Leaving,
    /// It could not be placed and did not run.
    NotPlaced(Reason),
    /// It ended well.
    Done,
    /// It ran and failed.
    Failed,
    /// Its lease lapsed, or it was stopped; it runs no more.
    Lost,
}

/// A question about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Accept it; sent to any member that is home of some hash range.
    Submit {
        /// What is asked for, with the team of the submitter's key.
        spec: Spec,
    },
    /// How does it stand?
    Show {
        /// The team that asks; `None` for operators.
        team: Option<Name>,
        /// The job.
        job: JobId,
    },
    /// Stop it.
    Cancel {
        /// The team that asks; `None` for operators.
        team: Option<Name>,
        /// The job.
        job: JobId,
    },
}

/// What is told of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobAnswer {
    /// How it stands.
    Status(crate::job::Status),
    /// It was refused.
    Refused(crate::verdict::Refusal),
}

/// A peer and how to reach it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddr {
    /// The member.
    pub member: MemberId,
    /// Its address, as `ip:port`.
    pub addr: Name,
}
