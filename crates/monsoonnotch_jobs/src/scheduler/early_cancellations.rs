//! Cancellations of jobs that the journal has no submission of.
//!
//! The submission may still follow, because a caller may cancel a job for which it got no answer. It does
//! so soon or never, so the cancellations are kept for a limited time, and in limited number.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::*;
use crate::access::Caller;
use crate::journal;

/// Maximum number of cancellations that are kept; the oldest are forgotten first.
const KEPT_MAX: usize = 65_536;

/// The cancellations with their times, and their callers if it is unknown whether these may cancel the jobs, by
/// job and by age.
#[derive(Debug, Default)]
pub(super) struct EarlyCancellations {
    at: BTreeMap<JobId, (Time, Option<Caller>)>,
    by_age: VecDeque<(Time, JobId)>,
}

impl EarlyCancellations {
    /// Adds the cancellation of a job.
    pub(super) fn insert(&mut self, id: JobId, caller: Option<Caller>, now: Time) {
        self.at.insert(id, (now, caller));
        self.by_age.push_back((now, id));
    }

    /// Removes the cancellation of a job, and returns its caller.
    pub(super) fn remove(&mut self, id: JobId) -> Option<Option<Caller>> {
        self.at.remove(&id).map(|(_, caller)| caller)
    }

    /// Removes and returns a cancellation that is from before `since`, or one too many.
    fn pop_old(&mut self, since: Time) -> Option<JobId> {
        loop {
            let (at, id) = *self.by_age.front()?;
            if at >= since && self.by_age.len() <= KEPT_MAX {
                return None;
            }
            self.by_age.pop_front();
            // It may have been removed, or repeated later.
            if self.at.get(&id).is_some_and(|(newest, _)| *newest == at) {
                self.at.remove(&id);
                return Some(id);
            }
        }
    }
}

impl Scheduler {
    /// Forgets cancellations whose jobs were not submitted for as long as ended jobs are kept, and deletes
    /// their records.
    pub(super) fn forget_early_cancellations(&mut self) {
        let since = self.now - self.tuning.keep_ended;
        while let Some(id) = self.early_cancellations.pop_old(since) {
            self.flush.write_record(journal::cancellation_tombstone(id));
        }
    }
}
