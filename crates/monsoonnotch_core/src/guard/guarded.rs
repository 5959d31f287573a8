//! The guard's side: promises given and votes cast.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::Guarding;
use crate::ident::MemberId;
use crate::ledger::Ledger;
use crate::time::Time;

impl Guarding {
    /// A member asks this one to vouch for it; says whether to promise.
    #[must_use]
    pub fn pinged(&mut self, now: Time, ward: MemberId, ledger: &Ledger) -> bool {
        self.heard.insert(ward, now);
        let guards = self.guards_ward(ward, ledger);
        let may = guards && !self.voted.contains(&ward) && self.certain(now, ledger);
        if may {
            self.gave.insert(ward, now);
        }
        may
    }

    /// Notes which members this one guards by what it has read.
    pub fn update_guarded(&mut self, now: Time, ledger: &Ledger) {
        let wards: BTreeMap<MemberId, u64> = self.wards(ledger).collect();
        let same = |w: &MemberId, offset: u64| wards.get(w) == Some(&offset);
        self.since.retain(|w, (offset, _)| same(w, *offset));
        for (w, offset) in wards {
            if let Entry::Vacant(entry) = self.since.entry(w) {
                entry.insert((offset, now));
                self.cast.remove(&w);
            }
        }
        let present = |m: &MemberId| ledger.is_member(*m);
        self.heard.retain(|m, _| present(m));
        self.gave.retain(|m, _| present(m));
        self.voted.retain(present);
        self.cast.retain(present);
        self.promised.retain(|m, _| present(m));
    }

    /// The wards to vote against now; each is named once.
    #[must_use]
    pub fn votes_due(&mut self, now: Time, ledger: &Ledger) -> Vec<MemberId> {
        if !self.certain(now, ledger) {
            return Vec::new();
        }
        let due: Vec<MemberId> = self
            .wards(ledger)
            .map(|(w, _)| w)
            .filter(|w| self.vote_is_due(now, *w))
            .collect();
        self.voted.extend(due.iter().copied());
        self.cast.extend(due.iter().copied());
        due
    }

    fn vote_is_due(&self, now: Time, ward: MemberId) -> bool {
        let Some((_, since)) = self.since.get(&ward) else {
            return false;
        };
        let gave = self.gave.get(&ward).copied();
        let heard = self.heard.get(&ward).copied().unwrap_or(*since);
        let timing = &self.timing;
        !self.cast.contains(&ward)
            && now.since(*since) > timing.new_guard_wait()
            && gave.is_none_or(|t| now.since(t) > timing.promise_validity + timing.clock_drift)
            && now.since(heard) > timing.suspect_after
    }

    fn guards_ward(&self, ward: MemberId, ledger: &Ledger) -> bool {
        let guards = ledger.members.get(&ward).map(|m| &m.guards);
        guards.is_some_and(|g| g.contains(&self.me))
    }

    /// The wards, each with the offset from which this member guards it.
    fn wards(&self, ledger: &Ledger) -> impl Iterator<Item = (MemberId, u64)> {
        let me = self.me;
        let members = ledger.members.iter();
        members.filter_map(move |(id, m)| Some((*id, *m.since.get(&me)?)))
    }
}
