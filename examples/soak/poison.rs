//! Jobs whose tasks crash the VMs that start them. They may fail, but only after two crashes
//! under one of their tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::poison_job_body;
use monsoonnotch_adapter_standins::vm::Checker;
use monsoonnotch_adapter_standins::vm::SharedChecker;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::load::Caller;
use crate::load::SubmitOutcome;
use crate::load::Tally;
use crate::load::lock;

/// Maximum number of poison jobs.
const JOBS_MAX: usize = 3;
/// CPU of each task, in thousandths of a core.
const TASK_CPU: u64 = 200;
/// Number of crashes under a task after which its job may be given up.
const CRASHES_MIN: u64 = 2;
/// Time within which a member must accept the cancellation of a job.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(10);

/// The jobs by id, and whether each was accepted.
pub(crate) type PoisonJobs = Arc<Mutex<BTreeMap<u64, bool>>>;

/// Runs the caller of all poison jobs until `stop`: submits them and queries their states.
pub(crate) async fn run(
    mut caller: Caller,
    seed: u64,
    jobs: PoisonJobs,
    checker: SharedChecker,
    tally: Arc<Mutex<Tally>>,
    stop: Instant,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while Instant::now() < stop {
        if lock(&jobs).len() < JOBS_MAX {
            let id: u64 = rng.random();
            let body = poison_job_body(rng.random_range(1..3), TASK_CPU, rng.random_bool(0.3));
            let outcome = caller.submit(id, &body, &mut rng).await;
            lock(&jobs).insert(id, outcome == SubmitOutcome::Accepted);
        }
        // The leader reads the journal with a bounded delay, after which it must find the job.
        sleep(Duration::from_millis(300)).await;
        for id in accepted(&jobs) {
            let addr = caller.member(&mut rng);
            let state = caller.state_at(addr, id).await;
            check_state(id, state, &checker, &tally);
        }
        sleep(Duration::from_millis(rng.random_range(500..2_000))).await;
    }
}

fn accepted(jobs: &PoisonJobs) -> Vec<u64> {
    let jobs = lock(jobs);
    let accepted = jobs.iter().filter(|(_, accepted)| **accepted);
    accepted.map(|(id, _)| *id).collect()
}

/// Returns the largest number of crashes under one task of a job.
fn crashes(id: u64, checker: &Checker) -> u64 {
    let prefix = format!("{id:016x}.");
    let of_job = checker
        .crashes
        .iter()
        .filter(|(t, _)| t.starts_with(&prefix));
    of_job.map(|(_, n)| *n).max().unwrap_or(0)
}

/// Checks the state of an accepted job, as one member shows it.
fn check_state(id: u64, state: Option<String>, checker: &SharedChecker, tally: &Mutex<Tally>) {
    let crashes = crashes(id, &lock(checker));
    let mut tally = lock(tally);
    tally.queries += 1;
    let Some(state) = state else { return };
    let possible = match state.as_str() {
        "queued" | "active" => true,
        "failed" => crashes >= CRASHES_MIN,
        _ => false,
    };
    if !possible {
        let violation =
            format!("poison job {id:016x} has the state {state:?} after {crashes} crashes");
        tally.violations.push(violation);
    }
}

/// Checks the last states of all jobs, cancels those that have not failed, and prints counts.
/// Returns the violations.
pub(crate) async fn cancel_all(
    site: &Site,
    jobs: &PoisonJobs,
    caller: &mut Caller,
    tally: &Mutex<Tally>,
) -> Vec<String> {
    let ids: Vec<u64> = lock(jobs).keys().copied().collect();
    if ids.is_empty() {
        return Vec::new();
    }
    let (mut failed, mut violations) = (0, Vec::new());
    for id in accepted(jobs) {
        let state = caller.state(id).await;
        failed += usize::from(state == "failed");
        check_state(id, Some(state), &site.checker, tally);
    }
    for &id in &ids {
        if !caller.cancel(id, Instant::now() + CANCEL_TIMEOUT).await {
            violations.push(format!("poison job {id:016x} could not be cancelled"));
        }
    }
    let checker = lock(&site.checker);
    let crashes: Vec<u64> = ids.iter().map(|&id| crashes(id, &checker)).collect();
    println!(
        "poison jobs={} failed={failed} crashes={crashes:?}",
        ids.len()
    );
    violations
}
