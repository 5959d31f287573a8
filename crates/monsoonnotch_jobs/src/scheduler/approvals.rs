//! Approvals: which VMs may run a stage, asked for by the members' lanes.
//!
//! The service answers one call at a time for each member, so each member is a
//! lane. Long calls leave half of the lanes to short ones.

use super::job::Job;
use super::job::Stage;
use super::*;
use crate::effect::ApprovalRequestKey;
use crate::effect::ApprovalSlotKey;
use crate::plan::StageId;
use crate::site::ApprovalTiming;

/// VMs that one call may name, from the service's page.
const REQUEST_VMS_MAX: usize = 100;
/// VMs that a stage's first call names at least, as far as there are so many:
/// the number that the users count on for a step.
const FIRST_REQUEST_VMS_MIN: usize = 30;
/// A call that takes no longer is short, in milliseconds.
const SHORT_REQUEST_MS: f64 = 120.0;
/// Part of a ticket's time kept for the way of the start.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// Time beyond its own after which a call is given up.
const REQUEST_TIMEOUT_SLACK: Duration = Duration::from_millis(2_500);
/// Room asked for beyond what waits, as a factor: others take some meanwhile.
const REQUEST_CAPACITY_FACTOR: f64 = 1.3;
/// Time before the end of its predecessors at which a stage's call is begun,
/// beyond the call's own.
const REQUEST_AHEAD_MS: f64 = 250.0;
/// Shortest time between two calls for one stage; doubled with each further
/// call up to sixteen times, so that no stage keeps the lanes busy.
const REQUEST_PAUSE: Duration = Duration::from_millis(60);

/// Approvals of a stage.
#[derive(Debug, Default)]
pub(super) struct Approvals {
    /// Tickets by VM, with the end of their use.
    pub(super) tickets: BTreeMap<VmKey, Ticket>,
    /// VMs that may not run it.
    denied: BTreeSet<VmKey>,
    /// The call that is on its way.
    pending_request: Option<ApprovalRequestKey>,
    /// When the last call was answered.
    last_answer_at: Time,
    /// Calls that were answered.
    answered_count: u32,
}

/// An approval of one VM.
#[derive(Debug, Clone)]
pub(super) struct Ticket {
    pub(super) text: CompactString,
    pub(super) until: Time,
    /// Incarnation of the VM that it is for.
    pub(super) started_ms: u64,
}

/// Calls on their way and the lanes they take.
#[derive(Debug, Default)]
pub(super) struct ApprovalRequests {
    next: u64,
    pending: BTreeMap<ApprovalRequestKey, ApprovalRequest>,
    slots: BTreeMap<ApprovalSlotKey, Option<ApprovalRequestKey>>,
}

/// A VM that a call may name.
#[derive(Debug)]
struct RequestCandidate {
    vm: VmKey,
    /// Tasks that fit there now.
    fits: u64,
    /// Whether it is known to be approved.
    approved_before: bool,
    /// Whether runs there take far longer than elsewhere.
    is_slow: bool,
    /// Free processor, in thousandths of a core.
    free: u64,
}

#[derive(Debug)]
struct ApprovalRequest {
    stage: StageKey,
    slot: ApprovalSlotKey,
    named: Vec<VmKey>,
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

    /// Whether any lane is free.
    fn has_free_slot(&self) -> bool {
        self.slots.values().any(Option::is_none)
    }

