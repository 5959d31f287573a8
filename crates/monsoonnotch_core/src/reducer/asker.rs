//! The asker's side of requests that run at most once.
//!
//! The entry that has the caller asks the key's home, again while there is no
//! answer, and tells it the outcome, again until the home has recorded it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use super::calls::RETRY_AFTER;
use super::keyed::REMEMBER;
use crate::call::Call;
use crate::call::State;
use crate::ident::CallKey;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;
use crate::wire::IdemKey;
use crate::wire::IntentAnswer;
use crate::wire::PeerMsg;

/// Pause after which a question without an answer is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// Pause after which an outcome that the home has not confirmed is told again.
const SETTLE_PAUSE: Duration = Duration::from_secs(1);
/// Most outcomes told again in one tick.
const SETTLES_MAX: usize = 256;

/// An outcome that the home of the key has not confirmed.
#[derive(Debug)]
struct Outcome {
    key: IdemKey,
    verdict: Verdict,
    /// After this the home has forgotten the key anyway.
    until: Time,
}

/// Own callers' keyed requests that a home has yet to answer or to confirm.
#[derive(Debug, Default)]
pub(super) struct IntentClient {
    /// Digest of each request that waits for its home.
    digests: BTreeMap<CallKey, u64>,
    asks_due: BTreeSet<(Time, CallKey)>,
    outcomes: BTreeMap<CallKey, Outcome>,
    outcomes_due: BTreeSet<(Time, CallKey)>,
}

impl Control {
    /// Asks the home of a key to allow a call.
    pub(super) fn ask_home(&mut self, call: CallKey, key: IdemKey, digest: u64) {
        let c = self.calls.open.get_mut(&call);
        let c = c.expect("the call was just entered");
        c.state = State::AwaitingHome;
        c.intent = Some(key);
        self.asker.digests.insert(call, digest);
        self.send_ask(call);
    }

    pub(super) fn intent_answered(&mut self, call: CallKey, answer: IntentAnswer) {
        let open = self.calls.open.get(&call);
        if open.is_none_or(|c| c.state != State::AwaitingHome) {
            // The home learnt that the call was given up when it was.
            return;
        }
        self.asker.digests.remove(&call);
        match answer {
            IntentAnswer::Proceed => self.wait_for_slot(call),
            IntentAnswer::Refuse(reason, verdict) => {
                let retry_after = (verdict == Verdict::NotRun).then_some(RETRY_AFTER);
                let refusal = Refusal {
                    verdict,
                    reason,
                    retry_after,
                };
                self.give_up(call, refusal);
            }
        }
    }

    /// Tells the home of a call's key what became of it.
    pub(super) fn settle_intent(&mut self, call: CallKey, c: &Call, verdict: Verdict) {
        let Some(key) = c.intent.clone() else {
            return;
        };
        let until = self.now + REMEMBER;
        let outcome = Outcome {
            key,
            verdict,
            until,
        };
        self.asker.digests.remove(&call);
        self.asker.outcomes.insert(call, outcome);
        self.tell_outcome(call);
    }

    /// The home has recorded the outcome of a call.
    pub(super) fn settle_seen(&mut self, call: CallKey) {
        self.asker.outcomes.remove(&call);
    }

    pub(super) fn repeat_settles(&mut self) {
        for _ in 0..SETTLES_MAX {
            match self.asker.outcomes_due.first().copied() {
                Some((at, call)) if at <= self.now => {
                    self.asker.outcomes_due.remove(&(at, call));
                    self.tell_outcome(call);
                }
                _ => return,
            }
        }
    }

    pub(super) fn repeat_asks(&mut self) {
        while let Some((at, call)) = self.asker.asks_due.first().copied() {
            if at > self.now {
                return;
            }
            self.asker.asks_due.remove(&(at, call));
            self.send_ask(call);
        }
    }

    /// Asks the new homes at once after a home has ended.
    pub(super) fn asks_member_ended(&mut self) {
        let calls: Vec<CallKey> = self.asker.digests.keys().copied().collect();
        for call in calls {
            self.send_ask(call);
        }
    }

    fn send_ask(&mut self, call: CallKey) {
        let waits = |c: &&Call| c.state == State::AwaitingHome;
        let key = self.calls.open.get(&call).filter(waits);
        let key = key.and_then(|c| c.intent.clone());
        let (Some(key), Some(digest)) = (key, self.asker.digests.get(&call).copied()) else {
            self.asker.digests.remove(&call);
            return;
        };
        let me = self.cfg.me;
        match self.ledger.home_of(key.hash()) {
            None => return self.give_up(call, Refusal::later(Reason::LogUnavailable, RETRY_AFTER)),
            Some(home) if home == me => self.intent_asked(me, call, key, digest),
            Some(home) => self.send(home, PeerMsg::IntentRequest { call, key, digest }),
        }
        if self.asker.digests.contains_key(&call) {
            self.asker.asks_due.insert((self.now + ASK_PAUSE, call));
        }
    }

    fn tell_outcome(&mut self, call: CallKey) {
        let Some(o) = self.asker.outcomes.get(&call) else {
            return;
        };
        if o.until <= self.now {
            self.asker.outcomes.remove(&call);
            return;
        }
        let (key, verdict) = (o.key.clone(), o.verdict);
        let due = (self.now + SETTLE_PAUSE, call);
        self.asker.outcomes_due.insert(due);
        let me = self.cfg.me;
        match self.ledger.home_of(key.hash()) {
            Some(home) if home == me => self.intent_settled(me, &key, call, verdict),
            Some(home) => self.send(home, PeerMsg::IntentSettle { key, call, verdict }),
            None => {}
        }
    }
}
