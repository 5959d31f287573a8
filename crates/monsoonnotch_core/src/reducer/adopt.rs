//! Adoption of the journals of predecessors.
//!
//! A successor reads the journal of each predecessor once the predecessor can
//! no longer append entries that count. It takes over the keys and jobs, writes
//! them to its own journal, and only then records the predecessor as adopted. If
//! the successor's membership ends before that, its own successor reads both
//! journals.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use super::journal::AfterAppend;
use crate::effect::Effect;
use crate::ident::MemberId;
use crate::ident::RangeId;
use crate::job::JournalEntry;
use crate::record::Body;
use crate::time::Duration;
use crate::time::Time;

/// Delay before a failed journal read is retried.
const READ_RETRY: Duration = Duration::from_secs(1);
/// Time after which a journal read without a reply is repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Progress of the adoption of one journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The journal is read at this time.
    Due(Time),
    /// The read was requested at this time.
    Reading(Time),
    /// The journal was read; its entries are being written to this member's journal.
    Writing,
    /// The `Adopted` record was written to the control stream.
    Recorded,
}

/// Journals that this member has to adopt.
#[derive(Debug, Default)]
pub(super) struct Adoptions {
    steps: BTreeMap<MemberId, Step>,
    /// Hash ranges held by this member at the last ledger change.
    ranges: BTreeSet<RangeId>,
    /// Held ranges whose history may be in a journal that is not adopted yet.
    unadopted: BTreeSet<RangeId>,
}

impl Control {
    /// Updates the held ranges and the pending adoptions from the ledger.
    pub(super) fn adoption_ranges_changed(&mut self, _at_once: bool) {
        let me = self.cfg.me;
        let own = self.ledger.ranges.iter().filter(|(_, h)| **h == me);
        let own: BTreeSet<RangeId> = own.map(|(r, _)| *r).collect();
        if self.has_predecessors() {
            let new = own.difference(&self.adoptions.ranges).copied();
            self.adoptions.unadopted.extend(new);
        }
        self.adoptions.unadopted.retain(|r| own.contains(r));
        self.adoptions.ranges = own;
        self.update_adoptions();
    }

    /// Returns whether this member holds the range of `hash` and has adopted everything that
    /// previous homes recorded for it.
    pub(super) fn home_is_ready(&self, hash: u64) -> bool {
        let range = RangeId::of(hash);
        // A range that arrived since the last call of `adoption_ranges_changed` is not ready.
        let recorded = self.adoptions.ranges.contains(&range);
        self.holds_range(range) && recorded && !self.adoptions.unadopted.contains(&range)
    }

    /// Returns whether journals of predecessors are not adopted yet.
    pub(super) fn has_predecessors(&self) -> bool {
        let predecessors = self.ledger.predecessors.get(&self.cfg.me);
        predecessors.is_some_and(|p| !p.is_empty())
    }

    pub(super) fn tick_adoptions(&mut self) {
        self.update_adoptions();
        if !self.may_keep_records() {
            return;
        }
        let now = self.now;
        let due = |s: &Step| match s {
            Step::Due(at) => *at <= now,
            Step::Reading(sent) => now.since(*sent) > READ_TIMEOUT,
            Step::Writing | Step::Recorded => false,
        };
        let steps = self.adoptions.steps.iter_mut();
        for (m, step) in steps.filter(|(_, s)| due(s)) {
            *step = Step::Reading(now);
            self.effects.push(Effect::ReadJournal(*m));
        }
    }

    pub(super) fn adoption_failed(&mut self, predecessor: MemberId) {
        let due = Step::Due(self.now + READ_RETRY);
        if let Some(step @ Step::Reading(_)) = self.adoptions.steps.get_mut(&predecessor) {
            *step = due;
        }
    }

    pub(super) fn journal_read(&mut self, predecessor: MemberId, entries: Vec<JournalEntry>) {
        let Some(step @ Step::Reading(_)) = self.adoptions.steps.get_mut(&predecessor) else {
            return;
        };
        *step = Step::Writing;
        let entries = drop_duplicate_appends(entries);
        self.adopt_keys(&entries);
        self.adopt_jobs(&entries);
        // The mark is the last entry: once it is in the journal, so are all entries before it.
        self.journal
            .push(JournalEntry::Mark, AfterAppend::Adopted(predecessor));
    }

    pub(super) fn adopted(&mut self, predecessor: MemberId) {
        if let Some(step) = self.adoptions.steps.get_mut(&predecessor) {
            *step = Step::Recorded;
            self.write(Body::Adopted { predecessor });
        }
    }

    fn update_adoptions(&mut self) {
        let predecessors = self.ledger.predecessors.get(&self.cfg.me);
        let empty = BTreeSet::new();
        let predecessors = predecessors.unwrap_or(&empty);
        let before = self.adoptions.steps.len();
        self.adoptions.steps.retain(|m, _| predecessors.contains(m));
        let evicted = self.now + self.cfg.timing.eviction_wait();
        for m in predecessors {
            let at_once = self.ledger.endings.get(m).is_some_and(|e| e.at_once);
            let due = if at_once { self.now } else { evicted };
            self.adoptions.steps.entry(*m).or_insert(Step::Due(due));
        }
        if predecessors.is_empty() && before > 0 {
            self.adoptions.unadopted.clear();
            self.search_tasks();
        }
    }
}

/// Drops the entries of appends that took effect more than once.
///
/// Every append begins with a `Head`; one whose sequence number does not grow is a duplicate.
fn drop_duplicate_appends(entries: Vec<JournalEntry>) -> Vec<JournalEntry> {
    let mut last = 0;
    let mut keep = true;
    let new = |e: &JournalEntry| {
        if let JournalEntry::Head { seq } = e {
            keep = *seq > last;
            last = last.max(*seq);
        }
        keep
    };
    entries.into_iter().filter(new).collect()
}
