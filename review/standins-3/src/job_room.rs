//! Large jobs that are accepted while no member leads, by clients that come back.
//!
//! A member that exceeds its memory is killed and started again, as by the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::vm::SharedChecker;
use serde_json::json;

use crate::Finding;
use crate::deployment::Member;
use crate::deployment::Record;
use crate::deployment::Route;
use crate::deployment::call;
use crate::deployment::cannot_run;
use crate::deployment::publish;
use crate::deployment::start_all;
use crate::deployment::unlimited;
use crate::deployment::with_trouble;
use crate::fleet::About;
use crate::fleet::start_worker;
use crate::paged_store::PagedStore;

const WORKERS: usize = 12;
/// `memory-mb` of the machines of the site, in bytes.
const MEMORY_MAX: u64 = 260 << 20;
/// Time between two samples of the memory of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time until the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time of the traffic before the freeze.
const BEFORE: Duration = Duration::from_secs(10);
/// Time of the traffic after the freeze.
const AFTER: Duration = Duration::from_secs(10);
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
/// Clients that send large jobs.
const CLIENTS: u64 = 200;
/// Pause of such a client between two requests, unless it is told a longer one.
const PAUSE: Duration = Duration::from_millis(2_000);
/// Time for which the leader stands still: the dose of `node_freeze` in the site file.
const FROZEN: Duration = Duration::from_millis(4_000);
/// Jobs that may be unknown until no further ones are asked for, as each takes three deadlines.
const UNKNOWN_MAX: usize = 5;
/// Pause between two small jobs.
const SMALL_PAUSE: Duration = Duration::from_millis(500);

type Members = Arc<Mutex<Vec<Member>>>;

fn lock(members: &Members) -> MutexGuard<'_, Vec<Member>> {
    members.lock().expect("no panic")
}

/// What the platform has done, and the most memory that a process had.
#[derive(Debug, Default)]
struct Platform {
    killed_for_memory: usize,
    peak: u64,
}

