//! The order of jobs of one priority when there is too little room.
//!
//! A job is worth its request and its work; delaying it costs nothing until it can no longer be
//! complete in time. The index is that of the apparent tardiness cost rule: what a job is worth for
//! each unit of work that it still needs, discounted by its slack. A job that is nearly done or
//! about to be late goes first, and a large one that has time waits. On a logarithmic scale the
//! index of all jobs changes alike as time passes, so that a job's position needs no update until
//! it misses a deadline.

use monsoonnotch_core::resource::Resources;

use crate::plan::Step;
use crate::share;

/// What a job has at stake. Work is in shares of the pool's scarcest resource times milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Stake {
    /// The work of the whole job.
    pub work: f64,
    /// The work that it still needs.
    pub remaining: f64,
    /// When the rest must start at the latest to be in time, in Unix milliseconds.
    pub latest_start_ms: u64,
}

/// The usual job of a queue; all zero if none is known.
#[derive(Debug, Default, Clone, Copy)]
pub struct Typical {
    /// Mean work.
    pub work: f64,
    /// Mean completion objective, in milliseconds.
    pub objective_ms: f64,
}

/// Multiple of its objective after which the result of a job is of no use to its caller.
pub const LATE_FACTOR: u64 = 3;
/// Multiple of the mean objective by which a job moves ahead if it is worth e times as much for each
/// unit of its work.
const LOOK_AHEAD: f64 = 1.0;
/// Largest ratio of the worth for each unit of work, to the usual one or back, that counts: no job
/// waits for ever because others are small.
const RATIO_MAX: f64 = 8.0;
/// Largest work of a job, as a multiple of the mean, that adds to its worth.
const WORK_MAX: f64 = 4.0;

/// Returns the work of steps, in shares of the scarcest resource of `total` times milliseconds.
pub fn work<'a>(steps: impl IntoIterator<Item = &'a Step>, total: &Resources) -> f64 {
    let of_step = |s: &Step| {
        let tasks_ms = f64::from(s.count) * s.estimate_ms as f64;
        tasks_ms * share::dominant(&s.need, total)
    };
    steps.into_iter().map(of_step).sum()
}

/// Returns the position of a job among those of its priority, in Unix milliseconds; lower goes first.
pub fn position_ms(stake: &Stake, typical: &Typical) -> u64 {
    if typical.work <= 0.0 || stake.remaining <= 0.0 {
        return stake.latest_start_ms;
    }
    let worth = 1.0 + (stake.work / typical.work).min(WORK_MAX);
    let ratio = worth / (stake.remaining / typical.work);
    let ratio = ratio.clamp(1.0 / RATIO_MAX, RATIO_MAX);
    let ahead_ms = LOOK_AHEAD * typical.objective_ms * ratio.ln();
    (stake.latest_start_ms as f64 - ahead_ms).max(0.0) as u64
}
