//! The changes that one append covers.

use super::PartKey;
use crate::journal::KeyedRecord;
use crate::journal::Outcome;
use crate::journal::RemainingLease;
use crate::scheduler::*;

/// Size in bytes from which no more records are added to an append; well below the
/// limit of the store.
const APPEND_BYTES_MAX: usize = 512 * 1024;
/// Bytes of a record in an append beside its key and value.
const RECORD_OVERHEAD_BYTES: usize = 5;

/// What the store takes or refuses together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Unit {
    /// The placements of a part of a job.
    Placements(PartKey),
    /// The progress of a part of a job.
    Progress(PartKey),
    Fleet,
    Speeds,
    Leases,
    /// Records that are written as they are, tombstones among them.
    Written,
}

impl Unit {
    /// Returns the job that the unit belongs to, if any.
    pub(super) fn job(self) -> Option<JobKey> {
        match self {
            Self::Placements(key) | Self::Progress(key) => Some(key.job),
            Self::Fleet | Self::Speeds | Self::Leases | Self::Written => None,
        }
    }
}

/// The changes covered by the append in flight.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) records: Vec<KeyedRecord>,
    pub(super) bytes: usize,
    pub(super) units: Vec<Unit>,
    /// Maximum number of units, and the only one that is allowed if it is sent again.
    pub(super) units_max: Option<usize>,
    pub(super) only: Option<Unit>,
    /// What the records of progress cover.
    pub(super) progress: Vec<StoredProgress>,
    /// VMs with finished runs of these parts.
    pub(super) finished: BTreeMap<PartKey, BTreeSet<VmKey>>,
    pub(super) planned: BTreeMap<PartKey, Vec<RunKey>>,
    /// The records that are written as they are.
    pub(super) written: Vec<KeyedRecord>,
    /// VMs to acknowledge finished runs to, with the start of the incarnation and the
    /// number of the last run covered.
    pub(super) acknowledgements: Vec<(VmKey, u64, u64)>,
    /// The new fleet, if the append updates the fleet record.
    pub(super) fleet: Option<Vec<CompactString>>,
    /// The new leases, if the append updates the leases record.
    pub(super) leases: Option<Vec<RemainingLease>>,
    pub(super) sent_at: Time,
}

/// What a record of the progress of a part covers.
#[derive(Debug)]
pub(super) struct StoredProgress {
    pub(super) key: PartKey,
    pub(super) id: JobId,
    pub(super) outcome: Option<Outcome>,
    /// Parts that the tombstones beside it delete.
    pub(super) complete: Vec<u64>,
}

impl Batch {
    /// Whether further records may be added.
    pub(super) fn has_room(&self) -> bool {
        self.bytes < APPEND_BYTES_MAX && self.units_max.is_none_or(|max| self.units.len() < max)
    }

    pub(super) fn add(&mut self, unit: Unit, records: Vec<KeyedRecord>) {
        let bytes = |r: &KeyedRecord| RECORD_OVERHEAD_BYTES + r.key.len() + r.value.len();
        self.bytes += records.iter().map(bytes).sum::<usize>();
        self.records.extend(records);
        self.units.push(unit);
    }
}
