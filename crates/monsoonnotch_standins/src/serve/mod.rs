//! A minimal HTTP/1.1 server for the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Barrier;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connection_count::ConnectionCount;

/// The body of a response. An error in it closes the connection before the end of the body.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A running server. Dropping it closes the port and all connections.
#[derive(Debug)]
pub struct Server {
    /// Address on which the server listens.
    pub addr: SocketAddr,
    /// The open connections.
    pub connections: ConnectionCount,
    /// Number of times that the open connections were closed.
    closings: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Server {
    /// Closes all open connections; requests in progress get no response.
    pub fn close_connections(&self) {
        self.closings.send_modify(|n| *n += 1);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server on `addr` that handles each request with `f`. Port 0 selects any free port.
///
/// When `f` returns `None`, the connection is closed without a response.
///
/// # Errors
///
/// Returns an error when the port cannot be bound.
pub async fn serve<F, A>(addr: SocketAddr, f: F) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    accept_up_to(usize::MAX, addr, f).await
}

/// Like [`serve`], with at most `connections_max` connections. Further ones are reset.
///
/// # Errors
///
/// Returns an error when the port cannot be bound.
pub async fn accept_up_to<F, A>(
    connections_max: usize,
    addr: SocketAddr,
    f: F,
) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let (closings, closed) = watch::channel(0);
    let connections = ConnectionCount::default();
    let open = connections.clone();
    let task = tokio::spawn(accept(listener, Arc::new(f), closed, open, connections_max));
    Ok(Server {
        addr,
        connections,
        closings,
        task,
    })
}

/// Starts a server that answers requests with an empty body, and each only once `count` of them
/// have arrived.
///
/// # Panics
///
/// Panics when no port can be bound.
pub async fn answer_in_bursts(count: usize) -> Server {
    let burst = Arc::new(Barrier::new(count));
    let server = serve(any_port(), move |_| {
        let burst = Arc::clone(&burst);
        async move {
            burst.wait().await;
            Some(response(StatusCode::OK, ""))
        }
    });
    server.await.expect("a free port")
}

async fn accept<F, A>(
    listener: TcpListener,
    f: Arc<F>,
    mut closed: watch::Receiver<u64>,
    open: ConnectionCount,
    connections_max: usize,
) where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    // The set is dropped together with this task, which closes every connection.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.changed() => {
                connections.abort_all();
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        if open.get() >= connections_max {
            let _ = stream.set_zero_linger();
            continue;
        }
        let _ = stream.set_nodelay(true);
        let counted = open.count();
        let f = Arc::clone(&f);
        let service = service_fn(move |req| {
            let response = f(req);
            async move { response.await.ok_or(std::io::Error::other("cut")) }
        });
        connections.spawn(async move {
            let _counted = counted;
            let server = hyper::server::conn::http1::Builder::new();
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Returns a response with a complete body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = http_body_util::Full::new(body.into())
        .map_err(|never| match never {})
        .boxed();
    let mut res = Response::new(body);
    *res.status_mut() = status;
    res
}

/// Returns the complete body of a request; `None` when the connection failed before its end.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    Some(body.collect().await.ok()?.to_bytes())
}

/// Returns the value of a numeric query parameter; `None` when it is missing or not a number.
pub fn query_number(req: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = req.uri().query()?.split('&');
    let value = pairs
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name)?
        .1;
    value.parse().ok()
}

/// Returns the loopback address with port 0, which selects any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
