//! A worker: an agent that runs tasks under leases, and an upstream.
//!
//! The upstream answers any path. Headers of a request say how: `X-Work-Ms`
//! how long it takes, `X-Chunks` and `X-Chunk-Bytes` how the answer comes,
//! `X-Cut` how it is cut. A task's command is `run:MS`, `fail:MS` or `forever`.

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

/// How a worker misbehaves.
#[derive(Debug, Default, Clone)]
pub struct Faults {
    /// Nothing is answered and nothing is done: connections are cut.
    pub unavailable: bool,
    /// Delay of every answer of the agent.
    pub agent_delay: Duration,
    /// Everything that starts fails at once.
    pub fail_all: bool,
    /// Age of what reports say.
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

/// What the worker's handlers share.
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

    /// Counts what is in use and records a breach when it is too much.
    fn check_use(&self, agent: &Agent) {
        let used = agent.used();
        if !self.total.fits(&used) {
            let name = self.name.clone();
            self.checker
                .violation(Violation::OverCapacity { vm: name, used });
        }
    }
}

impl Worker {
    /// Starts a worker on any free port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
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

    /// How the platform lists it.
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

    /// Sets how it misbehaves from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self
            .state
            .faults
            .lock()
            .expect("no holder of the lock panics") = faults;
    }

    /// Requests and tasks that are in progress.
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
