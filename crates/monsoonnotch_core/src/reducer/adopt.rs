//! Taking over the journals of former members.
//!
//! An heir reads the journal of each ancestor once the ancestor can record
//! nothing more that counts, takes over its keys and jobs, writes them into
//! the own journal, and only then records that the ancestor is adopted. When
//! the heir ends before that, its own heir reads both journals.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use super::journal::Then;
use crate::effect::Effect;
use crate::ident::MemberId;
use crate::ident::RangeId;
use crate::job::JournalEntry;
use crate::record::Body;
use crate::time::Duration;
use crate::time::Time;

/// Pause before a journal that could not be read is read again.
const READ_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a read without any answer is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// How far the adoption of one journal is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// To be read at this time.
    Due(Time),
    /// The read was sent at this time.
    Reading(Time),
    /// Read; what it says is on its way to the own journal.
    Writing,
    /// The record of the adoption is written.
    Recorded,
}

/// Journals that this member is to take over.
#[derive(Debug, Default)]
pub(super) struct Adoptions {
    steps: BTreeMap<MemberId, Step>,
    /// Ranges held here, as last read.
    ranges: BTreeSet<RangeId>,
    /// Those of them whose past may be in a journal not taken over yet.
    unread: BTreeSet<RangeId>,
}

impl Control {
    /// Takes note of ranges and ancestors that the ledger now gives this member.
    pub(super) fn ranges_read(&mut self, _at_once: bool) {
        let me = self.cfg.me;
        let own = self.ledger.ranges.iter().filter(|(_, h)| **h == me);
        let own: BTreeSet<RangeId> = own.map(|(r, _)| *r).collect();
        if self.has_ancestors() {
            let new = own.difference(&self.adoptions.ranges).copied();
            self.adoptions.unread.extend(new);
        }
        self.adoptions.unread.retain(|r| own.contains(r));
        self.adoptions.ranges = own;
        self.match_adoptions();
    }

    /// Whether all that former homes recorded of a hash's range is known here.
    pub(super) fn home_is_ready(&self, hash: u64) -> bool {
        let range = RangeId::of(hash);
        // A range that was not looked at yet since it came here is not ready.
        let looked_at = self.adoptions.ranges.contains(&range);
        self.holds_range(range) && looked_at && !self.adoptions.unread.contains(&range)
    }

    /// Whether journals of former members have yet to be read.
    pub(super) fn has_ancestors(&self) -> bool {
        let predecessors = self.ledger.predecessors.get(&self.cfg.me);
        predecessors.is_some_and(|a| !a.is_empty())
    }

    pub(super) fn tick_adoptions(&mut self) {
        self.match_adoptions();
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
            self.out.push(Effect::ReadJournal(*m));
        }
    }

    pub(super) fn adoption_failed(&mut self, predecessor: MemberId) {
        let due = Step::Due(self.now + READ_PAUSE);
        if let Some(step @ Step::Reading(_)) = self.adoptions.steps.get_mut(&predecessor) {
            *step = due;
        }
    }

    pub(super) fn journal_read(&mut self, predecessor: MemberId, entries: Vec<JournalEntry>) {
        let Some(step @ Step::Reading(_)) = self.adoptions.steps.get_mut(&predecessor) else {
            return;
        };
        *step = Step::Writing;
        let entries = without_repeats(entries);
        self.adopt_keys(&entries);
        self.adopt_jobs(&entries);
        // The last entry of all, so that everything before it is written, too.
        self.journal
            .push(JournalEntry::Mark, Then::Adopted(predecessor));
    }

    pub(super) fn adopted(&mut self, predecessor: MemberId) {
        if let Some(step) = self.adoptions.steps.get_mut(&predecessor) {
            *step = Step::Recorded;
            self.write(Body::Adopted { predecessor });
        }
    }

    fn match_adoptions(&mut self) {
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
            self.adoptions.unread.clear();
            self.search_tasks();
        }
    }
}

/// Drops appends that took effect more than once.
fn without_repeats(entries: Vec<JournalEntry>) -> Vec<JournalEntry> {
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
