//! A TCP tap: passes connections on to one address, or cuts and silences them.
//!
//! A connection that begins with a call of a worker's agent is passed on by
//! all faults but `Unavailable` and `Unresponsive`.

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

/// How the beginning of a call of a worker's agent looks.
const AGENT: &[u8] = b"POST /agent/";
/// Bytes read in one go.
const BUF_BYTES: usize = 64 * 1_024;

/// What happens to connections that are opened from now on.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum Fault {
    /// They are passed on.
    #[default]
    None,
    /// They are closed at once, also when they call an agent.
    Unavailable,
    /// They are accepted and carry nothing, also when they call an agent.
    Unresponsive,
    /// They are closed when their first bytes arrive; nothing is passed on.
    CutRequest,
    /// They are cut after so many bytes of the request were passed on.
    CutRequestAfter(usize),
    /// The request is passed on and the answer is cut after so many bytes.
    CutResponseAfter(usize),
    /// The request is passed on and no byte of the answer comes back.
    WithholdResponse,
    /// The request is not passed on; these bytes are the answer, then the connection ends.
    Respond(Bytes),
}

/// What the connections share.
#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// Connections so far that were no calls of an agent.
    non_agent_connections: u64,
}

/// A running tap; dropping it cuts everything.
#[derive(Debug)]
pub struct FaultProxy {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Changes whenever all open connections go silent for good.
    silence: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultProxy {
    /// Starts a tap in front of `to`.
    ///
    /// # Panics
    ///
    /// When no port can be bound.
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

    /// Sets what happens to connections that are opened from now on.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// All open connections carry nothing any more; new ones are not affected.
    pub fn silence_open_connections(&self) {
        self.silence.send_modify(|n| *n += 1);
    }

    /// Connections so far that were no calls of an agent.
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
    // Dropped together with this task, which ends every connection.
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
    let fault = match first.starts_with(AGENT) {
        true => Fault::None,
        false => {
            lock(&state).non_agent_connections += 1;
            fault
        }
    };
    tokio::select! {
        done = carry(&mut stream, first, to, fault) => return done,
        _ = silenced.changed() => {}
    }
    // The near end stays open; whatever it sends goes nowhere.
    std::future::pending().await
}

/// Carries one connection until either side ends it.
async fn carry(near: &mut TcpStream, first: &[u8], to: SocketAddr, fault: Fault) -> Option<()> {
    match fault {
        Fault::CutRequest => return None,
        Fault::Respond(bytes) => return near.write_all(&bytes).await.ok(),
        _ => {}
    }
    let far = TcpStream::connect(to).await.ok()?;
    let _ = far.set_nodelay(true);
    let (mut from_far, mut to_far) = far.into_split();
    let (mut from_near, mut to_near) = near.split();
    let (request_max, answer_max) = match fault {
        Fault::CutRequestAfter(n) => (n, usize::MAX),
        Fault::CutResponseAfter(n) => (usize::MAX, n),
        _ => (usize::MAX, usize::MAX),
    };
    let taken = first.len().min(request_max);
    to_far.write_all(&first[..taken]).await.ok()?;
    if fault == Fault::WithholdResponse {
        let _ = swallow(&mut from_far).await;
        std::future::pending::<()>().await;
    }
    if taken < first.len() {
        return None;
    }
    tokio::select! {
        done = copy(&mut from_near, &mut to_far, request_max - taken) => done,
        done = copy(&mut from_far, &mut to_near, answer_max) => done,
    }
}

async fn swallow(from: &mut OwnedReadHalf) -> Option<()> {
    let mut buf = vec![0; BUF_BYTES];
    while from.read(&mut buf).await.ok()? > 0 {}
    Some(())
}

/// Copies until one side ends or `max` bytes were copied.
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
