//! Requests to the entries' operators' listeners.

mod error;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

pub use self::error::Error;
pub use self::error::Problem;

/// Longest request.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Longest dial.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The entries' operators' listeners and what to show them.
#[derive(Debug)]
pub struct Entries {
    /// Their addresses, in the order in which they are tried.
    pub addrs: Vec<SocketAddr>,
    /// The operators' token.
    pub token: String,
    /// The operator's own name; empty when none is given.
    pub operator: String,
}

/// Why one exchange with one entry failed.
#[derive(Debug)]
enum Failure {
    /// Nothing was sent.
    NotSent,
    /// It was sent, and no whole answer came.
    NoAnswer,
    /// An error that another entry would not help with.
    Final(Error),
}

impl Entries {
    /// Asks for something; the next entry is tried when one does not answer.
    ///
    /// # Errors
    ///
    /// When no entry answered, or one refused.
    pub fn get(&self, path: &str) -> Result<Value, Error> {
        let nothing = Value::Null;
        for addr in &self.addrs {
            match self.exchange(addr, &Method::GET, path, &nothing) {
                Ok(answer) => return Ok(answer),
                Err(Failure::Final(e)) => return Err(e),
                Err(Failure::NotSent | Failure::NoAnswer) => {}
            }
        }
        Err(self.unreachable())
    }

    /// Changes something; the next entry is tried only when nothing was sent.
    ///
    /// # Errors
    ///
    /// When no entry could be reached, one refused, or no answer came.
    pub fn change(&self, method: &Method, path: &str, body: &Value) -> Result<Value, Error> {
        for addr in &self.addrs {
            match self.exchange(addr, method, path, body) {
                Ok(answer) => return Ok(answer),
                Err(Failure::Final(e)) => return Err(e),
                Err(Failure::NoAnswer) => return Err(Error::Doubtful(addr.to_string())),
                Err(Failure::NotSent) => {}
            }
        }
        Err(self.unreachable())
    }

    fn unreachable(&self) -> Error {
        let addrs: Vec<String> = self.addrs.iter().map(ToString::to_string).collect();
        Error::Unreachable(addrs.join(", "))
    }

    fn exchange(
        &self,
        addr: &SocketAddr,
        method: &Method,
        path: &str,
        body: &Value,
    ) -> Result<Value, Failure> {
        let rt = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Failure::Final(Error::Input(format!("cannot start: {e}"))))?;
        let req = self.request(addr, method, path, body)?;
        let answer = rt.block_on(async { tokio::time::timeout(TIMEOUT, send(req)).await });
        answer.unwrap_or(Err(Failure::NoAnswer))
    }

    fn request(
        &self,
        addr: &SocketAddr,
        method: &Method,
        path: &str,
        body: &Value,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let text = match body {
            Value::Null => String::new(),
            body => body.to_string(),
        };
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        if !self.operator.is_empty() {
            req = req.header("operator", &self.operator);
        }
        let wrong = |e| {
            let what = format!("the token or a name cannot be sent: {e}");
            Failure::Final(Error::Input(what))
        };
        req.body(Full::new(Bytes::from(text))).map_err(wrong)
    }
}

async fn send(req: Request<Full<Bytes>>) -> Result<Value, Failure> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector);
    let res = client
        .request(req)
        .await
        .map_err(|e| match e.is_connect() {
            true => Failure::NotSent,
            false => Failure::NoAnswer,
        })?;
    let (parts, body) = res.into_parts();
    let body = body.collect().await.map_err(|_| Failure::NoAnswer)?;
    let document = serde_json::from_slice(&body.to_bytes());
    if parts.status.is_success() {
        return document.map_err(|_| Failure::NoAnswer);
    }
    let wait = parts.headers.get(header::RETRY_AFTER);
    let wait = wait.and_then(|v| v.to_str().ok());
    Err(Failure::Final(Error::Refused(Problem {
        status: parts.status.as_u16(),
        retry_after: wait.and_then(|v| v.parse().ok()),
        document: document.unwrap_or_default(),
    })))
}
