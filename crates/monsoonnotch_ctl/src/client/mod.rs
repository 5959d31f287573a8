//! Requests to an entry's operators' listener.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde_json::Value;

/// Longest request.
const TIMEOUT: Duration = Duration::from_secs(15);

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is wrong.
        Usage(what: String) {
            display("{what}; see monsoonctl help")
        }
        /// A file or value given is wrong.
        Input(what: String) {
            display("{what}")
        }
        /// No answer came.
        Unreachable(addr: String) {
            display("no answer from {addr}; the change may have been made. Check the address and that the entry is up")
        }
        /// The entry refused.
        Refused(status: u16, text: String) {
            display("refused with {status}: {text}")
        }
    }
}

/// An entry's operators' listener and the token for it.
#[derive(Debug)]
pub struct Entry {
    /// Its address, as `ip:port`.
    pub addr: String,
    /// The operators' token.
    pub token: String,
}

impl Entry {
    /// Sends one request and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// When no answer came, or one other than success.
    pub fn send(&self, method: Method, path: &str, body: &Value) -> Result<Value, Error> {
        let rt = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::Input(format!("cannot start: {e}")))?;
        let answer = rt.block_on(async {
            tokio::time::timeout(TIMEOUT, self.exchange(method, path, body)).await
        });
        answer.unwrap_or_else(|_| Err(Error::Unreachable(self.addr.clone())))
    }

    /// Asks for something.
    ///
    /// # Errors
    ///
    /// As for `send`.
    pub fn get(&self, path: &str) -> Result<Value, Error> {
        self.send(Method::GET, path, &Value::Null)
    }

    async fn exchange(&self, method: Method, path: &str, body: &Value) -> Result<Value, Error> {
        let text = match body {
            Value::Null => String::new(),
            body => body.to_string(),
        };
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(text)))
            .map_err(|e| Error::Input(format!("not an address or name: {e}")))?;
        let unreachable = || Error::Unreachable(self.addr.clone());
        let client = Client::builder(TokioExecutor::new()).build_http();
        let res = client.request(req).await.map_err(|_| unreachable())?;
        let status = res.status();
        let body = res.into_body().collect().await.map_err(|_| unreachable())?;
        let body = body.to_bytes();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body).into_owned();
            let status = status.as_u16();
            return Err(Error::Refused(status, text));
        }
        serde_json::from_slice(&body).map_err(|_| unreachable())
    }
}
