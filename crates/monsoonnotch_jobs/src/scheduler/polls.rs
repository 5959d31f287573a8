//! Status polls of VMs, which renew leases and return the running and finished runs.
//!
//! One long poll waits at each VM for a run to finish. A second one may be sent
//! beside it if an answer is needed at once. Answers may overtake each other, so
//! each is interpreted by the time at which its poll was sent.

use super::*;
use crate::effect::PollKey;
use crate::event::PollError;
use crate::journal::CHECKPOINT_BYTES_MAX;
use crate::vm::FinishedRun;
use crate::vm::PollAnswer;
use crate::vm::RunOutcome;
use crate::vm::RunningRun;

/// Shortest timeout of a poll beyond its wait.
const POLL_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of a poll beyond its wait while this member is saturated. Finished runs count as
/// listed once a VM has sent an answer, so that late answers are read as well.
const SATURATED_POLL_MARGIN: Duration = Duration::from_millis(2_500);
/// Pause before the next poll of a VM that did not answer; grows with every further one.
const POLL_RETRY: Duration = Duration::from_millis(150);
/// Weight with which each poll of a VM without runs moves its slowness back to normal.
const IDLE_SLOWNESS_WEIGHT: f64 = 0.2;
/// Longest pause before the next poll of a VM that does not answer.
const POLL_RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Age after which a poll without a result counts as lost and the next one is sent.
const POLL_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Time beyond its wait after which an answer is overdue and a hedged poll is sent. A VM
/// answers in 2 ms, but a leader that is short of CPU processes the answer later.
const OVERDUE_AFTER: Duration = Duration::from_millis(120);
/// Maximum number of unanswered polls of one VM, including hedged ones.
const CONCURRENT_POLLS_MAX: usize = 3;
/// Number of VMs for each hedged poll that one scan may send. A VM that leaves polls unanswered
/// is polled again soon, but a leader that falls behind does not increase its own load.
const VMS_PER_HEDGED_POLL: usize = 32;
/// Number of hedged polls that one scan may send on a small fleet.
const HEDGED_POLLS_PER_SCAN_MIN: usize = 8;
/// The same while answers are late, because further polls are as late and add to the load.
const HEDGED_POLLS_PER_SATURATED_SCAN_MAX: usize = 1;
/// Wait of polls of VMs with urgent runs while VMs leave many orders unanswered: half the
/// usual run time of an urgent task.
const UNANSWERED_POLL_WAIT: Duration = Duration::from_millis(300);
/// Level of [`UnansweredRate`] from which polls wait only for [`UNANSWERED_POLL_WAIT`].
const UNANSWERED_THRESHOLD: f64 = 3.0;
/// Time constant of the decay of [`UnansweredRate`], in which the level falls to about a
/// third.
const UNANSWERED_DECAY: Duration = Duration::from_millis(2_000);

/// Decaying count of the orders that responsive VMs left unanswered.
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

    /// Counts one unanswered order.
    pub(super) fn record(&mut self, now: Time) {
        self.level = self.level_at(now) + 1.0;
        self.at = now;
    }

    /// Whether the level has reached [`UNANSWERED_THRESHOLD`].
    fn is_high(&self, now: Time) -> bool {
        self.level_at(now) >= UNANSWERED_THRESHOLD
    }
}

/// A poll without an answer.
#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    sent_at: Time,
    /// How long the VM may wait for a run to finish.
    wait: Duration,
    /// Completion number up to which the VM may forget finished runs.
    acknowledged: u64,
    /// Whether a later poll was answered while this one was overdue.
    overtaken: bool,
    /// Whether the time of its answer shows how saturated this member is. A first poll waits
    /// for a connection, and one after a silence may meet a broken one.
    timed: bool,
}

impl PendingPoll {
    /// Whether its answer is overdue.
    fn is_overdue(&self, now: Time) -> bool {
        now > self.sent_at + self.wait + OVERDUE_AFTER
    }
}

/// State of the polls of one VM.
#[derive(Debug, Default)]
pub(super) struct Polls {
    next_seq: u64,
    /// Polls without an answer, by sequence number.
    pending: BTreeMap<u64, PendingPoll>,
    /// When the next poll is due if none is pending; `None` before the first.
    next_at: Option<Time>,
    /// Number of polls that failed since the last answer.
    pub(super) unanswered: u32,
    /// When the first of them failed; `None` if the last poll was answered.
    pub(super) silent_since: Option<Time>,
    /// Sequence number of the latest poll that was answered.
    last_answered: u64,
    /// Whether the next poll is deferred until finished runs are stored.
    deferred: bool,
}

