//! The append-only log: streams of records with offsets.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::http_client::Error;
use crate::http_client::HttpClient;

/// Records asked for in one read.
const RECORDS_MAX: usize = 1_000;

/// What one read of a stream brought.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// The number that came with the question.
    pub nonce: u64,
    /// Offset of the oldest record that is kept.
    pub first: u64,
    /// Offset that the next record will get.
    pub tail: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, RecordBytes)>,
}

/// The bytes of a record.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordBytes(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// A client of the log service.
#[derive(Debug, Clone)]
pub struct Client {
    addr: String,
    http: HttpClient,
}

impl Client {
    /// A client of the service at `addr`, as `ip:port`.
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self {
            addr: addr.to_owned(),
            http: HttpClient::new(timeout),
        }
    }

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// When the append was not confirmed; it may have taken effect.
    pub async fn append(&self, stream: &str, record: Vec<u8>) -> Result<(), Error> {
        let path = format!("/streams/{stream}");
        let body = Bytes::from(record);
        let answer = self.http.exchange(Method::POST, &self.addr, &path, body);
        answer.await.map(drop)
    }

    /// Reads records from `from` on; `nonce` marks the answer as one to this question.
    ///
    /// # Errors
    ///
    /// When no answer to this very question came.
    pub async fn read(&self, stream: &str, from: u64, nonce: u64) -> Result<Page, Error> {
        let path = format!("/streams/{stream}?from={from}&max={RECORDS_MAX}&nonce={nonce}");
        let answer = self
            .http
            .exchange(Method::GET, &self.addr, &path, Bytes::new());
        let buf = answer.await?;
        let page: Option<Page> = ciborium::from_reader(buf.as_ref()).ok();
        let page = page.ok_or(Error::Malformed("a page of a stream"))?;
        match page.nonce == nonce {
            true => Ok(page),
            false => Err(Error::Malformed("an answer to this question")),
        }
    }
}
