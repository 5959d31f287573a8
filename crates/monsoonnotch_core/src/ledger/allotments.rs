//! Allotments: parts of the teams' limits, each with one holder.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::MemberId;
use crate::ident::Name;

/// The parts of every team's limit, by holder.
///
/// The parts of a team never add up to more than its limit. When a limit is
/// lowered below the sum of the parts, all parts become owed: they may still be
/// in use, but allow no new starts. Each holder releases what it no longer uses
/// of the owed amount, and members claim anew only what the limit exceeds the
/// remaining owed amounts by. Nothing starts while a team has more running than
/// its limit.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotments {
    parts: BTreeMap<Name, BTreeMap<MemberId, u32>>,
    owed: BTreeMap<Name, BTreeMap<MemberId, u32>>,
}

impl Allotments {
    /// Returns the part of a team's limit that a member holds.
    pub fn part(&self, team: &str, m: MemberId) -> u32 {
        let parts = self.parts.get(team);
        parts.and_then(|p| p.get(&m)).copied().unwrap_or(0)
    }

    /// Returns the sum of all parts of a team's limit.
    pub fn total(&self, team: &str) -> u32 {
        self.parts.get(team).map_or(0, |p| p.values().sum())
    }

    /// Returns the amount that a member owes of a team's limit since it was lowered.
    pub fn owed(&self, team: &str, m: MemberId) -> u32 {
        let owed = self.owed.get(team);
        owed.and_then(|p| p.get(&m)).copied().unwrap_or(0)
    }

    /// Returns the amount of `limit` that is neither held nor owed.
    pub fn unheld(&self, team: &str, limit: u32) -> u32 {
        let owed: u32 = self.owed.get(team).map_or(0, |p| p.values().sum());
        limit.saturating_sub(self.total(team)).saturating_sub(owed)
    }

    /// Adds `amount` to a member's part, or what is unheld of `limit` if that is less.
    pub fn claim(&mut self, team: &Name, limit: u32, m: MemberId, amount: u32) {
        let free = self.unheld(team, limit);
        self.add(team, m, amount.min(free));
    }

    /// Moves `amount`, or the whole part if that is less, from one holder to another.
    pub fn transfer(&mut self, team: &Name, from: MemberId, to: MemberId, amount: u32) {
        let Some(part) = self.parts.get_mut(team).and_then(|p| p.get_mut(&from)) else {
            return;
        };
        let moved = amount.min(*part);
        *part -= moved;
        self.add(team, to, moved);
    }

    /// Reduces the amount that a member owes by `amount`, which it no longer uses.
    pub fn release(&mut self, team: &str, m: MemberId, amount: u32) {
        if let Some(owed) = self.owed.get_mut(team).and_then(|p| p.get_mut(&m)) {
            *owed = owed.saturating_sub(amount);
        }
    }

    /// Moves all that `from` holds and owes to `to`; without `to` it becomes unheld.
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

    /// Adapts the parts to a changed limit.
    ///
    /// When the parts exceed the limit, all of them become owed. Otherwise the owed amounts
    /// become parts again if all of them fit.
    pub fn limit(&mut self, team: &Name, limit: u32) {
        let total = self.total(team);
        match total > limit {
            true => self.owe_all(team),
            false => self.restore_owed(team, limit - total),
        }
    }

    fn owe_all(&mut self, team: &Name) {
        let owed = self.owed.entry(team.clone()).or_default();
        for (m, part) in self.parts.remove(team).unwrap_or_default() {
            *owed.entry(m).or_default() += part;
        }
    }

    /// Turns all owed amounts into parts again if their sum is at most `free`.
    fn restore_owed(&mut self, team: &Name, free: u32) {
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

    fn add(&mut self, team: &Name, m: MemberId, amount: u32) {
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
