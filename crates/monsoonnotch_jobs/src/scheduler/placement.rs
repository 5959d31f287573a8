//! Placement: which waiting task goes to which VM, in which order.
//!
//! Stages stand in line by the priority of their queue, then by when their job
//! is due. A stage that cannot start all its tasks starts what it can; the
//! stages behind it may use what it cannot. Part of the fleet is kept for the
//! first priority.

use super::job::Blocked;
use super::job::Job;
use super::job::Rank;
use super::job::Stage;
use super::*;
use crate::plan::Step;

/// Priority that may use the reserve and preempt others.
pub(super) const URGENT_PRIORITY: u32 = 0;
/// Part of an account's limit kept for its urgent work, in thousandths: about
/// what urgent work takes of the whole on the sites.
const URGENT_LIMIT_RESERVE_MILLI: u64 = 200;
/// Share of its usual time that a task may take longer on a VM before another
/// with room is preferred.
const SLOWER_THRESHOLD: f64 = 1.15;

/// A VM that may run tasks of a stage.
#[derive(Debug)]
struct Candidate {
    vm: VmKey,
    free: Resources,
    /// Tasks of the stage there, and the most there may be.
    stage_tasks: u32,
    stage_tasks_max: u32,
    /// Better ones are lower.
    penalty: u64,
    rack: CompactString,
    ticket: CompactString,
}

/// Processor of the VMs of a pool, in thousandths of a core.
#[derive(Debug, Default, Clone, Copy)]
struct PoolCapacity {
    free: u64,
    total: u64,
}

/// How many times `need` fits into `free`.
pub(super) fn fit_count(free: &Resources, need: &Resources) -> u64 {
    let part = |have: u64, takes: u64| have.checked_div(takes).unwrap_or(u64::MAX);
    part(free.cpu_milli, need.cpu_milli)
        .min(part(free.memory_mib, need.memory_mib))
        .min(part(free.accelerators, need.accelerators))
}

impl Scheduler {
    /// Starts what can be started, first in line first.
    pub(super) fn place_ready_stages(&mut self) {
        let mut capacity = self.pool_capacities();
        let settled = self.settled();
        self.uncertain_usage = self.sum_uncertain_usage();
        self.urgent_demand = self.sum_urgent_demand();
        let queued: Vec<(Rank, StageKey)> = self.ready_queue.iter().copied().collect();
        for (rank, key) in queued {
            let Some(job) = self.jobs.get(key.job) else {
                continue;
            };
            let pool = job.pool.clone();
            let waiting = self.startable_tasks(key, settled);
            if waiting.is_empty() {
                self.set_blocked(key, Blocked::Unsettled);
                continue;
            }
            let mut left = capacity.get(&pool).copied().unwrap_or_default();
            self.place_stage(rank, key, &waiting, &mut left);
            capacity.insert(pool, left);
        }
    }

    /// What waiting urgent work of each account needs.
    fn sum_urgent_demand(&self) -> BTreeMap<CompactString, Resources> {
        let mut needs: BTreeMap<CompactString, Resources> = BTreeMap::new();
        for (_, key) in self.ready_queue.iter().filter(|(rank, _)| rank.is_urgent()) {
            let Some((job, stage)) = self.jobs.get(key.job).zip(self.stage(*key)) else {
                continue;
            };
            let need = job.step(key.step).need.times(stage.waiting.len() as u64);
            needs.entry(job.account.clone()).or_default().add(&need);
        }
        needs
    }

    fn pool_capacities(&self) -> BTreeMap<CompactString, PoolCapacity> {
        let mut capacities: BTreeMap<CompactString, PoolCapacity> = BTreeMap::new();
        for (_, vm) in self
            .vms
            .iter()
            .filter(|(_, vm)| vm.is_schedulable(self.now))
        {
            let capacity = capacities.entry(vm.registration.pool.clone()).or_default();
            capacity.free += vm.free().cpu_milli;
            capacity.total += vm.registration.capacity.cpu_milli;
        }
        capacities
    }

    /// Waiting tasks of a stage that run nowhere for certain; of a gang all or none.
    fn startable_tasks(&self, key: StageKey, settled: bool) -> Vec<u32> {
        let Some((job, stage)) = self.jobs.get(key.job).zip(self.stage(key)) else {
            return Vec::new();
        };
        let startable = |&i: &u32| self.runs_nowhere(job, stage, i, settled);
        let tasks: Vec<u32> = stage.waiting.iter().copied().filter(startable).collect();
        match job.step(key.step).gang && tasks.len() < stage.waiting.len() {
            true => Vec::new(),
            false => tasks,
        }
    }

