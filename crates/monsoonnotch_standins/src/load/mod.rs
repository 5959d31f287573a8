//! Callers under load: each sends one request after the other on kept-alive connections.
//!
//! They look at readiness as a balancer does. A request that was refused as
//! not run is sent again elsewhere under the same identity, so that a refusal
//! that is not true shows as a request that ran twice.

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

/// Pause between two looks at the entries' readiness.
const LOOK: Duration = Duration::from_millis(100);
/// Pause of a caller after a request that was not answered.
const PAUSE: Duration = Duration::from_millis(50);

/// What a load sends.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Callers at a time.
    pub callers: usize,
    /// Beginning of each request's identity.
    pub prefix: String,
    /// Headers of each request.
    pub headers: Vec<(String, String)>,
    /// Time that each request takes at an upstream, in milliseconds.
    pub work_ms: u64,
    /// Chunks of each answer; zero for one with a length.
    pub chunks: u64,
    /// Longest wait of a caller for its answer.
    pub timeout: Duration,
    /// Pause of each caller between two requests.
    pub pause: Duration,
}

/// What the callers saw.
#[derive(Debug, Default, Clone)]
pub struct Outcomes {
    /// Whole and right answers.
    pub answered: u64,
    /// Refusals by their verdict.
    pub refused: BTreeMap<String, u64>,
    /// Answers that were visibly cut.
    pub cut: u64,
    /// Connections that ended without any answer after a request was sent.
    pub no_response: u64,
    /// Connections that could not be opened.
    pub unreachable: u64,
    /// Answers that looked whole and were not the caller's own.
    pub wrong: Vec<String>,
    /// Requests by identity, and what the caller was told last.
    told: BTreeMap<String, Told>,
}

/// What a caller was told last of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Answered,
    NotRun,
    Unknown,
}

impl Outcomes {
    /// What the upstreams' counts say against what callers were told, as sentences.
    pub fn contradictions(&self, checker: &Checker) -> Vec<String> {
        let mut lies = Vec::new();
        for (id, told) in &self.told {
            let ran = checker.run_count(id);
            let fits = match told {
                Told::Answered => ran == 1,
                Told::NotRun => ran == 0,
                Told::Unknown => ran <= 1,
            };
            if !fits {
                lies.push(format!("{id}: {told:?}, ran {ran} times"));
            }
        }
        lies
    }
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Outcomes>>,
    ready: Arc<Mutex<Vec<(SocketAddr, bool)>>>,
    callers: JoinSet<()>,
    balancer: JoinSet<()>,
}

