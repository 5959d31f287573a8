//! The platform's store, as PROTOCOL.md describes it, in memory: topics of one partition. It holds the limits
//! of records, appends and pages.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Buf;
use bytes::Bytes;
use http::Method;
use http::Response;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use monsoonnotch_standins::serve;
use monsoonnotch_standins::serve::Body;
use monsoonnotch_standins::serve::Server;
use monsoonnotch_standins::serve::response;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::deployment::Record;
use crate::deployment::Writer;

/// `record-bytes` of DEPLOY.md.
const RECORD_BYTES: usize = 262_144;
/// `request-bytes` of DEPLOY.md.
const REQUEST_BYTES: usize = 2_097_152;
/// Longest page of newest records.
const PAGE_RECORDS_MAX: usize = 500;
/// Largest page of newest records, in bytes.
const PAGE_BYTES_MAX: usize = 1_000_000;
/// Longest page of other records.
const FETCH_MAX: usize = 1_024;
/// A repeat of one of the last five appends receives its first response again.
const REPEATS_KEPT: usize = 5;
/// The time that the store takes for an answer, as on the sheets of the sites.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Topic {
    records: Vec<Bytes>,
    producers: BTreeMap<String, Producer>,
}

/// What the store remembers of a producer.
#[derive(Default)]
struct Producer {
    epoch: u64,
    next_seq: u64,
    /// Sequence numbers and offsets of the last appends.
    last: VecDeque<(u64, u64)>,
}

#[derive(Clone)]
pub struct PagedStore {
    topics: Arc<Mutex<BTreeMap<String, Topic>>>,
    changed: Arc<watch::Sender<u64>>,
    server: Arc<Server>,
}

impl PagedStore {
    pub async fn start(record: Record) -> Self {
        let topics: Arc<Mutex<BTreeMap<String, Topic>>> = Arc::default();
        let changed = Arc::new(watch::Sender::new(0));
        let (t, c) = (Arc::clone(&topics), Arc::clone(&changed));
        let server = serve::serve(serve::any_port(), move |req| {
            let (topics, changed, record) = (Arc::clone(&t), Arc::clone(&c), record.clone());
            async move { handle(&topics, &changed, &record, req).await }
        });
        let server = Arc::new(server.await.expect("a free port"));
        Self {
            topics,
            changed,
            server,
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }
}

impl Writer for PagedStore {
    fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend(key.as_bytes());
        record.extend(value);
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push(record.into());
        drop(topics);
        self.changed.send_modify(|n| *n += 1);
    }
}

fn param(req: &Request<Incoming>, name: &str) -> Option<String> {
    let mut pairs = req
        .uri()
        .query()?
        .split('&')
        .filter_map(|p| p.split_once('='));
    pairs.find(|(k, _)| *k == name).map(|(_, v)| v.to_owned())
}

fn number(req: &Request<Incoming>, name: &str) -> Option<u64> {
    param(req, name)?.parse().ok()
}

fn reply(status: StatusCode, body: Value) -> Response<Body> {
    response(status, body.to_string())
}

async fn handle(
    topics: &Mutex<BTreeMap<String, Topic>>,
    changed: &watch::Sender<u64>,
    record: &Record,
    req: Request<Incoming>,
) -> Option<Response<Body>> {
    tokio::time::sleep(ANSWER_TIME).await;
    let name = param(&req, "topic").unwrap_or_default();
    match (req.method().clone(), req.uri().path()) {
        (Method::POST, "/log-append") => {
            let at = number(&req, "at");
            let producer = param(&req, "producer").zip(number(&req, "epoch"));
            let seq = number(&req, "seq");
            let body = serve::read_body(req.into_body()).await?;
            let res = append(topics, record, &name, body, at, producer, seq);
            changed.send_modify(|n| *n += 1);
            Some(res)
        }
        (Method::GET, "/log-read") => {
            let from = number(&req, "from").unwrap_or(0) as usize;
            let max = number(&req, "fetch-max").map_or(FETCH_MAX, |n| n as usize);
            let wait = Duration::from_millis(number(&req, "wait-ms").unwrap_or(0).min(30_000));
            let until = tokio::time::Instant::now() + wait;
            let mut rx = changed.subscribe();
            loop {
                rx.mark_unchanged();
                let page = page(topics, &name, from, max);
                if page.len() > 16 || tokio::time::timeout_at(until, rx.changed()).await.is_err() {
                    return Some(response(StatusCode::OK, page));
                }
            }
        }
        (Method::GET, "/log-newest") => Some(newest(topics, &name, param(&req, "depends-on"))),
        _ => Some(reply(StatusCode::NOT_FOUND, json!({}))),
    }
}

