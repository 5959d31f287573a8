//! Connections that go silent: noticed, replaced, and no second run.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::wire::PeerAddr;
use monsoonnotch_core::wire::PeerMsg;
use monsoonnotch_peer::link::Links;
use monsoonnotch_platform::http_client::Error;
use monsoonnotch_platform::http_client::HttpClient;
use monsoonnotch_standins::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::site::PROGRAMS;
use crate::site::Site;
use crate::site::tapped;

#[tokio::test(flavor = "multi_thread")]
async fn silent_callers_hold_no_slot_after_the_timeout() {
    let (platform, _tap) = tapped().await;
    let site = Site::start(platform, 1, "[limits]\nreceive_ms = 1000\n").await;
    let mut silent = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(site.addr(0))
            .await
            .expect("a connection");
        let text = format!(
            "GET / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
             x-chunks: 4000\r\nx-chunk-bytes: 65536\r\n\r\n",
            site.key
        );
        stream.write_all(text.as_bytes()).await.expect("written");
        silent.push(stream);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(site.platform.workers[0].in_progress(), 8);
    wait_until("the slots are free again", || async {
        site.platform.workers[0].in_progress() == 0
    })
    .await;
    wait_until("a request is answered", || async {
        let a = site.send(site.addr(0), "GET", "hold", &[]).await;
        a.is_some_and(|a| a.status == 200)
    })
    .await;
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_upstreams_are_noticed_at_the_timeout_and_run_nothing_twice() {
    let (platform, tap) = tapped().await;
    let site = Site::start(platform, 1, "").await;
    let site = Arc::new(site);
    let sent: Vec<_> = (0..4)
        .map(|i| {
            let site = Arc::clone(&site);
            tokio::spawn(async move {
                let id = format!("silent-{i}");
                let headers = [("x-once", id.as_str()), ("x-work-ms", "1000")];
                site.send(site.addr(0), "POST", "hold", &headers).await
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    // The requests and the agent's connection alike; new connections work.
    tap.silence_open_connections();
    for sent in sent {
        let a = sent.await.expect("no caller panics").expect("an answer");
        assert_eq!(a.verdict().as_deref(), Some("may_have_run"));
    }
    for i in 0..4 {
        assert_eq!(site.platform.checker.run_count(&format!("silent-{i}")), 1);
    }
    let begun = Instant::now();
    for _ in 0..16 {
        let a = site.send(site.addr(0), "POST", "hold", &[]).await;
        let a = a.expect("an answer");
        assert_eq!(a.status, 200, "{a:?}");
    }
    assert!(begun.elapsed() < Duration::from_secs(10));
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_log_are_replaced() {
    let platform = Platform::start(2, PROGRAMS).await;
    let tap = FaultProxy::start(platform.log.addr()).await;
    let entries = vec![platform.start_entry_with_log("fd-0", tap.addr, "")];
    let site = Site::with(platform, entries).await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 4));
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_secs(2)).await;
        tap.silence_open_connections();
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = load.outcomes().answered;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(load.outcomes().answered > before, "no work is started");
    let seen = load.finish().await;
    assert_eq!((seen.cut, seen.no_response), (0, 0), "{seen:?}");
    assert!(seen.refused.keys().all(|v| v == "not_run"), "{seen:?}");
    assert_eq!(
        seen.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    site.entries[0].publish_profile("after", "lane = \"short\"\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_platform_cost_one_timeout() {
    let log = LogService::start().await.expect("a free port");
    let tap = FaultProxy::start(log.addr()).await;
    let timeout = Duration::from_millis(500);
    let addr = tap.addr.to_string();
    for _ in 0..5 {
        let http = HttpClient::new(timeout);
        let read = || http.exchange(Method::GET, &addr, "/streams/x", Bytes::new());
        // Several connections at a time, which then stay open.
        let many = (0..8).map(|_| read());
        for answer in futures_util::future::join_all(many).await {
            answer.expect("an answer");
        }
        tap.silence_open_connections();
        let first = read().await;
        assert!(matches!(first, Err(Error::Timeout(_)) | Ok(_)), "{first:?}");
        for _ in 0..3 {
            read().await.expect("an answer on a new connection");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_links_between_peers_are_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let tap = FaultProxy::start(listener.local_addr().expect("bound")).await;
    let heard = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&heard);
    tokio::spawn(monsoonnotch_peer::link::accept(listener, move |_| {
        count.fetch_add(1, Ordering::Relaxed);
    }));
    let mut links = Links::new(MemberId(1), tokio::runtime::Handle::current());
    let to = PeerAddr {
        member: MemberId(2),
        addr: tap.addr.to_string().into(),
    };
    for _ in 0..3 {
        let before = heard.load(Ordering::Relaxed);
        let begun = Instant::now();
        // Silence of 1.5 s, a ping of 0.5 s and a dial; doubled for a busy machine.
        while heard.load(Ordering::Relaxed) == before {
            assert!(begun.elapsed() < Duration::from_secs(5), "still silent");
            links.send(&to, PeerMsg::TaskUpdatesAck { tasks: Vec::new() });
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        tap.silence_open_connections();
        // Let what is on its way arrive.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
