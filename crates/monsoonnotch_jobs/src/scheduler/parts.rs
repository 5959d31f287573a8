//! Parts of jobs: which tasks share a record of progress or placements, and what is stored of them.
//!
//! The tasks of all occurrences of a job are numbered, and a part has the tasks of a fixed range of numbers. A task
//! stays in its part, so that a part can be stored without the others.

use std::cmp::Reverse;
use std::ops::Range;

use super::job::Job;
use super::job::Stage;
use super::job::Task;
use super::*;
use crate::journal::Owner;
use crate::journal::PART_TASKS;
use crate::journal::Placed;
use crate::journal::Placements;
use crate::journal::Progress;
use crate::journal::StageProgress;

/// Key of a part of a job.
///
/// Part 0 is the last of its job: releases without parts stored the whole job in its records, which may be
/// replaced only when all other parts are stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PartKey {
    pub(super) job: JobKey,
    part: Reverse<u64>,
}

impl PartKey {
    pub(super) fn new(job: JobKey, part: u64) -> Self {
        Self {
            job,
            part: Reverse(part),
        }
    }

    /// Returns the number of the part in its job.
    pub(super) fn number(self) -> u64 {
        self.part.0
    }
}

/// How the tasks of a job are divided into parts.
#[derive(Debug, Default)]
pub(super) struct Division {
    /// Number of tasks of one occurrence.
    tasks: u64,
    /// Number of tasks in the steps before each step; empty if there is only one part.
    first_tasks: Vec<u64>,
}

impl Division {
    pub(super) fn new(plan: &Plan) -> Self {
        let tasks = plan.tasks();
        let all = tasks.saturating_mul(u64::from(plan.occurrences()));
        let mut first_tasks = Vec::new();
        if all > PART_TASKS {
            let mut first = 0;
            for step in &plan.steps {
                first_tasks.push(first);
                first += u64::from(step.count);
            }
        }
        Self { tasks, first_tasks }
    }

    /// Returns the number of a task in its job.
    fn task_number(&self, occurrence: u32, step: u16, index: u32) -> u64 {
        let first = self.first_tasks.get(usize::from(step)).copied();
        let before = u64::from(occurrence).saturating_mul(self.tasks);
        before
            .saturating_add(first.unwrap_or(0))
            .saturating_add(u64::from(index))
    }

    /// Returns the part of a task.
    pub(super) fn part_of(&self, occurrence: u32, step: u16, index: u32) -> u64 {
        if self.first_tasks.is_empty() {
            return 0;
        }
        self.task_number(occurrence, step, index) / PART_TASKS
    }

    /// Returns the first part that has tasks of an occurrence or of later ones.
    fn first_part(&self, occurrence: u32) -> u64 {
        self.part_of(occurrence, 0, 0)
    }

    /// Returns the indexes of those of the `count` tasks of a stage that are in a part.
    fn tasks_in(&self, part: u64, occurrence: u32, step: u16, count: usize) -> Range<usize> {
        if self.first_tasks.is_empty() {
            return 0..count;
        }
        let first = self.task_number(occurrence, step, 0);
        let begin = part.saturating_mul(PART_TASKS);
        let end = begin.saturating_add(PART_TASKS);
        let index = |task: u64| (task.saturating_sub(first) as usize).min(count);
        index(begin)..index(end)
    }
}

/// Returns the parts that have tasks of the open stages of a job.
fn open_parts(job: &Job) -> BTreeSet<u64> {
    let stages = job.stages.iter().flat_map(|(&(occurrence, step), stage)| {
        let last = (stage.tasks.len() as u32).saturating_sub(1);
        let part = |index| job.division.part_of(occurrence, step, index);
        part(0)..=part(last)
    });
    stages.collect()
}

/// Returns what is stored of the progress of a part of a job.
pub(super) fn progress_of(job: &Job, part: u64) -> Progress {
    if job.outcome.is_some() {
        return Progress {
            outcome: job.outcome,
            account: job.account.clone(),
            queue: job.queue.clone(),
            begun: job.begun,
            ..Progress::default()
        };
    }
    let stages = job
        .stages
        .iter()
        .filter_map(|(&(occurrence, step), stage)| {
            let tasks = (job.division).tasks_in(part, occurrence, step, stage.tasks.len());
            stage_progress(occurrence, step, stage, tasks)
        });
    Progress {
        outcome: None,
        begun: job.begun,
        complete_to: job.complete_to,
        stages: stages.collect(),
        ..Progress::default()
    }
}

/// Returns what is stored of the progress of some tasks of a stage; `None` if there is nothing.
fn stage_progress(
    occurrence: u32,
    step: u16,
    stage: &Stage,
    range: Range<usize>,
) -> Option<StageProgress> {
    if range.is_empty() {
        return None;
    }
    let empty = StageProgress {
        occurrence,
        step,
        complete: stage.is_complete(),
        ..StageProgress::default()
    };
    if empty.complete {
        return Some(empty);
    }
    let indexes = (range.start as u32)..;
    let tasks = || indexes.clone().zip(&stage.tasks[range.clone()]);
    let crashes = |t: &Task| t.crashes.clone().into_iter().collect();
    let done = tasks().filter(|(_, t)| t.done);
    let failed = || tasks().filter(|(_, t)| t.failed.count() > 0);
    let failed_before = failed().filter(|(_, t)| t.failed.before().0 > 0);
    let suspects = tasks().filter(|(_, t)| !t.crashes.is_empty() && !t.done);
    let checkpoints =
        tasks().filter(|(_, t)| !t.checkpoint.is_empty() && !t.done && t.run.is_none());
    let progress = StageProgress {
        done: done.map(|(i, _)| i).collect(),
        failed: failed().map(|(i, t)| (i, t.failed.kept())).collect(),
        failed_before: failed_before
            .map(|(i, t)| (i, t.failed.before().0, t.failed.before().1))
            .collect(),
        crashes: suspects.map(|(i, t)| (i, crashes(t))).collect(),
        checkpoints: checkpoints
            .map(|(i, t)| (i, t.checkpoint.clone()))
            .collect(),
        ..empty.clone()
    };
    (progress != empty).then_some(progress)
}

