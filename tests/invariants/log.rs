//! The state of the platform's simulated log.

use std::collections::BTreeMap;

use monsoonnotch_core::event::ReadReply;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::job::JournalEntry;
use monsoonnotch_core::ledger::AppliedChange;
use monsoonnotch_core::ledger::Ledger;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Body;
use monsoonnotch_core::time::Time;

/// Maximum number of batches in one reply; small, so that long reads take several.
const PAGE_MAX: usize = 16;

/// The control stream and the journals.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Offset of the oldest batch that is retained.
    first: u64,
    batches: Vec<Batch>,
    /// Offset after the last record that the newest snapshot covers.
    covered: u64,
    /// The ledger that results from all batches ever appended.
    pub(crate) ledger: Ledger,
    /// Virtual time of each append, by offset.
    pub(crate) times: Vec<u64>,
    /// Entries of each member's journal.
    pub(crate) journals: BTreeMap<MemberId, Vec<JournalEntry>>,
}

impl Log {
    /// Appends a batch at the tail and returns the changes of the ledger.
    pub(crate) fn append(&mut self, now: u64, batch: Batch) -> Vec<AppliedChange> {
        let offset = self.tail();
        let changes = self.ledger.apply(offset, &batch);
        for r in &batch.records {
            if let Body::Snapshot { ledger } = &r.body {
                self.covered = self.covered.max(ledger.next);
            }
        }
        self.times.push(now);
        self.batches.push(batch);
        changes
    }

    /// Returns at most `PAGE_MAX` retained batches from the offset `from` on.
    pub(crate) fn read(&self, asked: Time, from: u64) -> ReadReply {
        let from = from.max(self.first);
        let skip = usize::try_from(from - self.first).expect("few records");
        let page = self.batches.iter().skip(skip).take(PAGE_MAX);
        ReadReply {
            asked,
            first: self.first,
            tail: self.tail(),
            batches: (from..).zip(page.cloned().map(Some)).collect(),
        }
    }

    /// Drops the batches that the newest snapshot covers.
    pub(crate) fn trim(&mut self) {
        let dropped = self.covered.saturating_sub(self.first);
        self.batches
            .drain(..usize::try_from(dropped).expect("few records"));
        self.first += dropped;
    }

    fn tail(&self) -> u64 {
        self.first + self.batches.len() as u64
    }
}
