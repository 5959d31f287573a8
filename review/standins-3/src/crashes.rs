//! A few workers crash again and again, and come back each time; in one case some starts are also
//! executed late.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::long_lived_job_body;
use monsoonnotch_adapter_standins::store::Store;
use monsoonnotch_adapter_standins::vm::Order;
use monsoonnotch_adapter_standins::vm::SharedChecker;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::Finding;
use crate::deployment::Member;
use crate::deployment::Record;
use crate::deployment::Route;
use crate::deployment::call;
use crate::deployment::call_until_ok;
use crate::deployment::publish;
use crate::deployment::start_all;
use crate::deployment::unlimited;
use crate::deployment::with_trouble;
use crate::fleet::About;
use crate::fleet::Worker;
use crate::fleet::start_worker;

const KEY: Option<&str> = Some("key-a");
/// As many workers as dasom-live has.
const WORKERS: usize = 48;
/// Workers that crash: a share of 0.125, where the dose of `srv_crash` in the site file is 0.14.
const CRASHING: usize = 6;
/// How long one is down; the site file has up to 4.5 s.
const DOWN: Duration = Duration::from_millis(1_000);
/// How long one is up until it crashes again, in milliseconds.
const UP_MS: std::ops::Range<u64> = 500..2_500;
/// After which time a late start is executed, in milliseconds: "2 to 12 s later".
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;
/// Time between two late starts of a worker, in milliseconds. It gets about three starts a second, so
/// that this is a share of 0.055 of them, the dose of `applied_late` in the site file.
const LATE_PAUSE_MS: std::ops::Range<u64> = 4_000..8_000;
/// How long they crash.
const LENGTH: Duration = Duration::from_secs(50);
/// Time between two jobs: 18 a second, as on the sheet.
const JOB_PERIOD: Duration = Duration::from_millis(55);

/// What goes wrong beside the crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Beside {
    Nothing,
    /// Some starts get no answer and are executed late.
    LateStarts,
}

