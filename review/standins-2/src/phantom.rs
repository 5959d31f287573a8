//! A worker crashes before the starts of some tasks reach it, and the leader is killed before it
//! knows. Its successor counts that crash against tasks that never ran there.

use std::time::Duration;

use serde_json::json;

use crate::record::Record;
use crate::site;
use crate::site::Plan;
use crate::site::Site;

const CAPACITY: u64 = 64_000;
/// The label of the worker that crashes.
const LABEL: &str = "plotter";
const JOBS: u64 = 24;
const WORK_MS: u64 = 2_500;
/// CPU of each task, in thousandths of a core.
const CPU: u64 = 1_000;
/// From the first crash to the kill of the leader, and to the return of the worker; `srv_crash`
/// lasts for 4.5 s at most.
const KILL_AFTER: Duration = Duration::from_millis(700);
const DARK: Duration = Duration::from_millis(4_000);
/// How long the killed member is down; `node_kill` lasts for 3.5 s at most.
const KILLED: Duration = Duration::from_millis(2_000);
/// From the return of the worker to its second crash, and how long that lasts.
const SECOND_CRASH_AFTER: Duration = Duration::from_millis(4_000);
const DOWN: Duration = Duration::from_millis(1_000);
/// `finish_s` of the sheets.
const FINISH: Duration = Duration::from_secs(14);

fn id(n: u64) -> String {
    format!("{:016x}", 0xa00 + n)
}

pub async fn run(record: &Record, trouble: bool) -> i32 {
    let plan = Plan {
        workers: 12,
        cpu: CAPACITY,
        first_label: Some(LABEL),
        first_config: site::config(3, &[site::route("r-jobs", "/jobs/", 3, false)]),
    };
    let mut site = Site::start(record, plan).await;
    if trouble {
        site.workers[0].crash_dark();
    }
    let spec = json!({"ms": WORK_MS}).to_string();
    let mut step = site::step(1, CPU, WORK_MS, &[]);
    step["required-label"] = json!(LABEL);
    let body = json!({"spec": spec, "phases": [step]}).to_string();
    let crashed = tokio::time::Instant::now();
    for n in 0..JOBS {
        if !site
            .submit(n as usize, &format!("/jobs/{}", id(n)), &body)
            .await
        {
            record.line("a job was not accepted");
            return 2;
        }
    }
    if trouble {
        tokio::time::sleep_until(crashed + KILL_AFTER).await;
        site.kill_leader();
        tokio::time::sleep(KILLED).await;
        site.restart_killed();
        tokio::time::sleep_until(crashed + DARK).await;
        site.workers[0].restart();
        tokio::time::sleep(SECOND_CRASH_AFTER).await;
        site.workers[0].crash();
        tokio::time::sleep(DOWN).await;
        site.workers[0].restart();
    }
    // Nothing else happens, and the work of all jobs takes a few seconds.
    tokio::time::sleep(FINISH * 2).await;
    let (mut falsely, mut completed) = (0, 0);
    for n in 0..JOBS {
        let id = id(n);
        let state = site.state_of(n as usize, &format!("/jobs/{id}")).await;
        let seen = site.tasks_of(&id).into_values().next().unwrap_or_default();
        completed += u32::from(state.as_deref() == Some("completed"));
        if state.as_deref() == Some("failed") {
            record.line(&format!(
                "job {id} is shown as failed: {} starts, {} ended failed, {} ended with their worker",
                seen.starts, seen.failed, seen.gone
            ));
            // Two crashes under a task excuse it.
            falsely += u32::from(seen.failed == 0 && seen.gone < 2);
        }
    }
    record.line(&format!(
        "{completed} of {JOBS} jobs completed, {falsely} are shown as failed without cause"
    ));
    if falsely > 0 {
        record.line("LOST: accepted jobs are shown as failed without cause");
        return 1;
    }
    i32::from(completed < JOBS as u32) * 2
}
