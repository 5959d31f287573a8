//! Exchanges with workers: leases renewed, stops told, reports asked for.

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

/// Syncs sent in one tick at most.
const SYNCS_MAX: usize = 64;

/// What a sync that is out told its worker.
#[derive(Debug)]
pub(super) struct SyncOut {
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
        let told = self.tasks.syncs.remove(&key);
        let Some(held) = self.fleet.get(key).and_then(|vm| vm.held) else {
            return;
        };
        let as_of = asked - Duration::from_millis(report.age_ms);
        if as_of < held.not_before || self.now < held.not_before {
            return;
        }
        if let Some(told) = told {
            self.stops_confirmed(key, asked, &told.stopped);
        }
        if !held.reported {
            self.found(key, report);
        }
        self.tasks_reported(key, as_of, report);
        let freed = self
            .fleet
            .update(key, |vm| vm.settle_uncertain(as_of, report));
        for d in freed {
            self.used.take(d.team.as_ref());
        }
    }

    /// A worker did not answer: its leases may have been renewed until now.
    pub(in crate::reducer) fn sync_failed(&mut self, vm: &Name) {
        let Some(key) = self.fleet.find(vm) else {
            return;
        };
        self.fleet.update(key, |vm| {
            vm.sync_pending = false;
            vm.unanswered_syncs = vm.unanswered_syncs.saturating_add(1);
        });
        let lapse = self.now + self.cfg.timing.lease_expiry();
        if let Some(told) = self.tasks.syncs.remove(&key) {
            self.fleet.update(key, |vm| {
                for id in &told.renewed {
                    if let Some(t) = vm.tasks.get_mut(id) {
                        t.lease_expiry = t.lease_expiry.max(lapse);
                    }
                }
            });
        }
        self.lapse_tasks(key);
    }

    fn sync_worker(&mut self, key: VmKey) {
        let timing = self.cfg.timing;
        let now = self.now;
        let lapse = now + self.cfg.timing.lease_expiry();
        let certain_until = self.certain_until();
        // Whoever did not answer is asked first; only then are its leases renewed again.
        let sync = self.fleet.update(key, |vm| {
            let renews = vm.unanswered_syncs == 0;
            vm.last_sync = Some(now);
            vm.sync_pending = true;
            let mut renew = Vec::new();
            for (id, t) in &mut vm.tasks {
                match t.state {
                    TaskState::Stopping => vm.stops.push(*id),
                    TaskState::Running if renews => {
                        t.lease_expiry = t.lease_expiry.max(lapse);
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
        let told = SyncOut {
            renewed: sync.renew.clone(),
            stopped: sync.stop.clone(),
        };
        self.tasks.syncs.insert(key, told);
        self.out.push(Effect::Sync(sync));
    }

    /// The worker was told to stop these; a report from after that shows whether they are gone.
    fn stops_confirmed(&mut self, key: VmKey, asked: Time, stopped: &[TaskId]) {
        for id in stopped {
            let vm = self.fleet.get(key).expect("the worker was synced");
            let task = vm.tasks.get(id);
            let stopping = task.is_some_and(|t| t.state == TaskState::Stopping);
            if stopping && self.tasks.stop_confirmed.insert(*id) {
                self.fleet.update(key, |vm| {
                    let task = vm.tasks.get_mut(id).expect("just seen");
                    task.since = asked;
                });
            }
        }
    }
}
