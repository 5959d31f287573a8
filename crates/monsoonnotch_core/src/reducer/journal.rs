//! The own journal: what must be remembered before something is done.
//!
//! Entries gather while an append is out and go with the next one. An append
//! whose reply is lost is sent again under the same number, so that a copy
//! that takes effect late is told apart.

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

/// Most entries in one append.
const ENTRIES_MAX: usize = 1_024;
/// Pause between two appends; nine entries make at most 360 a second.
const APPEND_PAUSE: Duration = Duration::from_millis(25);

/// What to do once an entry is in the journal.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Then {
    /// Nothing.
    Nothing,
    /// Tell the submitter that the job is accepted.
    Accept(JobRequester, JobId),
    /// Allow the request.
    Proceed(MemberId, CallKey, IdemKey),
    /// Tell the asker that its request's outcome is recorded.
    Settled(MemberId, CallKey),
    /// Tell holders that the ends of their tasks are recorded.
    Seen(Vec<(MemberId, TaskId)>),
    /// Record that a former member's journal is taken over.
    Adopted(MemberId),
}

/// Entries on their way to the journal.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Number of the last append.
    seq: u64,
    waiting: VecDeque<(JournalEntry, Then)>,
    out: Vec<(JournalEntry, Then)>,
    sent: Time,
    /// Whether the last append failed.
    pub(super) dark: bool,
}

impl Journal {
    pub(super) fn push(&mut self, entry: JournalEntry, then: Then) {
        self.waiting.push_back((entry, then));
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.out.is_empty()
    }

    /// Chooses what goes into the next append; false when there is nothing.
    fn fill(&mut self) -> bool {
        let n = self.waiting.len().min(ENTRIES_MAX);
        self.out = self.waiting.drain(..n).collect();
        self.seq += u64::from(n > 0);
        n > 0
    }

    fn entries(&self) -> Vec<JournalEntry> {
        let head = JournalEntry::Head { seq: self.seq };
        let entries = self.out.iter().map(|(e, _)| e.clone());
        std::iter::once(head).chain(entries).collect()
    }
}

impl Control {
    pub(super) fn flush_journal(&mut self) {
        let since = self.now.since(self.journal.sent);
        if self.journal.out.is_empty() {
            let early = since < APPEND_PAUSE && self.journal.seq > 0;
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
        self.out.push(Effect::Journal { token, entries });
    }

    pub(super) fn journal_appended(&mut self, token: u64) {
        if token != self.journal.seq {
            return;
        }
        self.journal.dark = false;
        for (_, then) in std::mem::take(&mut self.journal.out) {
            self.journalled(then);
        }
    }

    /// An append to the own journal, or a read of a former member's, failed.
    pub(super) fn journal_failed(&mut self, member: MemberId) {
        if member != self.cfg.me {
            return self.adoption_failed(member);
        }
        self.journal.sent = self.now;
        self.journal.dark = true;
        self.keyed_journal_dark();
    }

    pub(super) fn journal_is_idle(&self) -> bool {
        self.journal.is_idle() && !self.has_progress()
    }

    /// Whether what is recorded now is sure to be read by whoever takes over.
    ///
    /// Once the record of leaving is written, or the membership is in doubt,
    /// an heir may have read the journal already.
    pub(super) fn may_keep_records(&self) -> bool {
        let ending = matches!(self.stopping, Stopping::Leaving | Stopping::Stopped);
        self.is_certain() && !ending
    }

    fn journalled(&mut self, then: Then) {
        match then {
            Then::Nothing => {}
            Then::Accept(asker, job) => self.job_accepted(asker, job),
            Then::Proceed(member, call, key) => self.intent_recorded(member, call, key),
            Then::Settled(member, call) => self.confirm_settle(member, call),
            Then::Seen(tasks) => self.ends_recorded(tasks),
            Then::Adopted(predecessor) => self.adopted(predecessor),
        }
    }
}
