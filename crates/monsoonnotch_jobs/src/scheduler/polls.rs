//! Looks at VMs: they renew leases, and bring what runs and what ended.
//!
//! One look waits at each VM for an end. A second one may go beside it when
//! an answer is needed at once. Answers may overtake each other; each is judged
//! by when its look was sent.

use super::*;
use crate::effect::PollKey;
use crate::event::PollError;
use crate::vm::FinishedRun;
use crate::vm::PollAnswer;
use crate::vm::RunOutcome;
use crate::vm::RunningRun;

/// Pause before the next look at a VM that did not answer, at first.
const POLL_RETRY: Duration = Duration::from_millis(150);
/// Weight of a look at a VM without runs in its slowness.
const IDLE_SLOWNESS_WEIGHT: f64 = 0.2;
/// Longest such pause.
const POLL_RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Time after which a look of another kind than the waiting one is given up.
const POLL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time beyond its wait after which an answer is overdue and another look goes out
/// beside it: a VM answers in 2 ms, a holder short of processor reads it later.
const OVERDUE_AFTER: Duration = Duration::from_millis(120);
/// Looks at one VM that may be without an answer at once.
const CONCURRENT_POLLS_MAX: usize = 3;
/// Looks sent beside overdue ones in one scan, at most, so that a holder that
/// falls behind does not add to its own load.
const HEDGED_POLLS_PER_SCAN_MAX: usize = 8;
/// Wait of looks at VMs with urgent runs while VMs leave orders unanswered: half
/// of the usual time of an urgent task.
const UNANSWERED_POLL_WAIT: Duration = Duration::from_millis(300);
/// Unanswered orders, fading with time, above which VMs count as muted.
const UNANSWERED_THRESHOLD: f64 = 3.0;
/// Time in which the count of unanswered orders fades to a third.
const UNANSWERED_DECAY: Duration = Duration::from_millis(2_000);

/// How many orders VMs that live have left unanswered lately.
#[derive(Debug, Default)]
pub(super) struct UnansweredRate {
    level: f64,
    at: Time,
}

impl UnansweredRate {
    fn level_at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_millis() as f64;
        self.level * (-age / UNANSWERED_DECAY.as_millis() as f64).exp()
    }

    /// Counts one order that was left unanswered.
    pub(super) fn record(&mut self, now: Time) {
        self.level = self.level_at(now) + 1.0;
        self.at = now;
    }

    /// Whether VMs leave so many orders unanswered that answers are not waited for long.
    fn is_high(&self, now: Time) -> bool {
        self.level_at(now) >= UNANSWERED_THRESHOLD
    }
}

/// A look without an answer.
#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    sent_at: Time,
    /// How long the VM may wait for an end.
    wait: Duration,
    /// Whether a later look was answered before it.
    overtaken: bool,
}

/// The looks at one VM.
#[derive(Debug, Default)]
pub(super) struct Polls {
    next_seq: u64,
    /// Looks without an answer.
    pending: BTreeMap<u64, PendingPoll>,
    /// When the next is due, once none waits.
    next_at: Option<Time>,
    /// Looks without an answer in a row.
    pub(super) unanswered: u32,
    /// The latest look that was answered.
    last_answered: u64,
    /// Whether ends wait to be stored before the next look.
    deferred: bool,
}

impl Polls {
    /// Forgets looks at a former incarnation.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
        self.deferred = false;
    }

    /// Whether a look should go out.
    pub(super) fn is_due(&self, now: Time) -> bool {
        let lost = |s: &PendingPoll| now > s.sent_at + POLL_TIMEOUT;
        self.pending.values().all(lost) && self.next_at.is_some_and(|at| now >= at)
    }

    /// Takes in that a look was answered; says how many earlier ones are overdue,
    /// each counted once.
    fn mark_answered(&mut self, seq: u64, now: Time) -> usize {
        self.last_answered = self.last_answered.max(seq);
        let mut overtaken = 0;
        for (_, s) in self.pending.range_mut(..seq) {
            if !s.overtaken && now > s.sent_at + s.wait + OVERDUE_AFTER {
                s.overtaken = true;
                overtaken += 1;
            }
        }
        overtaken
    }

    /// Whether no look is answered although its wait is over.
    pub(super) fn is_overdue(&self, now: Time) -> bool {
        let late = |s: &PendingPoll| now > s.sent_at + s.wait + OVERDUE_AFTER;
        (1..CONCURRENT_POLLS_MAX).contains(&self.pending.len()) && self.pending.values().all(late)
    }
}

