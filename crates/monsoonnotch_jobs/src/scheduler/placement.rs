//! Placement: which waiting tasks start, on which VMs and in which order.
//!
//! The ready queue orders stages by their [ranks](super::ranks). Accounts that submit more than
//! their rate and use more than their share of the pool get what the others leave. A stage that cannot
//! start all its tasks starts as many as it can, and the stages behind it may use the
//! capacity that it cannot. Part of the capacity is reserved for the highest priority.

use super::candidates::Candidate;
use super::candidates::allocate_best;
use super::candidates::rack_with_capacity;
use super::job::Blocked;
use super::job::Job;
use super::job::Rank;
use super::job::Stage;
use super::*;
use crate::plan::Step;
use crate::share::Shares;

/// The highest priority, which may use the reserved capacity.
pub(super) const URGENT_PRIORITY: u32 = 0;
/// Slowness, as a multiple of the usual run time, above which other VMs with free
/// capacity are preferred.
const SLOWER_THRESHOLD: f64 = 1.15;

/// CPU of the schedulable VMs of a pool, in thousandths of a core, and their number.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct PoolCapacity {
    pub(super) free: u64,
    pub(super) total: u64,
    /// All resources of the VMs.
    pub(super) resources: Resources,
    pub(super) vms: usize,
}

/// What a placement pass has left.
#[derive(Debug)]
struct Pass {
    /// Number of starts that may still be sent.
    admitted: usize,
    /// Whether no run of a predecessor is in doubt.
    settled: bool,
    /// Shares of the accounts, by pool.
    shares: BTreeMap<CompactString, Shares>,
    /// Capacity, by pool.
    capacity: BTreeMap<CompactString, PoolCapacity>,
}

impl Scheduler {
    /// Starts all tasks that can start, in the order of the ready queue.
    pub(super) fn place_ready_stages(&mut self) {
        let capacity = self.pool_capacities();
        let settled = self.settled();
        self.uncertain_usage = self.sum_uncertain_usage();
        self.urgent_demand = self.sum_urgent_demand();
        let totals = capacity.iter().map(|(pool, c)| (pool.clone(), c.resources));
        self.pool_totals = totals.collect();
        let queued: Vec<(Rank, StageKey)> = self.ready_queue.iter().copied().collect();
        let mut pass = Pass {
            admitted: self.answer_times.window.admitted(),
            settled,
            shares: self.shares(&queued),
            capacity,
        };
        if pass.admitted == 0 && !queued.is_empty() {
            self.log_starts_held_back();
        }
        let mut above = Vec::new();
        for (rank, key) in queued {
            if !self.place_next(rank, key, &mut pass, true) {
                above.push((rank, key));
            }
        }
        // What the other accounts leave is lent to those above their share.
        for (rank, key) in above {
            self.place_next(rank, key, &mut pass, false);
        }
    }

    /// Places what it can of the next stage in a pass.
    ///
    /// With `within_share`, returns false, and places nothing, if the account submits more than its
    /// rate and uses more than its share of the pool.
    fn place_next(
        &mut self,
        rank: Rank,
        key: StageKey,
        pass: &mut Pass,
        within_share: bool,
    ) -> bool {
        if pass.admitted == 0 {
            self.set_blocked(key, Blocked::Saturated);
            return true;
        }
        let Some(job) = self.jobs.get(key.job) else {
            return true;
        };
        let (pool, account) = (job.pool.clone(), job.account.clone());
        let shares = pass.shares.entry(pool.clone()).or_default();
        if within_share && rank.over_share && shares.is_above(&account) {
            self.set_blocked(key, Blocked::Share);
            return false;
        }
        let need = job.step(key.step).need;
        let waiting = self.startable_tasks(key, pass.settled);
        if waiting.is_empty() {
            self.set_blocked(key, Blocked::Unsettled);
            return true;
        }
        let mut left = pass.capacity.get(&pool).copied().unwrap_or_default();
        let placed = self.place_stage(rank, key, &waiting, &mut left);
        pass.admitted = pass.admitted.saturating_sub(placed);
        let shares = pass.shares.entry(pool.clone()).or_default();
        shares.start(&account, &need.times(placed as u64), &left.resources);
        pass.capacity.insert(pool, left);
        true
    }

