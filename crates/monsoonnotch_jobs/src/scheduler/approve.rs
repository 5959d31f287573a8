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
const NAMED_MAX: usize = 100;
/// VMs that a stage's first call names at least, as far as there are so many:
/// the number that the users count on for a step.
const FIRST_MIN: usize = 30;
/// A call that takes no longer is short, in milliseconds.
const SHORT_MS: f64 = 120.0;
/// Part of a ticket's time kept for the way of the start.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// Time beyond its own after which a call is given up.
const ASK_LOST: Duration = Duration::from_millis(2_500);
/// Room asked for beyond what waits, as a factor: others take some meanwhile.
const ASK_ROOM: f64 = 1.3;
/// Time before the end of its predecessors at which a stage's call is begun,
/// beyond the call's own.
const ASK_AHEAD_MS: f64 = 250.0;
/// Shortest time between two calls for one stage; doubled with each further
/// call up to sixteen times, so that no stage keeps the lanes busy.
const ASK_PAUSE: Duration = Duration::from_millis(60);

/// Approvals of a stage.
#[derive(Debug, Default)]
pub(super) struct Approvals {
    /// Tickets by VM, with the end of their use.
    pub(super) tickets: BTreeMap<VmKey, Ticket>,
    /// VMs that may not run it.
    denied: BTreeSet<VmKey>,
    /// The call that is on its way.
    asked: Option<ApprovalRequestKey>,
    /// When the last call was answered.
    answered_at: Time,
    /// Calls that were answered.
    calls: u32,
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
pub(super) struct Asks {
    next: u64,
    calls: BTreeMap<ApprovalRequestKey, Call>,
    lanes: BTreeMap<ApprovalSlotKey, Option<ApprovalRequestKey>>,
}

/// A VM that a call may name.
#[derive(Debug)]
struct Askable {
    vm: VmKey,
    /// Tasks that fit there now.
    fits: u64,
    /// Whether it is known to be approved.
    known: bool,
    /// Whether runs there take far longer than elsewhere.
    crawls: bool,
    /// Free processor, in thousandths of a core.
    free: u64,
}

#[derive(Debug)]
struct Call {
    stage: StageKey,
    lane: ApprovalSlotKey,
    named: Vec<VmKey>,
    long: bool,
    lost_at: Time,
}

impl Asks {
    pub(super) fn lane_up(&mut self, lane: ApprovalSlotKey) {
        self.lanes.entry(lane).or_insert(None);
    }

    pub(super) fn lane_down(&mut self, lane: ApprovalSlotKey) {
        if let Some(Some(key)) = self.lanes.remove(&lane)
            && let Some(call) = self.calls.get_mut(&key)
        {
            call.lost_at = Time::default();
        }
    }

    /// Whether any lane is free.
    fn any_free(&self) -> bool {
        self.lanes.values().any(Option::is_none)
    }

    /// A free lane for a call; long ones take at most half of them.
    fn lane_for(&self, long: bool) -> Option<ApprovalSlotKey> {
        let is_long = |k: &ApprovalRequestKey| self.calls.get(k).is_some_and(|c| c.long);
        let busy_long = self.lanes.values().flatten().filter(|k| is_long(k)).count();
        if long && busy_long * 2 >= self.lanes.len().max(2) {
            return None;
        }
        let mut free = self.lanes.iter().filter(|(_, c)| c.is_none());
        // Long calls fill the lanes from one end and short ones from the other.
        let free = match long {
            true => free.next(),
            false => free.next_back(),
        };
        free.map(|(&lane, _)| lane)
    }

    fn add(&mut self, call: Call) -> ApprovalRequestKey {
        self.next += 1;
        let key = ApprovalRequestKey(self.next);
        self.lanes.insert(call.lane, Some(key));
        self.calls.insert(key, call);
        key
    }

