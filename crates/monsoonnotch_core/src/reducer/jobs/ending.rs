//! Ends of jobs: cancellation, deadline and completion.

use super::super::journal::AfterAppend;
use super::Control;
use super::ENDED_RETENTION;
use super::Stage;
use crate::ident::JobId;
use crate::ident::TaskId;
use crate::job::JournalEntry;
use crate::job::Phase;

impl Control {
    pub(super) fn cancel_job(&mut self, id: JobId) {
        let active = |p: Phase| p == Phase::Active;
        if self.jobs.jobs.get(&id).is_some_and(|j| active(j.phase)) {
            self.end_job(id, Phase::Cancelled);
        }
    }

    /// Handles the deadline of a job, after which none of its tasks may start.
    ///
    /// Waiting tasks fail; those that a member was asked to start are examined again later.
    pub(super) fn deadline_passed(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        if job.phase != Phase::Active {
            return;
        }
        job.past_deadline = true;
        // A pending start may still be refused; the deadline is then applied again.
        let pending = job.counts.left() > job.counts.running;
        let waiting = match job.gang.is_idle() {
            true => job.tasks_in(|s| s == Stage::Waiting),
            false => Vec::new(),
        };
        for task in waiting {
            self.jobs.set_stage((id, task.index), Stage::Failed);
            self.jobs.progress.add(id, task.index, false);
        }
        if pending {
            let again = self.now + super::TASK_QUERY_INTERVAL;
            self.jobs.deadlines.insert((again, id));
        }
        self.end_job_if_over(id);
    }

    pub(super) fn end_job_if_over(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get(&id) else {
            return;
        };
        if job.phase != Phase::Active || job.counts.left() > 0 {
            return;
        }
        let phase = match job.counts.failed {
            0 => Phase::Done,
            _ => Phase::Failed,
        };
        self.end_job(id, phase);
    }

    /// Ends a job and stops its remaining tasks.
    pub(super) fn end_job(&mut self, id: JobId, phase: Phase) {
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        job.phase = phase;
        job.ready.clear();
        let live = job.tasks_in(|s| s.at().is_some());
        self.jobs.queue.remove(id);
        self.jobs.gangs.remove(&id);
        self.journal_progress_of(id);
        self.journal
            .push(JournalEntry::Ended { job: id, phase }, AfterAppend::Nothing);
        self.jobs.removals.insert((self.now + ENDED_RETENTION, id));
        for task in live {
            self.stop_job_task(task);
        }
    }

    /// Orders the holder of a task to stop it, repeatedly until the task has ended.
    pub(super) fn stop_job_task(&mut self, id: TaskId) {
        let at = self.jobs.stage_of(id).and_then(Stage::at);
        if let Some(at) = at {
            self.jobs.set_stage((id.job, id.index), Stage::Stopping(at));
            self.order_stop(at, id);
            self.query_task_later(id);
        }
    }
}