    /// Returns the shares of the accounts in each pool that they use or wait for.
    pub(super) fn shares(&self, queued: &[(Rank, StageKey)]) -> BTreeMap<CompactString, Shares> {
        let jobs = queued.iter().filter_map(|(_, key)| self.jobs.get(key.job));
        let waiting: BTreeSet<(&CompactString, &CompactString)> =
            jobs.map(|j| (&j.pool, &j.account)).collect();
        let mut shares: BTreeMap<CompactString, Shares> = BTreeMap::new();
        for (name, account) in &self.config.accounts {
            let used = self.usage.get(name).copied().unwrap_or_default();
            for (pool, total) in &self.pool_totals {
                let is_active = used != Resources::default() || waiting.contains(&(pool, name));
                if is_active {
                    let shares = shares.entry(pool.clone()).or_default();
                    shares.add(name, account.weight, &used, total);
                }
            }
        }
        shares
    }

    /// Returns the resources that the waiting urgent tasks of each account need.
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

    pub(super) fn pool_capacities(&self) -> BTreeMap<CompactString, PoolCapacity> {
        let mut capacities: BTreeMap<CompactString, PoolCapacity> = BTreeMap::new();
        for (_, vm) in self
            .vms
            .iter()
            .filter(|(_, vm)| vm.is_schedulable(self.now))
        {
            let pool = &vm.registration.pool;
            if !capacities.contains_key(pool) {
                capacities.insert(pool.clone(), PoolCapacity::default());
            }
            if let Some(capacity) = capacities.get_mut(pool) {
                let total = vm.registration.capacity.cpu_milli;
                capacity.free = capacity.free.saturating_add(vm.free().cpu_milli);
                capacity.total = capacity.total.saturating_add(total);
                capacity.resources.add(&vm.registration.capacity);
                capacity.vms += 1;
            }
        }
        capacities
    }

    /// Returns the waiting tasks of a stage that certainly run nowhere; for a gang, all
    /// or none.
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

    /// Starts waiting tasks of a stage, and requests approvals; returns how many were started.
    fn place_stage(
        &mut self,
        rank: Rank,
        key: StageKey,
        waiting: &[u32],
        capacity: &mut PoolCapacity,
    ) -> usize {
        if let Some(reason) = self.blocked_before_placement(rank, key, capacity) {
            self.set_blocked(key, reason);
            return 0;
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
        placed
    }

    /// Returns the reason why not even one task of a stage can start, whichever VM has
    /// free capacity. In a long ready queue this rejects most stages cheaply.
    pub(super) fn blocked_before_placement(
        &self,
        rank: Rank,
        key: StageKey,
        capacity: &PoolCapacity,
    ) -> Option<Blocked> {
        let job = self.jobs.get(key.job)?;
        let step = job.step(key.step);
        if self.flush.refuses(key.job) {
            return Some(Blocked::Refused);
        }
        if !self.within_limit(rank, &job.account, &step.need, 1) {
            return Some(Blocked::Limit);
        }
        let needs_reserve = !self.leaves_reserve(rank, &step.allocation(), capacity);
        needs_reserve.then_some(Blocked::Reserve)
    }

    fn log_placed(&mut self, key: StageKey, placed: usize) {
        let now = self.now;
        let Some(stage) = self.stage(key) else { return };
        let new = stage.runs().filter_map(|r| self.runs.get(&r));
        let new: Vec<&runs::Run> = new.filter(|r| r.sent_at == now).collect();
        let vms = new.iter().filter_map(|r| self.vms.get(r.vm));
        let vms: Vec<&str> = vms.map(|v| v.registration.id.as_str()).collect();
        let attempts = new.iter().map(|r| format!("{}/{}", r.index, r.attempt));
        let attempts: Vec<String> = attempts.collect();
        let detail = format!(
            "step={} occurrence={} tasks={placed} waiting={} class={} ready_ms={} vms={} attempts={}",
            key.step,
            key.occurrence,
            stage.waiting.len(),
            stage.rank.class,
            now.since(stage.ready_at).as_millis(),
            vms.join(","),
            attempts.join(",")
        );
        let id = self.task_id(key, 0).stage.job.0;
        self.log(id, "tasks started", detail);
    }

    /// Whether a VM is schedulable now and meets the requirements of a step when empty.
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

    /// Returns the number of runs of a stage on each VM.
    pub(super) fn tasks_by_vm(&self, stage: &Stage) -> BTreeMap<VmKey, u32> {
        let mut stage_tasks: BTreeMap<VmKey, u32> = BTreeMap::new();
        for run in stage.runs().filter_map(|r| self.runs.get(&r)) {
            *stage_tasks.entry(run.vm).or_default() += 1;
        }
        stage_tasks
    }

    pub(super) fn candidates(&self, key: StageKey, needs_approval: bool) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(key.job) else {
            return Vec::new();
        };
        let Some(stage) = self.stage(key) else {
            return Vec::new();
        };
        let step = job.step(key.step);
        let stage_tasks = self.tasks_by_vm(stage);
        let mut found = Vec::new();
        let on_probation = self.vms_on_probation();
        let kind_penalties = self.kind_penalties(key);
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
                penalty: penalty(row, step) + kind_penalties.of(row.kind),
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
        found.retain(|c| c.stage_tasks < c.stage_tasks_max && !on_probation.contains(&c.vm));
        found
    }

