//! The home's side of the protocol for requests that run at most once.
//!
//! The home of an idempotency key is the holder of the key's hash range. It
//! writes an intent to its journal before it allows the dispatch of a request,
//! so that a successor finds that the request may have run. An intent allows
//! only the request that it names, and the entry of that request dispatches it
//! once, so it is safe to allow the same request repeatedly.

use std::collections::BTreeMap;

use super::Control;
use super::journal::AfterAppend;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::job::JournalEntry;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::wire::IdemKey;
use crate::wire::IntentAnswer;
use crate::wire::PeerMsg;

/// How long a key is kept after its request ended.
pub(super) const KEY_RETENTION: Duration = Duration::from_secs(900);
/// Maximum number of keys that one home keeps.
const KEYS_MAX: usize = 65_536;
/// Interval between two removals of expired keys.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Progress of the request of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The intent is being written to the journal.
    Recording,
    /// The request was allowed and its outcome is not known yet.
    Allowed,
    /// The outcome is known. A key whose request did not run is removed instead.
    Settled(Verdict),
}

/// The state of a key at its home.
#[derive(Debug, Clone, Copy)]
struct KeyRecord {
    digest: u64,
    stage: Stage,
    /// The request that uses the key, or was the last to use it.
    by: (MemberId, CallKey),
    since: Time,
    /// Time of the last write of the key to this member's journal.
    written: Time,
}

/// How a home handles an intent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    /// Write the intent to the journal first.
    Record,
    /// Wait for the write of the intent; the answer follows it.
    Wait,
    /// Send the answer at once.
    Answer(IntentAnswer),
}

/// All keys whose home is this member.
#[derive(Debug, Default)]
pub(super) struct Keyed {
    known: BTreeMap<IdemKey, KeyRecord>,
    prune_due: Time,
}

impl Keyed {
    /// Returns the hashes of all keys.
    pub(super) fn hashes(&self) -> impl Iterator<Item = u64> {
        self.known.keys().map(IdemKey::hash)
    }
}

impl Control {
    pub(super) fn intent_requested(
        &mut self,
        from: MemberId,
        call: CallKey,
        key: IdemKey,
        digest: u64,
    ) {
        match self.decide_intent(&(from, call), &key, digest) {
            Decision::Record => self.record_intent(from, call, key, digest),
            Decision::Wait => {}
            Decision::Answer(answer) => self.answer_intent(from, call, answer),
        }
    }

    pub(super) fn intent_settled(
        &mut self,
        from: MemberId,
        key: &IdemKey,
        call: CallKey,
        verdict: Verdict,
    ) {
        if !self.may_keep_records() || !self.home_is_ready(key.hash()) {
            // The requester reports the outcome again.
            return;
        }
        let by = (from, call);
        let settled = |k: &&mut KeyRecord| k.by == by && !matches!(k.stage, Stage::Settled(_));
        let Some(known) = self.keyed.known.get_mut(key).filter(settled) else {
            return self.confirm_settle(from, call);
        };
        known.since = self.now;
        known.stage = Stage::Settled(verdict);
        if verdict == Verdict::NotRun {
            self.keyed.known.remove(key);
        }
        let key = key.clone();
        let entry = JournalEntry::Settled { key, by, verdict };
        self.journal.push(entry, AfterAppend::Settled(from, call));
    }

    pub(super) fn confirm_settle(&mut self, requester: MemberId, call: CallKey) {
        match requester == self.cfg.me {
            true => self.settle_acknowledged(call),
            false => self.send(requester, PeerMsg::SettleAck { call }),
        }
    }

    pub(super) fn intent_recorded(&mut self, from: MemberId, call: CallKey, key: IdemKey) {
        let may = self.may_keep_records();
        let Some(known) = self.keyed.known.get_mut(&key) else {
            return;
        };
        if known.by != (from, call) || known.stage != Stage::Recording {
            return;
        }
        known.stage = Stage::Allowed;
        // The requester reports a refused request as not run, which frees the key.
        let answer = match may {
            true => IntentAnswer::Proceed,
            false => IntentAnswer::Refuse(Reason::Uncertain, Verdict::NotRun),
        };
        self.answer_intent(from, call, answer);
    }

