//! The keyed records of the journal.
//!
//! A job has a submission and a cancellation, which the member writes that received the
//! request, and records of its progress and its placements, which the leader writes under
//! its token. Each has its own key, and the store keeps the newest record of each key.
//!
//! Progress and placements of a large job are divided into parts of [`PART_TASKS`] tasks, so that
//! each record fits into the store, whatever becomes of the tasks. A part has rows of its own tasks only,
//! and may be stored without the others. Part 0 has the key that releases without parts used for
//! the whole job.

use compact_str::CompactString;
use compact_str::format_compact;
use monsoonnotch_core::record::decode;
use monsoonnotch_core::record::encode;
use serde::Deserialize;
use serde::Serialize;

use crate::access::Caller;
use crate::plan::JobId;
use crate::plan::Plan;
use crate::plan::parse_job_id;

/// Largest record that the store takes, in bytes, with its key and the length of the key.
pub const RECORD_BYTES_MAX: usize = 262_144;
/// Number of tasks in a part. With all that is stored of a task at its largest, about 2,400 bytes, a
/// part fits into a record.
pub const PART_TASKS: u64 = 100;
/// Number of failed attempts of a task that are stored one by one; earlier ones are counted.
pub const FAILED_KEPT_MAX: usize = 64;
/// Number of crashes under a task that are stored.
pub const CRASHES_KEPT_MAX: usize = 4;
/// Longest checkpoint of a task, in bytes.
pub const CHECKPOINT_BYTES_MAX: usize = 512;

/// Length of a job's id in a key, in bytes.
const JOB_KEY_BYTES: usize = 16;
/// What follows the job's id in the key of its cancellation.
const CANCELLATION_SUFFIX: &str = ".c";
/// What follows the job's id in the keys of its progress.
const PROGRESS_SUFFIX: &str = ".p";
/// What follows the job's id in the keys of its placements.
const PLACEMENTS_SUFFIX: &str = ".r";

/// Key of the record by which a new leader fences the appends of its predecessor.
pub const LEADER_KEY: &str = "holder";

/// A record with its key, as stored. A record with an empty value is a tombstone, which
/// deletes the key.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyedRecord {
    /// The key, which names the job and the kind of the record.
    pub key: CompactString,
    /// The encoded value; empty in a tombstone.
    pub value: Vec<u8>,
}

/// A job as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The name of the queue.
    pub queue: CompactString,
    /// The name of the client account; empty if the queue needs none.
    pub account: CompactString,
    /// The pool of the queue at the time the job was accepted; later changes of the
    /// queue do not move the job.
    pub pool: CompactString,
    /// When the job was accepted, in Unix milliseconds.
    #[serde(rename = "taken_ms")]
    pub accepted_ms: u64,
    /// The steps to run.
    pub plan: Plan,
}

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks succeeded.
    Completed,
    /// A task failed too often.
    Failed,
}

/// The progress of a part of a job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The outcome; `None` until the job has ended.
    pub outcome: Option<Outcome>,
    /// The account of a job that has ended, empty before: the submission, which also names
    /// the account, is deleted then.
    #[serde(default)]
    pub account: CompactString,
    /// The queue of a job that has ended, empty before.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub queue: CompactString,
    /// Whether a task of the job has started.
    pub begun: bool,
    /// All occurrences before this one are complete; `stages` does not list them.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub complete_to: u32,
    /// The stages that have a finished run; empty once the job has ended.
    pub stages: Vec<StageProgress>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// The progress of a stage.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StageProgress {
    /// The occurrence, counted from zero.
    pub occurrence: u32,
    /// The index of the step in the plan, counted from zero.
    pub step: u16,
    /// Whether all tasks of the stage succeeded.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Indexes of the tasks that succeeded; empty if the stage is complete.
    pub done: Vec<u32>,
    /// Indexes of the tasks that failed, each with its last failed attempts, at most
    /// [`FAILED_KEPT_MAX`]; empty if the stage is complete.
    pub failed: Vec<(u32, Vec<u64>)>,
    /// Indexes of the tasks among them with more failed attempts, each with their number and
    /// the last of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_before: Vec<(u32, u64, u64)>,
    /// Indexes of the suspects, each with the attempts under which a VM crashed and the VM's id;
    /// empty if the stage is complete.
    #[serde(default)]
    pub crashes: Vec<(u32, Vec<(u64, CompactString)>)>,
    /// Latest checkpoints by task index, of tasks that have no run and have not succeeded.
    #[serde(rename = "saved")]
    pub checkpoints: Vec<(u32, CompactString)>,
}

/// The placements of a part of a job: the VMs to which the runs that may exist were sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Placements {
    /// Whose job it is; `None` in records of older releases. Callers write the submission, which may be stored
    /// again with another account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Owner>,
    /// The VMs that have a run of the job, or had the last run of a task.
    pub vms: Vec<Placed>,
    /// Occurrence, step and index of each task whose last run does not exist any more.
    #[serde(default)]
    pub unplaced: Vec<(u32, u16, u32)>,
}

