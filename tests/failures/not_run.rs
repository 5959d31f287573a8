//! Point 7: the verdict "not run" is always true, and a non-repeatable request runs at most once.
//!
//! Faults on the connection to the upstream leave it unknown whether a request
//! ran. A non-repeatable request must not be sent again then.

use std::time::Duration;

use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;
use crate::site::reason;
use crate::site::start_proxied_platform;

/// A fault on the connection to the upstream and the refusal that must follow.
struct Case {
    what: &'static str,
    fault: Fault,
    verdict: &'static str,
    reason: u64,
    /// Minimum number of times that a repeatable request is sent.
    attempts: u64,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            what: "connection cut before the request is read",
            fault: Fault::CutRequest,
            verdict: "may_have_run",
            reason: 302,
            attempts: 3,
        },
        Case {
            what: "connection cut in the middle of the request",
            fault: Fault::CutRequestAfter(40),
            verdict: "may_have_run",
            reason: 302,
            attempts: 3,
        },
        Case {
            what: "connection cut after the request, before any response",
            fault: Fault::CutResponseAfter(0),
            verdict: "may_have_run",
            reason: 302,
            attempts: 3,
        },
        Case {
            what: "connection cut in the middle of the response",
            fault: Fault::CutResponseAfter(10),
            verdict: "may_have_run",
            reason: 302,
            attempts: 3,
        },
        Case {
            what: "upstream does not respond",
            fault: Fault::WithholdResponse,
            verdict: "may_have_run",
            reason: 303,
            attempts: 1,
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn point_07_a_non_repeatable_request_is_sent_once() {
    let (platform, proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    for (i, case) in cases().into_iter().enumerate() {
        let what = case.what;
        let id = format!("once-{i}");
        let before = proxy.non_agent_connections();
        proxy.set_fault(case.fault);
        let named = [("x-once", id.as_str())];
        let a = site.send(site.addr(0), "POST", "hold", &named);
        let a = a.await.expect("a response");
        assert_eq!(a.verdict().as_deref(), Some(case.verdict), "{what}");
        assert_eq!(reason(&a), Some(case.reason), "{what}");
        assert_eq!(a.headers["content-type"], "application/problem+json");
        assert!(!a.headers.contains_key("retry-after"), "{what}");
        assert_eq!(
            proxy.non_agent_connections() - before,
            1,
            "{what}: sent more than once"
        );
        assert!(site.platform.checker.run_count(&id) <= 1, "{what}");
    }
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_07_a_repeatable_request_is_retried_within_its_attempts() {
    let (platform, proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    for case in cases() {
        let what = case.what;
        let before = proxy.non_agent_connections();
        proxy.set_fault(case.fault);
        let a = site.send(site.addr(0), "POST", "check", &[]).await;
        let a = a.expect("a response");
        assert_eq!(a.verdict().as_deref(), Some(case.verdict), "{what}");
        let sent = proxy.non_agent_connections() - before;
        assert!(
            sent >= case.attempts && sent <= 3,
            "{what}: sent {sent} times"
        );
    }
    proxy.set_fault(Fault::None);
    wait_until("the slots are free again", || async {
        let a = site.send(site.addr(0), "POST", "check", &[]).await;
        a.is_some_and(|a| a.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn point_07_a_refused_connection_is_not_run_and_has_a_retry_after() {
    let platform = Platform::start(1, PROGRAMS).await;
    let site = Site::start(platform, 1, "").await;
    let mut info = site.platform.workers[0].info("fd-0", "rack-0");
    // Connections to a port that was just closed are refused.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    info.addr = closed.local_addr().expect("bound").to_string().into();
    drop(closed);
    site.platform.vms.put(info);
    wait_until("the new address is in use", || async {
        let a = site
            .send(site.addr(0), "POST", "hold", &[("x-once", "r")])
            .await;
        a.is_some_and(|a| a.status == 502)
    })
    .await;
    let id = [("x-once", "refused")];
    let a = site.send(site.addr(0), "POST", "hold", &id).await;
    let a = a.expect("a response");
    assert_eq!(a.verdict().as_deref(), Some("not_run"));
    assert_eq!(reason(&a), Some(301));
    assert!(a.headers.contains_key("retry-after"));
    assert_eq!(site.platform.checker.run_count("refused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_07_an_invalid_address_is_not_run() {
    let platform = Platform::start(1, PROGRAMS).await;
    let site = Site::start(platform, 1, "").await;
    let mut info = site.platform.workers[0].info("fd-0", "rack-0");
    info.addr = "no address".into();
    site.platform.vms.put(info);
    wait_until("the refusal of the invalid address", || async {
        let sent = site.send(site.addr(0), "POST", "hold", &[]);
        let a = tokio::time::timeout(Duration::from_secs(5), sent).await;
        let a = a.expect("a response in time").expect("a response");
        a.verdict().as_deref() == Some("not_run") && reason(&a) == Some(301)
    })
    .await;
}
