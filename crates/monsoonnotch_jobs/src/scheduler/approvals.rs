//! Approvals: requests to the approval service for the VMs that may run a stage.
//!
//! The service answers one request at a time for each member, so each member
//! provides one approval slot. Long requests leave half of the slots to short ones.

use super::job::Job;
use super::job::Stage;
use super::kinds::KindPenalties;
use super::*;
use crate::effect::ApprovalRequestKey;
use crate::effect::ApprovalSlotKey;
use crate::plan::StageId;
use crate::site::ApprovalTiming;

/// Maximum number of VMs in one request, as documented by the approval service.
const REQUEST_VMS_MAX: usize = 100;
/// Minimum number of VMs in the first request of a stage, if that many are eligible:
/// the number that users rely on for a step.
const FIRST_REQUEST_VMS_MIN: usize = 30;
/// Longest duration of a short request, in milliseconds.
const SHORT_REQUEST_MS: f64 = 120.0;
/// Part of a ticket's validity that is reserved for the delivery of the start order.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// Time beyond its expected duration after which a request is abandoned.
const REQUEST_TIMEOUT_SLACK: Duration = Duration::from_millis(2_500);
/// Requested capacity as a multiple of the waiting tasks, because other stages use some
/// of it before the answer arrives.
const REQUEST_CAPACITY_FACTOR: f64 = 1.3;
/// Time, beyond the duration of the request, by which a stage's first request precedes
/// the expected end of the steps that it depends on, in milliseconds.
const REQUEST_AHEAD_MS: f64 = 250.0;
/// Shortest time between two requests for one stage. It doubles with every further
/// request, up to sixteen times, so that no stage keeps the slots busy.
const REQUEST_PAUSE: Duration = Duration::from_millis(60);

/// Approvals of a stage and the state of its requests.
#[derive(Debug, Default)]
pub(super) struct Approvals {
    /// Tickets by VM.
    pub(super) tickets: BTreeMap<VmKey, Ticket>,
    /// VMs that the service did not approve.
    denied: BTreeSet<VmKey>,
    /// The request without an answer.
    pending_request: Option<ApprovalRequestKey>,
    /// When the last request was answered or abandoned; zero before the first.
    last_answer_at: Time,
    /// Number of requests that were answered or abandoned.
    answered_count: u32,
}

/// An approval of one VM for a stage.
#[derive(Debug, Clone)]
pub(super) struct Ticket {
    pub(super) text: CompactString,
    /// The ticket is used for starts only before this time.
    pub(super) until: Time,
    /// Start of the VM's incarnation that it is valid for.
    pub(super) started_ms: u64,
}

/// Requests without an answer, and the approval slots.
#[derive(Debug, Default)]
pub(super) struct ApprovalRequests {
    next: u64,
    pending: BTreeMap<ApprovalRequestKey, ApprovalRequest>,
    /// The slots, with the request that each of them serves.
    slots: BTreeMap<ApprovalSlotKey, Option<ApprovalRequestKey>>,
}

/// A VM that a request may include.
#[derive(Debug)]
struct RequestCandidate {
    vm: VmKey,
    /// Number of tasks that fit there now.
    fits: u64,
    /// Whether it was approved for the stage before.
    approved_before: bool,
    /// Whether runs take far longer there than elsewhere.
    is_slow: bool,
    /// Penalty for its kind.
    kind_penalty: u64,
    /// Free CPU, in thousandths of a core.
    free: u64,
}

#[derive(Debug)]
struct ApprovalRequest {
    stage: StageKey,
    slot: ApprovalSlotKey,
    /// VMs whose approval is requested.
    requested: Vec<VmKey>,
    /// Whether it is expected to take longer than [`SHORT_REQUEST_MS`].
    long: bool,
    expires_at: Time,
}

impl ApprovalRequests {
    pub(super) fn add_slot(&mut self, slot: ApprovalSlotKey) {
        self.slots.entry(slot).or_insert(None);
    }

