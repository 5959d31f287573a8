//! The agent: tasks under leases, and reports.

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

/// A task that runs.
#[derive(Debug)]
struct Running {
    spec: TaskSpec,
    lease_end: Instant,
    ends: Option<(Instant, bool)>,
}

/// What the agent knows.
#[derive(Debug, Default)]
pub(crate) struct Agent {
    epoch: u64,
    running: BTreeMap<TaskId, Running>,
    ended: BTreeMap<TaskId, bool>,
    stopped: BTreeSet<TaskId>,
    /// Requests in progress and what they take.
    requests: Vec<Resources>,
    /// Older reports, for the lag.
    reports: Vec<(Instant, Report)>,
}

impl Agent {
    pub(super) fn used(&self) -> Resources {
        let mut used = Resources::default();
        self.requests.iter().for_each(|r| used.add(r));
        self.running.values().for_each(|t| used.add(&t.spec.size));
        used
    }

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
            ended: self.ended.iter().map(|(id, well)| (*id, *well)).collect(),
        }
    }

    /// The newest report that is at least `lag` old.
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

/// Renews, stops, acknowledges and reports.
pub(super) fn sync(state: &Arc<State>, body: SyncBody) -> Response<Body> {
    let mut agent = state.agent();
    if body.epoch < agent.epoch {
        return serve::response(StatusCode::CONFLICT, "a later holder has taken over");
    }
    agent.epoch = body.epoch;
    let lease_end = Instant::now() + Duration::from_millis(body.lease_ms);
    for id in &body.renew {
        if let Some(t) = agent.running.get_mut(id) {
            t.lease_end = lease_end;
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
    let text = serde_json::to_vec(&report).expect("a report has a JSON form");
    serve::response(StatusCode::OK, text)
}

/// Starts a task; starting it again does nothing.
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
        ends: end_of(&body.spec.command, now, state.faults().fail_all),
        lease_end: now + Duration::from_millis(body.lease_ms),
        spec: body.spec,
    };
    state.checker.task_start(id, &state.name);
    state.checker.team_start(&task.spec.team);
    agent.running.insert(id, task);
    state.check_use(&agent);
    tokio::spawn(run(Arc::clone(state), id));
    serve::response(StatusCode::CREATED, "")
}

/// When a command ends and whether well; `None` for one without an end.
fn end_of(command: &str, now: Instant, fail: bool) -> Option<(Instant, bool)> {
    if fail {
        return Some((now, false));
    }
    let (kind, ms) = command.split_once(':')?;
    let ms = ms.parse().unwrap_or(0);
    Some((now + Duration::from_millis(ms), kind == "run"))
}

/// Waits for a task's end or for its lease to lapse, whichever comes first.
async fn run(state: Arc<State>, id: TaskId) {
    loop {
        let (lease_end, ends) = match state.agent().running.get(&id) {
            Some(t) => (t.lease_end, t.ends),
            None => return,
        };
        let first = ends.map_or(lease_end, |(at, _)| at.min(lease_end));
        if Instant::now() < first {
            tokio::time::sleep_until(first).await;
            continue;
        }
        let outcome = ends.filter(|(at, _)| *at <= first).map(|(_, well)| well);
        end(&state, &mut state.agent(), id, outcome);
        return;
    }
}

/// Ends a task; `outcome` is `None` when it was stopped.
fn end(state: &State, agent: &mut Agent, id: TaskId, outcome: Option<bool>) {
    let Some(task) = agent.running.remove(&id) else {
        return;
    };
    if let Some(well) = outcome {
        agent.ended.insert(id, well);
    }
    state.checker.task_end(id, &state.name);
    state.checker.team_end(&task.spec.team);
}
