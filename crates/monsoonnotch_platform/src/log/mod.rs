//! A client of the append-only log, which stores streams of records by offset.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::http_client::Error;
use crate::http_client::HttpClient;

/// Maximum number of records per read.
const RECORDS_MAX: usize = 1_000;

/// The response to one read of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// The nonce of the request.
    pub nonce: u64,
    /// Offset of the oldest stored record.
    pub first: u64,
    /// Offset that the next appended record will have.
    pub tail: u64,
    /// The records, each with its offset, in the order of their offsets.
    pub records: Vec<(u64, RecordBytes)>,
}

/// An encoded record.
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
    /// Creates a client of the service at `addr`, given as `ip:port`. Each request takes at most
    /// `timeout`.
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self {
            addr: addr.to_owned(),
            http: HttpClient::new(timeout),
        }
    }

    /// Appends a record to a stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the append was not confirmed; it may have taken effect.
    pub async fn append(&self, stream: &str, record: Vec<u8>) -> Result<(), Error> {
        let path = format!("/streams/{stream}");
        let body = Bytes::from(record);
        let response = self.http.exchange(Method::POST, &self.addr, &path, body);
        response.await.map(drop)
    }

    /// Reads records of a stream, starting at the offset `from`. The service returns `nonce` in
    /// the response, so that a response to an earlier request is not taken for this one.
    ///
    /// # Errors
    ///
    /// Returns an error when no response with this nonce was received.
    pub async fn read(&self, stream: &str, from: u64, nonce: u64) -> Result<Page, Error> {
        let path = format!("/streams/{stream}?from={from}&max={RECORDS_MAX}&nonce={nonce}");
        let response = self
            .http
            .exchange(Method::GET, &self.addr, &path, Bytes::new());
        let buf = response.await?;
        let page: Option<Page> = ciborium::from_reader(buf.as_ref()).ok();
        let page = page.ok_or(Error::Malformed("a page of a stream"))?;
        match page.nonce == nonce {
            true => Ok(page),
            false => Err(Error::Malformed("a response with the nonce of the request")),
        }
    }
}
