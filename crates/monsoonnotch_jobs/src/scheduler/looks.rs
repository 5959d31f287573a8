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
const RETRY: Duration = Duration::from_millis(150);
/// Weight of a look at a VM without runs in its slowness.
const FORGET_WEIGHT: f64 = 0.2;
/// Longest such pause.
const RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Time after which a look of another kind than the waiting one is given up.
const LOOK_LOST: Duration = Duration::from_millis(3_500);
/// Time beyond its wait after which an answer is overdue and another look goes out
/// beside it: a VM answers in 2 ms, a holder short of processor reads it later.
const OVERDUE: Duration = Duration::from_millis(120);
/// Looks at one VM that may be without an answer at once.
const BESIDE_MAX: usize = 3;
/// Looks sent beside overdue ones in one scan, at most, so that a holder that
/// falls behind does not add to its own load.
const BESIDE_SCAN_MAX: usize = 8;
/// Wait of looks at VMs with urgent runs while VMs leave orders unanswered: half
/// of the usual time of an urgent task.
const MUTED_WAIT: Duration = Duration::from_millis(300);
/// Unanswered orders, fading with time, above which VMs count as muted.
const MUTED_LEVEL: f64 = 3.0;
/// Time in which the count of unanswered orders fades to a third.
const MUTED_FADE: Duration = Duration::from_millis(2_000);

/// How many orders VMs that live have left unanswered lately.
#[derive(Debug, Default)]
pub(super) struct Muted {
    level: f64,
    at: Time,
}

impl Muted {
    fn level_at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_millis() as f64;
        self.level * (-age / MUTED_FADE.as_millis() as f64).exp()
    }

    /// Counts one order that was left unanswered.
    pub(super) fn count(&mut self, now: Time) {
        self.level = self.level_at(now) + 1.0;
        self.at = now;
    }

    /// Whether VMs leave so many orders unanswered that answers are not waited for long.
    fn is_high(&self, now: Time) -> bool {
        self.level_at(now) >= MUTED_LEVEL
    }
}

/// A look without an answer.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Time,
    /// How long the VM may wait for an end.
    wait: Duration,
    /// Whether a later look was answered before it.
    passed: bool,
}

/// The looks at one VM.
#[derive(Debug, Default)]
pub(super) struct Looks {
    next: u64,
    /// Looks without an answer.
    sent: BTreeMap<u64, Sent>,
    /// When the next is due, once none waits.
    at: Option<Time>,
    /// Looks without an answer in a row.
    pub(super) silent: u32,
    /// The latest look that was answered.
    answered: u64,
    /// Whether ends wait to be stored before the next look.
    held_back: bool,
}

impl Looks {
    /// Forgets looks at a former incarnation.
    pub(super) fn forget(&mut self) {
        self.sent.clear();
        self.held_back = false;
    }

    /// Whether a look should go out.
    pub(super) fn due(&self, now: Time) -> bool {
        let lost = |s: &Sent| now > s.at + LOOK_LOST;
        self.sent.values().all(lost) && self.at.is_some_and(|at| now >= at)
    }

    /// Takes in that a look was answered; says how many earlier ones are overdue,
    /// each counted once.
    fn pass(&mut self, seq: u64, now: Time) -> usize {
        self.answered = self.answered.max(seq);
        let mut passed = 0;
        for (_, s) in self.sent.range_mut(..seq) {
            if !s.passed && now > s.at + s.wait + OVERDUE {
                s.passed = true;
                passed += 1;
            }
        }
        passed
    }

    /// Whether no look is answered although its wait is over.
    pub(super) fn overdue(&self, now: Time) -> bool {
        let late = |s: &Sent| now > s.at + s.wait + OVERDUE;
        (1..BESIDE_MAX).contains(&self.sent.len()) && self.sent.values().all(late)
    }
}

impl Scheduler {
    /// Looks again at VMs whose answers are overdue: ends there would show late.
    pub(super) fn look_beside(&mut self) {
        let now = self.now;
        let overdue = |vm: &vms::Vm| vm.looks.silent == 0 && vm.looks.overdue(now);
        let late = self.vms.iter().filter(|(_, vm)| overdue(vm));
        let late: Vec<VmKey> = late.map(|(k, _)| k).take(BESIDE_SCAN_MAX).collect();
        for key in late {
            self.look_now(key);
        }
    }

    fn has_urgent_runs(&self, key: VmKey) -> bool {
        let Some(vm) = self.vms.get(key) else {
            return false;
        };
        let stages = vm.runs.iter().filter_map(|r| Some(self.runs.get(r)?.stage));
        let mut ranks = stages.filter_map(|s| Some(self.stage(s)?.rank));
        ranks.any(|rank| rank.class == place::URGENT)
    }

    /// Looks at every VM of the list.
    pub(super) fn look_at_all(&mut self) {
        let keys: Vec<VmKey> = self.vms.iter().map(|(k, _)| k).collect();
        for key in keys {
            self.look_now(key);
        }
    }

