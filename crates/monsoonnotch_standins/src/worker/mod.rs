//! A stand-in for a worker: an agent that runs tasks under leases, and an upstream.
//!
//! The upstream handles requests to any path. These headers of a request determine the response:
//!
//! - `X-Work-Ms`: time that the request takes, in milliseconds.
//! - `X-Chunks`, `X-Chunk-Bytes` and `X-Chunk-Ms`: number of chunks in the response, their size,
//!   and the delay in milliseconds before each. Without chunks, the response repeats the path and
//!   the body of the request.
//! - `X-Cut`: when the connection is closed: `before` the response or, with chunks, `during` it.
//! - `X-Once`: ID under which the [`Checker`] counts the runs of the request.
//! - `X-Team`: team to which the [`Checker`] assigns the request.
//!
//! The command of a task is `run:MS` (succeeds after this number of milliseconds), `fail:MS`
//! (fails after it) or `forever` (runs until it is stopped).

mod agent;
mod checker;
mod upstream;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use monsoonnotch_core::event::VmInfo;
use monsoonnotch_core::resource::Resources;

use self::agent::Agent;
pub use self::checker::Checker;
pub use self::checker::Violation;
use crate::serve;
use crate::serve::Body;
use crate::serve::Server;

/// The faults injected into a worker.
#[derive(Debug, Default, Clone)]
pub struct Faults {
    /// Whether connections are closed without handling the request.
    pub unavailable: bool,
    /// Delay before the agent handles each request.
    pub agent_delay: Duration,
    /// Whether every upstream request and every started task fails at once.
    pub fail_all: bool,
    /// Minimum age of the state in reports, once the agent has a report as old as that.
    pub report_lag: Duration,
}

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    server: Server,
    name: String,
    total: Resources,
    state: Arc<State>,
}

/// The state that the handlers of a worker share.
#[derive(Debug)]
pub(crate) struct State {
    name: String,
    total: Resources,
    checker: Arc<Checker>,
    faults: Mutex<Faults>,
    agent: Mutex<Agent>,
}

impl State {
    fn faults(&self) -> Faults {
        self.faults
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    fn agent(&self) -> std::sync::MutexGuard<'_, Agent> {
        self.agent.lock().expect("no holder of the lock panics")
    }

    /// Records a violation when more resources are in use than the worker has.
    fn check_capacity(&self, agent: &Agent) {
        let used = agent.used();
        if !self.total.fits(&used) {
            let name = self.name.clone();
            self.checker
                .record_violation(Violation::OverCapacity { vm: name, used });
        }
    }
}

impl Worker {
    /// Starts a worker with the resources `total` on any free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start(
        name: &str,
        total: Resources,
        checker: &Arc<Checker>,
    ) -> std::io::Result<Self> {
        let state = Arc::new(State {
            name: name.to_owned(),
            total,
            checker: Arc::clone(checker),
            faults: Mutex::default(),
            agent: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        let server = serve::serve(serve::any_port(), move |req| {
            handle(Arc::clone(&shared), req)
        });
        let server = server.await?;
        let name = name.to_owned();
        Ok(Self {
            server,
            name,
            total,
            state,
        })
    }

    /// Returns the entry of the worker for the platform's list of VMs.
    pub fn info(&self, domain: &str, rack: &str) -> VmInfo {
        VmInfo {
            name: self.name.as_str().into(),
            addr: self.server.addr.to_string().into(),
            domain: domain.into(),
            rack: rack.into(),
            total: self.total,
            leaving: false,
        }
    }

    /// Sets the faults of subsequent requests and tasks.
    pub fn set_faults(&self, faults: Faults) {
        *self
            .state
            .faults
            .lock()
            .expect("no holder of the lock panics") = faults;
    }

    /// Returns the number of requests and tasks in progress.
    pub fn in_progress(&self) -> usize {
        self.state.agent().in_progress()
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Option<Response<Body>> {
    let faults = state.faults();
    if faults.unavailable {
        return None;
    }
    match req.uri().path() {
        "/agent/sync" => {
            tokio::time::sleep(faults.agent_delay).await;
            let body = serve::read_body(req.into_body()).await?;
            let body = serde_json::from_slice(&body).ok()?;
            Some(agent::sync(&state, body))
        }
        "/agent/tasks" => {
            tokio::time::sleep(faults.agent_delay).await;
            let body = serve::read_body(req.into_body()).await?;
            let body = serde_json::from_slice(&body).ok()?;
            Some(agent::start(&state, body))
        }
        _ if faults.fail_all => Some(serve::response(StatusCode::INTERNAL_SERVER_ERROR, "broken")),
        _ => upstream::run(state, req).await,
    }
}
