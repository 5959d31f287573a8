//! Poison tasks: tasks that crash the VMs that start them.
//!
//! A VM that restarts has crashed under the runs that had begun there shortly before. Their
//! tasks become *suspects*, and the attempts are stored as crashes. A suspect starts only where
//! it can be told apart: on a VM without other fresh runs, one VM at a time in each failure domain
//! and for each job. The suspects of a step are tried together, since one of them is enough for
//! the job to fail. While it is on *probation* nothing else starts there, so that the next
//! crash convicts it, and one that its VM survives clears it.
//!
//! Only a restart is evidence. A VM that is silent may be cut off, and one that drains leaves by
//! itself. Only runs count that the VM confirmed.

use super::runs::Run;
use super::runs::State;
use super::*;
use crate::journal::Outcome;

/// Time after its start within which a poison task crashes its VM. Answers that are late make
/// a run look older, so that it grows with their measured times.
const CRASH_DELAY_MAX: Duration = Duration::from_millis(250);
/// Number of crashes under a task from which it is given up.
const CRASHES_MAX: usize = 2;
/// Time from the confirmed start of a run to the notice of the restart of its VM within which the
/// crash convicts its task: VMs are back some seconds after a crash. One that was silent for longer may
/// have been cut off, and have crashed after the run had ended.
const CONVICTION_AGE_MAX: Duration = Duration::from_secs(6);
/// How long after its leases expired the restart of a VM still counts against its last runs.
const RESTART_NOTICED_MAX: Duration = Duration::from_secs(30);
/// How long after the leases of its VM expired a suspect waits for the restart of the VM.
const SUSPECT_WAIT_MAX: Duration = Duration::from_secs(5);

/// A run that may have crashed its VM.
#[derive(Debug, Clone)]
pub(super) struct CrashCandidate {
    run: RunKey,
    pub(super) stage: StageKey,
    index: u32,
    attempt: u64,
    /// When its start was confirmed, or sent if it was not.
    confirmed_at: Time,
    /// Whether the VM confirmed that it runs.
    begun: bool,
    /// Whether a predecessor started it.
    inherited: bool,
}

impl CrashCandidate {
    fn new(key: RunKey, run: &Run) -> Self {
        let confirmed_at = match run.state {
            State::Running { since } => since,
            _ => run.sent_at,
        };
        Self {
            run: key,
            stage: run.stage,
            index: run.index,
            attempt: run.attempt,
            confirmed_at,
            begun: run.begun,
            inherited: run.state == State::Inherited,
        }
    }
}

/// Runs that may turn out to be candidates of a crash.
#[derive(Debug)]
struct Doubt {
    at: Time,
    candidates: Vec<CrashCandidate>,
}

/// A run of an unconfirmed start on a VM that crashed.
#[derive(Debug)]
struct Unconfirmed {
    at: Time,
    candidate: CrashCandidate,
    vm: CompactString,
    alone: bool,
}

/// State of the search for poison tasks.
#[derive(Debug, Default)]
pub(super) struct PoisonTasks {
    /// Runs of suspects whose VMs have not shown that they survived them, and whether a poll
    /// was sent for it.
    pub(super) probation: BTreeMap<RunKey, bool>,
    /// Last runs of the VMs whose leases have expired, and runs of a predecessor on VMs that
    /// crashed.
    expired: BTreeMap<VmKey, Doubt>,
    /// When VMs were last polled to show that they survived the fresh runs of a job that waits.
    pub(super) proof_polls: BTreeMap<VmKey, Time>,
    /// Runs on crashed VMs whose start had no answer yet.
    unconfirmed: BTreeMap<RunKey, Unconfirmed>,
}

impl PoisonTasks {
    pub(super) fn remove_run(&mut self, key: RunKey) {
        self.probation.remove(&key);
    }
}

impl Scheduler {
    /// Whether a task is a suspect because a VM crashed under it, or may have; a gang is one as
    /// a whole.
    pub(super) fn is_suspect(&self, key: StageKey, index: u32) -> bool {
        let doubts = self.poison.expired.values();
        let mut doubts = doubts.flat_map(|d| &d.candidates);
        let gang = self.is_gang(key);
        self.has_crashes(key, index) || doubts.any(|c| c.stage == key && (gang || c.index == index))
    }

