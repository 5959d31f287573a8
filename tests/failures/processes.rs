//! Points 2 and 3: nothing runs twice or too much while entries die or pause under
//! load, or the log is dark for all.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;

/// Longest time from the death of an entry to the use of its workers by others.
///
/// Silence of 1.5 s and the last promise of 2.1 s, two votes through the log,
/// 2.85 s until the heir may use the workers, and two reports of each of them;
/// doubled, because a machine under test is slow.
pub(crate) const TAKEN_OVER: Duration = Duration::from_secs(25);

#[tokio::test(flavor = "multi_thread")]
async fn point_02_the_workers_of_a_killed_entry_are_taken_over() {
    let platform = Platform::start(9, PROGRAMS).await;
    let mut site = Site::start(platform, 3, "").await;
    // A guard does not vote before it has waited 4.2 s.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let killed = site.entries.remove(2);
    killed.signal("KILL");
    let begun = Instant::now();
    while held(&site).len() < 9 {
        assert!(begun.elapsed() < TAKEN_OVER, "held: {:?}", held(&site));
        let before = load.outcomes().answered;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(
            load.outcomes().answered > before,
            "callers at the others wait"
        );
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let seen = load.finish().await;
    // Only what was at the killed entry ended without an answer.
    assert!(seen.no_response + seen.cut <= 12, "{seen:?}");
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert_eq!(
        seen.contradictions(&site.platform.checker),
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
    // Otherwise all callers soon wait for the paused entry.
    plan.timeout = Duration::from_secs(3);
    let load = Load::start(&site.addrs(), &plan);
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let member = site.entries[1].ctl_json(&["state"])["member"].clone();
        // In progress at the paused entry; its answer comes whole all the same.
        let long = in_progress(&site, 1, 4_000);
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.entries[1].signal("STOP");
        tokio::time::sleep(Duration::from_secs(15)).await;
        let before = load.outcomes().answered;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(
            load.outcomes().answered > before,
            "callers at the others wait"
        );
        site.entries[1].signal("CONT");
        let answer = long.await.expect("no caller panics").expect("an answer");
        assert!(answer.complete && answer.status == 200, "{answer:?}");
        wait_ready(&site.entries[1]).await;
        let now = site.entries[1].ctl_json(&["state"])["member"].clone();
        assert_ne!(member, now, "it was evicted and is a new member");
    }
    let seen = load.finish().await;
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert_eq!(
        seen.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_02_a_log_dark_for_all_stops_no_short_request() {
    let platform = Platform::start(8, PROGRAMS).await;
    // Three guards each, so that they vouch for one another.
    let site = Site::start(platform, 4, "").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let dark = |dark| LogFaults {
        unavailable: dark,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(dark(true));
    tokio::time::sleep(Duration::from_secs(4)).await;
    for _ in 0..16 {
        let before = load.outcomes().answered;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(load.outcomes().answered > before, "callers wait");
    }
    site.platform.log.set_faults(dark(false));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let seen = load.finish().await;
    assert_eq!((seen.cut, seen.no_response), (0, 0), "{seen:?}");
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert_eq!(
        seen.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
    site.entries[0].publish_profile("after", "lane = \"short\"\n");
}

/// The workers that the entries hold and know.
pub(crate) fn held(site: &Site) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for e in &site.entries {
        let state = e.ctl_json(&["state"]);
        let vms = state["vms"].as_array().expect("a list").clone();
        let known = vms.iter().filter(|v| v["known"] == true);
        names.extend(known.map(|v| v["info"]["name"].to_string()));
    }
    names
}

/// A request that takes `work_ms`.
fn in_progress(
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
