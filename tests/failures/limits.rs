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

#[tokio::test(flavor = "multi_thread")]
async fn limits_an_excess_connection_gets_a_429_with_retry_after() {
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
    assert_eq!(
        status(&response),
        429,
        "{}",
        String::from_utf8_lossy(&response)
    );
    let text = String::from_utf8_lossy(&response).into_owned();
    assert!(text.contains("retry-after: "), "{text}");
    drop(idle);
    wait_until("the limit is no longer reached", || async {
        status(&get(site.addr(0), "/livez").await) == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_bodies_take_bounded_memory() {
    let platform = Platform::start(1, PROGRAMS).await;
    let more = "[limits]\nbody_bytes = 10000\nreceive_ms = 3000\n";
    let site = Site::start(platform, 1, more).await;
    let text = format!(
        "POST / HTTP/1.1\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
         transfer-encoding: chunked\r\n\r\n",
        site.key
    );
    // An entry reserves memory for at most 256 bodies of the maximum size.
    let mut open = Vec::new();
    for _ in 0..256 {
        let mut stream = TcpStream::connect(site.addr(0))
            .await
            .expect("a connection");
        stream
            .write_all(text.as_bytes())
            .await
            .expect("the request can be written");
        open.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let one_more = format!("{text}0\r\n\r\n");
    let mut stream = TcpStream::connect(site.addr(0))
        .await
        .expect("a connection");
    stream
        .write_all(one_more.as_bytes())
        .await
        .expect("the request can be written");
    let mut response = [0; 64];
    let n = stream.read(&mut response).await.expect("a response");
    assert_eq!(status(&response[..n]), 429);
    drop(open);
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
