//! Callers: they hand in jobs, come back as they are told, and ask for states.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::parse_state;
use monsoonnotch_standins::caller::call;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Tries of a caller for one job.
const TRIES: usize = 4;
/// How long a caller waits for one answer, in milliseconds.
const PATIENCE_MS: u64 = 3_000;

/// What became of a job, as its caller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Handed {
    /// Stored.
    Accepted,
    /// Every try was refused as not run.
    Refused,
    /// Neither is certain.
    Unknown,
}

pub(crate) type Jobs = Arc<Mutex<BTreeMap<u64, Handed>>>;

/// Answers in words that must not be, and counts of those that may.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) wrong: Vec<String>,
    pub(crate) asked: u64,
}

fn headers() -> Vec<(&'static str, String)> {
    vec![
        ("authorization", "Bearer key-a".to_owned()),
        ("x-deadline-ms", PATIENCE_MS.to_string()),
    ]
}

async fn send(addr: SocketAddr, method: &str, id: u64, body: &str) -> Option<(u16, Vec<u8>)> {
    let headers = headers();
    let headers: Vec<(&str, &str)> = headers.iter().map(|(k, v)| (*k, v.as_str())).collect();
    let path = format!("/jobs/{id:016x}");
    let sent = call(addr, method, &path, &headers, body);
    let answer = tokio::time::timeout(Duration::from_millis(PATIENCE_MS), sent).await;
    answer
        .ok()
        .flatten()
        .filter(|a| a.whole)
        .map(|a| (a.status, a.body))
}

/// Hands in one job, again and again until it is accepted or given up.
async fn hand_in(addrs: &[SocketAddr], id: u64, body: &str, rng: &mut StdRng) -> Handed {
    let mut certain = true;
    for _ in 0..TRIES {
        let addr = addrs[rng.random_range(0..addrs.len())];
        match send(addr, "POST", id, body).await {
            Some((200, _)) => return Handed::Accepted,
            Some((503 | 429, _)) => {}
            _ => certain = false,
        }
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }
    match certain {
        true => Handed::Refused,
        false => Handed::Unknown,
    }
}

/// One caller, until `stop`.
pub(crate) async fn run(
    addrs: Vec<SocketAddr>,
    seed: u64,
    jobs: Jobs,
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
        let handed = hand_in(&addrs, id, &body, &mut rng).await;
        jobs.lock().expect("no holder panics").insert(id, handed);
        if handed == Handed::Accepted {
            let addr = addrs[rng.random_range(0..addrs.len())];
            // Journal records reach the holder within the bound of visibility.
            tokio::time::sleep(Duration::from_millis(300)).await;
            let state = send(addr, "GET", id, "").await;
            let mut tally = tally.lock().expect("no holder panics");
            tally.asked += 1;
            if let Some((410, _)) = state {
                tally.wrong.push(format!("job {id:016x} is not known"));
            }
        }
        let pause = rng.random_range(20..250);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// The state of a job as any member says, or why there is none.
pub(crate) async fn state(addrs: &[SocketAddr], id: u64) -> String {
    for addr in addrs {
        match send(*addr, "GET", id, "").await {
            Some((200, body)) => return parse_state(&body).unwrap_or_default(),
            Some((410, _)) => return "not known".to_owned(),
            _ => {}
        }
    }
    "no answer".to_owned()
}
