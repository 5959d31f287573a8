//! HTTP responses, in particular refusals as JSON problem details (RFC 9457).

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use serde::Serialize;

use crate::measure;

/// The body of a response; an error aborts the connection.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Content type of a problem document.
const PROBLEM_TYPE: &str = "application/problem+json";

/// The members of a problem document.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    reason: u16,
    verdict: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

/// Builds the problem document of a refusal and counts it in the metrics.
pub fn response(refusal: &Refusal, detail: Option<&str>) -> Response<Body> {
    let (status, text) = document(refusal, detail);
    let mut res = with_content_type(status, PROBLEM_TYPE, text);
    if let Some(wait) = refusal.retry_after {
        let secs = wait.as_secs_ceil().max(1);
        let headers = res.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from(secs));
    }
    res
}

/// Returns the bytes of the response to a request whose head did not arrive in time.
pub fn late_head() -> Vec<u8> {
    let (status, text) = document(&Refusal::not_run(Reason::TooSlow), None);
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {PROBLEM_TYPE}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        text.len(),
    );
    [head.as_bytes(), &text].concat()
}

/// Returns the status and the text of a problem document, and counts it in the metrics.
fn document(refusal: &Refusal, detail: Option<&str>) -> (StatusCode, Vec<u8>) {
    measure::record_problem(refusal);
    let reason = refusal.reason;
    let problem = Problem {
        r#type: format!("urn:monsoonnotch:reason:{}", reason.number()),
        title: reason.title(),
        status: reason.status(),
        reason: reason.number(),
        verdict: refusal.verdict.as_str(),
        detail,
    };
    let text = serde_json::to_vec(&problem).expect("a problem document can be serialized as JSON");
    let status = StatusCode::from_u16(reason.status()).expect("a reason has a valid status");
    (status, text)
}

/// Builds a response with a JSON body.
pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    with_content_type(status, "application/json", text)
}

/// Builds a response with the given content type.
pub fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    text: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(text.into())
        .map_err(|never| match never {})
        .boxed();
    let mut res = Response::new(body);
    *res.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    res.headers_mut().insert(header::CONTENT_TYPE, content_type);
    res
}
