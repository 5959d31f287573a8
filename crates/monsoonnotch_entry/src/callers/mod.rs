//! The callers' listener: HTTP requests in, upstreams' answers out.

mod head;
mod jobs;
mod proxy;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use monsoonnotch_core::verdict::Refusal;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;
use crate::settings::Settings;

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
    /// Number of the last request.
    pub last_call: AtomicU64,
}

/// Accepts connections until `stop` changes, then finishes those that are open.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let slots = Arc::new(Semaphore::new(shared.settings.limits.connections));
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        let permit = Arc::clone(&slots).acquire_owned().await;
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => break,
        };
        if let Ok((stream, _)) = stream {
            let conn = connection(stream, Arc::clone(&shared), stop.clone());
            open.spawn(async move {
                conn.await;
                drop(permit);
            });
        }
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

async fn connection(stream: TcpStream, shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let limits = &shared.settings.limits;
    let receive = Duration::from_millis(limits.receive_ms);
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(receive)
        .max_buf_size(limits.head_bytes.max(8_192));
    let service = service_fn(|req| route(Arc::clone(&shared), req));
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = stop.changed() => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

async fn route(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let path = req.uri().path();
    let res = match path {
        "/livez" => problem::json(StatusCode::OK, "{\"live\":true}"),
        "/readyz" => ready(&shared.ready),
        _ if path == "/v1/jobs" || path.starts_with("/v1/jobs/") => jobs::handle(shared, req).await,
        _ => proxy::handle(shared, req).await,
    };
    Ok(res)
}

/// The answer to the balancer's question.
pub fn ready(ready: &AtomicBool) -> Response<Body> {
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
pub async fn operator_submit(
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
pub async fn operator_ask(
    inbox: &Inbox,
    id: &str,
    cancel: bool,
) -> Result<Response<Body>, (Refusal, Option<String>)> {
    jobs::ask(inbox, None, id, cancel).await
}