    fn place_stage(
        &mut self,
        rank: Rank,
        key: StageKey,
        waiting: &[u32],
        capacity: &mut PoolCapacity,
    ) {
        if let Some(reason) = self.blocked_before_placement(rank, key, capacity) {
            return self.set_blocked(key, reason);
        }
        let approval = self.approval_of(key);
        let candidates = self.candidates(key, approval.is_some());
        let gang = self
            .jobs
            .get(key.job)
            .is_some_and(|j| j.step(key.step).gang);
        let (placed, all) = match gang {
            true => self.place_gang(rank, key, candidates, capacity),
            false => self.place_tasks(rank, key, waiting, candidates, capacity),
        };
        if placed > 0 {
            self.log_placed(key, placed);
        }
        if let Some(approval) = approval
            && !all
            && (placed == 0 || self.stage(key).is_some_and(|s| !s.waiting.is_empty()))
        {
            self.request_approval(key, approval);
        }
    }

    /// What keeps even one task of a stage from starting, wherever there is room: with
    /// a long line most stages end here.
    fn blocked_before_placement(
        &self,
        rank: Rank,
        key: StageKey,
        capacity: &PoolCapacity,
    ) -> Option<Blocked> {
        let job = self.jobs.get(key.job)?;
        let step = job.step(key.step);
        if !self.within_limit(rank, &job.account, &step.need) {
            return Some(Blocked::Limit);
        }
        let kept = !self.leaves_reserve(rank, &step.allocation(), capacity);
        kept.then_some(Blocked::Reserve)
    }

    fn log_placed(&mut self, key: StageKey, placed: usize) {
        let now = self.now;
        let Some(stage) = self.stage(key) else { return };
        let new = stage.runs().filter_map(|r| self.runs.get(&r));
        let new = new
            .filter(|r| r.sent_at == now)
            .filter_map(|r| self.vms.get(r.vm));
        let vms: Vec<&str> = new.map(|v| v.registration.id.as_str()).collect();
        let detail = format!(
            "step={} occurrence={} tasks={placed} waiting={} class={} ready_ms={} vms={}",
            key.step,
            key.occurrence,
            stage.waiting.len(),
            stage.rank.class,
            now.since(stage.ready_at).as_millis(),
            vms.join(",")
        );
        let id = self.task_id(key, 0).stage.job.0;
        self.log(id, "tasks started", detail);
    }

    /// Whether a VM may ever run a step, and may now be given work.
    pub(super) fn is_eligible(&self, vm: VmKey, job: &Job, step: &Step) -> bool {
        let Some(row) = self.vms.get(vm) else {
            return false;
        };
        let label = |l: &CompactString| row.registration.labels.contains(l);
        row.is_schedulable(self.now)
            && row.registration.pool == job.pool
            && row.registration.capacity.fits(&step.need)
            && step.label.as_ref().is_none_or(label)
    }

    /// Tasks of a stage that each VM has.
    pub(super) fn tasks_by_vm(&self, stage: &Stage) -> BTreeMap<VmKey, u32> {
        let mut stage_tasks: BTreeMap<VmKey, u32> = BTreeMap::new();
        for run in stage.runs().filter_map(|r| self.runs.get(&r)) {
            *stage_tasks.entry(run.vm).or_default() += 1;
        }
        stage_tasks
    }

