//! A queue that gets another service, whose former workers leave.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter_standins::site::long_lived_job_body;
use monsoonnotch_adapter_standins::store::Store;
use monsoonnotch_adapter_standins::vm::SharedChecker;

use crate::Finding;
use crate::deployment::Member;
use crate::deployment::Record;
use crate::deployment::Route;
use crate::deployment::VISIBLE;
use crate::deployment::call;
use crate::deployment::call_until_ok;
use crate::deployment::publish;
use crate::deployment::start_all;
use crate::deployment::unlimited;
use crate::deployment::with_trouble;
use crate::fleet::About;
use crate::fleet::start_worker;

const JOB: &str = "/jobs/5c0e7a21d94b36f8";
/// Workers of each service; one that leaves is a share of 0.0625 of them, where the dose of
/// `scale_in` in the site file is 0.065.
const WORKERS: usize = 16;
/// Pause between two workers that leave.
const LEAVE_PAUSE: Duration = Duration::from_secs(1);
/// Time from the draining entry to the end of the worker: `drain-ms`, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_500);

fn route(service: &'static str) -> [Route; 1] {
    [Route {
        prefix: "/jobs/",
        service,
        public: false,
    }]
}

pub async fn run(record: &Record, dir: &Path) -> Finding {
    let store = Store::start().await;
    let checker = SharedChecker::default();
    let mut old = Vec::new();
    for number in 0..2 * WORKERS {
        let domain = ["a", "b", "c"][number % 3];
        let service = if number < WORKERS { "old" } else { "new" };
        let about = About {
            service,
            draining: false,
            cpu: 8_000,
            label: domain,
        };
        let worker = start_worker(number, domain, about, &store, &checker).await;
        if number < WORKERS {
            old.push(worker);
        }
    }
    let tenants = [unlimited("ann", &["key-a"])];
    publish(&store, 1, &route("old"), &tenants);
    let mut members = ["a", "b", "c"].map(|d| Member::new(1, d, store.addr(), dir));
    start_all(&mut members, record).await;
    let addrs = [0, 1, 2].map(|m: usize| members[m].callers);
    let body = long_lived_job_body(4, 500);
    call_until_ok(record, &addrs, "POST", JOB, Some("key-a"), &body).await;
    tokio::time::sleep(VISIBLE).await;
    if with_trouble() {
        publish(&store, 2, &route("new"), &tenants);
        record.add("operator publishes version 2: the queue's service is now `new`");
        tokio::time::sleep(Duration::from_secs(5)).await;
        for worker in &old {
            worker.change(|about| about.draining = true);
            record.add(format!("worker {} of `old` drains", worker.vm.id()));
            tokio::time::sleep(DRAIN).await;
            worker.vm.crash();
            record.add(format!("worker {} has left", worker.vm.id()));
            tokio::time::sleep(LEAVE_PAUSE).await;
        }
    }
    // The rule counts tasks that last from 6 s after their last run.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut nothing_since = None;
    let mut longest = Duration::ZERO;
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        let runs = (0..4).any(|i| {
            let task = format!("{}.0.0.{i}", &JOB["/jobs/".len()..]);
            checker.lock().expect("no panic").runs(&task)
        });
        match runs {
            true => nothing_since = None,
            false => {
                let since = *nothing_since.get_or_insert_with(Instant::now);
                longest = longest.max(since.elapsed());
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for addr in addrs {
        call(record, addr, "GET", JOB, Some("key-a"), "").await;
    }
    for line in &checker.lock().expect("no panic").events {
        record.add(format!("worker event: {line}"));
    }
    Finding {
        broken: longest > Duration::from_secs(3),
        what: format!(
            "no task of the accepted long-running job ran for {:.1} s, with {WORKERS} empty workers of its queue's service",
            longest.as_secs_f64()
        ),
    }
}
