//! A TCP path to one server, with the faults of a network on the way.
//!
//! Data that the network loses arrives late, as after a retransmission, even when its sender has
//! closed the connection since. To lose connection attempts, the backlog of the listener is kept
//! full: the kernel then drops SYNs, and the client's kernel sends them again after 1 s and 3 s.

use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection_count::ConnectionCount;

/// Backlog of the listener: small, because blocking it takes one connection more than this.
const BACKLOG: u32 = 4;
/// Time within which a connection to a listener with free backlog is established.
const FILL_TIMEOUT: Duration = Duration::from_millis(10);
/// How long a lossy path drops all connection attempts, or none, before it draws again.
const LOSS_SLICE: Duration = Duration::from_millis(250);
/// Delay of data that was lost once; it doubles with each further loss.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Maximum number of consecutive losses of the same data.
const LOSSES_MAX: u32 = 4;
/// Pause between attempts to reach a server that refuses connections.
const PROBE_PAUSE: Duration = Duration::from_millis(30);
/// Size of the buffers for reading, in bytes.
const BUF_BYTES: usize = 16 * 1_024;

/// A fault of a path.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Everything arrives.
    #[default]
    None,
    /// This percentage of packets is lost.
    Lossy(u8),
    /// Nothing arrives at the server.
    SilentToServer,
    /// Nothing arrives at the client.
    SilentToClient,
    /// Nothing arrives.
    Silent,
    /// All connections are reset.
    Reset,
    /// New connections are refused; open ones are not affected.
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Receiver {
    Server,
    Client,
}

impl Fault {
    /// Returns whether no data arrives at `to`.
    fn silences(self, to: Receiver) -> bool {
        match self {
            Self::Silent => true,
            Self::SilentToServer => to == Receiver::Server,
            Self::SilentToClient => to == Receiver::Client,
            _ => false,
        }
    }

    /// Returns whether no new connection is established, which takes packets in both directions.
    fn blocks_connections(self) -> bool {
        self.silences(Receiver::Server) || self.silences(Receiver::Client)
    }

    /// Returns randomly whether a packet is lost, by the percentage of a lossy path.
    fn loses_packet(self) -> bool {
        matches!(self, Self::Lossy(percent) if rand::random_range(0..100) < percent)
    }
}

/// A running path. Dropping it closes its port and all connections.
#[derive(Debug)]
pub struct Path {
    /// Address on which the path accepts connections.
    pub addr: SocketAddr,
    /// The open connections.
    pub connections: ConnectionCount,
    fault: watch::Sender<Fault>,
    task: JoinHandle<()>,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Path {
    /// Starts a path to the server at `to`, on a free port of `ip`. Nothing else may use `ip`.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub fn start(ip: Ipv4Addr, to: SocketAddr) -> Self {
        let listener = listen((ip, 0).into()).expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let (fault, rx) = watch::channel(Fault::None);
        let connections = ConnectionCount::default();
        let task = tokio::spawn(run(listener, addr, to, rx, connections.clone()));
        Self {
            addr,
            connections,
            fault,
            task,
        }
    }

    /// Sets the fault, also of the open connections.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Serves the path's address until the path is dropped.
async fn run(
    listener: TcpListener,
    addr: SocketAddr,
    to: SocketAddr,
    mut fault_rx: watch::Receiver<Fault>,
    open: ConnectionCount,
) {
    // The set is dropped together with this task, which closes every connection.
    let mut conns = JoinSet::new();
    let server_refused = Arc::new(Notify::new());
    let conn_fault_rx = fault_rx.clone();
    let mut listener = Some(listener);
    loop {
        let Some(bound) = listener.take().or_else(|| listen(addr).ok()) else {
            sleep(PROBE_PAUSE).await;
            continue;
        };
        let fault = *fault_rx.borrow_and_update();
        let slice = async {
            match fault {
                Fault::Lossy(_) => sleep(LOSS_SLICE).await,
                _ => drop(fault_rx.changed().await),
            }
        };
        if fault == Fault::Refused {
            drop(bound);
            slice.await;
        } else if fault.blocks_connections() || fault.loses_packet() {
            block(&bound, addr, slice).await;
            listener = Some(bound);
        } else {
            let accept = async {
                while let Ok((client, _)) = bound.accept().await {
                    let refused = Arc::clone(&server_refused);
                    let handled = connection(client, to, conn_fault_rx.clone(), refused);
                    let counted = open.count();
                    conns.spawn(async move {
                        let _counted = counted;
                        handled.await;
                    });
                }
            };
            tokio::select! {
                () = accept => {}
                () = slice => listener = Some(bound),
                () = server_refused.notified() => {
                    drop(bound);
                    wait_for_server(to).await;
                }
            }
        }
        while conns.try_join_next().is_some() {}
    }
}

/// Keeps the backlog full until `end` completes, so that the kernel drops connection attempts.
async fn block(listener: &TcpListener, addr: SocketAddr, end: impl Future<Output = ()>) {
    let mut fillers = Vec::new();
    while let Ok(Ok(stream)) = timeout(FILL_TIMEOUT, TcpStream::connect(addr)).await {
        fillers.push(stream);
    }
    end.await;
    for _ in &fillers {
        let _ = timeout(FILL_TIMEOUT, listener.accept()).await;
    }
}

/// Waits until the server accepts connections.
async fn wait_for_server(to: SocketAddr) {
    while TcpStream::connect(to).await.is_err() {
        sleep(PROBE_PAUSE).await;
    }
}

/// Handles one accepted connection. Signals `server_refused` when the server does not accept one.
async fn connection(
    mut client: TcpStream,
    to: SocketAddr,
    mut fault_rx: watch::Receiver<Fault>,
    server_refused: Arc<Notify>,
) {
    let Ok(mut server) = TcpStream::connect(to).await else {
        server_refused.notify_one();
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (rx_to_server, rx_to_client) = (fault_rx.clone(), fault_rx.clone());
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let copies = async {
        tokio::join!(
            copy(from_client, to_server, Receiver::Server, rx_to_server),
            copy(from_server, to_client, Receiver::Client, rx_to_client),
        )
    };
    let is_reset = tokio::select! {
        _ = copies => false,
        _ = fault_rx.wait_for(|f| *f == Fault::Reset) => true,
    };
    if is_reset {
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

/// Copies data in one direction until its end or an error, as late as the faults make it.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    receiver: Receiver,
    mut fault_rx: watch::Receiver<Fault>,
) -> Option<()> {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let n = from.read(&mut buf).await.ok()?;
        delay(receiver, &mut fault_rx).await?;
        if n == 0 {
            return to.shutdown().await.ok();
        }
        to.write_all(&buf[..n]).await.ok()?;
    }
}

/// Waits as long as the faults delay data that is sent now.
async fn delay(receiver: Receiver, fault_rx: &mut watch::Receiver<Fault>) -> Option<()> {
    for n in 0..LOSSES_MAX {
        if !fault_rx.borrow().loses_packet() {
            break;
        }
        sleep(RETRANSMIT * 2_u32.pow(n)).await;
    }
    if fault_rx.borrow().silences(receiver) {
        fault_rx.wait_for(|f| !f.silences(receiver)).await.ok()?;
        // The next retransmission after the fault.
        sleep(RETRANSMIT.mul_f64(rand::random_range(0.0..2.0))).await;
    }
    Some(())
}