pub async fn run(record: &Record, dir: &Path, beside: Beside) -> Finding {
    let store = Store::start().await;
    let checker = SharedChecker::default();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let domain = ["a", "b", "c"][number % 3];
        let about = About {
            service: "pool",
            draining: false,
            cpu: 8_000,
            label: domain,
        };
        workers.push(start_worker(number, domain, about, &store, &checker).await);
    }
    let routes = [Route {
        prefix: "/jobs/",
        service: "pool",
        public: false,
    }];
    publish(&store, 1, &routes, &[unlimited("ann", &["key-a"])]);
    let domains = ["a", "b", "c"];
    let mut members: Vec<Member> = (0..6)
        .map(|n| Member::new(n, domains[n % 3], store.addr(), dir))
        .collect();
    start_all(&mut members, record).await;
    let addrs: Vec<_> = members.iter().map(|m| m.callers).collect();
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    let seed: u64 = seed.unwrap_or_else(|| rand::rng().random());
    record.add(format!("seed {seed}"));
    let mut rng = StdRng::seed_from_u64(seed);
    let id = |n: u64| format!("/jobs/{:016x}", 0x5c0e_0000_0000_0000 | n);
    let mut jobs = Vec::new();
    for n in 0..6 {
        let body = long_lived_job_body(8, 500);
        call_until_ok(record, &addrs, "POST", &id(n), KEY, &body).await;
        jobs.push(id(n));
    }
    let until = Instant::now() + LENGTH;
    let crashing: Vec<_> = (0..CRASHING)
        .filter(|_| with_trouble())
        .map(|n| {
            let rng = StdRng::seed_from_u64(seed ^ (n as u64 + 1));
            // One of each zone in turn, and none beside another.
            let worker = workers[n * 7].clone();
            tokio::spawn(crash_again_and_again(record.clone(), worker, until, rng))
        })
        .collect();
    if with_trouble() && beside == Beside::LateStarts {
        for (n, worker) in (0_u64..).zip(&workers) {
            let rng = StdRng::seed_from_u64(seed ^ (n + 100));
            tokio::spawn(delay_starts(worker.clone(), until, rng));
        }
    }
    let mut sent = Vec::new();
    let mut n = 100;
    while Instant::now() < until {
        let steps: &[u32] = if rng.random_bool(0.6) { &[6] } else { &[6, 6] };
        let (record, path, body) = (record.clone(), id(n), job_body(steps, 1_000, 640));
        let addrs = addrs.clone();
        let first = rng.random_range(0..addrs.len());
        sent.push(tokio::spawn(async move {
            for attempt in 0..5 {
                let addr = addrs[(first + attempt) % addrs.len()];
                let (status, _) = call(&record, addr, "POST", &path, KEY, &body).await;
                if status == 200 {
                    return Some(path);
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            None
        }));
        n += 1;
        tokio::time::sleep(JOB_PERIOD).await;
    }
    for worker in crashing {
        let _ = worker.await;
    }
    for job in sent {
        jobs.extend(job.await.ok().flatten());
    }
    // `finish_s` of the sheet.
    tokio::time::sleep(Duration::from_secs(14)).await;
    let mut states: BTreeMap<String, u32> = BTreeMap::new();
    let mut failed = Vec::new();
    for (n, job) in jobs.iter().enumerate() {
        let (status, state) = call(record, addrs[n % addrs.len()], "GET", job, KEY, "").await;
        *states.entry(format!("{status} {state}")).or_default() += 1;
        if state == "failed" {
            failed.push(job.clone());
        }
    }
    let checker = checker.lock().expect("no panic");
    let failed_ends = checker.events.iter().filter(|e| e.contains(" failed "));
    let failed_ends = failed_ends.count();
    for line in &checker.events {
        record.add(format!("worker event: {line}"));
    }
    for member in &members {
        for line in member.log_lines("poison task") {
            record.add(format!("log of {}: {line}", member.name()));
        }
    }
    if beside == Beside::LateStarts {
        let twice = checker.violations.iter();
        let twice =
            twice.filter(|v| v.contains("after it was done") || v.contains("more than once"));
        let twice: Vec<&String> = twice.collect();
        let late = checker
            .events
            .iter()
            .filter(|e| e.contains("executed /run-start late"));
        return Finding {
            broken: !twice.is_empty(),
            what: format!(
                "{} of {} starts were of tasks that ran or had been done, {} starts were executed late; the first: {:?}",
                twice.len(),
                checker.starts.values().sum::<u64>(),
                late.count(),
                twice.first(),
            ),
        };
    }
    Finding {
        broken: !failed.is_empty() && failed_ends == 0,
        what: format!(
            "{} of {} accepted jobs are shown as failed ({}), and workers listed {failed_ends} ends `failed`; states {states:?}",
            failed.len(),
            jobs.len(),
            failed.join(" "),
        ),
    }
}

/// Crashes a worker again and again; it comes back empty each time.
async fn crash_again_and_again(record: Record, worker: Worker, until: Instant, mut rng: StdRng) {
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_range(UP_MS))).await;
        worker.vm.crash();
        record.add(format!("worker {} crashes", worker.vm.id()));
        tokio::time::sleep(DOWN).await;
        worker.vm.restart();
        record.add(format!("worker {} is back", worker.vm.id()));
    }
}

/// Lets some starts of a worker get no answer and be executed late.
async fn delay_starts(worker: Worker, until: Instant, mut rng: StdRng) {
    let random_ms = |rng: &mut StdRng, range| Duration::from_millis(rng.random_range(range));
    tokio::time::sleep(random_ms(&mut rng, 0..LATE_PAUSE_MS.end)).await;
    while Instant::now() < until {
        let delay = random_ms(&mut rng, LATE_MS);
        worker.vm.delay_next(Order::Start, delay);
        tokio::time::sleep(random_ms(&mut rng, LATE_PAUSE_MS)).await;
    }
}
