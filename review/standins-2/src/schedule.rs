//! A job with times whose stored progress outgrows a record of the store.

use std::time::Duration;

use serde_json::json;

use crate::record::Record;
use crate::site;
use crate::site::Plan;
use crate::site::Site;
use crate::worker::unix_ms;

/// Capacity of a worker, in thousandths of a core.
const CAPACITY: u64 = 64_000;
/// Number of steps of the job with times, and of its occurrences.
const STEPS: u32 = 12;
const REPEATS: u32 = 500;
/// The same without the disruption: an eighth of the work, over the same time.
const REPEATS_QUIET: u32 = 60;
/// Time over which the occurrences are due.
const SPAN_MS: u64 = 60_000;
/// Time for the last occurrences to end.
const REST: Duration = Duration::from_secs(4);
/// `finish_s` of the sheets.
const FINISH: Duration = Duration::from_secs(14);
/// The rule's "for 3 s", looked at in ten parts.
const LOOKS: u32 = 10;

pub async fn run(record: &Record, trouble: bool) -> i32 {
    let routes = [site::route("r-jobs", "/jobs/", 3, false)];
    let plan = Plan {
        workers: 8,
        cpu: CAPACITY,
        first_label: None,
        first_config: site::config(1, &routes),
    };
    let site = Site::start(record, plan).await;
    let spec = json!({"ms": 20}).to_string();
    let repeats = if trouble { REPEATS } else { REPEATS_QUIET };
    let steps: Vec<_> = (0..STEPS).map(|_| site::step(1, 100, 20, &[])).collect();
    let body = json!({
        "spec": spec, "phases": steps, "repeats": repeats, "start-at-ms": unix_ms() + 500,
        "interval-ms": SPAN_MS / u64::from(repeats),
    });
    if !site
        .submit(0, "/jobs/00000000000000a1", &body.to_string())
        .await
    {
        record.line("the job with times was not accepted");
        return 2;
    }
    tokio::time::sleep(Duration::from_millis(SPAN_MS)).await;
    tokio::time::sleep(REST).await;
    let ends: usize = site
        .tasks_of("00000000000000a1")
        .values()
        .map(|s| s.done)
        .sum();
    record.line(&format!(
        "the job with times: {ends} tasks of {} have ended done",
        STEPS * repeats
    ));
    // A job whose one task fails once, by its own fault, and may be tried three times.
    let spec = json!({"ms": 300, "fails_once": true}).to_string();
    let body = json!({"spec": spec, "phases": [site::step(1, 1_000, 300, &[])]});
    let id = "00000000000000b2";
    if !site
        .submit(1, &format!("/jobs/{id}"), &body.to_string())
        .await
    {
        record.line("the second job was not accepted");
        return 2;
    }
    tokio::time::sleep(FINISH).await;
    let mut idle = true;
    for look in 0..LOOKS {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let seen = site.tasks_of(id).into_values().next().unwrap_or_default();
        let used = site.share_in_use(100, CAPACITY);
        idle &= seen.running == 0 && seen.done == 0 && used < 0.1;
        if look == LOOKS - 1 {
            record.line(&format!(
                "job {id}: starts {}, failed {}, done {}, running {}; {:.1}% of the room in use",
                seen.starts,
                seen.failed,
                seen.done,
                seen.running,
                used * 100.0
            ));
        }
    }
    let state = site.state_of(2, &format!("/jobs/{id}")).await;
    record.line(&format!("job {id} is shown as {state:?}"));
    if idle {
        record.line(
            "LOST: for 3 s, finish_s after the end of the traffic, an accepted job has nothing \
             running while its task's turn has come and the workers are idle",
        );
        return 1;
    }
    i32::from(state.as_deref() != Some("completed")) * 2
}
