//! Long-lived jobs, whose tasks run until the job is cancelled and must never run nowhere for long.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::long_lived_job_body;
use monsoonnotch_adapter_standins::vm::Checker;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::conditions::Conditions;
use crate::evacuation::Evacuations;
use crate::faults::leader;
use crate::load::Caller;
use crate::load::SubmitOutcome;
use crate::load::Tally;
use crate::load::lock;

/// Time by which every lease of a VM has expired, from the start of the first term that awaits it.
const LEASE_WAIT: Duration = Duration::from_millis(10_700);
/// Time within which a task must start once it may.
const START_TARGET: Duration = Duration::from_secs(3);
/// Longest time for which a long-lived task may run nowhere, not counting the time in which no
/// leader can decide.
const NOWHERE_MAX: Duration = LEASE_WAIT.saturating_add(START_TARGET);
/// Longest time that counts between two observations: a late one shows nothing of the time before.
const OBSERVATION_MAX: Duration = Duration::from_millis(100);
/// Time within which the tasks of cancelled jobs must end: by then their leases have expired.
const CANCEL_TIMEOUT: Duration = LEASE_WAIT;
/// Time after the end of the last run in which no task of a cancelled job may start.
const CANCELLED_QUIET: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(20);
/// Maximum number of long-lived jobs.
const JOBS_MAX: usize = 6;
/// CPU of each task, in thousandths of a core.
const TASK_CPU: u64 = 200;

/// A long-lived job as its caller knows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LongLivedJob {
    tasks: u32,
    outcome: SubmitOutcome,
}

/// The jobs by id.
pub(crate) type LongLivedJobs = Arc<Mutex<BTreeMap<u64, LongLivedJob>>>;

/// Runs the caller of all long-lived jobs until `stop`: submits them and queries their states.
pub(crate) async fn run(
    mut caller: Caller,
    seed: u64,
    jobs: LongLivedJobs,
    tally: Arc<Mutex<Tally>>,
    stop: Instant,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while Instant::now() < stop {
        if lock(&jobs).len() < JOBS_MAX {
            let (id, tasks): (u64, u32) = (rng.random(), rng.random_range(1..4));
            let body = long_lived_job_body(tasks, TASK_CPU);
            let outcome = caller.submit(id, &body, &mut rng).await;
            lock(&jobs).insert(id, LongLivedJob { tasks, outcome });
        }
        sleep(Duration::from_millis(300)).await;
        let accepted = accepted(&jobs);
        if !accepted.is_empty() {
            let id = accepted[rng.random_range(0..accepted.len())];
            let addr = caller.member(&mut rng);
            let state = caller.state_at(addr, id).await;
            check_open(id, state, &tally);
        }
        sleep(Duration::from_millis(rng.random_range(100..800))).await;
    }
}

/// Returns the accepted jobs.
fn accepted(jobs: &LongLivedJobs) -> Vec<u64> {
    let jobs = lock(jobs);
    let accepted = jobs
        .iter()
        .filter(|(_, j)| j.outcome == SubmitOutcome::Accepted);
    accepted.map(|(id, _)| *id).collect()
}

/// Checks the state of an accepted job that nobody has cancelled.
fn check_open(id: u64, state: Option<String>, tally: &Mutex<Tally>) {
    let mut tally = lock(tally);
    tally.queries += 1;
    let Some(state) = state else { return };
    if !["queued", "active"].contains(&state.as_str()) {
        let violation = format!("open long-lived job {id:016x} has the state {state:?}");
        tally.violations.push(violation);
    }
}

/// Returns the names of the tasks of all jobs that are known to be stored.
fn stored_tasks(jobs: &LongLivedJobs, checker: &Checker) -> Vec<String> {
    let name = |id: u64, n: u32| format!("{id:016x}.0.0.{n}");
    let mut tasks = Vec::new();
    for (&id, job) in lock(jobs).iter() {
        let names: Vec<String> = (0..job.tasks).map(|n| name(id, n)).collect();
        let started = names.iter().any(|t| checker.starts.contains_key(t));
        if started || job.outcome == SubmitOutcome::Accepted {
            tasks.extend(names);
        }
    }
    tasks
}

/// Measures for how long each task of the long-lived jobs runs nowhere.
pub(crate) struct Watch<'a> {
    site: &'a Site,
    /// Evacuations, whose check needs the clock as well.
    pub(crate) evacuations: Evacuations<'a>,
    jobs: LongLivedJobs,
    members: usize,
    pub(crate) violations: Vec<String>,
    observed: Instant,
    /// Time in which a leader could decide.
    clock: Duration,
    /// When the clock showed the start of the newest waits for leases.
    waits_from: Duration,
    /// Whether no term has begun since VMs were last lost or affected.
    first_term_due: bool,
    /// Losses of VMs by the plan of faults and by crashes under tasks.
    vm_losses: u64,
    claims: usize,
    /// Claim of the last leader whose process was ended.
    ended_claim: usize,
    /// What the clock showed when each task that runs nowhere ended.
    nowhere: BTreeMap<String, Duration>,
    reported: BTreeSet<String>,
    /// Longest time for which a task has run nowhere, and since the newest wait for leases began.
    longest: (Duration, Duration),
}

impl<'a> Watch<'a> {
    pub(crate) fn new(
        site: &'a Site,
        evacuations: Evacuations<'a>,
        jobs: LongLivedJobs,
        members: usize,
    ) -> Self {
        Self {
            site,
            evacuations,
            jobs,
            members,
            violations: Vec::new(),
            observed: Instant::now(),
            clock: Duration::ZERO,
            waits_from: Duration::ZERO,
            first_term_due: true,
            vm_losses: 0,
            claims: 0,
            ended_claim: 0,
            nowhere: BTreeMap::new(),
            reported: BTreeSet::new(),
            longest: (Duration::ZERO, Duration::ZERO),
        }
    }