    /// A free lane for a call; long ones take at most half of them.
    fn free_slot(&self, long: bool) -> Option<ApprovalSlotKey> {
        let is_long = |k: &ApprovalRequestKey| self.pending.get(k).is_some_and(|c| c.long);
        let busy_long = self.slots.values().flatten().filter(|k| is_long(k)).count();
        if long && busy_long * 2 >= self.slots.len().max(2) {
            return None;
        }
        let mut free = self.slots.iter().filter(|(_, c)| c.is_none());
        // Long calls fill the lanes from one end and short ones from the other.
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
    /// The approval times of a stage's queue; `None` where any VM may run it.
    pub(super) fn approval_of(&self, key: StageKey) -> Option<ApprovalTiming> {
        let job = self.jobs.get(key.job)?;
        let approval = self.queue(&job.queue)?.approval?;
        self.tuning.approvals.then_some(approval)
    }

    /// Asks for approvals of a stage if it lacks some that can be asked for.
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
        // Choosing VMs looks at the whole fleet: not for a call that cannot go out.
        if !self.approval_requests.has_free_slot() {
            return;
        }
        let tasks = stage.waiting.len().max(1);
        let named = self.vms_to_request(key, tasks);
        if named.is_empty() {
            return;
        }
        let time_ms = approval.time_ms(named.len());
        let long = time_ms > SHORT_REQUEST_MS;
        let Some(slot) = self.approval_requests.free_slot(long) else {
            return;
        };
        let expires_at = now + Duration::from_millis(time_ms as u64) + REQUEST_TIMEOUT_SLACK;
        let ids = named.iter().filter_map(|&v| self.vms.get(v));
        let vms: Vec<CompactString> = ids.map(|v| v.registration.id.clone()).collect();
        let request_key = self.approval_requests.add(ApprovalRequest {
            stage: key,
            slot,
            named,
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
            slot: slot,
            stage: id,
            vms,
        };
        self.effects.push(effect);
    }

    fn log_approval_request(&mut self, stage: StageId, tasks: usize, vms: &[CompactString]) {
        let detail = format!("step={} tasks={tasks} named={}", stage.step, vms.len());
        self.log(stage.job.0, "approval asked", detail);
    }

    /// VMs to name in a call, best first; none when no call would help.
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
        let rows = self.request_candidates(job, stage, step);
        // A gang starts whole: room that is approved for long enough counts, too.
        let wanted = tasks as f64 * REQUEST_CAPACITY_FACTOR + 1.0;
        let mut sum = 0.0;
        let mut named = Vec::new();
        for row in rows {
            let enough = sum >= wanted && (!first || named.len() >= FIRST_REQUEST_VMS_MIN);
            if enough || named.len() >= REQUEST_VMS_MAX || (row.fits == 0 && !first) {
                break;
            }
            sum += row.fits as f64 * if row.approved_before { 1.0 } else { share };
            named.push(row.vm);
        }
        let short = step.gang && !first && sum < tasks as f64 * share;
        if short { Vec::new() } else { named }
    }

    /// VMs that may be asked for, best first.
    fn request_candidates(&self, job: &Job, stage: &Stage, step: &Step) -> Vec<RequestCandidate> {
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
            let fits = placement::fit_count(&row.free(), &step.allocation()).min(limit);
            rows.push(RequestCandidate {
                vm,
                fits,
                approved_before: same,
                is_slow: row.health.is_slow(),
                free: row.free().cpu_milli,
            });
        }
        let best = |r: &RequestCandidate| {
            (
                !r.is_slow,
                r.approved_before && r.fits > 0,
                r.fits.min(4),
                r.free,
            )
        };
        rows.sort_by_key(|r| std::cmp::Reverse(best(r)));
        rows
    }

    /// Takes in the answer to a call.
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
        let denied = request.named.iter().filter(|v| !tickets.contains_key(v));
        approvals.denied.extend(denied);
        approvals.tickets.extend(tickets);
        let share = count as f64 / request.named.len().max(1) as f64;
        self.record_approved_share(&queue, share);
        let id = self.task_id(request.stage, 0).stage;
        let detail = format!(
            "step={} named={} allowed={count}",
            id.step,
            request.named.len()
        );
        self.log(id.job.0, "approval came", detail);
    }

    /// A VM refused a ticket: it is not used again.
    pub(super) fn invalidate_ticket(&mut self, key: StageKey, vm: VmKey) {
        let now = self.now;
        if let Some(stage) = self.stage_mut(key)
            && let Some(ticket) = stage.approvals.tickets.get_mut(&vm)
        {
            ticket.until = now;
        }
    }

    /// Gives up lost calls, and begins those for stages whose turn comes soon.
    pub(super) fn scan_approval_requests(&mut self) {
        let now = self.now;
        let lost = self
            .approval_requests
            .pending
            .iter()
            .filter(|(_, c)| now > c.expires_at);
        for key in lost.map(|(&k, _)| k).collect::<Vec<_>>() {
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
            let ratio = self.queue_stats.get(&job.queue).map_or(1.0, |l| l.ratio);
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

    /// Whether all that a stage waits for runs, and is about to end.
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
            let ran = self.now.since(before.last_sent_at).as_millis() as f64;
            let left = job.step(*d).estimate_ms as f64 * ratio - ran;
            before.ready && before.waiting.is_empty() && left < ahead
        };
        job.step(step).after.iter().all(ends)
    }
}
