//! The headers and the body of a caller's request.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use hyper::body::Incoming;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_ingress::body;
use monsoonnotch_ingress::body::Received;
use monsoonnotch_ingress::prelude::Connection;

use super::Shared;

/// Header with the name of the profile that the request runs under.
pub(super) const PROFILE: HeaderName = HeaderName::from_static("profile");
/// Header with the idempotency key, under which a request runs at most once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the time for which the caller waits, in milliseconds.
pub(super) const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("request-timeout-ms");
/// Header with the request identifier, which the response repeats.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Longest header value that is accepted, in bytes.
const HEADER_TEXT_MAX_BYTES: usize = 256;
/// Upper limit of a caller's timeout, in milliseconds; a longer one is reduced to it.
const TIMEOUT_MAX_MS: u64 = 24 * 3_600 * 1_000;
/// The `Retry-After` of requests that are refused while there is no memory for bodies.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the text of a header, or `None` when it is absent.
///
/// # Errors
///
/// Refuses a header that is empty, too long, not visible ASCII or present more than once.
pub(super) fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let valid = text
        .filter(|t| !t.is_empty() && t.len() <= HEADER_TEXT_MAX_BYTES && values.next().is_none());
    valid.map(Some).ok_or(Refusal::not_run(Reason::Malformed))
}

/// Returns the key in `Authorization: Bearer ID.SECRET`, or `None` when the header is absent.
///
/// # Errors
///
/// Refuses an `Authorization` header of another form.
pub(super) fn bearer_key(headers: &HeaderMap) -> Result<Option<KeyProof>, Refusal> {
    let Some(text) = header_text(headers, &header::AUTHORIZATION)? else {
        return Ok(None);
    };
    let token = text.strip_prefix("Bearer ").and_then(|t| t.split_once('.'));
    let (id, secret) = token.ok_or(Refusal::not_run(Reason::KeyMissing))?;
    Ok(Some(KeyProof {
        id: Name::from(id),
        hash: KeyHash::of(secret),
    }))
}

/// Returns how long the caller waits, in milliseconds, or `None` when the header is absent.
///
/// # Errors
///
/// Refuses a header that is not a whole number.
pub(super) fn timeout_ms(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let text = header_text(headers, &REQUEST_TIMEOUT_MS)?;
    let number = text.map(|t| t.parse().map_err(|_| Refusal::not_run(Reason::Malformed)));
    let number: Option<u64> = number.transpose()?;
    Ok(number.map(|ms| ms.min(TIMEOUT_MAX_MS)))
}

/// Returns the identifier that the request carries, or a random one.
pub(super) fn request_id(headers: &HeaderMap) -> HeaderValue {
    let given = headers
        .get(&REQUEST_ID)
        .filter(|v| v.len() <= HEADER_TEXT_MAX_BYTES);
    given.cloned().unwrap_or_else(|| {
        let id = format!("{:016x}", rand::random::<u64>());
        HeaderValue::from_str(&id).expect("hexadecimal digits are a valid header value")
    })
}

/// Receives a complete body within the limits of the settings.
///
/// # Errors
///
/// Refuses a body that is too large, too slow or incomplete, and any body while there is no memory for it.
pub(super) async fn receive_body(
    shared: &Shared,
    connection: &Connection,
    body: Incoming,
) -> Result<Received, Refusal> {
    let limits = &shared.settings.limits;
    let receive = std::time::Duration::from_millis(limits.receive_ms);
    let received = body::receive(connection, body, limits.body_bytes, receive).await;
    received.map_err(body_refusal)
}

/// Returns the refusal of a request whose body was not received.
pub(crate) fn body_refusal(e: body::Error) -> Refusal {
    match e {
        body::Error::TooLarge => Refusal::not_run(Reason::TooLarge),
        body::Error::TooSlow => Refusal::not_run(Reason::TooSlow),
        body::Error::Malformed => Refusal::not_run(Reason::Malformed),
        body::Error::NoMemory => Refusal::later(Reason::QueueFull, RETRY_AFTER),
    }
}
