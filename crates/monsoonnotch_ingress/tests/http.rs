//! Connections over loopback: refusals arrive whole, and what a connection took is given back on every
//! end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use monsoonnotch_ingress::body;
use monsoonnotch_ingress::http as ingress_http;
use monsoonnotch_ingress::limits::MIB;
use monsoonnotch_ingress::limits::RECEIVE_BUFFER_BYTES;
use monsoonnotch_ingress::prelude::Budget;
use monsoonnotch_ingress::prelude::Connection;
use monsoonnotch_ingress::prelude::Limits;
use monsoonnotch_ingress::prelude::Listener;
use monsoonnotch_ingress::prelude::Rules;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

const BODY_BYTES_MAX: usize = 100_000;
const BODY_TIMEOUT: Duration = Duration::from_millis(800);
const RULES: Rules = Rules {
    head_bytes: 8_192,
    head_timeout: Duration::from_millis(500),
    response_timeout: Duration::from_secs(1),
    late_head: || b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n".to_vec(),
};
/// Longest wait for something that takes less than a second.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// A server that answers each request with the length of its body.
struct Server {
    addr: SocketAddr,
    budget: Budget,
    stop: watch::Sender<bool>,
}

impl Server {
    fn start(limits: Limits) -> Self {
        let budget = Budget::new("test", limits, |_, _| {}, |_| {});
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::bind(any_port, RECEIVE_BUFFER_BYTES, budget.clone());
        let listener = listener.expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let stop = watch::Sender::new(false);
        let stopped = stop.subscribe();
        tokio::spawn(async move {
            loop {
                let (stream, connection) = listener.accept().await;
                let stopped = stopped.clone();
                tokio::spawn(async move {
                    ingress_http::serve(stream, connection, RULES, stopped, answer).await;
                });
            }
        });
        Self { addr, budget, stop }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.expect("a connection")
    }

    /// Waits until nothing is taken of the budget.
    async fn wait_until_unused(&self) {
        let unused = async {
            while self.budget.memory_used() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let unused = tokio::time::timeout(WAIT_MAX, unused).await;
        assert!(unused.is_ok(), "{} bytes", self.budget.memory_used());
    }
}

async fn answer(req: Request<Incoming>, connection: Arc<Connection>) -> Response<Full<Bytes>> {
    if req.uri().path() == "/panic" {
        panic!("a handler fails");
    }
    if connection.is_refused() {
        return response(503, "");
    }
    match body::receive(&connection, req.into_body(), BODY_BYTES_MAX, BODY_TIMEOUT).await {
        Ok(received) => response(200, &received.bytes.len().to_string()),
        Err(body::Error::TooLarge) => response(413, ""),
        Err(body::Error::TooSlow) => response(408, ""),
        Err(body::Error::Malformed) => response(400, ""),
        Err(body::Error::NoMemory) => response(503, ""),
    }
}

fn response(status: u16, text: &str) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *res.status_mut() = status.try_into().expect("a valid status");
    res
}

fn ample() -> Limits {
    Limits::of_vm(256 * MIB, 4_096).rest()
}

/// Reads everything until the server closes the connection, and returns the status.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut text = Vec::new();
    let read = tokio::time::timeout(WAIT_MAX, stream.read_to_end(&mut text)).await;
    read.expect("the server closes the connection").ok()?;
    let text = String::from_utf8_lossy(&text).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}

fn head(fields: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: test\r\n{fields}\r\n")
}

fn length(bytes: usize) -> String {
    head(&format!("content-length: {bytes}\r\n"))
}

fn chunks(count: usize, size: usize) -> String {
    let chunk = format!("{size:x}\r\n{}\r\n", "a".repeat(size));
    head("transfer-encoding: chunked\r\nconnection: close\r\n") + &chunk.repeat(count)
}

/// The client sends all it has before it reads. Its refusal must not be lost with what was not read.
#[rstest]
#[case::a_body_that_is_too_large(length(1_000_000) + &"a".repeat(1_000_000), 413)]
#[case::chunks_that_are_too_much(chunks(200, 1_000), 413)]
#[case::too_many_chunks(chunks(20_000, 1), 413)]
#[case::a_body_that_stops(length(1_000) + "a", 408)]
#[case::chunks_that_stop(chunks(10, 10), 408)]
#[case::a_chunk_without_size(chunks(1, 10) + "x\r\n", 400)]
#[case::chunks(chunks(10, 10) + "0\r\n\r\n", 200)]
#[case::a_head_that_stops("POST / HT".to_owned(), 408)]
#[case::a_head_that_is_too_large(format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(100_000)), 431)]
#[case::empty_lines("\r\n".repeat(50_000), 431)]
#[tokio::test]
async fn a_refusal_arrives_and_all_is_given_back(#[case] text: String, #[case] status: u16) {
    let server = Server::start(ample());
    let mut stream = server.connect().await;
    // The server may close the connection before it has taken everything.
    let _ = stream.write_all(text.as_bytes()).await;
    assert_eq!(read_status(&mut stream).await, Some(status));
    server.wait_until_unused().await;
}

