//! A tenant's quota falls below what one task of an accepted job needs.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter_standins::store::Store;
use monsoonnotch_adapter_standins::vm::SharedChecker;
use serde_json::json;

use crate::Finding;
use crate::deployment::Member;
use crate::deployment::Record;
use crate::deployment::Route;
use crate::deployment::Tenant;
use crate::deployment::call;
use crate::deployment::call_until_ok;
use crate::deployment::publish;
use crate::deployment::start_all;
use crate::deployment::with_trouble;
use crate::fleet::About;
use crate::fleet::start_worker;

const KEY: Option<&str> = Some("key-a");
const JOB: &str = "/jobs/5c0e7a21d94b36f8";
/// The quota before and after the change, in thousandths of a core.
const QUOTAS: [u64; 2] = [20_000, 3_000];

fn tenant(quota: u64) -> [Tenant; 1] {
    [Tenant {
        name: "ann",
        keys: &["key-a"],
        cpu: quota,
    }]
}

pub async fn run(record: &Record, dir: &Path) -> Finding {
    let store = Store::start().await;
    let checker = SharedChecker::default();
    for number in 0..6 {
        let domain = ["a", "b", "c"][number % 3];
        let about = About {
            service: "pool",
            draining: false,
            cpu: 8_000,
            label: domain,
        };
        start_worker(number, domain, about, &store, &checker).await;
    }
    let routes = [Route {
        prefix: "/jobs/",
        service: "pool",
        public: false,
        priority: 0,
    }];
    publish(&store, 1, &routes, &tenant(QUOTAS[0]));
    let mut members = ["a", "b", "c"].map(|d| Member::new(1, d, store.addr(), dir));
    start_all(&mut members, record).await;
    let addrs = [0, 1, 2].map(|m: usize| members[m].callers);
    let first = json!({"count": 2, "cpu": 1_000, "mem-mb": 64, "est-runtime-ms": 4_000});
    let second = json!({"count": 1, "cpu": 4_000, "mem-mb": 64, "est-runtime-ms": 4_000,
        "depends-on": [0]});
    let spec = json!({"cpu": 1_000, "work_ms": 4_000}).to_string();
    let body = json!({"spec": spec, "phases": [first, second]}).to_string();
    call_until_ok(record, &addrs, "POST", JOB, KEY, &body).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    if with_trouble() {
        publish(&store, 2, &routes, &tenant(QUOTAS[1]));
        record.add(format!(
            "operator publishes version 2: max-count is {QUOTAS:?}"
        ));
    }
    // The first step ends after 4 s; then nothing hinders the second.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let until = Instant::now() + Duration::from_secs(20);
    let mut state = String::new();
    while Instant::now() < until && state != "completed" {
        (_, state) = call(record, addrs[0], "GET", JOB, KEY, "").await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let checker = checker.lock().expect("no panic");
    for line in &checker.events {
        record.add(format!("worker event: {line}"));
    }
    let started = checker.starts.contains_key("5c0e7a21d94b36f8.0.1.0");
    Finding {
        broken: state != "completed" && !started,
        what: format!(
            "state {state}; the last task has started: {started}; the tenant runs nothing else, and 6 workers are empty"
        ),
    }
}
