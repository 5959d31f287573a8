//! Jobs: a number of like tasks that run under a profile.

use serde::Deserialize;
use serde::Serialize;

use crate::ident::JobId;
use crate::ident::Name;
use crate::resource::Resources;

/// What a submitter asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The team that it runs for.
    pub team: Name,
    /// The profile.
    pub profile: Name,
    /// Number of tasks.
    pub count: u32,
    /// What one task takes.
    pub size: Resources,
    /// Importance, 0 to 9.
    pub priority: u8,
    /// Most milliseconds from submission to the last start; zero for no end.
    pub deadline_ms: u64,
    /// Expected run time of a task in milliseconds; a hint.
    pub run_ms: u64,
    /// What the worker is told to run.
    pub command: Name,
}

/// What a worker's holder needs to know of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The team that it runs for.
    pub team: Name,
    /// What it takes.
    pub size: Resources,
    /// Importance, 0 to 9.
    pub priority: u8,
    /// Expected run time in milliseconds; a hint.
    pub run_ms: u64,
    /// What the worker is told to run.
    pub command: Name,
}

/// Where a job stands as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its tasks wait or run.
    Active,
    /// All tasks ended well.
    Done,
    /// Some task failed for good.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// What is told of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The job, in hexadecimal.
    pub id: Name,
    /// What was asked for.
    pub spec: Spec,
    /// Where it stands.
    pub phase: Phase,
    /// Tasks that wait for a place.
    pub waiting: u32,
    /// Tasks that run, as far as is known.
    pub running: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// Tasks that failed for good.
    pub failed: u32,
}

/// What a member's journal says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A request that must run at most once is about to be dispatched.
    Intent {
        /// The team and the idempotency key.
        key: crate::wire::IdemKey,
        /// Digest of the request.
        digest: u64,
    },
    /// What became of it.
    Settled {
        /// The team and the idempotency key.
        key: crate::wire::IdemKey,
        /// Whether it ran.
        verdict: crate::verdict::Verdict,
    },
    /// A job was accepted.
    Job {
        /// The job.
        job: JobId,
        /// What was asked for.
        spec: Spec,
    },
    /// Tasks that ended.
    Progress {
        /// The job.
        job: JobId,
        /// Tasks that ended well.
        done: Vec<u32>,
        /// Tasks that failed for good.
        failed: Vec<u32>,
    },
    /// A job ended.
    Ended {
        /// The job.
        job: JobId,
        /// How.
        phase: Phase,
    },
}
