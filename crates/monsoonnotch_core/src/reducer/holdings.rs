//! What this member holds, as the ledger says, and the turns to keep it even.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RangeId;
use crate::ledger::AppliedChange;
use crate::ledger::Ending;
use crate::notice::Notice;
use crate::record::Body;
use crate::record::Holding;
use crate::time::Time;

/// What this member is doing about its holdings.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    /// When to look next.
    due: Time,
    /// Since when a thing is seen unheld.
    pub(super) unheld: BTreeMap<Holding, Time>,
    /// Own records that move things and are not read back yet, by sequence number.
    moving: BTreeMap<u64, Vec<Holding>>,
}

impl Holdings {
    /// An own record that moves things was written.
    pub(super) fn moving(&mut self, seq: u64, things: Vec<Holding>) {
        self.moving.insert(seq, things);
    }

    /// Workers that are on their way out.
    pub(super) fn moving_vms(&self) -> BTreeSet<&Name> {
        let things = self.moving.values().flatten();
        things
            .filter_map(|t| match t {
                Holding::Vm(name) => Some(name),
                _ => None,
            })
            .collect()
    }

    /// Whether a range is on its way out.
    pub(super) fn range_given(&self, r: RangeId) -> bool {
        self.moving
            .values()
            .flatten()
            .any(|t| *t == Holding::Range(r))
    }

    /// What is on its way out of the own part of a team's limit.
    pub(super) fn allotment_given(&self, name: &str) -> u32 {
        let amount = |t: &Holding| match t {
            Holding::Allotment { team, amount } if team == name => *amount,
            _ => 0,
        };
        self.moving.values().flatten().map(amount).sum()
    }
}

/// Whether a record hands things over in such a way that the new holder need not wait.
pub(super) fn hands_over_at_once(f: &AppliedChange) -> bool {
    match f {
        AppliedChange::Ended(_, ending) => ending.at_once,
        AppliedChange::Restored | AppliedChange::Config { .. } => false,
        _ => true,
    }
}

impl Control {
    pub(super) fn member_ended(&mut self, m: MemberId, ending: Ending) {
        if m == self.cfg.me {
            self.ended_self(ending);
            return;
        }
        match (ending.left, ending.successor) {
            (false, Some(heir)) => self.note(Notice::Evicted { member: m, heir }),
            _ => self.note(Notice::Left(m)),
        }
        self.peer_ended(m);
        self.jobs_member_ended(m);
    }

    /// Takes over what the ledger now says this member holds.
    pub(super) fn holdings_read(&mut self, folded: &[AppliedChange]) {
        let seq = self.ledger.seqs.get(&self.cfg.me).copied().unwrap_or(0);
        self.holdings.moving.retain(|s, _| *s > seq);
        let moved = |f: &AppliedChange| {
            matches!(
                f,
                AppliedChange::HoldingsMoved | AppliedChange::Ended(..) | AppliedChange::Restored
            )
        };
        if folded.iter().any(moved) {
            let at_once = folded.iter().all(hands_over_at_once);
            self.settle_holdings(folded);
            self.match_vms();
            self.ranges_read(at_once);
        }
    }

    pub(super) fn vms_listed(&mut self, list: &[crate::event::VmInfo]) {
        self.fleet.update_list(list);
        self.note_vanished();
        self.match_vms();
    }

    pub(super) fn balance_if_due(&mut self) {
        let may = self.is_certain() && !self.log.dark && self.writer.is_empty();
        if self.now < self.holdings.due || !may || self.stopping.begun() {
            return;
        }
        self.holdings.due = self.now + self.cfg.timing.balance_interval;
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
        self.write(Body::Leave {
            successor: heir,
            read,
        });
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
        let doubts = vm.uncertain.iter().map(|d| d.team.clone());
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
                things.push(Holding::Allotment { team, amount });
            }
        }
        if !things.is_empty() {
            self.write(Body::Release { holdings: things });
        }
    }

    /// Whether this member holds a range for use and is not giving it away.
    pub(super) fn holds_range(&self, r: RangeId) -> bool {
        self.range_is_settled(r)
    }

    /// Whether this member may answer for a hash range at `now`.
    pub fn may_serve_range(&self, now: Time, r: RangeId) -> bool {
        self.certain(now) && self.holds_range(r) && !self.stopping.is_leaving()
    }
}
