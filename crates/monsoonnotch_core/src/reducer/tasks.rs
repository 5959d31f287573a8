//! Tasks on the workers that this member holds, for whichever home.

use std::collections::BTreeMap;

use super::Control;
use crate::effect::Effect;
use crate::effect::Sync;
use crate::event::Report;
use crate::event::RunningTask;
use crate::fleet::Doubt;
use crate::fleet::Task;
use crate::fleet::TaskState;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::TaskId;
use crate::ident::VmKey;
use crate::job::TaskSpec;
use crate::resource::Resources;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::wire::PeerMsg;
use crate::wire::TaskNews;

/// Pause after which news that a home has not confirmed is sent again.
const NEWS_PAUSE: Duration = Duration::from_secs(1);
/// Syncs sent in one tick at most.
const SYNCS_MAX: usize = 64;

/// Tasks on own workers.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    /// The worker of each task.
    at: BTreeMap<TaskId, VmKey>,
    /// Ends that the task's home has not confirmed, and the worker to tell.
    ended: BTreeMap<TaskId, (TaskNews, Option<VmKey>)>,
    news_due: Time,
}

impl Control {
    /// A home asks for a place for a task; asking again does no harm.
    pub(super) fn task_asked(&mut self, from: MemberId, id: TaskId, spec: TaskSpec) {
        if self.home_of_job(id.job) != Some(from) {
            return;
        }
        if let Some((news, _)) = self.tasks.ended.get(&id) {
            let news = *news;
            return self.tell_home(from, id, news);
        }
        if self.tasks.at.contains_key(&id) {
            return self.tell_home(from, id, TaskNews::Running);
        }
        if let Err(reason) = self.place_task(id, spec) {
            self.tell_home(from, id, TaskNews::NotPlaced(reason));
        }
    }

    pub(super) fn task_started(&mut self, vm: &Name, id: TaskId, verdict: Verdict) {
        let Some(key) = self.tasks.at.get(&id).copied() else {
            return;
        };
        if self.fleet.find(vm) != Some(key) {
            return;
        }
        match verdict {
            Verdict::Ran => {
                self.set_task_state(key, id, TaskState::Running);
                self.news(id, TaskNews::Running);
            }
            Verdict::NotRun => {
                self.remove_task(key, id);
                self.news(id, TaskNews::NotPlaced(Reason::UpstreamRefused));
            }
            // The next sync stops it, and shows when it is gone.
            Verdict::MayHaveRun => self.stop_task(key, id),
        }
    }

    pub(super) fn tasks_seen(&mut self, tasks: &[TaskId]) {
        for id in tasks {
            if let Some((_, Some(key))) = self.tasks.ended.remove(id)
                && self.fleet.get(key).is_some_and(|vm| vm.held.is_some())
            {
                self.fleet.update(key, |vm| vm.acks.push(*id));
            }
        }
    }

    pub(super) fn tasks_stopped(&mut self, from: MemberId, tasks: &[TaskId]) {
        for id in tasks {
            if self.home_of_job(id.job) != Some(from) {
                continue;
            }
            match self.tasks.at.get(id).copied() {
                Some(key) => self.stop_task(key, *id),
                None if !self.tasks.ended.contains_key(id) => {
                    self.tell_home(from, *id, TaskNews::Lost);
                }
                None => {}
            }
        }
    }

    pub(super) fn sync_if_due(&mut self) {
        self.send_unconfirmed_news();
        if !self.is_certain() {
            return;
        }
        let before = self.now - self.cfg.timing.sync;
        let due = self.fleet.sync_due(Some(before));
        let keys: Vec<VmKey> = due.take(SYNCS_MAX).collect();
        for key in keys {
            self.sync_worker(key);
        }
    }

    pub(super) fn synced(&mut self, vm: &Name, asked: Time, report: &Report) {
        let Some(key) = self.fleet.find(vm) else {
            return;
        };
        self.fleet.update(key, |vm| vm.sync_out = false);
        let Some(held) = self.fleet.get(key).and_then(|vm| vm.held) else {
            return;
        };
        let as_of = asked - Duration::from_millis(report.age_ms);
        if as_of < held.from || self.now < held.from {
            return;
        }
        if !held.known {
            self.found(key, report);
        }
        self.tasks_reported(key, as_of, report);
        let freed = self.fleet.update(key, |vm| vm.settle_doubt(as_of, report));
        for d in freed {
            self.used.take(d.team.as_ref());
        }
    }

