//! Callers, which submit jobs, retry refused submissions, and query job states.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::parse_state;
use monsoonnotch_standins::caller::send_request;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of times that a caller tries to submit one job.
const ATTEMPTS_MAX: usize = 4;
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

fn headers() -> Vec<(&'static str, String)> {
    vec![
        ("authorization", "Bearer key-a".to_owned()),
        ("x-deadline-ms", TIMEOUT_MS.to_string()),
    ]
}

async fn send(addr: SocketAddr, method: &str, id: u64, body: &str) -> Option<(u16, Vec<u8>)> {
    let headers = headers();
    let headers: Vec<(&str, &str)> = headers.iter().map(|(k, v)| (*k, v.as_str())).collect();
    let path = format!("/jobs/{id:016x}");
    let response = send_request(addr, method, &path, &headers, body);
    let response = tokio::time::timeout(Duration::from_millis(TIMEOUT_MS), response).await;
    response
        .ok()
        .flatten()
        .filter(|a| a.complete)
        .map(|a| (a.status, a.body))
}

/// Submits one job, at most [`ATTEMPTS_MAX`] times until it is accepted.
async fn submit(addrs: &[SocketAddr], id: u64, body: &str, rng: &mut StdRng) -> SubmitOutcome {
    let mut certain = true;
    for _ in 0..ATTEMPTS_MAX {
        let addr = addrs[rng.random_range(0..addrs.len())];
        match send(addr, "POST", id, body).await {
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

/// Runs one caller until `stop`: submits jobs one after the other and checks that members find
/// those that were accepted.
pub(crate) async fn run(
    addrs: Vec<SocketAddr>,
    seed: u64,
    outcomes: SubmitOutcomes,
    tally: Arc<Mutex<Tally>>,
    stop: tokio::time::Instant,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while tokio::time::Instant::now() < stop {
        let id: u64 = rng.random();
        let steps: Vec<u32> = (0..rng.random_range(1..4))
            .map(|_| rng.random_range(1..5))
            .collect();
        let body = job_body(
            &steps,
            rng.random_range(200..3_000),
            rng.random_range(30..900),
        );
        let outcome = submit(&addrs, id, &body, &mut rng).await;
        outcomes
            .lock()
            .expect("no thread panics while holding the lock")
            .insert(id, outcome);
        if outcome == SubmitOutcome::Accepted {
            let addr = addrs[rng.random_range(0..addrs.len())];
            // The leader reads the journal with a bounded delay, after which it must find the job.
            tokio::time::sleep(Duration::from_millis(300)).await;
            let state = send(addr, "GET", id, "").await;
            let mut tally = tally
                .lock()
                .expect("no thread panics while holding the lock");
            tally.queries += 1;
            if let Some((410, _)) = state {
                tally
                    .violations
                    .push(format!("accepted job {id:016x} was not found"));
            }
        }
        let pause = rng.random_range(20..250);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Returns the state of a job from the first member that responds, or why it is not available.
pub(crate) async fn state(addrs: &[SocketAddr], id: u64) -> String {
    for addr in addrs {
        match send(*addr, "GET", id, "").await {
            Some((200, body)) => return parse_state(&body).unwrap_or_default(),
            Some((410, _)) => return "not found".to_owned(),
            _ => {}
        }
    }
    "unavailable".to_owned()
}
