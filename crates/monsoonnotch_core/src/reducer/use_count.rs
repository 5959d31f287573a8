//! How much of each team runs on the workers that this member holds.

use std::collections::BTreeMap;

use super::Control;
use crate::ident::Name;
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

    fn unlock(&mut self, now: Time) {
        self.locked.retain(|l| l.until > now);
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

    /// Whether one more of a team may start here; open queues have no team.
    pub(super) fn team_may_start(&self, team: Option<&Name>) -> bool {
        team.is_none_or(|t| self.allotment_left(t) > 0)
    }

    pub(super) fn unlock_allotments(&mut self) {
        self.used.unlock(self.now);
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
    pub(super) fn parts_changed(
        &mut self,
        before: &BTreeMap<Name, u32>,
        folded: &[crate::ledger::Folded],
    ) {
        let given = folded.iter().all(super::holdings::hands_over_at_once);
        let until = self.now + self.cfg.timing.settle();
        for (team, part) in self.own_parts() {
            let old = before.get(&team).copied().unwrap_or(0);
            if part > old && !given {
                self.used.lock(&team, part - old, until);
            }
        }
    }
}
