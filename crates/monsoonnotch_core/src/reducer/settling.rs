//! When things that changed holders may be used.
//!
//! A thing that a living holder gave away, or left settled, may be used at
//! once. One that passed on by an eviction may still be in use by its former
//! holder, for as long as that one can be certain. A thing stays this member's
//! until this member itself gives it away, so the time is set once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use super::holdings::hands_over_at_once;
use crate::fleet::Vm;
use crate::ident::Name;
use crate::ident::RangeId;
use crate::ledger::AppliedChange;
use crate::record::Holding;
use crate::time::Time;

/// Own things and when they may be used.
#[derive(Debug, Default)]
pub(super) struct Settling {
    vms: BTreeMap<Name, Time>,
    ranges: BTreeMap<RangeId, Time>,
    /// Inherited workers of which no report has come.
    unreported: BTreeSet<Name>,
    /// No claims before; what is unheld may still be in use.
    quiet: Time,
}

impl Settling {
    /// From when a worker may be used.
    pub(super) fn vm(&self, name: &str) -> Option<Time> {
        self.vms.get(name).copied()
    }

    /// Whether claims may be written.
    pub(super) fn may_claim(&self, now: Time) -> bool {
        self.quiet <= now
    }

    /// The things are given away.
    pub(super) fn given(&mut self, things: &[Holding]) {
        for thing in things {
            match thing {
                Holding::Vm(name) => drop(self.vms.remove(name)),
                Holding::Range(r) => drop(self.ranges.remove(r)),
                Holding::Allotment { .. } => {}
            }
        }
    }
}

impl Control {
    /// Takes in what records made of the own holdings.
    pub(super) fn settle_holdings(&mut self, folded: &[AppliedChange]) {
        let at_once = folded.iter().all(hands_over_at_once);
        let from = match at_once {
            true => self.now,
            false => self.now + self.cfg.timing.eviction_wait(),
        };
        let inherited = folded.iter().any(inherits);
        self.settle_vms(from, inherited);
        self.settle_ranges(from);
        if self.heirless(folded) {
            let timing = &self.cfg.timing;
            let lapse = timing.lease_expiry();
            self.settling.quiet = self.now + lapse.max(timing.eviction_wait());
        }
    }

    /// Whether a range is held here and its former holder has certainly stopped using it.
    pub(super) fn range_is_settled(&self, r: RangeId) -> bool {
        let from = self.settling.ranges.get(&r);
        from.is_some_and(|from| *from <= self.now)
    }

    /// Whether everything held here may be used, so that it may be passed on at once.
    pub(super) fn is_settled(&self) -> bool {
        let vms = self.settling.vms.values();
        let mut times = vms.chain(self.settling.ranges.values());
        times.all(|from| *from <= self.now) && !self.used.locked_any()
    }

    /// Slots of inherited workers on which unknown work may run.
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
            // Not listed yet, or gone; its tasks are over once their leases lapse.
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
        let given = self.holdings.moving_vms();
        let ledger = &self.ledger;
        let mine = |name: &Name| ledger.vms.get(name) == Some(&me) && !given.contains(name);
        let settling = &mut self.settling;
        settling.vms.retain(|name, _| mine(name));
        for (name, _) in ledger.vms.iter().filter(|(_, m)| **m == me) {
            if given.contains(name) || settling.vms.contains_key(name) {
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
            .filter(|r| self.ledger.ranges.get(r) == Some(&me) && !self.holdings.range_given(*r))
            .collect();
        self.settling.ranges.retain(|r, _| mine.contains(r));
        for r in mine {
            self.settling.ranges.entry(r).or_insert(from);
        }
    }

    /// Whether a member ended without an heir, so that what it used is unheld.
    fn heirless(&self, folded: &[AppliedChange]) -> bool {
        folded.iter().any(|f| match f {
            AppliedChange::Ended(_, ending) => ending.successor.is_none(),
            AppliedChange::Restored => self.ledger.endings.values().any(|e| e.successor.is_none()),
            _ => false,
        })
    }
}

fn inherits(f: &AppliedChange) -> bool {
    matches!(f, AppliedChange::Ended(..) | AppliedChange::Restored)
}