impl Scheduler {
    /// Looks again at VMs whose answers are overdue: ends there would show late.
    pub(super) fn hedge_overdue_polls(&mut self) {
        let now = self.now;
        let overdue = |vm: &vms::Vm| vm.polls.unanswered == 0 && vm.polls.is_overdue(now);
        let late = self.vms.iter().filter(|(_, vm)| overdue(vm));
        let late: Vec<VmKey> = late
            .map(|(k, _)| k)
            .take(HEDGED_POLLS_PER_SCAN_MAX)
            .collect();
        for key in late {
            self.poll_now(key);
        }
    }

    fn has_urgent_runs(&self, key: VmKey) -> bool {
        let Some(vm) = self.vms.get(key) else {
            return false;
        };
        let stages = vm.runs.iter().filter_map(|r| Some(self.runs.get(r)?.stage));
        let mut ranks = stages.filter_map(|s| Some(self.stage(s)?.rank));
        ranks.any(|rank| rank.class == placement::URGENT_PRIORITY)
    }

    /// Looks at every VM of the list.
    pub(super) fn poll_all(&mut self) {
        let keys: Vec<VmKey> = self.vms.iter().map(|(k, _)| k).collect();
        for key in keys {
            self.poll_now(key);
        }
    }

    /// Has a VM looked at, unless a look is on its way.
    pub(super) fn poll_soon(&mut self, key: VmKey) {
        let now = self.now;
        if let Some(vm) = self.vms.get_mut(key)
            && vm.polls.pending.is_empty()
            && vm.polls.next_at.is_none_or(|at| at > now + POLL_RETRY)
        {
            vm.polls.next_at = Some(now);
        }
    }

    /// Looks at a VM now, beside a look that may be waiting there.
    pub(super) fn poll_now(&mut self, key: VmKey) {
        if self.marker.is_none() || self.stopped {
            return;
        }
        let (now, lease) = (self.now, self.tuning.lease);
        let wait = match self.unanswered_orders.is_high(now) && self.has_urgent_runs(key) {
            true => UNANSWERED_POLL_WAIT,
            false => self.tuning.poll_wait,
        };
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        // Of a VM that the list does not name no address may be known.
        if vm.registration.addr.is_empty() {
            return;
        }
        let first = !vm.answered || vm.polls.unanswered > 0;
        let all_stored = vm.finished_stored >= vm.finished_seen;
        let hedged = !vm.polls.pending.is_empty();
        let wait = match first || hedged || !all_stored {
            true => Duration::default(),
            false => wait,
        };
        // A VM that does not answer is asked for no longer lease: it might grant it
        // unheard, and what runs there could never be given up.
        let until = vm.clock_at(now).map(|c| c + lease.as_millis());
        let until = until.filter(|_| vm.polls.unanswered == 0);
        vm.lease_until_ms = vm.lease_until_ms.max(until.unwrap_or(0));
        vm.polls.next_seq += 1;
        let seq = vm.polls.next_seq;
        vm.polls.pending.insert(
            seq,
            PendingPoll {
                sent_at: now,
                wait,
                overtaken: false,
            },
        );
        vm.polls.next_at = Some(now + POLL_TIMEOUT);
        let effect = Effect::Poll {
            key: PollKey { vm: key, seq },
            to: vm.target(),
            acknowledged: vm.finished_stored,
            lease_until_ms: until,
            wait,
        };
        self.effects.push(effect);
    }

