//! Finished runs: how they change the task, its stage and its job, and the run time
//! statistics taken from them.

use super::*;
use crate::journal::CHECKPOINT_BYTES_MAX;
use crate::journal::Outcome;
use crate::vm::RunOutcome;

/// Shortest duration of a run that counts for the slowness of its VM.
const SLOWNESS_RUN_MIN: Duration = Duration::from_millis(50);
/// Weight of the newest finished run in a VM's slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Weight of one progress report of a run in progress, of which there are several.
const PROGRESS_WEIGHT: f64 = 0.15;
/// Largest slowness taken from a single run.
const SLOWNESS_MAX: f64 = 8.0;

impl Scheduler {
    /// Updates the slowness of a VM from the progress of a run that started `ran` ago. On
    /// a slow VM, the end of the run would show it only much later.
    pub(super) fn record_progress(
        &mut self,
        key: StageKey,
        vm: VmKey,
        ran: Duration,
        percent: u64,
    ) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let step = job.step(key.step);
        if !Self::shows_speed(step) {
            return;
        }
        let usual = self.expected_ratio(job, vm);
        let done_ms = step.estimate_ms as f64 * usual * percent.max(1) as f64 / 100.0;
        let slowness = (ran.as_millis() as f64 / done_ms.max(1.0)).min(SLOWNESS_MAX);
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.health.record_slowness(slowness, PROGRESS_WEIGHT);
        }
    }

    /// Sets the latest checkpoint of a task, from which its next attempt resumes. One that is too long to be
    /// stored is left out, and the task keeps the one before.
    pub(super) fn set_checkpoint(&mut self, key: StageKey, index: u32, checkpoint: CompactString) {
        if checkpoint.len() > CHECKPOINT_BYTES_MAX {
            return;
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let gang = job.step(key.step).gang;
        let Some(stage) = job.stages.get_mut(&(key.occurrence, key.step)) else {
            return;
        };
        if gang {
            // A checkpoint of one task covers the whole gang, and all tasks must resume
            // from the same one.
            stage
                .tasks
                .iter_mut()
                .for_each(|t| t.checkpoint = checkpoint.clone());
        } else if let Some(task) = stage.tasks.get_mut(index as usize) {
            task.checkpoint = checkpoint;
        }
    }

    /// Marks a task as done after a successful run.
    ///
    /// `sent_at` is when that run was sent; `None` if it is not the task's current run.
    pub(super) fn complete_task(
        &mut self,
        key: StageKey,
        index: u32,
        vm: VmKey,
        sent_at: Option<Time>,
    ) {
        self.record_health(vm, true);
        if let Some(sent_at) = sent_at {
            self.record_runtime(key, vm, sent_at);
            let took = self.now.since(sent_at).as_millis();
            if let Some(stage) = self.stage_mut(key) {
                stage.slowest_ms = stage.slowest_ms.max(took);
            }
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let (gang, long_lived) = (job.step(key.step).gang, job.step(key.step).long_lived);
        if long_lived {
            return self.requeue_task(key, index, true, RunOutcome::Done);
        }
        let Some(stage) = job.stages.get_mut(&(key.occurrence, key.step)) else {
            return;
        };
        let count = u32::try_from(stage.tasks.len()).unwrap_or(0);
        let ended: Vec<u32> = if gang {
            (0..count).collect()
        } else {
            vec![index]
        };
        let mut others = Vec::new();
        for i in ended {
            let task = &mut stage.tasks[i as usize];
            if !task.done {
                task.done = true;
                stage.done += 1;
                stage.waiting.remove(&i);
            }
            // The runs of a gang end together. Any other run of a done task is stopped.
            others.extend(task.run.filter(|_| !gang));
        }
        self.mark_dirty(key, index);
        for run in others {
            self.stop_run(run, "the task is done");
        }
        self.update_ready_queue(key);
        if let Some(stage) = self.stage(key).filter(|s| s.is_complete()) {
            let detail = format!(
                "step={} occurrence={} ms={} slowest_ms={}",
                key.step,
                key.occurrence,
                self.now.since(stage.ready_at).as_millis(),
                stage.slowest_ms
            );
            let id = self.task_id(key, 0).stage.job.0;
            self.log(id, "step done", detail);
            self.advance(key.job);
        }
    }

    fn record_runtime(&mut self, key: StageKey, vm: VmKey, sent_at: Time) {
        let took = self.now.since(sent_at);
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let step = job.step(key.step);
        if took < SLOWNESS_RUN_MIN || step.estimate_ms == 0 || step.long_lived {
            return;
        }
        let queue = job.queue.clone();
        let ratio = took.as_millis() as f64 / step.estimate_ms as f64;
        let usual = self.expected_ratio(job, vm);
        let shows_speed = Self::shows_speed(step);
        self.record_runtime_ratio(&queue, ratio);
        if shows_speed {
            self.record_speed(&queue, vm, ratio);
        }
        if let Some(vm) = self.vms.get_mut(vm) {
            let slowness = ratio / usual.max(0.05);
            vm.health
                .record_slowness(slowness.min(SLOWNESS_MAX), SLOWNESS_WEIGHT);
        }
    }

    /// Counts a failed attempt of a task, caused by the task or by its VM; ends the job
    /// if the task has no attempts left.
    pub(super) fn fail_task(&mut self, key: StageKey, index: u32, vm: VmKey, attempt: u64) {
        self.record_health(vm, false);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let id = job.id.0;
        let step = job.step(key.step);
        let (gang, long_lived) = (step.gang, step.long_lived);
        let queue = job.queue.clone();
        let Some(stage) = job.stages.get_mut(&(key.occurrence, key.step)) else {
            return;
        };
        let Some(task) = stage.tasks.get_mut(index as usize) else {
            return;
        };
        if !task.failed.insert(attempt) {
            return;
        }
        stage.gang_failed.insert(attempt);
        let fails = if gang {
            stage.gang_failed.count()
        } else {
            task.failed.count()
        };
        let done = task.done;
        let most = self.queue(&queue).map_or(u32::MAX, |q| q.attempts_max);
        let detail = format!("step={} index={index} fails={fails} most={most}", key.step);
        self.log(id, "run failed", detail);
        if long_lived {
            return self.requeue_task(key, index, true, RunOutcome::Failed);
        }
        self.mark_dirty(key, index);
        if !done && most > 0 && fails >= u64::from(most) {
            return self.end_job(key.job, Outcome::Failed);
        }
        self.requeue_task(key, index, true, RunOutcome::Failed);
    }

    /// Makes a task without a run wait for its next attempt.
    ///
    /// `was_current` tells whether the run that ended was the task's current one; if so,
    /// the other runs of its gang are stopped.
    pub(super) fn requeue_task(
        &mut self,
        key: StageKey,
        index: u32,
        was_current: bool,
        outcome: RunOutcome,
    ) {
        let gang = self
            .jobs
            .get(key.job)
            .is_some_and(|j| j.step(key.step).gang);
        if gang && was_current {
            self.stop_broken_gang(key, outcome);
        }
        let Some(stage) = self.stage_mut(key) else {
            return;
        };
        let Some(task) = stage.tasks.get(index as usize) else {
            return;
        };
        if task.run.is_none() && !task.done {
            stage.waiting.insert(index);
        }
        self.update_ready_queue(key);
    }
}
