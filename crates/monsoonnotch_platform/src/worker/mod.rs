//! A client of the workers, which run tasks under leases and report what they run.

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

/// The body of a sync request, in which a worker receives instructions and returns a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncBody {
    /// Epoch under which the sender holds the worker. The worker refuses an epoch lower than the
    /// highest one it has received.
    pub epoch: u64,
    /// Duration of the renewed leases, in milliseconds.
    pub lease_ms: u64,
    /// Tasks whose leases are renewed.
    pub renew: Vec<TaskId>,
    /// Tasks to stop; the worker refuses to start them afterwards.
    pub stop: Vec<TaskId>,
    /// Ended tasks that the worker no longer has to report.
    pub acknowledge: Vec<TaskId>,
}

/// The body of a request to start a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartBody {
    /// Epoch under which the sender holds the worker. The worker refuses an epoch lower than the
    /// highest one it has received.
    pub epoch: u64,
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Identifier of the task.
    pub task: TaskId,
    /// Specification of the task.
    pub spec: TaskSpec,
}

/// A client of the workers.
#[derive(Debug, Clone)]
pub struct Client {
    http: HttpClient,
}

impl Client {
    /// Creates a client whose requests take at most `timeout` each.
    pub fn new(timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(timeout),
        }
    }

    /// Renews leases, stops tasks and acknowledges ended tasks, and returns the worker's report.
    ///
    /// # Errors
    ///
    /// Returns an error when no report was received; the request may have taken effect.
    pub async fn sync(&self, sync: &Sync) -> Result<Report, Error> {
        let body = SyncBody {
            epoch: sync.epoch,
            lease_ms: sync.lease.as_millis(),
            renew: sync.renew.clone(),
            stop: sync.stop.clone(),
            acknowledge: sync.acknowledge.clone(),
        };
        let report = self.post(&sync.addr, "/agent/sync", &body).await?;
        serde_json::from_slice(&report).map_err(|_| Error::Malformed("a worker's report"))
    }

    /// Starts a task. Returns `MayHaveRun` when it is not known whether the worker started it.
    pub async fn start(&self, addr: &str, body: &StartBody) -> Verdict {
        match self.post(addr, "/agent/tasks", body).await {
            Ok(_) => Verdict::Ran,
            Err(e) if e.may_have_run() => Verdict::MayHaveRun,
            Err(_) => Verdict::NotRun,
        }
    }

    async fn post<T: Serialize>(&self, addr: &str, path: &str, body: &T) -> Result<Bytes, Error> {
        let body = serde_json::to_vec(body).expect("request bodies can be serialized as JSON");
        let body = Bytes::from(body);
        self.http.exchange(Method::POST, addr, path, body).await
    }
}
