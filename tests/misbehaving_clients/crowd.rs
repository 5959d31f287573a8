//! A crowd of clients that send what ordinary clients don't, and keep their connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Longest body that the callers' pages allow, in bytes.
const BODY_BYTES: usize = 262_000;
/// Steps of a job that is valid and large.
const STEPS: usize = 4_000;
/// A job that is due often, first long ago.
const JOB_OF_MANY_OCCURRENCES: &str = "{\"spec\":\"\",\"phases\":[{\"count\":1,\"cpu\":1000}],\
    \"repeats\":100000,\"start-at-ms\":1,\"interval-ms\":1}";
/// What a client without an end sends at most, in bytes.
const ENDLESS_BYTES: usize = 1 << 20;
/// Size of a message on a link between processes, in bytes.
const MESSAGE_BYTES: u64 = 4 << 20;
/// The opening handshake of a WebSocket connection.
const HANDSHAKE: &str = "GET / HTTP/1.1\r\nhost: test\r\nconnection: upgrade\r\n\
    upgrade: websocket\r\nsec-websocket-version: 13\r\n\
    sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
/// Longest wait for a client to send everything, or until its other end takes nothing any more.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause of a client that comes back.
const COME_BACK_PAUSE: Duration = Duration::from_millis(5);
/// Bytes that a client hands to its socket at a time, so that all clients send side by side.
const WRITE_BYTES: usize = 32 << 10;

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Habit {
    /// A body in pieces of 1,000 bytes that stops one byte before its end.
    BodyInPieces,
    /// A body that stops 90 bytes before its end.
    BodyCutShort,
    /// A body in chunks of one byte, left open.
    ChunksOfOneByte,
    /// A body in chunks of 16 KiB, left open.
    LargeChunks,
    /// A job that is valid and large, whole.
    ValidLargeJob,
    /// A valid job of 200 steps with 10,000 tasks each, whole.
    JobOfManyTasks,
    /// A valid job that was due 100,000 times by now, whole.
    JobOfManyOccurrences,
    /// A header field without end.
    EndlessHead,
    /// Empty lines without end in place of a request.
    EmptyLines,
    /// Whole requests without end, whose responses are not read.
    UnreadResponses,
    /// Nothing at all.
    Silence,
    /// A WebSocket handshake, and then a message that stops one byte before its end.
    MessageCutShort,
}

/// Where a crowd connects, and how it addresses its requests.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    /// The listener.
    pub(crate) addr: SocketAddr,
    /// Path of requests without the identifier of the client, which is appended to it.
    pub(crate) path: &'static str,
    /// Header fields of each request, each with its line end.
    pub(crate) fields: String,
    /// Size of the bodies that are left open, in bytes.
    pub(crate) body_bytes: usize,
    /// The body of a job that is valid and large.
    pub(crate) large_job: String,
}

impl Target {
    /// Returns a target whose bodies have the longest permitted size.
    pub(crate) fn new(addr: SocketAddr, path: &'static str, fields: String) -> Self {
        Self {
            addr,
            path,
            fields,
            body_bytes: BODY_BYTES,
            large_job: large_job(),
        }
    }

    /// Returns the line and the fields of a client's request, with the fields `more`.
    fn head(&self, client: usize, more: &str) -> Vec<u8> {
        let (path, fields) = (self.path, &self.fields);
        format!("POST {path}{client:016} HTTP/1.1\r\nhost: test\r\n{fields}{more}\r\n").into_bytes()
    }

    /// Returns what a client sends before the part that all clients send alike.
    fn start(&self, client: usize, habit: Habit, rest: &[u8]) -> Vec<u8> {
        let with_length = |bytes: usize| self.head(client, &format!("content-length: {bytes}\r\n"));
        match habit {
            Habit::BodyInPieces | Habit::BodyCutShort => with_length(self.body_bytes),
            Habit::ValidLargeJob | Habit::JobOfManyTasks | Habit::JobOfManyOccurrences => {
                with_length(rest.len())
            }
            Habit::ChunksOfOneByte | Habit::LargeChunks => {
                self.head(client, "transfer-encoding: chunked\r\n")
            }
            Habit::EndlessHead => b"GET / HTTP/1.1\r\nx-more: ".to_vec(),
            Habit::EmptyLines
            | Habit::UnreadResponses
            | Habit::Silence
            | Habit::MessageCutShort => Vec::new(),
        }
    }

    /// Returns what all clients send alike.
    fn rest(&self, habit: Habit) -> Vec<u8> {
        match habit {
            Habit::BodyInPieces => filler(self.body_bytes - 1),
            Habit::BodyCutShort => filler(self.body_bytes - 90),
            Habit::ChunksOfOneByte => chunks(self.body_bytes, 1),
            Habit::LargeChunks => chunks(self.body_bytes, 16 << 10),
            Habit::ValidLargeJob => self.large_job.clone().into_bytes(),
            Habit::JobOfManyTasks => job_of_many_tasks().into_bytes(),
            Habit::JobOfManyOccurrences => JOB_OF_MANY_OCCURRENCES.as_bytes().to_vec(),
            Habit::EndlessHead => repeat("and more, "),
            Habit::EmptyLines => repeat("\r\n"),
            Habit::UnreadResponses => {
                let (path, fields) = (self.path, &self.fields);
                repeat(&format!(
                    "GET {path} HTTP/1.1\r\nhost: test\r\n{fields}\r\n"
                ))
            }
            Habit::Silence => Vec::new(),
            Habit::MessageCutShort => message_cut_short(),
        }
    }
}

