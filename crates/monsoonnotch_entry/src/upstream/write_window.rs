//! A connection that checks the right to write around each write.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use monsoonnotch_core::time::Time;

use crate::clock::Clock;

// Zero stands for nothing written yet.
const STARTED: u8 = 1;
const EXPIRED_UNWRITTEN: u8 = 2;
const EXPIRED_AFTER_START: u8 = 3;

/// What was written, seen from outside the connection.
#[derive(Debug, Default, Clone)]
pub struct WriteProgress {
    state: Arc<AtomicU8>,
}

impl WriteProgress {
    /// Whether a byte may have reached the upstream.
    pub fn any(&self) -> bool {
        matches!(
            self.state.load(Ordering::Acquire),
            STARTED | EXPIRED_AFTER_START
        )
    }

    /// Whether the right to write lapsed before the last byte was written.
    pub fn expired(&self) -> bool {
        matches!(
            self.state.load(Ordering::Acquire),
            EXPIRED_UNWRITTEN | EXPIRED_AFTER_START
        )
    }

    fn set(&self, state: u8) {
        self.state.store(state, Ordering::Release);
    }
}

/// When a request may be written.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    /// The first write begins before this.
    pub begin: Time,
    /// The last write ends before this.
    pub end: Time,
}

/// A connection to an upstream.
///
/// The process may be paused between a check and the write that follows it.
/// So the clock is read again after each write, and a request that was written
/// too late counts as one that may have run.
#[derive(Debug)]
pub struct WindowedIo<S> {
    io: S,
    clock: Clock,
    window: Window,
    progress: WriteProgress,
}

impl<S> WindowedIo<S> {
    /// Guards the writes to `io`; what is written shows in `progress`.
    pub fn new(io: S, clock: Clock, window: Window, progress: WriteProgress) -> Self {
        Self {
            io,
            clock,
            window,
            progress,
        }
    }

    fn check_begin(&self) -> io::Result<()> {
        if self.progress.any() {
            return self.check_end();
        }
        if self.clock.now() >= self.window.begin {
            self.progress.set(EXPIRED_UNWRITTEN);
            return Err(expired());
        }
        self.progress.set(STARTED);
        Ok(())
    }

    fn check_end(&self) -> io::Result<()> {
        if self.clock.now() < self.window.end {
            return Ok(());
        }
        self.progress.set(EXPIRED_AFTER_START);
        Err(expired())
    }
}

fn expired() -> io::Error {
    io::Error::other("the right to start work lapsed")
}

impl<S: Read + Unpin> Read for WindowedIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for WindowedIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_begin()?;
        let n = std::task::ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.check_end()?;
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
