//! The guard's side of the protocol: promises to guarded members and votes against them.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::Guarding;
use crate::ident::MemberId;
use crate::ledger::Ledger;
use crate::time::Time;

impl Guarding {
    /// Handles a ping of a member; returns whether to answer it with a promise.
    #[must_use]
    pub fn pinged(&mut self, now: Time, member: MemberId, ledger: &Ledger) -> bool {
        self.last_ping.insert(member, now);
        let guards = self.is_guard_of(member, ledger);
        let may = guards && !self.voted.contains(&member) && self.certain(now, ledger);
        if may {
            self.last_promise.insert(member, now);
        }
        may
    }

    /// Updates the set of members that this one guards, from the ledger as read so far.
    pub fn update_guarded(&mut self, now: Time, ledger: &Ledger) {
        let guarded: BTreeMap<MemberId, u64> = self.guarded(ledger).collect();
        let same = |m: &MemberId, offset: u64| guarded.get(m) == Some(&offset);
        self.since.retain(|m, (offset, _)| same(m, *offset));
        for (m, offset) in guarded {
            if let Entry::Vacant(entry) = self.since.entry(m) {
                entry.insert((offset, now));
                self.votes_cast.remove(&m);
            }
        }
        let present = |m: &MemberId| ledger.is_member(*m);
        self.last_ping.retain(|m, _| present(m));
        self.last_promise.retain(|m, _| present(m));
        self.voted.retain(present);
        self.votes_cast.retain(present);
        self.promised_pings.retain(|m, _| present(m));
    }

    /// Returns the guarded members to vote against now, each only once.
    #[must_use]
    pub fn votes_due(&mut self, now: Time, ledger: &Ledger) -> Vec<MemberId> {
        if !self.certain(now, ledger) {
            return Vec::new();
        }
        let due: Vec<MemberId> = self
            .guarded(ledger)
            .map(|(m, _)| m)
            .filter(|m| self.vote_is_due(now, *m))
            .collect();
        self.voted.extend(due.iter().copied());
        self.votes_cast.extend(due.iter().copied());
        due
    }

    fn vote_is_due(&self, now: Time, member: MemberId) -> bool {
        let Some((_, since)) = self.since.get(&member) else {
            return false;
        };
        let last_promise = self.last_promise.get(&member).copied();
        let last_ping = self.last_ping.get(&member).copied().unwrap_or(*since);
        let timing = &self.timing;
        !self.votes_cast.contains(&member)
            && now.since(*since) > timing.new_guard_wait()
            && last_promise
                .is_none_or(|t| now.since(t) > timing.promise_validity + timing.clock_drift)
            && now.since(last_ping) > timing.suspect_after
    }

    fn is_guard_of(&self, member: MemberId, ledger: &Ledger) -> bool {
        let guards = ledger.members.get(&member).map(|m| &m.guards);
        guards.is_some_and(|g| g.contains(&self.me))
    }

    /// Iterates over the guarded members, each with the offset from which this one guards it.
    fn guarded(&self, ledger: &Ledger) -> impl Iterator<Item = (MemberId, u64)> {
        let me = self.me;
        let members = ledger.members.iter();
        members.filter_map(move |(id, m)| Some((*id, *m.since.get(&me)?)))
    }
}
