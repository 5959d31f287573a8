//! What holders say of tasks.

use super::Control;
use super::Stage;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::Phase;
use crate::time::Duration;
use crate::wire::TaskUpdate;

/// Pause before a task that failed is tried again; doubles up to the longest.
const FAIL_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause before a task that failed is tried again.
const FAIL_PAUSE_MAX: Duration = Duration::from_secs(64);

impl Control {
    pub(in crate::reducer) fn task_news(
        &mut self,
        from: MemberId,
        news: Vec<(TaskId, TaskUpdate)>,
    ) {
        if !self.may_keep_records() || !self.ledger.is_member(from) {
            // Holders tell ends again, and heirs tell what runs where a former member was.
            return;
        }
        for (id, news) in news {
            if self.home_is_ready(id.job.0) {
                self.one_task_news(from, id, news);
            }
        }
    }

    pub(super) fn one_task_news(&mut self, from: MemberId, id: TaskId, news: TaskUpdate) {
        match news {
            TaskUpdate::Running | TaskUpdate::Reserved | TaskUpdate::Leaving => {
                self.task_present(from, id, news);
            }
            TaskUpdate::NotPlaced(_) => self.task_not_placed(from, id),
            TaskUpdate::Done => self.task_done(from, id),
            TaskUpdate::Failed => self.task_failed(from, id),
            TaskUpdate::Lost => self.task_lost(from, id),
        }
    }

    /// The stage of a task; one whose place is not known takes any attempt that shows up.
    fn stage_found(&mut self, id: TaskId) -> Option<Stage> {
        let job = self.jobs.jobs.get_mut(&id.job)?;
        let task = job.tasks.get_mut(id.index as usize)?;
        if task.stage == Stage::Unknown {
            task.attempt = id.attempt;
        }
        (task.attempt == id.attempt).then_some(task.stage)
    }

    /// Something is occupied for a task.
    fn task_present(&mut self, from: MemberId, id: TaskId, news: TaskUpdate) {
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
                self.check_later(id);
            }
            Some(_) => self.task_holds(from, id, news),
        }
    }

    fn task_holds(&mut self, from: MemberId, id: TaskId, news: TaskUpdate) {
        let place = (id.job, id.index);
        let stage = self.jobs.stage_of(id);
        if self.jobs.jobs[&id.job].gang.gives_back() {
            self.jobs.set_stage(place, Stage::Running(from));
            return self.stop_one(id);
        }
        match (news, stage) {
            (TaskUpdate::Leaving, _) if self.jobs.jobs[&id.job].is_long_lived() => {
                self.jobs.set_stage(place, Stage::Running(from));
                self.stop_one(id);
            }
            (TaskUpdate::Reserved, Some(Stage::Asked(_) | Stage::Unknown)) => {
                self.jobs.set_stage(place, Stage::Reserved(from));
                self.gang_moved(id.job);
            }
            (TaskUpdate::Reserved, Some(Stage::Starting(_))) => self.order_go(from, id),
            (TaskUpdate::Reserved, _) => {}
            _ => {
                self.jobs.set_stage(place, Stage::Running(from));
                if let Some(job) = self.jobs.jobs.get_mut(&id.job) {
                    job.misses = 0;
                }
                self.gang_moved(id.job);
            }
        }
    }

    fn task_not_placed(&mut self, from: MemberId, id: TaskId) {
        let stage = self.jobs.stage_of(id);
        let current = stage.filter(|s| s.at() == Some(from));
        if !matches!(
            current,
            Some(Stage::Asked(_) | Stage::Starting(_) | Stage::Stopping(_))
        ) {
            return;
        }
        self.wait_again(id, true);
        self.member_missed(from);
        self.place_missed(id.job);
        self.gang_moved(id.job);
    }

    fn task_done(&mut self, from: MemberId, id: TaskId) {
        match self.stage_found(id) {
            Some(stage) if !stage.is_over() => {
                self.jobs.set_stage((id.job, id.index), Stage::Done);
                self.jobs.progress.add(id.job, id.index, true);
                self.jobs.progress.confirm_recorded(from, id);
                self.end_job_if_over(id.job);
                self.gang_moved(id.job);
            }
            _ => self.jobs.progress.confirm(from, id),
        }
    }

    fn task_failed(&mut self, from: MemberId, id: TaskId) {
        let current = self.jobs.stage_of(id).and_then(Stage::at);
        if current.is_none() {
            return self.jobs.progress.confirm(from, id);
        }
        let job = self.jobs.jobs.get_mut(&id.job).expect("just seen");
        let task = &mut job.tasks[id.index as usize];
        task.tries = task.tries.saturating_add(1);
        let tries = task.tries;
        let last = tries >= job.max_attempts && job.phase == Phase::Active;
        if last {
            self.jobs.set_stage((id.job, id.index), Stage::Failed);
            self.jobs.progress.add(id.job, id.index, false);
            self.jobs.progress.confirm_recorded(from, id);
            self.end_job_if_over(id.job);
            self.gang_failed(id.job);
            return;
        }
        self.jobs.progress.confirm(from, id);
        self.wait_again(id, false);
        let doublings = (tries - 1).min(7);
        let pause = FAIL_PAUSE.times(1 << doublings).min(FAIL_PAUSE_MAX);
        let place = (id.job, id.index);
        self.jobs.retries.insert((self.now + pause, place));
        self.gang_moved(id.job);
    }

    fn task_lost(&mut self, from: MemberId, id: TaskId) {
        self.jobs.progress.confirm(from, id);
        let current = self.jobs.stage_of(id).and_then(Stage::at);
        if current == Some(from) {
            self.wait_again(id, true);
            self.queue_job(id.job);
            self.gang_moved(id.job);
        }
    }

    /// Lets a task whose attempt has certainly ended wait for another.
    pub(super) fn wait_again(&mut self, id: TaskId, at_once: bool) {
        if let Some(job) = self.jobs.jobs.get_mut(&id.job) {
            job.wait_again(id.index, at_once);
        }
    }
}
