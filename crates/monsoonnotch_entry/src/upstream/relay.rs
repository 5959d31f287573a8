//! The body of an answer on its way from upstream to caller.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use monsoonnotch_core::event::CallEnd;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::verdict::Reason;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::control::Inbox;

/// Passes a body on and reports how it ended.
///
/// When the caller goes away the rest is read and thrown away, so that the end
/// of the request is known and its slot can be used again.
#[derive(Debug)]
pub struct Relay {
    /// `None` once the end was reported.
    body: Option<Incoming>,
    deadline: Pin<Box<Sleep>>,
    call: CallKey,
    inbox: Inbox,
}

impl Relay {
    /// Passes on `body`, which is due at `deadline`.
    pub fn new(body: Incoming, deadline: Instant, call: CallKey, inbox: Inbox) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let mut relay = Self {
            body: Some(body),
            deadline,
            call,
            inbox,
        };
        if relay.body.as_ref().is_some_and(Incoming::is_end_stream) {
            relay.end(CallEnd::Complete);
        }
        relay
    }

    fn end(&mut self, ended: CallEnd) {
        self.body = None;
        let call = self.call;
        self.inbox.event(Event::CallEnded { call, ended });
    }

    fn cut(&mut self, reason: Reason) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.end(CallEnd::Cut(reason));
        let err = std::io::Error::other(reason.title());
        Poll::Ready(Some(Err(err)))
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let Some(body) = self.body.as_mut() else {
            return Poll::Ready(None);
        };
        let frame = Pin::new(body).poll_frame(cx);
        match frame {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(Some(Err(_))) => self.cut(Reason::UpstreamCut),
            Poll::Ready(None) => {
                self.end(CallEnd::Complete);
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                self.cut(Reason::UpstreamTimeout)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or(SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else {
            return;
        };
        let call = self.call;
        let inbox = self.inbox.clone();
        let deadline = self.deadline.deadline();
        let Ok(rt) = tokio::runtime::Handle::try_current() else {
            return;
        };
        rt.spawn(async move {
            let ended = match tokio::time::timeout_at(deadline, drain(body)).await {
                Ok(true) => CallEnd::Complete,
                Ok(false) => CallEnd::Cut(Reason::UpstreamCut),
                Err(_) => CallEnd::Cut(Reason::UpstreamTimeout),
            };
            inbox.event(Event::CallEnded { call, ended });
        });
    }
}

/// Reads a body to its end; says whether it came whole.
async fn drain(mut body: Incoming) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}
