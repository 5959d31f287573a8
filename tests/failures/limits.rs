//! Limits on what callers may send: a clear answer, and nothing has run.

use std::net::SocketAddr;
use std::time::Duration;

use monsoonnotch_standins::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::answers::exchange;
use crate::site::PROGRAMS;
use crate::site::Site;

/// Small limits, so that little has to be sent.
const LIMITS: &str = "[limits]\nhead_bytes = 8192\nbody_bytes = 10000\nreceive_ms = 1000\n\
                      connections = 40\n";

async fn site() -> Site {
    let platform = Platform::start(1, PROGRAMS).await;
    Site::start(platform, 1, LIMITS).await
}

fn status(answer: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(answer);
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
        ("no HTTP at all", "hello\r\n\r\n".to_owned(), 400),
        (
            "a space in a name",
            format!("GET / HTTP/1.1\r\nbad name: x\r\n{auth}{once}\r\n"),
            400,
        ),
        (
            "a long head",
            format!("GET / HTTP/1.1\r\n{long}{auth}{once}\r\n"),
            431,
        ),
        (
            "many fields",
            format!("GET / HTTP/1.1\r\n{many}{auth}{once}\r\n"),
            431,
        ),
        (
            "a length that is no number",
            format!("POST / HTTP/1.1\r\n{auth}{once}content-length: x\r\n\r\n"),
            400,
        ),
        (
            "two lengths",
            format!(
                "POST / HTTP/1.1\r\n{auth}{once}content-length: 1\r\ncontent-length: 2\r\n\r\nab"
            ),
            400,
        ),
        (
            "two profiles",
            format!("GET / HTTP/1.1\r\nconnection: close\r\n{auth}{once}profile: check\r\n\r\n"),
            400,
        ),
        (
            "two keys",
            format!(
                "GET / HTTP/1.1\r\nconnection: close\r\n{auth}{once}authorization: Bearer a.b\r\n\r\n"
            ),
            400,
        ),
        (
            "a wait that is no number",
            format!(
                "GET / HTTP/1.1\r\nconnection: close\r\n{auth}{once}request-timeout-ms: soon\r\n\r\n"
            ),
            400,
        ),
        (
            "a tunnel",
            format!("CONNECT a:1 HTTP/1.1\r\nconnection: close\r\n{auth}{once}\r\n"),
            400,
        ),
        (
            "a body beyond the limit, by its length",
            format!("POST / HTTP/1.1\r\n{auth}{once}content-length: 1000000000\r\n\r\nabc"),
            413,
        ),
        (
            "a chunk that is none",
            format!("POST / HTTP/1.1\r\n{auth}{once}transfer-encoding: chunked\r\n\r\nzz\r\n"),
            400,
        ),
    ];
    for (what, text, want) in cases {
        let answer = exchange(site.addr(0), text.as_bytes()).await;
        let text = String::from_utf8_lossy(&answer).into_owned();
        assert_eq!(status(&answer), want, "{what}: {text}");
    }
    assert_eq!(site.platform.checker.run_count("bad"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_a_body_too_large_is_answered_before_it_is_read() {
    let site = site().await;
    let mut stream = TcpStream::connect(site.addr(0))
        .await
        .expect("a connection");
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
         x-once: large\r\ntransfer-encoding: chunked\r\n\r\n",
        site.key
    );
    stream.write_all(head.as_bytes()).await.expect("written");
    let chunk = format!("1000\r\n{}\r\n", "a".repeat(0x1000));
    // The body has no end; the answer comes all the same.
    let (mut rx, mut tx) = stream.into_split();
    let endless =
        tokio::spawn(async move { while tx.write_all(chunk.as_bytes()).await.is_ok() {} });
    let mut answer = Vec::new();
    let read = rx.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await;
    endless.abort();
    assert_eq!(status(&answer), 413);
    assert_eq!(site.platform.checker.run_count("large"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_slow_senders_are_told_so() {
    let site = site().await;
    let half_a_head = "GET / HTTP/1.1\r\nhost:";
    assert_eq!(
        status(&exchange(site.addr(0), half_a_head.as_bytes()).await),
        408
    );
    let half_a_body = format!(
        "POST / HTTP/1.1\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
         x-once: slow\r\ncontent-length: 10\r\n\r\nhalf",
        site.key
    );
    assert_eq!(
        status(&exchange(site.addr(0), half_a_body.as_bytes()).await),
        408
    );
    // A connection that carries nothing is closed without a word.
    assert_eq!(exchange(site.addr(0), b"").await, b"");
    assert_eq!(site.platform.checker.run_count("slow"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_a_connection_too_many_is_told_when_to_come_back() {
    let site = site().await;
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(
            TcpStream::connect(site.addr(0))
                .await
                .expect("a connection"),
        );
    }
    let answer = get(site.addr(0), "/livez").await;
    assert_eq!(status(&answer), 429, "{}", String::from_utf8_lossy(&answer));
    let text = String::from_utf8_lossy(&answer).into_owned();
    assert!(text.contains("retry-after: "), "{text}");
    drop(idle);
    wait_until("there is room again", || async {
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
    // Memory is kept for 256 of the largest bodies.
    let mut open = Vec::new();
    for _ in 0..256 {
        let mut stream = TcpStream::connect(site.addr(0))
            .await
            .expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("written");
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
        .expect("written");
    let mut answer = [0; 64];
    let n = stream.read(&mut answer).await.expect("an answer");
    assert_eq!(status(&answer[..n]), 429);
    drop(open);
    wait_until("there is room again", || async {
        let a = site.send(site.addr(0), "POST", "hold", &[]).await;
        a.is_some_and(|a| a.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_paths_reach_the_upstream_as_they_are() {
    let site = site().await;
    let auth = format!("authorization: Bearer {}\r\nprofile: hold\r\n", site.key);
    for path in ["/../a/./b//c", "/%2e%2e/a%2Fb", "/a?x=/../&y=%00", "/a;b=c"] {
        for target in [path.to_owned(), format!("http://elsewhere:1{path}")] {
            let text = format!("GET {target} HTTP/1.1\r\nconnection: close\r\n{auth}\r\n");
            let answer = exchange(site.addr(0), text.as_bytes()).await;
            let answer = String::from_utf8_lossy(&answer).into_owned();
            let want = path.split('?').next().expect("a path");
            assert!(
                answer.contains(&format!("\r\n\r\n{want}\n")),
                "{target}: {answer}"
            );
        }
    }
}

async fn get(addr: SocketAddr, path: &str) -> Vec<u8> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    exchange(addr, text.as_bytes()).await
}
