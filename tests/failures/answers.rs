//! Point 6: every caller gets the whole answer to its own request, or a visible error.

use std::time::Duration;

use bytes::Bytes;
use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;
use crate::site::reason;
use crate::site::tapped;

/// An answer as it comes over the wire, and what the caller must see.
struct Case {
    what: &'static str,
    method: &'static str,
    wire: &'static str,
    status: u16,
    /// The whole body, or `None` when the answer must be visibly broken.
    body: Option<&'static str>,
}

const CASES: [Case; 13] = [
    Case {
        what: "a length",
        method: "GET",
        wire: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        status: 200,
        body: Some("hello"),
    },
    Case {
        what: "a length that is more than what comes",
        method: "GET",
        wire: "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello",
        status: 200,
        body: None,
    },
    Case {
        what: "chunks",
        method: "GET",
        wire: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        status: 200,
        body: Some("hello"),
    },
    Case {
        what: "chunks without the last one",
        method: "GET",
        wire: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n",
        status: 200,
        body: None,
    },
    Case {
        what: "a chunk that is cut",
        method: "GET",
        wire: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\nhello",
        status: 200,
        body: None,
    },
    Case {
        what: "the answer to HEAD with a length",
        method: "HEAD",
        wire: "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n",
        status: 200,
        body: Some(""),
    },
    Case {
        what: "the answer to HEAD without a length",
        method: "HEAD",
        wire: "HTTP/1.1 200 OK\r\n\r\n",
        status: 200,
        body: Some(""),
    },
    Case {
        what: "no content",
        method: "GET",
        wire: "HTTP/1.1 204 No Content\r\n\r\n",
        status: 204,
        body: Some(""),
    },
    Case {
        what: "not modified, with the length of what was not sent",
        method: "GET",
        wire: "HTTP/1.1 304 Not Modified\r\ncontent-length: 50\r\n\r\n",
        status: 304,
        body: Some(""),
    },
    Case {
        what: "interim answers before the final one",
        method: "GET",
        wire: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
               HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        status: 200,
        body: Some("hello"),
    },
    Case {
        what: "an interim answer and nothing more",
        method: "GET",
        wire: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        status: 502,
        body: None,
    },
    Case {
        what: "no length and no chunks, so that a cut would look like the end",
        method: "GET",
        wire: "HTTP/1.1 200 OK\r\n\r\nhello",
        status: 502,
        body: None,
    },
    Case {
        what: "a head that is cut",
        method: "GET",
        wire: "HTTP/1.1 200 OK\r\ncontent-le",
        status: 502,
        body: None,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn point_06_an_answer_is_whole_or_visibly_broken() {
    let (platform, tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    for case in CASES {
        tap.set_fault(Fault::Respond(Bytes::from_static(case.wire.as_bytes())));
        let answer = site.send(site.addr(0), case.method, "hold", &[]).await;
        let Some(a) = answer else {
            assert_eq!(case.body, None, "{}: no answer", case.what);
            continue;
        };
        assert_eq!(a.status, case.status, "{}: status", case.what);
        match case.body {
            Some(body) => {
                assert!(a.complete, "{}: cut", case.what);
                assert_eq!(a.body, body.as_bytes(), "{}: body", case.what);
            }
            None if a.status == 502 => {
                assert_eq!(a.verdict().as_deref(), Some("may_have_run"));
                assert_eq!(reason(&a), Some(302), "{}: reason", case.what);
            }
            None => assert!(!a.complete, "{}: looks whole", case.what),
        }
    }
    assert_eq!(platform_breaches(&site), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_trailers_reach_a_caller_that_takes_them() {
    let (platform, tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    let wire = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
                5\r\nhello\r\n0\r\nx-sum: 7\r\n\r\n";
    tap.set_fault(Fault::Respond(Bytes::from_static(wire.as_bytes())));
    let text = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
         te: trailers\r\nconnection: te, close\r\n\r\n",
        site.key
    );
    let answer = exchange(site.addr(0), text.as_bytes()).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.contains("x-sum: 7\r\n"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_a_body_cut_in_the_middle_is_never_taken_for_a_whole_one() {
    let (platform, tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    let long = [("x-chunks", "64"), ("x-chunk-bytes", "1024")];
    for bytes in [90, 200, 5_000, 40_000] {
        tap.set_fault(Fault::CutResponseAfter(bytes));
        let answer = site.send(site.addr(0), "POST", "hold", &long).await;
        let broken = answer.is_none_or(|a| !a.complete || a.status == 502);
        assert!(broken, "cut after {bytes}");
    }
    tap.set_fault(Fault::None);
    let cut = [long[0], long[1], ("x-cut", "during")];
    let answer = site.send(site.addr(0), "POST", "hold", &cut).await;
    assert!(answer.is_none_or(|a| !a.complete), "cut by the upstream");
    let answer = site.send(site.addr(0), "POST", "hold", &long).await;
    let answer = answer.expect("an answer");
    assert!(answer.complete);
    assert_eq!(answer.body.len(), 64 * 1_024);
    assert_eq!(platform_breaches(&site), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_a_caller_without_chunks_sees_a_cut_too() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let (platform, _tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    // In HTTP/1.0 an answer without a length ends with the connection.
    for (cut, whole) in [("during", false), ("none", true)] {
        let stream = tokio::net::TcpStream::connect(site.addr(0)).await;
        let mut stream = stream.expect("a connection");
        let text = format!(
            "GET / HTTP/1.0\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
             x-chunks: 8\r\nx-chunk-bytes: 10\r\nx-chunk-ms: 20\r\nx-cut: {cut}\r\n\r\n",
            site.key
        );
        let written = stream.write_all(text.as_bytes()).await;
        written.expect("it can be written");
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer).await;
        let text = String::from_utf8_lossy(&answer).into_owned();
        assert!(text.contains(" 200 OK"), "{text}");
        assert_eq!(read.is_ok(), whole, "cut {cut}: {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_an_answer_after_its_timeout_is_an_error() {
    let (platform, _tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    let late = [("x-work-ms", "4000")];
    let a = site.send(site.addr(0), "POST", "hold", &late).await;
    let a = a.expect("an answer");
    assert_eq!((a.status, reason(&a)), (504, Some(303)));
    assert_eq!(a.verdict().as_deref(), Some("may_have_run"));
    // The head comes in time and the body does not.
    let slow = [("x-chunks", "8"), ("x-chunk-ms", "1000")];
    let a = site.send(site.addr(0), "POST", "hold", &slow).await;
    assert!(a.is_none_or(|a| !a.complete), "looks whole");
    // The late answers do not reach whoever asks next.
    for i in 0..20 {
        let id = format!("next-{i}");
        let named = [("x-request-id", id.as_str())];
        let a = site.send(site.addr(0), "POST", "hold", &named);
        let a = a.await.expect("an answer");
        assert_eq!(a.headers["x-request-id"], id.as_str());
        assert_eq!(a.body, b"/street/7\na body");
    }
    wait_until("all slots are free", || async {
        site.platform.workers[0].in_progress() == 0
    })
    .await;
    assert_eq!(platform_breaches(&site), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_a_caller_that_goes_away_leaves_no_slot_taken() {
    let (platform, _tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    // Three times as many as the worker has slots, so that some still wait.
    for _ in 0..3 {
        let gone = (0..24).map(|_| leave(&site, Duration::from_millis(60)));
        for left in gone.collect::<Vec<_>>() {
            left.await.expect("no caller panics");
        }
    }
    // These leave in the middle of their answers.
    let gone = (0..8).map(|_| leave_amid(&site));
    for left in gone.collect::<Vec<_>>() {
        left.await.expect("no caller panics");
    }
    let slots = (0..8).map(|i| {
        let (addr, headers) = (site.addr(0), bearer(&site));
        tokio::spawn(async move {
            let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
            send_request(addr, "POST", &format!("/{i}"), &headers, "").await
        })
    });
    for slot in slots.collect::<Vec<_>>() {
        let a = slot.await.expect("no caller panics").expect("an answer");
        assert_eq!(a.status, 200, "a slot is still taken");
    }
    assert_eq!(platform_breaches(&site), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn point_06_answers_are_never_crossed() {
    let platform = Platform::start(6, PROGRAMS).await;
    let site = Site::start(platform, 3, "").await;
    // All callers are at one entry, so that most answers come by slots of its peers.
    let mut plan = site.plan("hold", 20);
    plan.work_ms = 5;
    plan.pause = Duration::ZERO;
    let plain = Load::start(&[site.addr(0)], &plan);
    plan.chunks = 5;
    plan.prefix = "chunked-".to_owned();
    let chunked = Load::start(&[site.addr(0)], &plan);
    tokio::time::sleep(Duration::from_secs(4)).await;
    for load in [plain, chunked] {
        let seen = load.finish().await;
        assert!(seen.answered > 100, "{seen:?}");
        assert_eq!(seen.wrong, Vec::<String>::new());
        assert_eq!((seen.cut, seen.no_response), (0, 0));
        assert_eq!(
            seen.contradictions(&site.platform.checker),
            Vec::<String>::new()
        );
    }
    assert_eq!(platform_breaches(&site), []);
}

fn platform_breaches(site: &Site) -> Vec<Violation> {
    site.platform.checker.violations()
}

fn bearer(site: &Site) -> Vec<(&'static str, String)> {
    vec![
        ("authorization", format!("Bearer {}", site.key)),
        ("profile", "hold".to_owned()),
        ("x-work-ms", "300".to_owned()),
    ]
}

/// A caller that sends a request of 300 ms and leaves after `stay`.
fn leave(site: &Site, stay: Duration) -> tokio::task::JoinHandle<()> {
    let (addr, headers) = (site.addr(0), bearer(site));
    tokio::spawn(async move {
        let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let _ = tokio::time::timeout(stay, send_request(addr, "POST", "/left", &headers, "")).await;
    })
}

/// A caller that leaves after the beginning of an answer of 600 ms.
fn leave_amid(site: &Site) -> tokio::task::JoinHandle<()> {
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
        written.expect("it can be written");
        let mut buf = [0; 64];
        let begun = stream.read(&mut buf).await;
        assert!(begun.is_ok_and(|n| n > 0), "no answer begins");
    })
}

/// Sends bytes and reads to the end of the connection.
pub(crate) async fn exchange(addr: std::net::SocketAddr, text: &[u8]) -> Vec<u8> {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let mut stream = tokio::net::TcpStream::connect(addr)
        .await
        .expect("a connection");
    stream.write_all(text).await.expect("it can be written");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await;
    answer
}
