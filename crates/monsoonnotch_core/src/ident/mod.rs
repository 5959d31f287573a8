//! Identifiers: names and keys.
//!
//! Operators, the platform and callers choose names, which are text. The
//! scheduler itself assigns keys, which are small `Copy` values.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A name chosen outside the scheduler: of a team, a profile, a VM or a failure domain.
pub type Name = CompactString;

/// One incarnation of an entry process; a process that restarts is a new member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The key of a VM in the arena of one process; never sent to another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VmKey(pub u32);

/// A caller's request, unique within the entry that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallKey(pub u64);

/// Matches an answer of the control thread to the event that requested it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A job; the top bits hold its hash range, which determines its home.
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
    /// Position of the task in the job, from zero.
    pub index: u32,
    /// Number of the attempt, from one; grows with each attempt at the task.
    pub attempt: u32,
}

/// A range of the hash space of jobs and idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeId(pub u16);

/// Number of ranges that the hash space is divided into.
///
/// `RangeId::of` takes the top eight bits of a hash, so this is 2^8.
pub const RANGES: u16 = 256;

impl RangeId {
    /// Returns the range of a 64-bit hash: its top eight bits.
    pub fn of(hash: u64) -> Self {
        Self((hash >> 56) as u16)
    }

    /// Returns the range that a job belongs to.
    pub fn of_job(job: JobId) -> Self {
        Self::of(job.0)
    }

    /// Iterates over all ranges in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..RANGES).map(Self)
    }
}