    /// Has a VM looked at, unless a look is on its way.
    pub(super) fn look_soon(&mut self, key: VmKey) {
        let now = self.now;
        if let Some(vm) = self.vms.get_mut(key)
            && vm.looks.sent.is_empty()
            && vm.looks.at.is_none_or(|at| at > now + RETRY)
        {
            vm.looks.at = Some(now);
        }
    }

    /// Looks at a VM now, beside a look that may be waiting there.
    pub(super) fn look_now(&mut self, key: VmKey) {
        if self.marker.is_none() || self.over {
            return;
        }
        let (now, lease) = (self.now, self.tuning.lease);
        let wait = match self.muted.is_high(now) && self.has_urgent_runs(key) {
            true => MUTED_WAIT,
            false => self.tuning.poll_wait,
        };
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        // Of a VM that the list does not name no address may be known.
        if vm.report.addr.is_empty() {
            return;
        }
        let first = !vm.answered || vm.looks.silent > 0;
        let stored = vm.ends_stored >= vm.ends_seen;
        let beside = !vm.looks.sent.is_empty();
        let wait = match first || beside || !stored {
            true => Duration::default(),
            false => wait,
        };
        // A VM that does not answer is asked for no longer lease: it might grant it
        // unheard, and what runs there could never be given up.
        let until = vm.clock_at(now).map(|c| c + lease.as_millis());
        let until = until.filter(|_| vm.looks.silent == 0);
        vm.lease_until_ms = vm.lease_until_ms.max(until.unwrap_or(0));
        vm.looks.next += 1;
        let seq = vm.looks.next;
        vm.looks.sent.insert(
            seq,
            Sent {
                at: now,
                wait,
                passed: false,
            },
        );
        vm.looks.at = Some(now + LOOK_LOST);
        let effect = Effect::Poll {
            key: PollKey { vm: key, seq },
            to: vm.target(),
            acknowledged: vm.ends_stored,
            lease_until_ms: until,
            wait,
        };
        self.fx.push(effect);
    }