impl Polls {
    /// Discards the pending polls of the previous incarnation.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
        self.deferred = false;
    }

    /// Whether the next poll should be sent now.
    pub(super) fn is_due(&self, now: Time) -> bool {
        let lost = |s: &PendingPoll| now > s.sent_at + POLL_TIMEOUT;
        self.pending.values().all(lost) && self.next_at.is_some_and(|at| now >= at)
    }

    /// Marks a poll as answered.
    ///
    /// Returns how many earlier polls are overdue and were not counted before.
    fn mark_answered(&mut self, seq: u64, now: Time) -> usize {
        self.last_answered = self.last_answered.max(seq);
        let mut overtaken = 0;
        for (_, s) in self.pending.range_mut(..seq) {
            if !s.overtaken && s.is_overdue(now) {
                s.overtaken = true;
                overtaken += 1;
            }
        }
        overtaken
    }

    /// Whether a poll failed since the last answer, or one is overdue.
    pub(super) fn is_late(&self, now: Time) -> bool {
        self.unanswered > 0 || self.pending.values().any(|s| s.is_overdue(now))
    }

    /// Whether all pending polls are overdue and a hedged poll is still allowed.
    pub(super) fn is_overdue(&self, now: Time) -> bool {
        (1..CONCURRENT_POLLS_MAX).contains(&self.pending.len())
            && self.pending.values().all(|s| s.is_overdue(now))
    }
}

