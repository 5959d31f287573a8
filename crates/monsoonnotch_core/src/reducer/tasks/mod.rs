//! Tasks on the workers that this member holds, for whichever home.
//!
//! A home's orders come in the order of their numbers; a late one is dropped,
//! so an attempt that was refused or stopped is never started afterwards.

mod orders;
mod report;
mod reserve;
mod sync;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use crate::effect::Effect;
use crate::fleet::Task;
use crate::fleet::TaskState;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RangeId;
use crate::ident::TaskId;
use crate::ident::VmKey;
use crate::job::TaskSpec;
use crate::resource::Resources;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::wire::PeerMsg;
use crate::wire::TaskUpdate;

use self::reserve::Reserved;
use self::sync::SyncOut;

/// Pause after which news that a home has not confirmed is sent again.
const NEWS_PAUSE: Duration = Duration::from_secs(1);
/// Most news in one message.
const NEWS_MAX: usize = 1_024;

/// Tasks on own workers.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    /// The worker of each task.
    at: BTreeMap<TaskId, VmKey>,
    /// Ends that the task's home has not confirmed, and the worker to tell.
    ended: BTreeMap<TaskId, (TaskUpdate, Option<VmKey>)>,
    /// When to tell them again.
    ended_due: BTreeSet<(Time, TaskId)>,
    /// News that waits for the end of the tick.
    news: BTreeMap<MemberId, Vec<(TaskId, TaskUpdate)>>,
    /// Number of the last orders of each home.
    orders_seen: BTreeMap<MemberId, u64>,
    /// Slots kept for tasks that start together with others.
    reserved: Reserved,
    /// What the sync that is out told each worker.
    syncs: BTreeMap<VmKey, SyncOut>,
    /// Own workers that the list does not show, until when something may run there.
    missing: BTreeMap<Name, Time>,
    /// Tasks whose stop a worker has confirmed.
    stop_confirmed: BTreeSet<TaskId>,
}

impl Tasks {
    /// Number of tasks on own workers.
    pub(super) fn len(&self) -> usize {
        self.at.len()
    }
}

impl Control {
    /// A worker is dropped out of holding, with all that was known of its tasks.
    pub(super) fn tasks_worker_dropped(&mut self, key: VmKey) {
        let tasks = self.fleet.get(key).map(|vm| vm.tasks.keys().copied());
        let tasks: Vec<TaskId> = tasks.into_iter().flatten().collect();
        for id in tasks {
            self.tasks.at.remove(&id);
            self.tasks.reserved.remove(id);
            self.tasks.stop_confirmed.remove(&id);
        }
        self.tasks.syncs.remove(&key);
    }

    pub(super) fn tick_tasks(&mut self) {
        self.expire_reserved();
        self.repeat_ends();
        self.flush_news();
    }

    pub(super) fn tasks_member_ended(&mut self, m: MemberId) {
        self.tasks.orders_seen.remove(&m);
        self.tasks.news.remove(&m);
    }

    /// The tasks here that lie in ranges of a home, those that run and those that ended.
    pub(super) fn tasks_for(&self, home: MemberId) -> (Vec<TaskId>, Vec<(TaskId, TaskUpdate)>) {
        let of = |id: &TaskId| self.ledger.ranges.get(&RangeId::of_job(id.job)) == Some(&home);
        let run = self.tasks.at.keys().filter(|id| of(id)).copied();
        let ended = self.tasks.ended.iter().filter(|(id, _)| of(id));
        let ended = ended.map(|(id, (news, _))| (*id, *news));
        (run.collect(), ended.collect())
    }

    /// Held workers whose tasks are not known yet.
    ///
    /// On one that has not reported, nothing runs any more once the leases that
    /// its former holder gave have certainly lapsed.
    pub(super) fn unknown_workers(&mut self) -> u32 {
        let lapse = self.cfg.timing.lease_expiry();
        let now = self.now;
        let unknown = |h: &crate::fleet::VmHolding| !h.reported && now < h.not_before + lapse;
        let held = self.fleet.held();
        let listed = held.filter(|(_, vm)| vm.held.as_ref().is_some_and(unknown));
        let listed = listed.count();
        let missing = self.missing_workers();
        u32::try_from(listed + missing).unwrap_or(u32::MAX)
    }

    /// Own workers by the ledger that the platform's list does not show, or not yet.
    fn missing_workers(&mut self) -> usize {
        let me = self.cfg.me;
        let own = self.ledger.vms.iter().filter(|(_, h)| **h == me);
        let missing = own.filter(|(vm, _)| self.fleet.find(vm).is_none());
        let missing: BTreeSet<Name> = missing.map(|(vm, _)| vm.clone()).collect();
        let until = self.now + self.cfg.timing.eviction_wait() + self.cfg.timing.lease_expiry();
        self.tasks.missing.retain(|vm, _| missing.contains(vm));
        for vm in missing {
            self.tasks.missing.entry(vm).or_insert(until);
        }
        let now = self.now;
        let waits = self.tasks.missing.values().filter(|until| now < **until);
        waits.count()
    }

