//! One VM: its capacity, its holding by this member and the work on it.

use std::collections::BTreeMap;

use super::health::Health;
use crate::event::Report;
use crate::event::VmInfo;
use crate::ident::Name;
use crate::ident::TaskId;
use crate::resource::Resources;
use crate::time::Time;

/// Number of successive unanswered syncs after which a worker gets no new work.
const UNANSWERED_SYNCS_MAX: u32 = 2;

/// The holding of a worker by this member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmHolding {
    /// Epoch of the holding, which grows with every change of holder.
    pub epoch: u64,
    /// Time after which a report must have been made before the worker gets work.
    pub not_before: Time,
    /// Whether a report from after `not_before` was received.
    pub reported: bool,
}

/// A request whose outcome is unknown, so that it may still run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncertainRequest {
    /// Time at which the outcome became unknown.
    pub since: Time,
    /// Resources that the request occupies.
    pub size: Resources,
    /// The team whose allotment the request counts against; `None` when it has none.
    pub team: Option<Name>,
    /// Whether the request was found on an inherited worker, so that its size is unknown too.
    pub found: bool,
}

/// The state of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// The start was sent and has not been answered.
    Starting,
    /// The task runs.
    Running,
    /// The task is to be stopped.
    Stopping,
}

/// A task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// The state, as known to this member.
    pub state: TaskState,
    /// Resources that the task occupies.
    pub size: Resources,
    /// The team that the task runs for; `None` when it is unknown.
    pub team: Option<Name>,
    /// Time at which the start was sent or the task was found.
    pub since: Time,
    /// Time by which the task's lease has certainly expired.
    pub lease_expiry: Time,
}

/// A VM of the platform, and the work on it if this member holds it.
#[derive(Debug)]
pub struct Vm {
    /// The VM as the platform lists it.
    pub info: VmInfo,
    /// The holding by this member; `None` when this member does not hold the VM.
    pub held: Option<VmHolding>,
    /// Resources in use, including those of requests with an unknown outcome.
    pub used: Resources,
    /// Number of requests in progress.
    pub requests: u32,
    /// Requests whose outcome is unknown.
    pub uncertain: Vec<UncertainRequest>,
    /// Tasks on the VM, by attempt.
    pub tasks: BTreeMap<TaskId, Task>,
    /// Tasks to stop with the next sync.
    pub stops: Vec<TaskId>,
    /// Ended tasks to acknowledge with the next sync.
    pub acks: Vec<TaskId>,
    /// Time at which the last sync was sent.
    pub last_sync: Option<Time>,
    /// Whether the last sync has neither been answered nor failed.
    pub sync_pending: bool,
    /// Number of successive syncs without an answer.
    pub unanswered_syncs: u32,
    /// The failure rate and quarantine state of the VM.
    pub health: Health,
    /// Whether the VM is being drained so that it can be transferred to another member.
    pub draining: bool,
    /// Whether the VM is missing from the platform's latest list.
    pub unlisted: bool,
}

impl Vm {
    /// Returns a VM that this member does not hold.
    pub fn new(info: VmInfo) -> Self {
        Self {
            info,
            held: None,
            used: Resources::default(),
            requests: 0,
            uncertain: Vec::new(),
            tasks: BTreeMap::new(),
            stops: Vec::new(),
            acks: Vec::new(),
            last_sync: None,
            sync_pending: false,
            unanswered_syncs: 0,
            health: Health::default(),
            draining: false,
            unlisted: false,
        }
    }

    /// Returns the free resources.
    pub fn free(&self) -> Resources {
        self.info.total.minus(&self.used)
    }

    /// Returns whether new work may be placed on the VM.
    pub fn accepts_work(&self) -> bool {
        let load_known =
            self.held.is_some_and(|h| h.reported) && !self.uncertain.iter().any(|r| r.found);
        let usable = self.health.accepts_work() && self.unanswered_syncs < UNANSWERED_SYNCS_MAX;
        load_known && usable && !self.info.leaving && !self.draining
    }

    /// Returns whether no work runs or may still run on the VM.
    pub fn is_idle(&self) -> bool {
        self.requests == 0 && self.uncertain.is_empty() && self.tasks.is_empty()
    }

    pub(super) fn hold(&mut self, epoch: u64, from: Time) {
        if self.held.is_none() {
            self.held = Some(VmHolding {
                epoch,
                not_before: from,
                reported: false,
            });
        }
    }

    pub(super) fn release(&mut self) {
        *self = Self {
            last_sync: self.last_sync,
            unlisted: self.unlisted,
            sync_pending: self.sync_pending,
            ..Self::new(self.info.clone())
        };
    }

    /// Adds a request that occupies `size`.
    pub fn start_request(&mut self, size: &Resources) {
        self.used.add(size);
        self.requests += 1;
        self.health.probe(true);
    }

    /// Removes a request that has certainly ended and frees its resources.
    pub fn end_request(&mut self, size: &Resources) {
        self.used.subtract(size);
        self.requests -= 1;
        self.health.probe(false);
    }

    /// Marks the outcome of a request as unknown; its resources stay occupied.
    pub fn mark_uncertain(&mut self, request: UncertainRequest) {
        self.requests -= 1;
        self.health.probe(false);
        self.uncertain.push(request);
    }

    /// Adds a task that occupies its size.
    pub fn add_task(&mut self, id: TaskId, task: Task) {
        self.used.add(&task.size);
        self.tasks.insert(id, task);
    }

    /// Removes a task that has certainly ended, frees its resources and returns it.
    ///
    /// Returns `None` when the task is not on the VM.
    pub fn remove_task(&mut self, id: TaskId) -> Option<Task> {
        let task = self.tasks.remove(&id)?;
        self.used.subtract(&task.size);
        Some(task)
    }

    /// Frees uncertain requests that have ended according to a report from `as_of`.
    ///
    /// Returns the freed requests. Of the requests that became uncertain before the report, at
    /// most as many can still run as the report shows in progress. Which ones is unknown, so
    /// requests that differ in team or size are freed only when the report shows none.
    pub fn settle_uncertain(&mut self, as_of: Time, report: &Report) -> Vec<UncertainRequest> {
        let uncertain = std::mem::take(&mut self.uncertain);
        let (mut old, new): (Vec<_>, Vec<_>) = uncertain.into_iter().partition(|r| r.since < as_of);
        let alike = old
            .windows(2)
            .all(|w| w[0].team == w[1].team && w[0].size == w[1].size);
        let still = match report.requests as usize {
            0 => 0,
            n if alike => n.min(old.len()),
            _ => old.len(),
        };
        let freed: Vec<UncertainRequest> = old.drain(still..).collect();
        self.uncertain = old;
        self.uncertain.extend(new);
        for r in &freed {
            self.used.subtract(&r.size);
        }
        freed
    }
}
