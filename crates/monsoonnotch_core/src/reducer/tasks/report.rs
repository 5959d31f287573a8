//! Handling of the reports of workers.

use super::Control;
use crate::event::Report;
use crate::event::RunningTask;
use crate::fleet::Task;
use crate::fleet::TaskState;
use crate::fleet::UncertainRequest;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::ident::VmKey;
use crate::resource::Resources;
use crate::time::Time;
use crate::wire::TaskUpdate;

impl Control {
    pub(in crate::reducer) fn home_of_job(&self, job: JobId) -> Option<MemberId> {
        self.ledger.home_of(job.0)
    }

    /// Handles the first report of a worker: its requests are counted as uncertain use.
    pub(super) fn count_inherited_use(&mut self, key: VmKey, report: &Report) {
        let since = self.now;
        for _ in 0..report.requests {
            self.used.add(None);
            let size = Resources::one_request();
            let uncertain = UncertainRequest {
                since,
                size,
                team: None,
                found: true,
            };
            self.fleet.update(key, |vm| {
                vm.start_request(&size);
                vm.mark_uncertain(uncertain);
            });
        }
        self.fleet.update(key, |vm| {
            if let Some(h) = &mut vm.held {
                h.reported = true;
            }
        });
    }

    pub(super) fn tasks_reported(&mut self, key: VmKey, as_of: Time, report: &Report) {
        for (id, succeeded) in &report.ended {
            self.task_ended(key, *id, *succeeded);
        }
        for t in &report.running {
            self.task_running(key, t);
        }
        self.tasks_missing(key, as_of, report);
        self.report_leaving(key);
    }

    /// Removes the tasks of an unresponsive worker whose leases have certainly expired.
    pub(super) fn expire_tasks(&mut self, key: VmKey) {
        let now = self.now;
        let Some(vm) = self.fleet.get(key) else {
            return;
        };
        let gone = |t: &Task| t.lease_expiry <= now && t.state != TaskState::Starting;
        let expired = vm.tasks.iter().filter(|(_, t)| gone(t));
        let expired: Vec<TaskId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.lose_task(key, id);
        }
    }

    fn task_ended(&mut self, key: VmKey, id: TaskId, succeeded: bool) {
        if self.tasks.ended.contains_key(&id) {
            return;
        }
        let pending = self.fleet.get(key).is_some_and(|vm| vm.acks.contains(&id));
        if pending {
            return;
        }
        self.remove_task(key, id);
        let update = match succeeded {
            true => TaskUpdate::Done,
            false => TaskUpdate::Failed,
        };
        self.end_task(id, update, Some(key));
    }

    fn task_running(&mut self, key: VmKey, t: &RunningTask) {
        let known = self.fleet.get(key).and_then(|vm| vm.tasks.get(&t.id));
        match known.map(|k| k.state) {
            None if self.tasks.ended.contains_key(&t.id) => {}
            None => {
                let team = Some(t.team.clone());
                self.add_task(key, t.id, team, t.size, TaskState::Running);
                self.update_home(t.id, TaskUpdate::Running);
            }
            Some(TaskState::Starting) if self.tasks.reserved.holds(t.id) => {}
            Some(TaskState::Starting) => {
                self.mark_running(key, t.id);
                self.update_home(t.id, TaskUpdate::Running);
            }
            Some(_) => {}
        }
    }

    /// Removes the tasks that a report should contain and does not.
    fn tasks_missing(&mut self, key: VmKey, as_of: Time, report: &Report) {
        let shown = |id: &TaskId| report.running.iter().any(|t| t.id == *id);
        let vm = self.fleet.get(key).expect("the worker reported");
        let settled = |id: &TaskId, t: &Task| match t.state {
            TaskState::Starting => false,
            TaskState::Running => t.since < as_of,
            TaskState::Stopping => t.since < as_of && self.tasks.stop_confirmed.contains(id),
        };
        let missing = vm.tasks.iter();
        let missing = missing.filter(|(id, t)| settled(id, t) && !shown(id));
        let missing: Vec<TaskId> = missing.map(|(id, _)| *id).collect();
        for id in missing {
            self.lose_task(key, id);
        }
    }

    /// Reports the running tasks of a leaving worker to their homes.
    fn report_leaving(&mut self, key: VmKey) {
        let vm = self.fleet.get(key).expect("the worker reported");
        if !vm.info.leaving {
            return;
        }
        let running = vm.tasks.iter();
        let running = running.filter(|(_, t)| t.state == TaskState::Running);
        let running: Vec<TaskId> = running.map(|(id, _)| *id).collect();
        for id in running {
            self.update_home(id, TaskUpdate::Leaving);
        }
    }
}
