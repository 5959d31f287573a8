//! Points 2 and 3: no request runs twice and no worker is overloaded.
//!
//! Entries are killed or paused under load, or the log is unavailable to all of
//! them. A paused entry is the dangerous case: it resumes after its eviction,
//! when others already use its workers.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;

/// Maximum time from the kill of an entry until others use its workers.
///
/// It is the sum of 1.5 s without a ping, 2.1 s for the last promise to expire, two votes through
/// the log, 2.85 s until the successor may use the workers, and two reports of each worker. The
/// sum is doubled because the machine that runs the tests may be slow.
pub(crate) const TAKEOVER_MAX: Duration = Duration::from_secs(25);

#[tokio::test(flavor = "multi_thread")]
async fn point_02_the_workers_of_a_killed_entry_are_taken_over() {
    let platform = Platform::start(9, PROGRAMS).await;
    let mut site = Site::start(platform, 3, "").await;
    // A new guard waits 4.2 s before it may vote.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let killed = site.entries.remove(2);
    killed.signal("KILL");
    let begun = Instant::now();
    while held_workers(&site).len() < 9 {
        assert!(
            begun.elapsed() < TAKEOVER_MAX,
            "workers held: {:?}",
            held_workers(&site)
        );
        let before = load.outcomes().answered;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(
            load.outcomes().answered > before,
            "callers of the other entries get no response"
        );
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let outcomes = load.finish().await;
    // Only requests at the killed entry end without a response; the load has 12 callers.
    assert!(outcomes.no_response + outcomes.cut <= 12, "{outcomes:?}");
    assert_eq!(outcomes.wrong, Vec::<String>::new());
    assert_eq!(
        outcomes.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_02_an_entry_paused_twice_under_load_breaks_nothing() {
    let platform = Platform::start(9, PROGRAMS).await;
    let site = Site::start(platform, 3, "").await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut plan = site.plan("hold", 12);
    // With the timeout of 20 s that `plan` sets, all callers would soon wait for the paused entry.
    plan.timeout = Duration::from_secs(3);
    let load = Load::start(&site.addrs(), &plan);
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let member_before = site.entries[1].ctl_json(&["state"])["member"].clone();
        // This request is in progress while the entry is paused and must still get a complete
        // response.
        let pending_request = start_request(&site, 1, 4_000);
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.entries[1].signal("STOP");
        tokio::time::sleep(Duration::from_secs(15)).await;
        let before = load.outcomes().answered;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(
            load.outcomes().answered > before,
            "callers of the other entries get no response"
        );
        site.entries[1].signal("CONT");
        let response = pending_request
            .await
            .expect("the caller does not panic")
            .expect("a response");
        assert!(response.complete && response.status == 200, "{response:?}");
        wait_ready(&site.entries[1]).await;
        let member_after = site.entries[1].ctl_json(&["state"])["member"].clone();
        assert_ne!(
            member_before, member_after,
            "the paused entry was not evicted"
        );
    }
    let outcomes = load.finish().await;
    assert_eq!(outcomes.wrong, Vec::<String>::new());
    assert_eq!(
        outcomes.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_02_a_log_unavailable_to_all_entries_stops_no_short_request() {
    let platform = Platform::start(8, PROGRAMS).await;
    // With four entries each has three guards, whose promises keep it certain without the log.
    let site = Site::start(platform, 4, "").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let unavailable = |is_unavailable| LogFaults {
        unavailable: is_unavailable,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(unavailable(true));
    tokio::time::sleep(Duration::from_secs(4)).await;
    for _ in 0..16 {
        let before = load.outcomes().answered;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(load.outcomes().answered > before, "callers get no response");
    }
    site.platform.log.set_faults(unavailable(false));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcomes = load.finish().await;
    assert_eq!((outcomes.cut, outcomes.no_response), (0, 0), "{outcomes:?}");
    assert_eq!(outcomes.wrong, Vec::<String>::new());
    assert_eq!(
        outcomes.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
    site.entries[0].publish_profile("after", "lane = \"short\"\n");
}

/// Returns the names of the workers that are held by an entry that has a report of them.
pub(crate) fn held_workers(site: &Site) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for e in &site.entries {
        let state = e.ctl_json(&["state"]);
        let vms = state["vms"].as_array().expect("a list").clone();
        let reported = vms.iter().filter(|v| v["known"] == true);
        names.extend(reported.map(|v| v["info"]["name"].to_string()));
    }
    names
}

/// Starts a request that takes `work_ms` at its upstream.
fn start_request(
    site: &Site,
    entry: usize,
    work_ms: u64,
) -> tokio::task::JoinHandle<Option<Response>> {
    let addr = site.addr(entry);
    let bearer = format!("Bearer {}", site.key);
    tokio::spawn(async move {
        let work = work_ms.to_string();
        let headers = [
            ("authorization", bearer.as_str()),
            ("profile", "watch"),
            ("x-work-ms", &work),
        ];
        send_request(addr, "GET", "/paused", &headers, "").await
    })
}
