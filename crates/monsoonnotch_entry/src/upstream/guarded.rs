//! A connection that checks the right to write right before the first write.

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
use hyper_util::rt::TokioIo;
use monsoonnotch_core::time::Time;
use tokio::net::TcpStream;

use crate::clock::Clock;

// Zero stands for nothing written yet.
const SOMETHING: u8 = 1;
const LAPSED: u8 = 2;

/// Whether any byte was written, seen from outside the connection.
#[derive(Debug, Default, Clone)]
pub(super) struct Written {
    state: Arc<AtomicU8>,
}

impl Written {
    /// Whether a byte may have reached the upstream.
    pub(super) fn any(&self) -> bool {
        self.state.load(Ordering::Acquire) == SOMETHING
    }

    /// Whether the right to write lapsed before the first byte.
    pub(super) fn lapsed(&self) -> bool {
        self.state.load(Ordering::Acquire) == LAPSED
    }
}

/// A connection to an upstream.
#[derive(Debug)]
pub(super) struct Guarded {
    io: TokioIo<TcpStream>,
    clock: Clock,
    until: Time,
    written: Written,
}

impl Guarded {
    pub(super) fn new(io: TokioIo<TcpStream>, clock: Clock, until: Time, written: Written) -> Self {
        Self {
            io,
            clock,
            until,
            written,
        }
    }

    /// Marks the request as written, unless the right to write it has lapsed.
    fn begin(&self) -> io::Result<()> {
        if self.written.any() {
            return Ok(());
        }
        if self.clock.now() >= self.until {
            self.written.state.store(LAPSED, Ordering::Release);
            return Err(io::Error::other("the right to start work lapsed"));
        }
        self.written.state.store(SOMETHING, Ordering::Release);
        Ok(())
    }
}

impl Read for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin()?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
