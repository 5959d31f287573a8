//! Trials: where suspects start, and on how many VMs a job starts at once.

use super::candidates::Candidate;
use super::candidates::allocate_best;
use super::job::Blocked;
use super::runs::Run;
use super::runs::State;
use super::*;

/// Part of the VMs of a pool on which a job may have fresh runs, as a divisor.
const FRESH_VMS_DIVISOR: usize = 4;
/// Part of the VMs of a failure domain that may be silent under suspects, as a divisor.
const SILENT_VMS_DIVISOR: usize = 4;
/// Number of VMs on which a job may have fresh runs, however small the pool is.
const FRESH_VMS_MIN: usize = 4;

/// What bounds the starts of a stage in one placement pass.
#[derive(Debug)]
pub(super) struct StartBounds {
    /// Tasks that are suspects.
    suspects: BTreeSet<u32>,
    /// The candidate on which they are tried.
    trial: Vec<Candidate>,
    /// VMs with fresh runs of the job.
    fresh: BTreeSet<VmKey>,
    /// Number of VMs on which the job may have fresh runs.
    fresh_max: usize,
}

impl Scheduler {
    /// Returns what bounds the starts of a stage on a pool of `vms` VMs.
    pub(super) fn start_bounds(&self, key: StageKey, vms: usize) -> StartBounds {
        StartBounds {
            suspects: self.suspects_of(key),
            trial: Vec::new(),
            fresh: self.fresh_vms(key.job),
            fresh_max: (vms / FRESH_VMS_DIVISOR).max(FRESH_VMS_MIN),
        }
    }

    /// Returns the VM for the next task of a stage with its ticket, or why there is none.
    pub(super) fn choose_vm(
        &mut self,
        key: StageKey,
        index: u32,
        bounds: &mut StartBounds,
        candidates: &mut Vec<Candidate>,
        need: &Resources,
    ) -> Result<(VmKey, CompactString), Blocked> {
        let nowhere = candidates.is_empty() && bounds.trial.is_empty();
        if bounds.suspects.contains(&index) && !nowhere {
            if bounds.trial.is_empty() {
                let count = bounds.suspects.len();
                let trial = self.take_trial(key.job, candidates, need, count);
                bounds.trial.extend(trial);
            }
            return allocate_best(&mut bounds.trial, need).ok_or(Blocked::Suspect);
        }
        let is_full = bounds.fresh.len() >= bounds.fresh_max;
        if is_full {
            candidates.retain(|c| bounds.fresh.contains(&c.vm));
        }
        let Some(best) = allocate_best(candidates, need) else {
            if !is_full {
                return Err(Blocked::Room);
            }
            self.poll_for_proof(&bounds.fresh);
            return Err(Blocked::Fresh);
        };
        bounds.fresh.insert(best.0);
        Ok(best)
    }

    /// Returns the VMs with a run on probation, where nothing else may start.
    pub(super) fn vms_on_probation(&self) -> BTreeSet<VmKey> {
        let runs = self.poison.probation.keys();
        let runs = runs.filter_map(|r| self.runs.get(r));
        runs.map(|r| r.vm).collect()
    }

    /// Whether a suspect of a job may start now at all: none of the job is on probation, or on a
    /// VM that fell silent.
    fn may_try_suspect(&self, job: JobKey) -> bool {
        let mut runs = self.poison.probation.keys();
        let on_probation = runs.any(|r| self.runs.get(r).is_some_and(|r| r.stage.job == job));
        !on_probation && !self.suspects_in_doubt().any(|(_, c)| c.stage.job == job)
    }

    /// Returns the failure domains in which no suspect may be tried now: one is on probation
    /// there, or as many VMs as may be down are silent under suspects.
    fn trial_domains_taken(&self) -> BTreeSet<CompactString> {
        let mut silent: BTreeMap<&CompactString, usize> = BTreeMap::new();
        let mut taken = BTreeSet::new();
        let mut tried = self.vms_on_probation();
        tried.extend(self.suspects_in_doubt().map(|(vm, _)| vm));
        for vm in tried.iter().filter_map(|vm| self.vms.get(*vm)) {
            let domain = &vm.registration.domain;
            if vm.polls.unanswered > 0 {
                *silent.entry(domain).or_default() += 1;
            } else {
                taken.insert(domain.clone());
            }
        }
        for (domain, count) in silent {
            let same = |vm: &vms::Vm| vm.listed && vm.registration.domain == *domain;
            let all = self.vms.iter().filter(|(_, vm)| same(vm)).count();
            if count >= (all / SILENT_VMS_DIVISOR).max(1) {
                taken.insert(domain.clone());
            }
        }
        taken
    }

