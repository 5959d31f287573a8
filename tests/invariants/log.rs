//! The platform's log, as plain state.

use std::collections::BTreeMap;

use monsoonnotch_core::event::ReadReply;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::job::JournalEntry;
use monsoonnotch_core::ledger::AppliedChange;
use monsoonnotch_core::ledger::Ledger;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Body;
use monsoonnotch_core::time::Time;

/// Records in one answer; small, so that long reads take several.
const PAGE: usize = 16;

/// The control stream and the journals.
#[derive(Debug, Default)]
pub(crate) struct Log {
    first: u64,
    batches: Vec<Batch>,
    /// End of what the newest snapshot covers.
    covered: u64,
    /// The fold over all that was ever appended.
    pub(crate) ledger: Ledger,
    /// When each record came, by offset.
    pub(crate) times: Vec<u64>,
    pub(crate) journals: BTreeMap<MemberId, Vec<JournalEntry>>,
}

impl Log {
    pub(crate) fn append(&mut self, now: u64, batch: Batch) -> Vec<AppliedChange> {
        let offset = self.tail();
        let folded = self.ledger.apply(offset, &batch);
        for r in &batch.records {
            if let Body::Snapshot { ledger } = &r.body {
                self.covered = self.covered.max(ledger.next);
            }
        }
        self.times.push(now);
        self.batches.push(batch);
        folded
    }

    pub(crate) fn read(&self, asked: Time, from: u64) -> ReadReply {
        let from = from.max(self.first);
        let skip = usize::try_from(from - self.first).expect("few records");
        let page = self.batches.iter().skip(skip).take(PAGE);
        ReadReply {
            asked,
            first: self.first,
            tail: self.tail(),
            batches: (from..).zip(page.cloned().map(Some)).collect(),
        }
    }

    /// Drops all that the newest snapshot covers.
    pub(crate) fn trim(&mut self) {
        let gone = self.covered.saturating_sub(self.first);
        self.batches
            .drain(..usize::try_from(gone).expect("few records"));
        self.first += gone;
    }

    fn tail(&self) -> u64 {
        self.first + self.batches.len() as u64
    }
}
