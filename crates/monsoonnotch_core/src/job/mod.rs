//! Jobs, each a number of identical tasks under one profile, and journal entries.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Lane;
use crate::ident::CallKey;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::resource::Resources;
use crate::verdict::Verdict;
use crate::wire::IdemKey;

/// The specification of a job, as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The team that the job runs for and is charged to.
    pub team: Name,
    /// Name of the profile.
    pub profile: Name,
    /// Number of tasks.
    pub count: u32,
    /// Resources of one task.
    pub size: Resources,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// Maximum time from submission to the last start of a task, in milliseconds; zero for none.
    pub deadline_ms: u64,
    /// Expected run time of a task in milliseconds; a hint.
    pub run_ms: u64,
    /// The command that the worker runs.
    pub command: Name,
}

/// The part of a job's specification that the holder of a worker needs to run a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The team that the task runs for and is charged to.
    pub team: Name,
    /// Resources of the task.
    pub size: Resources,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// Expected run time in milliseconds; a hint.
    pub run_ms: u64,
    /// The command that the worker runs.
    pub command: Name,
}

/// The phase of a job as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Some tasks wait or run.
    Active,
    /// All tasks completed.
    Done,
    /// A task failed and has no attempts left.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// The status of a job, as reported to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The job's identifier, in hexadecimal.
    pub id: Name,
    /// The specification, as submitted.
    pub spec: Spec,
    /// The phase of the job as a whole.
    pub phase: Phase,
    /// Number of tasks that are not placed on a worker.
    pub waiting: u32,
    /// Number of tasks that run, as last reported to the home.
    pub running: u32,
    /// Number of tasks that completed.
    pub done: u32,
    /// Number of tasks that failed and have no attempts left.
    pub failed: u32,
}

/// An entry of a member's journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// The first entry of each append; an append with a number seen before is a duplicate.
    Head {
        /// Number of the append, from one.
        seq: u64,
    },
    /// Records nothing; its confirmation implies that all entries before it are written.
    Mark,
    /// A request that must run at most once is about to be dispatched.
    Intent {
        /// The team and the idempotency key.
        key: IdemKey,
        /// Digest of the request, which detects a different request with the same key.
        digest: u64,
        /// The entry and the call that may dispatch the request.
        by: (MemberId, CallKey),
    },
    /// The outcome of a request whose intent was recorded.
    Settled {
        /// The team and the idempotency key.
        key: IdemKey,
        /// The entry and the call that held the key.
        by: (MemberId, CallKey),
        /// Whether the request ran.
        verdict: Verdict,
    },
    /// A job was accepted, or is rewritten before the platform drops its older record.
    Job(Accepted),
    /// Tasks of a job completed or failed.
    Progress {
        /// The job that the tasks belong to.
        job: JobId,
        /// Indexes of tasks that completed.
        done: Vec<u32>,
        /// Indexes of tasks that failed and have no attempts left.
        failed: Vec<u32>,
    },
    /// A job ended.
    Ended {
        /// The job that ended.
        job: JobId,
        /// The final phase of the job.
        phase: Phase,
    },
}

/// An accepted job, as the journal of its home records it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job's identifier.
    pub job: JobId,
    /// The specification, as submitted.
    pub spec: Spec,
    /// The kind of work that the profile named when the job was submitted.
    pub lane: Lane,
    /// Maximum attempts at one task.
    pub max_attempts: u32,
    /// Number of homes that the job had before this one.
    ///
    /// It is part of each attempt's number, so that attempts of different homes never share one.
    pub generation: u32,
    /// Age of the job when the record was written, in milliseconds.
    pub age_ms: u64,
}
