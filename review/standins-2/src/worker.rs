//! A worker, as PROTOCOL.md describes it: runs under leases, fences, attempts, ends that are listed
//! until they are acknowledged, and a life with an id of its own.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use http::Response;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use monsoonnotch_standins::serve;
use monsoonnotch_standins::serve::Body;
use monsoonnotch_standins::serve::Server;
use monsoonnotch_standins::serve::response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::advice::Tickets;
use crate::record::Record;
use crate::store::Store;

/// `max-hold-ms`.
const MAX_HOLD_MS: u64 = 10_000;
/// Time from a stop to the end of the run; `stop-grace-ms` is 200.
const STOP_TIME: Duration = Duration::from_millis(50);
/// `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// At most so many ends are listed at a time.
const ENDS_MAX: usize = 500;
/// A worker accepts so many connections.
const CONNECTIONS_MAX: usize = 64;

/// What a task does, which clients write into `spec` as JSON.
#[derive(Clone, Deserialize)]
pub struct Spec {
    /// Duration of a run.
    pub ms: u64,
    /// Whether each run ends as `failed`.
    #[serde(default)]
    pub fails: bool,
    /// Whether only the first run of each task ends as `failed`.
    #[serde(default)]
    pub fails_once: bool,
    /// Whether its queue has a `recommendation`, so that a start needs a ticket.
    #[serde(default)]
    pub ticket: bool,
}

