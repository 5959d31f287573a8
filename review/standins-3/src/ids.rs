//! Clients that write the hexadecimal digits of their job ids in capitals.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::store::Store;
use monsoonnotch_adapter_standins::vm::SharedChecker;

use crate::Finding;
use crate::deployment::Member;
use crate::deployment::Record;
use crate::deployment::Route;
use crate::deployment::call;
use crate::deployment::call_until_ok;
use crate::deployment::publish;
use crate::deployment::start_all;
use crate::deployment::unlimited;
use crate::deployment::with_trouble;
use crate::fleet::About;
use crate::fleet::start_worker;

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
    }];
    publish(
        &store,
        1,
        &routes,
        &[unlimited("ann", &["key-a"]), unlimited("bob", &["key-b"])],
    );
    let mut members = ["a", "b", "c"].map(|d| Member::new(1, d, store.addr(), dir));
    start_all(&mut members, record).await;
    let addrs = [0, 1, 2].map(|m: usize| members[m].callers);
    let ids = match with_trouble() {
        true => ["5C0E7A21D94B36F8", "5c0e7a21d94b36f8"],
        false => ["5c0e7a21d94b36f9", "5c0e7a21d94b36f8"],
    };
    let keys = ["key-a", "key-b"];
    for (id, key) in ids.into_iter().zip(keys) {
        let path = format!("/jobs/{id}");
        call_until_ok(
            record,
            &addrs,
            "POST",
            &path,
            Some(key),
            &job_body(&[3], 500, 500),
        )
        .await;
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut gone = 0;
    for (id, key) in ids.into_iter().zip(keys) {
        let (status, _) = call(
            record,
            addrs[0],
            "GET",
            &format!("/jobs/{id}"),
            Some(key),
            "",
        )
        .await;
        gone += i32::from(status == 410);
    }
    let checker = checker.lock().expect("no panic");
    for line in &checker.events {
        record.add(format!("worker event: {line}"));
    }
    let started: BTreeSet<&str> = checker.starts.keys().map(|t| &t[..16]).collect();
    let unasked: Vec<&&str> = started.iter().filter(|id| !ids.contains(id)).collect();
    let never: Vec<&&str> = ids.iter().filter(|id| !started.contains(**id)).collect();
    Finding {
        broken: gone > 0 || !never.is_empty(),
        what: format!(
            "jobs sent and accepted: {ids:?}; workers were told to start tasks of {started:?}; never started: {never:?}; not sent by a client: {unasked:?}; accepted jobs answered 410: {gone}"
        ),
    }
}
