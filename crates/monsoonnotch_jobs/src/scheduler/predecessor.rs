//! Recovers the runs that a predecessor started, from the placements in the journal.
//!
//! A stored placement counts as a run until its VM shows that it is not running or
//! every lease has expired. The first placement of a task is stored while its start
//! is in flight. A task without a stored placement may therefore have been started
//! just before the predecessor's term ended, or while the store was unavailable: it
//! is uncertain until all VMs have answered or every lease has expired. Every further
//! placement is stored before the start is sent, so the stored one is the only one
//! that can run.
//!
//! A VM that does not answer is awaited once, not in each term: the leader stores how long the
//! leases there may last and gives the VM no further one until that record is replaced, so that
//! a successor waits only for the rest.

use super::job::Job;
use super::job::Stage;
use super::job::Task;
use super::parts::PartKey;
use super::*;
use crate::journal::Placements;
use crate::journal::RemainingLease;
use crate::journal::RemainingLeases;

/// Shortest wait for a VM in the record of leases: it may be back and answer the first poll.
const FIRST_ANSWER_MAX: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Applies the stored placements of a part of a job; ignored once the journal has been read.
    pub(super) fn apply_placements(&mut self, id: JobId, part: u64, placements: &Placements) {
        if self.marker.is_some() {
            return;
        }
        let Some(&job) = self.jobs_by_id.get(&id) else {
            return;
        };
        if let Some(owner) = &placements.owner {
            self.restore_owner(job, owner);
        }
        let unplaced: BTreeSet<&(u32, u16, u32)> = placements.unplaced.iter().collect();
        for placed in &placements.vms {
            let vm = self.vm_by_id(&placed.vm);
            for &(occurrence, step, index, attempt) in &placed.runs {
                let stage = StageKey {
                    job,
                    occurrence,
                    step,
                };
                let exists = !unplaced.contains(&(occurrence, step, index));
                self.inherit_run(stage, index, vm, attempt, exists);
            }
        }
        self.divide_placements(job, part, placements);
        self.add_stored_part(PartKey::new(job, part));
    }

    /// Takes into account that a task was placed on a VM; `exists` tells whether its run there may
    /// still exist.
    fn inherit_run(&mut self, key: StageKey, index: u32, vm: VmKey, attempt: u64, exists: bool) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        if usize::from(key.step) >= job.plan.steps.len() {
            return;
        }
        job.open_occurrence(key.occurrence);
        job.begun = true;
        let stage = job.stages.get_mut(&(key.occurrence, key.step));
        let task = stage.and_then(|s| s.tasks.get_mut(index as usize));
        let Some(task) = task.filter(|t| !t.done && t.run.is_none()) else {
            return;
        };
        if exists {
            self.add_run(key, index, vm, attempt, runs::State::Inherited);
        } else {
            task.last_vm = Some(vm);
            task.attempt = task.attempt.max(attempt);
        }
    }

    /// Applies the stored fleet: the VMs on which a predecessor may have started tasks
    /// without a stored placement. Ignored once the journal has been read.
    pub(super) fn apply_fleet(&mut self, ids: &[CompactString]) {
        if self.marker.is_some() {
            return;
        }
        for id in ids {
            let key = self.vm_by_id(id);
            if let Some(vm) = self.vms.get_mut(key) {
                vm.enrolled = true;
                vm.in_predecessor_fleet = true;
            }
        }
    }

    /// Applies the leases that VMs may still have, as stored by the leader of the term before.
    /// Ignored once the journal has been read.
    ///
    /// A record of an earlier term says nothing about the leases that later leaders gave.
    pub(super) fn apply_leases(&mut self, leases: &RemainingLeases) {
        if self.marker.is_some() || leases.token + 1 != self.token {
            return;
        }
        for lease in &leases.vms {
            let expire_at = self.now + Duration::from_millis(lease.ms).max(FIRST_ANSWER_MAX);
            let key = self.vm_by_id(&lease.vm);
            if let Some(vm) = self.vms.get_mut(key) {
                vm.limit_predecessor_leases(expire_at);
                if vm.registration.addr.is_empty() {
                    vm.registration.addr = lease.addr.clone();
                }
            }
        }
    }

    /// Returns the leases that VMs may still have which do not answer and are awaited; none while
    /// this member is saturated, since then it is late itself and late answers still count.
    pub(super) fn remaining_leases(&self) -> Vec<RemainingLease> {
        if self.answer_times.is_saturated(self.now) {
            return Vec::new();
        }
        let rows = self.vms.iter().filter_map(|(_, vm)| {
            let awaited = vm.may_have_unknown_runs(self.now) || !vm.runs.is_empty();
            if !awaited || !vm.is_silent(self.now) {
                return None;
            }
            let left = self.all_leases_expire_at(vm)?.since(self.now);
            Some(RemainingLease {
                vm: vm.registration.id.clone(),
                addr: vm.registration.addr.clone(),
                ms: left.as_millis() + 1,
            })
        });
        rows.collect()
    }

    /// Returns when every lease of a VM has expired, also of an incarnation that nothing has
    /// announced; `None` while a start that gives it a lease may still be sent.
    fn all_leases_expire_at(&self, vm: &vms::Vm) -> Option<Time> {
        let runs = || vm.runs.iter().filter_map(|r| self.runs.get(r));
        let is_sent =
            |r: &runs::Run| !matches!(r.state, runs::State::Planned | runs::State::Starting);
        if !runs().all(is_sent) {
            return None;
        }
        let known = vm.leases_expire_at(self.tuning.drift_milli);
        Some(match runs().any(|r| vm.may_start_unannounced(r)) {
            true => known.max(vm.unannounced_leases_expire_at(&self.tuning)),
            false => known,
        })
    }

    /// Withholds leases from the VMs of a record of leases that is about to be stored.
    pub(super) fn withhold_leases(&mut self, leases: &[RemainingLease]) {
        for lease in leases {
            let key = self.vm_by_id(&lease.vm);
            if let Some(vm) = self.vms.get_mut(key) {
                vm.lease_withheld = true;
            }
        }
    }

    /// Gives leases again to all VMs outside the stored record of leases.
    pub(super) fn resume_leases(&mut self, stored: &[RemainingLease]) {
        let listed: BTreeSet<&CompactString> = stored.iter().map(|l| &l.vm).collect();
        let resumed = |vm: &vms::Vm| vm.lease_withheld && !listed.contains(&vm.registration.id);
        let resumed = self.vms.iter().filter(|(_, vm)| resumed(vm));
        for key in resumed.map(|(k, _)| k).collect::<Vec<_>>() {
            if let Some(vm) = self.vms.get_mut(key) {
                vm.lease_withheld = false;
            }
            self.poll_now(key);
            self.placement_needed = true;
        }
    }

    /// Whether no run of a predecessor can be unknown: all its VMs have answered, or its
    /// leases have expired.
    pub(super) fn settled(&self) -> bool {
        let now = self.now;
        !self.vms.iter().any(|(_, vm)| vm.may_have_unknown_runs(now))
    }

    /// Whether a waiting task of a stage certainly runs nowhere.
    pub(super) fn runs_nowhere(&self, job: &Job, stage: &Stage, index: u32, settled: bool) -> bool {
        let placed = stage
            .tasks
            .get(index as usize)
            .is_some_and(Task::was_placed);
        settled || job.new_in_term || placed
    }

    /// Returns an upper bound of the resources that tasks of each account may use on VMs
    /// that have not answered.
    pub(super) fn sum_uncertain_usage(&self) -> BTreeMap<CompactString, Resources> {
        let mut usage: BTreeMap<CompactString, Resources> = BTreeMap::new();
        if self.settled() {
            return usage;
        }
        for (_, key) in &self.ready_queue {
            let Some((job, stage)) = self.jobs.get(key.job).zip(self.stage(*key)) else {
                continue;
            };
            let uncertain = stage.waiting.iter();
            let uncertain = uncertain.filter(|&&i| !self.runs_nowhere(job, stage, i, false));
            let need = job.step(key.step).need.times(uncertain.count() as u64);
            usage.entry(job.account.clone()).or_default().add(&need);
        }
        usage
    }

    /// Returns the ids of the VMs on which a first placement may not be stored yet: those
    /// that this scheduler may use, and those of the predecessor that have not answered. VMs that are in the
    /// stored fleet come first.
    pub(super) fn fleet(&self) -> Vec<CompactString> {
        let rows = self.vms.iter().map(|(_, vm)| vm);
        let used = rows.filter(|vm| {
            vm.is_healthy() || vm.may_have_unknown_runs(self.now) || self.has_refused_placement(vm)
        });
        let (old, new): (Vec<&vms::Vm>, Vec<&vms::Vm>) = used.partition(|vm| vm.enrolled);
        let used = old.into_iter().chain(new);
        used.map(|vm| vm.registration.id.clone()).collect()
    }

    /// Whether a VM has a run whose placement may not be stored, because the store refuses records of its job.
    fn has_refused_placement(&self, vm: &vms::Vm) -> bool {
        let mut runs = vm.runs.iter().filter_map(|r| self.runs.get(r));
        runs.any(|r| self.flush.refuses(r.stage.job))
    }

    /// Enrolls the VMs of a fleet that has been stored, so that they can be used.
    pub(super) fn enroll(&mut self, ids: &[CompactString]) {
        for id in ids {
            if let Some(vm) = self.vms_by_id.get(id).and_then(|&k| self.vms.get_mut(k)) {
                vm.enrolled = true;
            }
        }
        self.placement_needed = true;
    }

    /// Unenrolls all VMs outside a fleet that is about to be stored. They are not used from
    /// now on, because a successor would not wait for their answers.
    pub(super) fn unenroll_others(&mut self, ids: &[CompactString]) {
        let kept: BTreeSet<VmKey> = ids
            .iter()
            .filter_map(|id| self.vms_by_id.get(id))
            .copied()
            .collect();
        let all: Vec<VmKey> = self.vms.iter().map(|(k, _)| k).collect();
        for key in all.into_iter().filter(|k| !kept.contains(k)) {
            if let Some(vm) = self.vms.get_mut(key) {
                vm.enrolled = false;
            }
        }
    }

    /// Logs the VMs that a predecessor used and that have not answered, and the inherited runs
    /// there: tasks that wait for them are in no queue.
    pub(super) fn log_awaited(&mut self) {
        let now = self.now;
        if now < self.next_awaited_log {
            return;
        }
        self.next_awaited_log = now + job::WAIT_LOG_INTERVAL;
        let left_ms = |vm: &vms::Vm| vm.predecessor_leases_expire_at.since(now).as_millis();
        let awaited = |vm: &vms::Vm| vm.may_have_unknown_runs(now) || !vm.runs.is_empty();
        let vms = self.vms.iter().map(|(_, vm)| vm);
        let vms = vms.filter(|vm| !vm.answered && awaited(vm));
        let vms: Vec<String> = vms
            .map(|vm| {
                let (r, fleet) = (&vm.registration, vm.in_predecessor_fleet);
                let (listed, runs, left_ms) = (vm.listed, vm.runs.len(), left_ms(vm));
                format!(
                    "vm={} runs={runs} fleet={fleet} listed={listed} left_ms={left_ms}",
                    r.id
                )
            })
            .collect();
        let runs = self.runs.values();
        let runs = runs.filter(|r| r.state == runs::State::Inherited);
        let runs: Vec<(u64, String)> = runs
            .map(|r| {
                let id = self.task_id(r.stage, r.index).stage.job.0;
                let left_ms = self.vms.get(r.vm).map_or(0, left_ms);
                (id, format!("{} left_ms={left_ms}", self.describe_run(r)))
            })
            .collect();
        for detail in vms {
            self.log(0, "vm awaited", detail);
        }
        for (job, detail) in runs {
            self.log(job, "run awaited", detail);
        }
    }
}
