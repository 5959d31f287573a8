//! An HTTP client whose requests have a timeout.

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
use hyper_util::rt::TokioTimer;
use quick_error::quick_error;

/// Maximum size of a response body, in bytes.
const RESPONSE_MAX: usize = 64 << 20;
/// Idle time after which a pooled connection is closed. The pool checks at this interval, so
/// that it may take twice as long.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// Maximum number of idle connections to one address. Those of an entry that loses power are
/// lost to the worker for good.
const IDLE_CONNECTIONS_MAX: usize = 2;

quick_error! {
    /// The reason why a request failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was made, so nothing was sent.
        Connect(addr: String) {
            display("cannot connect to {addr}; check the address and that the service is running")
        }
        /// The connection ended before a complete response; the request may have taken effect.
        Cut(addr: String) {
            display("{addr} sent no complete response; the request may have taken effect")
        }
        /// No response was received in time; the request may have taken effect.
        Timeout(addr: String) {
            display("{addr} sent no response in time; the request may have taken effect")
        }
        /// The response has a status other than success. Contains its body as text.
        Status(status: StatusCode, text: String) {
            display("the response was {status}: {text}")
        }
        /// The response is not of the expected form, or `addr` is not a valid address.
        Malformed(expected: &'static str) {
            display("the response is not {expected}; check that the address is that of the right service")
        }
    }
}

impl Error {
    /// Returns whether the request may have taken effect.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_) | Self::Status(..))
    }
}

type Connections = Client<HttpConnector, Full<Bytes>>;

/// An HTTP client with a pool of connections.
///
/// After a request to an address has timed out, pooled connections to that address may be
/// unresponsive too. They are not used again: until all of them have been idle for too long, each
/// request to the address uses a new connection.
#[derive(Debug, Clone)]
pub struct HttpClient {
    pooled: Connections,
    unpooled: Connections,
    /// Addresses whose pooled connections are not used, with the time until which that is so.
    suspects: Arc<Mutex<BTreeMap<String, Instant>>>,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client whose requests take at most `timeout` each.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let pooled = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_MAX)
            .pool_max_idle_per_host(IDLE_CONNECTIONS_MAX)
            .build(connector.clone());
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Self {
            pooled,
            unpooled,
            suspects: Arc::default(),
            timeout,
        }
    }

    /// Returns the connections to use for a request to `addr`.
    fn connections(&self, addr: &str) -> &Connections {
        let suspect_until = self.suspects().get(addr).copied();
        match suspect_until.is_some_and(|until| Instant::now() < until) {
            true => &self.unpooled,
            false => &self.pooled,
        }
    }

    fn suspects(&self) -> MutexGuard<'_, BTreeMap<String, Instant>> {
        self.suspects.lock().expect("no holder of the lock panics")
    }

    /// Stops using the pooled connections to `addr`, which may be unresponsive.
    fn mark_suspect(&self, addr: &str) {
        let now = Instant::now();
        let mut suspects = self.suspects();
        suspects.retain(|_, until| now < *until);
        // A connection in use now returns to the pool within `timeout` and may stay there for
        // `IDLE_MAX`.
        let until = now + self.timeout + IDLE_MAX;
        suspects.insert(addr.to_owned(), until);
    }

    /// Sends a request and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response with a success status was received in time.
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
        let response = tokio::time::timeout(self.timeout, self.send(addr, req)).await;
        response.unwrap_or_else(|_| {
            self.mark_suspect(addr);
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
        let body = Limited::new(res.into_body(), RESPONSE_MAX).collect().await;
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
