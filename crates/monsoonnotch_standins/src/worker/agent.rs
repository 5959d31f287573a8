//! The agent of a worker, which runs tasks under leases and reports their state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use monsoonnotch_core::event::Report;
use monsoonnotch_core::event::RunningTask;
use monsoonnotch_core::ident::TaskId;
use monsoonnotch_core::job::TaskSpec;
use monsoonnotch_core::resource::Resources;
use monsoonnotch_platform::worker::StartBody;
use monsoonnotch_platform::worker::SyncBody;
use tokio::time::Instant;

use super::State;
use crate::serve;
use crate::serve::Body;

/// A running task.
#[derive(Debug)]
struct Running {
    spec: TaskSpec,
    lease_expiry: Instant,
    /// Time of its completion and whether it succeeds; `None` when it runs until it is stopped.
    completion: Option<(Instant, bool)>,
}

/// The state of the agent.
#[derive(Debug, Default)]
pub(crate) struct Agent {
    /// Highest epoch received.
    epoch: u64,
    running: BTreeMap<TaskId, Running>,
    /// Ended tasks that are not yet acknowledged, with whether they succeeded.
    ended: BTreeMap<TaskId, bool>,
    /// Tasks that were stopped and must not be started again.
    stopped: BTreeSet<TaskId>,
    /// Resources of each request in progress at the upstream.
    requests: Vec<Resources>,
    /// Earlier reports with their times, for [`Faults::report_lag`](super::Faults::report_lag).
    reports: Vec<(Instant, Report)>,
}

impl Agent {
    /// Returns the resources in use by requests and tasks.
    pub(super) fn used(&self) -> Resources {
        let mut used = Resources::default();
        self.requests.iter().for_each(|r| used.add(r));
        self.running.values().for_each(|t| used.add(&t.spec.size));
        used
    }

    /// Returns the number of requests and tasks in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.requests.len() + self.running.len()
    }

    pub(super) fn request_start(&mut self, size: Resources) {
        self.requests.push(size);
    }

    pub(super) fn request_end(&mut self, size: &Resources) {
        let at = self.requests.iter().position(|r| r == size);
        self.requests
            .swap_remove(at.expect("the request was counted"));
    }

    /// Returns a report of the current state.
    fn report(&self) -> Report {
        let running = self.running.iter().map(|(id, t)| RunningTask {
            id: *id,
            team: t.spec.team.clone(),
            size: t.spec.size,
        });
        Report {
            age_ms: 0,
            requests: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            running: running.collect(),
            ended: self
                .ended
                .iter()
                .map(|(id, succeeded)| (*id, *succeeded))
                .collect(),
        }
    }

    /// Returns the newest report that is at least `lag` old, or the oldest one when none is.
    fn lagging_report(&mut self, lag: Duration) -> Report {
        let now = Instant::now();
        let report = self.report();
        self.reports.push((now, report));
        let old = self.reports.iter().rposition(|(at, _)| now - *at >= lag);
        let keep_from = old.unwrap_or(0);
        self.reports.drain(..keep_from);
        let (at, mut report) = self.reports[0].clone();
        report.age_ms = u64::try_from((now - at).as_millis()).unwrap_or(u64::MAX);
        report
    }
}

/// Handles a sync request: renews leases, stops tasks, drops acknowledged tasks, and reports.
pub(super) fn sync(state: &Arc<State>, body: SyncBody) -> Response<Body> {
    let mut agent = state.agent();
    if body.epoch < agent.epoch {
        return serve::response(StatusCode::CONFLICT, "a later holder has taken over");
    }
    agent.epoch = body.epoch;
    let lease_expiry = Instant::now() + Duration::from_millis(body.lease_ms);
    for id in &body.renew {
        if let Some(t) = agent.running.get_mut(id) {
            t.lease_expiry = lease_expiry;
        }
    }
    for id in &body.stop {
        agent.stopped.insert(*id);
        end(state, &mut agent, *id, None);
    }
    for id in &body.acknowledge {
        agent.ended.remove(id);
    }
    let report = agent.lagging_report(state.faults().report_lag);
    let text = serde_json::to_vec(&report).expect("a report can be serialized as JSON");
    serve::response(StatusCode::OK, text)
}

/// Handles a request to start a task. Does nothing when the task was already started.
pub(super) fn start(state: &Arc<State>, body: StartBody) -> Response<Body> {
    let mut agent = state.agent();
    let id = body.task;
    if body.epoch < agent.epoch || agent.stopped.contains(&id) {
        return serve::response(StatusCode::CONFLICT, "a later holder has taken over");
    }
    agent.epoch = body.epoch;
    if agent.running.contains_key(&id) || agent.ended.contains_key(&id) {
        return serve::response(StatusCode::OK, "");
    }
    let now = Instant::now();
    let task = Running {
        completion: completion_of(&body.spec.command, now, state.faults().fail_all),
        lease_expiry: now + Duration::from_millis(body.lease_ms),
        spec: body.spec,
    };
    state.checker.task_start(id, &state.name);
    state.checker.team_start(&task.spec.team);
    agent.running.insert(id, task);
    state.check_capacity(&agent);
    tokio::spawn(run(Arc::clone(state), id));
    serve::response(StatusCode::CREATED, "")
}

/// Returns the time at which a command completes and whether it succeeds; `None` when it runs
/// until it is stopped.
fn completion_of(command: &str, now: Instant, fail: bool) -> Option<(Instant, bool)> {
    if fail {
        return Some((now, false));
    }
    let (kind, ms) = command.split_once(':')?;
    let ms = ms.parse().unwrap_or(0);
    Some((now + Duration::from_millis(ms), kind == "run"))
}

/// Ends a task at its completion or when its lease expires, whichever is first.
async fn run(state: Arc<State>, id: TaskId) {
    loop {
        let (lease_expiry, completion) = match state.agent().running.get(&id) {
            Some(t) => (t.lease_expiry, t.completion),
            None => return,
        };
        let end_at = completion.map_or(lease_expiry, |(at, _)| at.min(lease_expiry));
        if Instant::now() < end_at {
            tokio::time::sleep_until(end_at).await;
            continue;
        }
        let outcome = completion
            .filter(|(at, _)| *at <= end_at)
            .map(|(_, succeeded)| succeeded);
        end(&state, &mut state.agent(), id, outcome);
        return;
    }
}

/// Ends a running task. `outcome` is whether it succeeded, or `None` when it was stopped or its
/// lease has expired; it is then not reported as ended.
fn end(state: &State, agent: &mut Agent, id: TaskId, outcome: Option<bool>) {
    let Some(task) = agent.running.remove(&id) else {
        return;
    };
    if let Some(succeeded) = outcome {
        agent.ended.insert(id, succeeded);
    }
    state.checker.task_end(id, &state.name);
    state.checker.team_end(&task.spec.team);
}
