//! The headers and the body of a caller's request.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body as _;
use hyper::body::Incoming;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use tokio::sync::OwnedSemaphorePermit;

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
/// The `Retry-After` of requests that are refused while the memory for bodies is exhausted.
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

/// Reads a complete body within the limits of the settings.
///
/// The returned permit reserves the memory of the body until it is dropped.
///
/// # Errors
///
/// Refuses a body that is too large, too slow or incomplete, and any body while the memory for
/// bodies is exhausted.
pub(super) async fn read_body(
    shared: &Shared,
    body: Incoming,
) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
    let limits = &shared.settings.limits;
    let reserved = reserve_body_memory(shared, &body)?;
    let receive = std::time::Duration::from_millis(limits.receive_ms);
    let collected = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(receive, collected).await {
        Ok(Ok(body)) => Ok((body.to_bytes(), reserved)),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::not_run(Reason::TooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Reason::Malformed)),
        Err(_) => Err(Refusal::not_run(Reason::TooSlow)),
    }
}

/// Reserves memory for a body: its declared length, or else the largest permitted length.
fn reserve_body_memory(shared: &Shared, body: &Incoming) -> Result<OwnedSemaphorePermit, Refusal> {
    let max = shared.settings.limits.body_bytes;
    let hint = body.size_hint();
    let least = usize::try_from(hint.lower()).unwrap_or(usize::MAX);
    if least > max {
        return Err(Refusal::not_run(Reason::TooLarge));
    }
    let bytes = match hint.exact() {
        Some(_) => least,
        None => max,
    };
    let kib = u32::try_from(bytes.div_ceil(1_024)).unwrap_or(u32::MAX);
    let reserved = Arc::clone(&shared.body_memory).try_acquire_many_owned(kib);
    reserved.map_err(|_| Refusal::later(Reason::QueueFull, RETRY_AFTER))
}
