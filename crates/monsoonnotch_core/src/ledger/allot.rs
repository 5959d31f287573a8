//! Parts of the teams' upper limits, each with one holder.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::MemberId;
use crate::ident::Name;

/// Holder's parts of every team's upper limit.
///
/// The parts of a team never add up to more than its limit.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotments {
    parts: BTreeMap<Name, BTreeMap<MemberId, u32>>,
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

    /// Adds up to `amount` of what is unheld of `limit`.
    pub fn claim(&mut self, team: &Name, limit: u32, m: MemberId, amount: u32) {
        let free = limit.saturating_sub(self.total(team));
        self.give(team, m, amount.min(free));
    }

    /// Moves up to `amount` from one holder to another.
    pub fn transfer(&mut self, team: &Name, from: MemberId, to: MemberId, amount: u32) {
        let moved = self.release(team, from, amount);
        self.give(team, to, moved);
    }

    /// Takes up to `amount` from a holder; says how much it was.
    pub fn release(&mut self, team: &str, m: MemberId, amount: u32) -> u32 {
        let Some(part) = self.parts.get_mut(team).and_then(|p| p.get_mut(&m)) else {
            return 0;
        };
        let taken = amount.min(*part);
        *part -= taken;
        taken
    }

    /// Moves all that `from` holds to `to`, or makes it unheld.
    pub fn inherit(&mut self, from: MemberId, to: Option<MemberId>) {
        for parts in self.parts.values_mut() {
            let Some(part) = parts.remove(&from) else {
                continue;
            };
            if let Some(to) = to {
                *parts.entry(to).or_default() += part;
            }
        }
    }

    /// Scales the parts down to a lowered limit, each rounded down.
    pub fn limit(&mut self, team: &str, limit: u32) {
        let total = u64::from(self.total(team));
        let Some(parts) = self.parts.get_mut(team) else {
            return;
        };
        if total <= u64::from(limit) {
            return;
        }
        for part in parts.values_mut() {
            let scaled = u64::from(*part) * u64::from(limit) / total;
            *part = u32::try_from(scaled).expect("a part scaled down still fits");
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
