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

    /// Returns what log lines say of the unit.
    pub(super) fn describe(self) -> String {
        match self {
            Self::Placements(key) => format!("records=placements part={}", key.number()),
            Self::Progress(key) => format!("records=progress part={}", key.number()),
            Self::Fleet => "records=fleet".to_owned(),
            Self::Speeds => "records=speeds".to_owned(),
            Self::Leases => "records=leases".to_owned(),
            Self::Written => "records=written".to_owned(),
        }
    }
}

/// The changes covered by the append in flight.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) records: Vec<KeyedRecord>,
    pub(super) bytes: usize,
    pub(super) units: Vec<Unit>,
    /// Maximum number of units, while one is sought that the store refuses.
    pub(super) units_max: Option<usize>,
    /// The only unit that is allowed, because the store refused it before.
    pub(super) only: Option<Unit>,
    /// What the records of progress cover.
    pub(super) progress: Vec<StoredProgress>,
    /// VMs with finished runs of these parts.
    pub(super) finished: BTreeMap<PartKey, BTreeSet<VmKey>>,
    /// Parts with records of placements, with the runs that start once these are stored.
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