    pub(super) fn sync_failed(&mut self, vm: &Name) {
        if let Some(key) = self.fleet.find(vm) {
            self.fleet.update(key, |vm| vm.sync_out = false);
            self.lapse_tasks(key);
        }
    }

    pub(super) fn home_of_job(&self, job: JobId) -> Option<MemberId> {
        self.ledger.home_of(job.0)
    }

    fn place_task(&mut self, id: TaskId, spec: TaskSpec) -> Result<(), Reason> {
        if self.stopping.begun() {
            return Err(Reason::Stopping);
        }
        if !self.is_certain() {
            return Err(Reason::Uncertain);
        }
        if !self.team_may_start(Some(&spec.team)) {
            return Err(Reason::AtLimit);
        }
        if !self.long_may_start(spec.size.slots) {
            return Err(Reason::QueueFull);
        }
        let key = self.fleet.place_task(&spec.size).ok_or(Reason::QueueFull)?;
        self.add_task(
            key,
            id,
            Some(spec.team.clone()),
            spec.size,
            TaskState::Starting,
        );
        let vm = self.fleet.get(key).expect("just placed");
        let start = Effect::StartTask {
            vm: vm.info.name.clone(),
            addr: vm.info.addr.clone(),
            epoch: vm.held.map_or(0, |h| h.epoch),
            task: id,
            spec,
            lease: self.cfg.timing.lease,
            certain_until: self.certain_until(),
        };
        self.out.push(start);
        Ok(())
    }

    fn add_task(
        &mut self,
        key: VmKey,
        id: TaskId,
        team: Option<Name>,
        size: Resources,
        state: TaskState,
    ) {
        self.used.add(team.as_ref());
        self.tasks.at.insert(id, key);
        let timing = &self.cfg.timing;
        let task = Task {
            state,
            size,
            team,
            since: self.now,
            lapse: self.now + timing.lease + timing.dispatch + timing.drift,
        };
        self.fleet.update(key, |vm| vm.add_task(id, task));
    }

    fn remove_task(&mut self, key: VmKey, id: TaskId) {
        self.tasks.at.remove(&id);
        if let Some(task) = self.fleet.update(key, |vm| vm.remove_task(id)) {
            self.used.take(task.team.as_ref());
        }
    }

    fn set_task_state(&mut self, key: VmKey, id: TaskId, state: TaskState) {
        self.fleet.update(key, |vm| {
            if let Some(t) = vm.tasks.get_mut(&id) {
                t.state = state;
            }
        });
    }

    fn stop_task(&mut self, key: VmKey, id: TaskId) {
        self.fleet.update(key, |vm| {
            if let Some(t) = vm.tasks.get_mut(&id) {
                t.state = TaskState::Stopping;
                vm.stops.push(id);
            }
        });
    }

    fn sync_worker(&mut self, key: VmKey) {
        let timing = self.cfg.timing;
        let now = self.now;
        let sync = self.fleet.update(key, |vm| {
            vm.synced = Some(now);
            vm.sync_out = true;
            let mut renew = Vec::new();
            for (id, t) in &mut vm.tasks {
                match t.state {
                    TaskState::Stopping => vm.stops.push(*id),
                    TaskState::Running => {
                        t.lapse = now + timing.lease + timing.dispatch + timing.drift;
                        renew.push(*id);
                    }
                    TaskState::Starting => {}
                }
            }
            vm.stops.sort_unstable();
            vm.stops.dedup();
            Sync {
                vm: vm.info.name.clone(),
                addr: vm.info.addr.clone(),
                epoch: vm.held.map_or(0, |h| h.epoch),
                renew,
                stop: std::mem::take(&mut vm.stops),
                acknowledge: std::mem::take(&mut vm.acks),
                lease: timing.lease,
            }
        });
        self.out.push(Effect::Sync(sync));
    }

