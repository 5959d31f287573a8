//! Kinds of VMs that differ in speed: which tasks get the fast ones.
//!
//! Fast VMs go to the tasks that decide whether a job meets its objective: those of urgent
//! queues, of gangs, which are as slow as their slowest task, and of jobs that slow VMs would make
//! late. Work with slack and long-lived tasks take the slow ones and leave the fast ones free.

use super::job::Job;
use super::placement::URGENT_PRIORITY;
use super::*;
use crate::plan::Step;
use crate::vm::Registration;

/// Part of a job's remaining time, beyond its expected run time on the slowest kind, that it needs
/// to take slow VMs: it may wait for room, and single tasks take longer than usual.
const SLACK_MIN: f64 = 1.25;
/// Penalty of a VM that takes twice as long as one of the preferred kind, or half as long.
const PENALTY_OF_TWICE: f64 = 10.0;
/// Largest such penalty, above that of a VM far from the data.
const PENALTY_MAX: u64 = 12;
/// Change of a kind's factor, as a logarithm, from which it is stored again.
const STORED_CHANGE_MIN: f64 = 0.05;
/// Pause between two updates of the stored factors.
const STORE_PAUSE: Duration = Duration::from_secs(2);

/// Which kinds of VMs a stage prefers.
#[derive(Debug, Clone, Copy)]
enum Preference {
    /// Fast ones.
    Fast,
    /// Slow ones, which leave fast ones free.
    Slow,
}

/// Key of a kind of VMs.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct KindKey(usize);

/// The names of the kinds of VMs: the pool and the labels but for the rack.
#[derive(Debug, Default)]
pub(super) struct Kinds(Vec<CompactString>);

impl Kinds {
    fn key(&mut self, registration: &Registration) -> KindKey {
        let name = name_of(registration);
        let known = self.0.iter().position(|n| *n == name);
        KindKey(known.unwrap_or_else(|| {
            self.0.push(name);
            self.0.len() - 1
        }))
    }

    fn name(&self, key: KindKey) -> &str {
        self.0.get(key.0).map_or("", CompactString::as_str)
    }
}

/// Penalties of VMs by their kind; empty if kinds do not differ.
#[derive(Debug, Default)]
pub(super) struct KindPenalties(Vec<u64>);

impl KindPenalties {
    /// Returns the penalty of a kind; zero if its speed is not known.
    pub(super) fn of(&self, kind: KindKey) -> u64 {
        self.0.get(kind.0).copied().unwrap_or(0)
    }
}

/// The factors of kinds as last stored.
#[derive(Debug, Default)]
pub(super) struct StoredSpeeds {
    kinds: Vec<(CompactString, f64)>,
    next_at: Time,
}

/// Returns the name of a VM's kind.
fn name_of(registration: &Registration) -> CompactString {
    let rack = placement::rack_of(&registration.labels);
    let mut kind = registration.pool.clone();
    for label in registration.labels.iter().filter(|l| **l != rack) {
        kind.push('/');
        kind.push_str(label);
    }
    kind
}

impl Scheduler {
    /// Returns which kinds of VMs a stage of a job prefers, where they differ by `spread`.
    fn preference(&self, key: StageKey, job: &Job, spread: f64) -> Preference {
        let step = job.step(key.step);
        let queue = self.queue(&job.queue);
        let is_urgent = queue.is_some_and(|q| q.priority == URGENT_PRIORITY);
        if step.long_lived || step.backfill {
            return Preference::Slow;
        }
        if is_urgent || step.gang || !self.has_slack(key, job, spread) {
            return Preference::Fast;
        }
        Preference::Slow
    }

    /// Whether a job meets its objective although the rest of it runs on the slowest kind.
    fn has_slack(&self, key: StageKey, job: &Job, spread: f64) -> bool {
        let objective_ms = job.objective_ms(self.queue(&job.queue));
        let due_ms = job.due_ms(key.occurrence).saturating_add(objective_ms);
        let left_ms = due_ms.saturating_sub(self.unix_ms) as f64;
        let fastest = self.speeds.expected_on_fastest(&job.queue);
        let path_ms = job.plan.critical_path_from_ms(key.step) as f64;
        left_ms >= path_ms * fastest * spread * SLACK_MIN
    }

    /// Returns the penalties of the kinds of VMs for a stage; lower is better.
    pub(super) fn kind_penalties(&self, key: StageKey) -> KindPenalties {
        let Some((spread, job)) = self.speeds.spread().zip(self.jobs.get(key.job)) else {
            return KindPenalties::default();
        };
        let preference = self.preference(key, job, spread);
        let penalty = |slowdown: f64| {
            let excess = match preference {
                Preference::Fast => slowdown - 1.0,
                Preference::Slow => spread / slowdown - 1.0,
            };
            ((excess * PENALTY_OF_TWICE).round() as u64).min(PENALTY_MAX)
        };
        let of_kind = |name: &CompactString| match self.speeds.knows(name) {
            true => penalty(self.speeds.slowdown(name)),
            false => 0,
        };
        KindPenalties(self.kinds.0.iter().map(of_kind).collect())
    }

    /// Updates the kind of a VM after its registration.
    pub(super) fn update_kind(&mut self, key: VmKey) {
        if let Some(vm) = self.vms.get_mut(key) {
            vm.kind = self.kinds.key(&vm.registration);
        }
    }

    /// Records the time of a run, divided by its estimate, for the kind of its VM.
    pub(super) fn record_speed(&mut self, queue: &str, vm: VmKey, ratio: f64) {
        if let Some(kind) = self.vms.get(vm).map(|v| v.kind) {
            self.speeds.record(queue, self.kinds.name(kind), ratio);
        }
    }

    /// Returns the expected time of a task on a VM, as a multiple of its estimate.
    pub(super) fn expected_ratio(&self, job: &Job, vm: VmKey) -> f64 {
        let kind = self.vms.get(vm).map_or("", |v| self.kinds.name(v.kind));
        self.speeds.expected(&job.queue, kind)
    }

    /// Whether run times of a step show the speed of VMs.
    pub(super) fn shows_speed(step: &Step) -> bool {
        !step.long_lived && !step.backfill && step.estimate_ms > 0
    }

    /// Returns the factors of kinds if they differ from the stored ones and an update is due.
    pub(super) fn changed_speeds(&mut self) -> Option<Vec<(CompactString, f64)>> {
        if self.now < self.stored_speeds.next_at {
            return None;
        }
        let kinds = self.speeds.kinds();
        let old: BTreeMap<&CompactString, f64> = self
            .stored_speeds
            .kinds
            .iter()
            .map(|(k, l)| (k, *l))
            .collect();
        let changed = |(kind, log): &(CompactString, f64)| {
            old.get(kind)
                .is_none_or(|o| (o - log).abs() >= STORED_CHANGE_MIN)
        };
        // A single kind has no other to be compared with.
        if kinds.len() < 2 || !kinds.iter().any(changed) {
            return None;
        }
        self.stored_speeds.next_at = self.now + STORE_PAUSE;
        self.stored_speeds.kinds = kinds.clone();
        let detail: Vec<String> = kinds
            .iter()
            .map(|(k, l)| format!("{k}={:.2}", l.exp()))
            .collect();
        self.log(0, "speeds learned", detail.join(" "));
        Some(kinds)
    }

    /// Takes over the factors of kinds that a predecessor stored.
    pub(super) fn apply_speeds(&mut self, kinds: &[(CompactString, f64)]) {
        self.speeds.restore(kinds);
        self.stored_speeds.kinds = kinds.to_vec();
    }
}
