//! Certainty: whether a member may start work, by reads of the log or by its guards.
//!
//! A member starts new work only while it is certain that no eviction of it has
//! taken effect. Two sources make it certain for a limited time: a read of the
//! control stream to its tail, counted from when the read was sent, and promises
//! of enough guards not to vote against it, counted from when each ping was
//! sent. A guard votes only after its last promise has expired, and afterwards
//! never makes a promise to that member again.

mod guarded;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident::MemberId;
use crate::ledger::EVICTING_VOTES;
use crate::ledger::GUARDS;
use crate::ledger::Ledger;
use crate::time::Time;
use crate::timing::Timing;

/// Number of promises that make a member certain.
///
/// Any `EVICTING_VOTES` guards include at least one that made such a promise.
pub const PROMISES_MIN: usize = GUARDS - EVICTING_VOTES + 1;

/// The state of one member in the guard protocol, as guarded member and as guard.
#[derive(Debug)]
pub struct Guarding {
    me: MemberId,
    timing: Timing,
    /// Time at which the last read that reached the tail was sent.
    last_tail_read: Option<Time>,
    /// Time at which the last ping that a guard answered with a promise was sent, by guard.
    promised_pings: BTreeMap<MemberId, Time>,
    /// Guard sets of this member that may or may not be in the log, by sequence number.
    unconfirmed: Vec<(u64, Vec<MemberId>)>,
    /// Time of this member's last promise, by guarded member.
    last_promise: BTreeMap<MemberId, Time>,
    /// Time at which the last ping was received, by sender.
    last_ping: BTreeMap<MemberId, Time>,
    /// Offset from which this member guards another, and the time at which it read that record.
    since: BTreeMap<MemberId, (u64, Time)>,
    /// Members that this member voted against, to which it makes no further promises.
    voted: BTreeSet<MemberId>,
    /// Members that this member voted against since it last became their guard.
    votes_cast: BTreeSet<MemberId>,
}

impl Guarding {
    /// Returns the state of a member that has read nothing yet.
    pub fn new(me: MemberId, timing: Timing) -> Self {
        Self {
            me,
            timing,
            last_tail_read: None,
            promised_pings: BTreeMap::new(),
            unconfirmed: Vec::new(),
            last_promise: BTreeMap::new(),
            last_ping: BTreeMap::new(),
            since: BTreeMap::new(),
            voted: BTreeSet::new(),
            votes_cast: BTreeSet::new(),
        }
    }

    /// Records that a read sent at `asked` reached the tail of the control stream.
    pub fn read_to_tail(&mut self, asked: Time) {
        self.last_tail_read = self.last_tail_read.max(Some(asked));
    }

    /// Returns the time until which this member is certain.
    ///
    /// Starting work is allowed strictly before that time. `None` when this process is not a
    /// member, or has neither read to the tail nor received enough promises.
    pub fn certain_until(&self, ledger: &Ledger) -> Option<Time> {
        let member = ledger.members.get(&self.me)?;
        let by_log = self.last_tail_read.map(|t| t + self.timing.read_validity);
        let mut by_guards = self.promised_until(&member.guards);
        for (_, set) in &self.unconfirmed {
            by_guards = by_guards.min(self.promised_until(set));
        }
        by_log.max(by_guards)
    }

    /// Returns whether this member is certain at `now`, and so may start work.
    pub fn certain(&self, now: Time, ledger: &Ledger) -> bool {
        self.certain_until(ledger).is_some_and(|t| now < t)
    }

    /// Returns the members to ping: the present guards and those of unconfirmed guard records.
    pub fn guards(&self, ledger: &Ledger) -> BTreeSet<MemberId> {
        let present = ledger.members.get(&self.me).map(|m| m.guards.clone());
        let all = present
            .into_iter()
            .chain(self.unconfirmed.iter().map(|(_, set)| set.clone()));
        all.flatten().collect()
    }

    /// Records the promise of a guard, in answer to the ping sent at `sent`.
    pub fn promise_received(&mut self, guard: MemberId, sent: Time) {
        let last = self.promised_pings.entry(guard).or_insert(sent);
        *last = sent.max(*last);
    }

    /// Returns the guards that this member should set; `None` when the recorded set is right.
    ///
    /// Guards that voted against it are replaced, preferably by members in failure domains that
    /// have no guard yet; the others keep their positions. Also returns `None` while an earlier
    /// guard record is unconfirmed.
    pub fn wanted_guards(&self, ledger: &Ledger) -> Option<Vec<MemberId>> {
        let member = ledger.members.get(&self.me)?;
        if !self.unconfirmed.is_empty() {
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

    /// Records that the guard record `seq` was sent to the log, and may or may not be in it.
    pub fn guards_written(&mut self, seq: u64, guards: Vec<MemberId>) {
        self.unconfirmed.push((seq, guards));
    }

    /// Records that this member's records up to `seq` have been read from the log.
    pub fn read_back(&mut self, seq: u64) {
        self.unconfirmed.retain(|(s, _)| *s > seq);
    }

    /// Returns the time until which promises of at least `PROMISES_MIN` guards are valid.
    ///
    /// `None` when there are fewer promises, or fewer guards than `GUARDS`.
    fn promised_until(&self, guards: &[MemberId]) -> Option<Time> {
        if guards.len() < GUARDS {
            return None;
        }
        let mut times: Vec<Time> = guards
            .iter()
            .filter_map(|g| self.promised_pings.get(g))
            .map(|sent| *sent + self.timing.promise_validity)
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(PROMISES_MIN - 1).copied()
    }
}