    fn take(&mut self, key: ApprovalRequestKey) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        if self.lanes.get(&call.lane) == Some(&Some(key)) {
            self.lanes.insert(call.lane, None);
        }
        Some(call)
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
    pub(super) fn ask_for(&mut self, key: StageKey, approval: ApprovalTiming) {
        let now = self.now;
        let Some(stage) = self.stage(key) else { return };
        let approvals = &stage.approvals;
        let first = approvals.answered_at == Time::default();
        let pause = ASK_PAUSE.times(1 << approvals.calls.min(4));
        if approvals.asked.is_some() || (!first && now < approvals.answered_at + pause) {
            return;
        }
        // Choosing VMs looks at the whole fleet: not for a call that cannot go out.
        if !self.asks.any_free() {
            return;
        }
        let tasks = stage.waiting.len().max(1);
        let named = self.vms_to_name(key, tasks);
        if named.is_empty() {
            return;
        }
        let time_ms = approval.time_ms(named.len());
        let long = time_ms > SHORT_MS;
        let Some(lane) = self.asks.lane_for(long) else {
            return;
        };
        let lost_at = now + Duration::from_millis(time_ms as u64) + ASK_LOST;
        let ids = named.iter().filter_map(|&v| self.vms.get(v));
        let vms: Vec<CompactString> = ids.map(|v| v.report.id.clone()).collect();
        let ask = self.asks.add(Call {
            stage: key,
            lane,
            named,
            long,
            lost_at,
        });
        let id = self.task_id(key, 0).stage;
        self.note_ask(id, tasks, &vms);
        if let Some(stage) = self.stage_mut(key) {
            stage.approvals.asked = Some(ask);
        }
        let effect = Effect::RequestApproval {
            key: ask,
            slot: lane,
            stage: id,
            vms,
        };
        self.fx.push(effect);
    }

    fn note_ask(&mut self, stage: StageId, tasks: usize, vms: &[CompactString]) {
        let note = format!("step={} tasks={tasks} named={}", stage.step, vms.len());
        self.note(stage.job.0, "approval asked", note);
    }

    /// VMs to name in a call, best first; none when no call would help.
    fn vms_to_name(&self, key: StageKey, tasks: usize) -> Vec<VmKey> {
        let Some(job) = self.jobs.get(key.job) else {
            return Vec::new();
        };
        let Some(stage) = self.stage(key) else {
            return Vec::new();
        };
        let step = job.step(key.step);
        let learnt = self.learnt.get(&job.queue);
        let share = learnt.map_or(0.5, |l| l.approved).clamp(0.1, 1.0);
        let first = stage.approvals.answered_at == Time::default();
        let rows = self.vms_to_ask(job, stage, step);
        // A gang starts whole: room that is approved for long enough counts, too.
        let wanted = tasks as f64 * ASK_ROOM + 1.0;
        let mut sum = 0.0;
        let mut named = Vec::new();
        for row in rows {
            let enough = sum >= wanted && (!first || named.len() >= FIRST_MIN);
            if enough || named.len() >= NAMED_MAX || (row.fits == 0 && !first) {
                break;
            }
            sum += row.fits as f64 * if row.known { 1.0 } else { share };
            named.push(row.vm);
        }
        let short = step.gang && !first && sum < tasks as f64 * share;
        if short { Vec::new() } else { named }
    }

    /// VMs that may be asked for, best first.
    fn vms_to_ask(&self, job: &Job, stage: &Stage, step: &Step) -> Vec<Askable> {
        let now = self.now;
        let approvals = &stage.approvals;
        let here = self.tasks_by_vm(stage);
        let mut rows = Vec::new();
        for (vm, row) in self.vms.iter() {
            let ticket = approvals.tickets.get(&vm);
            let same = ticket.is_some_and(|t| t.started_ms == row.report.started_ms);
            let held = same && ticket.is_some_and(|t| t.until > now);
            let skip = (held && !step.gang) || approvals.denied.contains(&vm);
            if skip || !self.suits(vm, job, step) {
                continue;
            }
            let most = match step.per_vm_max {
                0 => u64::MAX,
                n => u64::from(n.saturating_sub(here.get(&vm).copied().unwrap_or(0))),
            };
            let fits = place::times_fitting(&row.free(), &step.allocation()).min(most);
            rows.push(Askable {
                vm,
                fits,
                known: same,
                crawls: row.health.crawls(),
                free: row.free().cpu_milli,
            });
        }
        let best = |r: &Askable| (!r.crawls, r.known && r.fits > 0, r.fits.min(4), r.free);
        rows.sort_by_key(|r| std::cmp::Reverse(best(r)));
        rows
    }

