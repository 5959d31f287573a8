//! TCP stream of a caller, with a timeout for writes.

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

/// Longest wait for the caller to close the connection.
const CLOSE_WAIT_MAX: Duration = Duration::from_millis(500);
/// Size of the buffer for input that is discarded before the close, in bytes.
const DISCARD_BYTES: usize = 16 * 1_024;

/// A stream whose writes fail with `TimedOut` when the caller does not read for too long.
#[derive(Debug)]
pub(super) struct Stream {
    io: TokioIo<TcpStream>,
    write_timer: Pin<Box<Sleep>>,
    /// Whether the last write is pending, that is, `write_timer` runs.
    write_pending: bool,
    write_timeout: Duration,
    /// Whether a read has completed since the last write.
    has_pending_request: bool,
}

impl Stream {
    /// Wraps a stream; a write fails when it is pending for longer than `write_timeout`.
    pub(super) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self {
            io: TokioIo::new(stream),
            write_timer: Box::pin(tokio::time::sleep(write_timeout)),
            write_pending: false,
            write_timeout,
            has_pending_request: false,
        }
    }

    /// Returns whether a request has begun to arrive and has no response yet.
    pub(super) fn has_pending_request(&self) -> bool {
        self.has_pending_request
    }

    /// Writes a last response, then closes the connection.
    pub(super) async fn write_and_close(mut self, text: &[u8]) {
        let write = self.io.inner_mut().write_all(text);
        if let Ok(Ok(())) = timeout(CLOSE_WAIT_MAX, write).await {
            self.close().await;
        }
    }

    /// Closes the connection so that the caller receives everything that was written.
    ///
    /// Unread input is discarded first: closing a socket with unread input resets the
    /// connection, and the caller could lose the response.
    pub(super) async fn close(self) {
        let mut stream = self.io.into_inner();
        let _ = stream.shutdown().await;
        let rest = async {
            let mut buf = [0; DISCARD_BYTES];
            while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
        };
        let _ = timeout(CLOSE_WAIT_MAX, rest).await;
    }

    /// Resets the connection, so that the caller cannot mistake it for a complete response.
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
