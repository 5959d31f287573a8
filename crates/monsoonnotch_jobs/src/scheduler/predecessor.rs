//! What a former holder has started, as far as the journal says.
//!
//! A stored place is a run until its VM shows that it is none or every lease has
//! lapsed. The first place of a task is stored while its start is on its way, so a
//! task without one may have been started just before the former holder ended, or
//! while the store was away: it is in doubt until all VMs have answered or every
//! lease has lapsed. Every further place is stored before the start goes out, so
//! that the stored one is the only one that counts.

use super::job::Job;
use super::job::Stage;
use super::*;
use crate::journal::Placements;

impl Scheduler {
    /// Takes in where a former holder sent a job's tasks.
    pub(super) fn apply_placements(&mut self, id: JobId, placements: &Placements) {
        if self.marker.is_some() {
            return;
        }
        let Some(&job) = self.jobs_by_id.get(&id) else {
            return;
        };
        for placed in &placements.vms {
            let vm = self.vm_by_id(&placed.vm);
            for &(occurrence, step, index, attempt) in &placed.runs {
                let stage = StageKey {
                    job,
                    occurrence,
                    step,
                };
                self.inherit_run(stage, index, vm, attempt);
            }
        }
    }

    fn inherit_run(&mut self, key: StageKey, index: u32, vm: VmKey, attempt: u64) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        if usize::from(key.step) >= job.plan.steps.len() {
            return;
        }
        job.open_occurrence(key.occurrence);
        job.begun = true;
        let task = self.stage(key).and_then(|s| s.tasks.get(index as usize));
        if task.is_some_and(|t| !t.done && t.run.is_none()) {
            self.add_run(key, index, vm, attempt, runs::State::Inherited);
        }
    }

    /// Takes in on which VMs a former holder may have started what is not stored.
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

    /// Whether nothing of a former holder can run unseen.
    pub(super) fn settled(&self) -> bool {
        let unanswered = |vm: &vms::Vm| vm.in_predecessor_fleet && !vm.answered;
        self.now >= self.settle_at || !self.vms.iter().any(|(_, vm)| unanswered(vm))
    }

    /// Whether a waiting task of a stage runs nowhere for certain.
    pub(super) fn runs_nowhere(&self, job: &Job, stage: &Stage, index: u32, settled: bool) -> bool {
        let placed = stage.tasks.get(index as usize).is_some_and(|t| t.placed);
        settled || job.new_in_term || placed
    }

    /// The most that each account can have running on VMs that have not answered.
    pub(super) fn sum_uncertain_usage(&self) -> BTreeMap<CompactString, Resources> {
        let mut unanswered: BTreeMap<CompactString, Resources> = BTreeMap::new();
        if self.settled() {
            return unanswered;
        }
        for (_, key) in &self.ready_queue {
            let Some((job, stage)) = self.jobs.get(key.job).zip(self.stage(*key)) else {
                continue;
            };
            let uncertain = stage.waiting.iter();
            let uncertain = uncertain.filter(|&&i| !self.runs_nowhere(job, stage, i, false));
            let need = job.step(key.step).need.times(uncertain.count() as u64);
            unanswered
                .entry(job.account.clone())
                .or_default()
                .add(&need);
        }
        unanswered
    }

    /// VMs on which a first place may not be stored yet: those that this holder may
    /// use, and those of the former one that have not answered.
    pub(super) fn fleet(&self) -> Vec<CompactString> {
        let unanswered =
            |vm: &vms::Vm| vm.in_predecessor_fleet && !vm.answered && self.now < self.settle_at;
        let rows = self.vms.iter().map(|(_, vm)| vm);
        let used = rows.filter(|vm| vm.is_healthy() || unanswered(vm));
        used.map(|vm| vm.registration.id.clone()).collect()
    }

    /// The fleet is stored: its VMs can be used.
    pub(super) fn enroll(&mut self, ids: &[CompactString]) {
        for id in ids {
            if let Some(vm) = self.vms_by_id.get(id).and_then(|&k| self.vms.get_mut(k)) {
                vm.enrolled = true;
            }
        }
        self.placement_needed = true;
    }

    /// A fleet is about to be stored: no other VMs are used from now on, as a successor
    /// would not wait for them.
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
}
