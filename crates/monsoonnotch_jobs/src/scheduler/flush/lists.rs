//! The records of the fleet, of the leases of VMs that do not answer, and of the speeds of kinds: lists that
//! are cut to what fits into a record.

use super::batch::Batch;
use super::batch::Unit;
use crate::journal;
use crate::journal::RemainingLease;
use crate::journal::RemainingLeases;
use crate::scheduler::*;

/// Bytes that the list in a record of the fleet, of the leases or of the speeds may take: a record's less
/// its key and what surrounds the list.
const LIST_BYTES_MAX: usize = journal::RECORD_BYTES_MAX - 1_024;
/// Bytes of a VM in the record of the fleet beside its id.
const TEXT_OVERHEAD_BYTES: usize = 5;
/// Bytes of a row of the record of leases beside its texts: the names of its fields, their lengths, a number.
const LEASE_OVERHEAD_BYTES: usize = 40;
/// Bytes of a row of the record of speeds beside its text.
const SPEED_OVERHEAD_BYTES: usize = 16;

/// Pause between two updates of the fleet record.
const FLEET_UPDATE_PAUSE: Duration = Duration::from_millis(200);
/// Shortest pause between two updates of the leases record. Until a VM is in it, a successor would
/// wait in full.
const LEASES_UPDATE_PAUSE: Duration = Duration::from_millis(50);
/// Interval between updates of the leases record while only the remaining times change. A
/// successor waits for up to this much longer.
const LEASES_UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// Shortens a list to what fits into a record; `bytes` is what a row takes.
fn truncate<T>(list: &mut Vec<T>, bytes: impl Fn(&T) -> usize) {
    let mut total = 0;
    let fits = list.iter().take_while(|row| {
        total += bytes(row);
        total <= LIST_BYTES_MAX
    });
    list.truncate(fits.count());
}

impl Scheduler {
    /// Adds the records of the fleet, of the speeds and of the leases if they have changed.
    pub(super) fn add_lists(&mut self, batch: &mut Batch) {
        // A VM may leave the fleet only once all placements on it are stored.
        let mut planned = self.flush.planned.keys();
        let stored = planned.all(|key| self.flush.refuses(key.job));
        if stored
            && self.flush.allows(batch, Unit::Fleet)
            && batch.has_room()
            && let Some(fleet) = self.changed_fleet()
        {
            self.unenroll_others(&fleet);
            batch.add(Unit::Fleet, vec![journal::fleet_record(&fleet)]);
            batch.fleet = Some(fleet);
        }
        if self.flush.allows(batch, Unit::Speeds)
            && batch.has_room()
            && let Some(mut kinds) = self.changed_speeds()
        {
            // Successors learn the speeds of the others anew.
            truncate(&mut kinds, |(name, _)| name.len() + SPEED_OVERHEAD_BYTES);
            batch.add(Unit::Speeds, vec![journal::speeds_record(&kinds)]);
        }
        if self.flush.allows(batch, Unit::Leases)
            && batch.has_room()
            && let Some(leases) = self.changed_leases()
        {
            self.withhold_leases(&leases);
            let record = journal::leases_record(&RemainingLeases {
                token: self.token,
                vms: leases.clone(),
            });
            batch.add(Unit::Leases, vec![record]);
            batch.leases = Some(leases);
        }
    }

    /// Returns the fleet if it differs from the stored one and an update is due.
    fn changed_fleet(&mut self) -> Option<Vec<CompactString>> {
        if self.now < self.flush.next_fleet_at {
            return None;
        }
        let mut fleet = self.fleet();
        let wanted = fleet.len();
        truncate(&mut fleet, |id| id.len() + TEXT_OVERHEAD_BYTES);
        if fleet == self.flush.fleet {
            self.flush.next_fleet_at = self.now + SCAN_INTERVAL;
            return None;
        }
        self.flush.next_fleet_at = self.now + FLEET_UPDATE_PAUSE;
        if fleet.len() < wanted {
            let detail = format!("vms={wanted} fit={}", fleet.len());
            self.warn(0, "fleet too large", detail);
        }
        Some(fleet)
    }

    /// Returns the leases that VMs may still have if a successor must know, and an update is due.
    fn changed_leases(&mut self) -> Option<Vec<RemainingLease>> {
        let now = self.now;
        if now < self.flush.next_leases_at {
            return None;
        }
        let mut leases = self.remaining_leases();
        // A successor awaits the others as it awaits any VM.
        truncate(&mut leases, |l| {
            l.vm.len() + l.addr.len() + LEASE_OVERHEAD_BYTES
        });
        let (old, new) = (self.flush.leases.iter(), leases.iter());
        let same_vms = old.map(|l| &l.vm).eq(new.map(|l| &l.vm));
        let is_current = leases.is_empty() || now < self.flush.leases_at + LEASES_UPDATE_INTERVAL;
        if same_vms && is_current {
            self.flush.next_leases_at = now + SCAN_INTERVAL;
            return None;
        }
        self.flush.next_leases_at = now + LEASES_UPDATE_PAUSE;
        Some(leases)
    }
}
