//! A client of a public queue whose key is taken away.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter_standins::site::long_lived_job_body;
use monsoonnotch_adapter_standins::store::Store;
use monsoonnotch_adapter_standins::vm::SharedChecker;

use crate::Finding;
use crate::deployment::CONFIG_APPLY;
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

const ROUTES: [Route; 1] = [Route {
    prefix: "/watch/",
    service: "pool",
    public: true,
    priority: 0,
}];
const JOB: &str = "/watch/5c0e7a21d94b36f8";

pub async fn run(record: &Record, dir: &Path) -> Finding {
    let store = Store::start().await;
    let checker = SharedChecker::default();
    for (number, domain) in (0..6).zip(["a", "b", "c"].into_iter().cycle()) {
        let about = About {
            service: "pool",
            draining: false,
            cpu: 8_000,
            label: domain,
        };
        start_worker(number, domain, about, &store, &checker).await;
    }
    publish(
        &store,
        1,
        &ROUTES,
        &[unlimited("ann", &["key-old", "key-other"])],
    );
    let mut members = ["a", "b", "c"].map(|d| Member::new(1, d, store.addr(), dir));
    start_all(&mut members, record).await;
    let addrs = [0, 1, 2].map(|m: usize| members[m].callers);
    let body = long_lived_job_body(4, 500);
    call_until_ok(record, &addrs, "POST", JOB, Some("key-old"), &body).await;
    tokio::time::sleep(VISIBLE).await;
    let state = call_until_ok(record, &addrs, "GET", JOB, Some("key-old"), "").await;
    record.add(format!("before: {state}"));
    if with_trouble() {
        publish(&store, 2, &ROUTES, &[unlimited("ann", &["key-other"])]);
        record.add("operator publishes version 2, without key-old");
    }
    // Config and contact times of the sheets, and more.
    tokio::time::sleep(CONFIG_APPLY + Duration::from_millis(4_000)).await;
    let (mut gone, mut asked) = (0, 0);
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        for addr in addrs {
            asked += 1;
            let (status, _) = call(record, addr, "GET", JOB, Some("key-old"), "").await;
            gone += i32::from(status == 410);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    if with_trouble() {
        // The queue needs no key.
        call(record, addrs[0], "GET", JOB, None, "").await;
    }
    let task = format!("{}.0.0.0", &JOB["/watch/".len()..]);
    let runs = checker.lock().expect("no panic").runs(&task);
    record.add(format!("task {task} runs: {runs}"));
    Finding {
        broken: gone > 0,
        what: format!(
            "{gone} of {asked} queries for an accepted job that nobody has cancelled were answered 410; its tasks run: {runs}"
        ),
    }
}
