//! Single HTTP requests as a caller sends them, and waiting for conditions.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use serde_json::Value;

/// Maximum time to wait for a condition that is expected within a few seconds.
pub const WAIT_MAX: Duration = Duration::from_secs(60);

/// A response as a caller receives it.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The response headers.
    pub headers: http::HeaderMap,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the complete body was received.
    pub complete: bool,
}

impl Response {
    /// Returns the verdict in a problem document; `None` when the body is not one.
    pub fn verdict(&self) -> Option<String> {
        let v: Value = serde_json::from_slice(&self.body).ok()?;
        Some(v["verdict"].as_str()?.to_owned())
    }
}

/// Sends one request on a new connection. Returns `None` when no response head was received.
///
/// # Panics
///
/// Panics when the method, path or headers are invalid.
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
    let req = req.body(body.to_owned()).expect("a valid request");
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

/// Polls `f` until it returns true.
///
/// # Panics
///
/// Panics when `f` has not returned true within [`WAIT_MAX`]. The message contains
/// `description`.
pub async fn wait_until<F: Future<Output = bool>>(description: &str, mut f: impl FnMut() -> F) {
    let start = Instant::now();
    while !f().await {
        assert!(start.elapsed() < WAIT_MAX, "timed out: {description}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
