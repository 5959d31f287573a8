//! Claiming what is unheld and keeping holdings even.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RANGES;
use crate::ident::RangeId;
use crate::ident::VmKey;
use crate::ledger::Ending;
use crate::ledger::Folded;
use crate::notice::Notice;
use crate::record::Body;
use crate::record::Thing;
use crate::time::Time;

/// Workers that one look gives away at most.
const GIVE_MAX: usize = 64;
/// Looks after which anyone claims a thing that its first claimant left unheld.
const PATIENCE_LOOKS: u64 = 3;

/// What this member is doing about its holdings.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    /// When to look next.
    due: Time,
    /// Since when a thing is seen unheld.
    unheld: BTreeMap<Thing, Time>,
    /// Own records that move things and are not read back yet, by sequence number.
    moving: BTreeMap<u64, Vec<Thing>>,
}

impl Holdings {
    /// An own record that moves things was written.
    pub(super) fn moving(&mut self, seq: u64, things: Vec<Thing>) {
        self.moving.insert(seq, things);
    }

    /// Workers that are on their way out.
    pub(super) fn moving_vms(&self) -> BTreeSet<&Name> {
        let things = self.moving.values().flatten();
        things
            .filter_map(|t| match t {
                Thing::Vm(name) => Some(name),
                _ => None,
            })
            .collect()
    }

    /// Whether a range is on its way out.
    pub(super) fn range_given(&self, r: RangeId) -> bool {
        self.moving
            .values()
            .flatten()
            .any(|t| *t == Thing::Range(r))
    }

    /// What is on its way out of the own part of a team's limit.
    pub(super) fn allotment_given(&self, name: &str) -> u32 {
        let amount = |t: &Thing| match t {
            Thing::Allotment { team, amount } if team == name => *amount,
            _ => 0,
        };
        self.moving.values().flatten().map(amount).sum()
    }
}

/// Whether a record hands things over in such a way that the new holder need not wait.
pub(super) fn hands_over_at_once(f: &Folded) -> bool {
    match f {
        Folded::Ended(_, ending) => ending.at_once,
        Folded::Restored | Folded::Config { .. } => false,
        _ => true,
    }
}

impl Control {
    pub(super) fn member_ended(&mut self, m: MemberId, ending: Ending) {
        if m == self.cfg.me {
            self.ended_self(ending);
            return;
        }
        match (ending.left, ending.heir) {
            (false, Some(heir)) => self.note(Notice::Evicted { member: m, heir }),
            _ => self.note(Notice::Left(m)),
        }
        self.peer_ended(m);
        self.jobs_member_ended(m);
    }

    /// Takes over what the ledger now says this member holds.
    pub(super) fn holdings_read(&mut self, folded: &[Folded]) {
        let seq = self.ledger.seqs.get(&self.cfg.me).copied().unwrap_or(0);
        self.holdings.moving.retain(|s, _| *s > seq);
        let moved = |f: &Folded| matches!(f, Folded::Moved | Folded::Ended(..) | Folded::Restored);
        if folded.iter().any(moved) {
            let at_once = folded.iter().all(hands_over_at_once);
            self.settle_holdings(folded);
            self.match_vms();
            self.ranges_read(at_once);
        }
    }

    pub(super) fn vms_listed(&mut self, list: &[crate::event::VmInfo]) {
        self.fleet.list(list);
        self.note_vanished();
        self.match_vms();
    }

    pub(super) fn balance_if_due(&mut self) {
        let may = self.is_certain() && !self.log.dark && self.writer.is_empty();
        if self.now < self.holdings.due || !may || self.stopping.begun() {
            return;
        }
        self.holdings.due = self.now + self.cfg.timing.balance;
        self.name_guards();
        self.claim_unheld();
        self.give_workers();
        self.give_ranges();
        self.give_allotments();
        self.release_gone();
        self.release_owed();
    }

    /// Gives everything to a peer and ends the membership.
    pub(super) fn leave(&mut self) {
        let counts = self.vm_counts();
        let others = counts.iter().filter(|(m, _)| **m != self.cfg.me);
        let heir = others.min_by_key(|(_, n)| **n).map(|(m, _)| *m);
        let read = self.ledger.next;
        self.write(Body::Leave { heir, read });
    }

