//! Callers, which submit jobs, retry refused submissions, and query job states.
//!
//! They keep their connections open, also to members that are shutting down.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::parse_state;
use monsoonnotch_standins::caller::Connections;
use monsoonnotch_standins::caller::request;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of times that a caller tries to submit a job with an odd id. It gives up the others at
/// the first failure, which leaves more jobs refused.
const ATTEMPTS_MAX: usize = 4;
/// Share of accepted jobs that are submitted again.
const REPEATED_SHARE: f64 = 0.1;
/// Share of jobs whose runs last some seconds.
const LONG_SHARE: f64 = 0.2;
/// Number of recent jobs of which a caller queries one at a time.
const RECENT_JOBS: usize = 8;
/// State of a job that no member knows, in descriptions.
pub(crate) const NOT_FOUND: &str = "not found";
/// How long a caller waits for one response, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

/// Outcome of the submission of a job, as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmitOutcome {
    /// A member replied that the job is stored.
    Accepted,
    /// Every attempt was refused with a status that rules out that the job runs.
    Refused,
    /// The job may have been stored.
    Unknown,
}

/// The outcomes by job id.
pub(crate) type SubmitOutcomes = Arc<Mutex<BTreeMap<u64, SubmitOutcome>>>;

/// What all callers observe together.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Descriptions of responses that violate a guarantee.
    pub(crate) violations: Vec<String>,
    /// Number of state queries sent.
    pub(crate) queries: u64,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while holding the lock")
}

/// A caller with its connections and the addresses of the members.
#[derive(Debug)]
pub(crate) struct Caller {
    addrs: Vec<SocketAddr>,
    connections: Connections,
}

impl Caller {
    pub(crate) fn new(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            connections: Connections::default(),
        }
    }

    /// Returns a random member.
    pub(crate) fn member(&self, rng: &mut StdRng) -> SocketAddr {
        self.addrs[rng.random_range(0..self.addrs.len())]
    }

    async fn send(
        &mut self,
        addr: SocketAddr,
        method: &str,
        id: u64,
        body: &str,
    ) -> Option<(u16, Vec<u8>)> {
        let deadline = TIMEOUT_MS.to_string();
        let headers = [
            ("authorization", "Bearer key-a"),
            ("x-deadline-ms", &deadline),
        ];
        let req = request(method, &format!("/jobs/{id:016x}"), &headers, body);
        let response = self.connections.send(addr, req);
        let response = tokio::time::timeout(Duration::from_millis(TIMEOUT_MS), response).await;
        let response = response.ok().flatten().filter(|r| r.complete);
        response.map(|r| (r.status, r.body))
    }

    /// Submits one job, once or at most [`ATTEMPTS_MAX`] times until it is accepted.
    pub(crate) async fn submit(&mut self, id: u64, body: &str, rng: &mut StdRng) -> SubmitOutcome {
        let mut certain = true;
        let attempts = if id.is_multiple_of(2) {
            1
        } else {
            ATTEMPTS_MAX
        };
        for _ in 0..attempts {
            let addr = self.member(rng);
            match self.send(addr, "POST", id, body).await {
                Some((200, _)) => return SubmitOutcome::Accepted,
                Some((503 | 429, _)) => {}
                _ => certain = false,
            }
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        match certain {
            true => SubmitOutcome::Refused,
            false => SubmitOutcome::Unknown,
        }
    }

    /// Returns the state of a job according to one member; `None` without a response.
    pub(crate) async fn state_at(&mut self, addr: SocketAddr, id: u64) -> Option<String> {
        match self.send(addr, "GET", id, "").await? {
            (200, body) => Some(parse_state(&body).unwrap_or_default()),
            (410, _) => Some(NOT_FOUND.to_owned()),
            _ => None,
        }
    }

    /// Returns the state of a job from the first member that responds, or why it is not available.
    pub(crate) async fn state(&mut self, id: u64) -> String {
        for addr in self.addrs.clone() {
            if let Some(state) = self.state_at(addr, id).await {
                return state;
            }
        }
        "unavailable".to_owned()
    }

    /// Cancels a job; returns whether a member replied before `deadline` that it is cancelled or
    /// not known.
    pub(crate) async fn cancel(&mut self, id: u64, deadline: tokio::time::Instant) -> bool {
        for addr in self.addrs.clone().into_iter().cycle() {
            if let Some((200..300 | 410, _)) = self.send(addr, "DELETE", id, "").await {
                return true;
            }
            if tokio::time::Instant::now() >= deadline {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }
}

/// Runs one caller until `stop`: submits jobs one after the other, sends some again, and checks
/// that the states of those that were accepted are consistent.
pub(crate) async fn run(
    mut caller: Caller,
    seed: u64,
    outcomes: SubmitOutcomes,
    tally: Arc<Mutex<Tally>>,
    stop: tokio::time::Instant,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    // Accepted jobs, and whether each was seen as completed.
    let mut accepted: Vec<(u64, bool)> = Vec::new();
    while tokio::time::Instant::now() < stop {
        let id: u64 = rng.random();
        let steps: Vec<u32> = (0..rng.random_range(1..4))
            .map(|_| rng.random_range(1..5))
            .collect();
        let work_ms = match rng.random_bool(LONG_SHARE) {
            true => rng.random_range(1_000..3_000),
            false => rng.random_range(30..900),
        };
        let body = job_body(&steps, rng.random_range(200..3_000), work_ms);
        let outcome = caller.submit(id, &body, &mut rng).await;
        lock(&outcomes).insert(id, outcome);
        if outcome == SubmitOutcome::Accepted {
            accepted.push((id, false));
            if rng.random_bool(REPEATED_SHARE) {
                let addr = caller.member(&mut rng);
                let _ = caller.send(addr, "POST", id, &body).await;
            }
        }
        // The leader reads the journal with a bounded delay, after which it must find the job.
        tokio::time::sleep(Duration::from_millis(300)).await;
        if let Some(n) = accepted.len().checked_sub(1) {
            let job = &mut accepted[n - rng.random_range(0..=n.min(RECENT_JOBS))];
            let addr = caller.member(&mut rng);
            let state = caller.state_at(addr, job.0).await;
            check_state(job, state, &tally);
        }
        let pause = rng.random_range(20..250);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Checks the state of an accepted job. No job fails or is cancelled here, and a completed one
/// remains so.
fn check_state(job: &mut (u64, bool), state: Option<String>, tally: &Mutex<Tally>) {
    let mut tally = lock(tally);
    tally.queries += 1;
    let Some(state) = state else { return };
    let possible = match job.1 {
        true => state == "completed",
        false => ["queued", "active", "completed"].contains(&state.as_str()),
    };
    if !possible {
        let violation = format!(
            "accepted job {:016x}, completed={}, has the state {state:?}",
            job.0, job.1
        );
        tally.violations.push(violation);
    }
    job.1 |= state == "completed";
}