    /// Requests or withdraws an evacuation if it is due.
    pub(crate) fn advance_evacuations(&mut self) {
        self.evacuations.advance(self.clock);
    }

    /// Observes which tasks run, and adds a violation for each that runs nowhere for too long.
    pub(crate) fn observe(&mut self, conditions: &Conditions) {
        self.advance_clock(conditions);
        self.evacuations.observe(self.clock);
        let checker = lock(&self.site.checker);
        for task in stored_tasks(&self.jobs, &checker) {
            if checker.runs(&task) {
                self.nowhere.remove(&task);
                continue;
            }
            let since = *self.nowhere.entry(task.clone()).or_insert(self.clock);
            let waited = self.clock - since.max(self.waits_from);
            let total = self.clock - since;
            self.longest = (self.longest.0.max(total), self.longest.1.max(waited));
            if waited > NOWHERE_MAX && self.reported.insert(task.clone()) {
                self.violations.push(format!(
                    "long-lived task {task} ran nowhere for {} ms, {} ms of them since the \
                     newest wait for leases began",
                    total.as_millis(),
                    waited.as_millis()
                ));
            }
        }
    }

    /// Prints how many tasks were watched, for how long a leader could decide, and the longest
    /// waits.
    pub(crate) fn print_summary(&self) {
        let tasks = stored_tasks(&self.jobs, &lock(&self.site.checker)).len();
        let led_ms = self.clock.as_millis();
        let (nowhere, waited) = (self.longest.0.as_millis(), self.longest.1.as_millis());
        println!(
            "long-lived tasks={tasks} led_ms={led_ms} nowhere_max_ms={nowhere} waited_max_ms={waited}"
        );
        self.evacuations.print_summary();
    }

    /// Advances the clock if a leader can decide. Lost and affected VMs begin a new wait for
    /// leases in the current term, or else in the first that follows; later terms do not.
    fn advance_clock(&mut self, conditions: &Conditions) {
        let passed = self.observed.elapsed().min(OBSERVATION_MAX);
        self.observed = Instant::now();
        let (leader, claims) = leader(self.site).unzip();
        let claims = claims.unwrap_or(0);
        if leader.is_some_and(|m| conditions.ended.contains(&m)) {
            self.ended_claim = claims;
        }
        let ended = claims == self.ended_claim;
        if !ended && conditions.allow_decisions(self.members, leader) {
            self.clock += passed;
        }
        let crashes: u64 = lock(&self.site.checker).crashes.values().sum();
        let vm_losses = conditions.vm_losses + crashes;
        let lost = vm_losses != self.vm_losses;
        if lost || conditions.affect_vms() {
            (self.waits_from, self.first_term_due) = (self.clock, true);
        } else if claims != self.claims && self.first_term_due {
            (self.waits_from, self.first_term_due) = (self.clock, false);
        }
        (self.vm_losses, self.claims) = (vm_losses, claims);
    }

    /// Observes until every task runs once `all_submitted` holds, or until `deadline`, by which they
    /// must run.
    pub(crate) async fn observe_until_all_run(
        &mut self,
        conditions: &Conditions,
        deadline: Instant,
        all_submitted: impl Fn() -> bool,
    ) {
        loop {
            let complete = all_submitted();
            self.observe(conditions);
            if complete && self.nowhere.is_empty() {
                return;
            }
            if Instant::now() >= deadline {
                let tasks = self.nowhere.keys();
                let violations = tasks.map(|t| format!("long-lived task {t} does not run again"));
                return self.violations.extend(violations);
            }
            sleep(TICK).await;
        }
    }
}

/// Cancels all jobs and checks that all their runs end. Returns the violations.
pub(crate) async fn cancel_all(
    site: &Site,
    jobs: &LongLivedJobs,
    caller: &mut Caller,
) -> Vec<String> {
    let ids: Vec<u64> = lock(jobs).keys().copied().collect();
    let mut violations = Vec::new();
    for &id in &ids {
        if !caller.cancel(id, Instant::now() + CANCEL_TIMEOUT).await {
            violations.push(format!("long-lived job {id:016x} could not be cancelled"));
        }
    }
    let deadline = Instant::now() + CANCEL_TIMEOUT;
    while running(site, jobs).is_some() && Instant::now() < deadline {
        sleep(TICK).await;
    }
    let starts_before = starts(site, jobs);
    sleep(CANCELLED_QUIET).await;
    if let Some(task) = running(site, jobs) {
        violations.push(format!("task {task} runs although its job is cancelled"));
    }
    if starts(site, jobs) != starts_before {
        violations.push("a task started after its job was cancelled".to_owned());
    }
    for id in accepted(jobs) {
        let state = caller.state(id).await;
        if state != "cancelled" {
            violations.push(format!("cancelled job {id:016x} has the state {state:?}"));
        }
    }
    violations
}

/// Returns a task of the jobs that runs.
fn running(site: &Site, jobs: &LongLivedJobs) -> Option<String> {
    let checker = lock(&site.checker);
    stored_tasks(jobs, &checker)
        .into_iter()
        .find(|t| checker.runs(t))
}

/// Returns the number of starts of all tasks of the jobs.
fn starts(site: &Site, jobs: &LongLivedJobs) -> u64 {
    let checker = lock(&site.checker);
    let starts = stored_tasks(jobs, &checker);
    starts.iter().filter_map(|t| checker.starts.get(t)).sum()
}
