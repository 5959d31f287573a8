//! Release of workers that the platform no longer lists.
//!
//! A worker that this member held while it was listed is released once nothing
//! can run on it. A worker that was inherited after its removal from the list
//! is known by name only. It is released once it has been missing from every
//! list for so long that the leases of all its tasks have expired.

use std::collections::BTreeMap;

use super::Control;
use crate::ident::Name;
use crate::record::Body;
use crate::record::Holding;
use crate::time::Time;

/// Held workers that have never been listed while this member held them.
#[derive(Debug, Default)]
pub(super) struct Unlisted {
    /// Arrival time of the first of the successive lists that lacked each worker.
    since: BTreeMap<Name, Time>,
    /// Arrival time of the last list.
    listed: Time,
}

impl Control {
    /// Records which held workers are missing from the list that has just arrived.
    pub(super) fn note_unlisted(&mut self) {
        let me = self.cfg.me;
        let now = self.now;
        let held = self.ledger.vms.iter().filter(|(_, h)| **h == me);
        let unknown = held.filter(|(name, _)| self.fleet.find(name).is_none());
        let since = &self.unlisted.since;
        let first = |name: &Name| since.get(name).copied().unwrap_or(now);
        let next = unknown.map(|(name, _)| (name.clone(), first(name)));
        let next: BTreeMap<Name, Time> = next.collect();
        self.unlisted.since = next;
        self.unlisted.listed = now;
    }

    /// Releases unlisted workers on which nothing can run.
    pub(super) fn release_unlisted(&mut self) {
        let held = self.fleet.held();
        let gone = held.filter(|(_, vm)| vm.info.leaving && vm.unlisted && vm.is_idle());
        let mut holdings: Vec<Holding> = gone
            .map(|(_, vm)| Holding::Vm(vm.info.name.clone()))
            .collect();
        holdings.extend(self.expired_unlisted());
        if holdings.is_empty() {
            return;
        }
        let body = Body::Release {
            holdings: holdings.clone(),
        };
        self.write_transfer(body, holdings);
    }

    fn expired_unlisted(&self) -> Vec<Holding> {
        // The previous holder may have renewed leases for as long as it was certain.
        let wait = self.cfg.timing.eviction_wait() + self.cfg.timing.lease_expiry();
        let last = self.unlisted.listed;
        let long = self.unlisted.since.iter();
        let long = long.filter(|(_, since)| last.since(**since) >= wait);
        let held = |name: &&Name| self.ledger.holder_of_vm(name) == Some(self.cfg.me);
        let names = long.map(|(name, _)| name).filter(held);
        names.cloned().map(Holding::Vm).collect()
    }
}
