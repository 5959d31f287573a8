//! TCP stream of a client: counts what is received, and bounds the wait for a client that does not read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::timeout;

use crate::budget::Connection;

/// Longest wait for the client to close the connection.
const CLOSE_WAIT_MAX: Duration = Duration::from_millis(500);
/// The same, if others need the place of the connection.
const CLOSE_WAIT_SHORT: Duration = Duration::from_millis(50);
/// Size of the buffer for input that is discarded before the close, in bytes.
const DISCARD_BYTES: usize = 4 << 10;

/// A stream whose writes fail with `TimedOut` when the client does not read for too long.
#[derive(Debug)]
pub(crate) struct Stream {
    io: TcpStream,
    connection: Arc<Connection>,
    write_timer: Pin<Box<Sleep>>,
    /// Whether the last write is pending, that is, `write_timer` runs.
    write_pending: bool,
    write_timeout: Duration,
    /// Whether a read has completed since the last write.
    has_pending_request: bool,
}

impl Stream {
    /// Wraps a stream; a write fails when it is pending for longer than `write_timeout`.
    pub(crate) fn new(io: TcpStream, connection: Arc<Connection>, write_timeout: Duration) -> Self {
        Self {
            io,
            connection,
            write_timer: Box::pin(tokio::time::sleep(write_timeout)),
            write_pending: false,
            write_timeout,
            has_pending_request: false,
        }
    }

    /// Returns whether a request has begun to arrive and has no response yet.
    pub(crate) fn has_pending_request(&self) -> bool {
        self.has_pending_request
    }

    /// Returns whether the last write is pending.
    pub(crate) fn is_write_pending(&self) -> bool {
        self.write_pending
    }

    /// Writes a last response, then closes the connection.
    pub(crate) async fn write_and_close(mut self, text: &[u8]) {
        let written = timeout(CLOSE_WAIT_MAX, self.io.write_all(text)).await;
        if matches!(written, Ok(Ok(()))) {
            self.close().await;
        }
    }

    /// Closes the connection so that the client receives everything that was written.
    ///
    /// Unread input is discarded first: closing a socket with unread input resets the
    /// connection, and the client could lose the response.
    pub(crate) async fn close(self) {
        let Self {
            mut io, connection, ..
        } = self;
        let rest = async {
            // A client that is gone needs no orderly close.
            let _ = io.shutdown().await;
            let mut buf = vec![0; DISCARD_BYTES];
            while io.read(&mut buf).await.is_ok_and(|n| n > 0) {}
        };
        let shortened = async {
            connection.ending().await;
            tokio::time::sleep(CLOSE_WAIT_SHORT).await;
        };
        tokio::select! {
            _ = timeout(CLOSE_WAIT_MAX, rest) => {}
            () = shortened => {}
        }
    }

    /// Resets the connection, so that the client cannot mistake it for a complete response.
    pub(crate) fn reset(self) {
        // If the option cannot be set, the client sees an ordinary close before the end of the response.
        let _ = self.io.set_zero_linger();
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = read {
            let begins = !std::mem::replace(&mut self.has_pending_request, true);
            let bytes = (buf.filled().len() - before) as u64;
            self.connection.received(bytes, begins);
        }
        read
    }
}

impl AsyncWrite for Stream {
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