    /// Returns the tasks of a stage that are suspects.
    pub(super) fn suspects_of(&self, key: StageKey) -> BTreeSet<u32> {
        let Some(stage) = self.stage(key) else {
            return BTreeSet::new();
        };
        let no_crashes = stage.tasks.iter().all(|t| t.crashes.is_empty());
        if no_crashes && self.poison.expired.is_empty() {
            return BTreeSet::new();
        }
        let all = 0..u32::try_from(stage.tasks.len()).unwrap_or(0);
        all.filter(|&i| self.is_suspect(key, i)).collect()
    }

    /// Whether a VM crashed under a task, or under any task of its gang.
    fn has_crashes(&self, key: StageKey, index: u32) -> bool {
        let Some(stage) = self.stage(key) else {
            return false;
        };
        let crashed = |t: &job::Task| !t.done && t.crashes.keys().any(|a| !t.explained.contains(a));
        match self.is_gang(key) {
            true => stage.tasks.iter().any(crashed),
            false => stage.tasks.get(index as usize).is_some_and(crashed),
        }
    }

    fn is_gang(&self, key: StageKey) -> bool {
        let job = self.jobs.get(key.job);
        job.is_some_and(|j| j.step(key.step).gang)
    }

    /// Puts a new run on probation if its task is a suspect.
    pub(super) fn watch_suspect(&mut self, key: RunKey) {
        let run = self.runs.get(&key);
        if run.is_some_and(|r| self.is_suspect(r.stage, r.index)) {
            self.poison.probation.insert(key, false);
        }
    }

    /// Returns the suspects whose VMs fell silent under them a short time ago, after another VM
    /// had crashed, with the VMs.
    pub(super) fn suspects_in_doubt(&self) -> impl Iterator<Item = (VmKey, &CrashCandidate)> {
        let recent = |d: &&Doubt| self.now <= d.at + SUSPECT_WAIT_MAX;
        let doubts = self.poison.expired.iter();
        let doubts = doubts.filter(move |(_, d)| recent(d));
        let all = doubts.flat_map(|(vm, d)| d.candidates.iter().map(|c| (*vm, c)));
        all.filter(|(_, c)| self.has_crashes(c.stage, c.index))
    }

    pub(super) fn crash_delay_max(&self) -> Duration {
        self.answer_times.timeout(CRASH_DELAY_MAX)
    }

    /// Returns when a run began at the earliest; the tasks of a gang begin together.
    fn began_at(&self, run: &Run) -> Time {
        let others = self.stage(run.stage).filter(|_| self.is_gang(run.stage));
        let others = others.into_iter().flat_map(|s| s.runs());
        let others = others.filter_map(|r| self.runs.get(&r)).map(|r| r.sent_at);
        others.fold(run.sent_at, Time::max)
    }

    /// Returns the runs of a VM that had begun shortly before its last sign of life, or later.
    fn crash_candidates(&self, key: VmKey) -> Vec<CrashCandidate> {
        let alive = self.vms.get(key).and_then(|v| Some((v, v.alive_at?)));
        let Some((vm, alive_at)) = alive else {
            return Vec::new();
        };
        let delay = self.crash_delay_max();
        let runs = vm.runs.iter().filter_map(|r| Some((*r, self.runs.get(r)?)));
        let fresh = runs.filter(|(_, r)| r.sends > 0 && self.began_at(r) + delay >= alive_at);
        let mut found: Vec<CrashCandidate> =
            fresh.map(|(k, r)| CrashCandidate::new(k, r)).collect();
        // The VM has survived whatever was there when the trial of a suspect began.
        let on_trial = |c: &CrashCandidate| self.poison.probation.contains_key(&c.run);
        if found.iter().any(on_trial) {
            found.retain(on_trial);
        }
        found
    }

    /// Keeps the last runs of a VM whose leases have expired, in case that it has crashed.
    pub(super) fn keep_crash_candidates(&mut self, key: VmKey) {
        let candidates = self.crash_candidates(key);
        let at = self.now;
        if !candidates.is_empty() {
            self.poison.expired.insert(key, Doubt { at, candidates });
        }
    }

