//! Ends of jobs: cancelled, past the deadline, complete.

use super::super::journal::Then;
use super::Control;
use super::KEEP_ENDED;
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

    /// No task of the job starts any more.
    pub(super) fn deadline_passed(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        if job.phase != Phase::Active {
            return;
        }
        job.late = true;
        // What was asked for may yet come back and is looked at again then.
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
            let again = self.now + super::CHECK_PAUSE;
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

    /// Ends a job and stops what runs of it.
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
            .push(JournalEntry::Ended { job: id, phase }, Then::Nothing);
        self.jobs.forgets.insert((self.now + KEEP_ENDED, id));
        for task in live {
            self.stop_one(task);
        }
    }

    /// Tells the holder of a task to stop it, until it has ended.
    pub(super) fn stop_one(&mut self, id: TaskId) {
        let at = self.jobs.stage_of(id).and_then(Stage::at);
        if let Some(at) = at {
            self.jobs.set_stage((id.job, id.index), Stage::Stopping(at));
            self.order_stop(at, id);
            self.check_later(id);
        }
    }
}
