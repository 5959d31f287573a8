//! Incoming links.

use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;

use super::Frame;

/// Silence after which an incoming link is closed.
const SILENCE: Duration = Duration::from_secs(5);
/// Longest handshake.
const HANDSHAKE: Duration = Duration::from_secs(2);

/// Accepts links for ever and hands each message to `f`.
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

async fn receive(stream: TcpStream, f: Arc<impl Fn(Frame)>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let handshake = tokio_tungstenite::accept_async(stream);
    let mut socket = tokio::time::timeout(HANDSHAKE, handshake)
        .await
        .ok()?
        .ok()?;
    loop {
        let msg = tokio::time::timeout(SILENCE, socket.next()).await.ok()??;
        match msg.ok()? {
            Message::Binary(buf) => {
                let frame: Frame = monsoonnotch_core::record::decode(&buf)?;
                f(frame);
            }
            // Reading a ping queues its answer; this sends it.
            Message::Ping(_) => socket.flush().await.ok()?,
            Message::Close(_) => return None,
            _ => {}
        }
    }
}