struct Run {
    spec: Spec,
    ends_at: Instant,
    stopped: bool,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// What all workers tell of one task.
#[derive(Default, Clone)]
pub struct Seen {
    pub starts: usize,
    pub failed: usize,
    pub done: usize,
    pub stopped: usize,
    /// Runs that ended with their worker.
    pub gone: usize,
    pub running: usize,
    /// Most runs at the same time, on workers that are up.
    pub most: usize,
    pub last_started_s: f64,
    /// When its last run ended.
    pub last_ended_s: f64,
}

/// What all workers tell, by task.
pub type Ledger = Arc<Mutex<BTreeMap<String, Seen>>>;

struct State {
    id: String,
    life: u64,
    up: bool,
    /// While it is down, it is silent: connections stay open, and nothing is answered.
    dark: bool,
    born_ms: u64,
    clock: Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    highest: BTreeMap<String, u64>,
    ends: Vec<End>,
    next_end: u64,
}

/// What the path between the members and a worker does.
#[derive(Default)]
struct Path {
    /// Nothing passes; connections are reset.
    cut: bool,
    /// The next `/hold` with a lease gets no answer, and arrives so much later.
    delays_next_hold: Option<Duration>,
}

pub struct Worker {
    pub number: usize,
    domain: &'static str,
    label: Option<&'static str>,
    cpu: u64,
    state: Mutex<State>,
    path: Mutex<Path>,
    ended: watch::Sender<u64>,
    ledger: Ledger,
    tickets: Tickets,
    record: Record,
    server: Mutex<Option<Server>>,
    addr: Mutex<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Order {
    task: String,
    attempt: u64,
    spec: String,
    expires_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
    ticket: String,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

impl State {
    fn new(number: usize, life: u64) -> Self {
        Self {
            id: format!("w-{number:02}-{life}"),
            life,
            up: true,
            dark: false,
            born_ms: unix_ms(),
            clock: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    fn lease(&mut self, until: Option<u64>) {
        let most = self.clock_ms() + MAX_HOLD_MS;
        let until = until.unwrap_or(0).min(most);
        self.lease_until_ms = self.lease_until_ms.max(until);
    }

    fn reply(&self, status: StatusCode, mut body: Value) -> Response<Body> {
        body["clock-ms"] = json!(self.clock_ms());
        body["born"] = json!(self.born_ms);
        response(status, body.to_string())
    }

    fn refuse(&self, reason: &str) -> Response<Body> {
        self.reply(StatusCode::CONFLICT, json!({"reason": reason}))
    }
}

impl Worker {
    /// Starts a worker that registers itself in the store.
    #[allow(clippy::too_many_arguments)]
    pub async fn start(
        number: usize,
        domain: &'static str,
        label: Option<&'static str>,
        cpu: u64,
        store: &Store,
        ledger: &Ledger,
        tickets: &Tickets,
        record: &Record,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            number,
            domain,
            label,
            cpu,
            state: Mutex::new(State::new(number, 1)),
            path: Mutex::default(),
            ended: watch::Sender::new(0),
            ledger: Arc::clone(ledger),
            tickets: tickets.clone(),
            record: record.clone(),
            server: Mutex::new(None),
            addr: Mutex::new(String::new()),
        });
        let served = Arc::clone(&worker);
        let server = serve::accept_up_to(CONNECTIONS_MAX, serve::any_port(), move |req| {
            handle(Arc::clone(&served), req)
        });
        let server = server.await.expect("a free port");
        *worker.addr.lock().unwrap() = server.addr.to_string();
        *worker.server.lock().unwrap() = Some(server);
        tokio::spawn(Arc::clone(&worker).work());
        tokio::spawn(Arc::clone(&worker).register(store.clone()));
        worker
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn id(&self) -> String {
        self.state().id.clone()
    }

    fn is_dark(&self) -> bool {
        let state = self.state();
        !state.up && state.dark
    }

    pub fn running(&self) -> usize {
        self.state().running.len()
    }

    /// The worker crashes: what runs there is gone, and its connections break.
    pub fn crash(&self) {
        self.go_down(false);
    }

    /// The worker crashes and is silent until it is back.
    pub fn crash_dark(&self) {
        self.go_down(true);
    }

    fn go_down(&self, dark: bool) {
        let mut state = self.state();
        (state.up, state.dark) = (false, dark);
        let running = std::mem::take(&mut state.running);
        self.record
            .line(&format!("{} crashes with {} runs", state.id, running.len()));
        let mut ledger = self.ledger.lock().unwrap();
        for ((task, attempt), _) in running {
            self.record
                .line(&format!("{} gone {task} run {attempt}", state.id));
            let seen = ledger.entry(task).or_default();
            seen.gone += 1;
            seen.running -= 1;
            seen.last_ended_s = self.record.now();
        }
        drop(ledger);
        drop(state);
        if !dark {
            self.close_connections();
        }
    }

    fn close_connections(&self) {
        if let Some(server) = self.server.lock().unwrap().as_ref() {
            server.close_connections();
        }
    }

    /// The worker is back, as a new worker at the address of the old one.
    pub fn restart(&self) {
        let mut state = self.state();
        let was_dark = state.dark;
        *state = State::new(self.number, state.life + 1);
        self.record.line(&format!("{} starts", state.id));
        drop(state);
        if was_dark {
            // The new life knows nothing of the connections of the old one.
            self.close_connections();
        }
    }

    /// The worker is back under the id that it had, and knows nothing of before.
    pub fn restart_under_its_id(&self) {
        let mut state = self.state();
        let id = state.id.clone();
        *state = State::new(self.number, state.life + 1);
        state.id = id;
        self.record.line(&format!("{} starts again", state.id));
    }

    /// Cuts the worker off from the members, or lets them reach it again. It runs on.
    pub fn set_cut(&self, cut: bool) {
        self.path.lock().unwrap().cut = cut;
        let id = self.id();
        self.record.line(&format!("{id} cut={cut}"));
        self.close_connections();
    }

    /// Has the next `/hold` with a lease go unanswered and arrive late.
    pub fn delay_next_hold(&self, by: Duration) {
        self.path.lock().unwrap().delays_next_hold = Some(by);
    }

    /// Ends runs that are over, and all of them when the lease has expired.
    async fn work(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(4)).await;
            let mut state = self.state();
            let now = Instant::now();
            let lapsed = state.clock_ms() > state.lease_until_ms;
            let over = |run: &Run| lapsed || now >= run.ends_at;
            let over: Vec<(String, u64)> = state
                .running
                .iter()
                .filter(|(_, run)| over(run))
                .map(|(key, _)| key.clone())
                .collect();
            if over.is_empty() {
                continue;
            }
            for key in over {
                let Some(run) = state.running.remove(&key) else {
                    continue;
                };
                let (task, attempt) = key;
                let mut ledger = self.ledger.lock().unwrap();
                let seen = ledger.entry(task.clone()).or_default();
                let fails = run.spec.fails || (run.spec.fails_once && seen.starts <= 1);
                let how = match (run.stopped, now >= run.ends_at) {
                    (true, true) => "stopped",
                    (_, false) => "lapsed",
                    (false, true) if fails => "failed",
                    (false, true) => "done",
                };
                seen.running -= 1;
                seen.last_ended_s = self.record.now();
                match how {
                    "done" => seen.done += 1,
                    "failed" => seen.failed += 1,
                    _ => seen.stopped += 1,
                }
                drop(ledger);
                self.record
                    .line(&format!("{} {how} {task} run {attempt}", state.id));
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(attempt);
                let number = state.next_end;
                state.next_end += 1;
                state.ends.push(End {
                    number,
                    task,
                    attempt,
                    how,
                });
            }
            drop(state);
            self.ended.send_modify(|n| *n += 1);
        }
    }

    /// Writes the worker's entry, and removes that of a life that has ended after three intervals.
    async fn register(self: Arc<Self>, store: Store) {
        let mut written: Option<(String, Instant)> = None;
        let mut seq = 0_u64;
        loop {
            let (id, up, born) = {
                let state = self.state();
                (state.id.clone(), state.up, state.born_ms)
            };
            if let Some((old, at)) = &written
                && (*old != id || !up)
                && at.elapsed() > HEARTBEAT * 3
            {
                store.put("keyed.servers", old, &[]);
                written = None;
            }
            let due = written
                .as_ref()
                .is_none_or(|(old, at)| *old != id || at.elapsed() >= HEARTBEAT);
            if up && due {
                if let Some((old, _)) = written.take().filter(|(old, _)| *old != id) {
                    // The old life is removed with its heartbeats.
                    let store = store.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(HEARTBEAT * 3).await;
                        store.put("keyed.servers", &old, &[]);
                    });
                }
                seq += 1;
                let mut labels = vec![json!("a"), json!(format!("r1-{}", self.number % 2))];
                labels.extend(self.label.map(|l| json!(l)));
                let entry = json!({
                    "service": "pool", "addr": *self.addr.lock().unwrap(), "zone": self.domain,
                    "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": seq,
                    "born": born, "labels": labels,
                    "capacity": {"cpu": self.cpu, "mem-mb": 131_072, "gpu": 0},
                });
                store.put("keyed.servers", &id, entry.to_string().as_bytes());
                written = Some((id, Instant::now()));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

async fn handle(worker: Arc<Worker>, req: Request<Incoming>) -> Option<Response<Body>> {
    let path = req.uri().path().to_owned();
    let expected = req.headers().get("x-expect-instance").cloned();
    let body = serve::read_body(req.into_body()).await?;
    let order: Order = serde_json::from_slice(&body).ok()?;
    if worker.path.lock().unwrap().cut {
        return None;
    }
    if path == "/hold" && order.expires_ms.is_some() {
        let delay = worker.path.lock().unwrap().delays_next_hold.take();
        if let Some(delay) = delay {
            arrive_late(worker, expected, order, delay);
            return std::future::pending().await;
        }
    }
    if worker.is_dark() {
        return std::future::pending().await;
    }
    let life = {
        let state = worker.state();
        if !state.up {
            return None;
        }
        if expected.is_some_and(|id| id.as_bytes() != state.id.as_bytes()) {
            return Some(state.reply(StatusCode::MISDIRECTED_REQUEST, json!({})));
        }
        state.life
    };
    match path.as_str() {
        "/run-start" => Some(start(&worker, &order)),
        "/run-stop" => Some(stop(&worker, &order)),
        "/hold" => hold(&worker, life, &order).await,
        _ => Some(worker.state().reply(StatusCode::NOT_FOUND, json!({}))),
    }
}

/// Carries a `/hold` out later, in whichever life of the worker is there then.
fn arrive_late(
    worker: Arc<Worker>,
    expected: Option<http::HeaderValue>,
    order: Order,
    delay: Duration,
) {
    let id = worker.id();
    worker.record.line(&format!(
        "a hold for {id} with expires-ms {} is late by {delay:?}",
        order.expires_ms.unwrap_or(0)
    ));
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let mut state = worker.state();
        let is_meant = expected.is_none_or(|id| id.as_bytes() == state.id.as_bytes());
        if !state.up || !is_meant || order.fencing_token < state.fence {
            return;
        }
        state.fence = order.fencing_token;
        state.lease(order.expires_ms);
        state.ends.retain(|e| e.number > order.last_seen);
        let left = state.lease_until_ms.saturating_sub(state.clock_ms());
        worker.record.line(&format!(
            "the late hold arrives at {}: its lease lasts for {left} ms more",
            state.id
        ));
    });
}

fn start(worker: &Worker, order: &Order) -> Response<Body> {
    let mut state = worker.state();
    let (task, attempt) = (&order.task, order.attempt);
    if order.fencing_token < state.fence {
        return state.refuse("fence");
    }
    state.fence = order.fencing_token;
    if state.clock_ms() > order.expires_ms.unwrap_or(0) {
        return state.refuse("late");
    }
    state.lease(order.expires_ms);
    let key = (task.clone(), attempt);
    if state.running.contains_key(&key) {
        return state.reply(StatusCode::OK, json!({}));
    }
    if state.highest.get(task).is_some_and(|h| *h >= attempt) {
        return state.refuse("old");
    }
    let Ok(spec) = serde_json::from_str::<Spec>(&order.spec) else {
        return state.reply(StatusCode::BAD_REQUEST, json!({}));
    };
    let phase = task.rsplit_once('.').map_or("", |(phase, _)| phase);
    if spec.ticket && !worker.tickets.is_valid(&order.ticket, phase, &state.id) {
        worker.record.line(&format!(
            "{} refuses {task} run {attempt}: ticket {:?}",
            state.id, order.ticket
        ));
        return state.refuse("ticket");
    }
    let ends_at = Instant::now() + Duration::from_millis(spec.ms);
    let run = Run {
        spec,
        ends_at,
        stopped: false,
    };
    state.running.insert(key, run);
    worker.record.line(&format!(
        "{} starts {task} run {attempt} token {}",
        state.id, order.fencing_token
    ));
    let mut ledger = worker.ledger.lock().unwrap();
    let seen = ledger.entry(task.clone()).or_default();
    seen.starts += 1;
    seen.running += 1;
    seen.most = seen.most.max(seen.running);
    seen.last_started_s = worker.record.now();
    drop(ledger);
    state.reply(StatusCode::OK, json!({}))
}

fn stop(worker: &Worker, order: &Order) -> Response<Body> {
    let mut state = worker.state();
    if order.fencing_token < state.fence {
        return state.refuse("fence");
    }
    state.fence = order.fencing_token;
    worker.record.line(&format!(
        "{} is to stop {} run {}",
        state.id, order.task, order.attempt
    ));
    let highest = state.highest.entry(order.task.clone()).or_default();
    *highest = (*highest).max(order.attempt);
    let upto = (order.task.clone(), 0)..=(order.task.clone(), order.attempt);
    for (_, run) in state.running.range_mut(upto) {
        if !run.stopped {
            run.stopped = true;
            run.ends_at = run.ends_at.min(Instant::now() + STOP_TIME);
        }
    }
    state.reply(StatusCode::OK, json!({}))
}

async fn hold(worker: &Worker, life: u64, order: &Order) -> Option<Response<Body>> {
    let mut rx = worker.ended.subscribe();
    let wait = Duration::from_millis(order.wait_ms.min(2_000));
    let until = tokio::time::Instant::now() + wait;
    {
        let mut state = worker.state();
        if order.fencing_token < state.fence {
            return Some(state.refuse("fence"));
        }
        state.fence = order.fencing_token;
        if order.expires_ms.is_some() {
            state.lease(order.expires_ms);
        }
        state.ends.retain(|e| e.number > order.last_seen);
    }
    loop {
        rx.mark_unchanged();
        if worker.is_dark() {
            return std::future::pending().await;
        }
        {
            let state = worker.state();
            if !state.up || state.life != life {
                return None;
            }
            if !state.ends.is_empty() {
                break;
            }
        }
        if tokio::time::timeout_at(until, rx.changed()).await.is_err() {
            break;
        }
    }
    if worker.is_dark() {
        return std::future::pending().await;
    }
    let state = worker.state();
    if !state.up || state.life != life {
        return None;
    }
    let running = state.running.keys();
    let running: Vec<Value> = running.map(|(t, a)| json!([t, a, "", 50, 0])).collect();
    let ends = state.ends.iter().take(ENDS_MAX);
    let ends: Vec<Value> = ends
        .map(|e| json!([e.number, e.task, e.attempt, e.how, ""]))
        .collect();
    Some(state.reply(
        StatusCode::OK,
        json!({"running": running, "finished": ends}),
    ))
}
