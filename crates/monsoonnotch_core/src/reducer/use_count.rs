//! Number of each team's requests and tasks on the workers that this member holds.

use std::collections::BTreeMap;

use super::Control;
use super::check_use::UseByTeam;
use super::holdings::is_immediate_handover;
use crate::ident::Name;
use crate::ledger::AppliedChange;
use crate::time::Time;

/// Running requests and tasks, counted by team.
#[derive(Debug, Default)]
pub(super) struct UseCount {
    by_team: BTreeMap<Name, u32>,
    /// Number of requests found on inherited workers; they may be of any team.
    unknown: u32,
    /// Increases of allotments that may not be used yet.
    locked: Vec<Locked>,
}

/// An increase of an allotment that its previous holder may still be using.
#[derive(Debug)]
struct Locked {
    team: Name,
    amount: u32,
    until: Time,
}

impl UseCount {
    pub(super) fn add(&mut self, team: Option<&Name>) {
        match team {
            Some(t) => *self.by_team.entry(t.clone()).or_default() += 1,
            None => self.unknown += 1,
        }
    }

    pub(super) fn remove(&mut self, team: Option<&Name>) {
        match team {
            Some(t) => {
                let n = self.by_team.get_mut(t).expect("a use was counted");
                *n -= 1;
            }
            None => self.unknown -= 1,
        }
    }

    /// Returns the number of requests and tasks that are, or may be, of a team.
    pub(super) fn count_of(&self, team: &str) -> u32 {
        self.by_team.get(team).copied().unwrap_or(0) + self.unknown
    }

    /// Returns whether the counts equal those of an independent recount.
    pub(super) fn matches(&self, found: &UseByTeam<'_>) -> bool {
        let unknown = found.get(&None).copied().unwrap_or(0);
        let of = |t: &Name| found.get(&Some(t)).copied().unwrap_or(0);
        let counted = self.by_team.iter().all(|(t, n)| of(t) == *n);
        let known = |t: &Option<&Name>| t.is_none_or(|t| self.by_team.contains_key(t));
        unknown == self.unknown && counted && found.keys().all(known)
    }

    /// Returns the count of each team, without work of unknown teams.
    pub(super) fn teams(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.by_team.iter().map(|(t, n)| (t, *n))
    }

    pub(super) fn lock(&mut self, team: &Name, amount: u32, until: Time) {
        self.locked.push(Locked {
            team: team.clone(),
            amount,
            until,
        });
    }

    fn locked(&self, team: &str) -> u32 {
        let own = self.locked.iter().filter(|l| l.team == team);
        own.map(|l| l.amount).sum()
    }

    /// Returns whether any increase is locked.
    pub(super) fn has_locked(&self) -> bool {
        !self.locked.is_empty()
    }

    /// Unlocks the increases that are due, except for the slots that `unreported` work may occupy.
    fn unlock(&mut self, now: Time, unreported: u32) {
        for l in self.locked.iter_mut().filter(|l| l.until <= now) {
            l.amount = l.amount.min(unreported);
        }
        self.locked.retain(|l| l.amount > 0);
    }
}

impl Control {
    /// Returns how many more requests or tasks of a team may start here now.
    pub(super) fn allotment_left(&self, team: &str) -> u32 {
        let part = self.ledger.allotments.part(team, self.cfg.me);
        let outgoing = self.holdings.outgoing_allotment(team);
        let spendable = part.saturating_sub(self.used.locked(team) + outgoing);
        spendable.saturating_sub(self.used.count_of(team))
    }

    /// Returns by how much the possible use of a team exceeds this member's allotment.
    pub(super) fn allotment_excess(&self, team: &str) -> u32 {
        let part = self.ledger.allotments.part(team, self.cfg.me);
        let outgoing = self.holdings.outgoing_allotment(team);
        let in_use = self.used.count_of(team).saturating_add(outgoing);
        in_use.saturating_sub(part)
    }

    /// Returns whether one more request or task of a team may start here; `None`, the open queue,
    /// has no limit.
    pub(super) fn team_may_start(&self, team: Option<&Name>) -> bool {
        team.is_none_or(|t| self.allotment_left(t) > 0)
    }

    pub(super) fn unlock_allotments(&mut self) {
        if self.used.has_locked() {
            let unreported = self.unreported_slots();
            self.used.unlock(self.now, unreported);
        }
    }

    /// Returns this member's allotment of every team.
    pub(super) fn own_allotments(&self) -> BTreeMap<Name, u32> {
        let me = self.cfg.me;
        let teams = self.ledger.config.teams.keys();
        teams
            .map(|t| (t.clone(), self.ledger.allotments.part(t, me)))
            .collect()
    }

    /// Locks increases of allotments that were inherited instead of transferred or claimed.
    ///
    /// An increase that was inherited together with workers is locked until these have reported
    /// their running work.
    pub(super) fn allotments_changed(
        &mut self,
        before: &BTreeMap<Name, u32>,
        changes: &[AppliedChange],
    ) {
        let came_with_workers = |change: &AppliedChange| {
            matches!(change, AppliedChange::Ended(..) | AppliedChange::Restored)
        };
        if !changes.iter().any(came_with_workers) {
            return;
        }
        let until = match changes.iter().all(is_immediate_handover) {
            true => self.now,
            false => self.now + self.cfg.timing.claim_wait(),
        };
        for (team, part) in self.own_allotments() {
            let old = before.get(&team).copied().unwrap_or(0);
            if part > old {
                self.used.lock(&team, part - old, until);
            }
        }
    }
}
