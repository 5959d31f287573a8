//! Workers that the platform does not list any more.
//!
//! One that this member held while it was listed is given up once nothing can
//! run there. One that it inherited after it had gone is known by name only; it
//! is given up when it has been missing from every list for so long that the
//! leases of all tasks there have lapsed.

use std::collections::BTreeMap;

use super::Control;
use crate::ident::Name;
use crate::record::Body;
use crate::record::Holding;
use crate::time::Time;

/// Held workers that are not on the list and were not when they came here.
#[derive(Debug, Default)]
pub(super) struct Vanished {
    /// The first of the lists in a row that lacked them.
    since: BTreeMap<Name, Time>,
    /// When the last list came.
    listed: Time,
}

impl Control {
    /// Notes which held workers a list lacks.
    pub(super) fn note_vanished(&mut self) {
        let me = self.cfg.me;
        let now = self.now;
        let held = self.ledger.vms.iter().filter(|(_, h)| **h == me);
        let unknown = held.filter(|(name, _)| self.fleet.find(name).is_none());
        let since = &self.vanished.since;
        let first = |name: &Name| since.get(name).copied().unwrap_or(now);
        let next = unknown.map(|(name, _)| (name.clone(), first(name)));
        let next: BTreeMap<Name, Time> = next.collect();
        self.vanished.since = next;
        self.vanished.listed = now;
    }

    /// Gives up workers that are gone and on which nothing can run.
    pub(super) fn release_gone(&mut self) {
        let held = self.fleet.held();
        let gone = held.filter(|(_, vm)| vm.info.leaving && vm.unlisted && vm.is_idle());
        let mut things: Vec<Holding> = gone
            .map(|(_, vm)| Holding::Vm(vm.info.name.clone()))
            .collect();
        things.extend(self.long_vanished());
        if things.is_empty() {
            return;
        }
        let body = Body::Release {
            holdings: things.clone(),
        };
        self.write_away(body, things);
    }

    fn long_vanished(&self) -> Vec<Holding> {
        // A former holder may have renewed leases for as long as it was certain.
        let wait = self.cfg.timing.eviction_wait() + self.cfg.timing.lease_expiry();
        let last = self.vanished.listed;
        let long = self.vanished.since.iter();
        let long = long.filter(|(_, since)| last.since(**since) >= wait);
        let held = |name: &&Name| self.ledger.holder_of_vm(name) == Some(self.cfg.me);
        let names = long.map(|(name, _)| name).filter(held);
        names.cloned().map(Holding::Vm).collect()
    }
}
