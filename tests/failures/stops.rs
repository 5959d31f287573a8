//! Point 9: a planned stop is graceful: it cuts no request in progress.

use std::time::Duration;
use std::time::Instant;

use monsoonnotch_standins::prelude::*;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::answers::exchange;
use crate::site::PROGRAMS;
use crate::site::Site;

/// Chunks of a long answer.
const CHUNKS: usize = 30;
/// Bytes of each.
const CHUNK_BYTES: usize = 1_000;

#[tokio::test(flavor = "multi_thread")]
async fn point_09_a_rolling_restart_under_load_cuts_nothing() {
    let platform = Platform::start(9, PROGRAMS).await;
    let mut site = Site::start(platform, 3, "").await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 12));
    for i in 0..3 {
        let long = long_answer(&site, i);
        let next = site.platform.start_entry(&format!("fd-{i}"));
        wait_ready(&next).await;
        load.add(next.callers);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut old = std::mem::replace(&mut site.entries[i], next);
        old.signal("TERM");
        not_ready(&old).await;
        assert!(!long.is_finished(), "the long answer still runs");
        assert!(old.exits_successfully(), "a graceful stop");
        load.remove(old.callers);
        let answer = long.await.expect("no caller panics").expect("an answer");
        assert!(answer.complete, "the long answer was cut");
        assert_eq!(answer.body.len(), CHUNKS * CHUNK_BYTES);
    }
    let seen = load.finish().await;
    assert!(seen.answered > 100, "{seen:?}");
    assert_eq!((seen.cut, seen.no_response), (0, 0), "{seen:?}");
    assert!(seen.refused.keys().all(|v| v == "not_run"), "{seen:?}");
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert_eq!(
        seen.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_09_a_stop_without_the_log_ends_in_time_and_cuts_visibly() {
    let platform = Platform::start(3, PROGRAMS).await;
    let mut site = Site::start(platform, 1, "[timing]\nshutdown_ms = 4000\n").await;
    let short = long_answer_of(&site, 0, 100);
    let endless = long_answer_of(&site, 0, 1_000);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let faults = LogFaults {
        unavailable: true,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(faults);
    let begun = Instant::now();
    site.entries[0].signal("TERM");
    assert!(site.entries[0].exits_successfully(), "it ends");
    // The setting and as much again for a machine that is busy.
    assert!(begun.elapsed() < Duration::from_secs(8));
    let answer = short.await.expect("no caller panics").expect("an answer");
    assert!(answer.complete, "what ends in time is not cut");
    let answer = endless.await.expect("no caller panics");
    assert!(answer.is_none_or(|a| !a.complete), "a cut that looks whole");
}

#[tokio::test(flavor = "multi_thread")]
async fn point_09_idle_connections_are_closed_in_order() {
    let platform = Platform::start(3, PROGRAMS).await;
    let mut site = Site::start(platform, 1, "").await;
    let addr = site.addr(0);
    let idle = tokio::spawn(async move { exchange(addr, b"").await });
    let _open = TcpStream::connect(addr).await.expect("a connection");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let begun = Instant::now();
    site.entries[0].signal("TERM");
    assert!(site.entries[0].exits_successfully(), "it ends");
    // Nothing is in progress, so this does not take as long as a stop may.
    assert!(begun.elapsed() < Duration::from_secs(15));
    assert_eq!(idle.await.expect("no caller panics"), b"");
}

/// Waits until the balancer is told to send nothing more, on a listener that still answers.
async fn not_ready(entry: &EntryProcess) {
    let answer = send_request(entry.callers, "GET", "/readyz", &[], "").await;
    let mut status = answer.map(|a| a.status);
    let begun = Instant::now();
    while status == Some(200) && begun.elapsed() < Duration::from_secs(5) {
        let answer = send_request(entry.callers, "GET", "/readyz", &[], "").await;
        status = answer.map(|a| a.status);
    }
    assert_eq!(status, Some(503), "readiness goes off before the listener");
}

/// An answer that takes three seconds.
fn long_answer(site: &Site, entry: usize) -> JoinHandle<Option<Response>> {
    long_answer_of(site, entry, 100)
}

fn long_answer_of(site: &Site, entry: usize, chunk_ms: u64) -> JoinHandle<Option<Response>> {
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
