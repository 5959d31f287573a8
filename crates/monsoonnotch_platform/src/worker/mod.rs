//! Workers: starting tasks under leases, renewing them, reports.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use monsoonnotch_core::effect::Sync;
use monsoonnotch_core::event::Report;
use monsoonnotch_core::ident::TaskId;
use monsoonnotch_core::job::TaskSpec;
use monsoonnotch_core::verdict::Verdict;
use serde::Deserialize;
use serde::Serialize;

use crate::http_client::Error;
use crate::http_client::HttpClient;

/// What a worker is told in one sync.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncBody {
    /// Epoch of the holding; the worker refuses a lower one than it has seen.
    pub epoch: u64,
    /// The lease that renewed tasks get, in milliseconds.
    pub lease_ms: u64,
    /// Tasks to renew.
    pub renew: Vec<TaskId>,
    /// Tasks to stop; the worker starts none of them later.
    pub stop: Vec<TaskId>,
    /// Ended tasks that need not be reported again.
    pub acknowledge: Vec<TaskId>,
}

/// The start of a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartBody {
    /// Epoch of the holding; the worker refuses a lower one than it has seen.
    pub epoch: u64,
    /// The lease, in milliseconds.
    pub lease_ms: u64,
    /// The task.
    pub task: TaskId,
    /// What it is.
    pub spec: TaskSpec,
}

/// A client of the workers.
#[derive(Debug, Clone)]
pub struct Client {
    http: HttpClient,
}

impl Client {
    /// A client whose exchanges take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(timeout),
        }
    }

    /// Syncs with a worker.
    ///
    /// # Errors
    ///
    /// When no report came; leases may have been renewed and tasks stopped.
    pub async fn sync(&self, sync: &Sync) -> Result<Report, Error> {
        let body = SyncBody {
            epoch: sync.epoch,
            lease_ms: sync.lease.as_millis(),
            renew: sync.renew.clone(),
            stop: sync.stop.clone(),
            acknowledge: sync.acknowledge.clone(),
        };
        let answer = self.post(&sync.addr, "/agent/sync", &body).await?;
        serde_json::from_slice(&answer).map_err(|_| Error::Malformed("a worker's report"))
    }

    /// Starts a task; says whether it runs.
    pub async fn start(&self, addr: &str, body: &StartBody) -> Verdict {
        match self.post(addr, "/agent/tasks", body).await {
            Ok(_) => Verdict::Ran,
            Err(e) if e.may_have_run() => Verdict::MayHaveRun,
            Err(_) => Verdict::NotRun,
        }
    }

    async fn post<T: Serialize>(&self, addr: &str, path: &str, body: &T) -> Result<Bytes, Error> {
        let body = serde_json::to_vec(body).expect("a body of ours has a JSON form");
        let body = Bytes::from(body);
        self.http.exchange(Method::POST, addr, path, body).await
    }
}
