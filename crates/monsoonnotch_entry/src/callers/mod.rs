//! The callers' listener, which proxies requests to upstreams and manages jobs.

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

/// Pause after a failed attempt to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of open connections above the limit. A request on one of them is refused.
const REFUSED_MAX: usize = 256;
/// The `Retry-After` of requests that are refused because too many connections are open.
const RETRY_AFTER: Span = Span::from_secs(1);
/// Memory for the bodies of requests in progress, in multiples of the largest permitted body.
const BODIES_MAX: usize = 256;

/// State that the handlers of callers' requests share.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the entry.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The inbox of the control thread.
    pub inbox: Inbox,
    /// Whether the load balancer may send requests to this entry.
    pub ready: Arc<AtomicBool>,
    /// Whether a graceful shutdown has begun.
    pub stopping: AtomicBool,
    /// Number of the last request; zero before the first.
    pub last_call: AtomicU64,
    /// Memory left for request bodies, one permit per KiB.
    pub body_memory: Arc<Semaphore>,
}

impl Shared {
    /// Creates the shared state, with memory for `BODIES_MAX` bodies of the largest size.
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

/// Accepts connections until `stop` changes, then waits until the open ones are closed.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            biased;
            _ = stop.changed() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&mut connections, stream, &shared, &stop),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // The operating system has already accepted these connections, so they get a response.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        spawn_connection(&mut connections, stream, &shared, &stop);
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn spawn_connection(
    connections: &mut JoinSet<()>,
    stream: TcpStream,
    shared: &Arc<Shared>,
    stop: &watch::Receiver<bool>,
) {
    let max = shared.settings.limits.connections;
    // A further connection is closed without a response.
    if connections.len() >= max + REFUSED_MAX {
        return;
    }
    let refuse = (connections.len() >= max).then(|| Refusal::later(Reason::QueueFull, RETRY_AFTER));
    let conn = connection::serve(stream, Arc::clone(shared), stop.clone(), refuse);
    connections.spawn(conn);
}

/// Responds to one request, with `refuse` if it is set.
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

/// Returns the response to a readiness check: 200 when ready, else 503.
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
/// Returns the refusal and, if there is one, its detail for the problem document.
pub async fn submit_as_operator(
    inbox: &Inbox,
    body: &[u8],
) -> Result<Response<Body>, (Refusal, Option<String>)> {
    jobs::submit(inbox, None, body, None).await
}

/// Shows a job of any team, or cancels it when `cancel` is set.
///
/// # Errors
///
/// Returns the refusal and, if there is one, its detail for the problem document.
pub async fn show_or_cancel_as_operator(
    inbox: &Inbox,
    id: &str,
    cancel: bool,
) -> Result<Response<Body>, (Refusal, Option<String>)> {
    jobs::show_or_cancel(inbox, None, id, cancel).await
}
