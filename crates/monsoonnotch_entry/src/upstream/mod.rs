//! Exchange of one request and its response with an upstream.
//!
//! Each request uses a separate connection, which records whether a byte of the request was
//! written to the socket. The verdict "not run" is reported only if none was. The exchange runs
//! in a separate task: a caller that disconnects does not abort it, so the outcome of the request
//! is always determined.

mod relay;
mod reporting;
pub mod write_window;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::verdict::Reason;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use self::reporting::OutcomeReporter;
use self::write_window::Window;
use self::write_window::WindowedIo;
use self::write_window::WriteProgress;
use crate::clock::Clock;
use crate::problem::Body;

/// One dispatch of a request.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The address of the upstream.
    pub addr: SocketAddr,
    /// Timeout for connecting.
    pub connect: Duration,
    /// Deadline for the complete response.
    pub deadline: Instant,
    /// The clock of the process, which `window` refers to.
    pub clock: Clock,
    /// The window of time in which the request may be written.
    pub window: Window,
}

/// A response whose body is still being received, or the outcome of a request without response.
pub type ExchangeResult = Result<Response<Body>, CallOutcome>;

/// Starts an exchange in a new task, which reports the outcome of the request to `reporter`.
///
/// The returned receiver yields the result as soon as the head of the response has arrived.
pub fn start(
    d: Dispatch,
    req: Request<Full<Bytes>>,
    reporter: OutcomeReporter,
) -> oneshot::Receiver<ExchangeResult> {
    let (tx, rx) = oneshot::channel();
    tokio::spawn(run(d, req, reporter, tx));
    rx
}

async fn run(
    d: Dispatch,
    req: Request<Full<Bytes>>,
    reporter: OutcomeReporter,
    tx: oneshot::Sender<ExchangeResult>,
) {
    // Dropping the set at the end of this task closes the connection.
    let mut conns = JoinSet::new();
    match send(&d, req, &mut conns).await {
        Ok(res) => relay::forward_response(res, d.deadline, reporter, tx).await,
        Err(outcome) => {
            reporter.report(outcome);
            let _ = tx.send(Err(outcome));
        }
    }
}

/// Sends a request and waits for the head of the response.
async fn send(
    d: &Dispatch,
    req: Request<Full<Bytes>>,
    conns: &mut JoinSet<hyper::Result<()>>,
) -> Result<Response<Incoming>, CallOutcome> {
    let progress = WriteProgress::default();
    let sent = tokio::time::timeout_at(d.deadline, exchange(d, req, &progress, conns)).await;
    let res = sent.unwrap_or_else(|_| Err(failure_outcome(&progress, Reason::UpstreamTimeout)))?;
    match has_detectable_end(&res) {
        true => Ok(res),
        false => Err(CallOutcome::MayHaveRun(Reason::UpstreamCut)),
    }
}

async fn exchange(
    d: &Dispatch,
    req: Request<Full<Bytes>>,
    progress: &WriteProgress,
    conns: &mut JoinSet<hyper::Result<()>>,
) -> Result<Response<Incoming>, CallOutcome> {
    let connected = tokio::time::timeout(d.connect, TcpStream::connect(d.addr)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        _ => return Err(CallOutcome::NotRun(Reason::UpstreamRefused)),
    };
    let _ = stream.set_nodelay(true);
    let io = WindowedIo::new(TokioIo::new(stream), d.clock, d.window, progress.clone());
    let handshake = http1::handshake(io).await;
    let (mut sender, conn) =
        handshake.map_err(|_| failure_outcome(progress, Reason::UpstreamCut))?;
    conns.spawn(conn);
    let res = sender.send_request(req).await;
    res.map_err(|_| failure_outcome(progress, Reason::UpstreamCut))
}

/// Returns whether a truncated response can be distinguished from a complete one.
///
/// A response that is delimited by the close of its connection looks complete wherever it is
/// truncated.
fn has_detectable_end(res: &Response<Incoming>) -> bool {
    let headers = res.headers();
    let framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let bodyless = res.body().is_end_stream();
    (framed || bodyless) && res.status() != StatusCode::SWITCHING_PROTOCOLS
}

/// Returns the outcome of a request that failed with `reason` before its response began.
fn failure_outcome(progress: &WriteProgress, reason: Reason) -> CallOutcome {
    let reason = match progress.expired() {
        true => Reason::Uncertain,
        false => reason,
    };
    match progress.any() {
        true => CallOutcome::MayHaveRun(reason),
        false => CallOutcome::NotRun(reason),
    }
}