/// Whether the stored progress of a stage has rows of other parts than `part`.
fn has_rows_elsewhere(job: &Job, part: u64, stored: &StageProgress) -> bool {
    let (occurrence, step) = (stored.occurrence, stored.step);
    if stored.complete {
        let count = job.plan.steps.get(usize::from(step)).map_or(0, |s| s.count);
        let tasks = (job.division).tasks_in(part, occurrence, step, count as usize);
        return tasks.is_empty();
    }
    let done = stored.done.iter().copied();
    let failed = stored.failed.iter().map(|f| f.0);
    let suspects = stored.crashes.iter().map(|c| c.0);
    let checkpoints = stored.checkpoints.iter().map(|c| c.0);
    let mut indexes = done.chain(failed).chain(suspects).chain(checkpoints);
    indexes.any(|i| job.division.part_of(occurrence, step, i) != part)
}

/// Returns the parts of a job with records whose occurrences are all complete, at most `max`.
pub(super) fn complete_parts(job: &Job, max: usize) -> Vec<u64> {
    let first_open = job.division.first_part(job.complete_to);
    let complete = job.stored_parts.range(..first_open);
    complete.take(max).copied().collect()
}

impl Scheduler {
    /// Returns the part of a task.
    fn part_key(&self, stage: StageKey, index: u32) -> Option<PartKey> {
        let division = &self.jobs.get(stage.job)?.division;
        let part = division.part_of(stage.occurrence, stage.step, index);
        Some(PartKey::new(stage.job, part))
    }

    /// Schedules the progress of a task to be stored.
    pub(super) fn mark_dirty(&mut self, stage: StageKey, index: u32) {
        if let Some(key) = self.part_key(stage, index) {
            self.flush.mark_dirty(key);
        }
    }

    /// Schedules the placement of a task to be stored; `run` starts once it is.
    pub(super) fn add_placement(&mut self, stage: StageKey, index: u32, run: Option<RunKey>) {
        if let Some(key) = self.part_key(stage, index) {
            self.flush.add_placement(key, run);
        }
    }

    /// Keeps the finished runs of a VM unacknowledged until the progress of a task is stored.
    pub(super) fn add_finished(&mut self, stage: StageKey, index: u32, vm: VmKey) {
        if let Some(key) = self.part_key(stage, index) {
            self.flush.add_finished(key, vm);
        }
    }

    /// Schedules all parts of a job's progress to be stored if a stored one has rows of others, as that of
    /// a release without parts.
    pub(super) fn divide_progress(&mut self, key: JobKey, part: u64, stored: &Progress) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if stored
            .stages
            .iter()
            .any(|s| has_rows_elsewhere(job, part, s))
        {
            for number in open_parts(job).into_iter().chain([0]) {
                self.flush.mark_dirty(PartKey::new(key, number));
            }
        }
    }

    /// The same for a job's placements.
    pub(super) fn divide_placements(&mut self, key: JobKey, part: u64, stored: &Placements) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let mut runs = stored.vms.iter().flat_map(|v| &v.runs);
        if runs.any(|r| job.division.part_of(r.0, r.1, r.2) != part) {
            for number in open_parts(job).into_iter().chain([0]) {
                self.flush.add_placement(PartKey::new(key, number), None);
            }
        }
    }

    /// Returns where the tasks of a part of a job run or are about to be started, and where the others ran
    /// last.
    pub(super) fn placements_of(&self, job: &Job, part: u64) -> Placements {
        let mut vms: BTreeMap<VmKey, Vec<(u32, u16, u32, u64)>> = BTreeMap::new();
        let mut unplaced = Vec::new();
        for (&(occurrence, step), stage) in &job.stages {
            let tasks = (job.division).tasks_in(part, occurrence, step, stage.tasks.len());
            let indexes = (tasks.start as u32)..;
            for (i, task) in indexes.zip(&stage.tasks[tasks]) {
                let run = task.run.and_then(|r| self.runs.get(&r));
                let (vm, attempt) = match (run, task.last_vm) {
                    (Some(run), _) => (run.vm, run.attempt),
                    (None, Some(vm)) if !task.done => {
                        unplaced.push((occurrence, step, i));
                        (vm, task.attempt)
                    }
                    (None, _) => continue,
                };
                let row = (occurrence, step, i, attempt);
                vms.entry(vm).or_default().push(row);
            }
        }
        let placed = |(vm, runs)| {
            let vm = self.vms.get(vm)?.registration.id.clone();
            Some(Placed { vm, runs })
        };
        Placements {
            owner: Some(Owner {
                account: job.account.clone(),
                queue: job.queue.clone(),
            }),
            vms: vms.into_iter().filter_map(placed).collect(),
            unplaced,
        }
    }
}