    /// Starts waiting tasks one by one.
    ///
    /// Returns how many were started, and whether no further VMs need to be approved.
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
        let mut waits = 0;
        let mut bounds = self.start_bounds(key, capacity.vms);
        for (index, attempt) in waiting {
            if !self.within_limit(rank, &account, &step.need, 1) {
                self.set_blocked(key, Blocked::Limit);
                return (placed, true);
            }
            if !self.leaves_reserve(rank, &need, capacity) {
                self.set_blocked(key, Blocked::Reserve);
                return (placed, true);
            }
            match self.choose_vm(key, index, &mut bounds, &mut candidates, &need) {
                Ok((vm, ticket)) => {
                    capacity.free = capacity.free.saturating_sub(need.cpu_milli);
                    self.start(key, index, vm, attempt, ticket);
                    placed += 1;
                }
                Err(reason) => {
                    self.set_blocked(key, reason);
                    match reason {
                        Blocked::Suspect => waits += 1,
                        Blocked::Fresh => return (placed, true),
                        _ => break,
                    }
                }
            }
        }
        (placed, placed + waits == total)
    }

    /// Starts all tasks of a gang or none, with the results of [`Self::place_tasks`].
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
        let stage = self.stage(key).expect("a gang that can start has a stage");
        let waiting: Vec<u32> = stage.waiting.iter().copied().collect();
        let attempt = stage.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1;
        let job = self.jobs.get(key.job).expect("a stage has a job");
        let (account, step) = (job.account.clone(), job.step(key.step).clone());
        let need = step.allocation();
        let count = waiting.len() as u64;
        if self.is_suspect(key, 0)
            && !self.retain_for_suspect_gang(key.job, &mut candidates, &need, count)
        {
            self.set_blocked(key, Blocked::Suspect);
            return (0, true);
        }
        if !self.within_limit(rank, &account, &step.need, count) {
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

    /// Whether a start leaves the capacity free that is reserved for the highest priority.
    ///
    /// A pool may shrink below what accepted work needs beside the reserve. Such work may use all of it.
    fn leaves_reserve(&self, rank: Rank, need: &Resources, capacity: &PoolCapacity) -> bool {
        let kept = milli_of(capacity.total, self.tuning.urgent_reserve_milli);
        let kept = kept.min(capacity.total.saturating_sub(need.cpu_milli));
        rank.class == URGENT_PRIORITY
            || need.cpu_milli == 0
            || capacity.free >= need.cpu_milli.saturating_add(kept)
    }
}

/// Returns `milli` thousandths of an amount, rounded down; at most the largest number.
pub(super) fn milli_of(amount: u64, milli: u64) -> u64 {
    let part = u128::from(amount) * u128::from(milli) / 1_000;
    u64::try_from(part).unwrap_or(u64::MAX)
}

/// Returns the label of a VM that looks like a rack name (contains `-` or starts with
/// `r`); empty if there is none.
pub(super) fn rack_of(labels: &[CompactString]) -> CompactString {
    let rack = labels
        .iter()
        .find(|l| l.contains('-') || l.starts_with('r'));
    rack.cloned().unwrap_or_default()
}

/// Returns the penalty of a VM for a step, apart from its free capacity; lower is better.
fn penalty(vm: &vms::Vm, step: &Step) -> u64 {
    let mut penalty = 0;
    if let Some(rack) = &step.data_rack
        && !vm.registration.labels.contains(rack)
    {
        penalty += 8;
    }
    // Backfill tasks raise the latency of serving tasks, so the two are kept apart.
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
