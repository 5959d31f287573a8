//! How much of each team runs on the workers that this member holds.

use std::collections::BTreeMap;

use super::Control;
use super::check_use::UseByTeam;
use super::holdings::hands_over_at_once;
use crate::ident::Name;
use crate::ledger::AppliedChange;
use crate::time::Time;

/// Requests and tasks that run, by team.
#[derive(Debug, Default)]
pub(super) struct UseCount {
    by_team: BTreeMap<Name, u32>,
    /// Found on inherited workers; they may be of any team.
    unknown: u32,
    /// Grown parts of limits that may not be spent yet.
    locked: Vec<Locked>,
}

/// A grown part of a limit that its former holder may still be spending.
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

    pub(super) fn take(&mut self, team: Option<&Name>) {
        match team {
            Some(t) => {
                let n = self.by_team.get_mut(t).expect("a use was counted");
                *n -= 1;
            }
            None => self.unknown -= 1,
        }
    }

    /// What runs of a team, or may be of it.
    pub(super) fn of(&self, team: &str) -> u32 {
        self.by_team.get(team).copied().unwrap_or(0) + self.unknown
    }

    /// Whether the counts are those found otherwise.
    pub(super) fn is(&self, found: &UseByTeam<'_>) -> bool {
        let unknown = found.get(&None).copied().unwrap_or(0);
        let of = |t: &Name| found.get(&Some(t)).copied().unwrap_or(0);
        let counted = self.by_team.iter().all(|(t, n)| of(t) == *n);
        let known = |t: &Option<&Name>| t.is_none_or(|t| self.by_team.contains_key(t));
        unknown == self.unknown && counted && found.keys().all(known)
    }

    /// What is certainly of each team.
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

    /// Whether any part is locked.
    pub(super) fn locked_any(&self) -> bool {
        !self.locked.is_empty()
    }

    /// Unlocks what is due, but for what may run unseen on inherited workers.
    fn unlock(&mut self, now: Time, unseen: u32) {
        for l in self.locked.iter_mut().filter(|l| l.until <= now) {
            l.amount = l.amount.min(unseen);
        }
        self.locked.retain(|l| l.amount > 0);
    }
}

impl Control {
    /// How many more of a team's requests or tasks may start here now.
    pub(super) fn allotment_left(&self, team: &str) -> u32 {
        let part = self.ledger.allotments.part(team, self.cfg.me);
        let given = self.holdings.allotment_given(team);
        let spendable = part.saturating_sub(self.used.locked(team) + given);
        spendable.saturating_sub(self.used.of(team))
    }

    /// How much more of a team runs here, or may run, than the own part.
    pub(super) fn allotment_excess(&self, team: &str) -> u32 {
        let part = self.ledger.allotments.part(team, self.cfg.me);
        let given = self.holdings.allotment_given(team);
        let in_use = self.used.of(team).saturating_add(given);
        in_use.saturating_sub(part)
    }

    /// Whether one more of a team may start here; open queues have no team.
    pub(super) fn team_may_start(&self, team: Option<&Name>) -> bool {
        team.is_none_or(|t| self.allotment_left(t) > 0)
    }

    pub(super) fn unlock_allotments(&mut self) {
        if self.used.locked_any() {
            let unseen = self.unreported_slots();
            self.used.unlock(self.now, unseen);
        }
    }

    /// The own parts of all teams' limits.
    pub(super) fn own_parts(&self) -> BTreeMap<Name, u32> {
        let me = self.cfg.me;
        let teams = self.ledger.config.teams.keys();
        teams
            .map(|t| (t.clone(), self.ledger.allotments.part(t, me)))
            .collect()
    }

    /// Locks what grew by other means than a gift of its living holder.
    ///
    /// What came with workers is locked until these have reported what runs.
    pub(super) fn parts_changed(&mut self, before: &BTreeMap<Name, u32>, folded: &[AppliedChange]) {
        let came_with_workers =
            |f: &AppliedChange| matches!(f, AppliedChange::Ended(..) | AppliedChange::Restored);
        if !folded.iter().any(came_with_workers) {
            return;
        }
        let until = match folded.iter().all(hands_over_at_once) {
            true => self.now,
            false => self.now + self.cfg.timing.claim_wait(),
        };
        for (team, part) in self.own_parts() {
            let old = before.get(&team).copied().unwrap_or(0);
            if part > old {
                self.used.lock(&team, part - old, until);
            }
        }
    }
}
