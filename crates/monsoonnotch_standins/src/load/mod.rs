//! A load of concurrent callers, each of which sends one request after another over keep-alive
//! connections.
//!
//! Requests go only to entries that report ready, as behind a load balancer. A request that was
//! refused with the verdict `not_run` is sent again with the same ID, to the next ready entry. If
//! the verdict was false, the [`Checker`] counts the request as run twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::caller::send_request;
use crate::worker::Checker;

/// Interval at which the readiness of the entries is polled.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a caller before it retries a request, and while no entry is ready.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The parameters of a load.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Prefix of the ID of each request.
    pub prefix: String,
    /// Headers to add to each request.
    pub headers: Vec<(String, String)>,
    /// Time that each request takes at an upstream, in milliseconds.
    pub work_ms: u64,
    /// Number of chunks in each response; with zero, the response has a content length instead.
    pub chunks: u64,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Delay of each caller between two requests.
    pub pause: Duration,
}

/// Counts of the outcomes that the callers observed.
#[derive(Debug, Default, Clone)]
pub struct Outcomes {
    /// Number of complete and correct responses.
    pub answered: u64,
    /// Number of refusals by verdict.
    pub refused: BTreeMap<String, u64>,
    /// Number of responses that ended early with a connection error.
    pub cut: u64,
    /// Number of requests that were sent and received no response, timeouts included.
    pub no_response: u64,
    /// Number of connections that could not be opened.
    pub unreachable: u64,
    /// Descriptions of successful responses whose body was not the expected one.
    pub wrong: Vec<String>,
    /// The last result reported to the caller of each request, by request ID.
    reported: BTreeMap<String, Reported>,
}

/// The last result of a request that was reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reported {
    Answered,
    NotRun,
    Unknown,
}

impl Outcomes {
    /// Returns a description of each request whose reported result contradicts the number of times
    /// that it ran at the upstreams.
    pub fn contradictions(&self, checker: &Checker) -> Vec<String> {
        let mut contradictions = Vec::new();
        for (id, reported) in &self.reported {
            let runs = checker.run_count(id);
            let consistent = match reported {
                Reported::Answered => runs == 1,
                Reported::NotRun => runs == 0,
                Reported::Unknown => runs <= 1,
            };
            if !consistent {
                contradictions.push(format!("{id}: {reported:?}, ran {runs} times"));
            }
        }
        contradictions
    }
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Outcomes>>,
    /// The entries, each with whether it was ready at the last poll.
    entries: Arc<Mutex<Vec<(SocketAddr, bool)>>>,
    callers: JoinSet<()>,
    readiness_poller: JoinSet<()>,
}

