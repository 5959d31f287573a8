//! Limits on what callers may send: an excess gets a response with a clear status and does not run.

use std::net::SocketAddr;
use std::time::Duration;

use monsoonnotch_standins::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::responses::exchange_raw;
use crate::site::PROGRAMS;
use crate::site::Site;

/// Settings with small limits, so that a test exceeds them with little data.
const LIMITS: &str = "[limits]\nhead_bytes = 8192\nbody_bytes = 10000\nreceive_ms = 1000\n\
                      connections = 40\n";

/// A profile whose requests may wait and run for a minute.
const PATIENT: &str = "lane = \"short\"\ntimeout_ms = 60000\nmax_wait_ms = 60000\n";

async fn site() -> Site {
    let platform = Platform::start(1, PROGRAMS).await;
    Site::start(platform, 1, LIMITS).await
}

fn status(response: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(response);
    let code = text.split(' ').nth(1).and_then(|c| c.parse().ok());
    code.unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_malformed_requests_get_a_4xx_and_do_not_run() {
    let site = site().await;
    let auth = format!("authorization: Bearer {}\r\nprofile: hold\r\n", site.key);
    let once = "x-once: bad\r\n";
    let long = format!("x-long: {}\r\n", "a".repeat(20_000));
    let many = "x-many: a\r\n".repeat(200);
    let cases = [
        ("not HTTP", "hello\r\n\r\n".to_owned(), 400),
        (
            "space in a field name",
            format!("GET / HTTP/1.1\r\nbad name: x\r\n{auth}{once}\r\n"),
            400,
        ),
        (
            "head too long",
            format!("GET / HTTP/1.1\r\n{long}{auth}{once}\r\n"),
            431,
        ),
        (
            "too many fields",
            format!("GET / HTTP/1.1\r\n{many}{auth}{once}\r\n"),
            431,
        ),
        (
            "content-length that is not a number",
            format!("POST / HTTP/1.1\r\n{auth}{once}content-length: x\r\n\r\n"),
            400,
        ),
        (
            "two content-length fields",
            format!(
                "POST / HTTP/1.1\r\n{auth}{once}content-length: 1\r\ncontent-length: 2\r\n\r\nab"
            ),
            400,
        ),
        (
            "two profile fields",
            format!("GET / HTTP/1.1\r\nconnection: close\r\n{auth}{once}profile: check\r\n\r\n"),
            400,
        ),
        (
            "two authorization fields",
            format!(
                "GET / HTTP/1.1\r\nconnection: close\r\n{auth}{once}authorization: Bearer a.b\r\n\r\n"
            ),
            400,
        ),
        (
            "timeout that is not a number",
            format!(
                "GET / HTTP/1.1\r\nconnection: close\r\n{auth}{once}request-timeout-ms: soon\r\n\r\n"
            ),
            400,
        ),
        (
            "CONNECT",
            format!("CONNECT a:1 HTTP/1.1\r\nconnection: close\r\n{auth}{once}\r\n"),
            400,
        ),
        (
            "content-length beyond the limit",
            format!("POST / HTTP/1.1\r\n{auth}{once}content-length: 1000000000\r\n\r\nabc"),
            413,
        ),
        (
            "invalid chunk size",
            format!("POST / HTTP/1.1\r\n{auth}{once}transfer-encoding: chunked\r\n\r\nzz\r\n"),
            400,
        ),
    ];
    for (what, text, want) in cases {
        let response = exchange_raw(site.addr(0), text.as_bytes()).await;
        let text = String::from_utf8_lossy(&response).into_owned();
        assert_eq!(status(&response), want, "{what}: {text}");
    }
    assert_eq!(site.platform.checker.run_count("bad"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_an_oversized_body_is_refused_before_it_is_read() {
    let site = site().await;
    let mut stream = TcpStream::connect(site.addr(0))
        .await
        .expect("a connection");
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
         x-once: large\r\ntransfer-encoding: chunked\r\n\r\n",
        site.key
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request can be written");
    let chunk = format!("1000\r\n{}\r\n", "a".repeat(0x1000));
    // The body never ends; the response must arrive while it is still being sent.
    let (mut rx, mut tx) = stream.into_split();
    let endless =
        tokio::spawn(async move { while tx.write_all(chunk.as_bytes()).await.is_ok() {} });
    let mut response = Vec::new();
    let read = rx.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await;
    endless.abort();
    assert_eq!(status(&response), 413);
    assert_eq!(site.platform.checker.run_count("large"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_slow_senders_get_a_408() {
    let site = site().await;
    let half_a_head = "GET / HTTP/1.1\r\nhost:";
    assert_eq!(
        status(&exchange_raw(site.addr(0), half_a_head.as_bytes()).await),
        408
    );
    let half_a_body = format!(
        "POST / HTTP/1.1\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
         x-once: slow\r\ncontent-length: 10\r\n\r\nhalf",
        site.key
    );
    assert_eq!(
        status(&exchange_raw(site.addr(0), half_a_body.as_bytes()).await),
        408
    );
    // A connection on which nothing was sent is closed without a response.
    assert_eq!(exchange_raw(site.addr(0), b"").await, b"");
    assert_eq!(site.platform.checker.run_count("slow"), 0);
}

/// Opens `n` connections, each with a whole request whose response is owed until it is dropped.
async fn occupy(site: &Site, n: usize, body_bytes: usize) -> Vec<TcpStream> {
    site.entries[0].publish_profile("patient", PATIENT);
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: patient\r\n\
         x-work-ms: 60000\r\ncontent-length: {body_bytes}\r\n\r\n",
        site.key
    );
    let mut busy = Vec::new();
    for _ in 0..n {
        let mut stream = TcpStream::connect(site.addr(0))
            .await
            .expect("a connection");
        let body = "a".repeat(body_bytes);
        // A request that is refused need not be read whole.
        let _ = stream.write_all((head.clone() + &body).as_bytes()).await;
        busy.push(stream);
    }
    busy
}

/// Returns the status of the response that a connection has received; `None` if it has received nothing.
/// A connection that was closed without one has status 0.
async fn received_status(stream: &TcpStream) -> Option<u16> {
    let mut response = [0; 64];
    let peeked = tokio::time::timeout(Duration::from_millis(1), stream.peek(&mut response)).await;
    peeked.ok().map(|n| status(&response[..n.unwrap_or(0)]))
}

/// Returns how many of the connections have received nothing.
async fn count_unanswered(connections: &[TcpStream]) -> usize {
    let mut unanswered = 0;
    for stream in connections {
        unanswered += usize::from(received_status(stream).await.is_none());
    }
    unanswered
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_an_excess_connection_gets_a_429_with_retry_after() {
    let site = site().await;
    let busy = occupy(&site, 40, 0).await;
    let refused = || async {
        let response = get(site.addr(0), "/livez").await;
        let text = String::from_utf8_lossy(&response).into_owned();
        status(&response) == 429 && text.contains("retry-after: ")
    };
    wait_until("an excess connection gets a 429", refused).await;
    // The wait for a place costs none of the others its response.
    assert!(refused().await);
    assert_eq!(count_unanswered(&busy).await, 40);
    drop(busy);
    wait_until("the limit is no longer reached", || async {
        status(&get(site.addr(0), "/livez").await) == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_an_idle_connection_makes_room_for_an_excess_one() {
    let site = site().await;
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(
            TcpStream::connect(site.addr(0))
                .await
                .expect("a connection"),
        );
    }
    let response = get(site.addr(0), "/livez").await;
    let text = String::from_utf8_lossy(&response).into_owned();
    assert_eq!(status(&response), 200, "{text}");
    let closed = 40 - count_unanswered(&idle).await;
    assert!((1..5).contains(&closed), "{closed} idle connections closed");
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_bodies_take_bounded_memory() {
    // With slots to spare for the request at the end.
    let platform = Platform::start(4, PROGRAMS).await;
    let more = "[limits]\nbody_bytes = 262144\nmemory_mib = 36\n";
    let site = Site::start(platform, 1, more).await;
    // Callers have less than 4 MiB of the 36, for bodies of 6 MiB.
    let busy = occupy(&site, 24, 262_144).await;
    let refused = || async { count_unanswered(&busy).await <= 16 };
    wait_until("some bodies are refused", refused).await;
    let mut in_progress = 0;
    for stream in &busy {
        match received_status(stream).await {
            None => in_progress += 1,
            Some(status) => assert_eq!(status, 429),
        }
    }
    assert!(in_progress >= 8, "{in_progress} requests are in progress");
    drop(busy);
    wait_until("the limit is no longer reached", || async {
        let a = site.send(site.addr(0), "POST", "hold", &[]).await;
        a.is_some_and(|a| a.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_paths_reach_the_upstream_unchanged() {
    let site = site().await;
    let auth = format!("authorization: Bearer {}\r\nprofile: hold\r\n", site.key);
    for path in ["/../a/./b//c", "/%2e%2e/a%2Fb", "/a?x=/../&y=%00", "/a;b=c"] {
        for target in [path.to_owned(), format!("http://elsewhere:1{path}")] {
            let text = format!("GET {target} HTTP/1.1\r\nconnection: close\r\n{auth}\r\n");
            let response = exchange_raw(site.addr(0), text.as_bytes()).await;
            let response = String::from_utf8_lossy(&response).into_owned();
            let want = path.split('?').next().expect("a path");
            assert!(
                response.contains(&format!("\r\n\r\n{want}\n")),
                "{target}: {response}"
            );
        }
    }
}

async fn get(addr: SocketAddr, path: &str) -> Vec<u8> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    exchange_raw(addr, text.as_bytes()).await
}
