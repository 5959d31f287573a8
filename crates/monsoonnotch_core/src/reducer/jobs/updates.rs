//! Handling of task updates from the holders of workers.

use super::Control;
use super::Stage;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::Phase;
use crate::time::Duration;
use crate::wire::TaskUpdate;

/// Shortest delay before a failed task is retried; it doubles up to `RETRY_PAUSE_MAX`.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest delay before a failed task is retried.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(64);

impl Control {
    pub(in crate::reducer) fn task_updates(
        &mut self,
        from: MemberId,
        updates: Vec<(TaskId, TaskUpdate)>,
    ) {
        if !self.may_keep_records() || !self.ledger.is_member(from) {
            // Holders repeat final updates, and successors report what runs on inherited workers.
            return;
        }
        for (id, update) in updates {
            if self.home_is_ready(id.job.0) {
                self.one_task_update(from, id, update);
            }
        }
    }

    pub(super) fn one_task_update(&mut self, from: MemberId, id: TaskId, update: TaskUpdate) {
        match update {
            TaskUpdate::Running | TaskUpdate::Reserved | TaskUpdate::Leaving => {
                self.task_found(from, id, update);
            }
            TaskUpdate::NotPlaced(_) => self.task_not_placed(from, id),
            TaskUpdate::Done => self.task_done(from, id),
            TaskUpdate::Failed => self.task_failed(from, id),
            TaskUpdate::Lost => self.task_lost(from, id),
        }
    }

    /// Returns the stage of a task in the attempt of `id`.
    ///
    /// A task whose holder is unknown adopts the reported attempt.
    fn stage_found(&mut self, id: TaskId) -> Option<Stage> {
        let job = self.jobs.jobs.get_mut(&id.job)?;
        let task = job.tasks.get_mut(id.index as usize)?;
        if task.stage == Stage::Unknown {
            task.attempt = id.attempt;
        }
        (task.attempt == id.attempt).then_some(task.stage)
    }

    /// Handles an update that a slot is occupied for a task.
    fn task_found(&mut self, from: MemberId, id: TaskId, update: TaskUpdate) {
        let stage = self.stage_found(id);
        let active = |c: &Self| {
            let job = c.jobs.jobs.get(&id.job);
            job.is_some_and(|j| j.phase == Phase::Active)
        };
        match stage {
            None | Some(Stage::Waiting | Stage::Done | Stage::Failed) => self.order_stop(from, id),
            Some(Stage::Stopping(_)) => {}
            Some(_) if !active(self) => {
                self.jobs
                    .set_stage((id.job, id.index), Stage::Stopping(from));
                self.order_stop(from, id);
                self.query_task_later(id);
            }
            Some(_) => self.task_occupies(from, id, update),
        }
    }

    fn task_occupies(&mut self, from: MemberId, id: TaskId, update: TaskUpdate) {
        let key = (id.job, id.index);
        let stage = self.jobs.stage_of(id);
        if self.jobs.jobs[&id.job].gang.is_releasing() {
            self.jobs.set_stage(key, Stage::Running(from));
            return self.stop_job_task(id);
        }
        match (update, stage) {
            (TaskUpdate::Leaving, _) if self.jobs.jobs[&id.job].is_long_lived() => {
                self.jobs.set_stage(key, Stage::Running(from));
                self.stop_job_task(id);
            }
            (TaskUpdate::Reserved, Some(Stage::Requested(_) | Stage::Unknown)) => {
                self.jobs.set_stage(key, Stage::Reserved(from));
                self.gang_task_changed(id.job);
            }
            (TaskUpdate::Reserved, Some(Stage::Starting(_))) => self.order_start_reserved(from, id),
            (TaskUpdate::Reserved, _) => {}
            _ => {
                self.jobs.set_stage(key, Stage::Running(from));
                if let Some(job) = self.jobs.jobs.get_mut(&id.job) {
                    job.failed_placements = 0;
                }
                self.gang_task_changed(id.job);
            }
        }
    }

    fn task_not_placed(&mut self, from: MemberId, id: TaskId) {
        let stage = self.jobs.stage_of(id);
        let current = stage.filter(|s| s.at() == Some(from));
        if !matches!(
            current,
            Some(Stage::Requested(_) | Stage::Starting(_) | Stage::Stopping(_))
        ) {
            return;
        }
        self.requeue_task(id, true);
        self.member_full(from);
        self.placement_failed(id.job);
        self.gang_task_changed(id.job);
    }

    fn task_done(&mut self, from: MemberId, id: TaskId) {
        match self.stage_found(id) {
            Some(stage) if !stage.is_over() => {
                self.jobs.set_stage((id.job, id.index), Stage::Done);
                self.jobs.progress.add(id.job, id.index, true);
                self.jobs.progress.confirm_recorded(from, id);
                self.end_job_if_over(id.job);
                self.gang_task_changed(id.job);
            }
            _ => self.jobs.progress.confirm(from, id),
        }
    }

    fn task_failed(&mut self, from: MemberId, id: TaskId) {
        let current = self.jobs.stage_of(id).and_then(Stage::at);
        if current.is_none() {
            return self.jobs.progress.confirm(from, id);
        }
        let job = self
            .jobs
            .jobs
            .get_mut(&id.job)
            .expect("a task with a holder has a job");
        let task = &mut job.tasks[id.index as usize];
        task.failed_attempts = task.failed_attempts.saturating_add(1);
        let failed_attempts = task.failed_attempts;
        let last = failed_attempts >= job.max_attempts && job.phase == Phase::Active;
        if last {
            self.jobs.set_stage((id.job, id.index), Stage::Failed);
            self.jobs.progress.add(id.job, id.index, false);
            self.jobs.progress.confirm_recorded(from, id);
            self.end_job_if_over(id.job);
            self.gang_failed(id.job);
            return;
        }
        self.jobs.progress.confirm(from, id);
        self.requeue_task(id, false);
        let doublings = (failed_attempts - 1).min(7);
        let pause = RETRY_PAUSE_MIN.times(1 << doublings).min(RETRY_PAUSE_MAX);
        let key = (id.job, id.index);
        self.jobs.retries.insert((self.now + pause, key));
        self.gang_task_changed(id.job);
    }

    fn task_lost(&mut self, from: MemberId, id: TaskId) {
        self.jobs.progress.confirm(from, id);
        let current = self.jobs.stage_of(id).and_then(Stage::at);
        if current == Some(from) {
            self.requeue_task(id, true);
            self.queue_job(id.job);
            self.gang_task_changed(id.job);
        }
    }

    /// Lets a task whose attempt has certainly ended wait for its next attempt.
    pub(super) fn requeue_task(&mut self, id: TaskId, at_once: bool) {
        if let Some(job) = self.jobs.jobs.get_mut(&id.job) {
            job.requeue_task(id.index, at_once);
        }
    }
}
