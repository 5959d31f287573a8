//! Jobs: a number of like tasks that run under a profile.

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
    /// The first entry of each append; one with a number seen before is a repeat.
    Head {
        /// Counts the appends of the journal, from one.
        seq: u64,
    },
    /// Nothing; what follows from it waits until all entries before it are written.
    Mark,
    /// A request that must run at most once is about to be dispatched.
    Intent {
        /// The team and the idempotency key.
        key: IdemKey,
        /// Digest of the request.
        digest: u64,
        /// The entry and the request that may dispatch it.
        by: (MemberId, CallKey),
    },
    /// What became of it.
    Settled {
        /// The team and the idempotency key.
        key: IdemKey,
        /// The entry and the request that had the key.
        by: (MemberId, CallKey),
        /// Whether it ran.
        verdict: Verdict,
    },
    /// A job was accepted, or is written again.
    Job(Accepted),
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

/// A job as its home's journal keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job.
    pub job: JobId,
    /// What was asked for.
    pub spec: Spec,
    /// The kind of work that its profile named on submission.
    pub lane: Lane,
    /// Most attempts at one task.
    pub max_attempts: u32,
    /// Homes that the job had before this one; keeps the numbers of attempts apart.
    pub generation: u32,
    /// Age of the job when this was written, in milliseconds.
    pub age_ms: u64,
}
