//! Giving away what is more than an even part.

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

/// Workers that one look gives away at most.
const GIVE_MAX: usize = 64;

impl Control {
    /// How many workers each member holds.
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

    /// How many of `total` things to give to whom, if this member has over `slack` too many.
    fn surplus(
        &self,
        counts: &BTreeMap<MemberId, usize>,
        total: usize,
        slack: usize,
    ) -> Option<(MemberId, usize)> {
        let mine = counts.get(&self.cfg.me).copied().unwrap_or(0);
        let even = total / counts.len().max(1);
        let (to, least) = counts.iter().min_by_key(|(_, n)| **n)?;
        let gives = mine > even + slack && *least < even;
        gives.then(|| (*to, (mine - even).min(even - least)))
    }

    /// Gives idle workers to the member that has the fewest, if this one has more than its part.
    pub(super) fn give_workers(&mut self) {
        let total = self.ledger.vms.len();
        let Some((to, give)) = self.surplus(&self.vm_counts(), total, 0) else {
            self.stop_draining();
            return;
        };
        let give = give.min(GIVE_MAX);
        self.drain_workers(give);
        let things = self.take_drained(give);
        if !things.is_empty() {
            self.move_things(things, to);
        }
    }

    fn stop_draining(&mut self) {
        let draining = self.fleet.held().filter(|(_, vm)| vm.draining);
        let keys: Vec<VmKey> = draining.map(|(k, _)| k).collect();
        for key in keys {
            self.fleet.update(key, |vm| vm.draining = false);
        }
    }

    /// Marks workers without tasks, so that they empty soon.
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

    fn take_drained(&mut self, n: usize) -> Vec<Holding> {
        let ready = self
            .fleet
            .held()
            .filter(|(_, vm)| vm.draining && vm.is_idle() && vm.held.is_some_and(|h| h.reported));
        let names = ready.map(|(_, vm)| vm.info.name.clone()).take(n);
        names.map(Holding::Vm).collect()
    }

    /// Gives ranges in which nothing is remembered to the member that has the fewest.
    pub(super) fn give_ranges(&mut self) {
        if self.has_ancestors() {
            return;
        }
        let counts = self.count_held(self.ledger.ranges.values());
        let Some((to, give)) = self.surplus(&counts, usize::from(RANGES), 1) else {
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
        let things: Vec<Holding> = clean.take(give).map(Holding::Range).collect();
        if !things.is_empty() {
            self.move_things(things, to);
        }
    }

    /// Ranges in which a key or a job is remembered here.
    fn busy_ranges(&self) -> BTreeSet<RangeId> {
        let keys = self.keyed.hashes().map(RangeId::of);
        let jobs = self.jobs.ids().map(RangeId::of_job);
        keys.chain(jobs).collect()
    }

    /// Gives spare parts of limits to members that have less than their even part.
    pub(super) fn give_allotments(&mut self) {
        let teams: Vec<Name> = self.ledger.config.teams.keys().cloned().collect();
        let mut gifts: BTreeMap<MemberId, Vec<Holding>> = BTreeMap::new();
        for team in teams {
            if let Some((to, amount)) = self.spare_allotment(&team) {
                let gift = Holding::Allotment { team, amount };
                gifts.entry(to).or_default().push(gift);
            }
        }
        for (to, things) in gifts {
            self.move_things(things, to);
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

    fn move_things(&mut self, things: Vec<Holding>, to: MemberId) {
        let body = Body::Transfer {
            holdings: things.clone(),
            to,
        };
        self.write_away(body, things);
    }

    /// Writes that things are given away or up; they are not used from now on.
    pub(super) fn write_away(&mut self, body: Body, things: Vec<Holding>) {
        let seq = self.write(body);
        self.settling.given(&things);
        self.holdings.moving(seq, things);
        self.match_vms();
    }
}
