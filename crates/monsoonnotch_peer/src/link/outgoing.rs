//! One outgoing link: dial, send, notice silence, dial again.

use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// Pause between pings.
const PING: Duration = Duration::from_millis(500);
/// Silence after which a link is dropped and dialled again.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Longest dial.
const DIAL: Duration = Duration::from_millis(1_000);
/// Time without a message after which a link ends; the next message dials again.
const UNUSED: Duration = Duration::from_secs(10);
/// Pause between dials.
const DIAL_PAUSE: Duration = Duration::from_millis(100);

type Socket = WebSocketStream<TcpStream>;

/// Starts a link; it ends when the sender is dropped or sends nothing for long.
pub(super) fn start(rt: &Handle, addr: String, waiting_max: usize) -> mpsc::Sender<Vec<u8>> {
    let (tx, rx) = mpsc::channel(waiting_max);
    rt.spawn(run(addr, rx));
    tx
}

async fn run(addr: String, mut rx: mpsc::Receiver<Vec<u8>>) {
    let mut used = Instant::now();
    loop {
        let end = match tokio::time::timeout(DIAL, dial(&addr)).await {
            Ok(Some(socket)) => carry(socket, &mut rx, &mut used).await,
            _ if rx.is_closed() => End::Done,
            _ => End::Failed,
        };
        if end == End::Done || used.elapsed() > UNUSED {
            return;
        }
        tokio::time::sleep(DIAL_PAUSE).await;
        // What waited for the dial is too old to be of use.
        while rx.try_recv().is_ok() {
            used = Instant::now();
        }
    }
}

async fn dial(addr: &str) -> Option<Socket> {
    let stream = TcpStream::connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let url = format!("ws://{addr}/");
    let (socket, _) = tokio_tungstenite::client_async(url, stream).await.ok()?;
    Some(socket)
}

/// Why a connection is carried no further.
#[derive(Debug, PartialEq, Eq)]
enum End {
    /// It failed or went silent.
    Failed,
    /// Nobody sends on the link any more.
    Done,
}

async fn carry(mut socket: Socket, rx: &mut mpsc::Receiver<Vec<u8>>, used: &mut Instant) -> End {
    let mut heard = Instant::now();
    let mut ping = tokio::time::interval(PING);
    loop {
        let sent = tokio::select! {
            frame = rx.recv() => match frame {
                Some(frame) => {
                    *used = Instant::now();
                    send(&mut socket, Message::Binary(frame.into())).await
                }
                None => return End::Done,
            },
            _ = ping.tick() => send(&mut socket, Message::Ping(Vec::new().into())).await,
            answer = socket.next() => {
                heard = Instant::now();
                matches!(answer, Some(Ok(_)))
            }
        };
        if !sent || heard.elapsed() > SILENCE {
            return End::Failed;
        }
        if used.elapsed() > UNUSED {
            return End::Done;
        }
    }
}

async fn send(socket: &mut Socket, msg: Message) -> bool {
    let sent = tokio::time::timeout(SILENCE, socket.send(msg)).await;
    matches!(sent, Ok(Ok(())))
}
