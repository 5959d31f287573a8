//! Incoming links.

use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;

use super::Frame;

/// Time without a message, pings included, after which an incoming link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum duration of the WebSocket handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts links until the future is dropped, and calls `f` with each received frame.
pub async fn accept(listener: TcpListener, f: impl Fn(Frame) + Send + Sync + 'static) {
    let f = Arc::new(f);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(receive(stream, Arc::clone(&f)));
    }
}

/// Receives frames from one link until it is closed, fails, stays idle or sends an invalid frame.
async fn receive(stream: TcpStream, f: Arc<impl Fn(Frame)>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let handshake = tokio_tungstenite::accept_async(stream);
    let mut socket = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .ok()?
        .ok()?;
    loop {
        let msg = tokio::time::timeout(IDLE_TIMEOUT, socket.next())
            .await
            .ok()??;
        match msg.ok()? {
            Message::Binary(buf) => {
                let frame: Frame = monsoonnotch_core::record::decode(&buf)?;
                f(frame);
            }
            // Reading a ping queues the pong; the flush sends it.
            Message::Ping(_) => socket.flush().await.ok()?,
            Message::Close(_) => return None,
            _ => {}
        }
    }
}
