//! A stand-in for the log service, which keeps its streams in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use monsoonnotch_platform::log::Page;
use monsoonnotch_platform::log::RecordBytes;

use crate::serve;
use crate::serve::Body;
use crate::serve::Server;

/// The faults injected into the log.
#[derive(Debug, Default, Clone)]
pub struct Faults {
    /// Whether the log closes connections instead of sending responses.
    pub unavailable: bool,
    /// Delay before each request is handled.
    pub delay: Duration,
    /// With N, every Nth append takes effect but its connection is closed without a response; zero
    /// for none.
    pub lose_response_every: u64,
    /// Maximum number of records kept per stream, beyond which the oldest are dropped; zero for
    /// no limit.
    pub records_max: usize,
}

/// The records of one stream.
#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first record that is kept.
    first: u64,
    records: Vec<Vec<u8>>,
}

/// The state that the handlers share.
#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    appends: u64,
    bytes: u64,
    reads: u64,
}

/// A running log service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts the service on any free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let server = serve::serve(serve::any_port(), move |req| {
            handle(Arc::clone(&shared), req)
        });
        let server = server.await?;
        Ok(Self { server, state })
    }

    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Sets the faults of subsequent requests.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the number of appends and of appended bytes so far.
    pub fn append_totals(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.appends, state.bytes)
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

async fn handle(state: Arc<Mutex<State>>, req: Request<Incoming>) -> Option<Response<Body>> {
    let faults = lock(&state).faults.clone();
    tokio::time::sleep(faults.delay).await;
    if faults.unavailable {
        return None;
    }
    let name = req.uri().path().strip_prefix("/streams/")?.to_owned();
    match *req.method() {
        Method::GET => Some(read(&mut lock(&state), &name, &req)),
        Method::POST => {
            let record = serve::read_body(req.into_body()).await?;
            append(&mut lock(&state), &name, &record)
        }
        _ => Some(serve::response(StatusCode::METHOD_NOT_ALLOWED, "")),
    }
}

/// Returns the page of records that the query of a read selects.
fn read(state: &mut State, name: &str, req: &Request<Incoming>) -> Response<Body> {
    state.reads += 1;
    let param = |name| serve::query_number(req, name).unwrap_or(0);
    let stream = state.streams.entry(name.to_owned()).or_default();
    let from = param("from").max(stream.first);
    let skip = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
    let max = usize::try_from(param("max")).unwrap_or(usize::MAX);
    let records = stream.records.iter().skip(skip).take(max);
    let page = Page {
        nonce: param("nonce"),
        first: stream.first,
        tail: stream.first + stream.records.len() as u64,
        records: (from..).zip(records.cloned().map(RecordBytes)).collect(),
    };
    serve::response(StatusCode::OK, monsoonnotch_core::record::encode(&page))
}

/// Appends a record; returns `None` when the response is to be lost.
fn append(state: &mut State, name: &str, record: &Bytes) -> Option<Response<Body>> {
    state.appends += 1;
    state.bytes += record.len() as u64;
    let records_max = state.faults.records_max;
    let stream = state.streams.entry(name.to_owned()).or_default();
    stream.records.push(record.to_vec());
    if records_max > 0 && stream.records.len() > records_max {
        let excess = stream.records.len() - records_max;
        stream.records.drain(..excess);
        stream.first += excess as u64;
    }
    let offset = stream.first + stream.records.len() as u64 - 1;
    let lose_response_every = state.faults.lose_response_every;
    if lose_response_every > 0 && state.appends.is_multiple_of(lose_response_every) {
        return None;
    }
    let text = format!("{{\"offset\":{offset}}}");
    Some(serve::response(StatusCode::OK, text))
}