    /// Refuses the requests whose intents cannot be written because the journal is unavailable.
    pub(super) fn refuse_recording_keys(&mut self) {
        let recording = self.keyed.known.values();
        let recording = recording.filter(|k| k.stage == Stage::Recording);
        let refused: Vec<(MemberId, CallKey)> = recording.map(|k| k.by).collect();
        for (from, call) in refused {
            let answer = IntentAnswer::Refuse(Reason::LogUnavailable, Verdict::NotRun);
            self.answer_intent(from, call, answer);
        }
    }

    /// Marks the unsettled requests of an ended member as possibly run.
    pub(super) fn keyed_member_ended(&mut self, m: MemberId) {
        let now = self.now;
        let open = |k: &&mut KeyRecord| k.by.0 == m && !matches!(k.stage, Stage::Settled(_));
        for known in self.keyed.known.values_mut().filter(open) {
            known.stage = Stage::Settled(Verdict::MayHaveRun);
            known.since = now;
        }
    }

    /// Takes over from a predecessor's journal the keys whose home is now this member.
    pub(super) fn adopt_keys(&mut self, entries: &[JournalEntry]) {
        for (key, found) in self.keys_from_journal(entries) {
            let overrides = match self.keyed.known.get(&key) {
                None => true,
                Some(k) => found.stage == Stage::Settled(Verdict::Ran) && k.stage != found.stage,
            };
            if overrides && self.ledger.home_of(key.hash()) == Some(self.cfg.me) {
                self.write_key(&key, &found);
                self.keyed.known.insert(key, found);
            }
        }
    }

    pub(super) fn tick_keyed(&mut self) {
        self.retry_settles();
        self.retry_intent_requests();
        if self.now < self.keyed.prune_due {
            return;
        }
        self.keyed.prune_due = self.now + PRUNE_INTERVAL;
        self.prune_keys();
        self.rewrite_keys();
    }

    fn prune_keys(&mut self) {
        let now = self.now;
        let settled = |k: &KeyRecord| matches!(k.stage, Stage::Settled(_));
        let kept = |k: &KeyRecord| !settled(k) || now.since(k.since) < KEY_RETENTION;
        self.keyed.known.retain(|_, k| kept(k));
    }

    /// Writes old entries to the journal again before the platform removes their records.
    fn rewrite_keys(&mut self) {
        if !self.may_keep_records() {
            return;
        }
        let now = self.now;
        let old = |k: &&mut KeyRecord| now.since(k.written) >= super::jobs::REWRITE_INTERVAL;
        let mut again = Vec::new();
        let known = self.keyed.known.iter_mut();
        for (key, k) in known.filter(|(_, k)| old(k)) {
            k.written = now;
            again.push((key.clone(), *k));
        }
        for (key, k) in again {
            self.write_key(&key, &k);
        }
    }

    fn write_key(&mut self, key: &IdemKey, k: &KeyRecord) {
        let intent = JournalEntry::Intent {
            key: key.clone(),
            digest: k.digest,
            by: k.by,
        };
        self.journal.push(intent, AfterAppend::Nothing);
        if let Stage::Settled(verdict) = k.stage {
            let settled = JournalEntry::Settled {
                key: key.clone(),
                by: k.by,
                verdict,
            };
            self.journal.push(settled, AfterAppend::Nothing);
        }
    }

