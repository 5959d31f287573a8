//! The operators' listener, which serves configuration changes, jobs, state and metrics.

mod changes;
mod reads;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::SystemTime;

use http::HeaderName;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::Request;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::Stamp;
use monsoonnotch_core::config::is_valid_name;
use monsoonnotch_core::event::StateQuery;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::time::Duration as Span;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_core::verdict::Verdict;
use monsoonnotch_ingress as ingress;
use monsoonnotch_ingress::body;
use monsoonnotch_ingress::prelude::Connection;
use monsoonnotch_ingress::prelude::Listener;
use monsoonnotch_ingress::prelude::Rules;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tower::BoxError;
use tower::Service;
use tower::ServiceBuilder;
use tower::ServiceExt;
use tower::load_shed::error::Overloaded;

use self::changes::ChangeRequest;
use crate::callers;
use crate::callers::head::body_refusal;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;

/// Maximum number of requests of operators in progress; further ones are refused at once.
const REQUESTS_MAX: usize = 64;
/// Timeout for an operator's request. It is longer than the control thread takes for any answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The `Retry-After` of requests that time out or that are refused because too many are in
/// progress.
const RETRY_AFTER: Span = Span::from_secs(1);
/// Largest body of an operator's request, in bytes.
const BODY_MAX_BYTES: usize = 1 << 20;
/// Header with the operator's name, which is recorded with each change.
const OPERATOR: HeaderName = HeaderName::from_static("operator");
/// Interval of the upkeep of the recorded metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout for receiving a request's head, and again for its body.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// State that the handlers of operators' requests share.
#[derive(Debug)]
pub struct Shared {
    /// The inbox of the control thread.
    pub inbox: Inbox,
    /// Whether the load balancer may send requests to this entry.
    pub ready: Arc<AtomicBool>,
    /// The address of the operators' listener, as `ip:port`; recorded with each change.
    pub addr: Name,
    /// Hash of the operators' token.
    pub token: KeyHash,
    /// The metrics of the process; `None` when another entry of this process serves them.
    pub metrics: Option<PrometheusHandle>,
}

/// What operators may do on one connection.
const RULES: Rules = Rules {
    head_bytes: 16 << 10,
    head_timeout: RECEIVE_TIMEOUT,
    response_timeout: RECEIVE_TIMEOUT,
    late_head: problem::late_head,
};

/// Accepts connections forever. Dropping the future closes all of them.
pub async fn serve(listener: Listener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    connections.spawn(upkeep(shared.metrics.clone()));
    let service = service(shared);
    let never = watch::Sender::new(false);
    loop {
        while connections.try_join_next().is_some() {}
        let (stream, connection) = listener.accept().await;
        let (service, stop) = (service.clone(), never.subscribe());
        connections.spawn(async move {
            let answer = |req, connection| respond(service.clone(), req, connection);
            ingress::http::serve(stream, connection, RULES, stop, answer).await;
        });
    }
}

/// A request and the connection on which it arrived.
type ConnectedRequest = (Request<Incoming>, Arc<Connection>);

async fn respond<S>(
    service: S,
    req: Request<Incoming>,
    connection: Arc<Connection>,
) -> Response<Body>
where
    S: Service<ConnectedRequest, Response = Response<Body>, Error = BoxError>,
{
    if connection.is_refused() {
        return problem::response(&Refusal::later(Reason::QueueFull, RETRY_AFTER), None);
    }
    let res = service.oneshot((req, connection)).await;
    res.unwrap_or_else(|e| problem::response(&error_to_refusal(&e), None))
}

/// Builds the service for operators' requests, with a concurrency limit and a timeout.
fn service(
    shared: Arc<Shared>,
) -> impl Service<ConnectedRequest, Response = Response<Body>, Error = BoxError, Future: Send>
+ Clone
+ Send
+ Sync
+ 'static {
    ServiceBuilder::new()
        .load_shed()
        .concurrency_limit(REQUESTS_MAX)
        .timeout(REQUEST_TIMEOUT)
        .service_fn(move |(req, connection)| handle(Arc::clone(&shared), req, connection))
}

/// Returns the refusal of a request that was over the limit or timed out.
fn error_to_refusal(e: &BoxError) -> Refusal {
    match e.is::<Overloaded>() {
        true => Refusal::later(Reason::QueueFull, RETRY_AFTER),
        false => Refusal {
            verdict: Verdict::MayHaveRun,
            ..Refusal::later(Reason::Uncertain, RETRY_AFTER)
        },
    }
}

/// Regularly aggregates recorded histogram values, so that they do not accumulate between
/// scrapes.
async fn upkeep(metrics: Option<PrometheusHandle>) {
    let Some(handle) = metrics else {
        return;
    };
    let mut interval = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        handle.run_upkeep();
    }
}

/// A refusal and the detail for its problem document.
type DetailedRefusal = (Refusal, Option<String>);

