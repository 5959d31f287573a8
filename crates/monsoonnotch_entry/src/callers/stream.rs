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
const CLOSE_WAIT_MAX: Duration = Duration::from_millis(500);
/// What is read and thrown away while waiting, in one go.
const DISCARD_BYTES: usize = 16 * 1_024;

/// A stream whose writes fail when the other side takes nothing for a while.
#[derive(Debug)]
pub(super) struct Stream {
    io: TokioIo<TcpStream>,
    write_timer: Pin<Box<Sleep>>,
    /// Whether a write waits for the other side.
    write_pending: bool,
    write_timeout: Duration,
    /// Whether something was read since the last write.
    has_pending_request: bool,
}

impl Stream {
    /// Wraps a stream whose writes wait for `write_timeout` at most.
    pub(super) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self {
            io: TokioIo::new(stream),
            write_timer: Box::pin(tokio::time::sleep(write_timeout)),
            write_pending: false,
            write_timeout,
            has_pending_request: false,
        }
    }

    /// Whether a request has begun to arrive and was not answered.
    pub(super) fn has_pending_request(&self) -> bool {
        self.has_pending_request
    }

    /// Writes a last text, then closes.
    pub(super) async fn write_and_close(mut self, text: &[u8]) {
        let write = self.io.inner_mut().write_all(text);
        if let Ok(Ok(())) = timeout(CLOSE_WAIT_MAX, write).await {
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
        let _ = timeout(CLOSE_WAIT_MAX, rest).await;
    }

    /// Closes so that the other side cannot take it for an ordinary end.
    pub(super) fn reset(self) {
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
            self.has_pending_request = true;
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
            self.write_pending = false;
            self.has_pending_request = false;
            return Poll::Ready(written);
        }
        if !self.write_pending {
            self.write_pending = true;
            let until = Instant::now() + self.write_timeout;
            self.write_timer.as_mut().reset(until);
        }
        std::task::ready!(self.write_timer.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