    pub(super) fn remove_slot(&mut self, slot: ApprovalSlotKey) {
        if let Some(Some(key)) = self.slots.remove(&slot)
            && let Some(request) = self.pending.get_mut(&key)
        {
            request.expires_at = Time::default();
        }
    }

    /// Whether any slot is free.
    fn has_free_slot(&self) -> bool {
        self.slots.values().any(Option::is_none)
    }

    /// Returns a free slot for a request; long requests use at most half of the slots.
    fn free_slot(&self, long: bool) -> Option<ApprovalSlotKey> {
        let is_long = |k: &ApprovalRequestKey| self.pending.get(k).is_some_and(|c| c.long);
        let busy_long = self.slots.values().flatten().filter(|k| is_long(k)).count();
        if long && busy_long * 2 >= self.slots.len().max(2) {
            return None;
        }
        let mut free = self.slots.iter().filter(|(_, c)| c.is_none());
        // Long requests take slots from the front and short ones from the back.
        let free = match long {
            true => free.next(),
            false => free.next_back(),
        };
        free.map(|(&slot, _)| slot)
    }

    fn add(&mut self, request: ApprovalRequest) -> ApprovalRequestKey {
        self.next += 1;
        let key = ApprovalRequestKey(self.next);
        self.slots.insert(request.slot, Some(key));
        self.pending.insert(key, request);
        key
    }

    fn take(&mut self, key: ApprovalRequestKey) -> Option<ApprovalRequest> {
        let request = self.pending.remove(&key)?;
        if self.slots.get(&request.slot) == Some(&Some(key)) {
            self.slots.insert(request.slot, None);
        }
        Some(request)
    }
}

impl Scheduler {
    /// Returns the approval timing of a stage's queue; `None` if any VM may run the stage.
    pub(super) fn approval_of(&self, key: StageKey) -> Option<ApprovalTiming> {
        let job = self.jobs.get(key.job)?;
        let approval = self.queue(&job.queue)?.approval?;
        self.tuning.approvals.then_some(approval)
    }

    /// Requests approvals for a stage if more are needed and a slot is free.
    pub(super) fn request_approval(&mut self, key: StageKey, approval: ApprovalTiming) {
        let now = self.now;
        let Some(stage) = self.stage(key) else { return };
        let approvals = &stage.approvals;
        let first = approvals.last_answer_at == Time::default();
        let pause = REQUEST_PAUSE.times(1 << approvals.answered_count.min(4));
        if approvals.pending_request.is_some() || (!first && now < approvals.last_answer_at + pause)
        {
            return;
        }
        // Choosing VMs scans all of them, so it is skipped if the request cannot be sent.
        if !self.approval_requests.has_free_slot() {
            return;
        }
        let tasks = stage.waiting.len().max(1);
        let requested = self.vms_to_request(key, tasks);
        if requested.is_empty() {
            return;
        }
        let time_ms = approval.time_ms(requested.len());
        let long = time_ms > SHORT_REQUEST_MS;
        let Some(slot) = self.approval_requests.free_slot(long) else {
            return;
        };
        let expires_at = now + Duration::from_millis(time_ms as u64) + REQUEST_TIMEOUT_SLACK;
        let ids = requested.iter().filter_map(|&v| self.vms.get(v));
        let vms: Vec<CompactString> = ids.map(|v| v.registration.id.clone()).collect();
        let request_key = self.approval_requests.add(ApprovalRequest {
            stage: key,
            slot,
            requested,
            long,
            expires_at,
        });
        let id = self.task_id(key, 0).stage;
        self.log_approval_request(id, tasks, &vms);
        if let Some(stage) = self.stage_mut(key) {
            stage.approvals.pending_request = Some(request_key);
        }
        let effect = Effect::RequestApproval {
            key: request_key,
            slot,
            stage: id,
            vms,
        };
        self.effects.push(effect);
    }

