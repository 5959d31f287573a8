//! Point 7: "not run" is true, and what may not be repeated runs at most once.

use std::time::Duration;

use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;
use crate::site::reason;
use crate::site::tapped;

/// What a fault on the way to the upstream must come to.
struct Case {
    what: &'static str,
    fault: Fault,
    verdict: &'static str,
    reason: u64,
    /// Times that a request that may be repeated is sent.
    attempts: u64,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            what: "cut before the request is read",
            fault: Fault::CutRequest,
            verdict: "may_have_run",
            reason: 302,
            attempts: 3,
        },
        Case {
            what: "cut in the middle of the request",
            fault: Fault::CutRequestAfter(40),
            verdict: "may_have_run",
            reason: 302,
            attempts: 3,
        },
        Case {
            what: "cut after the request, before any answer",
            fault: Fault::CutResponseAfter(0),
            verdict: "may_have_run",
            reason: 302,
            attempts: 3,
        },
        Case {
            what: "the reply is lost",
            fault: Fault::CutResponseAfter(10),
            verdict: "may_have_run",
            reason: 302,
            attempts: 3,
        },
        Case {
            what: "the upstream goes silent",
            fault: Fault::WithholdResponse,
            verdict: "may_have_run",
            reason: 303,
            attempts: 1,
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn point_07_what_may_not_be_repeated_is_sent_once() {
    let (platform, tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    for (i, case) in cases().into_iter().enumerate() {
        let what = case.what;
        let id = format!("once-{i}");
        let before = tap.non_agent_connections();
        tap.set_fault(case.fault);
        let named = [("x-once", id.as_str())];
        let a = site.send(site.addr(0), "POST", "hold", &named);
        let a = a.await.expect("an answer");
        assert_eq!(a.verdict().as_deref(), Some(case.verdict), "{what}");
        assert_eq!(reason(&a), Some(case.reason), "{what}");
        assert_eq!(a.headers["content-type"], "application/problem+json");
        assert!(!a.headers.contains_key("retry-after"), "{what}");
        assert_eq!(
            tap.non_agent_connections() - before,
            1,
            "{what}: sent more than once"
        );
        assert!(site.platform.checker.run_count(&id) <= 1, "{what}");
    }
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_07_what_may_be_repeated_is_tried_again_within_its_attempts() {
    let (platform, tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    for case in cases() {
        let what = case.what;
        let before = tap.non_agent_connections();
        tap.set_fault(case.fault);
        let a = site.send(site.addr(0), "POST", "check", &[]).await;
        let a = a.expect("an answer");
        assert_eq!(a.verdict().as_deref(), Some(case.verdict), "{what}");
        let sent = tap.non_agent_connections() - before;
        assert!(
            sent >= case.attempts && sent <= 3,
            "{what}: sent {sent} times"
        );
    }
    tap.set_fault(Fault::None);
    wait_until("the slots are free again", || async {
        let a = site.send(site.addr(0), "POST", "check", &[]).await;
        a.is_some_and(|a| a.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn point_07_a_refused_connection_is_not_run_and_says_when_to_come_back() {
    let platform = Platform::start(1, PROGRAMS).await;
    let site = Site::start(platform, 1, "").await;
    let mut info = site.platform.workers[0].info("fd-0", "rack-0");
    // Nothing listens on a port that was just closed.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    info.addr = closed.local_addr().expect("bound").to_string().into();
    drop(closed);
    site.platform.vms.put(info);
    wait_until("the address is known", || async {
        let a = site
            .send(site.addr(0), "POST", "hold", &[("x-once", "r")])
            .await;
        a.is_some_and(|a| a.status == 502)
    })
    .await;
    let id = [("x-once", "refused")];
    let a = site.send(site.addr(0), "POST", "hold", &id).await;
    let a = a.expect("an answer");
    assert_eq!(a.verdict().as_deref(), Some("not_run"));
    assert_eq!(reason(&a), Some(301));
    assert!(a.headers.contains_key("retry-after"));
    assert_eq!(site.platform.checker.run_count("refused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_07_an_address_that_is_none_is_not_run() {
    let platform = Platform::start(1, PROGRAMS).await;
    let site = Site::start(platform, 1, "").await;
    let mut info = site.platform.workers[0].info("fd-0", "rack-0");
    info.addr = "no address".into();
    site.platform.vms.put(info);
    wait_until("a verdict", || async {
        let sent = site.send(site.addr(0), "POST", "hold", &[]);
        let a = tokio::time::timeout(Duration::from_secs(5), sent).await;
        let a = a.expect("an answer in time").expect("an answer");
        a.verdict().as_deref() == Some("not_run") && reason(&a) == Some(301)
    })
    .await;
}