    /// Counts the crash of a VM, which its restart shows, against the runs that may be the cause.
    pub(super) fn record_crash(&mut self, key: VmKey) {
        let vm = self.vms.get(key).map(|v| &v.registration);
        let Some(vm) = vm.filter(|r| !r.draining).map(|r| r.id.clone()) else {
            return;
        };
        let at = self.now;
        let mut candidates = self.crash_candidates(key);
        if let Some(doubt) = self.poison.expired.remove(&key) {
            candidates.extend(doubt.candidates);
        }
        candidates.extend(self.inherited_candidates(key));
        // When a run of a predecessor began is unknown: its crash counts, but convicts nobody.
        let inherited: Vec<_> = candidates.extract_if(.., |c| c.inherited).collect();
        let first = candidates.first().map(|c| c.stage.job);
        let one_job = candidates.iter().all(|c| Some(c.stage.job) == first);
        let recent = |c: &CrashCandidate| at <= c.confirmed_at + CONVICTION_AGE_MAX;
        let alone = one_job && candidates.iter().all(recent);
        let (begun, unconfirmed): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|c| c.begun);
        self.count_crashes(&begun, &vm, alone);
        self.count_crashes(&inherited, &vm, false);
        for candidate in unconfirmed {
            let unconfirmed = Unconfirmed {
                at,
                vm: vm.clone(),
                alone,
                candidate,
            };
            let key = unconfirmed.candidate.run;
            self.poison.unconfirmed.insert(key, unconfirmed);
        }
    }

    /// Returns the runs of a predecessor on a VM.
    fn inherited_candidates(&self, key: VmKey) -> Vec<CrashCandidate> {
        let runs = self.vms.get(key).into_iter().flat_map(|v| &v.runs);
        let runs = runs.filter_map(|r| Some((*r, self.runs.get(r)?)));
        let inherited = runs.filter(|(_, r)| r.state == State::Inherited);
        inherited.map(|(k, r)| CrashCandidate::new(k, r)).collect()
    }

    /// Counts the crash of the VM that the old registrations at an address name.
    pub(super) fn record_crash_at(&mut self, addr: &str, id: &str) {
        let replaced = |vm: &vms::Vm| vm.registration.addr == addr && vm.registration.id != id;
        let replaced = self.vms.iter().filter(|(_, vm)| replaced(vm));
        for key in replaced.map(|(k, _)| k).collect::<Vec<_>>() {
            self.record_crash(key);
        }
    }

    /// Counts a crash against a run whose start is confirmed only after it was dropped.
    pub(super) fn start_confirmed_late(&mut self, key: RunKey) {
        if let Some(run) = self.poison.unconfirmed.remove(&key) {
            self.count_crashes(&[run.candidate], &run.vm, run.alone);
        }
    }

    /// Counts a crash against runs of its VM; gives their job up if it is the only suspect.
    fn count_crashes(&mut self, runs: &[CrashCandidate], vm: &CompactString, alone: bool) {
        let mut convicted = Vec::new();
        for run in runs {
            let crashes = self.count_crash(run, vm);
            if alone && crashes >= CRASHES_MAX {
                convicted.push(run);
            }
        }
        let Some(first) = convicted.first() else {
            return;
        };
        let (key, index) = (first.stage, first.index);
        let indexes: Vec<String> = convicted.iter().map(|c| c.index.to_string()).collect();
        let detail = format!(
            "step={} occurrence={} indexes={} crashes={}",
            key.step,
            key.occurrence,
            indexes.join(","),
            self.describe_crashes(key, index)
        );
        let id = self.task_id(key, index).stage.job.0;
        self.warn(id, "poison task", detail);
        let explained = self.crashed_vms(key, index);
        self.end_job(key.job, Outcome::Failed);
        for vm in explained {
            self.clear_neighbours(&vm);
        }
    }

    /// Returns the ids of the VMs that crashed under a task.
    fn crashed_vms(&self, key: StageKey, index: u32) -> Vec<CompactString> {
        let task = self.stage(key).and_then(|s| s.tasks.get(index as usize));
        let crashes = task.into_iter().flat_map(|t| t.crashes.values());
        crashes.cloned().collect()
    }

    /// Takes back the crash of a VM that a poison task explains from the tasks beside it.
    fn clear_neighbours(&mut self, vm: &CompactString) {
        for &key in &self.open_jobs {
            let stages = self.jobs.get_mut(key).into_iter();
            let stages = stages.flat_map(|j| j.stages.values_mut());
            for task in stages.flat_map(|s| &mut s.tasks) {
                let same = task.crashes.iter().filter(|(_, v)| *v == vm);
                task.explained.extend(same.map(|(attempt, _)| *attempt));
            }
        }
        self.placement_needed = true;
    }

    /// Counts a crash against a run of its VM; returns the number of crashes under its task, or
    /// zero if it is counted already.
    fn count_crash(&mut self, run: &CrashCandidate, vm: &CompactString) -> usize {
        let (key, index, attempt) = (run.stage, run.index, run.attempt);
        if self.jobs.get(key.job).is_none_or(job::Job::ended) {
            return 0;
        }
        let stage = self.stage_mut(key);
        let Some(task) = stage.and_then(|s| s.tasks.get_mut(index as usize)) else {
            return 0;
        };
        if task.done || task.crashes.contains_key(&attempt) {
            return 0;
        }
        task.crashes.insert(attempt, vm.clone());
        let count = task.crashes.len();
        task.forget_old_crashes();
        self.mark_dirty(key, index);
        let detail = format!(
            "step={} occurrence={} index={index} crashes={}",
            key.step,
            key.occurrence,
            self.describe_crashes(key, index)
        );
        let id = self.task_id(key, index).stage.job.0;
        self.warn(id, "task suspected", detail);
        count
    }

    /// Returns the VMs that crashed under a task, each with the attempt.
    fn describe_crashes(&self, key: StageKey, index: u32) -> String {
        let task = self.stage(key).and_then(|s| s.tasks.get(index as usize));
        let crashes = task.into_iter().flat_map(|t| &t.crashes);
        let crashes: Vec<String> = crashes.map(|(a, vm)| format!("{vm}/{a}")).collect();
        crashes.join(",")
    }

    /// Clears a suspect whose run is listed in the answer to a poll that was sent long enough
    /// after its start.
    pub(super) fn clear_suspect(&mut self, key: RunKey, polled_at: Time) {
        if !self.poison.probation.contains_key(&key) {
            return;
        }
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        if polled_at <= self.began_at(run) + self.crash_delay_max() {
            return;
        }
        let (stage, index) = (run.stage, run.index);
        let detail = self.describe_run(run);
        self.poison.remove_run(key);
        for doubt in self.poison.expired.values_mut() {
            let same = |c: &CrashCandidate| c.stage == stage && c.index == index;
            doubt.candidates.retain(|c| !same(c));
        }
        if let Some(stage) = self.stage_mut(stage) {
            stage.tasks[index as usize].crashes.clear();
        }
        self.mark_dirty(stage, index);
        self.placement_needed = true;
        let id = self.task_id(stage, index).stage.job.0;
        self.log(id, "suspect cleared", detail);
    }

    /// Polls the VMs that a suspect should have crashed by now, and forgets old doubts.
    pub(super) fn scan_suspects(&mut self) {
        let now = self.now;
        let recent = |at: Time| now <= at + RESTART_NOTICED_MAX;
        self.poison.expired.retain(|_, d| recent(d.at));
        self.poison.unconfirmed.retain(|_, u| recent(u.at));
        let delay = self.crash_delay_max();
        let waiting = self.poison.probation.iter().filter(|(_, polled)| !**polled);
        let waiting = waiting.filter_map(|(key, _)| Some((*key, self.runs.get(key)?)));
        let due = waiting.filter(|(_, r)| r.begun && now > self.began_at(r) + delay);
        for (key, vm) in due.map(|(k, r)| (k, r.vm)).collect::<Vec<_>>() {
            self.poison.probation.insert(key, true);
            self.poll_now(vm);
        }
    }
}
