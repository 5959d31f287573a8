//! Gang scheduling: jobs that start all their tasks together or none.
//!
//! The home reserves a slot for each task and orders the start only when all
//! slots are reserved. If this takes too long, it releases all slots and backs
//! off. The delay doubles each time and differs from job to job, so that two
//! jobs with part of their slots do not block each other. If a task is lost
//! while others run, all tasks are stopped and started anew.

use super::Control;
use super::Stage;
use crate::ident::JobId;
use crate::ident::TaskId;
use crate::job::Phase;
use crate::time::Duration;
use crate::time::Time;

/// Longest time that the reservation of all slots may take.
const RESERVE_MAX: Duration = Duration::from_secs(5);
/// Longest time from the start order until every task runs.
const START_MAX: Duration = Duration::from_secs(5);
/// Shortest delay after a release of the slots; it doubles up to `BACKOFF_DOUBLINGS` times.
const BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Maximum number of doublings of the delay.
const BACKOFF_DOUBLINGS: u32 = 5;

/// Progress of a gang.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// No slot is requested.
    #[default]
    Idle,
    /// Slots are being reserved until this time.
    Reserving(Time),
    /// All tasks were ordered to start and must run by this time.
    Starting(Time),
    /// All tasks run or have completed.
    Running,
    /// All tasks are being stopped and all slots released.
    Releasing,
}

/// The common state of the tasks of a gang.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Gang {
    step: Step,
    /// Number of releases so far.
    releases: u32,
}

impl Gang {
    pub(super) fn is_idle(&self) -> bool {
        self.step == Step::Idle
    }

    /// Returns whether slots may be requested.
    pub(super) fn may_place(&self) -> bool {
        matches!(self.step, Step::Idle | Step::Reserving(_))
    }

    /// Returns whether a task that is reported to occupy a slot has to be stopped.
    pub(super) fn is_releasing(&self) -> bool {
        self.step == Step::Releasing
    }

    /// Creates the state of an adopted job, in which no task is placed before the stages of all
    /// are known.
    pub(super) fn adopted() -> Self {
        Self {
            step: Step::Running,
            releases: 0,
        }
    }
}

impl Control {
    /// Returns whether a job may not begin to reserve slots because another job of this home
    /// does.
    pub(super) fn must_wait_for_gang(&self, id: JobId) -> bool {
        let reserves = |other: &JobId| {
            let job = self.jobs.jobs.get(other);
            *other != id && job.is_some_and(|j| matches!(j.gang.step, Step::Reserving(_)))
        };
        let job = self.jobs.jobs.get(&id);
        let begins = job.is_some_and(|j| j.is_gang() && j.gang.is_idle());
        begins && self.jobs.gangs.iter().any(reserves)
    }

    /// Starts the reservation phase of an idle gang after the first slots were requested.
    pub(super) fn gang_reserving(&mut self, id: JobId) {
        let until = self.now + RESERVE_MAX;
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        if job.is_gang() && job.gang.step == Step::Idle {
            job.gang.step = Step::Reserving(until);
            self.jobs.gangs.insert(id);
        }
    }

    /// Advances a gang after a change of the stage of one of its tasks.
    pub(super) fn gang_task_changed(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get(&id) else {
            return;
        };
        if !job.is_gang() || job.phase != Phase::Active {
            return;
        }
        let (c, count) = (job.counts, job.spec.count);
        match job.gang.step {
            Step::Reserving(_) if c.reserved + c.done == count => self.gang_start(id),
            Step::Starting(_) if c.running + c.done == count => {
                self.set_gang_step(id, Step::Running)
            }
            Step::Starting(_) | Step::Running if c.waiting > 0 => self.gang_release(id),
            Step::Releasing if c.live() == 0 => self.gang_back_off(id),
            _ => {}
        }
    }

    /// Fails a gang job, because one of its tasks failed permanently.
    pub(super) fn gang_failed(&mut self, id: JobId) {
        let gang = self.jobs.jobs.get(&id).is_some_and(|j| j.is_gang());
        let active = |j: &super::Job| j.phase == Phase::Active;
        if gang && self.jobs.jobs.get(&id).is_some_and(active) {
            self.end_job(id, Phase::Failed);
        }
    }

    pub(super) fn tick_gangs(&mut self) {
        let gangs: Vec<JobId> = self.jobs.gangs.iter().copied().collect();
        for id in gangs {
            let Some(job) = self.jobs.jobs.get(&id) else {
                self.jobs.gangs.remove(&id);
                continue;
            };
            match job.gang.step {
                Step::Reserving(until) | Step::Starting(until) if until <= self.now => {
                    self.gang_release(id);
                }
                Step::Idle | Step::Running => drop(self.jobs.gangs.remove(&id)),
                _ => {}
            }
        }
    }

    fn gang_start(&mut self, id: JobId) {
        self.set_gang_step(id, Step::Starting(self.now + START_MAX));
        let reserved = |s| matches!(s, Stage::Reserved(_));
        for task in self.jobs.jobs[&id].tasks_in(reserved) {
            let stage = self.jobs.stage_of(task);
            if let Some(at) = stage.and_then(Stage::at) {
                self.jobs.set_stage((id, task.index), Stage::Starting(at));
                self.order_start_reserved(at, task);
                self.query_task_later(task);
            }
        }
    }

    fn gang_release(&mut self, id: JobId) {
        self.jobs.queue.remove(id);
        self.set_gang_step(id, Step::Releasing);
        let live = self.jobs.jobs[&id].tasks_in(|s| s.at().is_some());
        let none = live.is_empty();
        for task in live {
            self.stop_unless_stopping(task);
        }
        if none {
            self.gang_back_off(id);
        }
    }

    fn stop_unless_stopping(&mut self, task: TaskId) {
        let stage = self.jobs.stage_of(task);
        if !matches!(stage, Some(Stage::Stopping(_))) {
            self.stop_job_task(task);
        }
    }

    /// Queues a gang again after a delay, once all its slots are released.
    fn gang_back_off(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        let doublings = job.gang.releases.min(BACKOFF_DOUBLINGS);
        let spread = crate::config::hash64(&format!("{id}-{}", job.gang.releases)) % 1_000;
        job.gang.releases = job.gang.releases.saturating_add(1);
        job.gang.step = Step::Idle;
        for index in 0..job.spec.count {
            job.retry(index);
        }
        self.jobs.gangs.remove(&id);
        let base = BACKOFF_MIN.times(1 << doublings);
        let pause = base + Duration(base.0 * spread / 1_000);
        self.jobs.requeue.insert((self.now + pause, id));
    }

    fn set_gang_step(&mut self, id: JobId, step: Step) {
        if let Some(job) = self.jobs.jobs.get_mut(&id) {
            job.gang.step = step;
            self.jobs.gangs.insert(id);
        }
    }
}
