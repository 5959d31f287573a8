//! HTTP requests as a caller sends them, and waiting for conditions.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::task::JoinHandle;

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
    let req = request(method, path, headers, body);
    Connections::default().send(addr, req).await
}

/// Creates a request.
///
/// # Panics
///
/// Panics when the method, path or headers are invalid.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Request<String> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(body.to_owned()).expect("a valid request")
}

/// Connections of a caller, which it reuses until they fail. Dropping it closes them.
#[derive(Debug, Default)]
pub struct Connections(BTreeMap<SocketAddr, (SendRequest<String>, AbortOnDrop)>);

/// Ends a task when it is dropped.
#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connections {
    /// Sends a request. Returns `None` when no response head was received. The connection is
    /// closed when the response is incomplete, or the returned future is dropped.
    pub async fn send(&mut self, addr: SocketAddr, req: Request<String>) -> Option<Response> {
        let open = self.0.remove(&addr).filter(|(s, _)| !s.is_closed());
        let (mut sender, conn) = match open {
            Some(open) => open,
            None => connect(addr).await?,
        };
        sender.ready().await.ok()?;
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
        if complete {
            self.0.insert(addr, (sender, conn));
        }
        Some(Response {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: buf,
            complete,
        })
    }
}

async fn connect(addr: SocketAddr) -> Option<(SendRequest<String>, AbortOnDrop)> {
    let stream = tokio::net::TcpStream::connect(addr).await.ok()?;
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let conn = tokio::spawn(async move { drop(conn.await) });
    Some((sender, AbortOnDrop(conn)))
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
