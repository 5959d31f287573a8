//! Two failures at once.

use std::time::Duration;
use std::time::Instant;

use monsoonnotch_standins::prelude::*;

use crate::processes::TAKEN_OVER;
use crate::processes::held;
use crate::site::PROGRAMS;
use crate::site::Site;

#[tokio::test(flavor = "multi_thread")]
async fn pair_an_entry_dies_while_the_log_is_dark() {
    let platform = Platform::start(8, PROGRAMS).await;
    let mut site = Site::start(platform, 4, "").await;
    // A guard does not vote before it has waited 4.2 s.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let dark = LogFaults {
        unavailable: true,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(dark);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let killed = site.entries.remove(3);
    killed.signal("KILL");
    for _ in 0..8 {
        let before = load.outcomes().answered;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(
            load.outcomes().answered > before,
            "callers at the others wait"
        );
    }
    // Nothing is taken over without the log.
    assert!(held(&site).len() < 8);
    site.platform.log.set_faults(LogFaults::default());
    taken_over(&site, 8).await;
    finish(load, &site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pair_an_entry_dies_while_the_log_loses_replies() {
    let platform = Platform::start(6, PROGRAMS).await;
    let mut site = Site::start(platform, 3, "").await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let lossy = LogFaults {
        lose_response_every: 2,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(lossy);
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let killed = site.entries.remove(2);
    killed.signal("KILL");
    taken_over(&site, 6).await;
    finish(load, &site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pair_an_entry_stops_while_the_log_loses_replies() {
    let platform = Platform::start(6, PROGRAMS).await;
    let mut site = Site::start(platform, 3, "").await;
    let lossy = LogFaults {
        lose_response_every: 2,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(lossy);
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut stopped = site.entries.remove(2);
    stopped.signal("TERM");
    assert!(stopped.exits_successfully(), "a graceful stop");
    load.remove(stopped.callers);
    taken_over(&site, 6).await;
    let seen = finish(load, &site).await;
    assert_eq!((seen.cut, seen.no_response), (0, 0), "{seen:?}");
}

/// Waits until the entries hold all workers.
async fn taken_over(site: &Site, n: usize) {
    let begun = Instant::now();
    while held(site).len() < n {
        assert!(begun.elapsed() < TAKEN_OVER, "held: {:?}", held(site));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Ends the load; what it saw must agree with what the workers saw.
async fn finish(load: Load, site: &Site) -> Outcomes {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let seen = load.finish().await;
    assert!(seen.answered > 0, "{seen:?}");
    // Only what was at a killed entry ended without an answer.
    assert!(seen.no_response + seen.cut <= 12, "{seen:?}");
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert_eq!(
        seen.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
    seen
}
