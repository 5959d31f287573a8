//! The callers' listener, which proxies requests to upstreams and manages jobs.

mod call;
mod fields;
pub(crate) mod head;
mod jobs;
mod proxy;

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
use monsoonnotch_ingress as ingress;
use monsoonnotch_ingress::prelude::Connection;
use monsoonnotch_ingress::prelude::Listener;
use monsoonnotch_ingress::prelude::Rules;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;
use crate::settings::Settings;

/// The `Retry-After` of requests that are refused because too many connections are open.
const RETRY_AFTER: Span = Span::from_secs(1);

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
}

impl Shared {
    /// Creates the shared state.
    pub fn new(settings: Settings, clock: Clock, inbox: Inbox, ready: Arc<AtomicBool>) -> Self {
        Self {
            settings,
            clock,
            inbox,
            ready,
            stopping: AtomicBool::new(false),
            last_call: AtomicU64::new(0),
        }
    }
}

/// Accepts connections until `stop` is true, then waits until the open ones are closed.
pub async fn serve(listener: Listener, shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let (stream, connection) = tokio::select! {
            biased;
            _ = stop.changed() => break,
            accepted = listener.accept() => accepted,
        };
        let shared = Arc::clone(&shared);
        connections.spawn(serve_connection(stream, connection, shared, stop.clone()));
    }
    // The operating system has already accepted these connections, so they get a response.
    while let Ok((stream, connection)) = timeout(Duration::ZERO, listener.accept()).await {
        let shared = Arc::clone(&shared);
        connections.spawn(serve_connection(stream, connection, shared, stop.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    connection: Connection,
    shared: Arc<Shared>,
    stop: watch::Receiver<bool>,
) {
    let limits = &shared.settings.limits;
    let receive = Duration::from_millis(limits.receive_ms);
    let rules = Rules {
        head_bytes: limits.head_bytes,
        head_timeout: receive,
        response_timeout: receive,
        late_head: problem::late_head,
    };
    let answer = |req, connection| respond(Arc::clone(&shared), req, connection);
    ingress::http::serve(stream, connection, rules, stop, answer).await;
}

/// Responds to one request.
async fn respond(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    connection: Arc<Connection>,
) -> Response<Body> {
    let stopping = Arc::clone(&shared);
    let mut res = match connection.is_refused() {
        true => problem::response(&Refusal::later(Reason::QueueFull, RETRY_AFTER), None),
        false => route(shared, req, &connection).await,
    };
    if stopping.stopping.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

async fn route(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    connection: &Connection,
) -> Response<Body> {
    let path = req.uri().path();
    match path {
        "/livez" => problem::json(StatusCode::OK, "{\"live\":true}"),
        "/readyz" => readiness_response(&shared.ready),
        _ if path == "/v1/jobs" || path.starts_with("/v1/jobs/") => {
            jobs::handle(shared, req, connection).await
        }
        _ => proxy::handle(shared, req, connection).await,
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
