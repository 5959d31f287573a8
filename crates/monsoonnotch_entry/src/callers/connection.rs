//! Serving of one connection of a caller.

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::Shared;
use super::respond;
use super::stream::Stream;
use crate::problem;
use crate::problem::Body;

/// Smallest buffer size that hyper accepts, in bytes.
const BUF_MIN_BYTES: usize = 8_192;

type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;

/// Serves a connection until it is closed.
///
/// If `refuse` is set, it is the response to the first request, after which the connection is
/// closed.
pub(super) async fn serve(
    stream: TcpStream,
    shared: Arc<Shared>,
    mut stop: watch::Receiver<bool>,
    refuse: Option<Refusal>,
) {
    let _ = stream.set_nodelay(true);
    let receive = Duration::from_millis(shared.settings.limits.receive_ms);
    let last = refuse.is_some() || *stop.borrow();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(receive)
        .keep_alive(!last)
        .max_buf_size(shared.settings.limits.head_bytes.max(BUF_MIN_BYTES));
    let service = service_fn(move |req: Request<Incoming>| -> ResponseFuture {
        let shared = Arc::clone(&shared);
        Box::pin(async move { Ok(respond(shared, req, refuse).await) })
    });
    let mut conn = builder.serve_connection(Stream::new(stream, receive), service);
    let stopped = tokio::select! {
        result = poll_fn(|cx| conn.poll_without_shutdown(cx)) => Some(result),
        _ = stop.changed() => None,
    };
    let result = match stopped {
        Some(result) => result,
        None => {
            Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| conn.poll_without_shutdown(cx)).await
        }
    };
    let stream = conn.into_parts().io;
    match result {
        Ok(()) => stream.close().await,
        Err(e) if e.is_parse() => stream.close().await,
        Err(e) if e.is_timeout() && stream.has_pending_request() => {
            stream.write_and_close(&head_timeout_response().await).await;
        }
        Err(e) if e.is_timeout() => stream.close().await,
        Err(_) => stream.reset(),
    }
}

/// Returns the bytes of the response to a request whose head did not arrive in time.
async fn head_timeout_response() -> Vec<u8> {
    let res = problem::response(&Refusal::not_run(Reason::TooSlow), None);
    let (parts, body) = res.into_parts();
    let body = body
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {}\r\ncontent-type: application/problem+json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        parts.status,
        body.len(),
    );
    [head.as_bytes(), &body].concat()
}
