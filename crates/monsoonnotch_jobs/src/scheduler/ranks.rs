//! Ranks: the order in which stages get room when there is too little of it.
//!
//! First by priority; within it those of accounts within their rate, those that can still meet
//! their objective, and then by what a delay costs ([`order`]). Stages of jobs that can no longer
//! be of use to their callers go last.

use super::job::Job;
use super::job::Rank;
use super::job::Stage;
use super::*;
use crate::order;
use crate::order::LATE_FACTOR;
use crate::order::Stake;
use crate::order::Typical;
use crate::site::Queue;

/// Part of the estimated remaining time that counts when deciding whether a job can
/// still meet its objective: run times at the sites differ from the estimates by a third.
const REMAINING_TIME_FACTOR: f64 = 0.7;
/// Added to the class of a stage whose job is too late to be useful.
const CLASS_LATE: u32 = 2_000;
/// Weight of the newest job in the means of a queue.
const TYPICAL_WEIGHT: f64 = 0.05;

/// Returns the priority of a queue; the last one if the queue is not configured.
pub(super) fn priority_of(queue: Option<&Queue>) -> u32 {
    queue.map_or(u32::from(u8::MAX), |q| q.priority)
}

impl Scheduler {
    /// Moves waiting stages in the ready queue whose jobs have missed a deadline.
    pub(super) fn rerank_late_stages(&mut self) {
        let unix_ms = self.unix_ms;
        let missed = |s: &Stage| unix_ms > s.rank_until_ms;
        let queued = self.ready_queue.iter().map(|(_, k)| *k);
        let late: Vec<StageKey> = queued
            .filter(|k| self.stage(*k).is_some_and(missed))
            .collect();
        for key in late {
            let (rank, rank_until_ms) = self.rank(key);
            let Some(stage) = self.stage_mut(key) else {
                continue;
            };
            let old = std::mem::replace(&mut stage.rank, rank);
            stage.rank_until_ms = rank_until_ms;
            self.ready_queue.remove(&(old, key));
            self.update_ready_queue(key);
        }
    }

    /// Returns the rank of a stage, and until when it holds, in Unix milliseconds.
    pub(super) fn rank(&self, key: StageKey) -> (Rank, u64) {
        let Some(job) = self.jobs.get(key.job) else {
            return (Rank::default(), u64::MAX);
        };
        let queue = self.queue(&job.queue);
        let objective = job.objective_ms(queue);
        let from = job.due_ms(key.occurrence);
        let priority = priority_of(queue);
        let in_time = Rank {
            class: priority,
            over_share: job.over_share,
            misses_objective: false,
            position_ms: from.saturating_add(objective),
        };
        if job.step(key.step).long_lived {
            return (in_time, u64::MAX);
        }
        let rest_ms = self.expected_rest_ms(key, job);
        let until = |span: u64| from.saturating_add(span).saturating_sub(rest_ms);
        let on_time_ms = until(objective);
        let useful_ms = until(objective.saturating_mul(LATE_FACTOR));
        let (misses, late) = (self.unix_ms > on_time_ms, self.unix_ms > useful_ms);
        let until_ms = match (misses, late) {
            (false, _) => on_time_ms,
            (true, false) => useful_ms,
            (true, true) => u64::MAX,
        };
        let rank = Rank {
            class: priority.saturating_add(if late { CLASS_LATE } else { 0 }),
            misses_objective: misses,
            position_ms: self.position_ms(key, job, until_ms.min(useful_ms)),
            ..in_time
        };
        (rank, until_ms)
    }

    /// Returns the time that the rest of a job is expected to take from a stage on, in milliseconds.
    ///
    /// Estimates are corrected by the run times seen in the queue and, because they are
    /// still inexact, counted only in part ([`REMAINING_TIME_FACTOR`]).
    fn expected_rest_ms(&self, key: StageKey, job: &Job) -> u64 {
        let path_ms = job.plan.critical_path_from_ms(key.step) as f64;
        (path_ms * self.runtime_ratio(&job.queue) * REMAINING_TIME_FACTOR) as u64
    }

    /// Returns the run times seen in a queue as a multiple of their estimates.
    pub(super) fn runtime_ratio(&self, queue: &str) -> f64 {
        let stats = self.queue_stats.get(queue);
        stats.map_or(1.0, |s| s.runtime_ratio)
    }

    fn position_ms(&self, key: StageKey, job: &Job, latest_start_ms: u64) -> u64 {
        let Some(typical) = self.typical_jobs.get(&job.queue) else {
            return latest_start_ms;
        };
        let stake = Stake {
            work: self.work(job, |_| true),
            remaining: self.work(job, |step| {
                let stage = job.stages.get(&(key.occurrence, step));
                stage.is_none_or(|s| !s.is_complete())
            }),
            latest_start_ms,
        };
        order::position_ms(&stake, typical)
    }

    /// Returns the work of some of a job's steps, in shares of the pool's scarcest resource times
    /// milliseconds.
    fn work(&self, job: &Job, counts: impl Fn(u16) -> bool) -> f64 {
        let Some(total) = self.pool_totals.get(&job.pool) else {
            return 0.0;
        };
        let steps = (0_u16..).zip(&job.plan.steps).filter(|(i, _)| counts(*i));
        order::work(steps.map(|(_, step)| step), total)
    }

    /// Counts a job in the means of its queue.
    pub(super) fn record_typical(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let work = self.work(job, |_| true);
        if work <= 0.0 {
            return;
        }
        let objective_ms = job.objective_ms(self.queue(&job.queue)) as f64;
        let queue = job.queue.clone();
        let first = Typical { work, objective_ms };
        let typical = self.typical_jobs.entry(queue).or_insert(first);
        typical.work += TYPICAL_WEIGHT * (work - typical.work);
        typical.objective_ms += TYPICAL_WEIGHT * (objective_ms - typical.objective_ms);
    }
}
