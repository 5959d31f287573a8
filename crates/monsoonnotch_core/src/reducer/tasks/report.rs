//! What workers report.

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

    /// The first report of an inherited worker: what it shows is counted.
    pub(super) fn found(&mut self, key: VmKey, report: &Report) {
        let since = self.now;
        for _ in 0..report.requests {
            self.used.add(None);
            let size = Resources::one_request();
            let doubt = UncertainRequest {
                since,
                size,
                team: None,
                found: true,
            };
            self.fleet.update(key, |vm| {
                vm.start_request(&size);
                vm.mark_uncertain(doubt);
            });
        }
        self.fleet.update(key, |vm| {
            if let Some(h) = &mut vm.held {
                h.reported = true;
            }
        });
    }

    pub(super) fn tasks_reported(&mut self, key: VmKey, as_of: Time, report: &Report) {
        for (id, well) in &report.ended {
            self.task_ended(key, *id, *well);
        }
        for t in &report.running {
            self.task_running(key, t);
        }
        self.tasks_missing(key, as_of, report);
        self.tell_of_leaving(key);
    }

    /// Tasks of a silent worker are gone once their leases have certainly lapsed.
    pub(super) fn lapse_tasks(&mut self, key: VmKey) {
        let now = self.now;
        let Some(vm) = self.fleet.get(key) else {
            return;
        };
        let gone = |t: &Task| t.lease_expiry <= now && t.state != TaskState::Starting;
        let lapsed = vm.tasks.iter().filter(|(_, t)| gone(t));
        let lapsed: Vec<TaskId> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            self.lose_task(key, id);
        }
    }

    fn task_ended(&mut self, key: VmKey, id: TaskId, well: bool) {
        if self.tasks.ended.contains_key(&id) {
            return;
        }
        let pending = self.fleet.get(key).is_some_and(|vm| vm.acks.contains(&id));
        if pending {
            return;
        }
        self.remove_task(key, id);
        let news = match well {
            true => TaskUpdate::Done,
            false => TaskUpdate::Failed,
        };
        self.end_task(id, news, Some(key));
    }

    fn task_running(&mut self, key: VmKey, t: &RunningTask) {
        let known = self.fleet.get(key).and_then(|vm| vm.tasks.get(&t.id));
        match known.map(|k| k.state) {
            None if self.tasks.ended.contains_key(&t.id) => {}
            None => {
                let team = Some(t.team.clone());
                self.add_task(key, t.id, team, t.size, TaskState::Running);
                self.news(t.id, TaskUpdate::Running);
            }
            Some(TaskState::Starting) if self.tasks.reserved.holds(t.id) => {}
            Some(TaskState::Starting) => {
                self.began(key, t.id);
                self.news(t.id, TaskUpdate::Running);
            }
            Some(_) => {}
        }
    }

    /// Tasks that a report should show and does not are gone.
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

    /// Tells homes which of their tasks run on a worker that is leaving.
    fn tell_of_leaving(&mut self, key: VmKey) {
        let vm = self.fleet.get(key).expect("the worker reported");
        if !vm.info.leaving {
            return;
        }
        let running = vm.tasks.iter();
        let running = running.filter(|(_, t)| t.state == TaskState::Running);
        let running: Vec<TaskId> = running.map(|(id, _)| *id).collect();
        for id in running {
            self.news(id, TaskUpdate::Leaving);
        }
    }
}
