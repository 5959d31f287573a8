//! The write-ahead journal of this member.
//!
//! Entries that arrive while an append is in flight are batched into the next
//! one. An append whose reply is lost is sent again under the same number, so
//! that readers can drop a copy that takes effect late.

use std::collections::VecDeque;

use super::Control;
use super::jobs::JobRequester;
use super::stop::Stopping;
use crate::effect::Effect;
use crate::ident::CallKey;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::JournalEntry;
use crate::time::Duration;
use crate::time::Time;
use crate::wire::IdemKey;

/// Maximum number of entries in one append.
const ENTRIES_MAX: usize = 1_024;
/// Shortest interval between two appends; with nine entry processes it limits the rate to 360
/// appends a second.
const APPEND_INTERVAL: Duration = Duration::from_millis(25);

/// The action that follows once an entry is in the journal.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum AfterAppend {
    /// No action.
    Nothing,
    /// Notify the submitter that the job is accepted.
    Accept(JobRequester, JobId),
    /// Allow the keyed request.
    Proceed(MemberId, CallKey, IdemKey),
    /// Confirm to the requester that the outcome of its request is recorded.
    Settled(MemberId, CallKey),
    /// Confirm to the holders that the outcomes of their tasks are recorded.
    OutcomesRecorded(Vec<(MemberId, TaskId)>),
    /// Record that the journal of a predecessor is adopted.
    Adopted(MemberId),
}

/// Entries that are not yet confirmed in the journal.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Sequence number of the last append.
    seq: u64,
    waiting: VecDeque<(JournalEntry, AfterAppend)>,
    in_flight: Vec<(JournalEntry, AfterAppend)>,
    sent: Time,
    /// Whether the last append failed.
    pub(super) unavailable: bool,
}

impl Journal {
    pub(super) fn push(&mut self, entry: JournalEntry, then: AfterAppend) {
        self.waiting.push_back((entry, then));
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// Moves waiting entries into the next append; returns whether there are any.
    fn fill(&mut self) -> bool {
        let n = self.waiting.len().min(ENTRIES_MAX);
        self.in_flight = self.waiting.drain(..n).collect();
        self.seq += u64::from(n > 0);
        n > 0
    }

    fn entries(&self) -> Vec<JournalEntry> {
        let head = JournalEntry::Head { seq: self.seq };
        let entries = self.in_flight.iter().map(|(e, _)| e.clone());
        std::iter::once(head).chain(entries).collect()
    }
}

impl Control {
    pub(super) fn flush_journal(&mut self) {
        let since = self.now.since(self.journal.sent);
        if self.journal.in_flight.is_empty() {
            let early = since < APPEND_INTERVAL && self.journal.seq > 0;
            if early {
                return;
            }
            self.journal_progress();
            if !self.journal.fill() {
                return;
            }
        } else if since < self.cfg.timing.append_retry {
            return;
        }
        self.journal.sent = self.now;
        let entries = self.journal.entries();
        let token = self.journal.seq;
        self.effects.push(Effect::Journal { token, entries });
    }

    pub(super) fn journal_appended(&mut self, token: u64) {
        if token != self.journal.seq {
            return;
        }
        self.journal.unavailable = false;
        for (_, then) in std::mem::take(&mut self.journal.in_flight) {
            self.entry_appended(then);
        }
    }

    /// Handles a failed append to this member's journal or a failed read of a predecessor's.
    pub(super) fn journal_failed(&mut self, member: MemberId) {
        if member != self.cfg.me {
            return self.adoption_failed(member);
        }
        self.journal.sent = self.now;
        self.journal.unavailable = true;
        self.refuse_recording_keys();
    }

    pub(super) fn journal_is_idle(&self) -> bool {
        self.journal.is_idle() && !self.has_progress()
    }

    /// Returns whether a successor is certain to read what this member records now.
    ///
    /// Once the record of leaving is written, or while this member is uncertain of its
    /// membership, a successor may have read the journal already.
    pub(super) fn may_keep_records(&self) -> bool {
        let ending = matches!(self.stopping, Stopping::Leaving | Stopping::Stopped);
        self.is_certain() && !ending
    }

    fn entry_appended(&mut self, then: AfterAppend) {
        match then {
            AfterAppend::Nothing => {}
            AfterAppend::Accept(requester, job) => self.job_accepted(requester, job),
            AfterAppend::Proceed(member, call, key) => self.intent_recorded(member, call, key),
            AfterAppend::Settled(member, call) => self.confirm_settle(member, call),
            AfterAppend::OutcomesRecorded(tasks) => self.outcomes_recorded(tasks),
            AfterAppend::Adopted(predecessor) => self.adopted(predecessor),
        }
    }
}
