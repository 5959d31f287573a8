//! A job and its tasks, with counts that are kept rather than counted.

use std::collections::BTreeSet;

use crate::config::Lane;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::Accepted;
use crate::job::Phase;
use crate::job::Spec;
use crate::job::Status;
use crate::job::TaskSpec;
use crate::time::Duration;
use crate::time::Time;

use super::gather::Gang;

/// Bits of an attempt's number below the generation of the home.
const ATTEMPT_BITS: u32 = 22;

/// Where a task stands, as its home knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for a place.
    Waiting,
    /// A member was asked to run it or to keep a slot for it.
    Asked(MemberId),
    /// A member keeps a slot for it.
    Reserved(MemberId),
    /// A member was told to start it in its slot.
    Starting(MemberId),
    /// It runs on a worker of a member.
    Running(MemberId),
    /// A member was told to stop it.
    Stopping(MemberId),
    /// It may run somewhere; members are being asked.
    Unknown,
    /// It ended well.
    Done,
    /// It failed for good.
    Failed,
}

impl Stage {
    /// The member on whose workers the task may be.
    pub(super) fn at(self) -> Option<MemberId> {
        match self {
            Self::Asked(m) | Self::Reserved(m) | Self::Starting(m) => Some(m),
            Self::Running(m) | Self::Stopping(m) => Some(m),
            Self::Waiting | Self::Unknown | Self::Done | Self::Failed => None,
        }
    }

    /// Whether it has ended for good.
    pub(super) fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::Failed)
    }
}

/// A task of a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobTask {
    pub(super) stage: Stage,
    pub(super) attempt: u32,
    pub(super) tries: u32,
}

/// How many tasks are in each kind of stage.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) waiting: u32,
    pub(super) asked: u32,
    pub(super) reserved: u32,
    pub(super) starting: u32,
    pub(super) running: u32,
    pub(super) stopping: u32,
    pub(super) unknown: u32,
    pub(super) done: u32,
    pub(super) failed: u32,
}

impl Counts {
    fn of(&mut self, stage: Stage) -> &mut u32 {
        match stage {
            Stage::Waiting => &mut self.waiting,
            Stage::Asked(_) => &mut self.asked,
            Stage::Reserved(_) => &mut self.reserved,
            Stage::Starting(_) => &mut self.starting,
            Stage::Running(_) => &mut self.running,
            Stage::Stopping(_) => &mut self.stopping,
            Stage::Unknown => &mut self.unknown,
            Stage::Done => &mut self.done,
            Stage::Failed => &mut self.failed,
        }
    }

    /// Tasks that may occupy something on a worker.
    pub(super) fn live(&self) -> u32 {
        self.asked + self.reserved + self.starting + self.running + self.stopping + self.unknown
    }

    /// Tasks that have not ended for good.
    pub(super) fn left(&self) -> u32 {
        self.live() + self.waiting
    }
}

/// A job at its home.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) spec: Spec,
    pub(super) lane: Lane,
    pub(super) phase: Phase,
    pub(super) max_attempts: u32,
    pub(super) generation: u32,
    pub(super) arrived: Time,
    /// Age on arrival here, when it was accepted by an earlier home.
    pub(super) age: Duration,
    pub(super) tasks: Vec<JobTask>,
    pub(super) counts: Counts,
    /// Tasks that can be placed now.
    pub(super) ready: BTreeSet<u32>,
    /// Times in a row that no place was found.
    pub(super) misses: u32,
    pub(super) gang: Gang,
    /// Whether the time of the last start has passed.
    pub(super) late: bool,
}

impl Job {
    pub(super) fn new(record: &Accepted, now: Time) -> Self {
        let count = record.spec.count;
        let task = JobTask {
            stage: Stage::Waiting,
            attempt: first_attempt(record.generation),
            tries: 0,
        };
        Self {
            id: record.job,
            spec: record.spec.clone(),
            lane: record.lane,
            phase: Phase::Active,
            max_attempts: record.max_attempts,
            generation: record.generation,
            arrived: now,
            age: Duration::from_millis(record.age_ms),
            tasks: vec![task; count as usize],
            counts: Counts {
                waiting: count,
                ..Counts::default()
            },
            ready: (0..count).collect(),
            misses: 0,
            gang: Gang::default(),
            late: false,
        }
    }

    pub(super) fn record(&self, now: Time) -> Accepted {
        Accepted {
            job: self.id,
            spec: self.spec.clone(),
            lane: self.lane,
            max_attempts: self.max_attempts,
            generation: self.generation,
            age_ms: (self.age + now.since(self.arrived)).as_millis(),
        }
    }

    pub(super) fn task_spec(&self) -> TaskSpec {
        TaskSpec {
            team: self.spec.team.clone(),
            size: self.spec.size,
            priority: self.spec.priority,
            run_ms: self.spec.run_ms,
            command: self.spec.command.clone(),
        }
    }

    pub(super) fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id,
            index,
            attempt: self.tasks[index as usize].attempt,
        }
    }

    /// The tasks in stages that `f` chooses.
    pub(super) fn tasks_in(&self, f: impl Fn(Stage) -> bool) -> Vec<TaskId> {
        let tasks = (0..).zip(&self.tasks).filter(|(_, t)| f(t.stage));
        tasks.map(|(index, _)| self.task_id(index)).collect()
    }

    pub(super) fn set_stage(&mut self, index: u32, stage: Stage) {
        let task = &mut self.tasks[index as usize];
        *self.counts.of(task.stage) -= 1;
        *self.counts.of(stage) += 1;
        task.stage = stage;
        self.ready.remove(&index);
    }

    /// Lets a task wait for another attempt, to be placed at once or when it is retried.
    pub(super) fn wait_again(&mut self, index: u32, at_once: bool) {
        self.set_stage(index, Stage::Waiting);
        let least = first_attempt(self.generation);
        let task = &mut self.tasks[index as usize];
        task.attempt = least.max(task.attempt.saturating_add(1));
        if at_once && self.phase == Phase::Active {
            self.ready.insert(index);
        }
    }

    /// The pause before a task's next attempt is over.
    pub(super) fn retry(&mut self, index: u32) {
        let waits = self.tasks[index as usize].stage == Stage::Waiting;
        if waits && self.phase == Phase::Active {
            self.ready.insert(index);
        }
    }

    pub(super) fn is_live(&self) -> bool {
        self.phase == Phase::Active || self.counts.live() > 0
    }

    /// Whether its tasks start together or not at all.
    pub(super) fn is_gang(&self) -> bool {
        self.lane == Lane::AllAtOnce
    }

    pub(super) fn status(&self) -> Status {
        let c = &self.counts;
        Status {
            id: self.id.to_string().into(),
            spec: self.spec.clone(),
            phase: self.phase,
            waiting: c.waiting + c.asked + c.reserved + c.starting,
            running: c.running + c.stopping + c.unknown,
            done: c.done,
            failed: c.failed,
        }
    }
}

/// The least number of an attempt under a generation of the home.
fn first_attempt(generation: u32) -> u32 {
    (generation << ATTEMPT_BITS) + 1
}
