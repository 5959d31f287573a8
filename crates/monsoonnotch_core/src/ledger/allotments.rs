//! Parts of the teams' upper limits, each with one holder.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::MemberId;
use crate::ident::Name;

/// Holder's parts of every team's upper limit.
///
/// The parts of a team never add up to more than its limit. A lowered limit makes
/// all parts owed: they may still be in use, so each holder says what of its own
/// is free, and only what the limit leaves beside the rest is claimed anew. So
/// nothing more starts while a team has more running than its limit.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotments {
    parts: BTreeMap<Name, BTreeMap<MemberId, u32>>,
    owed: BTreeMap<Name, BTreeMap<MemberId, u32>>,
}

impl Allotments {
    /// What a member holds of a team's limit.
    pub fn part(&self, team: &str, m: MemberId) -> u32 {
        let parts = self.parts.get(team);
        parts.and_then(|p| p.get(&m)).copied().unwrap_or(0)
    }

    /// What all members hold of a team's limit.
    pub fn total(&self, team: &str) -> u32 {
        self.parts.get(team).map_or(0, |p| p.values().sum())
    }

    /// What a member owes of a team's limit, because the limit was lowered.
    pub fn owed(&self, team: &str, m: MemberId) -> u32 {
        let owed = self.owed.get(team);
        owed.and_then(|p| p.get(&m)).copied().unwrap_or(0)
    }

    /// What of a limit is neither held nor owed.
    pub fn unheld(&self, team: &str, limit: u32) -> u32 {
        let owed: u32 = self.owed.get(team).map_or(0, |p| p.values().sum());
        limit.saturating_sub(self.total(team)).saturating_sub(owed)
    }

    /// Adds up to `amount` of what is unheld of `limit`.
    pub fn claim(&mut self, team: &Name, limit: u32, m: MemberId, amount: u32) {
        let free = self.unheld(team, limit);
        self.give(team, m, amount.min(free));
    }

    /// Moves up to `amount` from one holder to another.
    pub fn transfer(&mut self, team: &Name, from: MemberId, to: MemberId, amount: u32) {
        let Some(part) = self.parts.get_mut(team).and_then(|p| p.get_mut(&from)) else {
            return;
        };
        let moved = amount.min(*part);
        *part -= moved;
        self.give(team, to, moved);
    }

    /// A holder uses up to `amount` less of what it owes.
    pub fn release(&mut self, team: &str, m: MemberId, amount: u32) {
        if let Some(owed) = self.owed.get_mut(team).and_then(|p| p.get_mut(&m)) {
            *owed = owed.saturating_sub(amount);
        }
    }

    /// Moves all that `from` holds and owes to `to`, or makes it unheld.
    pub fn inherit(&mut self, from: MemberId, to: Option<MemberId>) {
        for parts in self.parts.values_mut().chain(self.owed.values_mut()) {
            let Some(part) = parts.remove(&from) else {
                continue;
            };
            if let Some(to) = to {
                *parts.entry(to).or_default() += part;
            }
        }
    }

    /// Fits the parts to a changed limit.
    ///
    /// All parts of a lowered limit are owed from now on; of a raised one,
    /// holders get back what they owe if all of it fits.
    pub fn limit(&mut self, team: &Name, limit: u32) {
        let total = self.total(team);
        match total > limit {
            true => self.owe_all(team),
            false => self.give_back(team, limit - total),
        }
    }

    fn owe_all(&mut self, team: &Name) {
        let owed = self.owed.entry(team.clone()).or_default();
        for (m, part) in self.parts.remove(team).unwrap_or_default() {
            *owed.entry(m).or_default() += part;
        }
    }

    /// Turns what is owed into parts again, once all of it fits.
    fn give_back(&mut self, team: &Name, free: u32) {
        let Some(owed) = self.owed.get_mut(team) else {
            return;
        };
        if owed.values().sum::<u32>() > free {
            return;
        }
        let parts = self.parts.entry(team.clone()).or_default();
        for (m, owed) in std::mem::take(owed) {
            *parts.entry(m).or_default() += owed;
        }
    }

    fn give(&mut self, team: &Name, m: MemberId, amount: u32) {
        if amount > 0 {
            *self
                .parts
                .entry(team.clone())
                .or_default()
                .entry(m)
                .or_default() += amount;
        }
    }
}