    fn log_approval_request(&mut self, stage: StageId, tasks: usize, vms: &[CompactString]) {
        let detail = format!("step={} tasks={tasks} named={}", stage.step, vms.len());
        self.log(stage.job.0, "approval requested", detail);
    }

    /// Returns the VMs to include in a request, best first; empty if no request would help.
    fn vms_to_request(&self, key: StageKey, tasks: usize) -> Vec<VmKey> {
        let Some(job) = self.jobs.get(key.job) else {
            return Vec::new();
        };
        let Some(stage) = self.stage(key) else {
            return Vec::new();
        };
        let step = job.step(key.step);
        let queue_stats = self.queue_stats.get(&job.queue);
        let share = queue_stats
            .map_or(0.5, |s| s.approved_share)
            .clamp(0.1, 1.0);
        let first = stage.approvals.last_answer_at == Time::default();
        let kind_penalties = self.kind_penalties(key);
        let mut rows = self.request_candidates(job, stage, step, &kind_penalties);
        // A first request may include VMs that are full now.
        rows.retain(|r| r.fits > 0 || first);
        // A gang starts all at once, so VMs that are approved already count as well.
        let wanted = tasks as f64 * REQUEST_CAPACITY_FACTOR + 1.0;
        let mut sum = 0.0;
        let mut requested = Vec::new();
        for row in rows {
            let enough = sum >= wanted && (!first || requested.len() >= FIRST_REQUEST_VMS_MIN);
            if enough || requested.len() >= REQUEST_VMS_MAX {
                break;
            }
            sum += row.fits as f64 * if row.approved_before { 1.0 } else { share };
            requested.push(row.vm);
        }
        let insufficient = step.gang && !first && sum < tasks as f64 * share;
        if insufficient { Vec::new() } else { requested }
    }

    /// Returns the VMs that a request may include, best first.
    fn request_candidates(
        &self,
        job: &Job,
        stage: &Stage,
        step: &Step,
        kind_penalties: &KindPenalties,
    ) -> Vec<RequestCandidate> {
        let now = self.now;
        let approvals = &stage.approvals;
        let here = self.tasks_by_vm(stage);
        let mut rows = Vec::new();
        for (vm, row) in self.vms.iter() {
            let ticket = approvals.tickets.get(&vm);
            let same = ticket.is_some_and(|t| t.started_ms == row.registration.started_ms);
            let has_ticket = same && ticket.is_some_and(|t| t.until > now);
            let skip = (has_ticket && !step.gang) || approvals.denied.contains(&vm);
            if skip || !self.is_eligible(vm, job, step) {
                continue;
            }
            let limit = match step.per_vm_max {
                0 => u64::MAX,
                n => u64::from(n.saturating_sub(here.get(&vm).copied().unwrap_or(0))),
            };
            let fits = candidates::fit_count(&row.free(), &step.allocation()).min(limit);
            rows.push(RequestCandidate {
                vm,
                fits,
                approved_before: same,
                is_slow: row.health.is_slow(),
                kind_penalty: kind_penalties.of(row.kind),
                free: row.free().cpu_milli,
            });
        }
        let best = |r: &RequestCandidate| {
            (
                !r.is_slow,
                r.approved_before && r.fits > 0,
                r.fits > 0,
                std::cmp::Reverse(r.kind_penalty),
                r.fits.min(4),
                r.free,
            )
        };
        rows.sort_by_key(|r| std::cmp::Reverse(best(r)));
        rows
    }