    /// Takes in the answer to a look.
    pub(super) fn poll_answered(&mut self, key: PollKey, answer: Result<PollAnswer, PollError>) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key.vm) else {
            return;
        };
        let Some(pending) = vm.polls.pending.remove(&key.seq) else {
            return;
        };
        let overtaken = match answer {
            Ok(_) => vm.polls.mark_answered(key.seq, now),
            Err(_) => 0,
        };
        (0..overtaken).for_each(|_| self.unanswered_orders.record(now));
        match answer {
            Ok(answer) => self.apply_poll_answer(key.vm, pending.sent_at, answer),
            Err(PollError::Fenced) => self.step_down(),
            Err(PollError::OtherIncarnation) => self.other_incarnation(key.vm),
            Err(PollError::Unresponsive) => self.poll_unanswered(key),
        }
    }

    /// The VM's address belongs to another incarnation now.
    pub(super) fn other_incarnation(&mut self, key: VmKey) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.answered = false;
        vm.polls.unanswered += 1;
        vm.polls.next_at = Some(now + POLL_RETRY_MAX);
        for run in vm.runs.clone() {
            self.lose_run(run, "another incarnation answered");
        }
    }

    fn poll_unanswered(&mut self, key: PollKey) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key.vm) else {
            return;
        };
        // One that was sent later has been answered: the VM lives.
        if vm.polls.last_answered > key.seq {
            return self.schedule_next_poll(key.vm);
        }
        vm.polls.unanswered += 1;
        let pause = POLL_RETRY
            .times(u64::from(vm.polls.unanswered))
            .min(POLL_RETRY_MAX);
        vm.polls.next_at = Some(now + pause);
        if vm.polls.unanswered == 1 {
            let detail = format!("vm={} runs={}", vm.registration.id, vm.runs.len());
            self.log(0, "vm silent", detail);
        }
    }

    fn apply_poll_answer(&mut self, key: VmKey, sent: Time, answer: PollAnswer) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if let Some(started_ms) = answer.started_ms {
            if started_ms < vm.registration.started_ms {
                return self.poll_soon(key);
            }
            if started_ms > vm.registration.started_ms {
                let known = vm.registration.started_ms > 0;
                vm.registration.started_ms = started_ms;
                if known {
                    return self.reset_incarnation(key);
                }
            }
        }
        let silent = std::mem::take(&mut vm.polls.unanswered);
        let first = !std::mem::replace(&mut vm.answered, true);
        vm.clock = Some((now, answer.clock_ms));
        if answer.running.is_empty() {
            // Without runs nothing else would ever clear it.
            vm.health.record_slowness(1.0, IDLE_SLOWNESS_WEIGHT);
        }
        let id = vm.registration.id.clone();
        if silent > 0 || first {
            self.log(
                0,
                "vm answers",
                format!("vm={id} silent={silent} first={first}"),
            );
            self.placement_needed = true;
        }
        self.apply_finished(key, &answer.finished);
        self.apply_running(key, sent, &answer);
        self.schedule_next_poll(key);
    }

    /// Plans the next look: at once, or when the ends taken in are stored.
    fn schedule_next_poll(&mut self, key: VmKey) {
        let (now, pause) = (self.now, self.tuning.poll_pause);
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if !vm.polls.pending.is_empty() {
            return;
        }
        if vm.finished_stored < vm.finished_seen {
            vm.polls.deferred = true;
            vm.polls.next_at = Some(now + pause);
            return;
        }
        self.poll_now(key);
    }

    /// Looks again at VMs whose ends have just been stored.
    pub(super) fn finished_stored(&mut self, key: VmKey, number: u64) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.finished_stored = vm.finished_stored.max(number);
        let resume = vm.polls.deferred && vm.finished_stored >= vm.finished_seen;
        if resume {
            vm.polls.deferred = false;
            if vm.polls.pending.is_empty() {
                self.poll_now(key);
            }
        }
    }

    fn apply_finished(&mut self, key: VmKey, finished: &[FinishedRun]) {
        for run in finished {
            let Some(vm) = self.vms.get_mut(key) else {
                return;
            };
            if run.number <= vm.finished_seen {
                continue;
            }
            vm.finished_seen = run.number;
            self.flush.add_unacknowledged(key);
            self.apply_finished_run(key, run);
        }
    }

    fn apply_running(&mut self, key: VmKey, sent: Time, answer: &PollAnswer) {
        let Some(vm) = self.vms.get(key) else { return };
        let mut not_listed = vm.runs.clone();
        let mut orphans = vms::Orphans {
            polled_at: sent,
            ..vms::Orphans::default()
        };
        let is_newest = sent >= vm.orphans.polled_at;
        for running in &answer.running {
            match self.match_run(key, running) {
                Some(run) => {
                    not_listed.remove(&run);
                }
                None => self.add_orphan(key, running, &mut orphans),
            }
        }
        if is_newest {
            self.set_orphans(key, orphans);
        }
        if answer.more {
            return;
        }
        for run in not_listed {
            self.run_not_listed(run, sent);
        }
    }

    /// A run is listed; returns it, taking over what a former holder started.
    fn match_run(&mut self, vm: VmKey, running: &RunningRun) -> Option<RunKey> {
        let job = self.jobs_by_id.get(&running.task.stage.job).copied();
        let stage = job.map(|job| StageKey {
            job,
            occurrence: running.task.stage.occurrence,
            step: running.task.stage.step,
        });
        let task = stage.and_then(|s| self.stage(s)?.tasks.get(running.task.index as usize));
        let Some((stage, task)) = stage.zip(task) else {
            self.stop_orphan(vm, running);
            return None;
        };
        let assigned = task.run.and_then(|r| Some((r, self.runs.get(&r)?)));
        let same = assigned.filter(|(_, r)| r.vm == vm && r.attempt == running.attempt);
        if let Some((run, _)) = same {
            self.confirm_run(run, running);
            return Some(run);
        }
        let ended = self.jobs.get(stage.job).is_none_or(super::job::Job::ended);
        // Only a first run may have no stored place; any other was given up.
        if task.done || ended || task.placed {
            self.stop_orphan(vm, running);
            return None;
        }
        Some(self.adopt_run(stage, vm, running))
    }

    /// Counts what a listed run takes that is no run of this holder.
    fn add_orphan(&self, vm: VmKey, running: &RunningRun, orphans: &mut vms::Orphans) {
        let job = self.jobs_by_id.get(&running.task.stage.job);
        let job = job.and_then(|&k| self.jobs.get(k));
        let step = job.and_then(|j| j.plan.steps.get(usize::from(running.task.stage.step)));
        match job.zip(step) {
            Some((job, step)) => {
                orphans.allocation.add(&step.allocation());
                orphans.needs.push((job.account.clone(), step.need));
            }
            None => {
                // Nothing is known of what it takes, so nothing is put beside it.
                let all = self.vms.get(vm).map(|v| v.registration.capacity);
                orphans.allocation.add(&all.unwrap_or_default());
                orphans.needs.push(Default::default());
            }
        }
    }

    fn apply_finished_run(&mut self, vm: VmKey, finished: &FinishedRun) {
        let Some(&job) = self.jobs_by_id.get(&finished.task.stage.job) else {
            return;
        };
        let stage = StageKey {
            job,
            occurrence: finished.task.stage.occurrence,
            step: finished.task.stage.step,
        };
        let index = finished.task.index;
        let Some(task) = self.stage(stage).and_then(|s| s.tasks.get(index as usize)) else {
            return;
        };
        let run = task.run.filter(|r| {
            let run = self.runs.get(r);
            run.is_some_and(|r| r.vm == vm && r.attempt == finished.attempt)
        });
        if !finished.checkpoint.is_empty() && !task.done {
            let checkpoint = finished.checkpoint.clone();
            self.store_checkpoint(stage, index, checkpoint);
        }
        let took = run.and_then(|r| self.runs.get(&r)).map(|r| r.sent_at);
        if let Some(run) = run {
            self.remove_run(run);
        }
        match finished.outcome {
            RunOutcome::Done => self.complete_task(stage, index, vm, took),
            RunOutcome::Failed => self.fail_task(stage, index, vm, finished.attempt),
            RunOutcome::Stopped
            | RunOutcome::LeaseExpired
            | RunOutcome::GangBroken
            | RunOutcome::GangIncomplete => {
                self.requeue_task(stage, index, run.is_some(), finished.outcome);
            }
        }
    }
}