impl Load {
    /// Starts callers of the entries at `addrs`.
    pub fn start(addrs: &[SocketAddr], plan: &Plan) -> Self {
        let ready = addrs.iter().map(|a| (*a, true)).collect();
        let ready = Arc::new(Mutex::new(ready));
        let outcomes = Arc::new(Mutex::new(Outcomes::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let mut balancer = JoinSet::new();
        balancer.spawn(look(Arc::clone(&ready)));
        let mut callers = JoinSet::new();
        for n in 0..plan.callers {
            let caller = Caller {
                n,
                plan: plan.clone(),
                ready: Arc::clone(&ready),
                outcomes: Arc::clone(&outcomes),
                open: BTreeMap::new(),
            };
            callers.spawn(caller.run(Arc::clone(&stop)));
        }
        Self {
            stop,
            outcomes,
            ready,
            callers,
            balancer,
        }
    }

    /// Adds an entry.
    pub fn add(&self, addr: SocketAddr) {
        lock(&self.ready).push((addr, false));
    }

    /// Takes an entry off the list.
    pub fn remove(&self, addr: SocketAddr) {
        lock(&self.ready).retain(|(a, _)| *a != addr);
    }

    /// What was seen so far.
    pub fn outcomes(&self) -> Outcomes {
        lock(&self.outcomes).clone()
    }

    /// Lets every caller finish its request, then says what was seen.
    pub async fn finish(mut self) -> Outcomes {
        self.stop.store(true, Ordering::Relaxed);
        while self.callers.join_next().await.is_some() {}
        self.balancer.abort_all();
        lock(&self.outcomes).clone()
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().expect("no holder of the lock panics")
}

/// Looks at readiness for ever, as a balancer does.
async fn look(ready: Arc<Mutex<Vec<(SocketAddr, bool)>>>) {
    loop {
        let addrs: Vec<SocketAddr> = lock(&ready).iter().map(|(a, _)| *a).collect();
        for addr in addrs {
            let asked = send_request(addr, "GET", "/readyz", &[], "");
            let answer = tokio::time::timeout(LOOK * 5, asked).await;
            let is_ready = matches!(answer, Ok(Some(a)) if a.status == 200);
            let mut list = lock(&ready);
            let found = list.iter_mut().find(|(a, _)| *a == addr);
            if let Some((_, r)) = found {
                *r = is_ready;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// What became of one sending of a request.
enum Outcome {
    Answered,
    Refused(String),
    Cut,
    NoAnswer,
    Unreachable,
    Wrong(String),
}

/// One caller.
struct Caller {
    n: usize,
    plan: Plan,
    ready: Arc<Mutex<Vec<(SocketAddr, bool)>>>,
    outcomes: Arc<Mutex<Outcomes>>,
    open: BTreeMap<SocketAddr, SendRequest<String>>,
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>) {
        let mut i = 0;
        while !stop.load(Ordering::Relaxed) {
            i += 1;
            let id = format!("{}{}-{i}", self.plan.prefix, self.n);
            self.one(&id, i, &stop).await;
            tokio::time::sleep(self.plan.pause).await;
        }
    }

    /// Sends a request until it is answered or may have run.
    async fn one(&mut self, id: &str, i: usize, stop: &AtomicBool) {
        for turn in 0.. {
            let Some(addr) = self.pick(i + turn) else {
                tokio::time::sleep(PAUSE).await;
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                continue;
            };
            let sent = tokio::time::timeout(self.plan.timeout, self.send(addr, id)).await;
            let outcome = sent.unwrap_or(Outcome::NoAnswer);
            if self.note(id, outcome) || stop.load(Ordering::Relaxed) {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn pick(&self, i: usize) -> Option<SocketAddr> {
        let list = lock(&self.ready);
        let ready: Vec<SocketAddr> = list.iter().filter(|(_, r)| *r).map(|(a, _)| *a).collect();
        let n = ready.len().max(1);
        ready.get((self.n + i) % n).copied()
    }

    /// Counts an outcome; says whether it is the last word on the request.
    fn note(&self, id: &str, outcome: Outcome) -> bool {
        let mut outcomes = lock(&self.outcomes);
        let (told, last) = match outcome {
            Outcome::Answered => {
                outcomes.answered += 1;
                (Told::Answered, true)
            }
            Outcome::Refused(verdict) => {
                let not_run = verdict == "not_run";
                *outcomes.refused.entry(verdict).or_default() += 1;
                match not_run {
                    true => (Told::NotRun, false),
                    false => (Told::Unknown, true),
                }
            }
            Outcome::Unreachable => {
                outcomes.unreachable += 1;
                (Told::NotRun, false)
            }
            Outcome::Cut => {
                outcomes.cut += 1;
                (Told::Unknown, true)
            }
            Outcome::NoAnswer => {
                outcomes.no_response += 1;
                (Told::Unknown, true)
            }
            Outcome::Wrong(what) => {
                outcomes.wrong.push(what);
                (Told::Unknown, true)
            }
        };
        outcomes.told.insert(id.to_owned(), told);
        last
    }

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
        let req = req.body(body.clone()).expect("a sound request");
        let Ok(res) = sender.send_request(req).await else {
            return Outcome::NoAnswer;
        };
        let status = res.status();
        let Ok(got) = res.into_body().collect().await else {
            return Outcome::Cut;
        };
        let got = got.to_bytes();
        if sender.ready().await.is_ok() {
            self.open.insert(addr, sender);
        }
        if !status.is_success() {
            let v: serde_json::Value = serde_json::from_slice(&got).unwrap_or_default();
            let verdict = v["verdict"].as_str().unwrap_or("none");
            return Outcome::Refused(verdict.to_owned());
        }
        let want = match self.plan.chunks {
            0 => format!("/load/{id}\n{body}").into_bytes(),
            n => vec![b'x'; usize::try_from(n).unwrap_or(0) * 64],
        };
        match got == want {
            true => Outcome::Answered,
            false => Outcome::Wrong(format!("{id}: {} bytes", got.len())),
        }
    }

    /// The kept-alive connection to an entry, or a new one.
    async fn connection(&mut self, addr: SocketAddr) -> Option<SendRequest<String>> {
        if let Some(sender) = self.open.remove(&addr).filter(|s| !s.is_closed()) {
            return Some(sender);
        }
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let shake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (sender, conn) = shake.await.ok()?;
        tokio::spawn(conn);
        Some(sender)
    }
}