    /// Applies the answer to a request; `None` if it was abandoned or failed.
    pub(super) fn approval_answered(
        &mut self,
        key: ApprovalRequestKey,
        allowed: Option<Vec<(CompactString, CompactString)>>,
    ) {
        let now = self.now;
        let Some(request) = self.approval_requests.take(key) else {
            return;
        };
        self.placement_needed = true;
        let Some(queue) = self.jobs.get(request.stage.job).map(|j| j.queue.clone()) else {
            return;
        };
        let valid = self.approval_of(request.stage).map_or(0, |a| a.valid_ms);
        let until = now + Duration::from_millis(valid) - TICKET_MARGIN;
        let mut tickets = BTreeMap::new();
        for (id, text) in allowed.iter().flatten() {
            let Some(&vm) = self.vms_by_id.get(id) else {
                continue;
            };
            let Some(row) = self.vms.get(vm) else {
                continue;
            };
            let ticket = Ticket {
                text: text.clone(),
                until,
                started_ms: row.registration.started_ms,
            };
            tickets.insert(vm, ticket);
        }
        let count = tickets.len();
        let Some(stage) = self.stage_mut(request.stage) else {
            return;
        };
        let approvals = &mut stage.approvals;
        approvals.pending_request = None;
        approvals.last_answer_at = now;
        approvals.answered_count += 1;
        if allowed.is_none() {
            return;
        }
        let denied = request
            .requested
            .iter()
            .filter(|v| !tickets.contains_key(v));
        approvals.denied.extend(denied);
        approvals.tickets.extend(tickets);
        let share = count as f64 / request.requested.len().max(1) as f64;
        self.record_approved_share(&queue, share);
        let id = self.task_id(request.stage, 0).stage;
        let detail = format!(
            "step={} named={} allowed={count}",
            id.step,
            request.requested.len()
        );
        self.log(id.job.0, "approval received", detail);
    }

    /// Invalidates the ticket of a VM that refused it.
    pub(super) fn invalidate_ticket(&mut self, key: StageKey, vm: VmKey) {
        let now = self.now;
        if let Some(stage) = self.stage_mut(key)
            && let Some(ticket) = stage.approvals.tickets.get_mut(&vm)
        {
            ticket.until = now;
        }
    }

    /// Abandons overdue requests, and sends the first request of stages that are about to
    /// become ready.
    pub(super) fn scan_approval_requests(&mut self) {
        let now = self.now;
        let overdue = self
            .approval_requests
            .pending
            .iter()
            .filter(|(_, c)| now > c.expires_at);
        for key in overdue.map(|(&k, _)| k).collect::<Vec<_>>() {
            self.approval_answered(key, None);
        }
        if !self.tuning.approvals {
            return;
        }
        let mut soon = Vec::new();
        for &key in &self.open_jobs {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let Some(approval) = self.queue(&job.queue).and_then(|q| q.approval) else {
                continue;
            };
            let ratio = self.runtime_ratio(&job.queue);
            for (&(occurrence, step), stage) in &job.stages {
                let not_requested = stage.approvals.last_answer_at == Time::default();
                if stage.ready || !not_requested || stage.approvals.pending_request.is_some() {
                    continue;
                }
                if self.dependencies_end_soon(job, occurrence, step, &approval, ratio) {
                    let stage = StageKey {
                        job: key,
                        occurrence,
                        step,
                    };
                    soon.push((stage, approval));
                }
            }
        }
        for (stage, approval) in soon {
            self.request_approval(stage, approval);
        }
    }

    /// Whether all steps that a stage depends on are complete or about to complete.
    fn dependencies_end_soon(
        &self,
        job: &Job,
        occurrence: u32,
        step: u16,
        approval: &ApprovalTiming,
        ratio: f64,
    ) -> bool {
        let ahead = approval.time_ms(REQUEST_VMS_MAX / 3) + REQUEST_AHEAD_MS;
        let ends = |d: &u16| {
            let Some(before) = job.stages.get(&(occurrence, *d)) else {
                return false;
            };
            if before.is_complete() {
                return true;
            }
            let ran = self.now.since(before.last_run_at).as_millis() as f64;
            let left = job.step(*d).estimate_ms as f64 * ratio - ran;
            before.ready && before.waiting.is_empty() && left < ahead
        };
        job.step(step).after.iter().all(ends)
    }
}
