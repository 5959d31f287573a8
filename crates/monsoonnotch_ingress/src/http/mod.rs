//! Serving of HTTP/1.1 on a connection that has taken its place.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use ::http::HeaderValue;
use ::http::Request;
use ::http::Response;
use ::http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::accounts::Turn;
use crate::budget::Connection;
use crate::report::Cause;
use crate::stream::Stream;

/// Smallest buffer size that the HTTP library accepts, in bytes.
pub const HEAD_BYTES_MIN: usize = 8_192;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// What the clients of a listener may do on one connection.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Largest head of a request, in bytes; at least [`HEAD_BYTES_MIN`].
    pub head_bytes: usize,
    /// Timeout for receiving a head, and longest time without a request.
    pub head_timeout: Duration,
    /// Longest time in which the client takes nothing of a response.
    pub response_timeout: Duration,
    /// Returns the response to a request whose head did not arrive in time, as it is sent.
    pub late_head: fn() -> Vec<u8>,
}

/// Serves a connection until it is closed; `f` answers its requests.
///
/// Once `stop` is true, or others need its place, the connection is closed after its next response. If
/// others need its place and its client lags, it is closed at once. A connection without a place waits a
/// moment for one.
pub async fn serve<F, Fut, B>(
    stream: TcpStream,
    mut connection: Connection,
    rules: Rules,
    mut stop: watch::Receiver<bool>,
    f: F,
) where
    F: Fn(Request<Incoming>, Arc<Connection>) -> Fut,
    Fut: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<BoxError>,
{
    let has_place = connection.settle(&stream).await;
    if connection.is_ending() && !has_place {
        return;
    }
    let connection = Arc::new(connection);
    let answering = AtomicBool::new(false);
    let mut stopping = *stop.borrow() || !has_place;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(rules.head_timeout)
        .keep_alive(!stopping)
        .max_buf_size(rules.head_bytes.max(HEAD_BYTES_MIN));
    let service = service_fn(|req: Request<Incoming>| {
        if req.body().is_end_stream() {
            connection.begin_turn(Turn::Process);
        }
        answering.store(true, Ordering::Relaxed);
        let answer = f(req, Arc::clone(&connection));
        let (connection, answering) = (Arc::clone(&connection), &answering);
        Box::pin(async move {
            let mut res = answer.await;
            connection.begin_turn(Turn::Process);
            answering.store(false, Ordering::Relaxed);
            if connection.is_ending() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(res.map(|body| Tracked { body, connection }))
        })
    });
    let stream = Stream::new(stream, Arc::clone(&connection), rules.response_timeout);
    let mut conn = builder.serve_connection(TokioIo::new(stream), service);
    let (mut ending, mut ended) = (false, false);
    let result = loop {
        tokio::select! {
            biased;
            result = poll_fn(|cx| conn.poll_without_shutdown(cx)) => break result,
            () = connection.ended(), if !ended => {
                // A request whose body is being received is refused first.
                if !answering.load(Ordering::Relaxed) {
                    return;
                }
                ended = true;
                Pin::new(&mut conn).graceful_shutdown();
            }
            () = connection.ending(), if !ending => {
                ending = true;
                Pin::new(&mut conn).graceful_shutdown();
            }
            _ = stop.wait_for(|stop| *stop), if !stopping => {
                stopping = true;
                Pin::new(&mut conn).graceful_shutdown();
            }
        }
    };
    let stream = conn.into_parts().io.into_inner();
    close(stream, &connection, rules, result).await;
}

/// Closes a connection after its last request.
async fn close(
    stream: Stream,
    connection: &Connection,
    rules: Rules,
    result: Result<(), hyper::Error>,
) {
    connection.begin_turn(Turn::Client);
    match result {
        Ok(()) => stream.close().await,
        Err(e) if e.is_parse() => {
            connection.budget().report(Cause::HeadInvalid);
            stream.close().await;
        }
        Err(e) if e.is_timeout() && stream.has_pending_request() => {
            connection.budget().report(Cause::HeadLate);
            stream.write_and_close(&(rules.late_head)()).await;
        }
        Err(e) if e.is_timeout() => stream.close().await,
        Err(_) if stream.is_write_pending() => {
            connection.budget().report(Cause::ResponseUnread);
            stream.reset();
        }
        Err(_) => stream.reset(),
    }
}

/// The body of a response. Once it is handed over, or dropped, it is the client's turn.
#[derive(Debug)]
struct Tracked<B> {
    body: B,
    connection: Arc<Connection>,
}

impl<B: Body + Unpin> Body for Tracked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        self.connection.begin_turn(Turn::Client);
    }
}
