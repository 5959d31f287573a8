//! Who may start work: certainty by fresh reads of the log or by guards.
//!
//! A member starts new work only while no eviction of it can have taken
//! effect. It is certain of that for a while after a read of the control
//! stream to its tail, counted from before the read was sent, and while enough
//! of its guards have promised not to vote against it, counted from before the
//! ping was sent. A guard votes only after its last promise has run out, and
//! never promises that incarnation again.

mod guarded;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident::MemberId;
use crate::ledger::EVICTING_VOTES;
use crate::ledger::GUARDS;
use crate::ledger::Ledger;
use crate::time::Time;
use crate::timing::Timing;

/// Promises that make a member certain: any two evicting votes meet one of them.
pub const PROMISES_MIN: usize = GUARDS - EVICTING_VOTES + 1;

/// One member's part in the guard protocol.
#[derive(Debug)]
pub struct Guarding {
    me: MemberId,
    timing: Timing,
    /// When the last read that reached the tail was sent.
    fresh: Option<Time>,
    /// When the last promised ping was sent, by guard.
    promised: BTreeMap<MemberId, Time>,
    /// Own guard records that may or may not be in the log.
    doubtful: Vec<(u64, Vec<MemberId>)>,
    /// When this member last promised, by ward.
    gave: BTreeMap<MemberId, Time>,
    /// When a ward was last heard.
    heard: BTreeMap<MemberId, Time>,
    /// Offset from which this member guards a ward, and when it read so.
    since: BTreeMap<MemberId, (u64, Time)>,
    /// Wards that this member voted against and never vouches for again.
    voted: BTreeSet<MemberId>,
    /// Wards against which it voted as their present guard.
    cast: BTreeSet<MemberId>,
}

impl Guarding {
    /// A member that has read nothing yet.
    pub fn new(me: MemberId, timing: Timing) -> Self {
        Self {
            me,
            timing,
            fresh: None,
            promised: BTreeMap::new(),
            doubtful: Vec::new(),
            gave: BTreeMap::new(),
            heard: BTreeMap::new(),
            since: BTreeMap::new(),
            voted: BTreeSet::new(),
            cast: BTreeSet::new(),
        }
    }

    /// The control stream was read to its tail by a read sent at `asked`.
    pub fn read_to_tail(&mut self, asked: Time) {
        self.fresh = self.fresh.max(Some(asked));
    }

    /// Until when this member is certain; `None` when it is not a member.
    ///
    /// Starting work is allowed strictly before that time.
    pub fn certain_until(&self, ledger: &Ledger) -> Option<Time> {
        let member = ledger.members.get(&self.me)?;
        let by_log = self.fresh.map(|t| t + self.timing.read_validity);
        let mut by_guards = self.vouched_until(&member.guards);
        for (_, set) in &self.doubtful {
            by_guards = by_guards.min(self.vouched_until(set));
        }
        by_log.max(by_guards)
    }

    /// Whether this member may start work now.
    pub fn certain(&self, now: Time, ledger: &Ledger) -> bool {
        self.certain_until(ledger).is_some_and(|t| now < t)
    }

    /// The members to ping: the present guards and those of doubtful records.
    pub fn guards(&self, ledger: &Ledger) -> BTreeSet<MemberId> {
        let present = ledger.members.get(&self.me).map(|m| m.guards.clone());
        let all = present
            .into_iter()
            .chain(self.doubtful.iter().map(|(_, set)| set.clone()));
        all.flatten().collect()
    }

    /// A guard promised, in answer to the ping sent at `sent`.
    pub fn promise_received(&mut self, guard: MemberId, sent: Time) {
        let last = self.promised.entry(guard).or_insert(sent);
        *last = sent.max(*last);
    }

    /// The guards that this member should name now, if that differs from what is recorded.
    ///
    /// Guards that voted against it are replaced; those that stay keep their
    /// places. Failure domains that have no guard yet come first.
    pub fn wanted_guards(&self, ledger: &Ledger) -> Option<Vec<MemberId>> {
        let member = ledger.members.get(&self.me)?;
        if !self.doubtful.is_empty() {
            return None;
        }
        let mut want = member.guards.clone();
        want.retain(|g| !member.votes.contains(g));
        while want.len() < GUARDS
            && let Some(next) = ledger.next_guard(self.me, &want, &member.guards)
        {
            want.push(next);
        }
        (want != member.guards).then_some(want)
    }

    /// The guard record `seq` was handed to the log and may or may not be in it.
    pub fn guards_written(&mut self, seq: u64, guards: Vec<MemberId>) {
        self.doubtful.push((seq, guards));
    }

    /// Own records up to `seq` have been read back.
    pub fn read_back(&mut self, seq: u64) {
        self.doubtful.retain(|(s, _)| *s > seq);
    }

    /// Until when at least `PROMISES_MIN` guards of a full set vouch.
    fn vouched_until(&self, guards: &[MemberId]) -> Option<Time> {
        if guards.len() < GUARDS {
            return None;
        }
        let mut times: Vec<Time> = guards
            .iter()
            .filter_map(|g| self.promised.get(g))
            .map(|sent| *sent + self.timing.promise_validity)
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(PROMISES_MIN - 1).copied()
    }
}
