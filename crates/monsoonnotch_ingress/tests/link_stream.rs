//! Links between processes: what arrives on them takes memory of their budget.

use std::net::SocketAddr;
use std::sync::Arc;

use monsoonnotch_ingress::prelude::Budget;
use monsoonnotch_ingress::prelude::Limits;
use monsoonnotch_ingress::prelude::LinkStream;
use monsoonnotch_ingress::prelude::Listener;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LINK_BYTES: u64 = 10_000;
const MESSAGE_BYTES_MAX: usize = 1 << 20;
const LIMITS: Limits = Limits {
    memory: 300_000,
    connections: 2,
    connection_bytes: LINK_BYTES,
};

/// Returns a link whose other end sends `bytes` bytes and stays, and its budget.
async fn link(bytes: usize) -> (LinkStream, Budget) {
    let budget = Budget::new("test", LIMITS, |_, _| {}, |_| {});
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any_port, 64 << 10, budget.clone()).expect("a free port");
    let addr = listener.local_addr().expect("a bound listener");
    let mut other = TcpStream::connect(addr).await.expect("a connection");
    let (stream, connection) = listener.accept().await;
    tokio::spawn(async move {
        // The link may fail before it has taken everything.
        let _ = other.write_all(&vec![0; bytes]).await;
        std::future::pending::<()>().await;
    });
    (LinkStream::new(stream, Arc::new(connection)), budget)
}

/// Reads in pieces until `bytes` bytes were read; returns how many were read before an error.
async fn read(stream: &mut LinkStream, bytes: usize) -> usize {
    let mut buf = [0; 4_096];
    let mut read = 0;
    while read < bytes {
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    read
}

#[tokio::test]
async fn a_long_message_takes_memory_until_it_is_received() {
    let (mut stream, budget) = link(200_000).await;
    stream.allow(MESSAGE_BYTES_MAX);
    assert_eq!(budget.memory_used(), LINK_BYTES);
    assert!(read(&mut stream, 190_000).await >= 190_000);
    assert!(budget.memory_used() > 180_000);
    stream.message_received();
    assert_eq!(budget.memory_used(), LINK_BYTES);
    drop(stream);
    assert_eq!(budget.memory_used(), 0);
}

#[tokio::test]
async fn a_message_without_memory_ends_the_link() {
    let (mut stream, budget) = link(600_000).await;
    stream.allow(MESSAGE_BYTES_MAX);
    assert!(read(&mut stream, 600_000).await < 300_000);
    assert!(budget.memory_used() <= LIMITS.memory);
}

#[tokio::test]
async fn a_link_that_has_not_said_who_it_is_sends_short_messages_only() {
    let (mut stream, budget) = link(60_000).await;
    assert!(read(&mut stream, 60_000).await <= 20 << 10);
    assert_eq!(budget.memory_used(), LINK_BYTES);
}
