//! The operators' listener: publish, grant, withdraw, look.

mod changes;
mod reads;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use metrics_exporter_prometheus::PrometheusHandle;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::callers;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;

/// Most open connections of operators.
const CONNECTIONS_MAX: usize = 128;
/// Largest body of an operator's request, in bytes.
const BODY_MAX: usize = 1 << 20;
/// Longest time for a head, and again for a body.
const RECEIVE: Duration = Duration::from_secs(5);

/// What the handlers of operators' requests share.
#[derive(Debug)]
pub struct Shared {
    /// The control thread.
    pub inbox: Inbox,
    /// Whether the balancer may send requests here.
    pub ready: Arc<AtomicBool>,
    /// Hash of the operators' token.
    pub token: KeyHash,
    /// The process's metrics; `None` where another entry of this process owns them.
    pub metrics: Option<PrometheusHandle>,
}

/// Accepts connections for ever; dropping the future ends them all.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        let permit = Arc::clone(&slots).acquire_owned().await;
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        open.spawn(async move {
            let service = service_fn(|req| handle(Arc::clone(&shared), req));
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(RECEIVE);
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(permit);
        });
    }
}

/// A refusal and what to tell about it.
type Refused = (Refusal, Option<String>);

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let open = match req.uri().path() {
        "/livez" => Some(problem::json(StatusCode::OK, "{\"live\":true}")),
        "/readyz" => Some(callers::ready(&shared.ready)),
        _ => None,
    };
    if let Some(res) = open {
        return Ok(res);
    }
    let answer = match authorized(&shared, &req) {
        true => route(&shared, req).await,
        false => Err((Refusal::not_run(Reason::KeyRefused), None)),
    };
    Ok(answer.unwrap_or_else(|(r, detail)| problem::answer(&r, detail.as_deref())))
}

fn authorized(shared: &Shared, req: &Request<Incoming>) -> bool {
    let text = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok());
    let token = text.and_then(|t| t.strip_prefix("Bearer "));
    token.is_some_and(|t| KeyHash::of(t).same(&shared.token))
}

async fn route(shared: &Shared, req: Request<Incoming>) -> Result<Response<Body>, Refused> {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let replaces = replaces(req.uri().query())?;
    let body = body(req.into_body()).await?;
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let inbox = &shared.inbox;
    match (method, parts.as_slice()) {
        (Method::GET, ["metrics"]) => Ok(reads::metrics(shared)),
        (Method::GET, ["v1", "state"]) => reads::part(inbox, &[]).await,
        (Method::GET, ["v1", "vms"]) => reads::part(inbox, &["vms"]).await,
        (Method::GET, ["v1", "config"]) => reads::part(inbox, &["ledger", "config"]).await,
        (Method::GET, ["v1", kind @ ("profiles" | "teams" | "keys")]) => {
            reads::part(inbox, &["ledger", "config", kind]).await
        }
        (Method::GET, ["v1", kind @ ("profiles" | "teams" | "keys"), name]) => {
            reads::part(inbox, &["ledger", "config", kind, name]).await
        }
        (Method::PUT, ["v1", "profiles", name]) => {
            changes::profile(inbox, name, replaces, &body).await
        }
        (Method::PUT, ["v1", "teams", name]) => changes::team(inbox, name, replaces, &body).await,
        (Method::POST, ["v1", "keys"]) => changes::grant(inbox, &body).await,
        (Method::DELETE, ["v1", "keys", id]) => changes::withdraw(inbox, id, replaces).await,
        (Method::POST, ["v1", "jobs"]) => callers::operator_submit(inbox, &body).await,
        (Method::GET, ["v1", "jobs", id]) => callers::operator_ask(inbox, id, false).await,
        (Method::DELETE, ["v1", "jobs", id]) => callers::operator_ask(inbox, id, true).await,
        _ => Err((Refusal::not_run(Reason::NotFound), None)),
    }
}

/// The version that a change replaces, from the query; `None` when it names none.
fn replaces(query: Option<&str>) -> Result<Option<u64>, Refused> {
    let value = query.and_then(|q| q.strip_prefix("replaces="));
    let number = value.map(str::parse).transpose();
    number.map_err(|_| {
        let detail = "'replaces' must be a version number".to_owned();
        (Refusal::not_run(Reason::Malformed), Some(detail))
    })
}

async fn body(body: Incoming) -> Result<Bytes, Refused> {
    let whole = tokio::time::timeout(RECEIVE, Limited::new(body, BODY_MAX).collect()).await;
    match whole {
        Ok(Ok(b)) => Ok(b.to_bytes()),
        Ok(Err(_)) => Err((Refusal::not_run(Reason::TooLarge), None)),
        Err(_) => Err((Refusal::not_run(Reason::TooSlow), None)),
    }
}