    pub(super) fn task_started(&mut self, vm: &Name, id: TaskId, verdict: Verdict) {
        let Some(key) = self.tasks.at.get(&id).copied() else {
            return;
        };
        let known = self.fleet.get(key).and_then(|vm| vm.tasks.get(&id));
        if self.fleet.find(vm) != Some(key) || known.is_none_or(|t| t.state == TaskState::Running) {
            return;
        }
        match verdict {
            Verdict::NotRun => {
                self.remove_task(key, id);
                self.news(id, TaskUpdate::NotPlaced(Reason::UpstreamRefused));
            }
            Verdict::Ran => {
                let stopping = known.is_some_and(|t| t.state == TaskState::Stopping);
                self.began(key, id);
                if stopping {
                    self.stop_task(key, id);
                } else {
                    self.news(id, TaskUpdate::Running);
                }
            }
            // The next sync stops it, and shows when it is gone.
            Verdict::MayHaveRun => {
                self.began(key, id);
                self.stop_task(key, id);
            }
        }
    }

    /// A home has recorded the ends of these.
    pub(super) fn tasks_seen(&mut self, tasks: &[TaskId]) {
        for id in tasks {
            if let Some((_, Some(key))) = self.tasks.ended.remove(id)
                && self.fleet.get(key).is_some_and(|vm| vm.held.is_some())
            {
                self.fleet.update(key, |vm| vm.acks.push(*id));
            }
        }
    }

    /// Sends the start of a task whose slot is occupied already.
    fn send_start(&mut self, key: VmKey, id: TaskId, spec: TaskSpec) {
        let vm = self.fleet.get(key).expect("the task's worker is held");
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
        let task = Task {
            state,
            size,
            team,
            since: self.now,
            lease_expiry: self.now + self.cfg.timing.lease_expiry(),
        };
        self.fleet.update(key, |vm| vm.add_task(id, task));
    }

    fn remove_task(&mut self, key: VmKey, id: TaskId) {
        self.tasks.at.remove(&id);
        self.tasks.reserved.remove(id);
        self.tasks.stop_confirmed.remove(&id);
        if let Some(task) = self.fleet.update(key, |vm| vm.remove_task(id)) {
            self.used.take(task.team.as_ref());
        }
    }

    /// The task may run from now on, under a lease counted from now.
    fn began(&mut self, key: VmKey, id: TaskId) {
        let now = self.now;
        let lapse = now + self.cfg.timing.lease_expiry();
        self.fleet.update(key, |vm| {
            if let Some(t) = vm.tasks.get_mut(&id) {
                t.state = TaskState::Running;
                t.since = now;
                t.lease_expiry = lapse;
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

    fn lose_task(&mut self, key: VmKey, id: TaskId) {
        self.remove_task(key, id);
        self.end_task(id, TaskUpdate::Lost, None);
    }

    /// Keeps the end of a task until its home has recorded it.
    fn end_task(&mut self, id: TaskId, news: TaskUpdate, worker: Option<VmKey>) {
        self.tasks.ended.insert(id, (news, worker));
        self.tasks.ended_due.insert((self.now + NEWS_PAUSE, id));
        self.news(id, news);
    }

    /// Tells a task's home, wherever it is now.
    fn news(&mut self, id: TaskId, news: TaskUpdate) {
        if let Some(home) = self.home_of_job(id.job) {
            self.tell_home(home, id, news);
        }
    }

    fn tell_home(&mut self, home: MemberId, id: TaskId, news: TaskUpdate) {
        self.tasks.news.entry(home).or_default().push((id, news));
    }

    fn repeat_ends(&mut self) {
        for _ in 0..NEWS_MAX {
            let Some((at, id)) = self.tasks.ended_due.first().copied() else {
                return;
            };
            if at > self.now {
                return;
            }
            self.tasks.ended_due.remove(&(at, id));
            if let Some((news, _)) = self.tasks.ended.get(&id).copied() {
                self.tasks.ended_due.insert((self.now + NEWS_PAUSE, id));
                self.news(id, news);
            }
        }
    }

    fn flush_news(&mut self) {
        for (home, mut all) in std::mem::take(&mut self.tasks.news) {
            while !all.is_empty() {
                let n = all.len().min(NEWS_MAX);
                let news = all.drain(..n).collect();
                match home == self.cfg.me {
                    true => self.task_news(home, news),
                    false => self.send(home, PeerMsg::TaskUpdates { updates: news }),
                }
            }
        }
    }
}
