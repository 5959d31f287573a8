//! The callers, which send repeatable and non-repeatable requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_standins::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;

use crate::site::Balancer;
use crate::site::Site;
use crate::site::TEAMS;
use crate::tally::Outcome;
use crate::tally::Tally;

/// Callers of each team; with six teams they can keep most of the 128 slots in use.
const CALLERS: usize = 12;
/// Timeout of a caller; a request without an outcome by then counts as lost.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum pause between two requests of one caller, in milliseconds.
const PAUSE_MAX_MS: u64 = 40;

/// A kind of request: its profile, its work in milliseconds, whether it may be repeated.
type Kind = (&'static str, u64, bool);

/// The kinds, from which each request's is drawn uniformly.
const KINDS: [Kind; 5] = [
    ("hold", 20, true),
    ("hold", 30, true),
    ("deposit", 30, false),
    ("check", 5, true),
    ("check", 10, true),
];

/// The running callers.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Stops the callers; each finishes its last request first.
    pub(crate) async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for c in self.callers {
            c.await.expect("a caller does not panic");
        }
    }
}

/// Starts the callers of all teams on the runtime of `site`.
pub(crate) fn start(site: &Site, seed: u64, tally: &Arc<Tally>) -> Load {
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (team, key) in site.keys.iter().enumerate() {
        for n in 0..CALLERS {
            let caller = Caller {
                team: TEAMS[team].0,
                name: format!("{}-{n}", TEAMS[team].0),
                bearer: format!("Bearer {key}"),
                balancer: Arc::clone(&site.balancer),
                rng: StdRng::seed_from_u64(seed ^ ((team * CALLERS + n) as u64) << 32),
                tally: Arc::clone(tally),
            };
            callers.push(site.rt.spawn(caller.run(Arc::clone(&stop))));
        }
    }
    Load { stop, callers }
}

/// A caller of one team.
struct Caller {
    team: &'static str,
    name: String,
    bearer: String,
    balancer: Balancer,
    rng: StdRng,
    tally: Arc<Tally>,
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>) {
        let mut n = 0;
        while !stop.load(Ordering::Relaxed) {
            n += 1;
            let id = format!("{}-{n}", self.name);
            let kind = KINDS[self.rng.random_range(0..KINDS.len())];
            let start = Instant::now();
            let sent = tokio::time::timeout(CALLER_TIMEOUT, self.send(&id, kind)).await;
            let outcome = sent.unwrap_or(Outcome::Lost);
            self.tally.add(id, kind.2, outcome, start.elapsed());
            let pause_ms = self.rng.random_range(0..PAUSE_MAX_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn send(&mut self, id: &str, (profile, work_ms, repeatable): Kind) -> Outcome {
        let work = work_ms.to_string();
        let path = format!("/{profile}/{id}");
        let mut headers = vec![
            ("authorization", self.bearer.as_str()),
            ("profile", profile),
            ("x-team", self.team),
            ("x-work-ms", work.as_str()),
        ];
        // The workers count the runs of non-repeatable requests only, as the others may run more
        // than once.
        if !repeatable {
            headers.push(("idempotency-key", id));
            headers.push(("x-once", id));
        }
        let addr = pick_entry(&self.balancer, &mut self.rng);
        match send_request(addr, "POST", &path, &headers, id).await {
            Some(a) if a.status == 200 && !a.complete => Outcome::MayHaveRun,
            Some(a) if a.status == 200 => match a.body == format!("{path}\n{id}").as_bytes() {
                true => Outcome::Answered,
                false => Outcome::Lost,
            },
            Some(a) => match a.verdict().as_deref() {
                Some("not_run") => Outcome::NotRun,
                Some("may_have_run") => Outcome::MayHaveRun,
                _ => Outcome::Lost,
            },
            // The connection was refused or cut, so the caller sees an error.
            None => Outcome::MayHaveRun,
        }
    }
}

fn pick_entry(balancer: &Balancer, rng: &mut StdRng) -> SocketAddr {
    let list = balancer.lock().expect("the lock is not poisoned");
    list[rng.random_range(0..list.len())]
}