    /// Replays the entries of a journal and returns the resulting keys.
    fn keys_from_journal(&self, entries: &[JournalEntry]) -> BTreeMap<IdemKey, KeyRecord> {
        let mut keys: BTreeMap<IdemKey, KeyRecord> = BTreeMap::new();
        for entry in entries {
            match entry {
                JournalEntry::Intent { key, digest, by } => {
                    keys.insert(key.clone(), self.adopted_key(*digest, *by));
                }
                JournalEntry::Settled { key, by, verdict } => {
                    if keys.get(key).is_none_or(|k| k.by != *by) {
                        continue;
                    }
                    if *verdict == Verdict::NotRun {
                        keys.remove(key);
                    } else if let Some(k) = keys.get_mut(key) {
                        k.stage = Stage::Settled(*verdict);
                    }
                }
                _ => {}
            }
        }
        keys
    }

    /// Creates a key from an intent in a journal; the request may have run if its entry has ended.
    fn adopted_key(&self, digest: u64, by: (MemberId, CallKey)) -> KeyRecord {
        let stage = match self.ledger.is_member(by.0) {
            true => Stage::Allowed,
            false => Stage::Settled(Verdict::MayHaveRun),
        };
        KeyRecord {
            digest,
            stage,
            by,
            since: self.now,
            written: self.now,
        }
    }

    fn decide_intent(&self, by: &(MemberId, CallKey), key: &IdemKey, digest: u64) -> Decision {
        use IntentAnswer::Refuse;
        if !self.may_keep_records() || !self.home_is_ready(key.hash()) {
            return Decision::Answer(Refuse(Reason::Uncertain, Verdict::NotRun));
        }
        match self.keyed.known.get(key) {
            Some(k) if k.by == *by => self.decide_repeated(k),
            Some(k) if k.digest != digest => {
                Decision::Answer(Refuse(Reason::KeyInUse, Verdict::NotRun))
            }
            Some(k) if k.stage == Stage::Settled(Verdict::Ran) => {
                Decision::Answer(Refuse(Reason::AlreadyRan, Verdict::Ran))
            }
            Some(_) => Decision::Answer(Refuse(Reason::KeyInUse, Verdict::MayHaveRun)),
            None => self.decide_new(),
        }
    }

    /// Decides on a repeated intent request of the same call.
    fn decide_repeated(&self, k: &KeyRecord) -> Decision {
        match k.stage {
            Stage::Recording if self.journal.unavailable => Decision::Answer(IntentAnswer::Refuse(
                Reason::LogUnavailable,
                Verdict::NotRun,
            )),
            Stage::Recording => Decision::Wait,
            Stage::Allowed => Decision::Answer(IntentAnswer::Proceed),
            Stage::Settled(v) => Decision::Answer(IntentAnswer::Refuse(Reason::KeyInUse, v)),
        }
    }

    fn decide_new(&self) -> Decision {
        let refuse = |r| Decision::Answer(IntentAnswer::Refuse(r, Verdict::NotRun));
        if self.log.unavailable || self.journal.unavailable {
            refuse(Reason::LogUnavailable)
        } else if self.keyed.known.len() >= KEYS_MAX {
            refuse(Reason::QueueFull)
        } else if self.leaving_soon() {
            refuse(Reason::Stopping)
        } else {
            Decision::Record
        }
    }

    /// Returns whether the shutdown waits only for the journal before it writes the record of
    /// leaving.
    fn leaving_soon(&self) -> bool {
        let calls = &self.calls;
        self.stopping.begun() && calls.open.is_empty() && calls.granted.is_empty()
    }

    fn record_intent(&mut self, from: MemberId, call: CallKey, key: IdemKey, digest: u64) {
        let by = (from, call);
        let known = KeyRecord {
            digest,
            stage: Stage::Recording,
            by,
            since: self.now,
            written: self.now,
        };
        self.keyed.known.insert(key.clone(), known);
        let entry = JournalEntry::Intent {
            key: key.clone(),
            digest,
            by,
        };
        self.journal
            .push(entry, AfterAppend::Proceed(from, call, key));
    }

    fn answer_intent(&mut self, to: MemberId, call: CallKey, answer: IntentAnswer) {
        match to == self.cfg.me {
            true => self.intent_answered(call, answer),
            false => self.send(to, PeerMsg::IntentAnswer { call, answer }),
        }
    }
}
