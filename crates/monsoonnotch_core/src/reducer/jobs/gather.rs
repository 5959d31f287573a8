//! Jobs that start all their tasks together or none.
//!
//! The home has a slot reserved for each task, and only when all are there
//! tells their holders to start. It gathers for a bounded time and then gives
//! everything back, waiting longer each time and for a span that differs from
//! job to job, so that two half-gathered jobs do not lock each other. When a
//! task is lost while others run, all are stopped and tried again.

use super::Control;
use super::Stage;
use crate::ident::JobId;
use crate::ident::TaskId;
use crate::job::Phase;
use crate::time::Duration;
use crate::time::Time;

/// Longest time that slots are gathered.
const GATHER: Duration = Duration::from_secs(5);
/// Longest time from the order to start until every task runs.
const START: Duration = Duration::from_secs(5);
/// Shortest pause after slots were given back; doubles up to `BACKOFF_DOUBLINGS` times.
const BACKOFF: Duration = Duration::from_millis(500);
/// Most doublings of the pause.
const BACKOFF_DOUBLINGS: u32 = 5;

/// Where a job stands that starts all its tasks together.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing is under way.
    #[default]
    Idle,
    /// Slots are being reserved until this time.
    Gathering(Time),
    /// All were told to start; they run by this time.
    Starting(Time),
    /// All run, or ended well.
    Running,
    /// Everything is being stopped or given back.
    GivingBack,
}

/// The common state of tasks that start together.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Gang {
    step: Step,
    /// Times that it was given back.
    rounds: u32,
}

impl Gang {
    pub(super) fn is_idle(&self) -> bool {
        self.step == Step::Idle
    }

    /// Whether places may be asked for.
    pub(super) fn may_place(&self) -> bool {
        matches!(self.step, Step::Idle | Step::Gathering(_))
    }

    /// Whether whatever turns up is to be stopped.
    pub(super) fn gives_back(&self) -> bool {
        self.step == Step::GivingBack
    }

    /// A job found in a former home's journal: nothing is placed before all is known.
    pub(super) fn taken_over() -> Self {
        Self {
            step: Step::Running,
            rounds: 0,
        }
    }
}

impl Control {
    /// Whether another job of this home gathers slots, so that this one does not begin.
    pub(super) fn waits_to_gather(&self, id: JobId) -> bool {
        let gathers = |other: &JobId| {
            let job = self.jobs.jobs.get(other);
            *other != id && job.is_some_and(|j| matches!(j.gang.step, Step::Gathering(_)))
        };
        let job = self.jobs.jobs.get(&id);
        let begins = job.is_some_and(|j| j.is_gang() && j.gang.is_idle());
        begins && self.jobs.gangs.iter().any(gathers)
    }

    /// Slots for some tasks were asked for.
    pub(super) fn gang_asked(&mut self, id: JobId) {
        let until = self.now + GATHER;
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        if job.is_gang() && job.gang.step == Step::Idle {
            job.gang.step = Step::Gathering(until);
            self.jobs.gangs.insert(id);
        }
    }

    /// A task of the job changed its stage.
    pub(super) fn gang_moved(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get(&id) else {
            return;
        };
        if !job.is_gang() || job.phase != Phase::Active {
            return;
        }
        let (c, count) = (job.counts, job.spec.count);
        match job.gang.step {
            Step::Gathering(_) if c.reserved + c.done == count => self.gang_start(id),
            Step::Starting(_) if c.running + c.done == count => self.gang_step(id, Step::Running),
            Step::Starting(_) | Step::Running if c.waiting > 0 => self.gang_give_back(id),
            Step::GivingBack if c.live() == 0 => self.gang_rest(id),
            _ => {}
        }
    }

    /// A task failed for good, so the job has.
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
                Step::Gathering(until) | Step::Starting(until) if until <= self.now => {
                    self.gang_give_back(id);
                }
                Step::Idle | Step::Running => drop(self.jobs.gangs.remove(&id)),
                _ => {}
            }
        }
    }

    fn gang_start(&mut self, id: JobId) {
        self.gang_step(id, Step::Starting(self.now + START));
        let reserved = |s| matches!(s, Stage::Reserved(_));
        for task in self.jobs.jobs[&id].tasks_in(reserved) {
            let stage = self.jobs.stage_of(task);
            if let Some(at) = stage.and_then(Stage::at) {
                self.jobs.set_stage((id, task.index), Stage::Starting(at));
                self.order_go(at, task);
                self.check_later(task);
            }
        }
    }

    fn gang_give_back(&mut self, id: JobId) {
        self.jobs.queue.remove(id);
        self.gang_step(id, Step::GivingBack);
        let live = self.jobs.jobs[&id].tasks_in(|s| s.at().is_some());
        let none = live.is_empty();
        for task in live {
            self.stop_unless_stopping(task);
        }
        if none {
            self.gang_rest(id);
        }
    }

    fn stop_unless_stopping(&mut self, task: TaskId) {
        let stage = self.jobs.stage_of(task);
        if !matches!(stage, Some(Stage::Stopping(_))) {
            self.stop_one(task);
        }
    }

    /// Everything is back: the job waits for its next turn.
    fn gang_rest(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        let doublings = job.gang.rounds.min(BACKOFF_DOUBLINGS);
        let spread = crate::config::hash64(&format!("{id}-{}", job.gang.rounds)) % 1_000;
        job.gang.rounds = job.gang.rounds.saturating_add(1);
        job.gang.step = Step::Idle;
        for index in 0..job.spec.count {
            job.retry(index);
        }
        self.jobs.gangs.remove(&id);
        let base = BACKOFF.times(1 << doublings);
        let pause = base + Duration(base.0 * spread / 1_000);
        self.jobs.later.insert((self.now + pause, id));
    }

    fn gang_step(&mut self, id: JobId, step: Step) {
        if let Some(job) = self.jobs.jobs.get_mut(&id) {
            job.gang.step = step;
            self.jobs.gangs.insert(id);
        }
    }
}
