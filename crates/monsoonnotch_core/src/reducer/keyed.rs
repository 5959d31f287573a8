//! Requests that run at most once, by their idempotency keys.
//!
//! The holder of the key's hash range is its home. The home writes the intent
//! to its journal before it lets the request be dispatched, so that whoever
//! inherits the range knows that the request may have run.

use std::collections::BTreeMap;

use super::Control;
use super::calls::RETRY_AFTER;
use super::journal::Then;
use crate::call::Call;
use crate::call::State;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::job::JournalEntry;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;
use crate::wire::IdemKey;
use crate::wire::IntentAnswer;
use crate::wire::PeerMsg;

/// How long a key is remembered after its request ended.
pub(super) const REMEMBER: Duration = Duration::from_secs(900);

/// Where the request of a key stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The intent is on its way to the journal.
    Recording,
    /// The request was allowed and has not been settled.
    Allowed,
    /// It is settled; it did not run if it is not here at all.
    Settled(Verdict),
}

/// A key that its home remembers.
#[derive(Debug, Clone, Copy)]
struct Known {
    digest: u64,
    stage: Stage,
    /// The request that has the key now.
    by: Option<(MemberId, CallKey)>,
    since: Time,
}

/// All keys that this member is home of.
#[derive(Debug, Default)]
pub(super) struct Keyed {
    known: BTreeMap<IdemKey, Known>,
    tidy_due: Time,
}

impl Keyed {
    /// The places of all keys in the hash space.
    pub(super) fn hashes(&self) -> impl Iterator<Item = u64> {
        self.known.keys().map(IdemKey::hash)
    }
}

impl Control {
    /// Asks the home of a key to allow a call.
    pub(super) fn ask_home(&mut self, call: CallKey, key: IdemKey, digest: u64) {
        let Some(home) = self.ledger.home_of(key.hash()) else {
            return self.give_up(call, Refusal::later(Reason::LogDark, RETRY_AFTER));
        };
        let c = self
            .calls
            .open
            .get_mut(&call)
            .expect("the call was just entered");
        c.state = State::AskedHome;
        c.intent = Some(key.clone());
        let me = self.cfg.me;
        match home == me {
            true => self.intent_asked(me, call, key, digest),
            false => self.send(home, PeerMsg::IntentAsk { call, key, digest }),
        }
    }

    pub(super) fn intent_asked(
        &mut self,
        from: MemberId,
        call: CallKey,
        key: IdemKey,
        digest: u64,
    ) {
        match self.may_record(&key, digest) {
            Ok(()) => self.record_intent(from, call, key, digest),
            Err((reason, verdict)) => {
                self.answer_intent(from, call, IntentAnswer::Refuse(reason, verdict));
            }
        }
    }

