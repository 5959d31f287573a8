//! Connections that stay open but no longer carry data.
//!
//! They must be detected by a timeout and replaced, must not keep slots in use,
//! and must not cause a second run of a request.

use std::net::SocketAddr;
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
use monsoonnotch_ingress::limits::LINK_RECEIVE_BUFFER_BYTES;
use monsoonnotch_ingress::limits::MIB;
use monsoonnotch_ingress::prelude::Budget;
use monsoonnotch_ingress::prelude::Limits;
use monsoonnotch_ingress::prelude::Listener;
use monsoonnotch_peer::link::Links;
use monsoonnotch_platform::http_client::Error;
use monsoonnotch_platform::http_client::HttpClient;
use monsoonnotch_standins::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::site::PROGRAMS;
use crate::site::Site;
use crate::site::start_proxied_platform;

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_callers_hold_no_slot_after_the_timeout() {
    let (platform, _proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "[limits]\nreceive_ms = 1000\n").await;
    let mut connections = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(site.addr(0))
            .await
            .expect("a connection");
        let text = format!(
            "GET / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\nprofile: hold\r\n\
             x-chunks: 4000\r\nx-chunk-bytes: 65536\r\n\r\n",
            site.key
        );
        stream
            .write_all(text.as_bytes())
            .await
            .expect("the request can be written");
        connections.push(stream);
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
async fn unresponsive_upstreams_time_out_and_run_nothing_twice() {
    let (platform, proxy) = start_proxied_platform().await;
    let site = Site::start(platform, 1, "").await;
    let site = Arc::new(site);
    let requests: Vec<_> = (0..4)
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
    // This affects the requests and the connection to the agent; new connections work.
    proxy.silence_open_connections();
    for request in requests {
        let a = request
            .await
            .expect("the caller does not panic")
            .expect("a response");
        assert_eq!(a.verdict().as_deref(), Some("may_have_run"));
    }
    for i in 0..4 {
        assert_eq!(site.platform.checker.run_count(&format!("silent-{i}")), 1);
    }
    let begun = Instant::now();
    for _ in 0..16 {
        let a = site.send(site.addr(0), "POST", "hold", &[]).await;
        let a = a.expect("a response");
        assert_eq!(a.status, 200, "{a:?}");
    }
    assert!(begun.elapsed() < Duration::from_secs(10));
    assert_eq!(site.platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_connections_to_the_log_are_replaced() {
    let platform = Platform::start(2, PROGRAMS).await;
    let proxy = FaultProxy::start(platform.log.addr()).await;
    let entries = vec![platform.start_entry_with_log("fd-0", proxy.addr, "")];
    let site = Site::with(platform, entries).await;
    let load = Load::start(&site.addrs(), &site.plan("hold", 4));
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_secs(2)).await;
        proxy.silence_open_connections();
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = load.outcomes().answered;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(load.outcomes().answered > before, "no request is answered");
    let outcomes = load.finish().await;
    assert_eq!((outcomes.cut, outcomes.no_response), (0, 0), "{outcomes:?}");
    assert!(
        outcomes.refused.keys().all(|v| v == "not_run"),
        "{outcomes:?}"
    );
    assert_eq!(
        outcomes.contradictions(&site.platform.checker),
        Vec::<String>::new()
    );
    site.entries[0].publish_profile("after", "lane = \"short\"\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_connections_to_the_platform_cost_one_timeout() {
    let log = LogService::start().await.expect("a free port");
    let proxy = FaultProxy::start(log.addr()).await;
    let timeout = Duration::from_millis(500);
    let addr = proxy.addr.to_string();
    for _ in 0..5 {
        let http = HttpClient::new(timeout);
        let read = || http.exchange(Method::GET, &addr, "/streams/x", Bytes::new());
        // Concurrent requests open several connections, which then stay open.
        let concurrent = (0..8).map(|_| read());
        for response in futures_util::future::join_all(concurrent).await {
            response.expect("a response");
        }
        proxy.silence_open_connections();
        let first = read().await;
        assert!(matches!(first, Err(Error::Timeout(_)) | Ok(_)), "{first:?}");
        for _ in 0..3 {
            read().await.expect("a response on a new connection");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_links_between_peers_are_replaced() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let limits = Limits::of_vm(256 * MIB, 4_096).split_off_links();
    let budget = Budget::new("peers", limits, |_, _| {}, |_| {});
    let listener = Listener::bind(any_port, LINK_RECEIVE_BUFFER_BYTES, budget);
    let listener = listener.expect("a free port");
    let proxy = FaultProxy::start(listener.local_addr().expect("bound")).await;
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    tokio::spawn(monsoonnotch_peer::link::accept(listener, move |_| {
        count.fetch_add(1, Ordering::Relaxed);
    }));
    let mut links = Links::new(MemberId(1), tokio::runtime::Handle::current());
    let to = PeerAddr {
        member: MemberId(2),
        addr: proxy.addr.to_string().into(),
    };
    for _ in 0..3 {
        let before = received.load(Ordering::Relaxed);
        let begun = Instant::now();
        // A link without data from its remote end for 1.5 s is dropped at one of the pings that
        // follow every 0.5 s, and then dialled again; the sum is doubled for a busy machine.
        while received.load(Ordering::Relaxed) == before {
            assert!(
                begun.elapsed() < Duration::from_secs(5),
                "the link is not replaced"
            );
            links.send(&to, PeerMsg::TaskUpdatesAck { tasks: Vec::new() });
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        proxy.silence_open_connections();
        // Messages in transit arrive before the next round counts.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
