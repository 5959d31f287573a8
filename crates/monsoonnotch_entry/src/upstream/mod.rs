//! Sending one request to an upstream and passing its answer on.
//!
//! Each request has a connection of its own. Whether a byte of it was handed
//! to the system is known, so that "not run" is said only when none was.

mod guarded;
mod relay;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use monsoonnotch_core::event::CallEnd;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::verdict::Reason;
use tokio::net::TcpStream;
use tokio::time::Instant;

use self::guarded::Guarded;
use self::guarded::Written;
pub use self::relay::Relay;
use crate::clock::Clock;

/// One dispatch of a request.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Where the upstream answers.
    pub addr: SocketAddr,
    /// Longest dial.
    pub connect: Duration,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// The process's clock.
    pub clock: Clock,
    /// When the right to write the request lapses.
    pub certain_until: Time,
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// How the request ended, when no head came: never `Complete`.
pub async fn send(d: &Dispatch, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallEnd> {
    let written = Written::default();
    let sent = tokio::time::timeout_at(d.deadline, exchange(d, req, &written)).await;
    match sent {
        Ok(Ok(res)) => Ok(res),
        Ok(Err(end)) => Err(end),
        Err(_) => Err(ended(&written, Reason::UpstreamTimeout)),
    }
}

async fn exchange(
    d: &Dispatch,
    req: Request<Full<Bytes>>,
    written: &Written,
) -> Result<Response<Incoming>, CallEnd> {
    let dial = tokio::time::timeout(d.connect, TcpStream::connect(d.addr)).await;
    let stream = match dial {
        Ok(Ok(stream)) => stream,
        _ => return Err(CallEnd::NotRun(Reason::UpstreamRefused)),
    };
    let _ = stream.set_nodelay(true);
    let io = Guarded::new(
        TokioIo::new(stream),
        d.clock,
        d.certain_until,
        written.clone(),
    );
    let shake = http1::handshake(io).await;
    let (mut sender, conn) = shake.map_err(|_| ended(written, Reason::UpstreamCut))?;
    tokio::spawn(conn);
    let res = sender.send_request(req).await;
    res.map_err(|_| ended(written, Reason::UpstreamCut))
}

fn ended(written: &Written, reason: Reason) -> CallEnd {
    match written.any() {
        true => CallEnd::MayHaveRun(reason),
        false if written.lapsed() => CallEnd::NotRun(Reason::Uncertain),
        false => CallEnd::NotRun(reason),
    }
}
