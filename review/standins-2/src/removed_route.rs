//! A configuration removes the route of a job that was accepted.

use std::time::Duration;

use serde_json::json;

use crate::record::Record;
use crate::site;
use crate::site::Plan;
use crate::site::Site;

const CAPACITY: u64 = 64_000;
/// `max-attempts` of the queue without advice.
const ATTEMPTS: u32 = 3;
/// `finish_s` of the sheets.
const FINISH: Duration = Duration::from_secs(14);
/// The rule's "for 3 s", looked at in ten parts.
const LOOKS: u32 = 10;
/// CPU of each task, in thousandths of a core.
const CPU: u64 = 1_000;

pub async fn run(record: &Record, trouble: bool) -> i32 {
    let kept = site::route("r-kept", "/kept/", ATTEMPTS, false);
    let advised = site::route("r-advised", "/advised/", ATTEMPTS, true);
    let failing = site::route("r-failing", "/failing/", ATTEMPTS, false);
    let all = [kept.clone(), advised.clone(), failing.clone()];
    let plan = Plan {
        workers: 12,
        cpu: CAPACITY,
        first_label: None,
        first_config: site::config(3, &all),
    };
    let site = Site::start(record, plan).await;
    let (id, other) = ("00000000000000a1", "00000000000000b2");
    let spec = json!({"ms": 2_000, "ticket": true}).to_string();
    let steps = [
        site::step(2, CPU, 2_000, &[]),
        site::step(2, CPU, 2_000, &[0]),
    ];
    let body = json!({"spec": spec, "phases": steps}).to_string();
    if !site.submit(0, &format!("/advised/{id}"), &body).await {
        record.line("the job was not accepted");
        return 2;
    }
    let spec = json!({"ms": 900, "fails": true}).to_string();
    let body = json!({"spec": spec, "phases": [site::step(1, CPU, 900, &[])]}).to_string();
    if !site.submit(1, &format!("/failing/{other}"), &body).await {
        record.line("the other job was not accepted");
        return 2;
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    // Version 7 removes two routes; without the disruption it changes a time-out only.
    let next = match trouble {
        true => site::config(7, &[kept]),
        false => {
            let mut kept = kept;
            kept["target-completion-ms"] = json!(400);
            site::config(7, &[kept, advised, failing])
        }
    };
    site.publish(&next);
    tokio::time::sleep(FINISH).await;
    let second = format!("{id}.0.1.");
    let (mut idle, mut started) = (true, 0);
    for _ in 0..LOOKS {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let tasks = site.tasks_of(id);
        let running: usize = tasks.values().map(|s| s.running).sum();
        let later = tasks.iter().filter(|(task, _)| task.starts_with(&second));
        started = later.map(|(_, seen)| seen.starts).sum();
        let used = site.share_in_use(CPU, CAPACITY);
        idle &= running == 0 && started == 0 && used < 0.1;
    }
    let first_done = (0..2).all(|i| {
        let tasks = site.tasks_of(id);
        tasks
            .get(&format!("{id}.0.0.{i}"))
            .is_some_and(|s| s.done > 0)
    });
    record.line(&format!(
        "job {id}: its first step has ended done: {first_done}; starts of the second step: {started}"
    ));
    let runs = site
        .tasks_of(other)
        .into_values()
        .next()
        .unwrap_or_default();
    record.line(&format!(
        "job {other}: {} starts, {} runs have ended failed, max-attempts {ATTEMPTS}",
        runs.starts, runs.failed
    ));
    if runs.starts > ATTEMPTS as usize {
        record.line("BUDGET, beside the rule of this case: starts after max-attempts failed runs");
    }
    if !first_done {
        return 2;
    }
    if idle {
        record.line(
            "LOST: for 3 s, finish_s after the end of the traffic, an accepted job has nothing \
             running while the turn of its second step has come and the workers are idle",
        );
        return 1;
    }
    0
}