    /// Takes in the answer to a call.
    pub(super) fn approved(
        &mut self,
        key: ApprovalRequestKey,
        allowed: Option<Vec<(CompactString, CompactString)>>,
    ) {
        let now = self.now;
        let Some(call) = self.asks.take(key) else {
            return;
        };
        self.changed = true;
        let Some(queue) = self.jobs.get(call.stage.job).map(|j| j.queue.clone()) else {
            return;
        };
        let valid = self.approval_of(call.stage).map_or(0, |a| a.valid_ms);
        let until = now + Duration::from_millis(valid) - TICKET_MARGIN;
        let mut tickets = BTreeMap::new();
        for (id, text) in allowed.iter().flatten() {
            let Some(&vm) = self.vm_ids.get(id) else {
                continue;
            };
            let Some(row) = self.vms.get(vm) else {
                continue;
            };
            let ticket = Ticket {
                text: text.clone(),
                until,
                started_ms: row.report.started_ms,
            };
            tickets.insert(vm, ticket);
        }
        let count = tickets.len();
        let Some(stage) = self.stage_mut(call.stage) else {
            return;
        };
        let approvals = &mut stage.approvals;
        approvals.asked = None;
        approvals.answered_at = now;
        approvals.calls += 1;
        if allowed.is_none() {
            return;
        }
        let denied = call.named.iter().filter(|v| !tickets.contains_key(v));
        approvals.denied.extend(denied);
        approvals.tickets.extend(tickets);
        let share = count as f64 / call.named.len().max(1) as f64;
        self.learn_approved(&queue, share);
        let id = self.task_id(call.stage, 0).stage;
        let note = format!(
            "step={} named={} allowed={count}",
            id.step,
            call.named.len()
        );
        self.note(id.job.0, "approval came", note);
    }

    /// A VM refused a ticket: it is not used again.
    pub(super) fn ticket_refused(&mut self, key: StageKey, vm: VmKey) {
        let now = self.now;
        if let Some(stage) = self.stage_mut(key)
            && let Some(ticket) = stage.approvals.tickets.get_mut(&vm)
        {
            ticket.until = now;
        }
    }

    /// Gives up lost calls, and begins those for stages whose turn comes soon.
    pub(super) fn scan_asks(&mut self) {
        let now = self.now;
        let lost = self.asks.calls.iter().filter(|(_, c)| now > c.lost_at);
        for key in lost.map(|(&k, _)| k).collect::<Vec<_>>() {
            self.approved(key, None);
        }
        if !self.tuning.approvals {
            return;
        }
        let mut soon = Vec::new();
        for &key in &self.open {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let Some(approval) = self.queue(&job.queue).and_then(|q| q.approval) else {
                continue;
            };
            let ratio = self.learnt.get(&job.queue).map_or(1.0, |l| l.ratio);
            for (&(occurrence, step), stage) in &job.stages {
                let unasked = stage.approvals.answered_at == Time::default();
                if stage.ready || !unasked || stage.approvals.asked.is_some() {
                    continue;
                }
                if self.ends_soon(job, occurrence, step, &approval, ratio) {
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
            self.ask_for(stage, approval);
        }
    }

    /// Whether all that a stage waits for runs, and is about to end.
    fn ends_soon(
        &self,
        job: &Job,
        occurrence: u32,
        step: u16,
        approval: &ApprovalTiming,
        ratio: f64,
    ) -> bool {
        let ahead = approval.time_ms(NAMED_MAX / 3) + ASK_AHEAD_MS;
        let ends = |d: &u16| {
            let Some(before) = job.stages.get(&(occurrence, *d)) else {
                return false;
            };
            if before.whole() {
                return true;
            }
            let ran = self.now.since(before.started_at).as_millis() as f64;
            let left = job.step(*d).estimate_ms as f64 * ratio - ran;
            before.ready && before.waiting.is_empty() && left < ahead
        };
        job.step(step).after.iter().all(ends)
    }
}
