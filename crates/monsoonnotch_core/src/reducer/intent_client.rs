//! The requesting side of the protocol for requests that run at most once.
//!
//! The entry that serves the caller requests permission from the home of the
//! idempotency key and retries until it gets an answer. After the request it
//! reports the outcome and retries until the home has recorded it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use super::calls::RETRY_AFTER;
use super::keyed::KEY_RETENTION;
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

/// Delay before an unanswered intent request is sent again.
const REQUEST_RETRY: Duration = Duration::from_millis(300);
/// Delay before an outcome that the home has not confirmed is reported again.
const SETTLE_RETRY: Duration = Duration::from_secs(1);
/// Maximum number of outcomes that one tick reports again.
const SETTLES_MAX: usize = 256;

/// The outcome of a keyed request that the home has not confirmed yet.
#[derive(Debug)]
struct Outcome {
    key: IdemKey,
    verdict: Verdict,
    /// Time after which the home has removed the key, so that the report is dropped.
    until: Time,
}

/// Keyed requests of this entry's callers that wait for an answer or a confirmation of a home.
#[derive(Debug, Default)]
pub(super) struct IntentClient {
    /// Digest of each request that waits for the answer of its home.
    digests: BTreeMap<CallKey, u64>,
    requests_due: BTreeSet<(Time, CallKey)>,
    outcomes: BTreeMap<CallKey, Outcome>,
    outcomes_due: BTreeSet<(Time, CallKey)>,
}

impl Control {
    /// Requests permission for a call from the home of its key.
    pub(super) fn request_intent(&mut self, call: CallKey, key: IdemKey, digest: u64) {
        let c = self.calls.open.get_mut(&call);
        let c = c.expect("the call was just opened");
        c.state = State::AwaitingHome;
        c.intent = Some(key);
        self.intent_client.digests.insert(call, digest);
        self.send_intent_request(call);
    }

    pub(super) fn intent_answered(&mut self, call: CallKey, answer: IntentAnswer) {
        let open = self.calls.open.get(&call);
        if open.is_none_or(|c| c.state != State::AwaitingHome) {
            // The call has ended, which was reported to the home, or the answer is a duplicate.
            return;
        }
        self.intent_client.digests.remove(&call);
        match answer {
            IntentAnswer::Proceed => self.wait_for_slot(call),
            IntentAnswer::Refuse(reason, verdict) => {
                let retry_after = (verdict == Verdict::NotRun).then_some(RETRY_AFTER);
                let refusal = Refusal {
                    verdict,
                    reason,
                    retry_after,
                };
                self.refuse_waiting_call(call, refusal);
            }
        }
    }

    /// Reports the outcome of a call to the home of its key, if it has one.
    pub(super) fn settle_intent(&mut self, call: CallKey, c: &Call, verdict: Verdict) {
        let Some(key) = c.intent.clone() else {
            return;
        };
        let until = self.now + KEY_RETENTION;
        let outcome = Outcome {
            key,
            verdict,
            until,
        };
        self.intent_client.digests.remove(&call);
        self.intent_client.outcomes.insert(call, outcome);
        self.report_outcome(call);
    }

    /// Handles the home's confirmation that it recorded the outcome of a call.
    pub(super) fn settle_acknowledged(&mut self, call: CallKey) {
        self.intent_client.outcomes.remove(&call);
    }

    pub(super) fn retry_settles(&mut self) {
        for _ in 0..SETTLES_MAX {
            match self.intent_client.outcomes_due.first().copied() {
                Some((at, call)) if at <= self.now => {
                    self.intent_client.outcomes_due.remove(&(at, call));
                    self.report_outcome(call);
                }
                _ => return,
            }
        }
    }

    pub(super) fn retry_intent_requests(&mut self) {
        while let Some((at, call)) = self.intent_client.requests_due.first().copied() {
            if at > self.now {
                return;
            }
            self.intent_client.requests_due.remove(&(at, call));
            self.send_intent_request(call);
        }
    }

    /// Sends all open intent requests again, because the home of some may have changed.
    pub(super) fn intent_requests_member_ended(&mut self) {
        let calls: Vec<CallKey> = self.intent_client.digests.keys().copied().collect();
        for call in calls {
            self.send_intent_request(call);
        }
    }

    fn send_intent_request(&mut self, call: CallKey) {
        let waits = |c: &&Call| c.state == State::AwaitingHome;
        let key = self.calls.open.get(&call).filter(waits);
        let key = key.and_then(|c| c.intent.clone());
        let (Some(key), Some(digest)) = (key, self.intent_client.digests.get(&call).copied())
        else {
            self.intent_client.digests.remove(&call);
            return;
        };
        let me = self.cfg.me;
        match self.ledger.home_of(key.hash()) {
            None => {
                return self.refuse_waiting_call(
                    call,
                    Refusal::later(Reason::LogUnavailable, RETRY_AFTER),
                );
            }
            Some(home) if home == me => self.intent_requested(me, call, key, digest),
            Some(home) => self.send(home, PeerMsg::IntentRequest { call, key, digest }),
        }
        if self.intent_client.digests.contains_key(&call) {
            self.intent_client
                .requests_due
                .insert((self.now + REQUEST_RETRY, call));
        }
    }

    fn report_outcome(&mut self, call: CallKey) {
        let Some(o) = self.intent_client.outcomes.get(&call) else {
            return;
        };
        if o.until <= self.now {
            self.intent_client.outcomes.remove(&call);
            return;
        }
        let (key, verdict) = (o.key.clone(), o.verdict);
        let due = (self.now + SETTLE_RETRY, call);
        self.intent_client.outcomes_due.insert(due);
        let me = self.cfg.me;
        match self.ledger.home_of(key.hash()) {
            Some(home) if home == me => self.intent_settled(me, &key, call, verdict),
            Some(home) => self.send(home, PeerMsg::IntentSettle { key, call, verdict }),
            None => {}
        }
    }
}
