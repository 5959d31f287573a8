//! A job that lasts, and whose tasks always fail, takes all workers from the other jobs.

use std::time::Duration;

use serde_json::json;

use crate::record::Record;
use crate::site;
use crate::site::Plan;
use crate::site::Site;

const CAPACITY: u64 = 64_000;
const WORKERS: usize = 8;
/// CPU of each task, in thousandths of a core.
const CPU: u64 = 1_000;
/// Tasks that last, each of another job, and when their first runs fail.
const FIRST_ENDS_MS: [u64; 8] = [
    20_000, 24_000, 28_000, 32_000, 36_000, 40_000, 44_000, 48_000,
];
/// How long the case looks on.
const TIME: Duration = Duration::from_secs(75);
/// "from 6 s after its last run", and "for 3 s".
const BROKEN_AFTER_S: f64 = 9.0;

pub async fn run(record: &Record, trouble: bool) -> i32 {
    let plan = Plan {
        workers: WORKERS,
        cpu: CAPACITY,
        first_label: None,
        first_config: site::config(3, &[site::route("r-jobs", "/jobs/", 3, false)]),
    };
    let site = Site::start(record, plan).await;
    let long_running = |count: u32, ms: u64| {
        let mut step = site::step(count, CPU, ms, &[]);
        step["long-running"] = json!(true);
        step
    };
    for (n, ms) in FIRST_ENDS_MS.iter().enumerate() {
        let spec = json!({"ms": ms, "fails_once": true}).to_string();
        let body = json!({"spec": spec, "phases": [long_running(1, 500)]}).to_string();
        let path = format!("/jobs/{:016x}", 0xa0 + n);
        if !site.submit(n, &path, &body).await {
            return 2;
        }
    }
    let count = u32::try_from(WORKERS).unwrap_or(8);
    let spec = json!({"ms": 300, "fails": trouble}).to_string();
    let body = json!({"spec": spec, "phases": [long_running(count, 500)]}).to_string();
    if !site.submit(1, "/jobs/00000000000000ff", &body).await {
        return 2;
    }
    let end = tokio::time::Instant::now() + TIME;
    let mut longest = [0.0_f64; FIRST_ENDS_MS.len()];
    while tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let used = site.share_in_use(CPU, CAPACITY);
        for (n, longest) in longest.iter_mut().enumerate() {
            let tasks = site.tasks_of(&format!("{:016x}", 0xa0 + n));
            let Some(seen) = tasks.into_values().next() else {
                continue;
            };
            if seen.running == 0 && used < 0.1 {
                *longest = longest.max(record.now() - seen.last_ended_s);
            }
        }
    }
    let bad = site.tasks_of("00000000000000ff");
    let failed: usize = bad.values().map(|s| s.failed).sum();
    record.line(&format!(
        "the job that always fails: {failed} runs failed; longest time without a run of the others, in s: {longest:.1?}"
    ));
    if longest.iter().any(|s| *s > BROKEN_AFTER_S) {
        record.line(
            "LOST: a task that lasts has no run from 6 s after its last run on, for 3 s and more, \
             while the workers have room",
        );
        return 1;
    }
    0
}
