//! Evacuated failure domains: nothing starts there, and long-lived tasks move elsewhere.
//!
//! Batch runs end by themselves. Of a long-lived step, only as many tasks are unavailable at a
//! time as its plan allows, and none is moved while the other domains have little room: it
//! would only wait there.

use super::job::WAIT_LOG_INTERVAL;
use super::placement::PoolCapacity;
use super::runs::State;
use super::*;

/// Part of a pool's CPU that stays free when a long-lived task is moved, in thousandths.
const FREE_MIN_MILLI: u64 = 100;
/// Number of tasks of a step that may be moved at a time if its plan sets no limit.
const MOVES_DEFAULT: u32 = 1;
/// Metric with the number of runs that are left in evacuated domains.
const RUNS_GAUGE: &str = "monsoonnotch_evacuating_runs";
/// Pause between looks for tasks to move.
const MOVE_INTERVAL: Duration = Duration::from_millis(200);

/// The evacuated failure domains, and what is left to move.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    domains: BTreeSet<CompactString>,
    next_move: Time,
    next_log: Time,
}

/// What still runs in the evacuated domains.
#[derive(Debug, Default, Clone, Copy)]
struct Remaining {
    runs: usize,
    long_lived: usize,
    moved: usize,
}

impl Evacuation {
    pub(super) fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }
}

impl Scheduler {
    /// Replaces the set of evacuated failure domains.
    pub(super) fn apply_evacuations(&mut self, domains: BTreeSet<CompactString>) {
        let old = std::mem::replace(&mut self.evacuation.domains, domains.clone());
        for domain in domains.symmetric_difference(&old) {
            let vms = self
                .vms
                .iter()
                .filter(|(_, v)| v.registration.domain == *domain);
            let vms = vms.count();
            let event = match domains.contains(domain) {
                true => "evacuation started",
                false => "evacuation ended",
            };
            self.log(0, event, format!("domain={domain} vms={vms}"));
        }
        let keys: Vec<VmKey> = self.vms.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.update_evacuated(key);
        }
        self.placement_needed = true;
        if self.evacuation.domains.is_empty() && !old.is_empty() {
            self.gauge(RUNS_GAUGE, 0.0);
        }
    }

    /// Updates whether a VM is in an evacuated failure domain.
    pub(super) fn update_evacuated(&mut self, key: VmKey) {
        if let Some(vm) = self.vms.get_mut(key) {
            vm.evacuated = self.evacuation.contains(&vm.registration.domain);
        }
    }

    /// Whether the VM of a run is in an evacuated failure domain.
    pub(super) fn is_evacuated(&self, vm: VmKey) -> bool {
        self.vms.get(vm).is_some_and(|v| v.evacuated)
    }

    /// Moves long-lived tasks out of evacuated failure domains, and logs how far it is.
    pub(super) fn scan_evacuation(&mut self) {
        let now = self.now;
        if self.evacuation.domains.is_empty() || now < self.evacuation.next_move {
            return;
        }
        self.evacuation.next_move = now + MOVE_INTERVAL;
        let left = self.move_long_lived_runs();
        if now >= self.evacuation.next_log {
            self.evacuation.next_log = now + WAIT_LOG_INTERVAL;
            let domains: Vec<&str> = self.evacuation.domains.iter().map(|d| d.as_str()).collect();
            let detail = format!(
                "domains={} runs={} long_lived={} moved={}",
                domains.join(","),
                left.runs,
                left.long_lived,
                left.moved
            );
            self.log(0, "evacuation progress", detail);
        }
        self.gauge(RUNS_GAUGE, left.runs as f64);
    }

    fn move_long_lived_runs(&mut self) -> Remaining {
        let mut left = Remaining::default();
        let mut by_stage: BTreeMap<StageKey, Vec<RunKey>> = BTreeMap::new();
        for (_, vm) in self.vms.iter().filter(|(_, v)| v.evacuated) {
            left.runs += vm.runs.len();
            for (key, run) in vm.runs.iter().filter_map(|k| Some((k, self.runs.get(k)?))) {
                let job = self.jobs.get(run.stage.job);
                let step = job.map(|j| j.step(run.stage.step));
                if step.is_some_and(|s| s.long_lived && !s.gang) {
                    left.long_lived += 1;
                    by_stage.entry(run.stage).or_default().push(*key);
                }
            }
        }
        let mut capacities = self.pool_capacities();
        for (stage, runs) in by_stage {
            left.moved += self.move_runs_of_stage(stage, &runs, &mut capacities);
        }
        left
    }

    /// Stops as many of the runs as may be unavailable now, find room elsewhere and may start there
    /// within their account's limit; returns how many were stopped.
    fn move_runs_of_stage(
        &mut self,
        key: StageKey,
        runs: &[RunKey],
        capacities: &mut BTreeMap<CompactString, PoolCapacity>,
    ) -> usize {
        let Some((job, stage)) = self.jobs.get(key.job).zip(self.stage(key)) else {
            return 0;
        };
        let step = job.step(key.step);
        let answers = |vm: VmKey| self.vms.get(vm).is_some_and(|v| v.polls.unanswered == 0);
        let at_work = |r: &RunKey| self.runs.get(r).is_some_and(|r| r.at_work && answers(r.vm));
        let working = stage.runs().filter(at_work).count();
        let away = stage.tasks.len() - working;
        let allowed = step.unavailable_max.unwrap_or(MOVES_DEFAULT) as usize;
        let need = step.allocation();
        if !self.may_start_again(stage.rank, &job.account, &step.need) {
            return 0;
        }
        let Some(capacity) = capacities.get_mut(&job.pool) else {
            return 0;
        };
        let kept = placement::milli_of(capacity.total, FREE_MIN_MILLI);
        let mut stopped = Vec::new();
        for run in runs.iter().filter(|r| at_work(r)) {
            let is_running = |r: &runs::Run| matches!(r.state, State::Running { .. });
            let has_room = capacity.free >= need.cpu_milli.saturating_add(kept);
            if away + stopped.len() >= allowed || !has_room {
                break;
            }
            if self.runs.get(run).is_some_and(is_running) {
                capacity.free -= need.cpu_milli;
                stopped.push(*run);
            }
        }
        for &run in &stopped {
            self.stop_run(run, "its failure domain is evacuated");
        }
        stopped.len()
    }
}
