//! Which jobs are turned away when there is too little room.
//!
//! A job that cannot be complete while its result is still of use is refused as it arrives, as not
//! run, instead of being kept for nothing. The work that goes before it follows from the
//! [order] in which jobs get room, by priority, deadline and what a delay costs. So
//! those whose delay costs least wait longest, and are the first to be turned away.
//!
//! The forecast errs on the side of admission: waits and run times count in part only, and what
//! arrives later is left out.

use std::collections::BTreeMap;

use compact_str::CompactString;
use monsoonnotch_core::resource::Resources;
use monsoonnotch_core::time::Duration;

use crate::journal::Submission;
use crate::order;
use crate::order::LATE_FACTOR;
use crate::order::Stake;
use crate::order::Typical;
use crate::plan::JobId;

/// Part of the forecast wait and of the run time that counts: run times differ from their estimates
/// by a third, and some of the work that waits is cancelled.
const FORECAST_PART: f64 = 0.7;
/// Least part of a pool that is assumed to be left to a priority.
const LEFT_MIN: f64 = 0.05;

/// Place of a job in the order of its pool; a lower one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Priority of the queue; later work has a higher number.
    pub class: u32,
    /// Position within the priority, in Unix milliseconds.
    pub position_ms: u64,
}

/// What a full pool has to do. Work is in shares of its scarcest resource times milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    /// Resources of the pool.
    pub total: Resources,
    /// Work that waits up to each place, the place included, in ascending order: that of jobs which
    /// can still meet their objective, and go before all others.
    pub in_time: Vec<(Place, f64)>,
    /// The same of all jobs whose results can still be of use.
    pub waiting: Vec<(Place, f64)>,
    /// Part of the pool that runs of each priority use.
    pub used: BTreeMap<u32, f64>,
    /// Part of the pool that long-lived tasks use.
    pub long_lived: f64,
}

/// What decides the place and the objective of a queue's jobs.
#[derive(Debug, Clone, Copy)]
pub struct QueueView {
    /// Priority; zero goes first.
    pub priority: u32,
    /// The usual job.
    pub typical: Typical,
    /// Run times as multiples of their estimates.
    pub runtime_ratio: f64,
    /// See [`crate::site::Queue::slack_factor`].
    pub slack_factor: f64,
    /// See [`crate::site::Queue::target_ms`].
    pub target_ms: u64,
}

/// The full pools, and the queues that use them.
#[derive(Debug, Clone, Default)]
pub struct Backlogs {
    /// The full pools by name.
    pub pools: BTreeMap<CompactString, Backlog>,
    /// The queues by name.
    pub queues: BTreeMap<CompactString, QueueView>,
    /// Jobs that are stored, in ascending order. Their callers may not know that.
    pub stored: Vec<JobId>,
}

impl Place {
    /// Sorts work by its place and adds it up, as [`Backlog`] has it.
    pub fn add_up(mut work: Vec<(Self, f64)>) -> Vec<(Self, f64)> {
        work.sort_by_key(|(place, _)| *place);
        let mut total = 0.0;
        for (_, part) in &mut work {
            total += *part;
            *part = total;
        }
        work
    }
}

impl Backlog {
    /// Returns the time until the work before a place has started, in milliseconds. Long-lived tasks
    /// and higher priorities leave a part of the pool.
    fn wait_ms(&self, work: &[(Place, f64)], place: Place) -> f64 {
        let before = work.partition_point(|(p, _)| *p < place);
        let before = before.checked_sub(1).map_or(0.0, |last| work[last].1);
        let higher: f64 = self.used.range(..place.class).map(|(_, used)| used).sum();
        let capacity = (1.0 - self.long_lived - higher).max(LEFT_MIN);
        before / capacity * FORECAST_PART
    }
}

impl Backlogs {
    /// Whether no pool is full.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Returns after which time a submission might be admitted that would be of no use now; `None`
    /// if it is admitted. Stored jobs, long-lived ones and those with due times always are.
    pub fn turn_away(&self, id: JobId, submission: &Submission) -> Option<Duration> {
        if self.stored.binary_search(&id).is_ok() {
            return None;
        }
        let backlog = self.pools.get(&submission.pool)?;
        let queue = self.queues.get(&submission.queue)?;
        let plan = &submission.plan;
        if plan.repeats > 0 || plan.steps.iter().any(|s| s.long_lived) {
            return None;
        }
        let path_ms = plan.critical_path_ms() as f64;
        let objective_ms = plan.objective_ms(queue.slack_factor, queue.target_ms) as f64;
        let rest_ms = path_ms * queue.runtime_ratio * FORECAST_PART;
        let slack_ms = (objective_ms - rest_ms).max(0.0);
        let work = order::work(&plan.steps, &backlog.total);
        let stake = Stake {
            work,
            remaining: work,
            latest_start_ms: submission.accepted_ms.saturating_add(slack_ms as u64),
        };
        let place = Place {
            class: queue.priority,
            position_ms: order::position_ms(&stake, &queue.typical),
        };
        // Until it can no longer meet its objective, it goes before those that cannot.
        if backlog.wait_ms(&backlog.in_time, place) <= slack_ms {
            return None;
        }
        let end_ms = backlog.wait_ms(&backlog.waiting, place) + rest_ms;
        let excess_ms = end_ms - objective_ms * LATE_FACTOR as f64;
        (excess_ms > 0.0).then(|| Duration::from_millis((excess_ms / FORECAST_PART) as u64))
    }
}