fn split(body: &Bytes) -> Option<Vec<Bytes>> {
    let mut buf = body.clone();
    let mut records = Vec::new();
    while !buf.is_empty() {
        if buf.len() < 4 {
            return None;
        }
        let len = buf.get_u32() as usize;
        if buf.len() < len {
            return None;
        }
        records.push(buf.split_to(len));
    }
    Some(records)
}

fn append(
    topics: &Mutex<BTreeMap<String, Topic>>,
    record: &Record,
    name: &str,
    body: Bytes,
    at: Option<u64>,
    producer: Option<(String, u64)>,
    seq: Option<u64>,
) -> Response<Body> {
    let Some(records) = split(&body) else {
        return reply(StatusCode::BAD_REQUEST, json!({}));
    };
    let largest = records.iter().map(Bytes::len).max().unwrap_or(0);
    if largest > RECORD_BYTES || body.len() > REQUEST_BYTES {
        record.add(format!(
            "store: append to {name} refused: {} records, {} bytes, the largest record {largest} of at most {RECORD_BYTES}",
            records.len(),
            body.len()
        ));
        return reply(StatusCode::BAD_REQUEST, json!({}));
    }
    let mut topics = topics.lock().unwrap();
    let topic = topics.entry(name.to_owned()).or_default();
    let end = topic.records.len() as u64;
    if at.is_some_and(|at| at != end) {
        return reply(StatusCode::PRECONDITION_FAILED, json!({"end-offset": end}));
    }
    if let Some((producer, epoch)) = producer {
        let row = topic.producers.entry(producer).or_default();
        if epoch < row.epoch {
            return reply(StatusCode::CONFLICT, json!({"reason": "fenced"}));
        }
        let seq = seq.unwrap_or(0);
        if epoch > row.epoch {
            *row = Producer {
                epoch,
                next_seq: seq,
                last: VecDeque::new(),
            };
        }
        if let Some((_, offset)) = row.last.iter().find(|(s, _)| *s == seq) {
            return reply(StatusCode::OK, json!({"offset": offset, "end-offset": end}));
        }
        if seq != row.next_seq {
            return reply(
                StatusCode::CONFLICT,
                json!({"reason": "seq", "seq": row.next_seq}),
            );
        }
        row.next_seq = seq + 1;
        row.last.push_back((seq, end));
        if row.last.len() > REPEATS_KEPT {
            row.last.pop_front();
        }
    }
    topic.records.extend(records);
    let end_offset = topic.records.len();
    reply(
        StatusCode::OK,
        json!({"offset": end, "end-offset": end_offset}),
    )
}

fn page(topics: &Mutex<BTreeMap<String, Topic>>, name: &str, from: usize, max: usize) -> Vec<u8> {
    let topics = topics.lock().unwrap();
    let records = topics.get(name).map_or(&[][..], |t| &t.records);
    let mut page = Vec::new();
    page.extend((records.len() as u64).to_be_bytes());
    page.extend(0_u64.to_be_bytes());
    for record in records.iter().skip(from).take(max) {
        page.extend((record.len() as u32).to_be_bytes());
        page.extend(record);
    }
    page
}

fn newest(
    topics: &Mutex<BTreeMap<String, Topic>>,
    name: &str,
    after: Option<String>,
) -> Response<Body> {
    let topics = topics.lock().unwrap();
    let records = topics.get(name).map_or(&[][..], |t| &t.records);
    let mut keys: BTreeMap<String, (usize, Bytes)> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let len = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
        keys.insert(key, (offset, record.slice(1 + len..)));
    }
    let after = after.unwrap_or_default();
    keys.retain(|key, (_, value)| *key > after && !value.is_empty());
    let found = keys.len();
    let mut items: Vec<Value> = Vec::new();
    let mut bytes = 0;
    for (key, (offset, value)) in keys.into_iter().take(PAGE_RECORDS_MAX) {
        let value = STANDARD.encode(&value);
        bytes += value.len();
        if bytes > PAGE_BYTES_MAX && !items.is_empty() {
            break;
        }
        items.push(json!({"key": key, "value": value, "offset": offset}));
    }
    let more = items.len() < found;
    reply(
        StatusCode::OK,
        json!({"items": items, "has-more": more, "end-offset": records.len()}),
    )
}
