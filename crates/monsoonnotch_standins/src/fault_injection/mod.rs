//! A TCP proxy in front of one address that injects faults into its connections.
//!
//! A connection that begins with a request to a worker's agent is affected only by the faults
//! `Unavailable` and `Unresponsive`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::serve;

/// The bytes that a request to a worker's agent begins with.
const AGENT_PREFIX: &[u8] = b"POST /agent/";
/// Size of the buffers for reading, in bytes.
const BUF_BYTES: usize = 64 * 1_024;

/// A fault of the connections that are opened while it is set.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Connections are forwarded.
    #[default]
    None,
    /// Connections are closed at once, including those to an agent.
    Unavailable,
    /// Connections are accepted, but no data is forwarded, including on those to an agent.
    Unresponsive,
    /// Connections are closed when their first bytes are received; nothing is forwarded.
    CutRequest,
    /// Connections are closed after this number of bytes of the request was forwarded.
    CutRequestAfter(usize),
    /// The request is forwarded, and the connection is closed after this number of bytes of the
    /// response.
    CutResponseAfter(usize),
    /// The request is forwarded, but no byte of the response is.
    WithholdResponse,
    /// The request is not forwarded. These bytes are sent as the response, and the connection is
    /// closed.
    Respond(Bytes),
}

/// The state that the connections share.
#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// Number of connections so far that did not begin with a request to an agent.
    non_agent_connections: u64,
}

/// A running proxy. Dropping it closes its port and all connections.
#[derive(Debug)]
pub struct FaultProxy {
    /// Address on which the proxy listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Number of times that the open connections were silenced. Each change silences the
    /// connections that are open at that time.
    silence: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultProxy {
    /// Starts a proxy that forwards connections to `to`.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(serve::any_port()).await;
        let listener = listener.expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let state = Arc::new(Mutex::new(State::default()));
        let (silence, silenced) = watch::channel(0);
        let task = tokio::spawn(accept(listener, to, Arc::clone(&state), silenced));
        Self {
            addr,
            state,
            silence,
            task,
        }
    }

    /// Sets the fault of the connections that are opened from now on.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Stops forwarding data on all open connections. The client's side of each stays open.
    /// Connections that are opened afterwards are not affected.
    pub fn silence_open_connections(&self) {
        self.silence.send_modify(|n| *n += 1);
    }

    /// Returns the number of connections so far that did not begin with a request to an agent.
    pub fn non_agent_connections(&self) -> u64 {
        lock(&self.state).non_agent_connections
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    state: Arc<Mutex<State>>,
    silenced: watch::Receiver<u64>,
) {
    // The set is dropped together with this task, which closes every connection.
    let mut conns = tokio::task::JoinSet::new();
    loop {
        while conns.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut silenced = silenced.clone();
        silenced.mark_unchanged();
        conns.spawn(connection(stream, to, Arc::clone(&state), silenced));
    }
}

/// Handles one accepted connection.
async fn connection(
    mut stream: TcpStream,
    to: SocketAddr,
    state: Arc<Mutex<State>>,
    mut silenced: watch::Receiver<u64>,
) -> Option<()> {
    let fault = lock(&state).fault.clone();
    match fault {
        Fault::Unavailable => return None,
        Fault::Unresponsive => std::future::pending().await,
        _ => {}
    }
    let mut buf = vec![0; BUF_BYTES];
    let n = stream.read(&mut buf).await.ok()?;
    let first = &buf[..n];
    let fault = match first.starts_with(AGENT_PREFIX) {
        true => Fault::None,
        false => {
            lock(&state).non_agent_connections += 1;
            fault
        }
    };
    tokio::select! {
        done = forward(&mut stream, first, to, fault) => return done,
        _ = silenced.changed() => {}
    }
    // The client's connection stays open, but its data is no longer read.
    std::future::pending().await
}

/// Forwards data between the client and the server at `to` until either side closes the
/// connection or the fault ends it. `first` is the data already read from the client.
async fn forward(client: &mut TcpStream, first: &[u8], to: SocketAddr, fault: Fault) -> Option<()> {
    match fault {
        Fault::CutRequest => return None,
        Fault::Respond(bytes) => return client.write_all(&bytes).await.ok(),
        _ => {}
    }
    let server = TcpStream::connect(to).await.ok()?;
    let _ = server.set_nodelay(true);
    let (mut from_server, mut to_server) = server.into_split();
    let (mut from_client, mut to_client) = client.split();
    let (request_max, response_max) = match fault {
        Fault::CutRequestAfter(n) => (n, usize::MAX),
        Fault::CutResponseAfter(n) => (usize::MAX, n),
        _ => (usize::MAX, usize::MAX),
    };
    let forwarded = first.len().min(request_max);
    to_server.write_all(&first[..forwarded]).await.ok()?;
    if fault == Fault::WithholdResponse {
        let _ = discard(&mut from_server).await;
        std::future::pending::<()>().await;
    }
    if forwarded < first.len() {
        return None;
    }
    tokio::select! {
        done = copy(&mut from_client, &mut to_server, request_max - forwarded) => done,
        done = copy(&mut from_server, &mut to_client, response_max) => done,
    }
}

/// Reads and discards data until the end of the stream.
async fn discard(from: &mut OwnedReadHalf) -> Option<()> {
    let mut buf = vec![0; BUF_BYTES];
    while from.read(&mut buf).await.ok()? > 0 {}
    Some(())
}

/// Copies data until one side closes the connection or `max` bytes have been copied.
async fn copy(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    max: usize,
) -> Option<()> {
    let mut buf = vec![0; BUF_BYTES];
    let mut left = max;
    while left > 0 {
        let n = from.read(&mut buf).await.ok()?.min(left);
        if n == 0 {
            return None;
        }
        to.write_all(&buf[..n]).await.ok()?;
        left -= n;
    }
    None
}