    /// Takes in the answer to a look.
    pub(super) fn looked(&mut self, key: PollKey, answer: Result<PollAnswer, PollError>) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key.vm) else {
            return;
        };
        let Some(sent) = vm.looks.sent.remove(&key.seq) else {
            return;
        };
        let passed = match answer {
            Ok(_) => vm.looks.pass(key.seq, now),
            Err(_) => 0,
        };
        (0..passed).for_each(|_| self.muted.count(now));
        match answer {
            Ok(look) => self.look_came(key.vm, sent.at, look),
            Err(PollError::Fenced) => self.step_down(),
            Err(PollError::OtherIncarnation) => self.other_incarnation(key.vm),
            Err(PollError::Unresponsive) => self.look_silent(key),
        }
    }

    /// The VM's address belongs to another incarnation now.
    pub(super) fn other_incarnation(&mut self, key: VmKey) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.answered = false;
        vm.looks.silent += 1;
        vm.looks.at = Some(now + RETRY_MAX);
        for run in vm.runs.clone() {
            self.run_gone(run, "another incarnation answered");
        }
    }

    fn look_silent(&mut self, key: PollKey) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key.vm) else {
            return;
        };
        // One that was sent later has been answered: the VM lives.
        if vm.looks.answered > key.seq {
            return self.look_again(key.vm);
        }
        vm.looks.silent += 1;
        let pause = RETRY.times(u64::from(vm.looks.silent)).min(RETRY_MAX);
        vm.looks.at = Some(now + pause);
        if vm.looks.silent == 1 {
            let note = format!("vm={} runs={}", vm.report.id, vm.runs.len());
            self.note(0, "vm silent", note);
        }
    }

    fn look_came(&mut self, key: VmKey, sent: Time, look: PollAnswer) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if let Some(born) = look.started_ms {
            if born < vm.report.started_ms {
                return self.look_soon(key);
            }
            if born > vm.report.started_ms {
                let known = vm.report.started_ms > 0;
                vm.report.started_ms = born;
                if known {
                    return self.vm_reborn(key);
                }
            }
        }
        let silent = std::mem::take(&mut vm.looks.silent);
        let first = !std::mem::replace(&mut vm.answered, true);
        vm.clock = Some((now, look.clock_ms));
        if look.running.is_empty() {
            // Without runs nothing else would ever clear it.
            vm.health.learn_slowness(1.0, FORGET_WEIGHT);
        }
        let id = vm.report.id.clone();
        if silent > 0 || first {
            self.note(
                0,
                "vm answers",
                format!("vm={id} silent={silent} first={first}"),
            );
            self.changed = true;
        }
        self.take_ends(key, &look.finished);
        self.take_running(key, sent, &look);
        self.look_again(key);
    }

    /// Plans the next look: at once, or when the ends taken in are stored.
    fn look_again(&mut self, key: VmKey) {
        let (now, pause) = (self.now, self.tuning.poll_pause);
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if !vm.looks.sent.is_empty() {
            return;
        }
        if vm.ends_stored < vm.ends_seen {
            vm.looks.held_back = true;
            vm.looks.at = Some(now + pause);
            return;
        }
        self.look_now(key);
    }

    /// Looks again at VMs whose ends have just been stored.
    pub(super) fn ends_stored(&mut self, key: VmKey, number: u64) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.ends_stored = vm.ends_stored.max(number);
        let go_on = vm.looks.held_back && vm.ends_stored >= vm.ends_seen;
        if go_on {
            vm.looks.held_back = false;
            if vm.looks.sent.is_empty() {
                self.look_now(key);
            }
        }
    }

    fn take_ends(&mut self, key: VmKey, ends: &[FinishedRun]) {
        for end in ends {
            let Some(vm) = self.vms.get_mut(key) else {
                return;
            };
            if end.number <= vm.ends_seen {
                continue;
            }
            vm.ends_seen = end.number;
            self.flush.ends_came(key);
            self.run_ended(key, end);
        }
    }

    fn take_running(&mut self, key: VmKey, sent: Time, look: &PollAnswer) {
        let Some(vm) = self.vms.get(key) else { return };
        let mut unseen = vm.runs.clone();
        let mut strays = vms::Strays {
            sent,
            ..vms::Strays::default()
        };
        let newer = sent >= vm.strays.sent;
        for row in &look.running {
            match self.run_seen(key, row) {
                Some(run) => {
                    unseen.remove(&run);
                }
                None => self.add_stray(key, row, &mut strays),
            }
        }
        if newer {
            self.set_strays(key, strays);
        }
        if look.more {
            return;
        }
        for run in unseen {
            self.run_not_seen(run, sent);
        }
    }

    /// A run is listed; returns it, taking over what a former holder started.
    fn run_seen(&mut self, vm: VmKey, row: &RunningRun) -> Option<RunKey> {
        let job = self.by_id.get(&row.task.stage.job).copied();
        let stage = job.map(|job| StageKey {
            job,
            occurrence: row.task.stage.occurrence,
            step: row.task.stage.step,
        });
        let task = stage.and_then(|s| self.stage(s)?.tasks.get(row.task.index as usize));
        let Some((stage, task)) = stage.zip(task) else {
            self.stop_unknown(vm, row);
            return None;
        };
        let held = task.run.and_then(|r| Some((r, self.runs.get(&r)?)));
        let same = held.filter(|(_, r)| r.vm == vm && r.attempt == row.attempt);
        if let Some((run, _)) = same {
            self.run_confirmed(run, row);
            return Some(run);
        }
        let ended = self.jobs.get(stage.job).is_none_or(super::job::Job::ended);
        // Only a first run may have no stored place; any other was given up.
        if task.done || ended || task.placed {
            self.stop_unknown(vm, row);
            return None;
        }
        Some(self.run_adopted(stage, vm, row))
    }

    /// Counts what a listed run takes that is no run of this holder.
    fn add_stray(&self, vm: VmKey, row: &RunningRun, strays: &mut vms::Strays) {
        let job = self.by_id.get(&row.task.stage.job);
        let job = job.and_then(|&k| self.jobs.get(k));
        let step = job.and_then(|j| j.plan.steps.get(usize::from(row.task.stage.step)));
        match job.zip(step) {
            Some((job, step)) => {
                strays.room.add(&step.allocation());
                strays.needs.push((job.account.clone(), step.need));
            }
            None => {
                // Nothing is known of what it takes, so nothing is put beside it.
                let all = self.vms.get(vm).map(|v| v.report.capacity);
                strays.room.add(&all.unwrap_or_default());
                strays.needs.push(Default::default());
            }
        }
    }

    fn run_ended(&mut self, vm: VmKey, end: &FinishedRun) {
        let Some(&job) = self.by_id.get(&end.task.stage.job) else {
            return;
        };
        let stage = StageKey {
            job,
            occurrence: end.task.stage.occurrence,
            step: end.task.stage.step,
        };
        let index = end.task.index;
        let Some(task) = self.stage(stage).and_then(|s| s.tasks.get(index as usize)) else {
            return;
        };
        let run = task.run.filter(|r| {
            let run = self.runs.get(r);
            run.is_some_and(|r| r.vm == vm && r.attempt == end.attempt)
        });
        if !end.checkpoint.is_empty() && !task.done {
            let saved = end.checkpoint.clone();
            self.keep_saved(stage, index, saved);
        }
        let took = run.and_then(|r| self.runs.get(&r)).map(|r| r.sent);
        if let Some(run) = run {
            self.forget_run(run);
        }
        match end.outcome {
            RunOutcome::Done => self.task_done(stage, index, vm, took),
            RunOutcome::Failed => self.task_failed(stage, index, vm, end.attempt),
            RunOutcome::Stopped
            | RunOutcome::LeaseExpired
            | RunOutcome::GangBroken
            | RunOutcome::GangIncomplete => {
                self.task_again(stage, index, run.is_some(), end.outcome);
            }
        }
    }
}
