//! Header fields of the requests and responses that are proxied between callers and upstreams.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::header;
use http::request::Parts;

/// Fields that apply to one connection only and are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the fields that apply to one connection only.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the fields that the `Connection` header lists as hop-by-hop.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|v| v.to_str().ok());
    let names = texts.flat_map(|t| t.split(','));
    names.filter_map(|n| n.trim().parse().ok()).collect()
}

/// Turns the head of a caller's request into the one for an upstream.
///
/// Removes the credentials, the length and the hop-by-hop fields, but keeps the acceptance of
/// trailers. The request identifier is set to `id`.
pub(super) fn prepare_for_upstream(parts: &mut Parts, id: &HeaderValue) {
    let headers = &mut parts.headers;
    let trailers = accepts_trailers(headers);
    strip_hop_by_hop(headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.insert(super::head::REQUEST_ID, id.clone());
    if trailers {
        headers.insert(header::TE, HeaderValue::from_static("trailers"));
        headers.insert(header::CONNECTION, HeaderValue::from_static("te"));
    }
}

/// Returns whether the sender of these headers accepts trailers.
fn accepts_trailers(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::TE).iter();
    let mut texts = values.filter_map(|v| v.to_str().ok());
    texts.any(|t| {
        t.split(',')
            .any(|c| c.trim().eq_ignore_ascii_case("trailers"))
    })
}

/// Builds the request for an upstream at `addr`, which becomes the `Host`.
pub(super) fn upstream_request<B>(parts: &Parts, body: B, addr: &str) -> Request<B> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut req = Request::new(body);
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = path.parse().expect("the path of a valid URI is valid");
    *req.headers_mut() = parts.headers.clone();
    let host = HeaderValue::from_str(addr).expect("an address is a valid header value");
    req.headers_mut().insert(header::HOST, host);
    req
}