/// Whose job it is, as it was accepted first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The name of the client account; empty if the job belongs to none.
    pub account: CompactString,
    /// The name of the queue.
    pub queue: CompactString,
}

/// The runs of a job that were sent to one VM.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// The VM's id.
    pub vm: CompactString,
    /// Occurrence, step, task index and attempt of each run.
    pub runs: Vec<(u32, u16, u32, u64)>,
}

/// Key of the fleet record, which lists the VMs on which a task may run before its
/// placement is stored.
pub const FLEET_KEY: &str = "fleet";

/// Key of the record of the leases that VMs may still have, see [`RemainingLeases`].
pub const LEASES_KEY: &str = "leases";

/// Key of the record of how fast the kinds of VMs are.
pub const SPEEDS_KEY: &str = "speeds";

/// The leases that VMs without an answer may still have. The leader that wrote the record gives
/// them no lease until a record without them is stored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RemainingLeases {
    /// The token of that leader.
    pub token: u64,
    /// The VMs.
    pub vms: Vec<RemainingLease>,
}

/// The leases that one VM may still have.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RemainingLease {
    /// The VM's id.
    pub vm: CompactString,
    /// Its address, as `ip:port`, where another VM shows that this one has ended.
    pub addr: CompactString,
    /// The time until all its leases have expired, in milliseconds from when the record was
    /// written.
    pub ms: u64,
}

/// A decoded record.
#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// A job was submitted.
    Submitted(JobId, Box<Submission>),
    /// A job was cancelled, by this caller if it was unknown whether it might.
    Cancelled(JobId, Option<Caller>),
    /// The progress of a job changed.
    Progressed(JobId, Progress),
    /// The placements of a job changed.
    Placed(JobId, Placements),
    /// Ids of the VMs on which a task may run before its placement is stored.
    Fleet(Vec<CompactString>),
    /// The leases that VMs without an answer may still have.
    Leases(RemainingLeases),
    /// The kinds of VMs with the logarithms of their run time factors.
    Speeds(Vec<(CompactString, f64)>),
    /// A new leader term starts; later records of earlier terms are refused.
    TermStarted {
        /// The token of the new leader.
        token: u64,
    },
    /// The key was deleted.
    Dropped,
}

/// Returns the key under which a submission is stored.
pub fn submission_key(id: JobId) -> CompactString {
    format_compact!("{id}")
}

/// Returns the record of a submission.
pub fn submission_record(id: JobId, submission: &Submission) -> KeyedRecord {
    KeyedRecord {
        key: submission_key(id),
        value: encode(submission),
    }
}

/// Value of the record of a cancellation that is in force whatever its job is.
const CANCELLED: &[u8] = &[1];

/// Returns the record of a cancellation that is in force.
pub fn cancellation_record(id: JobId) -> KeyedRecord {
    KeyedRecord {
        key: cancellation_key(id),
        value: CANCELLED.to_vec(),
    }
}

/// Returns the record of a cancellation that is in force if the caller may cancel the job.
pub fn cancellation_record_of(id: JobId, caller: &Caller) -> KeyedRecord {
    KeyedRecord {
        key: cancellation_key(id),
        value: encode(caller),
    }
}

fn cancellation_key(id: JobId) -> CompactString {
    format_compact!("{id}{CANCELLATION_SUFFIX}")
}

/// Returns the record of a part of a job's progress.
pub fn progress_record(id: JobId, part: u64, progress: &Progress) -> KeyedRecord {
    KeyedRecord {
        key: part_key(id, PROGRESS_SUFFIX, part),
        value: encode(progress),
    }
}

/// Returns the record of a part of a job's placements.
pub fn placements_record(id: JobId, part: u64, placements: &Placements) -> KeyedRecord {
    KeyedRecord {
        key: part_key(id, PLACEMENTS_SUFFIX, part),
        value: encode(placements),
    }
}

fn part_key(id: JobId, suffix: &str, part: u64) -> CompactString {
    match part {
        0 => format_compact!("{id}{suffix}"),
        _ => format_compact!("{id}{suffix}{part}"),
    }
}

/// Returns the part that a suffix of a key names; `None` if it does not begin with `kind`.
fn parse_part(suffix: &str, kind: &str) -> Option<u64> {
    match suffix.strip_prefix(kind)? {
        "" => Some(0),
        number => number.parse().ok(),
    }
}

/// Returns the part of a job's progress or placements that a key names.
pub fn part_of_key(key: &str) -> Option<u64> {
    let (_, suffix) = key.split_at_checked(JOB_KEY_BYTES)?;
    parse_part(suffix, PROGRESS_SUFFIX).or_else(|| parse_part(suffix, PLACEMENTS_SUFFIX))
}

