//! Point 8: an upstream that is marked as leaving gets no new requests.

use std::time::Duration;

use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;

/// Maximum time from marking an upstream as leaving until it gets no new requests.
const NO_NEW_REQUESTS_AFTER: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn point_08_a_leaving_upstream_gets_no_new_requests_and_finishes_those_in_progress() {
    let platform = Platform::start(6, PROGRAMS).await;
    let proxy = platform.proxy_worker(0).await;
    let site = Site::start(platform, 3, "").await;
    let mut plan = site.plan("hold", 24);
    plan.work_ms = 50;
    let load = Load::start(&site.addrs(), &plan);
    wait_until("the upstream gets requests", || async {
        proxy.non_agent_connections() > 20
    })
    .await;
    site.platform.vms.mark_leaving("vm-0");
    tokio::time::sleep(NO_NEW_REQUESTS_AFTER).await;
    let connections_before = proxy.non_agent_connections();
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(
        proxy.non_agent_connections(),
        connections_before,
        "a leaving upstream got new requests"
    );
    assert_eq!(site.platform.workers[0].in_progress(), 0);
    let outcomes = load.finish().await;
    assert_eq!((outcomes.cut, outcomes.no_response), (0, 0), "{outcomes:?}");
    assert!(
        outcomes.refused.keys().all(|v| v == "not_run"),
        "{outcomes:?}"
    );
    assert_eq!(
        outcomes.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
}