    fn candidates(&self, key: StageKey, needs_approval: bool) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(key.job) else {
            return Vec::new();
        };
        let Some(stage) = self.stage(key) else {
            return Vec::new();
        };
        let step = job.step(key.step);
        let stage_tasks = self.tasks_by_vm(stage);
        let mut found = Vec::new();
        let need = step.allocation();
        let mut consider = |vm: VmKey, ticket: CompactString| {
            let Some(row) = self.vms.get(vm) else { return };
            let free = row.free();
            if !self.is_eligible(vm, job, step) || !free.fits(&need) {
                return;
            }
            found.push(Candidate {
                vm,
                free,
                stage_tasks: stage_tasks.get(&vm).copied().unwrap_or(0),
                stage_tasks_max: match step.per_vm_max {
                    0 => u32::MAX,
                    n => n,
                },
                penalty: penalty(row, step),
                rack: rack_of(&row.registration.labels),
                ticket,
            });
        };
        if needs_approval {
            for (&vm, ticket) in &stage.approvals.tickets {
                let started_ms = self.vms.get(vm).map(|v| v.registration.started_ms);
                if ticket.until > self.now && started_ms == Some(ticket.started_ms) {
                    consider(vm, ticket.text.clone());
                }
            }
        } else {
            for (vm, _) in self.vms.iter() {
                consider(vm, CompactString::default());
            }
        }
        found.retain(|c| c.stage_tasks < c.stage_tasks_max);
        found
    }

    /// Starts waiting tasks one by one; returns how many, and whether that was all.
    fn place_tasks(
        &mut self,
        rank: Rank,
        key: StageKey,
        waiting: &[u32],
        mut candidates: Vec<Candidate>,
        capacity: &mut PoolCapacity,
    ) -> (usize, bool) {
        let Some(stage) = self.stage(key) else {
            return (0, true);
        };
        if self.now < stage.not_before {
            return (0, true);
        }
        let waiting: Vec<(u32, u64)> = waiting
            .iter()
            .map(|&i| (i, stage.tasks[i as usize].attempt + 1))
            .collect();
        let job = self.jobs.get(key.job).expect("a stage has a job");
        let (account, step) = (job.account.clone(), job.step(key.step).clone());
        let need = step.allocation();
        let total = waiting.len();
        let mut placed = 0;
        for (index, attempt) in waiting {
            if !self.within_limit(rank, &account, &step.need) {
                self.set_blocked(key, Blocked::Limit);
                return (placed, true);
            }
            if !self.leaves_reserve(rank, &need, capacity) {
                self.set_blocked(key, Blocked::Reserve);
                return (placed, true);
            }
            let Some((vm, ticket)) = allocate_best(&mut candidates, &need) else {
                self.set_blocked(key, Blocked::Room);
                break;
            };
            capacity.free = capacity.free.saturating_sub(need.cpu_milli);
            self.start(key, index, vm, attempt, ticket);
            placed += 1;
        }
        (placed, placed == total)
    }

    /// Starts all tasks of a gang, or none.
    fn place_gang(
        &mut self,
        rank: Rank,
        key: StageKey,
        mut candidates: Vec<Candidate>,
        capacity: &mut PoolCapacity,
    ) -> (usize, bool) {
        if !self.gang_can_start(key) {
            self.set_blocked(key, Blocked::Gang);
            return (0, true);
        }
        let stage = self.stage(key).expect("a gang that waits has a stage");
        let waiting: Vec<u32> = stage.waiting.iter().copied().collect();
        let attempt = stage.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1;
        let job = self.jobs.get(key.job).expect("a stage has a job");
        let (account, step) = (job.account.clone(), job.step(key.step).clone());
        let need = step.allocation();
        let count = waiting.len() as u64;
        let all = step.need.times(count);
        if !self.within_limit(rank, &account, &all) {
            self.set_blocked(key, Blocked::Limit);
            return (0, true);
        }
        if !self.leaves_reserve(rank, &need.times(count), capacity) {
            self.set_blocked(key, Blocked::Reserve);
            return (0, true);
        }
        if step.rack_local
            && let Some(rack) = rack_with_capacity(&candidates, &need, count)
        {
            candidates.retain(|c| c.rack == rack);
        }
        let mut chosen = Vec::new();
        for _ in &waiting {
            let Some(best) = allocate_best(&mut candidates, &need) else {
                self.set_blocked(key, Blocked::Room);
                return (0, false);
            };
            chosen.push(best);
        }
        capacity.free = capacity.free.saturating_sub(need.times(count).cpu_milli);
        for (index, (vm, ticket)) in waiting.iter().zip(chosen) {
            self.start(key, *index, vm, attempt, ticket);
        }
        (waiting.len(), true)
    }

    fn set_blocked(&mut self, key: StageKey, reason: Blocked) {
        if let Some(stage) = self.stage_mut(key) {
            stage.blocked = reason;
        }
    }

    /// Whether an account may have so much more running.
    ///
    /// What is not urgent leaves part of the limit free, unless the account uses
    /// little, and what its waiting urgent work needs: an account's quick work does
    /// not wait for its own bundles.
    fn within_limit(&self, rank: Rank, account: &str, need: &Resources) -> bool {
        let Some(limit) = self.config.accounts.get(account).map(|a| a.limit) else {
            return true;
        };
        let mut used = self.usage.get(account).copied().unwrap_or_default();
        if let Some(unseen) = self.uncertain_usage.get(account) {
            used.add(unseen);
        }
        let waits = self.urgent_demand.get(account).copied().unwrap_or_default();
        let fits = |limit: u64, used: u64, need: u64, waits: u64| {
            let kept = match (rank.is_urgent(), used * 2 <= limit) {
                (true, _) => 0,
                (false, true) => waits,
                (false, false) => waits.max(limit * URGENT_LIMIT_RESERVE_MILLI / 1_000),
            };
            limit == 0 || used + need + kept <= limit
        };
        fits(
            limit.cpu_milli,
            used.cpu_milli,
            need.cpu_milli,
            waits.cpu_milli,
        ) && fits(
            limit.memory_mib,
            used.memory_mib,
            need.memory_mib,
            waits.memory_mib,
        ) && fits(
            limit.accelerators,
            used.accelerators,
            need.accelerators,
            waits.accelerators,
        )
    }

    /// Whether a start leaves what is kept for the first priority.
    fn leaves_reserve(&self, rank: Rank, need: &Resources, capacity: &PoolCapacity) -> bool {
        let kept = capacity.total * self.tuning.urgent_reserve_milli / 1_000;
        rank.class == URGENT_PRIORITY
            || need.cpu_milli == 0
            || capacity.free >= need.cpu_milli + kept
    }
}

