//! Looks at VMs: they renew leases, and bring what runs and what ended.
//!
//! One look waits at each VM for an end. A second one may go beside it when
//! an answer is needed at once. Answers may overtake each other; each is judged
//! by when its look was sent.

use super::*;
use crate::effect::LookKey;
use crate::event::LookError;
use crate::vm::EndRow;
use crate::vm::How;
use crate::vm::Look;
use crate::vm::RunningRow;

/// Pause before the next look at a VM that did not answer, at first.
const RETRY: Duration = Duration::from_millis(150);
/// Weight of a look at a VM without runs in its slowness.
const FORGET_WEIGHT: f64 = 0.2;
/// Longest such pause.
const RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Time after which a look of another kind than the waiting one is given up.
const LOOK_LOST: Duration = Duration::from_millis(3_500);

/// The looks at one VM.
#[derive(Debug, Default)]
pub(super) struct Looks {
    next: u64,
    /// Looks without an answer, and when each was sent.
    sent: BTreeMap<u64, Time>,
    /// When the next is due, once none waits.
    at: Option<Time>,
    /// Looks without an answer in a row.
    pub(super) silent: u32,
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
        let lost = |at: &Time| now > *at + LOOK_LOST;
        self.sent.values().all(lost) && self.at.is_some_and(|at| now >= at)
    }
}

impl Holder {
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
        let (now, lease, wait) = (self.now, self.tuning.lease, self.tuning.look_wait);
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
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
        vm.looks.sent.insert(seq, now);
        vm.looks.at = Some(now + LOOK_LOST);
        let effect = Effect::Look {
            key: LookKey { vm: key, seq },
            to: vm.target(),
            seen: vm.ends_stored,
            lease_until_ms: until,
            wait,
        };
        self.fx.push(effect);
    }

    /// Takes in the answer to a look.
    pub(super) fn looked(&mut self, key: LookKey, answer: Result<Look, LookError>) {
        let Some(vm) = self.vms.get_mut(key.vm) else {
            return;
        };
        let Some(sent) = vm.looks.sent.remove(&key.seq) else {
            return;
        };
        match answer {
            Ok(look) => self.look_came(key.vm, sent, look),
            Err(LookError::Fenced) => self.step_down(),
            Err(LookError::OtherIncarnation) => self.other_incarnation(key.vm),
            Err(LookError::Silent) => self.look_silent(key.vm),
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

    fn look_silent(&mut self, key: VmKey) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.looks.silent += 1;
        let pause = RETRY.times(u64::from(vm.looks.silent)).min(RETRY_MAX);
        vm.looks.at = Some(now + pause);
        if vm.looks.silent == 1 {
            let note = format!("vm={} runs={}", vm.report.id, vm.runs.len());
            self.note(0, "vm silent", note);
        }
    }

    fn look_came(&mut self, key: VmKey, sent: Time, look: Look) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if let Some(born) = look.born_ms {
            if born < vm.report.born_ms {
                return self.look_soon(key);
            }
            if born > vm.report.born_ms {
                let known = vm.report.born_ms > 0;
                vm.report.born_ms = born;
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
        self.take_ends(key, &look.ended);
        self.take_running(key, sent, &look);
        self.look_again(key);
    }

    /// Plans the next look: at once, or when the ends taken in are stored.
    fn look_again(&mut self, key: VmKey) {
        let (now, pause) = (self.now, self.tuning.look_pause);
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

    fn take_ends(&mut self, key: VmKey, ends: &[EndRow]) {
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

    fn take_running(&mut self, key: VmKey, sent: Time, look: &Look) {
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
    fn run_seen(&mut self, vm: VmKey, row: &RunningRow) -> Option<RunKey> {
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
        let (ended, before) = match self.jobs.get(stage.job) {
            Some(job) => (job.ended(), job.attempts_before),
            None => (true, 0),
        };
        // Only what a former holder started is taken over; a run of this holder
        // that it does not know any more is one that it gave up.
        let former = row.attempt <= before && task.attempt <= before;
        if task.done || ended || held.is_some() || !former {
            self.stop_unknown(vm, row);
            return None;
        }
        Some(self.run_adopted(stage, vm, row))
    }

    /// Counts what a listed run takes that is no run of this holder.
    fn add_stray(&self, vm: VmKey, row: &RunningRow, strays: &mut vms::Strays) {
        let job = self.by_id.get(&row.task.stage.job);
        let job = job.and_then(|&k| self.jobs.get(k));
        let step = job.and_then(|j| j.plan.steps.get(usize::from(row.task.stage.step)));
        match job.zip(step) {
            Some((job, step)) => {
                strays.room.add(&step.room());
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

    fn run_ended(&mut self, vm: VmKey, end: &EndRow) {
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
        if !end.saved.is_empty() && !task.done {
            let saved = end.saved.clone();
            self.keep_saved(stage, index, saved);
        }
        let took = run.and_then(|r| self.runs.get(&r)).map(|r| r.sent);
        if let Some(run) = run {
            self.forget_run(run);
        }
        match end.how {
            How::Done => self.task_done(stage, index, vm, took),
            How::Failed => self.task_failed(stage, index, vm, end.attempt),
            How::Stopped | How::Lapsed | How::Broken | How::Alone => {
                self.task_again(stage, index, run.is_some(), end.how);
            }
        }
    }
}