impl Load {
    /// Starts callers that send requests to the entries at `addrs`, which are taken to be ready.
    pub fn start(addrs: &[SocketAddr], plan: &Plan) -> Self {
        let entries = addrs.iter().map(|a| (*a, true)).collect();
        let entries = Arc::new(Mutex::new(entries));
        let outcomes = Arc::new(Mutex::new(Outcomes::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let mut readiness_poller = JoinSet::new();
        readiness_poller.spawn(poll_readiness(Arc::clone(&entries)));
        let mut callers = JoinSet::new();
        for n in 0..plan.callers {
            let caller = Caller {
                n,
                plan: plan.clone(),
                entries: Arc::clone(&entries),
                outcomes: Arc::clone(&outcomes),
                idle: BTreeMap::new(),
            };
            callers.spawn(caller.run(Arc::clone(&stop)));
        }
        Self {
            stop,
            outcomes,
            entries,
            callers,
            readiness_poller,
        }
    }

    /// Adds an entry, which gets requests once it reports ready.
    pub fn add(&self, addr: SocketAddr) {
        lock(&self.entries).push((addr, false));
    }

    /// Removes an entry; callers send it no further requests.
    pub fn remove(&self, addr: SocketAddr) {
        lock(&self.entries).retain(|(a, _)| *a != addr);
    }

    /// Returns the outcomes so far.
    pub fn outcomes(&self) -> Outcomes {
        lock(&self.outcomes).clone()
    }

    /// Waits until every caller has finished its current attempt, and returns all outcomes.
    pub async fn finish(mut self) -> Outcomes {
        self.stop.store(true, Ordering::Relaxed);
        while self.callers.join_next().await.is_some() {}
        self.readiness_poller.abort_all();
        lock(&self.outcomes).clone()
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().expect("no holder of the lock panics")
}

/// Polls the readiness of the entries until it is aborted, as a load balancer does.
async fn poll_readiness(entries: Arc<Mutex<Vec<(SocketAddr, bool)>>>) {
    loop {
        let addrs: Vec<SocketAddr> = lock(&entries).iter().map(|(a, _)| *a).collect();
        for addr in addrs {
            let request = send_request(addr, "GET", "/readyz", &[], "");
            let response = tokio::time::timeout(READINESS_INTERVAL * 5, request).await;
            let is_ready = matches!(response, Ok(Some(r)) if r.status == 200);
            let mut list = lock(&entries);
            let found = list.iter_mut().find(|(a, _)| *a == addr);
            if let Some((_, r)) = found {
                *r = is_ready;
            }
        }
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

/// The outcome of one attempt to send a request.
enum Outcome {
    Answered,
    /// The entry refused the request; contains the verdict, or `none` when there is none.
    Refused(String),
    Cut,
    NoResponse,
    Unreachable,
    /// The response was successful but wrong; contains a description.
    Wrong(String),
}

/// A caller, which sends one request at a time.
struct Caller {
    n: usize,
    plan: Plan,
    entries: Arc<Mutex<Vec<(SocketAddr, bool)>>>,
    outcomes: Arc<Mutex<Outcomes>>,
    /// Idle keep-alive connections by entry.
    idle: BTreeMap<SocketAddr, SendRequest<String>>,
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>) {
        let mut i = 0;
        while !stop.load(Ordering::Relaxed) {
            i += 1;
            let id = format!("{}{}-{i}", self.plan.prefix, self.n);
            self.send_until_final(&id, i, &stop).await;
            tokio::time::sleep(self.plan.pause).await;
        }
    }

    /// Sends a request, with retries, until it is answered or may have run.
    async fn send_until_final(&mut self, id: &str, i: usize, stop: &AtomicBool) {
        for attempt in 0.. {
            let Some(addr) = self.pick_entry(i + attempt) else {
                tokio::time::sleep(RETRY_DELAY).await;
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                continue;
            };
            let sent = tokio::time::timeout(self.plan.timeout, self.send(addr, id)).await;
            let outcome = sent.unwrap_or(Outcome::NoResponse);
            if self.record(id, outcome) || stop.load(Ordering::Relaxed) {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns a ready entry, in rotation over `i`; `None` when no entry is ready.
    fn pick_entry(&self, i: usize) -> Option<SocketAddr> {
        let list = lock(&self.entries);
        let ready: Vec<SocketAddr> = list.iter().filter(|(_, r)| *r).map(|(a, _)| *a).collect();
        let n = ready.len().max(1);
        ready.get((self.n + i) % n).copied()
    }

    /// Counts an outcome and returns whether it is final, so that the request is not retried.
    fn record(&self, id: &str, outcome: Outcome) -> bool {
        let mut outcomes = lock(&self.outcomes);
        let (reported, is_final) = match outcome {
            Outcome::Answered => {
                outcomes.answered += 1;
                (Reported::Answered, true)
            }
            Outcome::Refused(verdict) => {
                let not_run = verdict == "not_run";
                *outcomes.refused.entry(verdict).or_default() += 1;
                match not_run {
                    true => (Reported::NotRun, false),
                    false => (Reported::Unknown, true),
                }
            }
            Outcome::Unreachable => {
                outcomes.unreachable += 1;
                (Reported::NotRun, false)
            }
            Outcome::Cut => {
                outcomes.cut += 1;
                (Reported::Unknown, true)
            }
            Outcome::NoResponse => {
                outcomes.no_response += 1;
                (Reported::Unknown, true)
            }
            Outcome::Wrong(description) => {
                outcomes.wrong.push(description);
                (Reported::Unknown, true)
            }
        };
        outcomes.reported.insert(id.to_owned(), reported);
        is_final
    }

    /// Sends a request once and checks the response.
    async fn send(&mut self, addr: SocketAddr, id: &str) -> Outcome {
        let Some(mut sender) = self.connection(addr).await else {
            return Outcome::Unreachable;
        };
        let body = format!("body of {id}");
        let mut req = hyper::Request::builder()
            .method("POST")
            .uri(format!("/load/{id}"))
            .header("host", "test")
            .header("x-once", id)
            .header("x-work-ms", self.plan.work_ms)
            .header("x-chunks", self.plan.chunks)
            .header("x-chunk-bytes", 64);
        for (name, value) in &self.plan.headers {
            req = req.header(name, value);
        }
        let req = req.body(body.clone()).expect("a valid request");
        let Ok(res) = sender.send_request(req).await else {
            return Outcome::NoResponse;
        };
        let status = res.status();
        let Ok(received) = res.into_body().collect().await else {
            return Outcome::Cut;
        };
        let received = received.to_bytes();
        if sender.ready().await.is_ok() {
            self.idle.insert(addr, sender);
        }
        if !status.is_success() {
            let v: serde_json::Value = serde_json::from_slice(&received).unwrap_or_default();
            let verdict = v["verdict"].as_str().unwrap_or("none");
            return Outcome::Refused(verdict.to_owned());
        }
        let expected = match self.plan.chunks {
            0 => format!("/load/{id}\n{body}").into_bytes(),
            n => vec![b'x'; usize::try_from(n).unwrap_or(0) * 64],
        };
        match received == expected {
            true => Outcome::Answered,
            false => Outcome::Wrong(format!("{id}: {} bytes", received.len())),
        }
    }

    /// Returns the keep-alive connection to an entry, or opens a new one.
    async fn connection(&mut self, addr: SocketAddr) -> Option<SendRequest<String>> {
        if let Some(sender) = self.idle.remove(&addr).filter(|s| !s.is_closed()) {
            return Some(sender);
        }
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (sender, conn) = handshake.await.ok()?;
        tokio::spawn(conn);
        Some(sender)
    }
}
