//! Point 8: an upstream that is leaving gets nothing new.

use std::time::Duration;

use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;

/// Time after which a leaving upstream gets no new work.
const NOTHING_NEW: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn point_08_a_leaving_upstream_gets_nothing_new_and_finishes_what_it_has() {
    let platform = Platform::start(6, PROGRAMS).await;
    let tap = platform.proxy_worker(0).await;
    let site = Site::start(platform, 3, "").await;
    let mut plan = site.plan("hold", 24);
    plan.work_ms = 50;
    let load = Load::start(&site.addrs(), &plan);
    wait_until("it gets work", || async {
        tap.non_agent_connections() > 20
    })
    .await;
    site.platform.vms.mark_leaving("vm-0");
    tokio::time::sleep(NOTHING_NEW).await;
    let calls = tap.non_agent_connections();
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(
        tap.non_agent_connections(),
        calls,
        "new work at a leaving upstream"
    );
    assert_eq!(site.platform.workers[0].in_progress(), 0);
    let seen = load.finish().await;
    assert_eq!((seen.cut, seen.no_response), (0, 0), "{seen:?}");
    assert!(seen.refused.keys().all(|v| v == "not_run"), "{seen:?}");
    assert_eq!(
        seen.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
}
