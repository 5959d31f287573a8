//! One VM: what it has, who holds it, what runs on it.

use std::collections::BTreeMap;

use super::health::Health;
use crate::event::Report;
use crate::event::VmInfo;
use crate::ident::Name;
use crate::ident::TaskId;
use crate::resource::Resources;
use crate::time::Time;

/// Syncs in a row without an answer after which a worker gets no new work.
const SILENT_SYNCS: u32 = 2;

/// A holding by this member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmHolding {
    /// Grows with every change of holder.
    pub epoch: u64,
    /// No work before a report from after this time.
    pub not_before: Time,
    /// Whether such a report has come.
    pub reported: bool,
}

/// A slot of a request whose end is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncertainRequest {
    /// When it became unknown.
    pub since: Time,
    /// What it occupies.
    pub size: Resources,
    /// The team whose allotment it counts against.
    pub team: Option<Name>,
    /// Whether it was found on an inherited worker, so that its size is not known either.
    pub found: bool,
}

/// Where a task on a worker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Its start was sent; the answer is out.
    Starting,
    /// It runs.
    Running,
    /// It is to stop.
    Stopping,
}

/// A task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// What it occupies.
    pub size: Resources,
    /// The team; unknown for a task that was found running.
    pub team: Option<Name>,
    /// When its start was sent or it was found.
    pub since: Time,
    /// When the worker's lease on it has certainly lapsed.
    pub lease_expiry: Time,
}

/// A VM of the platform's list.
#[derive(Debug)]
pub struct Vm {
    /// What the platform says of it.
    pub info: VmInfo,
    /// The holding, if this member holds it.
    pub held: Option<VmHolding>,
    /// What is occupied, doubt included.
    pub used: Resources,
    /// Requests in progress.
    pub requests: u32,
    /// Requests whose end is unknown.
    pub uncertain: Vec<UncertainRequest>,
    /// Tasks.
    pub tasks: BTreeMap<TaskId, Task>,
    /// Tasks to stop with the next sync.
    pub stops: Vec<TaskId>,
    /// Ended tasks to acknowledge with the next sync.
    pub acks: Vec<TaskId>,
    /// When the last sync was sent.
    pub last_sync: Option<Time>,
    /// Whether the answer to the last sync is out.
    pub sync_pending: bool,
    /// Syncs in a row that got no answer.
    pub unanswered_syncs: u32,
    /// Whether it fails what it starts.
    pub health: Health,
    /// Whether it is being emptied to be given away.
    pub draining: bool,
    /// Whether the platform does not list it any more.
    pub unlisted: bool,
}

impl Vm {
    /// A VM that nobody here holds.
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

    /// What is free.
    pub fn free(&self) -> Resources {
        self.info.total.minus(&self.used)
    }

    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        let known =
            self.held.is_some_and(|h| h.reported) && !self.uncertain.iter().any(|d| d.found);
        let usable = self.health.takes_work() && self.unanswered_syncs < SILENT_SYNCS;
        known && usable && !self.info.leaving && !self.draining
    }

    /// Whether nothing runs there and nothing is in doubt.
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

    /// Occupies a slot for a request.
    pub fn start_request(&mut self, size: &Resources) {
        self.used.add(size);
        self.requests += 1;
        self.health.probe(true);
    }

    /// Frees the slot of a request that has certainly ended.
    pub fn end_request(&mut self, size: &Resources) {
        self.used.subtract(size);
        self.requests -= 1;
        self.health.probe(false);
    }

    /// Turns a request into doubt; its slot stays occupied.
    pub fn mark_uncertain(&mut self, doubt: UncertainRequest) {
        self.requests -= 1;
        self.health.probe(false);
        self.uncertain.push(doubt);
    }

    /// Adds a task.
    pub fn add_task(&mut self, id: TaskId, task: Task) {
        self.used.add(&task.size);
        self.tasks.insert(id, task);
    }

    /// Removes a task that has certainly ended.
    pub fn remove_task(&mut self, id: TaskId) -> Option<Task> {
        let task = self.tasks.remove(&id)?;
        self.used.subtract(&task.size);
        Some(task)
    }

    /// Frees doubt that a report from `as_of` shows to be over; returns what was freed.
    ///
    /// Of the doubt from before the report, no more than the requests that it
    /// shows can still run. Which of them do is not known, so unlike ones are
    /// freed only together.
    pub fn settle_uncertain(&mut self, as_of: Time, report: &Report) -> Vec<UncertainRequest> {
        let uncertain = std::mem::take(&mut self.uncertain);
        let (mut old, new): (Vec<_>, Vec<_>) = uncertain.into_iter().partition(|d| d.since < as_of);
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
        for d in &freed {
            self.used.subtract(&d.size);
        }
        freed
    }
}
