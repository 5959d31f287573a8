//! TCP stream of a link between processes: its messages take memory as they arrive.
//!
//! A link whose other end sends a message for which there is no memory fails. The other end opens it
//! again, and sends again what it still needs to send.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::budget::Connection;
use crate::report::Cause;

/// Part of a message that needs no memory beside that of the link, in bytes. Most messages are smaller.
const FREE_BYTES: u64 = 16 << 10;
/// Memory that is taken at a time, in bytes.
const STEP_BYTES: u64 = 64 << 10;

/// A stream that carries messages, and the place of its link.
#[derive(Debug)]
pub struct LinkStream {
    io: TcpStream,
    connection: Arc<Connection>,
    /// Longest message that is read, in bytes.
    message_bytes_max: u64,
    /// Bytes of the current message that were read.
    read: u64,
    /// Memory that was taken for it.
    taken: u64,
}

impl LinkStream {
    /// Wraps a stream on which only short messages are read, until [`Self::allow`] is called.
    pub fn new(io: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            io,
            connection,
            message_bytes_max: FREE_BYTES,
            read: 0,
            taken: 0,
        }
    }

    /// Allows messages of up to `bytes`, while there is memory for them.
    pub fn allow(&mut self, bytes: usize) {
        self.message_bytes_max = bytes as u64;
    }

    /// Gives back the memory of a message that was received.
    pub fn message_received(&mut self) {
        self.connection.give_back(std::mem::take(&mut self.taken));
        self.read = 0;
    }

    /// Takes memory for what is read next.
    fn make_room(&mut self) -> io::Result<()> {
        if self.read < FREE_BYTES + self.taken {
            return Ok(());
        }
        let cause = match self.read >= self.message_bytes_max {
            true => Cause::MessageTooLarge,
            false if self.connection.take_now(STEP_BYTES) => {
                self.taken += STEP_BYTES;
                return Ok(());
            }
            false => Cause::NoMemory,
        };
        self.connection.budget().report(cause);
        Err(io::Error::from(io::ErrorKind::OutOfMemory))
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.make_room()?;
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        self.read += (buf.filled().len() - before) as u64;
        read
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