impl Scheduler {
    /// Sends hedged polls to VMs whose answers are overdue, so that finished runs there are
    /// not noticed late.
    pub(super) fn hedge_overdue_polls(&mut self) {
        let now = self.now;
        let limit = match self.answer_times.are_late() {
            true => HEDGED_POLLS_PER_SATURATED_SCAN_MAX,
            false => HEDGED_POLLS_PER_SCAN_MIN.max(self.vms.len() / VMS_PER_HEDGED_POLL),
        };
        let overdue = |vm: &vms::Vm| vm.polls.unanswered == 0 && vm.polls.is_overdue(now);
        let late = self.vms.iter().filter(|(_, vm)| overdue(vm));
        let late: Vec<VmKey> = late.map(|(k, _)| k).take(limit).collect();
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

    /// Polls all VMs, also those that are unlisted.
    pub(super) fn poll_all(&mut self) {
        let keys: Vec<VmKey> = self.vms.iter().map(|(k, _)| k).collect();
        for key in keys {
            self.poll_now(key);
        }
    }

    /// Makes the next poll of a VM due at once, unless one is pending or due soon.
    pub(super) fn poll_soon(&mut self, key: VmKey) {
        let now = self.now;
        if let Some(vm) = self.vms.get_mut(key)
            && vm.polls.pending.is_empty()
            && vm.polls.next_at.is_none_or(|at| at > now + POLL_RETRY)
        {
            vm.polls.next_at = Some(now);
        }
    }

    /// Polls a VM now, even if another poll is pending there.
    pub(super) fn poll_now(&mut self, key: VmKey) {
        if self.marker.is_none() || self.stopped {
            return;
        }
        let (now, lease) = (self.now, self.tuning.lease);
        let wait = match self.unanswered_orders.is_high(now) && self.has_urgent_runs(key) {
            true => UNANSWERED_POLL_WAIT,
            false => self.tuning.poll_wait,
        };
        let timeout = match self.answer_times.is_saturated(now) {
            true => SATURATED_POLL_MARGIN,
            false => self.answer_times.timeout(POLL_MARGIN),
        };
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        // The address of an unlisted VM may be unknown.
        if vm.registration.addr.is_empty() {
            return;
        }
        let first = !vm.answered || vm.polls.unanswered > 0;
        let all_stored = vm.finished_stored >= vm.finished_seen;
        let hedged = !vm.polls.pending.is_empty();
        // Completion numbers begin anew in each incarnation. If the VM may have restarted
        // since its last answer, an acknowledgement could discard finished runs of the new
        // incarnation that were never listed.
        let may_have_restarted = first || hedged || !vm.unanswered_starts.is_empty();
        let acknowledged = match may_have_restarted {
            true => 0,
            false => vm.finished_stored,
        };
        let acknowledges_all = vm.finished_acknowledged.max(acknowledged) >= vm.finished_seen;
        let wait = match first || hedged || !all_stored || !acknowledges_all {
            true => Duration::default(),
            false => wait,
        };
        // No new lease is requested from an unresponsive VM: it might grant the lease
        // while its answers are lost, and its runs could never be dropped.
        let until = vm.clock_at(now);
        let until = until.map(|ms| ms.saturating_add(lease.as_millis()));
        let until = until.filter(|_| vm.polls.unanswered == 0 && !vm.lease_withheld);
        if let Some(until_ms) = until {
            vm.add_lease(now, until_ms);
        }
        vm.polls.next_seq += 1;
        let seq = vm.polls.next_seq;
        vm.polls.pending.insert(
            seq,
            PendingPoll {
                sent_at: now,
                wait,
                acknowledged,
                overtaken: false,
                timed: !first && wait == Duration::default(),
            },
        );
        vm.polls.next_at = Some(now + POLL_TIMEOUT);
        let effect = Effect::Poll {
            key: PollKey { vm: key, seq },
            to: vm.target(),
            acknowledged,
            lease_until_ms: until,
            wait,
            timeout,
        };
        self.effects.push(effect);
    }

    /// Applies the result of a poll.
    pub(super) fn poll_answered(&mut self, key: PollKey, answer: Result<PollAnswer, PollError>) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key.vm) else {
            return;
        };
        let Some(pending) = vm.polls.pending.remove(&key.seq) else {
            return;
        };
        // Polls of an earlier incarnation were discarded at the restart, so this one restarted
        // with a time of day that was behind, and its numbers and clock are not the known ones.
        let started_ms = vm.registration.started_ms;
        let is_earlier = |a: &PollAnswer| a.started_ms.is_some_and(|ms| ms < started_ms);
        let answer = match answer {
            Ok(a) if is_earlier(&a) && !vm.answered => return self.correct_start(key.vm, &a),
            Ok(a) if is_earlier(&a) => Err(PollError::Unresponsive),
            answer => answer,
        };
        let overtaken = match answer {
            Ok(_) => vm.polls.mark_answered(key.seq, now),
            Err(_) => 0,
        };
        if answer.is_ok() && pending.timed {
            self.answer_times.record(now.since(pending.sent_at), now);
        }
        (0..overtaken).for_each(|_| self.unanswered_orders.record(now));
        match answer {
            Ok(answer) => self.apply_poll_answer(key.vm, pending, answer),
            Err(PollError::Fenced) => self.step_down(),
            Err(PollError::OtherIncarnation) => self.other_incarnation(key.vm),
            Err(PollError::Unresponsive) => self.poll_unanswered(key),
        }
    }

    /// Takes the start of a VM's incarnation from its answer, because only an entry says that a
    /// later one exists. Another writer may have left that entry.
    fn correct_start(&mut self, key: VmKey, answer: &PollAnswer) {
        let (Some(vm), Some(started_ms)) = (self.vms.get_mut(key), answer.started_ms) else {
            return;
        };
        vm.registration.started_ms = started_ms;
        self.reset_incarnation(key);
    }

    /// Drops the runs of a VM after another incarnation answered at its address.
    ///
    /// Only a poll shows that, because polls of an earlier incarnation are discarded. An
    /// order may have been sent to an address that a newer registration has replaced.
    fn other_incarnation(&mut self, key: VmKey) {
        let now = self.now;
        self.record_crash(key);
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.answered = false;
        // Whatever a predecessor started there has ended with it.
        vm.in_predecessor_fleet = false;
        vm.polls.unanswered += 1;
        vm.polls.silent_since.get_or_insert(now);
        vm.polls.next_at = Some(now + POLL_RETRY_MAX);
        for run in vm.runs.clone() {
            self.lose_run(run, "another incarnation answered");
        }
        self.placement_needed = true;
    }

    fn poll_unanswered(&mut self, key: PollKey) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key.vm) else {
            return;
        };
        // The VM is responsive if it answered a later poll.
        if vm.polls.last_answered > key.seq {
            return self.schedule_next_poll(key.vm);
        }
        vm.polls.unanswered += 1;
        vm.polls.silent_since.get_or_insert(now);
        let pause = POLL_RETRY
            .times(u64::from(vm.polls.unanswered))
            .min(POLL_RETRY_MAX);
        vm.polls.next_at = Some(now + pause);
        if vm.polls.unanswered == 1 {
            let detail = format!("vm={} runs={}", vm.registration.id, vm.runs.len());
            self.log(0, "vm unresponsive", detail);
        }
    }

    fn apply_poll_answer(&mut self, key: VmKey, poll: PendingPoll, answer: PollAnswer) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if let Some(started_ms) = answer.started_ms
            && started_ms > vm.registration.started_ms
        {
            let known = vm.registration.started_ms > 0;
            vm.registration.started_ms = started_ms;
            if known {
                self.record_crash(key);
                return self.reset_incarnation(key);
            }
        }
        let unanswered = std::mem::take(&mut vm.polls.unanswered);
        vm.polls.silent_since = None;
        let first = !std::mem::replace(&mut vm.answered, true);
        if first {
            vm.fence_incarnation(now, &self.tuning);
        }
        vm.alive_at = Some(now);
        vm.clock = Some((now, answer.clock_ms));
        vm.finished_acknowledged = vm.finished_acknowledged.max(poll.acknowledged);
        let known = |_: &RunKey, sent: &mut Time| *sent <= poll.sent_at;
        for (run, _) in vm.unanswered_starts.extract_if(.., known) {
            self.answer_times.window.closed(run);
        }
        if answer.running.is_empty() {
            // Without runs, nothing else would ever lower the slowness.
            vm.health.record_slowness(1.0, IDLE_SLOWNESS_WEIGHT);
        }
        let id = vm.registration.id.clone();
        if unanswered > 0 || first {
            self.log(
                0,
                "vm responsive",
                format!("vm={id} silent={unanswered} first={first}"),
            );
            self.placement_needed = true;
        }
        self.apply_finished(key, &answer.finished);
        self.apply_running(key, poll.sent_at, &answer);
        self.schedule_next_poll(key);
    }

    /// Sends the next poll, unless one is pending; deferred until the finished runs that
    /// were applied are stored.
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

    /// Records that the finished runs of a VM up to completion number `number` are stored,
    /// and sends a poll that was deferred until then.
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

    fn apply_running(&mut self, key: VmKey, polled_at: Time, answer: &PollAnswer) {
        let Some(vm) = self.vms.get(key) else { return };
        let mut not_listed = vm.runs.clone();
        let mut orphans = vms::Orphans {
            polled_at,
            ..vms::Orphans::default()
        };
        let is_newest = polled_at >= vm.orphans.polled_at;
        for running in &answer.running {
            match self.match_run(key, running) {
                Some(run) => {
                    not_listed.remove(&run);
                    self.clear_suspect(run, polled_at);
                }
                None => self.add_orphan(key, running, &mut orphans),
            }
        }
        if is_newest {
            self.set_orphans(key, orphans);
        }
        if answer.more {
            let id = self.vms.get(key).map_or("", |v| &v.registration.id);
            let (running, finished) = (answer.running.len(), answer.finished.len());
            let detail = format!("vm={id} running={running} finished={finished}");
            return self.warn(0, "vm list incomplete", detail);
        }
        for run in not_listed {
            self.run_not_listed(run, polled_at);
        }
    }

    /// Returns the run that a listed task belongs to, adopting runs that a predecessor
    /// started; stops the task and returns `None` if there is none.
    fn match_run(&mut self, vm: VmKey, running: &RunningRun) -> Option<RunKey> {
        let stage = self.listed_stage(&running.task.stage);
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
        // Only a first placement may be missing from the journal. Any other unknown run
        // was dropped before.
        if task.done || ended || task.was_placed() {
            self.stop_orphan(vm, running);
            return None;
        }
        Some(self.adopt_run(stage, vm, running))
    }

    /// Adds the resources of an orphaned run to `orphans`.
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
                // Its needs are unknown, so nothing else is started on the VM.
                let all = self.vms.get(vm).map(|v| v.registration.capacity);
                orphans.allocation.add(&all.unwrap_or_default());
                orphans.needs.push(Default::default());
            }
        }
    }

    fn apply_finished_run(&mut self, vm: VmKey, finished: &FinishedRun) {
        let Some(stage) = self.listed_stage(&finished.task.stage) else {
            return;
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
            if checkpoint.len() > CHECKPOINT_BYTES_MAX {
                let detail = format!("index={index} bytes={}", checkpoint.len());
                self.warn(finished.task.stage.job.0, "checkpoint too long", detail);
            }
            self.set_checkpoint(stage, index, checkpoint);
        }
        let sent_at = run.and_then(|r| self.runs.get(&r)).map(|r| r.sent_at);
        if let Some(run) = run {
            self.remove_run(run);
        }
        match finished.outcome {
            RunOutcome::Done => self.complete_task(stage, index, vm, sent_at),
            RunOutcome::Failed => self.fail_task(stage, index, vm, finished.attempt),
            RunOutcome::Stopped
            | RunOutcome::LeaseExpired
            | RunOutcome::GangBroken
            | RunOutcome::GangIncomplete => {
                self.requeue_task(stage, index, run.is_some(), finished.outcome);
            }
        }
        self.add_finished(stage, index, vm);
    }
}