/// Guards against refusals for time in which the process did not run: it reads what has arrived meanwhile.
#[tokio::test]
async fn a_pause_of_the_process_does_not_count() {
    let server = Server::start(ample());
    let addr = server.addr;
    let client = std::thread::spawn(move || {
        use std::io::Read;
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(addr).expect("a connection");
        let half = "a".repeat(BODY_BYTES_MAX / 2);
        let head = head("connection: close\r\ncontent-length: 100000\r\n") + &half;
        stream.write_all(head.as_bytes()).expect("it is sent");
        std::thread::sleep(BODY_TIMEOUT / 2);
        stream.write_all(half.as_bytes()).expect("it is sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("a response");
        text
    });
    tokio::time::sleep(BODY_TIMEOUT / 4).await;
    // The runtime has one thread.
    std::thread::sleep(BODY_TIMEOUT * 2);
    server.wait_until_unused().await;
    let text = client.join().expect("the client ends");
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
}

/// Guards against a refusal while memory is about to be given back.
#[tokio::test]
async fn a_share_waits_a_moment_for_memory() {
    let limits = Limits {
        memory: 100,
        connections: 0,
        connection_bytes: 10,
    };
    let budget = Budget::new("test", limits, |_, _| {}, |_| {});
    let mut share = budget.share(10).expect("memory");
    let other = budget.share(90).expect("memory");
    assert!(!share.resize(20).await);
    let given_back = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(other);
    };
    assert!(tokio::join!(share.resize(100), given_back).0);
    assert!(share.resize(5).await);
    assert_eq!(budget.memory_used(), 5);
    drop(share);
    assert_eq!(budget.memory_used(), 0);
}

#[tokio::test]
async fn a_client_that_leaves_gives_all_back() {
    let server = Server::start(ample());
    for text in [length(50_000) + "a", chunks(3, 3), "GET".to_owned()] {
        let mut stream = server.connect().await;
        stream.write_all(text.as_bytes()).await.expect("it is sent");
        while server.budget.memory_used() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(stream);
        server.wait_until_unused().await;
    }
}

#[tokio::test]
async fn a_handler_that_panics_gives_all_back() {
    let server = Server::start(ample());
    let mut stream = server.connect().await;
    let text = "POST /panic HTTP/1.1\r\nhost: test\r\ncontent-length: 50000\r\n\r\na";
    stream.write_all(text.as_bytes()).await.expect("it is sent");
    assert_eq!(read_status(&mut stream).await, None);
    server.wait_until_unused().await;
}

#[tokio::test]
async fn a_shutdown_gives_all_back() {
    let server = Server::start(ample());
    let _idle = server.connect().await;
    let mut stream = server.connect().await;
    let text = length(3) + "ab";
    stream.write_all(text.as_bytes()).await.expect("it is sent");
    tokio::time::sleep(Duration::from_millis(50)).await;
    server.stop.send_replace(true);
    stream.write_all(b"c").await.expect("it is sent");
    assert_eq!(read_status(&mut stream).await, Some(200));
    server.wait_until_unused().await;
}

/// Guards against clients that keep ordinary ones away: all places, and all memory, are taken by bodies
/// that stop short of their end.
#[tokio::test]
async fn ordinary_clients_find_a_place() {
    let limits = Limits {
        memory: 400_000,
        connections: 4,
        connection_bytes: 10_000,
    };
    let server = Server::start(limits);
    let mut stalled = Vec::new();
    for _ in 0..4 {
        let mut stream = server.connect().await;
        let text = length(90_000) + "a";
        stream.write_all(text.as_bytes()).await.expect("it is sent");
        stalled.push(stream);
    }
    let mut ordinary = server.connect().await;
    let text = head("connection: close\r\ncontent-length: 50000\r\n") + &"a".repeat(50_000);
    ordinary
        .write_all(text.as_bytes())
        .await
        .expect("it is sent");
    assert_eq!(read_status(&mut ordinary).await, Some(200));
    drop(stalled);
    server.wait_until_unused().await;
}

/// Guards against a refusal of a request that is in progress, and against a wait without an end.
#[tokio::test]
async fn a_connection_without_a_place_is_refused() {
    let limits = Limits {
        memory: 100_000,
        connections: 0,
        connection_bytes: 10_000,
    };
    let server = Server::start(limits);
    let mut stream = server.connect().await;
    let text = length(3) + "abc";
    stream.write_all(text.as_bytes()).await.expect("it is sent");
    assert_eq!(read_status(&mut stream).await, Some(503));
}
