//! An HTTP client of the entries' operator listeners.

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

/// Maximum duration of a request, from connecting to the end of the response.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum duration of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The operator listeners of the entries, and the credentials to use with them.
#[derive(Debug)]
pub struct Entries {
    /// Addresses of the listeners, in the order in which they are tried.
    pub addrs: Vec<SocketAddr>,
    /// The operators' token, sent as a bearer token.
    pub token: String,
    /// Name of the operator, stored with each change; empty when none is given.
    pub operator: String,
}

/// The reason why a request to one entry failed.
#[derive(Debug)]
enum Failure {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The request was sent, but no complete response was received.
    NoResponse,
    /// An error that a request to another entry would not avoid.
    Final(Error),
}

impl Entries {
    /// Returns the resource at `path` as JSON. When an entry does not respond, tries the next one.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry responded, or when one refused the request.
    pub fn get(&self, path: &str) -> Result<Value, Error> {
        self.read(&Method::GET, path, &Value::Null)
    }

    fn read(&self, method: &Method, path: &str, body: &Value) -> Result<Value, Error> {
        for addr in &self.addrs {
            match self.exchange(addr, method, path, body) {
                Ok(response) => return Ok(response),
                Err(Failure::Final(e)) => return Err(e),
                Err(Failure::NotSent | Failure::NoResponse) => {}
            }
        }
        Err(self.unreachable())
    }

    /// Sends a body to `path` that changes nothing, and returns the response as JSON. When an entry
    /// does not respond, tries the next one.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry responded, or when one refused the request.
    pub fn ask(&self, path: &str, body: &Value) -> Result<Value, Error> {
        self.read(&Method::POST, path, body)
    }

    /// Sends a change and returns the response as JSON. Tries the next entry only when the change
    /// was not sent to this one, so that no change is made twice.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry could be reached, when one refused the change, or when the
    /// change was sent and no response was received.
    pub fn change(&self, method: &Method, path: &str, body: &Value) -> Result<Value, Error> {
        for addr in &self.addrs {
            match self.exchange(addr, method, path, body) {
                Ok(response) => return Ok(response),
                Err(Failure::Final(e)) => return Err(e),
                Err(Failure::NoResponse) => return Err(Error::Uncertain(addr.to_string())),
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
            .map_err(|e| Failure::Final(Error::Input(format!("cannot start the runtime: {e}"))))?;
        let req = self.request(addr, method, path, body)?;
        let response = rt.block_on(async { tokio::time::timeout(TIMEOUT, send(req)).await });
        response.unwrap_or(Err(Failure::NoResponse))
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
        let invalid = |e| {
            let detail = format!("the token or a name cannot be sent in an HTTP request: {e}");
            Failure::Final(Error::Input(detail))
        };
        req.body(Full::new(Bytes::from(text))).map_err(invalid)
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
            false => Failure::NoResponse,
        })?;
    let (parts, body) = res.into_parts();
    let body = body.collect().await.map_err(|_| Failure::NoResponse)?;
    let document = serde_json::from_slice(&body.to_bytes());
    if parts.status.is_success() {
        return document.map_err(|_| Failure::NoResponse);
    }
    let retry_after = parts.headers.get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|v| v.to_str().ok());
    Err(Failure::Final(Error::Refused(Problem {
        status: parts.status.as_u16(),
        retry_after: retry_after.and_then(|v| v.parse().ok()),
        document: document.unwrap_or_default(),
    })))
}
