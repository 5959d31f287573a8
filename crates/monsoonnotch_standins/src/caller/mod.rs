//! A caller: one request on a connection of its own.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use serde_json::Value;

/// Longest wait for anything that should take a few seconds at most.
pub const WAIT_MAX: Duration = Duration::from_secs(60);

/// An answer as a caller sees it.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub complete: bool,
}

impl Response {
    /// The verdict of a refusal.
    pub fn verdict(&self) -> Option<String> {
        let v: Value = serde_json::from_slice(&self.body).ok()?;
        Some(v["verdict"].as_str()?.to_owned())
    }
}

/// Sends one request on a connection of its own; `None` when no head of an answer came.
///
/// # Panics
///
/// When the request is not a valid one.
pub async fn send_request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let stream = tokio::net::TcpStream::connect(addr).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, conn) = hyper::client::conn::http1::handshake(io).await.ok()?;
    let conn = tokio::spawn(conn);
    let mut req = hyper::Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(body.to_owned()).expect("a sound request");
    let res = sender.send_request(req).await.ok()?;
    let (parts, mut body) = res.into_parts();
    let mut buf = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(f) => buf.extend(f.data_ref().map(|d| d.to_vec()).unwrap_or_default()),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    conn.abort();
    Some(Response {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: buf,
        complete,
    })
}

/// Waits until `f` holds.
///
/// # Panics
///
/// With `what` when it does not within `WAIT_MAX`.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut f: impl FnMut() -> F) {
    let start = Instant::now();
    while !f().await {
        assert!(start.elapsed() < WAIT_MAX, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
