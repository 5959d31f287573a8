//! A large job whose runs all lapse.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::store::Store;
use monsoonnotch_adapter_standins::vm::SharedChecker;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::Finding;
use crate::deployment::Member;
use crate::deployment::Record;
use crate::deployment::Route;
use crate::deployment::call;
use crate::deployment::call_until_ok;
use crate::deployment::publish;
use crate::deployment::start_all;
use crate::deployment::unlimited;
use crate::deployment::with_trouble;
use crate::fleet::About;
use crate::fleet::start_worker;

const KEY: Option<&str> = Some("key-a");
const WORKERS: usize = 24;
/// Time from the kill of all members to their start: the dose of `herd_kill` in the site file.
const DOWN: Duration = Duration::from_millis(9_500);
const LARGE: &str = "/jobs/5c0e7a21d94b36f8";
const SMALL: &str = "/jobs/00000000000000f8";

/// Topic of the journal.
const JOURNAL: &str = "keyed.jobs";

/// Passes connections on to the store, and counts its answers with status 400. Returns the address.
async fn watch_refusals(store: SocketAddr, refused: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound listener");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let refused = Arc::clone(&refused);
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(store).await else {
                    return;
                };
                let (mut from_client, mut to_client) = client.into_split();
                let (mut from_server, mut to_server) = server.into_split();
                let requests = tokio::spawn(async move {
                    let _ = tokio::io::copy(&mut from_client, &mut to_server).await;
                });
                let mut buf = vec![0; 64 << 10];
                while let Ok(n @ 1..) = from_server.read(&mut buf).await {
                    let is_refusal = buf[..n].starts_with(b"HTTP/1.1 400");
                    refused.fetch_add(u64::from(is_refusal), Ordering::Relaxed);
                    if to_client.write_all(&buf[..n]).await.is_err() {
                        break;
                    }
                }
                requests.abort();
            });
        }
    });
    addr
}

pub async fn run(record: &Record, dir: &Path) -> Finding {
    let store = Store::start().await;
    let checker = SharedChecker::default();
    for number in 0..WORKERS {
        let domain = ["a", "b", "c"][number % 3];
        let about = About {
            service: "pool",
            draining: false,
            cpu: 8_000,
            label: domain,
        };
        start_worker(number, domain, about, &store, &checker).await;
    }
    let routes = [Route {
        prefix: "/jobs/",
        service: "pool",
        public: false,
        priority: 0,
    }];
    let refused = Arc::new(AtomicU64::new(0));
    let store_addr = watch_refusals(store.addr(), Arc::clone(&refused)).await;
    publish(&store, 1, &routes, &[unlimited("ann", &["key-a"])]);
    let mut members = ["a", "b", "c"].map(|d| Member::new(1, d, store_addr, dir));
    start_all(&mut members, record).await;
    let addrs = [0, 1, 2].map(|m: usize| members[m].callers);
    let spec = json!({"cpu": 9, "work_ms": 25_000}).to_string();
    let phase = json!({"count": 10_000, "cpu": 9, "mem-mb": 1, "est-runtime-ms": 25_000});
    let body = json!({"spec": spec, "phases": [phase, phase]}).to_string();
    call_until_ok(record, &addrs, "POST", LARGE, KEY, &body).await;
    tokio::time::sleep(Duration::from_secs(14)).await;
    let starts = checker.lock().expect("no panic").starts.len();
    record.add(format!("{starts} tasks have started"));
    if with_trouble() {
        members.iter_mut().for_each(|m| m.kill(record));
        tokio::time::sleep(DOWN).await;
        start_all(&mut members, record).await;
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    let (stored_before, refused_before) =
        (store.record_count(JOURNAL), refused.load(Ordering::Relaxed));
    let small = job_body(&[1], 10, 500);
    call_until_ok(record, &addrs, "POST", SMALL, KEY, &small).await;
    let until = Instant::now() + Duration::from_secs(25);
    let mut done = false;
    while Instant::now() < until && !done {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (_, state) = call(record, addrs[0], "GET", SMALL, KEY, "").await;
        done = state == "completed";
    }
    call(record, addrs[0], "GET", LARGE, KEY, "").await;
    let stored = store.record_count(JOURNAL) - stored_before;
    let refused = refused.load(Ordering::Relaxed) - refused_before;
    record.add(format!(
        "since the small job was sent the store has taken {stored} records of the journal and answered 400 to {refused} appends"
    ));
    Finding {
        broken: !done,
        what: format!(
            "an accepted job of one task of 0.5 s was complete within 25 s: {done}; meanwhile the store took {stored} records of the journal and answered 400 to {refused} appends"
        ),
    }
}
