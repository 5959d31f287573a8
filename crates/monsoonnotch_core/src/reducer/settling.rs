//! The times from which holdings that changed their holder may be used.
//!
//! A holding that its holder transferred, or left in a settled state, may be
//! used at once. One inherited by an eviction may still be in use by its
//! previous holder for as long as that holder can be certain of its membership.
//! A holding stays with this member until this member transfers it, so its time
//! is set once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use super::holdings::is_immediate_handover;
use crate::fleet::Vm;
use crate::ident::Name;
use crate::ident::RangeId;
use crate::ledger::AppliedChange;
use crate::record::Holding;
use crate::time::Time;

/// Holdings of this member and the times from which they may be used.
#[derive(Debug, Default)]
pub(super) struct Settling {
    vms: BTreeMap<Name, Time>,
    ranges: BTreeMap<RangeId, Time>,
    /// Inherited workers that have not reported yet.
    unreported: BTreeSet<Name>,
    /// Time before which this member writes no claims, because unheld holdings may still be in
    /// use.
    no_claims_before: Time,
}

impl Settling {
    /// Returns the time from which a worker may be used; `None` if it may not be used.
    pub(super) fn usable_from(&self, name: &str) -> Option<Time> {
        self.vms.get(name).copied()
    }

    /// Returns whether claims may be written at `now`.
    pub(super) fn may_claim(&self, now: Time) -> bool {
        self.no_claims_before <= now
    }

    /// Removes holdings that are transferred or released.
    pub(super) fn transferred(&mut self, holdings: &[Holding]) {
        for holding in holdings {
            match holding {
                Holding::Vm(name) => drop(self.vms.remove(name)),
                Holding::Range(r) => drop(self.ranges.remove(r)),
                Holding::Allotment { .. } => {}
            }
        }
    }
}

impl Control {
    /// Updates the usable holdings after changes of the ledger.
    pub(super) fn settle_holdings(&mut self, changes: &[AppliedChange]) {
        let at_once = changes.iter().all(is_immediate_handover);
        let from = match at_once {
            true => self.now,
            false => self.now + self.cfg.timing.eviction_wait(),
        };
        let inherited = changes.iter().any(is_inheritance);
        self.settle_vms(from, inherited);
        self.settle_ranges(from);
        if self.ended_without_successor(changes) {
            let timing = &self.cfg.timing;
            let lease_expiry = timing.lease_expiry();
            self.settling.no_claims_before = self.now + lease_expiry.max(timing.eviction_wait());
        }
    }

    /// Returns whether this member holds a range that its previous holder has certainly stopped
    /// using.
    pub(super) fn range_is_settled(&self, r: RangeId) -> bool {
        let from = self.settling.ranges.get(&r);
        from.is_some_and(|from| *from <= self.now)
    }

    /// Returns whether all holdings may be used, so that a successor may use them at once.
    pub(super) fn is_settled(&self) -> bool {
        let vms = self.settling.vms.values();
        let mut times = vms.chain(self.settling.ranges.values());
        times.all(|from| *from <= self.now) && !self.used.has_locked()
    }

    /// Returns the number of slots of inherited workers on which unreported work may run.
    pub(super) fn unreported_slots(&mut self) -> u32 {
        let lease = self.cfg.timing.lease;
        let now = self.now;
        let settling = &mut self.settling;
        let fleet = &self.fleet;
        let vms = &settling.vms;
        let unknown = |vm: &Vm| !vm.held.is_some_and(|h| h.reported);
        let slots = |name: &Name| match fleet.find(name).and_then(|k| fleet.get(k)) {
            Some(vm) if unknown(vm) => vm.info.total.slots,
            Some(_) => 0,
            // Not listed yet or removed; its tasks have ended once their leases have expired.
            None if vms.get(name).is_some_and(|from| *from + lease > now) => u64::MAX,
            None => 0,
        };
        settling
            .unreported
            .retain(|name| vms.contains_key(name) && slots(name) > 0);
        let sum = settling.unreported.iter().map(slots);
        let sum = sum.fold(0, u64::saturating_add);
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    fn settle_vms(&mut self, from: Time, inherited: bool) {
        let me = self.cfg.me;
        let outgoing = self.holdings.outgoing_vms();
        let ledger = &self.ledger;
        let mine = |name: &Name| ledger.vms.get(name) == Some(&me) && !outgoing.contains(name);
        let settling = &mut self.settling;
        settling.vms.retain(|name, _| mine(name));
        for (name, _) in ledger.vms.iter().filter(|(_, m)| **m == me) {
            if outgoing.contains(name) || settling.vms.contains_key(name) {
                continue;
            }
            settling.vms.insert(name.clone(), from);
            if inherited {
                settling.unreported.insert(name.clone());
            }
        }
    }

    fn settle_ranges(&mut self, from: Time) {
        let me = self.cfg.me;
        let mine: BTreeSet<RangeId> = RangeId::all()
            .filter(|r| {
                self.ledger.ranges.get(r) == Some(&me) && !self.holdings.range_is_outgoing(*r)
            })
            .collect();
        self.settling.ranges.retain(|r, _| mine.contains(r));
        for r in mine {
            self.settling.ranges.entry(r).or_insert(from);
        }
    }

    /// Returns whether a member ended without a successor, so that its holdings are unheld.
    fn ended_without_successor(&self, changes: &[AppliedChange]) -> bool {
        changes.iter().any(|change| match change {
            AppliedChange::Ended(_, ending) => ending.successor.is_none(),
            AppliedChange::Restored => self.ledger.endings.values().any(|e| e.successor.is_none()),
            _ => false,
        })
    }
}

fn is_inheritance(change: &AppliedChange) -> bool {
    matches!(change, AppliedChange::Ended(..) | AppliedChange::Restored)
}
