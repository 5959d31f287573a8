//! The workers with a label are lost for good, and urgent tasks wait for them.

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
const WORKERS: usize = 16;
/// Workers with the label, which are lost: a share of 0.125, where the dose of `srv_crash` in the
/// site file is 0.14.
const LABELLED: usize = 2;
/// CPU capacity of a worker, in thousandths of a core.
const CAPACITY: u64 = 8_000;
/// What the tenant may have running, in thousandths of a core.
const QUOTA: u64 = 20_000;
const URGENT_JOBS: u64 = 6;
const URGENT_TASKS: u64 = 4;
const BATCH: &str = "/batch/5c0e7a21d94b36f8";
const BATCH_TASK: &str = "5c0e7a21d94b36f8.0.0.0";
/// `finish_s` of the sheets.
const FINISH: Duration = Duration::from_secs(14);

fn body(count: u64, work_ms: u64, label: &str) -> String {
    let spec = json!({"cpu": 1_000, "work_ms": work_ms}).to_string();
    let phase = json!({"count": count, "cpu": 1_000, "mem-mb": 64, "est-runtime-ms": work_ms,
        "required-label": label});
    json!({"spec": spec, "phases": [phase]}).to_string()
}

pub async fn run(record: &Record, dir: &Path) -> Finding {
    let store = Store::start().await;
    let checker = SharedChecker::default();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let domain = ["a", "b", "c"][number % 3];
        let about = About {
            service: "pool",
            draining: false,
            cpu: CAPACITY,
            label: if number < LABELLED { "db" } else { "plain" },
        };
        workers.push(start_worker(number, domain, about, &store, &checker).await);
    }
    let route = |prefix, priority| Route {
        prefix,
        service: "pool",
        public: false,
        priority,
    };
    let tenant = Tenant {
        name: "ann",
        keys: &["key-a"],
        cpu: QUOTA,
    };
    let routes = [route("/urgent/", 0), route("/batch/", 2)];
    publish(&store, 1, &routes, &[tenant]);
    let mut members = ["a", "b", "c"].map(|d| Member::new(1, d, store.addr(), dir));
    start_all(&mut members, record).await;
    let addrs = [0, 1, 2].map(|m: usize| members[m].callers);
    for n in 0..URGENT_JOBS {
        let path = format!("/urgent/{:016x}", 0xb00 + n);
        let body = body(URGENT_TASKS, 20_000, "db");
        call_until_ok(record, &addrs, "POST", &path, KEY, &body).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    if with_trouble() {
        for worker in &workers[..LABELLED] {
            worker.vm.crash();
            record.add(format!("worker {} is lost for good", worker.vm.id()));
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    call_until_ok(record, &addrs, "POST", BATCH, KEY, &body(2, 2_000, "")).await;
    tokio::time::sleep(FINISH).await;
    let mut longest = Duration::ZERO;
    let mut since: Option<Instant> = None;
    let until = Instant::now() + Duration::from_secs(30);
    let mut started = false;
    while Instant::now() < until && !started {
        let (used, begun) = {
            let checker = checker.lock().expect("no panic");
            let urgent = (0..URGENT_JOBS).flat_map(|n| (0..URGENT_TASKS).map(move |i| (n, i)));
            let task = |n: u64, i: u64| format!("{:016x}.0.0.{i}", 0xb00 + n);
            let running = urgent.filter(|&(n, i)| checker.runs(&task(n, i)));
            let used = running.count() as u64 * 1_000;
            (used, checker.starts.contains_key(BATCH_TASK))
        };
        started = begun;
        match !started && used < QUOTA / 2 {
            true => {
                let since = *since.get_or_insert_with(Instant::now);
                longest = longest.max(since.elapsed());
            }
            false => since = None,
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    call(record, addrs[0], "GET", BATCH, KEY, "").await;
    for member in &members {
        for line in member.log_lines("stage waiting").into_iter().take(20) {
            record.add(format!("log of {}: {line}", member.name()));
        }
    }
    for line in &checker.lock().expect("no panic").events {
        record.add(format!("worker event: {line}"));
    }
    Finding {
        broken: longest > Duration::from_secs(3),
        what: format!(
            "from 14 s after its acceptance on, the tenant's other job had nothing running for {:.1} s while the tenant used less than half of its quota and at most 2 of 16 workers were busy or lost",
            longest.as_secs_f64()
        ),
    }
}
