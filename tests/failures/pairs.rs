//! Pairs of simultaneous failures: an entry ends while the log is unavailable or loses responses.
//!
//! The remaining entries must keep serving their callers and take over the
//! workers without a request running twice.

use std::time::Duration;
use std::time::Instant;

use monsoonnotch_standins::prelude::*;

use crate::processes::TAKEOVER_MAX;
use crate::processes::held_workers;
use crate::site::PROGRAMS;
use crate::site::Site;

#[tokio::test(flavor = "multi_thread")]
async fn pair_an_entry_dies_while_the_log_is_unavailable() {
    let platform = Platform::start(8, PROGRAMS).await;
    let mut site = Site::start(platform, 4, "").await;
    // A new guard waits 4.2 s before it may vote.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let unavailable = LogFaults {
        unavailable: true,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(unavailable);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let killed = site.entries.remove(3);
    killed.signal("KILL");
    for _ in 0..8 {
        let before = load.outcomes().answered;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(
            load.outcomes().answered > before,
            "callers of the other entries get no response"
        );
    }
    // No worker is taken over while the log is unavailable.
    assert!(held_workers(&site).len() < 8);
    site.platform.log.set_faults(LogFaults::default());
    wait_all_held(&site, 8).await;
    finish(load, &site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pair_an_entry_dies_while_the_log_loses_responses() {
    let platform = Platform::start(6, PROGRAMS).await;
    let mut site = Site::start(platform, 3, "").await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let faults = LogFaults {
        lose_response_every: 2,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(faults);
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let killed = site.entries.remove(2);
    killed.signal("KILL");
    wait_all_held(&site, 6).await;
    finish(load, &site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pair_an_entry_stops_while_the_log_loses_responses() {
    let platform = Platform::start(6, PROGRAMS).await;
    let mut site = Site::start(platform, 3, "").await;
    let faults = LogFaults {
        lose_response_every: 2,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(faults);
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut stopped = site.entries.remove(2);
    stopped.signal("TERM");
    assert!(stopped.exits_successfully(), "the stop is not graceful");
    load.remove(stopped.callers);
    wait_all_held(&site, 6).await;
    let outcomes = finish(load, &site).await;
    assert_eq!((outcomes.cut, outcomes.no_response), (0, 0), "{outcomes:?}");
}

/// Waits until the entries together hold `n` workers.
async fn wait_all_held(site: &Site, n: usize) {
    let begun = Instant::now();
    while held_workers(site).len() < n {
        assert!(
            begun.elapsed() < TAKEOVER_MAX,
            "workers held: {:?}",
            held_workers(site)
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Ends the load and asserts that the callers' outcomes agree with the runs that the workers
/// counted.
async fn finish(load: Load, site: &Site) -> Outcomes {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let outcomes = load.finish().await;
    assert!(outcomes.answered > 0, "{outcomes:?}");
    // Only requests at a killed entry end without a response; the load has 12 callers.
    assert!(outcomes.no_response + outcomes.cut <= 12, "{outcomes:?}");
    assert_eq!(outcomes.wrong, Vec::<String>::new());
    assert_eq!(
        outcomes.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
    outcomes
}
