//! An outgoing link, which is dialled again when it fails or its remote end is unresponsive.

use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without data from the remote end after which a link is dropped and dialled again. It is
/// also the maximum duration of sending one message.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum duration of connecting, including the WebSocket handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without an outgoing message after which a link ends. The next message starts a new link.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a link is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

type Socket = WebSocketStream<TcpStream>;

/// Starts a link to `addr` and returns its queue, which holds at most `queue_max` messages.
///
/// The link ends when the queue is dropped or has been idle for [`IDLE_TIMEOUT`].
pub(super) fn start(rt: &Handle, addr: String, queue_max: usize) -> mpsc::Sender<Vec<u8>> {
    let (tx, rx) = mpsc::channel(queue_max);
    rt.spawn(run(addr, rx));
    tx
}

async fn run(addr: String, mut rx: mpsc::Receiver<Vec<u8>>) {
    let mut last_used = Instant::now();
    loop {
        let end = match tokio::time::timeout(DIAL_TIMEOUT, dial(&addr)).await {
            Ok(Some(socket)) => forward(socket, &mut rx, &mut last_used).await,
            _ if rx.is_closed() => ConnectionEnd::Unused,
            _ => ConnectionEnd::Failed,
        };
        if end == ConnectionEnd::Unused || last_used.elapsed() > IDLE_TIMEOUT {
            return;
        }
        tokio::time::sleep(REDIAL_DELAY).await;
        // Messages that were queued while the link was down are outdated, so they are dropped.
        while rx.try_recv().is_ok() {
            last_used = Instant::now();
        }
    }
}

/// Connects to `addr`; returns `None` when that fails.
async fn dial(addr: &str) -> Option<Socket> {
    let stream = TcpStream::connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let url = format!("ws://{addr}/");
    let (socket, _) = tokio_tungstenite::client_async(url, stream).await.ok()?;
    Some(socket)
}

/// The reason why a connection ended.
#[derive(Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The connection failed or its remote end became unresponsive.
    Failed,
    /// The queue was dropped, or the link was idle for [`IDLE_TIMEOUT`].
    Unused,
}

/// Sends queued messages over a connection until it fails or is no longer used.
///
/// `last_used` is set to the time of the last queued message.
async fn forward(
    mut socket: Socket,
    rx: &mut mpsc::Receiver<Vec<u8>>,
    last_used: &mut Instant,
) -> ConnectionEnd {
    let mut last_received = Instant::now();
    let mut ping = tokio::time::interval(PING_INTERVAL);
    loop {
        let ok = tokio::select! {
            frame = rx.recv() => match frame {
                Some(frame) => {
                    *last_used = Instant::now();
                    send(&mut socket, Message::Binary(frame.into())).await
                }
                None => return ConnectionEnd::Unused,
            },
            _ = ping.tick() => send(&mut socket, Message::Ping(Vec::new().into())).await,
            received = socket.next() => {
                last_received = Instant::now();
                matches!(received, Some(Ok(_)))
            }
        };
        if !ok || last_received.elapsed() > UNRESPONSIVE_TIMEOUT {
            return ConnectionEnd::Failed;
        }
        if last_used.elapsed() > IDLE_TIMEOUT {
            return ConnectionEnd::Unused;
        }
    }
}

/// Sends one message and returns whether that succeeded within [`UNRESPONSIVE_TIMEOUT`].
async fn send(socket: &mut Socket, msg: Message) -> bool {
    let sent = tokio::time::timeout(UNRESPONSIVE_TIMEOUT, socket.send(msg)).await;
    matches!(sent, Ok(Ok(())))
}
