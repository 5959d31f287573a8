//! Requests that run at most once, by their idempotency keys.
//!
//! The holder of the key's hash range is its home. The home writes the intent
//! to its journal before it lets the request be dispatched, so that whoever
//! inherits the range knows that the request may have run. Only the request
//! that an intent names may be dispatched for it, and its entry does so once;
//! so to allow the same request again does no harm.

use std::collections::BTreeMap;

use super::Control;
use super::journal::Then;
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

/// How long a key is remembered after its request ended.
pub(super) const REMEMBER: Duration = Duration::from_secs(900);
/// Most keys that one home remembers.
const KEYS_MAX: usize = 65_536;
/// Pause between two looks for keys that need not be remembered any more.
const TIDY_PAUSE: Duration = Duration::from_secs(10);

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
    /// The request that has the key, or had it last.
    by: (MemberId, CallKey),
    since: Time,
    /// When it was last written to the own journal.
    written: Time,
}

/// What a home does with a question about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Course {
    /// Write the intent first.
    Record,
    /// The intent is being written; the answer follows.
    Wait,
    /// Answer at once.
    Answer(IntentAnswer),
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
    pub(super) fn intent_asked(
        &mut self,
        from: MemberId,
        call: CallKey,
        key: IdemKey,
        digest: u64,
    ) {
        match self.course(&(from, call), &key, digest) {
            Course::Record => self.record_intent(from, call, key, digest),
            Course::Wait => {}
            Course::Answer(answer) => self.answer_intent(from, call, answer),
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
            // The asker says it again.
            return;
        }
        let by = (from, call);
        let settled = |k: &&mut Known| k.by == by && !matches!(k.stage, Stage::Settled(_));
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
        self.journal.push(entry, Then::Settled(from, call));
    }

    pub(super) fn confirm_settle(&mut self, asker: MemberId, call: CallKey) {
        match asker == self.cfg.me {
            true => self.settle_seen(call),
            false => self.send(asker, PeerMsg::SettleAck { call }),
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
        // The asker settles what it was refused, so the key comes free again.
        let answer = match may {
            true => IntentAnswer::Proceed,
            false => IntentAnswer::Refuse(Reason::Uncertain, Verdict::NotRun),
        };
        self.answer_intent(from, call, answer);
    }

    /// Refuses what waits for the journal while it cannot be written.
    pub(super) fn keyed_journal_dark(&mut self) {
        let recording = self.keyed.known.values();
        let recording = recording.filter(|k| k.stage == Stage::Recording);
        let refused: Vec<(MemberId, CallKey)> = recording.map(|k| k.by).collect();
        for (from, call) in refused {
            let answer = IntentAnswer::Refuse(Reason::LogUnavailable, Verdict::NotRun);
            self.answer_intent(from, call, answer);
        }
    }

    /// What an ended member had not settled may have run.
    pub(super) fn keyed_member_ended(&mut self, m: MemberId) {
        let now = self.now;
        let open = |k: &&mut Known| k.by.0 == m && !matches!(k.stage, Stage::Settled(_));
        for known in self.keyed.known.values_mut().filter(open) {
            known.stage = Stage::Settled(Verdict::MayHaveRun);
            known.since = now;
        }
    }

    /// Takes over what a former home's journal says of the keys that are at home here now.
    pub(super) fn adopt_keys(&mut self, entries: &[JournalEntry]) {
        for (key, found) in self.keys_in(entries) {
            let worse = match self.keyed.known.get(&key) {
                None => true,
                Some(k) => found.stage == Stage::Settled(Verdict::Ran) && k.stage != found.stage,
            };
            if worse && self.ledger.home_of(key.hash()) == Some(self.cfg.me) {
                self.write_key(&key, &found);
                self.keyed.known.insert(key, found);
            }
        }
    }

    pub(super) fn tick_keyed(&mut self) {
        self.repeat_settles();
        self.repeat_asks();
        if self.now < self.keyed.tidy_due {
            return;
        }
        self.keyed.tidy_due = self.now + TIDY_PAUSE;
        self.forget_keys();
        self.rewrite_keys();
    }

    fn forget_keys(&mut self) {
        let now = self.now;
        let settled = |k: &Known| matches!(k.stage, Stage::Settled(_));
        let kept = |k: &Known| !settled(k) || now.since(k.since) < REMEMBER;
        self.keyed.known.retain(|_, k| kept(k));
    }

    /// Writes anew what is remembered and was written long ago, before the platform drops it.
    fn rewrite_keys(&mut self) {
        if !self.may_keep_records() {
            return;
        }
        let now = self.now;
        let old = |k: &&mut Known| now.since(k.written) >= super::jobs::REWRITE;
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

    fn write_key(&mut self, key: &IdemKey, k: &Known) {
        let intent = JournalEntry::Intent {
            key: key.clone(),
            digest: k.digest,
            by: k.by,
        };
        self.journal.push(intent, Then::Nothing);
        if let Stage::Settled(verdict) = k.stage {
            let settled = JournalEntry::Settled {
                key: key.clone(),
                by: k.by,
                verdict,
            };
            self.journal.push(settled, Then::Nothing);
        }
    }

    /// What remains of the keys in a journal.
    fn keys_in(&self, entries: &[JournalEntry]) -> BTreeMap<IdemKey, Known> {
        let mut keys: BTreeMap<IdemKey, Known> = BTreeMap::new();
        for entry in entries {
            match entry {
                JournalEntry::Intent { key, digest, by } => {
                    keys.insert(key.clone(), self.found_key(*digest, *by));
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

    /// A key found in a journal; one whose entry has ended may have run.
    fn found_key(&self, digest: u64, by: (MemberId, CallKey)) -> Known {
        let stage = match self.ledger.is_member(by.0) {
            true => Stage::Allowed,
            false => Stage::Settled(Verdict::MayHaveRun),
        };
        Known {
            digest,
            stage,
            by,
            since: self.now,
            written: self.now,
        }
    }

    fn course(&self, by: &(MemberId, CallKey), key: &IdemKey, digest: u64) -> Course {
        use IntentAnswer::Refuse;
        if !self.may_keep_records() || !self.home_is_ready(key.hash()) {
            return Course::Answer(Refuse(Reason::Uncertain, Verdict::NotRun));
        }
        match self.keyed.known.get(key) {
            Some(k) if k.by == *by => self.course_of_same(k),
            Some(k) if k.digest != digest => {
                Course::Answer(Refuse(Reason::KeyInUse, Verdict::NotRun))
            }
            Some(k) if k.stage == Stage::Settled(Verdict::Ran) => {
                Course::Answer(Refuse(Reason::AlreadyRan, Verdict::Ran))
            }
            Some(_) => Course::Answer(Refuse(Reason::KeyInUse, Verdict::MayHaveRun)),
            None => self.course_of_new(),
        }
    }

    /// The same request asks again.
    fn course_of_same(&self, k: &Known) -> Course {
        match k.stage {
            Stage::Recording if self.journal.dark => Course::Answer(IntentAnswer::Refuse(
                Reason::LogUnavailable,
                Verdict::NotRun,
            )),
            Stage::Recording => Course::Wait,
            Stage::Allowed => Course::Answer(IntentAnswer::Proceed),
            Stage::Settled(v) => Course::Answer(IntentAnswer::Refuse(Reason::KeyInUse, v)),
        }
    }

    fn course_of_new(&self) -> Course {
        let refuse = |r| Course::Answer(IntentAnswer::Refuse(r, Verdict::NotRun));
        if self.log.dark || self.journal.dark {
            refuse(Reason::LogUnavailable)
        } else if self.keyed.known.len() >= KEYS_MAX {
            refuse(Reason::QueueFull)
        } else if self.leaving_soon() {
            refuse(Reason::Stopping)
        } else {
            Course::Record
        }
    }

    /// Whether the record of leaving waits only for what is being recorded.
    fn leaving_soon(&self) -> bool {
        let calls = &self.calls;
        self.stopping.begun() && calls.open.is_empty() && calls.granted.is_empty()
    }

    fn record_intent(&mut self, from: MemberId, call: CallKey, key: IdemKey, digest: u64) {
        let by = (from, call);
        let known = Known {
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
        self.journal.push(entry, Then::Proceed(from, call, key));
    }

    fn answer_intent(&mut self, to: MemberId, call: CallKey, answer: IntentAnswer) {
        match to == self.cfg.me {
            true => self.intent_answered(call, answer),
            false => self.send(to, PeerMsg::IntentAnswer { call, answer }),
        }
    }
}
