//! One HTTP exchange with a timeout.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;

/// Largest answer that is read, in bytes.
const ANSWER_MAX: usize = 64 << 20;
/// Age at which an idle connection is not used again.
const IDLE_MAX: Duration = Duration::from_secs(5);

quick_error! {
    /// Why an exchange brought no answer.
    #[derive(Debug)]
    pub enum Error {
        /// No connection; nothing was sent.
        Connect(addr: String) {
            display("cannot connect to {addr}; check the address and that it is up")
        }
        /// No whole answer; what was asked may have taken effect.
        Cut(addr: String) {
            display("{addr} gave no whole answer; it may have taken effect")
        }
        /// No answer in time; what was asked may have taken effect.
        Timeout(addr: String) {
            display("{addr} gave no answer in time; it may have taken effect")
        }
        /// An answer other than success.
        Status(status: StatusCode, text: String) {
            display("the answer was {status}: {text}")
        }
        /// An answer that is not of the form expected.
        Malformed(what: &'static str) {
            display("the answer is not {what}; check that the address is the right service")
        }
    }
}

impl Error {
    /// Whether the exchange may have taken effect.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_) | Self::Status(..))
    }
}

type Connections = Client<HttpConnector, Full<Bytes>>;

/// An HTTP client that keeps connections for a short while.
///
/// Once an exchange with an address timed out, other connections to it may
/// have gone silent too. None of them is used again: until the last of them is
/// too old, each exchange with that address has a connection of its own.
#[derive(Debug, Clone)]
pub struct HttpClient {
    kept: Connections,
    single: Connections,
    /// Addresses whose kept connections are not used, and until when.
    suspect: Arc<Mutex<BTreeMap<String, Instant>>>,
    timeout: Duration,
}

impl HttpClient {
    /// A client whose exchanges take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let kept = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_MAX)
            .build(connector.clone());
        let single = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Self {
            kept,
            single,
            suspect: Arc::default(),
            timeout,
        }
    }

    /// The connections to use for an exchange with an address.
    fn connections(&self, addr: &str) -> &Connections {
        let suspect = self.suspect().get(addr).copied();
        match suspect.is_some_and(|until| Instant::now() < until) {
            true => &self.single,
            false => &self.kept,
        }
    }

    fn suspect(&self) -> MutexGuard<'_, BTreeMap<String, Instant>> {
        self.suspect.lock().expect("no holder of the lock panics")
    }

    /// Notes that connections to an address may have gone silent.
    fn distrust(&self, addr: &str) {
        let now = Instant::now();
        let mut suspect = self.suspect();
        suspect.retain(|_, until| now < *until);
        // What is in use now may be idle for as long again once it is given back.
        let until = now + self.timeout + IDLE_MAX;
        suspect.insert(addr.to_owned(), until);
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When no whole answer of success came in time.
    pub async fn exchange(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .body(Full::new(body))
            .map_err(|_| Error::Malformed("a valid address"))?;
        let answer = tokio::time::timeout(self.timeout, self.send(addr, req)).await;
        answer.unwrap_or_else(|_| {
            self.distrust(addr);
            Err(Error::Timeout(addr.to_owned()))
        })
    }

    async fn send(&self, addr: &str, req: Request<Full<Bytes>>) -> Result<Bytes, Error> {
        let res = self.connections(addr).request(req).await;
        let res = res.map_err(|e| match e.is_connect() {
            true => Error::Connect(addr.to_owned()),
            false => Error::Cut(addr.to_owned()),
        })?;
        let status = res.status();
        let body = Limited::new(res.into_body(), ANSWER_MAX).collect().await;
        let body = body.map_err(|_| Error::Cut(addr.to_owned()))?.to_bytes();
        match status.is_success() {
            true => Ok(body),
            false => {
                let text = String::from_utf8_lossy(&body).into_owned();
                Err(Error::Status(status, text))
            }
        }
    }
}
