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
const SOMETHING: u8 = 1;
const LAPSED: u8 = 2;
const LATE: u8 = 3;

/// What was written, seen from outside the connection.
#[derive(Debug, Default, Clone)]
pub struct Written {
    state: Arc<AtomicU8>,
}

impl Written {
    /// Whether a byte may have reached the upstream.
    pub fn any(&self) -> bool {
        matches!(self.state.load(Ordering::Acquire), SOMETHING | LATE)
    }

    /// Whether the right to write lapsed before the last byte was written.
    pub fn lapsed(&self) -> bool {
        matches!(self.state.load(Ordering::Acquire), LAPSED | LATE)
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
pub struct Guarded<S> {
    io: S,
    clock: Clock,
    window: Window,
    written: Written,
}

impl<S> Guarded<S> {
    /// Guards the writes to `io`; what is written shows in `written`.
    pub fn new(io: S, clock: Clock, window: Window, written: Written) -> Self {
        Self {
            io,
            clock,
            window,
            written,
        }
    }

    fn before_write(&self) -> io::Result<()> {
        if self.written.any() {
            return self.check_end();
        }
        if self.clock.now() >= self.window.begin {
            self.written.set(LAPSED);
            return Err(lapsed());
        }
        self.written.set(SOMETHING);
        Ok(())
    }

    fn check_end(&self) -> io::Result<()> {
        if self.clock.now() < self.window.end {
            return Ok(());
        }
        self.written.set(LATE);
        Err(lapsed())
    }
}

fn lapsed() -> io::Error {
    io::Error::other("the right to start work lapsed")
}

impl<S: Read + Unpin> Read for Guarded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for Guarded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
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
