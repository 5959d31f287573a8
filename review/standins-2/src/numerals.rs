//! A client writes the hexadecimal digits of its job's ID in capitals.

use std::time::Duration;

use serde_json::json;

use crate::record::Record;
use crate::site;
use crate::site::Plan;
use crate::site::Site;

pub async fn run(record: &Record, trouble: bool) -> i32 {
    let plan = Plan {
        workers: 4,
        cpu: 64_000,
        first_label: None,
        first_config: site::config(3, &[site::route("r-jobs", "/jobs/", 3, false)]),
    };
    let site = Site::start(record, plan).await;
    let id = match trouble {
        true => "5C0E7A21D94B36F8",
        false => "5c0e7a21d94b36f8",
    };
    let spec = json!({"ms": 300}).to_string();
    let body = json!({"spec": spec, "phases": [site::step(2, 1_000, 300, &[])]}).to_string();
    if !site.submit(0, &format!("/jobs/{id}"), &body).await {
        record.line("the job was not accepted");
        return 2;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    site.state_of(1, &format!("/jobs/{id}")).await;
    let told: Vec<String> = site.tasks_of("").into_keys().collect();
    let unasked: Vec<&String> = told.iter().filter(|t| !t.starts_with(id)).collect();
    record.line(&format!("sent: {id}; started: {told:?}"));
    if told.is_empty() {
        return 2;
    }
    if !unasked.is_empty() {
        record.line("UNASKED: workers were told to start what no client sent");
        return 1;
    }
    0
}
