//! The callers' listener: HTTP requests in, upstreams' answers out.

mod call;
mod connection;
mod fields;
mod head;
mod jobs;
mod proxy;
mod stream;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::Request;
use hyper::body::Incoming;
use monsoonnotch_core::time::Duration as Span;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;
use crate::settings::Settings;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections beyond the limit that are served a refusal at a time.
const REFUSED_MAX: usize = 256;
/// When to come back after a connection too many.
const RETRY_AFTER: Span = Span::from_secs(1);
/// Memory for the bodies of requests in progress, in units of the largest body.
const BODIES_MAX: usize = 256;

/// What the handlers of callers' requests share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// The control thread.
    pub inbox: Inbox,
    /// Whether the balancer may send requests here.
    pub ready: Arc<AtomicBool>,
    /// Whether a graceful shutdown has begun.
    pub stopping: AtomicBool,
    /// Number of the last request.
    pub last_call: AtomicU64,
    /// Memory left for bodies, in KiB.
    pub body_memory: Arc<Semaphore>,
}

impl Shared {
    /// What the handlers of an entry share.
    pub fn new(settings: Settings, clock: Clock, inbox: Inbox, ready: Arc<AtomicBool>) -> Self {
        let kib = settings.limits.body_bytes.div_ceil(1_024) * BODIES_MAX;
        Self {
            settings,
            clock,
            inbox,
            ready,
            stopping: AtomicBool::new(false),
            last_call: AtomicU64::new(0),
            body_memory: Arc::new(Semaphore::new(kib.min(Semaphore::MAX_PERMITS))),
        }
    }
}

/// Accepts connections until `stop` changes, then finishes those that are open.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        let accepted = tokio::select! {
            biased;
            _ = stop.changed() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&mut open, stream, &shared, &stop),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    // The system has accepted these already, so they get an answer.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        spawn_connection(&mut open, stream, &shared, &stop);
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

fn spawn_connection(
    open: &mut JoinSet<()>,
    stream: TcpStream,
    shared: &Arc<Shared>,
    stop: &watch::Receiver<bool>,
) {
    let max = shared.settings.limits.connections;
    // Beyond that not even a refusal is served.
    if open.len() >= max + REFUSED_MAX {
        return;
    }
    let refuse = (open.len() >= max).then(|| Refusal::later(Reason::QueueFull, RETRY_AFTER));
    let conn = connection::serve(stream, Arc::clone(shared), stop.clone(), refuse);
    open.spawn(conn);
}

/// Answers one request; `refuse` is the answer to any of a connection too many.
async fn respond(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    refuse: Option<Refusal>,
) -> Response<Body> {
    let stopping = Arc::clone(&shared);
    let mut res = match refuse {
        Some(refusal) => problem::response(&refusal, None),
        None => route(shared, req).await,
    };
    if stopping.stopping.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

async fn route(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path();
    match path {
        "/livez" => problem::json(StatusCode::OK, "{\"live\":true}"),
        "/readyz" => readiness_response(&shared.ready),
        _ if path == "/v1/jobs" || path.starts_with("/v1/jobs/") => jobs::handle(shared, req).await,
        _ => proxy::handle(shared, req).await,
    }
}

/// The answer to the balancer's question.
pub fn readiness_response(ready: &AtomicBool) -> Response<Body> {
    match ready.load(Ordering::Relaxed) {
        true => problem::json(StatusCode::OK, "{\"ready\":true}"),
        false => problem::json(StatusCode::SERVICE_UNAVAILABLE, "{\"ready\":false}"),
    }
}

/// Submits a job for the team that the body names.
///
/// # Errors
///
/// The refusal, and what to tell about it.
pub async fn submit_as_operator(
    inbox: &Inbox,
    body: &[u8],
) -> Result<Response<Body>, (Refusal, Option<String>)> {
    jobs::submit(inbox, None, body, None).await
}

/// Shows or cancels any team's job.
///
/// # Errors
///
/// The refusal, and what to tell about it.
pub async fn show_or_cancel_as_operator(
    inbox: &Inbox,
    id: &str,
    cancel: bool,
) -> Result<Response<Body>, (Refusal, Option<String>)> {
    jobs::show_or_cancel(inbox, None, id, cancel).await
}
