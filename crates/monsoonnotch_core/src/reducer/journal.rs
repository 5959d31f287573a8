//! The own journal: what must be remembered before something is done.
//!
//! Entries gather while an append is out and go with the next one. An append
//! whose reply is lost is sent again; entries are safe to read twice.

use super::Control;
use crate::effect::Effect;
use crate::ident::CallKey;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::Ticket;
use crate::job::JournalEntry;
use crate::time::Time;
use crate::wire::IdemKey;

/// Most entries in one append.
const ENTRIES_MAX: usize = 1_024;

/// What to do once an entry is in the journal.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Then {
    /// Nothing.
    Nothing,
    /// Tell the submitter that the job is accepted.
    Accept(Ticket, JobId),
    /// Allow the request.
    Proceed(MemberId, CallKey, IdemKey),
}

/// Entries on their way to the journal.
#[derive(Debug, Default)]
pub(super) struct Journal {
    token: u64,
    waiting: Vec<(JournalEntry, Then)>,
    out: Vec<(JournalEntry, Then)>,
    sent: Time,
}

impl Journal {
    pub(super) fn push(&mut self, entry: JournalEntry, then: Then) {
        self.waiting.push((entry, then));
    }

    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.out.is_empty()
    }
}

impl Control {
    pub(super) fn flush_journal(&mut self) {
        let lost = self.now.since(self.journal.sent) >= self.cfg.timing.append;
        if self.journal.out.is_empty() {
            let n = self.journal.waiting.len().min(ENTRIES_MAX);
            self.journal.out = self.journal.waiting.drain(..n).collect();
        } else if !lost {
            return;
        }
        if self.journal.out.is_empty() {
            return;
        }
        self.journal.sent = self.now;
        self.journal.token += 1;
        let entries = self.journal.out.iter().map(|(e, _)| e.clone()).collect();
        let token = self.journal.token;
        self.out.push(Effect::Journal { token, entries });
    }

    pub(super) fn journal_appended(&mut self, token: u64) {
        if token != self.journal.token {
            return;
        }
        for (_, then) in std::mem::take(&mut self.journal.out) {
            self.journalled(then);
        }
    }

    pub(super) fn journal_failed(&mut self) {
        self.journal.sent = self.now;
        self.keyed_journal_dark();
    }

    pub(super) fn journal_is_idle(&self) -> bool {
        self.journal.is_idle()
    }

    fn journalled(&mut self, then: Then) {
        match then {
            Then::Nothing => {}
            Then::Accept(ticket, job) => self.job_accepted(ticket, job),
            Then::Proceed(member, call, key) => self.intent_recorded(member, call, key),
        }
    }
}
