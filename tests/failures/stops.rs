//! Point 9: a planned stop is graceful and truncates no response in progress.
//!
//! A load balancer must see the entry as not ready before its listener closes,
//! and a stop must end within the set time even if the log is unavailable.

use std::time::Duration;
use std::time::Instant;

use monsoonnotch_standins::prelude::*;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::responses::exchange_raw;
use crate::site::PROGRAMS;
use crate::site::Site;

/// Number of chunks of a long response.
const CHUNKS: usize = 30;
/// Bytes of each chunk of a long response.
const CHUNK_BYTES: usize = 1_000;

#[tokio::test(flavor = "multi_thread")]
async fn point_09_a_rolling_restart_under_load_truncates_no_response() {
    let platform = Platform::start(9, PROGRAMS).await;
    let mut site = Site::start(platform, 3, "").await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    for i in 0..3 {
        let long_request = start_long_request(&site, i);
        let next = site.platform.start_entry(&format!("fd-{i}"));
        wait_ready(&next).await;
        load.add(next.callers);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut old = std::mem::replace(&mut site.entries[i], next);
        old.signal("TERM");
        wait_unready(&old).await;
        assert!(
            !long_request.is_finished(),
            "the long response has ended already"
        );
        assert!(old.exits_successfully(), "the stop is not graceful");
        load.remove(old.callers);
        let response = long_request
            .await
            .expect("the caller does not panic")
            .expect("a response");
        assert!(response.complete, "the long response was truncated");
        assert_eq!(response.body.len(), CHUNKS * CHUNK_BYTES);
    }
    let outcomes = load.finish().await;
    assert!(outcomes.answered > 100, "{outcomes:?}");
    assert_eq!((outcomes.cut, outcomes.no_response), (0, 0), "{outcomes:?}");
    assert!(
        outcomes.refused.keys().all(|v| v == "not_run"),
        "{outcomes:?}"
    );
    assert_eq!(outcomes.wrong, Vec::<String>::new());
    assert_eq!(
        outcomes.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_09_a_stop_without_the_log_ends_in_time_and_truncates_visibly() {
    let platform = Platform::start(3, PROGRAMS).await;
    let mut site = Site::start(platform, 1, "[timing]\nshutdown_ms = 4000\n").await;
    let ends_in_time = start_chunked_request(&site, 0, 100);
    let ends_too_late = start_chunked_request(&site, 0, 1_000);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let faults = LogFaults {
        unavailable: true,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(faults);
    let begun = Instant::now();
    site.entries[0].signal("TERM");
    assert!(
        site.entries[0].exits_successfully(),
        "the stop is not graceful"
    );
    // Twice the setting, for a busy machine.
    assert!(begun.elapsed() < Duration::from_secs(8));
    let response = ends_in_time
        .await
        .expect("the caller does not panic")
        .expect("a response");
    assert!(
        response.complete,
        "a response that ends in time was truncated"
    );
    let response = ends_too_late.await.expect("the caller does not panic");
    assert!(
        response.is_none_or(|a| !a.complete),
        "a truncated response looks complete"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn point_09_idle_connections_are_closed_cleanly() {
    let platform = Platform::start(3, PROGRAMS).await;
    let mut site = Site::start(platform, 1, "").await;
    let addr = site.addr(0);
    let idle = tokio::spawn(async move { exchange_raw(addr, b"").await });
    let _open = TcpStream::connect(addr).await.expect("a connection");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let begun = Instant::now();
    site.entries[0].signal("TERM");
    assert!(
        site.entries[0].exits_successfully(),
        "the stop is not graceful"
    );
    // Nothing is in progress, so the stop is faster than its limit.
    assert!(begun.elapsed() < Duration::from_secs(15));
    assert_eq!(idle.await.expect("the caller does not panic"), b"");
}

/// Waits until `/readyz` returns 503, which must happen while the listener still answers.
async fn wait_unready(entry: &EntryProcess) {
    let response = send_request(entry.callers, "GET", "/readyz", &[], "").await;
    let mut status = response.map(|a| a.status);
    let begun = Instant::now();
    while status == Some(200) && begun.elapsed() < Duration::from_secs(5) {
        let response = send_request(entry.callers, "GET", "/readyz", &[], "").await;
        status = response.map(|a| a.status);
    }
    assert_eq!(
        status,
        Some(503),
        "the listener closed before the entry became unready"
    );
}

/// Starts a request whose response takes three seconds.
fn start_long_request(site: &Site, entry: usize) -> JoinHandle<Option<Response>> {
    start_chunked_request(site, entry, 100)
}

fn start_chunked_request(site: &Site, entry: usize, chunk_ms: u64) -> JoinHandle<Option<Response>> {
    let addr = site.addr(entry);
    let bearer = format!("Bearer {}", site.key);
    tokio::spawn(async move {
        let (chunks, bytes) = (CHUNKS.to_string(), CHUNK_BYTES.to_string());
        let pause = chunk_ms.to_string();
        let headers = [
            ("authorization", bearer.as_str()),
            ("profile", "watch"),
            ("x-chunks", &chunks),
            ("x-chunk-bytes", &bytes),
            ("x-chunk-ms", &pause),
        ];
        send_request(addr, "GET", "/long", &headers, "").await
    })
}
