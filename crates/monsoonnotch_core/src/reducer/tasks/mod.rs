//! Tasks of any home on the workers that this member holds.
//!
//! The orders of a home are executed in the order of their numbers, and a late
//! one is dropped. Thus an attempt that was refused or stopped never starts
//! afterwards.

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
use self::sync::SyncSent;

/// Interval at which a final update that the home has not confirmed is sent again.
const UPDATE_RETRY: Duration = Duration::from_secs(1);
/// Maximum number of updates in one message, and of updates that one tick repeats.
const UPDATES_MAX: usize = 1_024;

/// Tasks on the workers of this member.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    /// The worker of each task.
    at: BTreeMap<TaskId, VmKey>,
    /// Final updates that the home has not confirmed, with the worker that waits for the
    /// acknowledgement.
    ended: BTreeMap<TaskId, (TaskUpdate, Option<VmKey>)>,
    /// Ended tasks whose final update is sent again at a time.
    ended_due: BTreeSet<(Time, TaskId)>,
    /// Updates that are sent to each home at the end of the tick.
    updates: BTreeMap<MemberId, Vec<(TaskId, TaskUpdate)>>,
    /// Number of the last order message received from each home.
    last_orders: BTreeMap<MemberId, u64>,
    /// Slots reserved for tasks of gangs.
    reserved: Reserved,
    /// Content of the pending sync with each worker.
    syncs: BTreeMap<VmKey, SyncSent>,
    /// Unlisted workers of this member, with the time until which tasks may run on them.
    missing: BTreeMap<Name, Time>,
    /// Stopping tasks whose worker has answered a sync with the order to stop them.
    stop_confirmed: BTreeSet<TaskId>,
}

impl Tasks {
    /// Returns the number of tasks on the workers of this member.
    pub(super) fn len(&self) -> usize {
        self.at.len()
    }
}

impl Control {
    /// Removes the tasks of a worker that this member no longer holds.
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
        self.resend_final_updates();
        self.flush_updates();
    }

    pub(super) fn tasks_member_ended(&mut self, m: MemberId) {
        self.tasks.last_orders.remove(&m);
        self.tasks.updates.remove(&m);
    }

    /// Returns the tasks here whose home is `home`: those that occupy a slot, and those that ended.
    pub(super) fn tasks_for(&self, home: MemberId) -> (Vec<TaskId>, Vec<(TaskId, TaskUpdate)>) {
        let of = |id: &TaskId| self.ledger.ranges.get(&RangeId::of_job(id.job)) == Some(&home);
        let run = self.tasks.at.keys().filter(|id| of(id)).copied();
        let ended = self.tasks.ended.iter().filter(|(id, _)| of(id));
        let ended = ended.map(|(id, (update, _))| (*id, *update));
        (run.collect(), ended.collect())
    }

    /// Returns the number of held workers whose tasks are not known yet.
    ///
    /// A worker without a report counts only until the leases granted by its
    /// previous holder have certainly expired; then nothing runs on it.
    pub(super) fn unknown_workers(&mut self) -> u32 {
        let lease_expiry = self.cfg.timing.lease_expiry();
        let now = self.now;
        let unknown =
            |h: &crate::fleet::VmHolding| !h.reported && now < h.not_before + lease_expiry;
        let held = self.fleet.held();
        let listed = held.filter(|(_, vm)| vm.held.as_ref().is_some_and(unknown));
        let listed = listed.count();
        let missing = self.missing_workers();
        u32::try_from(listed + missing).unwrap_or(u32::MAX)
    }

    /// Returns the number of this member's workers that are not listed and may still run tasks.
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
                self.update_home(id, TaskUpdate::NotPlaced(Reason::UpstreamRefused));
            }
            Verdict::Ran => {
                let stopping = known.is_some_and(|t| t.state == TaskState::Stopping);
                self.mark_running(key, id);
                if stopping {
                    self.stop_task(key, id);
                } else {
                    self.update_home(id, TaskUpdate::Running);
                }
            }
            // The next sync stops the task; a later report shows when it has ended.
            Verdict::MayHaveRun => {
                self.mark_running(key, id);
                self.stop_task(key, id);
            }
        }
    }

    /// Handles a home's confirmation of final updates and acknowledges them to the workers.
    pub(super) fn updates_acknowledged(&mut self, tasks: &[TaskId]) {
        for id in tasks {
            if let Some((_, Some(key))) = self.tasks.ended.remove(id)
                && self.fleet.get(key).is_some_and(|vm| vm.held.is_some())
            {
                self.fleet.update(key, |vm| vm.acks.push(*id));
            }
        }
    }

    /// Sends the start of a task that already occupies a slot to its worker.
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
        self.effects.push(start);
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
            self.used.remove(task.team.as_ref());
        }
    }

    /// Marks a task as running from now on, with a lease that begins now.
    fn mark_running(&mut self, key: VmKey, id: TaskId) {
        let now = self.now;
        let lease_expiry = now + self.cfg.timing.lease_expiry();
        self.fleet.update(key, |vm| {
            if let Some(t) = vm.tasks.get_mut(&id) {
                t.state = TaskState::Running;
                t.since = now;
                t.lease_expiry = lease_expiry;
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

    /// Keeps the final update of a task until its home has confirmed it.
    fn end_task(&mut self, id: TaskId, update: TaskUpdate, worker: Option<VmKey>) {
        self.tasks.ended.insert(id, (update, worker));
        self.tasks.ended_due.insert((self.now + UPDATE_RETRY, id));
        self.update_home(id, update);
    }

    /// Queues an update for the current home of a task.
    fn update_home(&mut self, id: TaskId, update: TaskUpdate) {
        if let Some(home) = self.home_of_job(id.job) {
            self.send_update(home, id, update);
        }
    }

    fn send_update(&mut self, home: MemberId, id: TaskId, update: TaskUpdate) {
        self.tasks
            .updates
            .entry(home)
            .or_default()
            .push((id, update));
    }

    fn resend_final_updates(&mut self) {
        for _ in 0..UPDATES_MAX {
            let Some((at, id)) = self.tasks.ended_due.first().copied() else {
                return;
            };
            if at > self.now {
                return;
            }
            self.tasks.ended_due.remove(&(at, id));
            if let Some((update, _)) = self.tasks.ended.get(&id).copied() {
                self.tasks.ended_due.insert((self.now + UPDATE_RETRY, id));
                self.update_home(id, update);
            }
        }
    }

    fn flush_updates(&mut self) {
        for (home, mut all) in std::mem::take(&mut self.tasks.updates) {
            while !all.is_empty() {
                let n = all.len().min(UPDATES_MAX);
                let updates = all.drain(..n).collect();
                match home == self.cfg.me {
                    true => self.task_updates(home, updates),
                    false => self.send(home, PeerMsg::TaskUpdates { updates }),
                }
            }
        }
    }
}
