//! A job and its tasks, with incrementally updated counts of the task stages.

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

use super::gang::Gang;

/// Memory of an entry of an ordered set beside its content, in bytes.
const NODE_BYTES: usize = 16;
/// Number of low bits of an attempt that count attempts; the high bits are the generation.
const ATTEMPT_BITS: u32 = 22;

/// The stage of a task as known to its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The task waits for placement.
    Waiting,
    /// A member was ordered to start the task or to reserve a slot for it.
    Requested(MemberId),
    /// A member has reserved a slot for the task.
    Reserved(MemberId),
    /// A member was ordered to start the task in its reserved slot.
    Starting(MemberId),
    /// The task runs on a worker of a member.
    Running(MemberId),
    /// A member was ordered to stop the task.
    Stopping(MemberId),
    /// The task may run on any member; a search is in progress.
    Unknown,
    /// The task completed.
    Done,
    /// The task failed permanently.
    Failed,
}

impl Stage {
    /// Returns the member on whose workers the task may be; `None` if there is none or it is
    /// unknown.
    pub(super) fn at(self) -> Option<MemberId> {
        match self {
            Self::Requested(m) | Self::Reserved(m) | Self::Starting(m) => Some(m),
            Self::Running(m) | Self::Stopping(m) => Some(m),
            Self::Waiting | Self::Unknown | Self::Done | Self::Failed => None,
        }
    }

    /// Returns whether the task has completed or failed permanently.
    pub(super) fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::Failed)
    }
}

/// A task of a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobTask {
    pub(super) stage: Stage,
    pub(super) attempt: u32,
    pub(super) failed_attempts: u32,
}

/// Number of tasks in each stage.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) waiting: u32,
    pub(super) requested: u32,
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
            Stage::Requested(_) => &mut self.requested,
            Stage::Reserved(_) => &mut self.reserved,
            Stage::Starting(_) => &mut self.starting,
            Stage::Running(_) => &mut self.running,
            Stage::Stopping(_) => &mut self.stopping,
            Stage::Unknown => &mut self.unknown,
            Stage::Done => &mut self.done,
            Stage::Failed => &mut self.failed,
        }
    }

    /// Returns the number of tasks that may occupy a slot.
    pub(super) fn live(&self) -> u32 {
        self.requested + self.reserved + self.starting + self.running + self.stopping + self.unknown
    }

    /// Returns the number of tasks that have not ended permanently.
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
    /// Age of the job on arrival here; zero unless a previous home accepted it.
    pub(super) age: Duration,
    pub(super) tasks: Vec<JobTask>,
    pub(super) counts: Counts,
    /// Indexes of the waiting tasks that may be placed now.
    pub(super) ready: BTreeSet<u32>,
    /// Number of successive failed placements.
    pub(super) failed_placements: u32,
    pub(super) gang: Gang,
    /// Whether the deadline for task starts has passed.
    pub(super) past_deadline: bool,
}

/// Returns the memory of a job, in bytes.
pub(super) fn job_memory(spec: &Spec) -> u64 {
    let fixed = (size_of::<Job>() + spec.command.len()) as u64;
    let task = (size_of::<JobTask>() + NODE_BYTES) as u64;
    fixed + u64::from(spec.count) * task
}

impl Job {
    pub(super) fn new(record: &Accepted, now: Time) -> Self {
        let count = record.spec.count;
        let task = JobTask {
            stage: Stage::Waiting,
            attempt: first_attempt(record.generation),
            failed_attempts: 0,
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
            failed_placements: 0,
            gang: Gang::default(),
            past_deadline: false,
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

    /// Returns the tasks whose stage satisfies `f`.
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

    /// Lets a task wait for its next attempt, which may be placed at once or after a call of
    /// `retry`.
    pub(super) fn requeue_task(&mut self, index: u32, at_once: bool) {
        self.set_stage(index, Stage::Waiting);
        let least = first_attempt(self.generation);
        let task = &mut self.tasks[index as usize];
        task.attempt = least.max(task.attempt.saturating_add(1));
        if at_once && self.phase == Phase::Active {
            self.ready.insert(index);
        }
    }

    /// Lets a waiting task be placed, because the delay before its next attempt is over.
    pub(super) fn retry(&mut self, index: u32) {
        let waits = self.tasks[index as usize].stage == Stage::Waiting;
        if waits && self.phase == Phase::Active {
            self.ready.insert(index);
        }
    }

    pub(super) fn is_live(&self) -> bool {
        self.phase == Phase::Active || self.counts.live() > 0
    }

    /// Returns whether the tasks start all together or not at all.
    pub(super) fn is_gang(&self) -> bool {
        self.lane == Lane::AllAtOnce
    }

    pub(super) fn status(&self) -> Status {
        let c = &self.counts;
        Status {
            id: self.id.to_string().into(),
            spec: self.spec.clone(),
            phase: self.phase,
            waiting: c.waiting + c.requested + c.reserved + c.starting,
            running: c.running + c.stopping + c.unknown,
            done: c.done,
            failed: c.failed,
        }
    }
}

/// Returns the first attempt number of a generation.
///
/// Each home that adopts a job begins a new generation, so that its attempts differ from those of
/// previous homes.
fn first_attempt(generation: u32) -> u32 {
    (generation << ATTEMPT_BITS) + 1
}