/// Returns tombstones for the progress and the placements of parts of a job.
pub fn part_tombstones<'a>(
    id: JobId,
    parts: impl IntoIterator<Item = &'a u64>,
) -> Vec<KeyedRecord> {
    let suffixes = [PROGRESS_SUFFIX, PLACEMENTS_SUFFIX];
    let keys = parts.into_iter();
    let keys = keys.flat_map(|&part| suffixes.map(|suffix| part_key(id, suffix, part)));
    keys.map(tombstone).collect()
}

/// Returns tombstones for the progress of parts of a job.
pub fn progress_tombstones<'a>(
    id: JobId,
    parts: impl IntoIterator<Item = &'a u64>,
) -> Vec<KeyedRecord> {
    let keys = parts.into_iter();
    let keys = keys.map(|&part| part_key(id, PROGRESS_SUFFIX, part));
    keys.map(tombstone).collect()
}

/// Returns tombstones for the work of a job with records of `parts` and of part 0: its submission, its placements
/// and the progress of the other parts. They are no longer needed once the outcome of the job, which
/// is in part 0, is stored and none of its runs can exist.
pub fn work_tombstones<'a>(
    id: JobId,
    parts: impl IntoIterator<Item = &'a u64>,
) -> Vec<KeyedRecord> {
    let mut tombstones = part_tombstones(id, parts);
    let keys = [submission_key(id), part_key(id, PLACEMENTS_SUFFIX, 0)];
    tombstones.extend(keys.map(tombstone));
    tombstones
}

/// Returns the tombstone for the cancellation of a job.
pub fn cancellation_tombstone(id: JobId) -> KeyedRecord {
    tombstone(cancellation_key(id))
}

fn tombstone(key: CompactString) -> KeyedRecord {
    KeyedRecord {
        key,
        value: Vec::new(),
    }
}

/// Returns the record by which a leader term starts.
pub fn term_record(token: u64) -> KeyedRecord {
    KeyedRecord {
        key: CompactString::const_new(LEADER_KEY),
        value: encode(&token),
    }
}

/// Returns the fleet record for VMs with these ids.
pub fn fleet_record(ids: &[CompactString]) -> KeyedRecord {
    KeyedRecord {
        key: CompactString::const_new(FLEET_KEY),
        value: encode(&ids),
    }
}

/// Returns the record of the leases that VMs may still have.
pub fn leases_record(leases: &RemainingLeases) -> KeyedRecord {
    KeyedRecord {
        key: CompactString::const_new(LEASES_KEY),
        value: encode(leases),
    }
}

/// Returns the record of how fast the kinds of VMs are.
pub fn speeds_record(kinds: &[(CompactString, f64)]) -> KeyedRecord {
    KeyedRecord {
        key: CompactString::const_new(SPEEDS_KEY),
        value: encode(&kinds),
    }
}

/// Returns tombstones for all records of a job with records of `parts` and of part 0.
pub fn job_tombstones<'a>(id: JobId, parts: impl IntoIterator<Item = &'a u64>) -> Vec<KeyedRecord> {
    let mut tombstones = work_tombstones(id, parts);
    tombstones.push(tombstone(part_key(id, PROGRESS_SUFFIX, 0)));
    tombstones.push(cancellation_tombstone(id));
    tombstones
}

/// Returns whether a key is that of progress, of placements, of the fleet, of leases or of speeds,
/// which only the leader writes.
pub fn is_written_by_leader(key: &str) -> bool {
    let of_fleet = [FLEET_KEY, LEASES_KEY, SPEEDS_KEY];
    part_of_key(key).is_some() || of_fleet.contains(&key)
}

/// Decodes a record; returns `None` if the key or the value has an unknown format.
pub fn decode_entry(stored: &KeyedRecord) -> Option<Entry> {
    if stored.key == LEADER_KEY {
        let token = decode(&stored.value)?;
        return Some(Entry::TermStarted { token });
    }
    if stored.key == FLEET_KEY {
        return Some(Entry::Fleet(decode(&stored.value)?));
    }
    if stored.key == LEASES_KEY {
        return Some(Entry::Leases(decode(&stored.value)?));
    }
    if stored.key == SPEEDS_KEY {
        return Some(Entry::Speeds(decode(&stored.value)?));
    }
    let (id, suffix) = stored.key.split_at_checked(JOB_KEY_BYTES)?;
    let id = parse_job_id(id)?;
    if stored.value.is_empty() {
        return Some(Entry::Dropped);
    }
    match suffix {
        "" => Some(Entry::Submitted(id, Box::new(decode(&stored.value)?))),
        CANCELLATION_SUFFIX => Some(Entry::Cancelled(id, decode(&stored.value))),
        _ if parse_part(suffix, PROGRESS_SUFFIX).is_some() => {
            Some(Entry::Progressed(id, decode(&stored.value)?))
        }
        _ if parse_part(suffix, PLACEMENTS_SUFFIX).is_some() => {
            Some(Entry::Placed(id, decode(&stored.value)?))
        }
        _ => None,
    }
}