async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    connection: Arc<Connection>,
) -> Result<Response<Body>, Infallible> {
    let unauthenticated = match req.uri().path() {
        "/livez" => Some(problem::json(StatusCode::OK, "{\"live\":true}")),
        "/readyz" => Some(callers::readiness_response(&shared.ready)),
        _ => None,
    };
    if let Some(res) = unauthenticated {
        return Ok(res);
    }
    let result = match authorized(&shared, &req) {
        true => route(&shared, req, &connection).await,
        false => Err((Refusal::not_run(Reason::KeyRefused), None)),
    };
    Ok(result.unwrap_or_else(|(r, detail)| problem::response(&r, detail.as_deref())))
}

fn authorized(shared: &Shared, req: &Request<Incoming>) -> bool {
    let text = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok());
    let token = text.and_then(|t| t.strip_prefix("Bearer "));
    token.is_some_and(|t| KeyHash::of(t).matches(&shared.token))
}

async fn route(
    shared: &Shared,
    req: Request<Incoming>,
    connection: &Connection,
) -> Result<Response<Body>, DetailedRefusal> {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match *req.method() {
        Method::GET => read(shared, &parts).await,
        _ => change(shared, &parts, req, connection).await,
    }
}

async fn read(shared: &Shared, parts: &[&str]) -> Result<Response<Body>, DetailedRefusal> {
    let inbox = &shared.inbox;
    let query = match parts {
        ["metrics"] => return Ok(reads::metrics(shared).await),
        ["v1", "state"] => return reads::state(inbox).await,
        ["v1", "jobs", id] => return callers::show_or_cancel_as_operator(inbox, id, false).await,
        ["v1", "vms"] => StateQuery::Vms,
        ["v1", "config"] => StateQuery::Config,
        ["v1", "config", "log"] => StateQuery::History,
        ["v1", "profiles"] => StateQuery::Profiles,
        ["v1", "teams"] => StateQuery::Teams,
        ["v1", "keys"] => StateQuery::Keys,
        ["v1", "profiles", name] => StateQuery::Profile(Name::from(*name)),
        ["v1", "teams", name] => StateQuery::Team(Name::from(*name)),
        ["v1", "keys", id] => StateQuery::Key(Name::from(*id)),
        _ => return Err((Refusal::not_run(Reason::NotFound), None)),
    };
    reads::state_part(inbox, query).await
}

async fn change(
    shared: &Shared,
    parts: &[&str],
    req: Request<Incoming>,
    connection: &Connection,
) -> Result<Response<Body>, DetailedRefusal> {
    let method = req.method().clone();
    let request = ChangeRequest {
        inbox: &shared.inbox,
        replaces: replaces(req.uri().query())?,
        stamp: stamp(shared, &req)?,
    };
    let received =
        body::receive(connection, req.into_body(), BODY_MAX_BYTES, RECEIVE_TIMEOUT).await;
    let received = received.map_err(|e| (body_refusal(e), None))?;
    let body = &received.bytes;
    match (method, parts) {
        (Method::PUT, ["v1", "profiles", name]) => changes::profile(request, name, body).await,
        (Method::PUT, ["v1", "teams", name]) => changes::team(request, name, body).await,
        (Method::POST, ["v1", "keys"]) => changes::grant(request, body).await,
        (Method::DELETE, ["v1", "keys", id]) => changes::withdraw(request, id).await,
        (Method::POST, ["v1", "jobs"]) => callers::submit_as_operator(&shared.inbox, body).await,
        (Method::DELETE, ["v1", "jobs", id]) => {
            callers::show_or_cancel_as_operator(&shared.inbox, id, true).await
        }
        _ => Err((Refusal::not_run(Reason::NotFound), None)),
    }
}

/// Returns the stamp of a change: the operator, this entry and the current time.
fn stamp(shared: &Shared, req: &Request<Incoming>) -> Result<Stamp, DetailedRefusal> {
    let by = req.headers().get(&OPERATOR);
    let by = by.map_or(Some(""), |v| v.to_str().ok());
    let valid = by.filter(|by| by.is_empty() || is_valid_name(by));
    let by = valid.ok_or_else(|| {
        let detail = "'operator' must have 1 to 64 letters, digits, '-', '_' or '.'";
        (Refusal::not_run(Reason::Malformed), Some(detail.to_owned()))
    })?;
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Ok(Stamp {
        by: Name::from(by),
        entry: shared.addr.clone(),
        at_unix: since.map_or(0, |d| d.as_secs()),
    })
}

/// Parses the version that a change replaces; `None` when there is no query.
fn replaces(query: Option<&str>) -> Result<Option<u64>, DetailedRefusal> {
    let Some(query) = query else {
        return Ok(None);
    };
    let number = query.strip_prefix("replaces=").map(str::parse);
    match number {
        Some(Ok(version)) => Ok(Some(version)),
        _ => {
            let detail = "the query must be 'replaces=VERSION'".to_owned();
            Err((Refusal::not_run(Reason::Malformed), Some(detail)))
        }
    }
}
