//! The holdings of this member by the ledger, and the periodic rounds that balance them.

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

/// State of the balancing of this member's holdings.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    /// Time of the next balance round.
    due: Time,
    /// Time at which this member first found that a holding has no holder, by holding.
    pub(super) unheld_since: BTreeMap<Holding, Time>,
    /// Holdings in this member's transfer and release records that are not read back yet, by the
    /// sequence number of the record.
    outgoing: BTreeMap<u64, Vec<Holding>>,
}

impl Holdings {
    /// Adds holdings for which a transfer or release record was written.
    pub(super) fn add_outgoing(&mut self, seq: u64, holdings: Vec<Holding>) {
        self.outgoing.insert(seq, holdings);
    }

    /// Returns the workers that are being transferred or released.
    pub(super) fn outgoing_vms(&self) -> BTreeSet<&Name> {
        let holdings = self.outgoing.values().flatten();
        holdings
            .filter_map(|h| match h {
                Holding::Vm(name) => Some(name),
                _ => None,
            })
            .collect()
    }

    /// Returns whether a range is being transferred.
    pub(super) fn range_is_outgoing(&self, r: RangeId) -> bool {
        self.outgoing
            .values()
            .flatten()
            .any(|h| *h == Holding::Range(r))
    }

    /// Returns the amount of a team's limit that is being transferred.
    pub(super) fn outgoing_allotment(&self, name: &str) -> u32 {
        let amount = |h: &Holding| match h {
            Holding::Allotment { team, amount } if team == name => *amount,
            _ => 0,
        };
        self.outgoing.values().flatten().map(amount).sum()
    }
}

/// Returns whether a change lets the new holder of a holding use it at once.
pub(super) fn is_immediate_handover(change: &AppliedChange) -> bool {
    match change {
        AppliedChange::Ended(_, ending) => ending.at_once,
        AppliedChange::Restored | AppliedChange::Config { .. } => false,
        _ => true,
    }
}

impl Control {
    pub(super) fn member_ended(&mut self, m: MemberId, ending: Ending) {
        if m == self.cfg.me {
            self.own_membership_ended(ending);
            return;
        }
        match (ending.left, ending.successor) {
            (false, Some(successor)) => self.log_notice(Notice::Evicted {
                member: m,
                heir: successor,
            }),
            _ => self.log_notice(Notice::Left(m)),
        }
        self.peer_ended(m);
        self.jobs_member_ended(m);
    }

    /// Updates what this member may use after changes of the ledger.
    pub(super) fn holdings_changed(&mut self, changes: &[AppliedChange]) {
        let seq = self.ledger.seqs.get(&self.cfg.me).copied().unwrap_or(0);
        self.holdings.outgoing.retain(|s, _| *s > seq);
        let moved = |change: &AppliedChange| {
            matches!(
                change,
                AppliedChange::HoldingsMoved | AppliedChange::Ended(..) | AppliedChange::Restored
            )
        };
        if changes.iter().any(moved) {
            let at_once = changes.iter().all(is_immediate_handover);
            self.settle_holdings(changes);
            self.update_held_vms();
            self.adoption_ranges_changed(at_once);
        }
    }

    pub(super) fn vms_listed(&mut self, list: &[crate::event::VmInfo]) {
        self.fleet.update_list(list);
        self.note_unlisted();
        self.update_held_vms();
    }

    pub(super) fn balance_if_due(&mut self) {
        let may = self.is_certain() && !self.log.unavailable && self.writer.is_empty();
        if self.now < self.holdings.due || !may || self.stopping.begun() {
            return;
        }
        self.holdings.due = self.now + self.cfg.timing.balance_interval;
        self.write_guards();
        self.claim_unheld();
        self.rebalance_workers();
        self.rebalance_ranges();
        self.rebalance_allotments();
        self.release_unlisted();
        self.release_owed();
    }

    /// Writes the record that ends the membership and passes all holdings to the member with the
    /// fewest workers.
    pub(super) fn leave(&mut self) {
        let counts = self.vm_counts();
        let others = counts.iter().filter(|(m, _)| **m != self.cfg.me);
        let successor = others.min_by_key(|(_, n)| **n).map(|(m, _)| *m);
        let read = self.ledger.next;
        self.write(Body::Leave { successor, read });
    }

    /// Makes the fleet hold exactly the workers that the ledger assigns to this member and that are
    /// not being transferred.
    pub(super) fn update_held_vms(&mut self) {
        let epoch = self.ledger.next;
        let mut take = Vec::new();
        let mut drop = Vec::new();
        for (_, vm) in self.fleet.iter() {
            let name = &vm.info.name;
            match (self.settling.usable_from(name), vm.held.is_some()) {
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
        let vm = self.fleet.get(key).expect("the name has a VM");
        let uncertain = vm.uncertain.iter().map(|r| r.team.clone());
        let tasks = vm.tasks.values().map(|t| t.team.clone());
        let teams: Vec<Option<Name>> = uncertain.chain(tasks).collect();
        for team in teams {
            self.used.remove(team.as_ref());
        }
        self.tasks_worker_dropped(key);
        self.fleet.drop_held(name);
    }

    fn write_guards(&mut self) {
        if let Some(guards) = self.guarding.wanted_guards(&self.ledger) {
            let body = Body::Guards {
                guards: guards.clone(),
            };
            let seq = self.write(body);
            self.guarding.guards_written(seq, guards);
        }
    }

    /// Releases what this member owes of lowered limits, as far as it is no longer in use.
    ///
    /// What it inherited as owed may be in use by unreported work until the inherited workers
    /// have reported.
    fn release_owed(&mut self) {
        if !self.is_settled() || self.unreported_slots() > 0 {
            return;
        }
        let me = self.cfg.me;
        let mut holdings = Vec::new();
        for team in self.ledger.config.teams.keys() {
            let owed = self.ledger.allotments.owed(team, me);
            let amount = owed.saturating_sub(self.allotment_excess(team));
            if amount > 0 {
                let team = team.clone();
                holdings.push(Holding::Allotment { team, amount });
            }
        }
        if !holdings.is_empty() {
            self.write(Body::Release { holdings });
        }
    }

    /// Returns whether this member holds a range, may use it and is not transferring it.
    pub(super) fn holds_range(&self, r: RangeId) -> bool {
        self.range_is_settled(r)
    }

    /// Returns whether this member may serve as the home of a hash range at `now`.
    pub fn may_serve_range(&self, now: Time, r: RangeId) -> bool {
        self.certain(now) && self.holds_range(r) && !self.stopping.is_leaving()
    }
}
