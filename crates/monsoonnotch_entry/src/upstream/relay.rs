//! Forwarding of response bodies from an upstream to a caller.
//!
//! One task reads from the upstream and sends the frames to the caller's connection over a small
//! bounded channel. A caller that is slow or stalled occupies the request's slot until the
//! deadline at most. A body is complete only if it ends with an explicit end marker; without it
//! the caller's connection is cut.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::verdict::Reason;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::ExchangeResult;
use super::OutcomeReporter;

/// Maximum number of frames that are buffered for the caller.
const FRAMES_MAX: usize = 4;

/// An item of the channel to the caller's connection: a frame or the end marker.
#[derive(Debug)]
enum RelayItem {
    Frame(Frame<Bytes>),
    End,
}

/// Forwards a response to the caller and reports the outcome of the request.
///
/// When the caller has disconnected, the rest of the body is read and discarded, so that the
/// outcome of the request is determined and its slot can be reused.
pub(super) async fn forward_response(
    res: Response<Incoming>,
    deadline: Instant,
    reporter: OutcomeReporter,
    tx: oneshot::Sender<ExchangeResult>,
) {
    let (parts, body) = res.into_parts();
    let completion = match parts.status.is_server_error() {
        true => CallOutcome::Failed,
        false => CallOutcome::Complete,
    };
    if body.is_end_stream() {
        reporter.report(completion);
        let none = Empty::new().map_err(|never| match never {}).boxed();
        let _ = tx.send(Ok(Response::from_parts(parts, none)));
        return;
    }
    let (items, rx) = mpsc::channel(FRAMES_MAX);
    let relay = Relay { rx, ended: false }.boxed();
    let _ = tx.send(Ok(Response::from_parts(parts, relay)));
    let result = forward_frames(body, deadline, &items).await;
    reporter.report(result.err().map_or(completion, CallOutcome::Cut));
    if result.is_ok() {
        let _ = items.send(RelayItem::End).await;
    }
}

/// Reads a body to its end.
///
/// Its frames are forwarded until the receiver is dropped, and discarded after that.
///
/// # Errors
///
/// Returns the reason when the body is truncated or exceeds the deadline.
async fn forward_frames(
    mut body: Incoming,
    deadline: Instant,
    items: &mpsc::Sender<RelayItem>,
) -> Result<(), Reason> {
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Reason::UpstreamCut),
            Ok(None) => return Ok(()),
            Err(_) => return Err(Reason::UpstreamTimeout),
        };
        let passed = tokio::time::timeout_at(deadline, items.send(RelayItem::Frame(frame)));
        if passed.await.is_err() {
            return Err(Reason::UpstreamTimeout);
        }
    }
}

/// The receiving side of the channel as a response body.
///
/// It yields an error when the channel closes without an end marker.
#[derive(Debug)]
struct Relay {
    rx: mpsc::Receiver<RelayItem>,
    ended: bool,
}

impl hyper::body::Body for Relay {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let item = std::task::ready!(self.rx.poll_recv(cx));
        self.ended = !matches!(item, Some(RelayItem::Frame(_)));
        Poll::Ready(match item {
            Some(RelayItem::Frame(frame)) => Some(Ok(frame)),
            Some(RelayItem::End) => None,
            None => Some(Err(std::io::Error::other(Reason::UpstreamCut.title()))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
