//! Records of the journal: what is stored of a job, each under its own key.
//!
//! A job has up to four keys: what was submitted (written by the member that
//! took it), that it was cancelled (likewise), how far it is, and where its tasks
//! were sent (both written by the holder under its token). The newest record of
//! each key is kept by the store.

use compact_str::CompactString;
use compact_str::format_compact;
use monsoonnotch_core::record::decode;
use monsoonnotch_core::record::encode;
use serde::Deserialize;
use serde::Serialize;

use crate::plan::JobId;
use crate::plan::Plan;
use crate::plan::parse_job_id;

/// Key of the record by which a holder ends its predecessor's writing.
pub const LEADER_KEY: &str = "holder";

/// A record with its key, as the store has it; no value: the key is dropped.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyedRecord {
    /// The key.
    pub key: CompactString,
    /// The value.
    pub value: Vec<u8>,
}

/// What a caller handed in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue.
    pub queue: CompactString,
    /// The client account; empty where the queue needs none.
    pub account: CompactString,
    /// Where the queue sent its tasks when the job was taken.
    pub pool: CompactString,
    /// When it was taken, in Unix milliseconds.
    #[serde(rename = "taken_ms")]
    pub accepted_ms: u64,
    /// The work.
    pub plan: Plan,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks ended well.
    Completed,
    /// A task failed too often.
    Failed,
}

/// How far a job is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// Its account, once it has ended: its submission is dropped then.
    #[serde(default)]
    pub account: CompactString,
    /// Whether a task of it has started.
    pub begun: bool,
    /// The stages of which a task has ended.
    pub stages: Vec<StageProgress>,
}

/// How far a stage is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StageProgress {
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// Whether all its tasks ended well.
    pub whole: bool,
    /// Tasks that ended well, unless all did.
    pub done: Vec<u32>,
    /// Tasks that failed, and the attempts that did.
    pub failed: Vec<(u32, Vec<u64>)>,
    /// Saved progress of tasks that have ended without success.
    #[serde(rename = "saved")]
    pub checkpoints: Vec<(u32, CompactString)>,
}

/// Where the tasks of a job that have not ended well were sent last.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Placements {
    /// The VMs.
    pub vms: Vec<Placed>,
}

/// The tasks of a job that were sent to one VM.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// The VM's id.
    pub vm: CompactString,
    /// Occurrence, step, index and attempt of each.
    pub runs: Vec<(u32, u16, u32, u64)>,
}

/// Key of the record of the fleet: VMs on which a task may run without a stored place.
pub const FLEET_KEY: &str = "fleet";

/// What a stored record says.
#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// A job was handed in.
    Submitted(JobId, Box<Submission>),
    /// A job was cancelled.
    Cancelled(JobId),
    /// How far a job is.
    Progressed(JobId, Progress),
    /// Where tasks of a job were sent.
    Placed(JobId, Placements),
    /// Ids of the VMs on which a task may run without a stored place.
    Fleet(Vec<CompactString>),
    /// A new holder writes from here on.
    TermStarted {
        /// Its token.
        token: u64,
    },
    /// The key was dropped.
    Dropped,
}

/// The key of a submission.
pub fn submission_key(id: JobId) -> CompactString {
    format_compact!("{id}")
}

/// The record of a submission.
pub fn submission_record(id: JobId, submission: &Submission) -> KeyedRecord {
    KeyedRecord {
        key: submission_key(id),
        value: encode(submission),
    }
}

/// The record of a cancelling.
pub fn cancellation_record(id: JobId) -> KeyedRecord {
    KeyedRecord {
        key: format_compact!("{id}.c"),
        value: vec![1],
    }
}

/// The record of a job's progress.
pub fn progress_record(id: JobId, progress: &Progress) -> KeyedRecord {
    KeyedRecord {
        key: format_compact!("{id}.p"),
        value: encode(progress),
    }
}

/// The record of where a job's tasks were sent.
pub fn placements_record(id: JobId, placements: &Placements) -> KeyedRecord {
    KeyedRecord {
        key: format_compact!("{id}.r"),
        value: encode(placements),
    }
}

/// The records that drop what only a job at work needs, once its end is stored
/// and nothing of it runs any more.
pub fn work_tombstones(id: JobId) -> Vec<KeyedRecord> {
    vec![without_value(id, ""), without_value(id, ".r")]
}

fn without_value(id: JobId, suffix: &str) -> KeyedRecord {
    KeyedRecord {
        key: format_compact!("{id}{suffix}"),
        value: Vec::new(),
    }
}

/// The record by which a holder begins.
pub fn term_record(token: u64) -> KeyedRecord {
    KeyedRecord {
        key: CompactString::const_new(LEADER_KEY),
        value: encode(&token),
    }
}

/// The record of the fleet.
pub fn fleet_record(ids: &[CompactString]) -> KeyedRecord {
    KeyedRecord {
        key: CompactString::const_new(FLEET_KEY),
        value: encode(&ids),
    }
}

/// The records that drop what is stored of a job.
pub fn job_tombstones(id: JobId) -> Vec<KeyedRecord> {
    let all = [".p", ".c", ".r", ""];
    all.iter().map(|s| without_value(id, s)).collect()
}

/// Whether a record is written by holders alone, by its key.
pub fn is_written_by_leader(key: &str) -> bool {
    key.ends_with(".p") || key.ends_with(".r") || key == FLEET_KEY
}

/// Reads a stored record; `None` when it is not one of ours.
pub fn decode_entry(stored: &KeyedRecord) -> Option<Entry> {
    if stored.key == LEADER_KEY {
        let token = decode(&stored.value)?;
        return Some(Entry::TermStarted { token });
    }
    if stored.key == FLEET_KEY {
        return Some(Entry::Fleet(decode(&stored.value)?));
    }
    let (id, suffix) = stored.key.split_at_checked(16)?;
    let id = parse_job_id(id)?;
    if stored.value.is_empty() {
        return Some(Entry::Dropped);
    }
    match suffix {
        "" => Some(Entry::Submitted(id, Box::new(decode(&stored.value)?))),
        ".c" => Some(Entry::Cancelled(id)),
        ".p" => Some(Entry::Progressed(id, decode(&stored.value)?)),
        ".r" => Some(Entry::Placed(id, decode(&stored.value)?)),
        _ => None,
    }
}
