//! Proxying of short requests to upstreams.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::request::Parts;
use hyper::body::Incoming;
use monsoonnotch_core::config;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_ingress::prelude::Connection;

use super::Shared;
use super::call::Call;
use super::fields;
use super::head;
use crate::problem;
use crate::problem::Body;

/// Proxies one request of a caller and returns the upstream's response or a refusal.
pub(super) async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    connection: &Connection,
) -> Response<Body> {
    let id = head::request_id(req.headers());
    let mut res = match respond(&shared, req, connection, &id).await {
        Ok(res) => res,
        Err(refusal) => problem::response(&refusal, None),
    };
    res.headers_mut().insert(head::REQUEST_ID, id);
    res
}

async fn respond(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    connection: &Connection,
    id: &HeaderValue,
) -> Result<Response<Body>, Refusal> {
    let (mut parts, body) = req.into_parts();
    if parts.method == Method::CONNECT {
        return Err(Refusal::not_run(Reason::Malformed));
    }
    let arrived = parse_call(shared, &parts)?;
    // The memory stays taken for as long as the body may have to be sent.
    let body = head::receive_body(shared, connection, body).await?;
    fields::prepare_for_upstream(&mut parts, id);
    let call = Call::new(&shared.inbox, arrived);
    call.run(shared, &parts, &body.bytes).await
}

fn parse_call(shared: &Shared, parts: &Parts) -> Result<CallArrived, Refusal> {
    let headers = &parts.headers;
    let key = head::bearer_key(headers)?;
    let profile = head::header_text(headers, &head::PROFILE)?;
    let profile = profile.ok_or(Refusal::not_run(Reason::ProfileUnknown))?;
    let idem = head::header_text(headers, &head::IDEMPOTENCY_KEY)?;
    let timeout = head::timeout_ms(headers)?;
    let digest = format!("{} {} {}", parts.method, parts.uri, idem.unwrap_or(""));
    let n = shared.last_call.fetch_add(1, Ordering::Relaxed);
    Ok(CallArrived {
        call: CallKey(n + 1),
        key,
        profile: Name::from(profile),
        idem: idem.map(Name::from),
        digest: config::hash64(&digest),
        deadline: timeout.map(|ms| shared.clock.now() + Duration::from_millis(ms)),
    })
}