/// The rack among a VM's labels, by its form; empty where there is none.
pub(super) fn rack_of(labels: &[CompactString]) -> CompactString {
    let rack = labels
        .iter()
        .find(|l| l.contains('-') || l.starts_with('r'));
    rack.cloned().unwrap_or_default()
}

/// What speaks against a VM for a step, apart from its room; lower is better.
fn penalty(vm: &vms::Vm, step: &Step) -> u64 {
    let mut penalty = 0;
    if let Some(rack) = &step.data_rack
        && !vm.registration.labels.contains(rack)
    {
        penalty += 8;
    }
    // Work that fills disturbs work that serves: they are kept apart.
    if step.backfill && vm.serving > 0 {
        penalty += 4;
    }
    if step.target_ms > 0 && vm.backfill_cpu_milli > 0 {
        penalty += 4;
    }
    if vm.health.is_slow() {
        penalty += 16;
    } else if vm.health.slowness > SLOWER_THRESHOLD {
        penalty += 2;
    }
    if vm.health.consecutive_failures > 0 {
        penalty += 1;
    }
    penalty
}

/// Takes room for one task from the best candidate, which leaves once it is full.
fn allocate_best(
    candidates: &mut Vec<Candidate>,
    need: &Resources,
) -> Option<(VmKey, CompactString)> {
    let at = best_candidate(candidates, need)?;
    let c = &mut candidates[at];
    let best = (c.vm, c.ticket.clone());
    c.free.subtract(need);
    c.stage_tasks += 1;
    if c.stage_tasks >= c.stage_tasks_max || !c.free.fits(need) {
        candidates.swap_remove(at);
    }
    Some(best)
}

/// The candidate to take next: preferred first, then the fullest that fits.
fn best_candidate(candidates: &[Candidate], need: &Resources) -> Option<usize> {
    let fitting = candidates.iter().enumerate();
    let best = fitting.min_by_key(|(_, c)| {
        let left = match need.cpu_milli {
            // Work that takes no processor room goes where most is left over.
            0 => u64::MAX - c.free.cpu_milli,
            _ => c.free.cpu_milli,
        };
        (c.penalty, left)
    });
    best.map(|(i, _)| i)
}

/// A rack that holds so many tasks, if there is one.
fn rack_with_capacity(
    candidates: &[Candidate],
    need: &Resources,
    count: u64,
) -> Option<CompactString> {
    let mut fits: BTreeMap<&CompactString, u64> = BTreeMap::new();
    for c in candidates {
        let stage_tasks_max = u64::from(c.stage_tasks_max - c.stage_tasks);
        *fits.entry(&c.rack).or_default() += fit_count(&c.free, need).min(stage_tasks_max);
    }
    let enough = fits.into_iter().filter(|&(_, n)| n >= count);
    enough.min_by_key(|&(_, n)| n).map(|(r, _)| r.clone())
}
