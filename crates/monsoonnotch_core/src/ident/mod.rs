//! Keys and names.
//!
//! Names come from operators, the platform and callers and are text; keys are
//! small `Copy` values made by the system itself.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A name given from outside: a team, a profile, a VM, a failure domain.
pub type Name = CompactString;

/// One run of one entry process; a restarted process is a new member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The arena key of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VmKey(pub u32);

/// One caller's request inside one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallKey(pub u64);

/// Names one question from outside the control thread, to match its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A job; its hash range is in the top bits, so the home follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(s, 16).map(Self)
    }
}

/// One attempt at one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Position in the job, from zero.
    pub index: u32,
    /// Number of the attempt, from one.
    pub attempt: u32,
}

/// A range of the hash space of jobs and idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeId(pub u16);

/// Ranges in the whole hash space; a power of two.
pub const RANGES: u16 = 256;

impl RangeId {
    /// The range of a 64-bit hash: its top eight bits.
    pub fn of(hash: u64) -> Self {
        Self((hash >> 56) as u16)
    }

    /// The range that a job lives in.
    pub fn of_job(job: JobId) -> Self {
        Self::of(job.0)
    }

    /// All ranges in order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..RANGES).map(Self)
    }
}