    /// The first report of an inherited worker: what it shows is counted.
    fn found(&mut self, key: VmKey, report: &Report) {
        let since = self.now;
        for _ in 0..report.requests {
            self.used.add(None);
            let size = Resources::one_request();
            let doubt = Doubt {
                since,
                size,
                team: None,
                found: true,
            };
            self.fleet.update(key, |vm| {
                vm.start_request(&size);
                vm.doubt_request(doubt);
            });
        }
        self.fleet.update(key, |vm| {
            if let Some(h) = &mut vm.held {
                h.known = true;
            }
        });
    }

    fn tasks_reported(&mut self, key: VmKey, as_of: Time, report: &Report) {
        for (id, well) in &report.ended {
            self.task_ended(key, *id, *well);
        }
        for t in &report.running {
            self.task_running(key, t);
        }
        self.tasks_missing(key, as_of, report);
    }

    fn task_ended(&mut self, key: VmKey, id: TaskId, well: bool) {
        if self.tasks.ended.contains_key(&id) {
            return;
        }
        self.remove_task(key, id);
        let news = match well {
            true => TaskNews::Done,
            false => TaskNews::Failed,
        };
        self.tasks.ended.insert(id, (news, Some(key)));
        self.news(id, news);
    }

    fn task_running(&mut self, key: VmKey, t: &RunningTask) {
        let known = self.fleet.get(key).and_then(|vm| vm.tasks.get(&t.id));
        match known.map(|k| k.state) {
            None if self.tasks.ended.contains_key(&t.id) => {}
            None => {
                let team = Some(t.team.clone());
                self.add_task(key, t.id, team, t.size, TaskState::Running);
                self.news(t.id, TaskNews::Running);
            }
            Some(TaskState::Starting) => {
                self.set_task_state(key, t.id, TaskState::Running);
                self.news(t.id, TaskNews::Running);
            }
            Some(_) => {}
        }
    }

    /// Tasks that a report should show and does not are gone.
    fn tasks_missing(&mut self, key: VmKey, as_of: Time, report: &Report) {
        let shown = |id: &TaskId| report.running.iter().any(|t| t.id == *id);
        let vm = self.fleet.get(key).expect("the worker reported");
        let settled = |t: &Task| t.state != TaskState::Starting && t.since < as_of;
        let missing = vm.tasks.iter().filter(|(id, t)| settled(t) && !shown(id));
        let missing: Vec<TaskId> = missing.map(|(id, _)| *id).collect();
        for id in missing {
            self.lose_task(key, id);
        }
    }

    /// Tasks of a silent worker are gone once their leases have certainly lapsed.
    fn lapse_tasks(&mut self, key: VmKey) {
        let now = self.now;
        let Some(vm) = self.fleet.get(key) else {
            return;
        };
        let lapsed = vm.tasks.iter().filter(|(_, t)| t.lapse <= now);
        let lapsed: Vec<TaskId> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            self.lose_task(key, id);
        }
    }

    fn lose_task(&mut self, key: VmKey, id: TaskId) {
        self.remove_task(key, id);
        self.tasks.ended.insert(id, (TaskNews::Lost, None));
        self.news(id, TaskNews::Lost);
    }

    /// Tells a task's home, wherever it is now.
    fn news(&mut self, id: TaskId, news: TaskNews) {
        if let Some(home) = self.home_of_job(id.job) {
            self.tell_home(home, id, news);
        }
    }

    fn tell_home(&mut self, home: MemberId, id: TaskId, news: TaskNews) {
        let news = vec![(id, news)];
        match home == self.cfg.me {
            true => self.task_news(home, news),
            false => self.send(home, PeerMsg::TaskNews { news }),
        }
    }

    fn send_unconfirmed_news(&mut self) {
        if self.now < self.tasks.news_due {
            return;
        }
        self.tasks.news_due = self.now + NEWS_PAUSE;
        let ended: Vec<(TaskId, TaskNews)> = self
            .tasks
            .ended
            .iter()
            .map(|(id, (n, _))| (*id, *n))
            .collect();
        for (id, news) in ended {
            self.news(id, news);
        }
    }
}
