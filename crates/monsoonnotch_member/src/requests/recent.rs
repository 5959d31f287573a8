//! Submissions that this member began to store a short time ago.
//!
//! Their callers may send them again before the outcome is known. Such a submission must not be turned
//! away as not run.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_jobs::plan::JobId;

/// How long a submission is kept: callers' usual timeout, and the time until the scheduler knows what
/// is stored.
const KEPT: Duration = Duration::from_millis(5_000);

/// The ids of recent submissions.
#[derive(Debug, Default)]
pub(crate) struct RecentSubmissions {
    ids: BTreeSet<JobId>,
    by_age: VecDeque<(Instant, JobId)>,
}

impl RecentSubmissions {
    /// Adds a submission; returns whether it was not there.
    pub(crate) fn insert(&mut self, id: JobId, now: Instant) -> bool {
        while let Some((at, old)) = self.by_age.front().copied()
            && now.duration_since(at) > KEPT
        {
            self.by_age.pop_front();
            self.ids.remove(&old);
        }
        let new = self.ids.insert(id);
        if new {
            self.by_age.push_back((now, id));
        }
        new
    }

    /// Removes a submission that is certainly not stored.
    pub(crate) fn remove(&mut self, id: JobId) {
        if self.ids.remove(&id) {
            self.by_age.retain(|(_, other)| *other != id);
        }
    }
}