    /// Holds in the fleet what may be used, and nothing else.
    pub(super) fn match_vms(&mut self) {
        let epoch = self.ledger.next;
        let mut take = Vec::new();
        let mut drop = Vec::new();
        for (_, vm) in self.fleet.iter() {
            let name = &vm.info.name;
            match (self.settling.vm(name), vm.held.is_some()) {
                (Some(from), false) => take.push((name.clone(), from)),
                (None, true) => drop.push(name.clone()),
                _ => {}
            }
        }
        for name in drop {
            self.drop_worker(&name);
        }
        for (name, from) in take {
            self.fleet.hold(&name, epoch, from);
        }
    }

    fn drop_worker(&mut self, name: &Name) {
        let Some(key) = self.fleet.find(name) else {
            return;
        };
        let vm = self.fleet.get(key).expect("just found");
        let doubts = vm.doubts.iter().map(|d| d.team.clone());
        let tasks = vm.tasks.values().map(|t| t.team.clone());
        let teams: Vec<Option<Name>> = doubts.chain(tasks).collect();
        for team in teams {
            self.used.take(team.as_ref());
        }
        self.tasks_worker_dropped(key);
        self.fleet.drop_held(name);
    }

    fn name_guards(&mut self) {
        if let Some(guards) = self.guarding.wanted_guards(&self.ledger) {
            let body = Body::Guards {
                guards: guards.clone(),
            };
            let seq = self.write(body);
            self.guarding.guards_written(seq, guards);
        }
    }

    fn claim_unheld(&mut self) {
        if !self.settling.may_claim(self.now) {
            return;
        }
        let mut things = self.unheld_vms();
        things.extend(self.unheld_ranges());
        let seen: BTreeSet<Thing> = things.iter().cloned().collect();
        self.holdings.unheld.retain(|t, _| seen.contains(t));
        let mut claims: Vec<Thing> = Vec::new();
        for thing in things {
            if self.claims(&thing) {
                claims.push(thing);
            }
        }
        claims.extend(self.wanted_allotments());
        if !claims.is_empty() {
            self.write(Body::Claim { things: claims });
        }
    }

    /// Whether it is this member's turn to claim a thing.
    fn claims(&mut self, thing: &Thing) -> bool {
        let now = self.now;
        let since = *self.holdings.unheld.entry(thing.clone()).or_insert(now);
        let patience = self.cfg.timing.balance.times(PATIENCE_LOOKS);
        let first = self.first_claimant(thing) == Some(self.cfg.me);
        first || now.since(since) > patience
    }

    fn first_claimant(&self, thing: &Thing) -> Option<MemberId> {
        let hash = match thing {
            Thing::Vm(name) => crate::config::place(name),
            Thing::Range(r) => u64::from(r.0),
            Thing::Allotment { team, .. } => crate::config::place(team),
        };
        let n = self.ledger.members.len().max(1) as u64;
        let nth = usize::try_from(hash % n).expect("less than the number of members");
        self.ledger.members.keys().nth(nth).copied()
    }

    fn unheld_vms(&self) -> Vec<Thing> {
        let unheld = |name: &Name| self.ledger.holder_of_vm(name).is_none();
        let vms = self.fleet.iter().map(|(_, vm)| &vm.info);
        vms.filter(|i| !i.leaving && unheld(&i.name))
            .map(|i| Thing::Vm(i.name.clone()))
            .collect()
    }

    fn unheld_ranges(&self) -> Vec<Thing> {
        let unheld = |r: &RangeId| !self.ledger.ranges.contains_key(r);
        RangeId::all().filter(unheld).map(Thing::Range).collect()
    }

    /// This member's even part of every team's limit, as far as it lacks it.
    fn wanted_allotments(&self) -> Vec<Thing> {
        let mut things = Vec::new();
        for (team, t) in &self.ledger.config.teams {
            let have = self.ledger.allotments.part(team, self.cfg.me);
            let target = self.even_part(t.value.limit);
            let unheld = self.ledger.allotments.unheld(team, t.value.limit);
            let amount = target.saturating_sub(have).min(unheld);
            if amount > 0 {
                let team = team.clone();
                things.push(Thing::Allotment { team, amount });
            }
        }
        things
    }

