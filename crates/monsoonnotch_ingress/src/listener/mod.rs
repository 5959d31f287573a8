//! Listening sockets with bounded receive buffers, whose connections take their place of a budget.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::budget::Budget;
use crate::budget::Connection;

/// Connections that the kernel keeps until they are accepted.
const BACKLOG: u32 = 256;
/// Pause after a failed accept. The process is most likely out of descriptors, and other connections
/// close meanwhile and free some.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A listening socket and the budget of its clients.
#[derive(Debug)]
pub struct Listener {
    io: TcpListener,
    budget: Budget,
}

impl Listener {
    /// Listens at an address. Each connection has a receive buffer of `receive_buffer` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn bind(addr: SocketAddr, receive_buffer: u32, budget: Budget) -> io::Result<Self> {
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // Connections inherit the size; it must be set before the window is negotiated.
        socket.set_recv_buffer_size(receive_buffer)?;
        socket.bind(addr)?;
        let io = socket.listen(BACKLOG)?;
        Ok(Self { io, budget })
    }

    /// Returns the address, with the actual port.
    ///
    /// # Errors
    ///
    /// Returns an error when the system does not know it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Accepts a connection, which has its place or waits for one.
    pub async fn accept(&self) -> (TcpStream, Connection) {
        loop {
            let Ok((stream, _)) = self.io.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Without it, a response may wait for an acknowledgement; the connection is of use even so.
            let _ = stream.set_nodelay(true);
            return (stream, self.budget.arrive());
        }
    }
}
