//! Short requests: from the caller to an upstream's slot and back.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use monsoonnotch_core::config;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::event::CallEnd;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_core::verdict::Verdict;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use super::Shared;
use super::head;
use crate::control::Decision;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;
use crate::upstream;
use crate::upstream::Dispatch;
use crate::upstream::Relay;

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Handles one request of a caller.
pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let id = head::request_id(req.headers());
    let mut res = match answer(&shared, req, &id).await {
        Ok(res) => res,
        Err(refusal) => problem::answer(&refusal, None),
    };
    res.headers_mut().insert(head::REQUEST_ID, id);
    res
}

async fn answer(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    id: &HeaderValue,
) -> Result<Response<Body>, Refusal> {
    let (mut parts, body) = req.into_parts();
    let arrived = arrived(shared, &parts)?;
    let body = head::body(shared, body).await?;
    pass_on(&mut parts.headers);
    parts.headers.remove(header::AUTHORIZATION);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.insert(head::REQUEST_ID, id.clone());
    let mut call = Call {
        key: arrived.call,
        decisions: shared.inbox.call(arrived),
        waiting: Waiting {
            inbox: shared.inbox.clone(),
            call: None,
        },
        verdict: Verdict::NotRun,
    };
    call.waiting.call = Some(call.key);
    call.run(shared, &parts, &body).await
}

fn arrived(shared: &Shared, parts: &Parts) -> Result<CallArrived, Refusal> {
    let headers = &parts.headers;
    let key = head::key(headers)?;
    let profile = head::text(headers, &head::PROFILE)?;
    let profile = profile.ok_or(Refusal::not_run(Reason::ProfileUnknown))?;
    let idem = head::text(headers, &head::IDEMPOTENCY_KEY)?;
    let timeout = head::timeout_ms(headers)?;
    let digest = format!("{} {} {}", parts.method, parts.uri, idem.unwrap_or(""));
    let n = shared.last_call.fetch_add(1, Ordering::Relaxed);
    Ok(CallArrived {
        call: CallKey(n + 1),
        key,
        profile: Name::from(profile),
        idem: idem.map(Name::from),
        digest: config::place(&digest),
        deadline: timeout.map(|ms| shared.clock.now() + Duration::from_millis(ms)),
    })
}

/// Removes what belongs to one connection only.
fn pass_on(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Tells the control thread when the caller goes away before the answer.
#[derive(Debug)]
struct Waiting {
    inbox: Inbox,
    call: Option<CallKey>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(call) = self.call {
            self.inbox.event(Event::CallGone(call));
        }
    }
}

/// One request on its way.
#[derive(Debug)]
struct Call {
    key: CallKey,
    decisions: UnboundedReceiver<Decision>,
    waiting: Waiting,
    /// Whether it may have run, as far as is known here.
    verdict: Verdict,
}

impl Call {
    async fn run(
        mut self,
        shared: &Arc<Shared>,
        parts: &Parts,
        body: &Bytes,
    ) -> Result<Response<Body>, Refusal> {
        loop {
            let Some(decision) = self.decisions.recv().await else {
                self.waiting.call = None;
                return Err(self.control_is_gone());
            };
            match decision {
                Decision::Refuse(refusal) => {
                    self.waiting.call = None;
                    return Err(refusal);
                }
                Decision::Dispatch {
                    addr,
                    timeout,
                    certain_until,
                    ..
                } => {
                    let req = request(parts, body, &addr);
                    let sent = self.dispatch(shared, &addr, timeout, certain_until, req);
                    if let Some(res) = sent.await {
                        self.waiting.call = None;
                        return Ok(res);
                    }
                }
            }
        }
    }

    /// Sends it once; `None` when no answer came, which the control thread has been told.
    async fn dispatch(
        &mut self,
        shared: &Arc<Shared>,
        addr: &str,
        timeout: Duration,
        certain_until: Time,
        req: Request<Full<Bytes>>,
    ) -> Option<Response<Body>> {
        let connect = std::time::Duration::from_millis(shared.settings.timing.connect_ms);
        let d = Dispatch {
            addr: addr.parse().ok()?,
            connect,
            deadline: Instant::now() + timeout.into(),
            clock: shared.clock,
            certain_until,
        };
        let inbox = shared.inbox.clone();
        let call = self.key;
        // A task of its own, so that a caller who leaves does not stop it halfway.
        let sent = tokio::spawn(async move {
            let sent = upstream::send(&d, req).await;
            sent.map(|res| relayed(res, d.deadline, call, inbox))
        });
        match sent.await {
            Ok(Ok(res)) => Some(res),
            Ok(Err(ended)) => {
                if let CallEnd::MayHaveRun(_) = ended {
                    self.verdict = Verdict::MayHaveRun;
                }
                shared.inbox.event(Event::CallEnded { call, ended });
                None
            }
            Err(_) => None,
        }
    }

    /// The answer when nobody is left to decide.
    fn control_is_gone(&self) -> Refusal {
        Refusal {
            verdict: self.verdict,
            ..Refusal::later(Reason::Uncertain, Duration::from_secs(1))
        }
    }
}

fn request(parts: &Parts, body: &Bytes, addr: &str) -> Request<Full<Bytes>> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut req = Request::new(Full::new(body.clone()));
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = path.parse().expect("the path was part of a valid address");
    *req.headers_mut() = parts.headers.clone();
    let host = HeaderValue::from_str(addr).expect("an address is a valid value");
    req.headers_mut().insert(header::HOST, host);
    req
}

fn relayed(
    res: Response<Incoming>,
    deadline: Instant,
    call: CallKey,
    inbox: Inbox,
) -> Response<Body> {
    let (mut parts, body) = res.into_parts();
    pass_on(&mut parts.headers);
    let body = Relay::new(body, deadline, call, inbox).boxed();
    Response::from_parts(parts, body)
}
