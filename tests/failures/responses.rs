//! Point 6: every caller gets the complete response to its own request, or a visible error.
//!
//! A response that ends early must not look complete, and a response must not
//! reach another caller when requests time out or callers disconnect.

use std::time::Duration;

use bytes::Bytes;
use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;
use crate::site::reason;
use crate::site::start_proxied_platform;

/// An upstream's response as raw bytes, and what the caller must receive.
struct Case {
    description: &'static str,
    method: &'static str,
    raw_response: &'static str,
    status: u16,
    /// The complete body, or `None` if the caller must be able to tell that it is incomplete.
    body: Option<&'static str>,
}

const CASES: [Case; 13] = [
    Case {
        description: "content-length",
        method: "GET",
        raw_response: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        status: 200,
        body: Some("hello"),
    },
    Case {
        description: "content-length larger than the body",
        method: "GET",
        raw_response: "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello",
        status: 200,
        body: None,
    },
    Case {
        description: "chunked body",
        method: "GET",
        raw_response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        status: 200,
        body: Some("hello"),
    },
    Case {
        description: "chunked body without the last chunk",
        method: "GET",
        raw_response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n",
        status: 200,
        body: None,
    },
    Case {
        description: "truncated chunk",
        method: "GET",
        raw_response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\nhello",
        status: 200,
        body: None,
    },
    Case {
        description: "response to HEAD with content-length",
        method: "HEAD",
        raw_response: "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n",
        status: 200,
        body: Some(""),
    },
    Case {
        description: "response to HEAD without content-length",
        method: "HEAD",
        raw_response: "HTTP/1.1 200 OK\r\n\r\n",
        status: 200,
        body: Some(""),
    },
    Case {
        description: "204 without a body",
        method: "GET",
        raw_response: "HTTP/1.1 204 No Content\r\n\r\n",
        status: 204,
        body: Some(""),
    },
    Case {
        description: "304 with the content-length of the omitted body",
        method: "GET",
        raw_response: "HTTP/1.1 304 Not Modified\r\ncontent-length: 50\r\n\r\n",
        status: 304,
        body: Some(""),
    },
    Case {
        description: "interim responses before the final one",
        method: "GET",
        raw_response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
               HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        status: 200,
        body: Some("hello"),
    },
    Case {
        description: "interim response only",
        method: "GET",
        raw_response: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        status: 502,
        body: None,
    },
    Case {
        description: "no content-length and no chunks, so that truncation is not visible",
        method: "GET",
        raw_response: "HTTP/1.1 200 OK\r\n\r\nhello",
        status: 502,
        body: None,
    },
    Case {
        description: "truncated head",
        method: "GET",
        raw_response: "HTTP/1.1 200 OK\r\ncontent-le",
        status: 502,
        body: None,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn point_06_a_response_is_complete_or_visibly_broken() {
    let (platform, proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    for case in CASES {
        proxy.set_fault(Fault::Respond(Bytes::from_static(
            case.raw_response.as_bytes(),
        )));
        let response = site.send(site.addr(0), case.method, "hold", &[]).await;
        let Some(a) = response else {
            assert_eq!(case.body, None, "{}: no response", case.description);
            continue;
        };
        assert_eq!(a.status, case.status, "{}: status", case.description);
        match case.body {
            Some(body) => {
                assert!(a.complete, "{}: truncated", case.description);
                assert_eq!(a.body, body.as_bytes(), "{}: body", case.description);
            }
            None if a.status == 502 => {
                assert_eq!(a.verdict().as_deref(), Some("may_have_run"));
                assert_eq!(reason(&a), Some(302), "{}: reason", case.description);
            }
            None => assert!(!a.complete, "{}: looks complete", case.description),
        }
    }
    assert_eq!(violations(&site), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_trailers_reach_a_caller_that_accepts_them() {
    let (platform, proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    let raw_response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
                5\r\nhello\r\n0\r\nx-sum: 7\r\n\r\n";
    proxy.set_fault(Fault::Respond(Bytes::from_static(raw_response.as_bytes())));
    let text = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
         te: trailers\r\nconnection: te, close\r\n\r\n",
        site.key
    );
    let response = exchange_raw(site.addr(0), text.as_bytes()).await;
    let response = String::from_utf8_lossy(&response).into_owned();
    assert!(response.contains("x-sum: 7\r\n"), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_a_truncated_body_never_looks_complete() {
    let (platform, proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    let long = [("x-chunks", "64"), ("x-chunk-bytes", "1024")];
    for bytes in [90, 200, 5_000, 40_000] {
        proxy.set_fault(Fault::CutResponseAfter(bytes));
        let response = site.send(site.addr(0), "POST", "hold", &long).await;
        let broken = response.is_none_or(|a| !a.complete || a.status == 502);
        assert!(broken, "truncation after {bytes} bytes is not visible");
    }
    proxy.set_fault(Fault::None);
    let cut = [long[0], long[1], ("x-cut", "during")];
    let response = site.send(site.addr(0), "POST", "hold", &cut).await;
    assert!(
        response.is_none_or(|a| !a.complete),
        "truncation by the upstream is not visible"
    );
    let response = site.send(site.addr(0), "POST", "hold", &long).await;
    let response = response.expect("a response");
    assert!(response.complete);
    assert_eq!(response.body.len(), 64 * 1_024);
    assert_eq!(violations(&site), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_an_http_1_0_caller_sees_a_truncated_body() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let (platform, _proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    // HTTP/1.0 has no chunks: a response without content-length ends with the connection, so a
    // truncated one must end with a connection error.
    for (cut, complete) in [("during", false), ("none", true)] {
        let stream = tokio::net::TcpStream::connect(site.addr(0)).await;
        let mut stream = stream.expect("a connection");
        let text = format!(
            "GET / HTTP/1.0\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
             x-chunks: 8\r\nx-chunk-bytes: 10\r\nx-chunk-ms: 20\r\nx-cut: {cut}\r\n\r\n",
            site.key
        );
        let written = stream.write_all(text.as_bytes()).await;
        written.expect("the request can be written");
        let mut response = Vec::new();
        let read = stream.read_to_end(&mut response).await;
        let text = String::from_utf8_lossy(&response).into_owned();
        assert!(text.contains(" 200 OK"), "{text}");
        assert_eq!(read.is_ok(), complete, "x-cut {cut}: {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_a_response_after_its_timeout_is_an_error() {
    let (platform, _proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    let late = [("x-work-ms", "4000")];
    let a = site.send(site.addr(0), "POST", "hold", &late).await;
    let a = a.expect("a response");
    assert_eq!((a.status, reason(&a)), (504, Some(303)));
    assert_eq!(a.verdict().as_deref(), Some("may_have_run"));
    // The head arrives before the timeout and the end of the body does not.
    let slow = [("x-chunks", "8"), ("x-chunk-ms", "1000")];
    let a = site.send(site.addr(0), "POST", "hold", &slow).await;
    assert!(a.is_none_or(|a| !a.complete), "looks complete");
    // The late responses do not reach the callers of later requests.
    for i in 0..20 {
        let id = format!("next-{i}");
        let named = [("x-request-id", id.as_str())];
        let a = site.send(site.addr(0), "POST", "hold", &named);
        let a = a.await.expect("a response");
        assert_eq!(a.headers["x-request-id"], id.as_str());
        assert_eq!(a.body, b"/street/7\na body");
    }
    wait_until("all slots are free", || async {
        site.platform.workers[0].in_progress() == 0
    })
    .await;
    assert_eq!(violations(&site), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_a_caller_that_disconnects_leaves_no_slot_in_use() {
    let (platform, _proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    // Three times as many callers as the worker has slots, so that some requests are still queued.
    for _ in 0..3 {
        let disconnected = (0..24).map(|_| disconnect_after(&site, Duration::from_millis(60)));
        for task in disconnected.collect::<Vec<_>>() {
            task.await.expect("the caller does not panic");
        }
    }
    // These callers disconnect in the middle of their responses.
    let disconnected = (0..8).map(|_| disconnect_mid_response(&site));
    for task in disconnected.collect::<Vec<_>>() {
        task.await.expect("the caller does not panic");
    }
    let requests = (0..8).map(|i| {
        let (addr, headers) = (site.addr(0), long_request_headers(&site));
        tokio::spawn(async move {
            let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
            send_request(addr, "POST", &format!("/{i}"), &headers, "").await
        })
    });
    for request in requests.collect::<Vec<_>>() {
        let a = request
            .await
            .expect("the caller does not panic")
            .expect("a response");
        assert_eq!(a.status, 200, "a slot is still in use");
    }
    assert_eq!(violations(&site), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_responses_reach_only_their_own_caller() {
    let platform = Platform::start(6, PROGRAMS).await;
    let site = Site::start(platform, 3, "").await;
    // All callers use one entry, so that most requests run in slots granted by its peers.
    let mut plan = site.plan("hold", 20);
    plan.work_ms = 5;
    plan.pause = Duration::ZERO;
    let plain = Load::start(&[site.addr(0)], &plan);
    plan.chunks = 5;
    plan.prefix = "chunked-".to_owned();
    let chunked = Load::start(&[site.addr(0)], &plan);
    tokio::time::sleep(Duration::from_secs(4)).await;
    for load in [plain, chunked] {
        let outcomes = load.finish().await;
        assert!(outcomes.answered > 100, "{outcomes:?}");
        assert_eq!(outcomes.wrong, Vec::<String>::new());
        assert_eq!((outcomes.cut, outcomes.no_response), (0, 0));
        assert_eq!(
            outcomes.contradictions(&site.platform.checker),
            Vec::<String>::new()
        );
    }
    assert_eq!(violations(&site), []);
}

fn violations(site: &Site) -> Vec<Violation> {
    site.platform.checker.violations()
}

fn long_request_headers(site: &Site) -> Vec<(&'static str, String)> {
    vec![
        ("authorization", format!("Bearer {}", site.key)),
        ("profile", "hold".to_owned()),
        ("x-work-ms", "300".to_owned()),
    ]
}

/// Sends a request that takes 300 ms and disconnects after `delay`.
fn disconnect_after(site: &Site, delay: Duration) -> tokio::task::JoinHandle<()> {
    let (addr, headers) = (site.addr(0), long_request_headers(site));
    tokio::spawn(async move {
        let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let _ =
            tokio::time::timeout(delay, send_request(addr, "POST", "/left", &headers, "")).await;
    })
}

/// Sends a request whose response takes 600 ms and disconnects after its first bytes.
fn disconnect_mid_response(site: &Site) -> tokio::task::JoinHandle<()> {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let addr = site.addr(0);
    let text = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
         x-chunks: 20\r\nx-chunk-ms: 30\r\n\r\n",
        site.key
    );
    tokio::spawn(async move {
        let stream = tokio::net::TcpStream::connect(addr).await;
        let mut stream = stream.expect("a connection");
        let written = stream.write_all(text.as_bytes()).await;
        written.expect("the request can be written");
        let mut buf = [0; 64];
        let first_read = stream.read(&mut buf).await;
        assert!(first_read.is_ok_and(|n| n > 0), "no response begins");
    })
}

/// Sends `text` and reads until the connection ends or 20 s have passed.
pub(crate) async fn exchange_raw(addr: std::net::SocketAddr, text: &[u8]) -> Vec<u8> {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let mut stream = tokio::net::TcpStream::connect(addr)
        .await
        .expect("a connection");
    stream
        .write_all(text)
        .await
        .expect("the request can be written");
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await;
    response
}
