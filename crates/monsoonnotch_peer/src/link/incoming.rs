//! Incoming links.

use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use monsoonnotch_ingress::accounts::Turn;
use monsoonnotch_ingress::prelude::Connection;
use monsoonnotch_ingress::prelude::LinkStream;
use monsoonnotch_ingress::prelude::Listener;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::Frame;

/// Time without a message, pings included, after which an incoming link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum duration of the WebSocket handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of a link's read buffer, in bytes.
const READ_BUFFER_SIZE: usize = 4 << 10;
/// Longest message that a link accepts, in bytes.
const MESSAGE_BYTES_MAX: usize = 16 << 20;

/// Accepts links until the future is dropped, and calls `f` with each received frame.
pub async fn accept(listener: Listener, f: impl Fn(Frame) + Send + Sync + 'static) {
    let f = Arc::new(f);
    loop {
        let (stream, mut connection) = listener.accept().await;
        let f = Arc::clone(&f);
        tokio::spawn(async move {
            if !connection.settle(&stream).await {
                return;
            }
            let connection = Arc::new(connection);
            let stream = LinkStream::new(stream, Arc::clone(&connection));
            tokio::select! {
                _ = receive(stream, &connection, f) => {}
                () = connection.ended() => {}
            }
        });
    }
}

/// Receives frames from one link until it is closed, fails, stays idle or sends an invalid frame.
async fn receive(
    stream: LinkStream,
    connection: &Connection,
    f: Arc<impl Fn(Frame)>,
) -> Option<()> {
    let config = WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_SIZE)
        .write_buffer_size(READ_BUFFER_SIZE)
        .max_message_size(Some(MESSAGE_BYTES_MAX))
        .max_frame_size(Some(MESSAGE_BYTES_MAX));
    let handshake = tokio_tungstenite::accept_async_with_config(stream, Some(config));
    let mut socket = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .ok()?
        .ok()?;
    socket.get_mut().allow(MESSAGE_BYTES_MAX);
    loop {
        let msg = tokio::time::timeout(IDLE_TIMEOUT, socket.next())
            .await
            .ok()??;
        socket.get_mut().message_received();
        match msg.ok()? {
            Message::Binary(buf) => {
                let frame: Frame = monsoonnotch_core::record::decode(&buf)?;
                // Whoever sends frames is a peer, which no other client displaces.
                connection.begin_turn(Turn::Process);
                f(frame);
            }
            // Reading a ping queues the pong; the flush sends it.
            Message::Ping(_) => socket.flush().await.ok()?,
            Message::Close(_) => return None,
            _ => {}
        }
    }
}