    /// An even part of `limit`; the first members get the remainder.
    fn even_part(&self, limit: u32) -> u32 {
        let rank = self.ledger.members.keys().position(|m| *m == self.cfg.me);
        let n = u32::try_from(self.ledger.members.len().max(1)).unwrap_or(u32::MAX);
        let rank = u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX);
        limit / n + u32::from(rank < limit % n)
    }

    fn vm_counts(&self) -> BTreeMap<MemberId, usize> {
        let none = self.ledger.members.keys().map(|m| (*m, 0));
        let mut counts: BTreeMap<MemberId, usize> = none.collect();
        for holder in self.ledger.vms.values() {
            *counts.entry(*holder).or_default() += 1;
        }
        counts
    }

    /// Gives idle workers to the member that has the fewest, if this one has more than its part.
    fn give_workers(&mut self) {
        let counts = self.vm_counts();
        let mine = counts.get(&self.cfg.me).copied().unwrap_or(0);
        let even = self.ledger.vms.len() / counts.len().max(1);
        let poorest = counts.iter().min_by_key(|(_, n)| **n);
        let Some((to, least)) = poorest.map(|(m, n)| (*m, *n)) else {
            return;
        };
        if mine <= even || least >= even || to == self.cfg.me {
            self.stop_draining();
            return;
        }
        let give = (mine - even).min(even - least).min(GIVE_MAX);
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

    fn take_drained(&mut self, n: usize) -> Vec<Thing> {
        let ready = self
            .fleet
            .held()
            .filter(|(_, vm)| vm.draining && vm.is_idle() && vm.held.is_some_and(|h| h.known));
        let names = ready.map(|(_, vm)| vm.info.name.clone()).take(n);
        names.map(Thing::Vm).collect()
    }

    /// Gives ranges in which nothing is remembered to the member that has the fewest.
    fn give_ranges(&mut self) {
        let none = self.ledger.members.keys().map(|m| (*m, 0));
        let mut counts: BTreeMap<MemberId, usize> = none.collect();
        for holder in self.ledger.ranges.values() {
            *counts.entry(*holder).or_default() += 1;
        }
        let mine = counts.get(&self.cfg.me).copied().unwrap_or(0);
        let even = usize::from(RANGES) / counts.len().max(1);
        let poorest = counts.iter().min_by_key(|(_, n)| **n);
        let Some((to, least)) = poorest.map(|(m, n)| (*m, *n)) else {
            return;
        };
        if mine <= even + 1 || least >= even || self.has_ancestors() {
            return;
        }
        let busy = self.busy_ranges();
        let own = self
            .ledger
            .ranges
            .iter()
            .filter(|(_, h)| **h == self.cfg.me);
        let clean = own
            .map(|(r, _)| *r)
            .filter(|r| !busy.contains(r) && self.holds_range(*r));
        let give = (mine - even).min(even - least);
        let things: Vec<Thing> = clean.take(give).map(Thing::Range).collect();
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

    /// Whether this member holds a range for use and is not giving it away.
    pub(super) fn holds_range(&self, r: RangeId) -> bool {
        self.range_is_settled(r)
    }

    /// Whether this member may answer for a hash range at `now`.
    pub fn answers_for(&self, now: Time, r: RangeId) -> bool {
        self.certain(now) && self.holds_range(r) && !self.stopping.is_leaving()
    }

    /// Gives spare parts of limits to members that have less than their even part.
    fn give_allotments(&mut self) {
        let teams: Vec<Name> = self.ledger.config.teams.keys().cloned().collect();
        let mut gifts: BTreeMap<MemberId, Vec<Thing>> = BTreeMap::new();
        for team in teams {
            if let Some((to, amount)) = self.spare_allotment(&team) {
                let gift = Thing::Allotment { team, amount };
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

    /// Writes a transfer; the things are not used from now on.
    fn move_things(&mut self, things: Vec<Thing>, to: MemberId) {
        let seq = self.write(Body::Transfer {
            things: things.clone(),
            to,
        });
        self.settling.given(&things);
        self.holdings.moving(seq, things);
        self.match_vms();
    }

    /// Gives up what a lowered limit took, as far as it is not in use any more.
    ///
    /// What was owed by a former holder may be in use unseen until its workers have reported.
    fn release_owed(&mut self) {
        if !self.is_settled() || self.unreported_slots() > 0 {
            return;
        }
        let me = self.cfg.me;
        let mut things = Vec::new();
        for team in self.ledger.config.teams.keys() {
            let owed = self.ledger.allotments.owed(team, me);
            let amount = owed.saturating_sub(self.allotment_excess(team));
            if amount > 0 {
                let team = team.clone();
                things.push(Thing::Allotment { team, amount });
            }
        }
        if !things.is_empty() {
            self.write(Body::Release { things });
        }
    }
}