/// Returns a text as often as it fits into what a client without an end sends.
fn repeat(text: &str) -> Vec<u8> {
    text.as_bytes().repeat(ENDLESS_BYTES / text.len())
}

/// Returns a body in chunks of `size` bytes, without the last chunk, which ends it.
fn chunks(bytes: usize, size: usize) -> Vec<u8> {
    let head = format!("{size:x}\r\n").into_bytes();
    let chunk = [head, filler(size), b"\r\n".to_vec()].concat();
    chunk.repeat(bytes / size)
}

/// Returns the start of a JSON text of a job that goes on for as long as needed.
fn filler(bytes: usize) -> Vec<u8> {
    let mut text = b"{\"spec\":\"".to_vec();
    text.resize(bytes.max(text.len()), b'a');
    text.truncate(bytes);
    text
}

/// Returns a valid job of many steps, each after the one before.
fn large_job() -> String {
    let step = |i: usize| match i {
        0 => "{\"count\":1}".to_owned(),
        _ => format!("{{\"count\":1,\"depends-on\":[{}]}}", i - 1),
    };
    let steps: Vec<String> = (0..STEPS).map(step).collect();
    format!("{{\"spec\":\"\",\"phases\":[{}]}}", steps.join(","))
}

/// Returns a valid job of steps that are ready at once, each with as many tasks as a step may have.
fn job_of_many_tasks() -> String {
    let steps = vec!["{\"count\":10000,\"cpu\":1000}"; 200];
    format!("{{\"spec\":\"\",\"phases\":[{}]}}", steps.join(","))
}

/// Returns a WebSocket message of 4 MiB without its last byte (RFC 6455): one binary frame, masked with
/// zeros, with a length of 64 bits.
fn message_cut_short() -> Vec<u8> {
    let mut bytes = vec![0x82, 0xff];
    bytes.extend(MESSAGE_BYTES.to_be_bytes());
    bytes.extend([0; 4]);
    bytes.extend(vec![0; (MESSAGE_BYTES - 1) as usize]);
    bytes
}

/// A connected crowd; dropping it closes its connections.
#[derive(Debug)]
pub(crate) struct Crowd {
    _leave: watch::Sender<()>,
    clients: JoinSet<()>,
}

impl Crowd {
    /// Lets `clients` clients connect side by side, and returns once each has sent everything, has
    /// been refused, or finds that nothing more is taken.
    pub(crate) async fn gather(target: &Target, clients: usize, habit: Habit) -> Self {
        let (leave, stay) = watch::channel(());
        let (sent, mut all_sent) = watch::channel(0_usize);
        let rest = Arc::new(target.rest(habit));
        let mut crowd = JoinSet::new();
        for client in 0..clients {
            let start = target.start(client, habit, &rest);
            let (addr, rest) = (target.addr, Arc::clone(&rest));
            let (sent, mut stay) = (sent.clone(), stay.clone());
            crowd.spawn(async move {
                let stream = behave(addr, &start, &rest, habit).await;
                sent.send_modify(|n| *n += 1);
                // It fails when the crowd leaves.
                let _ = stay.changed().await;
                drop(stream);
            });
        }
        let gathered = all_sent.wait_for(|n| *n == clients).await;
        gathered.expect("the clients report before they end");
        Self {
            _leave: leave,
            clients: crowd,
        }
    }

    /// Lets `clients` clients connect side by side, each again whenever its connection is closed, until the
    /// crowd disperses.
    pub(crate) fn besiege(target: &Target, clients: usize, habit: Habit) -> Self {
        let (leave, stay) = watch::channel(());
        let rest = Arc::new(target.rest(habit));
        let mut crowd = JoinSet::new();
        for client in 0..clients {
            let start = target.start(client, habit, &rest);
            let (addr, rest, mut stay) = (target.addr, Arc::clone(&rest), stay.clone());
            crowd.spawn(async move {
                let come_back = async {
                    loop {
                        if let Some(mut stream) = behave(addr, &start, &rest, habit).await {
                            // Until the connection is closed.
                            let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
                        }
                        tokio::time::sleep(COME_BACK_PAUSE).await;
                    }
                };
                tokio::select! {
                    () = come_back => {}
                    // It fails when the crowd leaves.
                    _ = stay.changed() => {}
                }
            });
        }
        Self {
            _leave: leave,
            clients: crowd,
        }
    }

    /// Closes all connections.
    pub(crate) async fn disperse(self) {
        drop(self._leave);
        self.clients.join_all().await;
    }
}

/// Connects and sends; returns the connection if it is still open.
async fn behave(addr: SocketAddr, start: &[u8], rest: &[u8], habit: Habit) -> Option<TcpStream> {
    let connected = tokio::time::timeout(SEND_TIMEOUT, TcpStream::connect(addr)).await;
    let mut stream = connected.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let size = match habit {
        Habit::BodyInPieces => 1_000,
        _ => WRITE_BYTES,
    };
    let send = async {
        if habit == Habit::MessageCutShort {
            shake_hands(&mut stream).await?;
        }
        stream.write_all(start).await?;
        for piece in rest.chunks(size) {
            stream.write_all(piece).await?;
            tokio::task::yield_now().await;
        }
        std::io::Result::Ok(())
    };
    match tokio::time::timeout(SEND_TIMEOUT, send).await {
        // A client that was refused is done; one whose bytes are not taken stays.
        Ok(Err(_)) => None,
        Ok(Ok(())) | Err(_) => Some(stream),
    }
}

/// Opens a WebSocket connection.
async fn shake_hands(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(HANDSHAKE.as_bytes()).await?;
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\n") {
        response.push(stream.read_u8().await?);
    }
    Ok(())
}
