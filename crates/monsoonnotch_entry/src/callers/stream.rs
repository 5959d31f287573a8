//! A caller's TCP stream that does not wait for ever to be read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::timeout;

/// Longest wait for the other side to close.
const LINGER: Duration = Duration::from_millis(500);
/// What is read and thrown away while waiting, in one go.
const DISCARD_BYTES: usize = 16 * 1_024;

/// A stream whose writes fail when the other side takes nothing for a while.
#[derive(Debug)]
pub(super) struct Stream {
    io: TokioIo<TcpStream>,
    stalled: Pin<Box<Sleep>>,
    /// Whether a write waits for the other side.
    waiting: bool,
    patience: Duration,
    /// Whether something was read since the last write.
    heard: bool,
}

impl Stream {
    /// Wraps a stream whose writes wait for `patience` at most.
    pub(super) fn new(stream: TcpStream, patience: Duration) -> Self {
        Self {
            io: TokioIo::new(stream),
            stalled: Box::pin(tokio::time::sleep(patience)),
            waiting: false,
            patience,
            heard: false,
        }
    }

    /// Whether a request has begun to arrive and was not answered.
    pub(super) fn heard(&self) -> bool {
        self.heard
    }

    /// Writes a last text, then closes.
    pub(super) async fn say_and_close(mut self, text: &[u8]) {
        let write = self.io.inner_mut().write_all(text);
        if let Ok(Ok(())) = timeout(LINGER, write).await {
            self.close().await;
        }
    }

    /// Closes in order: the other side gets all that was written.
    ///
    /// Closing with something unread would reset the connection, and the
    /// answer could be lost on the other side.
    pub(super) async fn close(self) {
        let mut stream = self.io.into_inner();
        let _ = stream.shutdown().await;
        let rest = async {
            let mut buf = [0; DISCARD_BYTES];
            while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
        };
        let _ = timeout(LINGER, rest).await;
    }

    /// Closes so that the other side cannot take it for an ordinary end.
    pub(super) fn cut(self) {
        let _ = self.io.into_inner().set_zero_linger();
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = read {
            self.heard = true;
        }
        read
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = Pin::new(&mut self.io).poll_write(cx, buf) {
            self.waiting = false;
            self.heard = false;
            return Poll::Ready(written);
        }
        if !self.waiting {
            self.waiting = true;
            let until = Instant::now() + self.patience;
            self.stalled.as_mut().reset(until);
        }
        std::task::ready!(self.stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
