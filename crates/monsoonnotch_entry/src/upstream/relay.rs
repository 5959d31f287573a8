//! The body of an answer on its way from upstream to caller.
//!
//! One task reads the upstream and hands frames to the caller's connection
//! over a short channel. A caller that is slow or stalled holds the request's
//! slot up to the deadline at most. Only an explicit mark ends the body well.

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

/// Frames that wait for the caller.
const FRAMES_MAX: usize = 4;

/// One thing on the way to the caller.
#[derive(Debug)]
enum RelayItem {
    Frame(Frame<Bytes>),
    End,
}

/// Passes an answer on and reports how it ended.
///
/// When the caller has gone away the rest is read and thrown away, so that the
/// end of the request is known and its slot can be used again.
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
    let ended = forward_frames(body, deadline, &items).await;
    reporter.report(ended.err().map_or(completion, CallOutcome::Cut));
    if ended.is_ok() {
        let _ = items.send(RelayItem::End).await;
    }
}

/// Reads a body to its end and passes its frames on for as long as someone takes them.
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

/// The caller's end of the channel; a body that ends unmarked is an error.
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
