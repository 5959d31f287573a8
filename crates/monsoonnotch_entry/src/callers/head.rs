//! What a request's head says about how to treat it.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;

use super::Shared;

/// The profile that the request runs under.
pub(super) const PROFILE: HeaderName = HeaderName::from_static("profile");
/// The key under which a request runs at most once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How long the caller waits, in milliseconds.
pub(super) const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("request-timeout-ms");
/// Names the request; given back with the answer.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Longest name or key in a header, in bytes.
const TEXT_MAX: usize = 256;

/// A header's text; `None` when there is none.
///
/// # Errors
///
/// When it is empty, too long, not visible ASCII, or there more than once.
pub(super) fn text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let sound = text.filter(|t| !t.is_empty() && t.len() <= TEXT_MAX && values.next().is_none());
    sound.map(Some).ok_or(Refusal::not_run(Reason::Malformed))
}

/// The key in 'Authorization: Bearer ID.SECRET'.
///
/// # Errors
///
/// When there is such a header and it has another form.
pub(super) fn key(headers: &HeaderMap) -> Result<Option<KeyProof>, Refusal> {
    let Some(text) = text(headers, &header::AUTHORIZATION)? else {
        return Ok(None);
    };
    let token = text.strip_prefix("Bearer ").and_then(|t| t.split_once('.'));
    let (id, secret) = token.ok_or(Refusal::not_run(Reason::KeyMissing))?;
    Ok(Some(KeyProof {
        id: Name::from(id),
        hash: KeyHash::of(secret),
    }))
}

/// How long the caller waits, in milliseconds.
///
/// # Errors
///
/// When the header is not a whole number.
pub(super) fn timeout_ms(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let text = text(headers, &REQUEST_TIMEOUT_MS)?;
    let number = text.map(|t| t.parse().map_err(|_| Refusal::not_run(Reason::Malformed)));
    number.transpose()
}

/// The request's own name, or one made here.
pub(super) fn request_id(headers: &HeaderMap) -> HeaderValue {
    let given = headers.get(&REQUEST_ID).filter(|v| v.len() <= TEXT_MAX);
    given.cloned().unwrap_or_else(|| {
        let id = format!("{:016x}", rand::random::<u64>());
        HeaderValue::from_str(&id).expect("hexadecimal digits are a valid value")
    })
}

/// Reads a whole body within the limits.
///
/// # Errors
///
/// When it is too large, too slow or cut.
pub(super) async fn body(shared: &Shared, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = &shared.settings.limits;
    let receive = std::time::Duration::from_millis(limits.receive_ms);
    let whole = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(receive, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::not_run(Reason::TooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Reason::Malformed)),
        Err(_) => Err(Refusal::not_run(Reason::TooSlow)),
    }
}
