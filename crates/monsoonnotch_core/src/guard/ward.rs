//! The guard's side: promises given and votes cast.

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
    pub fn wards_read(&mut self, now: Time, ledger: &Ledger) {
        let wards: Vec<MemberId> = self.wards(ledger).collect();
        self.since.retain(|w, _| wards.contains(w));
        for w in wards {
            self.since.entry(w).or_insert(now);
        }
        let present = |m: &MemberId| ledger.is_member(*m);
        self.heard.retain(|m, _| present(m));
        self.gave.retain(|m, _| present(m));
        self.voted.retain(present);
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
            .filter(|w| self.vote_is_due(now, *w))
            .collect();
        self.voted.extend(due.iter().copied());
        due
    }

    fn vote_is_due(&self, now: Time, ward: MemberId) -> bool {
        let Some(since) = self.since.get(&ward) else {
            return false;
        };
        let gave = self.gave.get(&ward).copied();
        let heard = self.heard.get(&ward).copied().unwrap_or(*since);
        let timing = &self.timing;
        !self.voted.contains(&ward)
            && now.since(*since) > timing.new_guard()
            && gave.is_none_or(|t| now.since(t) > timing.promise + timing.drift)
            && now.since(heard) > timing.suspect
    }

    fn guards_ward(&self, ward: MemberId, ledger: &Ledger) -> bool {
        let guards = ledger.members.get(&ward).map(|m| &m.guards);
        guards.is_some_and(|g| g.contains(&self.me))
    }

    fn wards(&self, ledger: &Ledger) -> impl Iterator<Item = MemberId> {
        let me = self.me;
        let guarded = move |(_, m): &(&MemberId, &crate::ledger::Member)| m.guards.contains(&me);
        ledger.members.iter().filter(guarded).map(|(id, _)| *id)
    }
}