    pub(super) fn intent_answered(&mut self, call: CallKey, answer: IntentAnswer) {
        let Some(c) = self.calls.open.get_mut(&call) else {
            // The home learnt that the call was given up when it was.
            return;
        };
        if c.state != State::AskedHome {
            return;
        }
        match answer {
            IntentAnswer::Proceed => self.wait_for_slot(call),
            IntentAnswer::Refuse(reason, verdict) => {
                c.intent = None;
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
        let me = self.cfg.me;
        match self.ledger.home_of(key.hash()) {
            Some(home) if home == me => self.intent_settled(me, &key, call, verdict),
            Some(home) => self.send(home, PeerMsg::IntentSettle { key, call, verdict }),
            None => {}
        }
    }

    pub(super) fn intent_settled(
        &mut self,
        from: MemberId,
        key: &IdemKey,
        call: CallKey,
        verdict: Verdict,
    ) {
        let Some(known) = self.keyed.known.get_mut(key) else {
            return;
        };
        if known.by != Some((from, call)) {
            return;
        }
        known.since = self.now;
        known.stage = Stage::Settled(verdict);
        known.by = None;
        if verdict == Verdict::NotRun {
            self.keyed.known.remove(key);
        }
        let key = key.clone();
        let entry = JournalEntry::Settled { key, verdict };
        self.journal.push(entry, Then::Nothing);
    }

    pub(super) fn intent_recorded(&mut self, from: MemberId, call: CallKey, key: IdemKey) {
        let certain = self.is_certain();
        let Some(known) = self.keyed.known.get_mut(&key) else {
            return;
        };
        if known.by != Some((from, call)) || known.stage != Stage::Recording {
            return;
        }
        known.stage = Stage::Allowed;
        let answer = match certain {
            true => IntentAnswer::Proceed,
            false => IntentAnswer::Refuse(Reason::Uncertain, Verdict::NotRun),
        };
        if !certain {
            self.intent_settled(from, &key, call, Verdict::NotRun);
        }
        self.answer_intent(from, call, answer);
    }

    /// Refuses what waits for the journal while it cannot be written.
    pub(super) fn keyed_journal_dark(&mut self) {
        let recording = |(_, k): &(&IdemKey, &Known)| k.stage == Stage::Recording;
        let known = self.keyed.known.iter().filter(recording);
        let keys: Vec<(IdemKey, (MemberId, CallKey))> = known
            .filter_map(|(key, k)| k.by.map(|by| (key.clone(), by)))
            .collect();
        for (key, (from, call)) in keys {
            self.intent_settled(from, &key, call, Verdict::NotRun);
            let answer = IntentAnswer::Refuse(Reason::LogDark, Verdict::NotRun);
            self.answer_intent(from, call, answer);
        }
    }

    /// Takes over what a former home's journal says of its keys.
    pub(super) fn adopt_key(&mut self, entry: &JournalEntry) {
        let since = self.now;
        match entry {
            JournalEntry::Intent { key, digest } => {
                let known = Known {
                    digest: *digest,
                    stage: Stage::Settled(Verdict::MayHaveRun),
                    by: None,
                    since,
                };
                self.keyed.known.insert(key.clone(), known);
            }
            JournalEntry::Settled { key, verdict } if *verdict == Verdict::NotRun => {
                self.keyed.known.remove(key);
            }
            JournalEntry::Settled { key, verdict } => {
                if let Some(known) = self.keyed.known.get_mut(key) {
                    known.stage = Stage::Settled(*verdict);
                }
            }
            _ => {}
        }
    }

    pub(super) fn tick_keyed(&mut self) {
        if self.now < self.keyed.tidy_due {
            return;
        }
        self.keyed.tidy_due = self.now + Duration::from_secs(10);
        let now = self.now;
        let kept = |k: &Known| k.by.is_some() || now.since(k.since) < REMEMBER;
        self.keyed.known.retain(|_, k| kept(k));
    }

    fn may_record(&self, key: &IdemKey, digest: u64) -> Result<(), (Reason, Verdict)> {
        if !self.is_certain() {
            return Err((Reason::Uncertain, Verdict::NotRun));
        }
        if !self.home_is_ready(key.hash()) {
            return Err((Reason::Uncertain, Verdict::NotRun));
        }
        match self.keyed.known.get(key) {
            Some(k) if k.digest != digest => Err((Reason::KeyInUse, Verdict::NotRun)),
            Some(Known {
                stage: Stage::Settled(Verdict::Ran),
                ..
            }) => Err((Reason::AlreadyRan, Verdict::Ran)),
            Some(_) => Err((Reason::KeyInUse, Verdict::MayHaveRun)),
            None if self.log.dark => Err((Reason::LogDark, Verdict::NotRun)),
            None => Ok(()),
        }
    }

    fn record_intent(&mut self, from: MemberId, call: CallKey, key: IdemKey, digest: u64) {
        let known = Known {
            digest,
            stage: Stage::Recording,
            by: Some((from, call)),
            since: self.now,
        };
        self.keyed.known.insert(key.clone(), known);
        let entry = JournalEntry::Intent {
            key: key.clone(),
            digest,
        };
        self.journal.push(entry, Then::Proceed(from, call, key));
    }

    fn answer_intent(&mut self, to: MemberId, call: CallKey, answer: IntentAnswer) {
        match to == self.cfg.me {
            true => self.intent_answered(call, answer),
            false => self.send(to, PeerMsg::IntentAnswer { call, answer }),
        }
    }
}
