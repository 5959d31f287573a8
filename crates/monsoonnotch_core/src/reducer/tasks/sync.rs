//! Syncs with workers, which renew leases, stop tasks and request reports.

use super::Control;
use crate::effect::Effect;
use crate::effect::Sync;
use crate::event::Report;
use crate::fleet::TaskState;
use crate::ident::Name;
use crate::ident::TaskId;
use crate::ident::VmKey;
use crate::time::Duration;
use crate::time::Time;

/// Maximum number of syncs sent in one tick.
const SYNCS_MAX: usize = 64;

/// Tasks named in a pending sync.
#[derive(Debug)]
pub(super) struct SyncSent {
    renewed: Vec<TaskId>,
    stopped: Vec<TaskId>,
}

impl Control {
    pub(in crate::reducer) fn sync_if_due(&mut self) {
        if !self.is_certain() {
            return;
        }
        let before = self.now - self.cfg.timing.sync_interval;
        let due = self.fleet.sync_due(Some(before));
        let keys: Vec<VmKey> = due.take(SYNCS_MAX).collect();
        for key in keys {
            self.sync_worker(key);
        }
    }

    pub(in crate::reducer) fn synced(&mut self, vm: &Name, asked: Time, report: &Report) {
        let Some(key) = self.fleet.find(vm) else {
            return;
        };
        self.fleet.update(key, |vm| {
            vm.sync_pending = false;
            vm.unanswered_syncs = 0;
        });
        let sent = self.tasks.syncs.remove(&key);
        let Some(held) = self.fleet.get(key).and_then(|vm| vm.held) else {
            return;
        };
        let as_of = asked - Duration::from_millis(report.age_ms);
        if as_of < held.not_before || self.now < held.not_before {
            return;
        }
        if let Some(sent) = sent {
            self.stops_confirmed(key, asked, &sent.stopped);
        }
        if !held.reported {
            self.count_inherited_use(key, report);
        }
        self.tasks_reported(key, as_of, report);
        let freed = self
            .fleet
            .update(key, |vm| vm.settle_uncertain(as_of, report));
        for r in freed {
            self.used.remove(r.team.as_ref());
        }
    }

    /// Handles a sync that a worker did not answer: it may have renewed its leases until now.
    pub(in crate::reducer) fn sync_failed(&mut self, vm: &Name) {
        let Some(key) = self.fleet.find(vm) else {
            return;
        };
        self.fleet.update(key, |vm| {
            vm.sync_pending = false;
            vm.unanswered_syncs = vm.unanswered_syncs.saturating_add(1);
        });
        let lease_expiry = self.now + self.cfg.timing.lease_expiry();
        if let Some(sent) = self.tasks.syncs.remove(&key) {
            self.fleet.update(key, |vm| {
                for id in &sent.renewed {
                    if let Some(t) = vm.tasks.get_mut(id) {
                        t.lease_expiry = t.lease_expiry.max(lease_expiry);
                    }
                }
            });
        }
        self.expire_tasks(key);
    }

    fn sync_worker(&mut self, key: VmKey) {
        let timing = self.cfg.timing;
        let now = self.now;
        let lease_expiry = now + self.cfg.timing.lease_expiry();
        let certain_until = self.certain_until();
        // Leases on an unresponsive worker are renewed only after it has answered a sync.
        let sync = self.fleet.update(key, |vm| {
            let renews = vm.unanswered_syncs == 0;
            vm.last_sync = Some(now);
            vm.sync_pending = true;
            let mut renew = Vec::new();
            for (id, t) in &mut vm.tasks {
                match t.state {
                    TaskState::Stopping => vm.stops.push(*id),
                    TaskState::Running if renews => {
                        t.lease_expiry = t.lease_expiry.max(lease_expiry);
                        renew.push(*id);
                    }
                    TaskState::Running | TaskState::Starting => {}
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
                certain_until,
            }
        });
        let sent = SyncSent {
            renewed: sync.renew.clone(),
            stopped: sync.stop.clone(),
        };
        self.tasks.syncs.insert(key, sent);
        self.effects.push(Effect::Sync(sync));
    }

    /// Records that a worker received the stops of a sync sent at `asked`; a later report then
    /// shows whether the tasks have ended.
    fn stops_confirmed(&mut self, key: VmKey, asked: Time, stopped: &[TaskId]) {
        for id in stopped {
            let vm = self.fleet.get(key).expect("the worker was synced");
            let task = vm.tasks.get(id);
            let stopping = task.is_some_and(|t| t.state == TaskState::Stopping);
            if stopping && self.tasks.stop_confirmed.insert(*id) {
                self.fleet.update(key, |vm| {
                    let task = vm.tasks.get_mut(id).expect("the task is on the worker");
                    task.since = asked;
                });
            }
        }
    }
}
