//! A worker answers starts with 503 for some seconds; jobs that wait for it aren't counted.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::record::Record;
use crate::site;
use crate::site::Plan;
use crate::site::Site;

const CAPACITY: u64 = 64_000;
/// The label of the worker that the jobs need.
const LABEL: &str = "plotter";
const JOBS: u64 = 10;
/// How long the worker is unhealthy: `srv_grey` on the sheet's site lasts for 6.5 s at most.
const GREY: Duration = Duration::from_millis(6_400);
/// `visible_ms` and 2 s.
const COUNTED_AFTER: Duration = Duration::from_millis(5_000);

pub async fn run(record: &Record, trouble: bool) -> i32 {
    let plan = Plan {
        workers: 12,
        cpu: CAPACITY,
        first_label: Some(LABEL),
        first_config: site::config(3, &[site::route("r-jobs", "/jobs/", 3, false)]),
    };
    let site = Site::start(record, plan).await;
    let worker = &site.workers[0];
    // Without the disruption the worker is healthy, but too small for the jobs until it has room:
    // one job fills it for as long.
    let fill = json!({"ms": GREY.as_millis() as u64}).to_string();
    let mut step = site::step(1, CAPACITY, GREY.as_millis() as u64, &[]);
    step["required-label"] = json!(LABEL);
    let fill = json!({"spec": fill, "phases": [step]}).to_string();
    if trouble {
        worker.set_unhealthy(true);
    } else if !site.submit(0, "/jobs/00000000000000ff", &fill).await {
        return 2;
    }
    let began = Instant::now();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let spec = json!({"ms": 300}).to_string();
    let mut step = site::step(1, 1_000, 300, &[]);
    step["required-label"] = json!(LABEL);
    let body = json!({"spec": spec, "phases": [step]}).to_string();
    for n in 0..JOBS {
        let path = format!("/jobs/{:016x}", 0xa0 + n);
        if !site.submit(n as usize, &path, &body).await {
            record.line("a job was not accepted");
            return 2;
        }
    }
    let accepted = Instant::now();
    tokio::time::sleep_until((accepted + COUNTED_AFTER).into()).await;
    let (mut broken, mut asked, mut member) = (0, 0, 0);
    while began.elapsed() < GREY {
        let begun = (0..JOBS).filter(|n| !site.tasks_of(&format!("{:016x}", 0xa0 + n)).is_empty());
        let waiting = JOBS - begun.count() as u64;
        let answer = site.call(member, "GET", "/jobs/", "").await;
        let body: Option<Value> = answer.and_then(|r| serde_json::from_slice(&r.body).ok());
        if let Some(pending) = body.as_ref().and_then(|b| b["pending"].as_u64()) {
            asked += 1;
            if pending * 2 < waiting {
                broken += 1;
                record.line(&format!(
                    "pending is {pending}, but {waiting} jobs have not begun"
                ));
            }
        }
        member += 1;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    worker.set_unhealthy(false);
    tokio::time::sleep(Duration::from_secs(14)).await;
    let done = (0..JOBS).filter(|n| {
        let tasks = site.tasks_of(&format!("{:016x}", 0xa0 + n));
        tasks.values().any(|s| s.done > 0)
    });
    record.line(&format!(
        "{broken} of {asked} answers gave under half; later {} of {JOBS} jobs were run",
        done.count()
    ));
    match (asked, broken) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => {
            record.line(
                "MIXED: machines in touch give as pending under half of the jobs that were \
                 accepted over visible_ms + 2 s before and haven't begun",
            );
            1
        }
    }
}
