//! Transfer of surplus workers, hash ranges and allotments to other members.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RANGES;
use crate::ident::RangeId;
use crate::ident::VmKey;
use crate::record::Body;
use crate::record::Holding;

/// Maximum number of workers that one balance round transfers.
const TRANSFER_VMS_MAX: usize = 64;

impl Control {
    /// Returns the number of workers that each member holds.
    pub(super) fn vm_counts(&self) -> BTreeMap<MemberId, usize> {
        self.count_held(self.ledger.vms.values())
    }

    fn count_held<'a>(
        &self,
        holders: impl Iterator<Item = &'a MemberId>,
    ) -> BTreeMap<MemberId, usize> {
        let none = self.ledger.members.keys().map(|m| (*m, 0));
        let mut counts: BTreeMap<MemberId, usize> = none.collect();
        for holder in holders {
            *counts.entry(*holder).or_default() += 1;
        }
        counts
    }

    /// Returns the member with the fewest of `total` holdings and the number to transfer to it.
    ///
    /// `None` unless this member holds over `slack` more than its even part.
    fn surplus(
        &self,
        counts: &BTreeMap<MemberId, usize>,
        total: usize,
        slack: usize,
    ) -> Option<(MemberId, usize)> {
        let mine = counts.get(&self.cfg.me).copied().unwrap_or(0);
        let even = total / counts.len().max(1);
        let (to, least) = counts.iter().min_by_key(|(_, n)| **n)?;
        let should_transfer = mine > even + slack && *least < even;
        should_transfer.then(|| (*to, (mine - even).min(even - least)))
    }

    /// Drains surplus workers and transfers the idle ones to the member that holds the fewest.
    pub(super) fn rebalance_workers(&mut self) {
        let total = self.ledger.vms.len();
        let Some((to, count)) = self.surplus(&self.vm_counts(), total, 0) else {
            self.stop_draining();
            return;
        };
        let count = count.min(TRANSFER_VMS_MAX);
        self.drain_workers(count);
        let holdings = self.drained_workers(count);
        if !holdings.is_empty() {
            self.transfer(holdings, to);
        }
    }

    fn stop_draining(&mut self) {
        let draining = self.fleet.held().filter(|(_, vm)| vm.draining);
        let keys: Vec<VmKey> = draining.map(|(k, _)| k).collect();
        for key in keys {
            self.fleet.update(key, |vm| vm.draining = false);
        }
    }

    /// Marks workers without tasks as draining until `n` are, those with the fewest requests first.
    fn drain_workers(&mut self, n: usize) {
        let marked = self.fleet.held().filter(|(_, vm)| vm.draining).count();
        let free_of_tasks = self
            .fleet
            .held()
            .filter(|(_, vm)| !vm.draining && vm.tasks.is_empty());
        let mut keys: Vec<(u32, VmKey)> = free_of_tasks.map(|(k, vm)| (vm.requests, k)).collect();
        keys.sort_unstable();
        for (_, key) in keys.into_iter().take(n.saturating_sub(marked)) {
            self.fleet.update(key, |vm| vm.draining = true);
        }
    }

    fn drained_workers(&mut self, n: usize) -> Vec<Holding> {
        let ready = self
            .fleet
            .held()
            .filter(|(_, vm)| vm.draining && vm.is_idle() && vm.held.is_some_and(|h| h.reported));
        let names = ready.map(|(_, vm)| vm.info.name.clone()).take(n);
        names.map(Holding::Vm).collect()
    }

    /// Transfers surplus ranges without keys or jobs to the member that holds the fewest.
    pub(super) fn rebalance_ranges(&mut self) {
        if self.has_predecessors() {
            return;
        }
        let counts = self.count_held(self.ledger.ranges.values());
        let Some((to, count)) = self.surplus(&counts, usize::from(RANGES), 1) else {
            return;
        };
        let busy = self.busy_ranges();
        let own = self
            .ledger
            .ranges
            .iter()
            .filter(|(_, h)| **h == self.cfg.me);
        let clean = own
            .map(|(r, _)| *r)
            .filter(|r| !busy.contains(r) && self.holds_range(*r));
        let holdings: Vec<Holding> = clean.take(count).map(Holding::Range).collect();
        if !holdings.is_empty() {
            self.transfer(holdings, to);
        }
    }

    /// Returns the ranges that contain a key or a job of this member.
    fn busy_ranges(&self) -> BTreeSet<RangeId> {
        let keys = self.keyed.hashes().map(RangeId::of);
        let jobs = self.jobs.ids().map(RangeId::of_job);
        keys.chain(jobs).collect()
    }

    /// Transfers unused parts of limits to members that hold less than their even part.
    pub(super) fn rebalance_allotments(&mut self) {
        let teams: Vec<Name> = self.ledger.config.teams.keys().cloned().collect();
        let mut transfers: BTreeMap<MemberId, Vec<Holding>> = BTreeMap::new();
        for team in teams {
            if let Some((to, amount)) = self.spare_allotment(&team) {
                let part = Holding::Allotment { team, amount };
                transfers.entry(to).or_default().push(part);
            }
        }
        for (to, holdings) in transfers {
            self.transfer(holdings, to);
        }
    }

    fn spare_allotment(&self, team: &Name) -> Option<(MemberId, u32)> {
        let limit = self.ledger.config.teams.get(team)?.value.limit;
        let n = u32::try_from(self.ledger.members.len()).ok()?;
        let even = limit / n.max(1);
        let parts = &self.ledger.allotments;
        let mine = parts.part(team, self.cfg.me);
        let members = self.ledger.members.keys();
        let (least, to) = members.map(|m| (parts.part(team, *m), *m)).min()?;
        let excess = mine.saturating_sub(even);
        let lack = even.saturating_sub(least);
        let amount = excess.min(lack).min(self.allotment_left(team));
        (amount > 0 && to != self.cfg.me).then_some((to, amount))
    }

    fn transfer(&mut self, holdings: Vec<Holding>, to: MemberId) {
        let body = Body::Transfer {
            holdings: holdings.clone(),
            to,
        };
        self.write_transfer(body, holdings);
    }

    /// Writes a record that transfers or releases holdings; they are not used from now on.
    pub(super) fn write_transfer(&mut self, body: Body, holdings: Vec<Holding>) {
        let seq = self.write(body);
        self.settling.transferred(&holdings);
        self.holdings.add_outgoing(seq, holdings);
        self.update_held_vms();
    }
}