    /// Whether a crash of a VM would convict a suspect that starts there now: nothing else there
    /// is fresh.
    fn can_tell_apart(&self, key: VmKey, taken: &BTreeSet<CompactString>) -> bool {
        let Some(vm) = self.vms.get(key) else {
            return false;
        };
        let delay = self.crash_delay_max();
        let proven = |run: &Run| {
            let known = matches!(run.state, State::Running { .. } | State::Stopping { .. });
            known && self.now > run.sent_at + delay
        };
        let mut runs = vm.runs.iter().filter_map(|r| self.runs.get(r));
        runs.all(proven) && !taken.contains(&vm.registration.domain)
    }

    /// Returns the VMs that have not shown that they survived the runs of a job.
    fn fresh_vms(&self, job: JobKey) -> BTreeSet<VmKey> {
        let delay = self.crash_delay_max();
        let runs = self.jobs.get(job).into_iter().flat_map(job::Job::runs);
        let runs = runs.filter_map(|r| self.runs.get(&r));
        let survived = |run: &Run| {
            let alive_at = self.vms.get(run.vm).and_then(|v| v.alive_at);
            run.begun && alive_at.is_some_and(|at| at > run.sent_at + delay)
        };
        runs.filter(|r| !survived(r)).map(|r| r.vm).collect()
    }

    /// Polls the VMs that may show by now that they survived the runs that a job waits for.
    fn poll_for_proof(&mut self, vms: &BTreeSet<VmKey>) {
        let (now, delay) = (self.now, self.crash_delay_max());
        for &key in vms {
            let Some(vm) = self.vms.get(key) else {
                continue;
            };
            let runs = vm.runs.iter().filter_map(|r| self.runs.get(r));
            let begun = runs.filter(|r| r.begun).map(|r| r.sent_at + delay);
            let due = begun.filter(|at| *at < now).max();
            let last = self.poison.proof_polls.get(&key).copied();
            if due > last && vm.polls.unanswered == 0 {
                self.poison.proof_polls.insert(key, now);
                self.poll_now(key);
            }
        }
    }

    /// Takes the candidate out on which the `count` suspects of a stage are tried: one where they
    /// can be told apart, with room for most of them and few other runs.
    fn take_trial(
        &self,
        job: JobKey,
        candidates: &mut Vec<Candidate>,
        need: &Resources,
        count: usize,
    ) -> Option<Candidate> {
        if !self.may_try_suspect(job) {
            return None;
        }
        let fits = |c: &Candidate| c.takes(need).min(count as u64);
        let fitting = candidates.iter().enumerate();
        let taken = self.trial_domains_taken();
        let fitting = fitting.filter(|(_, c)| self.can_tell_apart(c.vm, &taken));
        let runs = |c: &Candidate| self.vms.get(c.vm).map_or(0, |v| v.runs.len());
        // A crash costs the other runs of the VM as well.
        let best = fitting.min_by_key(|(_, c)| (count as u64 - fits(c), runs(c), c.penalty))?;
        let best = best.0;
        Some(candidates.swap_remove(best))
    }

    /// Retains the candidates on which a suspect gang can be told apart, on one VM of each
    /// failure domain if these are enough; returns false if it must wait.
    pub(super) fn retain_for_suspect_gang(
        &self,
        job: JobKey,
        candidates: &mut Vec<Candidate>,
        need: &Resources,
        count: u64,
    ) -> bool {
        if candidates.is_empty() {
            return true;
        }
        let taken = self.trial_domains_taken();
        candidates.retain(|c| self.can_tell_apart(c.vm, &taken));
        let mut widest: BTreeMap<CompactString, (u64, VmKey)> = BTreeMap::new();
        for c in candidates.iter() {
            let Some(vm) = self.vms.get(c.vm) else {
                continue;
            };
            let row = widest.entry(vm.registration.domain.clone());
            let row = row.or_insert((0, c.vm));
            *row = (*row).max((c.takes(need), c.vm));
        }
        if widest.values().map(|(n, _)| n).sum::<u64>() >= count {
            let kept: BTreeSet<VmKey> = widest.into_values().map(|(_, vm)| vm).collect();
            candidates.retain(|c| kept.contains(&c.vm));
        }
        !candidates.is_empty() && self.may_try_suspect(job)
    }
}
