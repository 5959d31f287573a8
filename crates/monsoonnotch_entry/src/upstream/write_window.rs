//! A connection that permits writes only until a window of time has expired.

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

// States of `WriteProgress`. Zero means that nothing has been written yet.
const STARTED: u8 = 1;
const EXPIRED_UNWRITTEN: u8 = 2;
const EXPIRED_AFTER_START: u8 = 3;

/// What a connection has written, shared with the owner of the request.
#[derive(Debug, Default, Clone)]
pub struct WriteProgress {
    state: Arc<AtomicU8>,
}

impl WriteProgress {
    /// Returns whether a byte may have reached the upstream.
    pub fn any(&self) -> bool {
        matches!(
            self.state.load(Ordering::Acquire),
            STARTED | EXPIRED_AFTER_START
        )
    }

    /// Returns whether the window expired before the last byte was written.
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

/// Time limits for the writing of a request.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    /// Time before which the first write must begin.
    pub begin_before: Time,
    /// Time before which the last write must end.
    pub end_before: Time,
}

/// A connection to an upstream whose writes fail once a [`Window`] has expired.
///
/// The process may be paused between a check and the write that follows it. Therefore the clock
/// is read again after each write, and a request that was written too late counts as one that
/// may have run.
#[derive(Debug)]
pub struct WindowedIo<S> {
    io: S,
    clock: Clock,
    window: Window,
    progress: WriteProgress,
}

impl<S> WindowedIo<S> {
    /// Wraps `io` and records in `progress` what is written to it.
    pub fn new(io: S, clock: Clock, window: Window, progress: WriteProgress) -> Self {
        Self {
            io,
            clock,
            window,
            progress,
        }
    }

    /// Checks `begin_before` before the first write, and `end_before` before later ones.
    fn check_before_write(&self) -> io::Result<()> {
        if self.progress.any() {
            return self.check_end();
        }
        if self.clock.now() >= self.window.begin_before {
            self.progress.set(EXPIRED_UNWRITTEN);
            return Err(expired());
        }
        self.progress.set(STARTED);
        Ok(())
    }

    fn check_end(&self) -> io::Result<()> {
        if self.clock.now() < self.window.end_before {
            return Ok(());
        }
        self.progress.set(EXPIRED_AFTER_START);
        Err(expired())
    }
}

fn expired() -> io::Error {
    io::Error::other("the write window of the request has expired")
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
        self.check_before_write()?;
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