/// Kills processes that exceed their memory, and starts those that have ended.
async fn keep_running(members: Members, platform: Arc<Mutex<Platform>>, record: Record) {
    let mut ended: Vec<Option<Instant>> = vec![None; lock(&members).len()];
    loop {
        for (member, ended) in lock(&members).iter_mut().zip(&mut ended) {
            let memory = member.memory();
            let mut platform = platform.lock().expect("no panic");
            platform.peak = platform.peak.max(memory);
            if memory > MEMORY_MAX {
                record.add(format!(
                    "member {} has {} MiB, 260 allowed",
                    member.name(),
                    memory >> 20
                ));
                member.kill(&record);
                platform.killed_for_memory += 1;
            }
            match (member.is_started(), *ended) {
                (true, _) => *ended = None,
                (false, None) => *ended = Some(Instant::now()),
                (false, Some(at)) if at.elapsed() > RESTART_DELAY => member.start(&record),
                (false, Some(_)) => {}
            }
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns a valid job with nearly as many steps, and as many tasks, as the product takes.
fn large_job() -> String {
    let spec = json!({"cpu": 1_000, "work_ms": 1_000}).to_string();
    let step = json!({"count": 5, "cpu": 9});
    json!({"spec": spec, "phases": vec![step; 4_000]}).to_string()
}

/// A client that sends one large job after the other; returns how many were accepted. A request without
/// a definite answer is repeated at the next member; a job that is refused is sent again later.
async fn send_large_jobs(
    client: u64,
    addrs: [SocketAddr; 3],
    body: Arc<String>,
    stop: Arc<AtomicBool>,
    record: Record,
) -> u64 {
    let (mut accepted, mut number, mut next) = (0, 0_u64, client as usize);
    tokio::time::sleep(PAUSE * client as u32 / CLIENTS as u32).await;
    while !stop.load(Ordering::Relaxed) {
        let path = format!("/jobs/{:016x}", (client + 1) << 32 | number);
        let addr = addrs[next % addrs.len()];
        next += 1;
        let (status, _) = call(&record, addr, "POST", &path, Some("key-a"), &body).await;
        if status == 200 {
            accepted += 1;
            number += 1;
        }
        tokio::time::sleep(PAUSE).await;
    }
    accepted
}

/// A client that sends small jobs; returns the paths of those that were accepted.
async fn send_small_jobs(
    addrs: [SocketAddr; 3],
    stop: Arc<AtomicBool>,
    record: Record,
) -> Vec<String> {
    let body = job_body(&[2], 10, 300);
    let mut accepted = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let path = format!("/jobs/{:016x}", 0xf8_u64 << 56 | number);
        let addr = addrs[number as usize % addrs.len()];
        let (status, _) = call(&record, addr, "POST", &path, Some("key-b"), &body).await;
        if status == 200 {
            accepted.push(path);
        }
        number += 1;
        tokio::time::sleep(SMALL_PAUSE).await;
    }
    accepted
}

/// Returns the token in the logged line of a term's begin.
fn token(line: &str) -> u64 {
    let digits = |c: &char| c.is_ascii_digit();
    let from = line.find("token").map_or("", |at| &line[at..]);
    let text: String = from
        .chars()
        .skip_while(|c| !digits(c))
        .take_while(digits)
        .collect();
    text.parse().unwrap_or(0)
}

/// Returns the number of the member that leads.
fn leader(members: &Members) -> usize {
    let members = lock(members);
    let began = |m: &Member| m.log_lines("term begins").last().map(|l| token(l));
    let newest = (0..members.len()).max_by_key(|&m| began(&members[m]));
    newest.unwrap_or_else(|| cannot_run("there are no members"))
}

/// Asks every member in turn for a job, until one knows it; returns whether one does.
async fn is_known(record: &Record, addrs: &[SocketAddr], path: &str) -> bool {
    for addr in addrs {
        let (status, _) = call(record, *addr, "GET", path, Some("key-b"), "").await;
        if status == 200 {
            return true;
        }
    }
    false
}

pub async fn run(record: &Record, dir: &Path) -> Finding {
    let store = PagedStore::start(record.clone()).await;
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
    let tenants = [unlimited("ann", &["key-a"]), unlimited("bob", &["key-b"])];
    publish(&store, 1, &routes, &tenants);
    let mut members = ["a", "b", "c"].map(|d| Member::new(1, d, store.addr(), dir));
    start_all(&mut members, record).await;
    let addrs = [0, 1, 2].map(|m: usize| members[m].callers);
    let members: Members = Arc::new(Mutex::new(members.into()));
    let platform = Arc::new(Mutex::new(Platform::default()));
    let keeper = tokio::spawn(keep_running(
        Arc::clone(&members),
        Arc::clone(&platform),
        record.clone(),
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let body = Arc::new(large_job());
    let large = (0..CLIENTS).map(|client| {
        let (body, stop) = (Arc::clone(&body), Arc::clone(&stop));
        tokio::spawn(send_large_jobs(client, addrs, body, stop, record.clone()))
    });
    let large: Vec<_> = large.collect();
    let small = tokio::spawn(send_small_jobs(addrs, Arc::clone(&stop), record.clone()));
    tokio::time::sleep(BEFORE).await;
    let peak_before = platform.lock().expect("no panic").peak >> 20;
    record.add(format!(
        "the most memory of a member so far: {peak_before} MiB"
    ));
    if with_trouble() {
        let leader = leader(&members);
        lock(&members)[leader].freeze(record);
        tokio::time::sleep(FROZEN).await;
        lock(&members)[leader].thaw(record);
    }
    tokio::time::sleep(AFTER).await;
    stop.store(true, Ordering::Relaxed);
    let mut accepted_large = 0;
    for client in large {
        accepted_large += client.await.expect("no panic");
    }
    let accepted = small.await.expect("no panic");
    record.add(format!(
        "the traffic ends; {accepted_large} large jobs were accepted"
    ));
    tokio::time::sleep(FINISH).await;
    let (mut asked, mut unknown) = (0, 0);
    for path in &accepted {
        if unknown < UNKNOWN_MAX {
            asked += 1;
            unknown += usize::from(!is_known(record, &addrs, path).await);
        }
    }
    keeper.abort();
    lock(&members).iter_mut().for_each(|m| m.kill(record));
    let platform = platform.lock().expect("no panic");
    Finding {
        broken: unknown > 0,
        what: format!(
            "of {} small jobs that were accepted {asked} were asked for, and {unknown} are known to no member; {accepted_large} large jobs were accepted; most memory of a member {peak_before} MiB before the freeze, {} MiB in all; members killed for memory: {}",
            accepted.len(),
            platform.peak >> 20,
            platform.killed_for_memory
        ),
    }
}
