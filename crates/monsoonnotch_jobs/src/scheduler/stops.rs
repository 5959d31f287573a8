//! Stops of runs and of orphaned runs: sent, answered, sent again.

use super::runs::State;
use super::*;
use crate::event::StopAnswer;
use crate::vm::RunningRun;

/// Shortest timeout of a stop. A VM answers in 2 ms, but a leader that is short of CPU
/// processes the answer later.
const STOP_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an unanswered stop is sent again, longer than the timeout of an
/// order. It doubles with every further stop, up to [`STOP_RETRY_MAX`].
const STOP_RETRY: Duration = Duration::from_millis(450);
/// Longest time between two stops of a run. A longer one has no use, because leases
/// expire in a few seconds.
const STOP_RETRY_MAX: Duration = Duration::from_millis(2_000);

impl Scheduler {
    /// Stops a listed run that no task of this scheduler has.
    pub(super) fn stop_orphan(&mut self, vm: VmKey, running: &RunningRun) {
        let Some(to) = self.vms.get(vm).map(vms::Vm::target) else {
            return;
        };
        // The key belongs to no run, because nothing waits for the answer: each poll that
        // lists the orphaned run stops it again.
        let run = RunKey(0);
        let id = &to.id;
        let detail = format!(
            "step={} occurrence={} index={} attempt={} vm={id}",
            running.task.stage.step,
            running.task.stage.occurrence,
            running.task.index,
            running.attempt
        );
        self.warn(running.task.stage.job.0, "orphan stopped", detail);
        let timeout = self.answer_times.timeout(STOP_TIMEOUT);
        self.effects.push(Effect::Stop {
            run,
            to,
            task: running.task,
            attempt: running.attempt,
            timeout,
        });
    }

    /// Handles a run that is missing from the answer to a poll sent at `polled_at`.
    ///
    /// A poll sent in the same step as a state began was sent after the answer that led to
    /// that state, so it counts.
    pub(super) fn run_not_listed(&mut self, key: RunKey, polled_at: Time) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        match run.state {
            State::Planned | State::Starting => {}
            State::Inherited => self.lose_run(key, "the predecessor did not start it"),
            State::Uncertain if polled_at >= run.sent_at => self.stop_run(key, "start unanswered"),
            State::Uncertain => {}
            State::Running { since } if polled_at >= since => self.lose_run(key, "not listed"),
            State::Running { .. } => {}
            State::Stopping { answered_at, .. } => {
                if answered_at.is_some_and(|at| polled_at >= at) {
                    self.lose_run(key, "stopped before it started");
                }
            }
        }
    }

    /// Stops a run or prevents its start.
    pub(super) fn stop_run(&mut self, key: RunKey, why: &'static str) {
        let now = self.now;
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let mut prior_sends = 0;
        match run.state {
            State::Planned => return self.lose_run(key, "not sent"),
            // The next poll of its VM shows whether there is anything to stop.
            State::Inherited => return,
            _ => {}
        }
        if let State::Stopping {
            answered_at,
            sent_at,
            sends,
            ..
        } = run.state
        {
            if answered_at.is_some() || now < self.stop_retry_at(sent_at, sends) {
                return;
            }
            prior_sends = sends;
        }
        let Some(vm) = self.vms.get(run.vm) else {
            return;
        };
        let to = vm.target();
        let state = State::Stopping {
            answered_at: None,
            sent_at: now,
            vm_started_ms: vm.registration.started_ms,
            sends: prior_sends + 1,
        };
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        run.state = state;
        let (attempt, stage, index) = (run.attempt, run.stage, run.index);
        let task = self.task_id(stage, index);
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let detail = format!("{} why={why:?}", self.describe_run(run));
        let timeout = self.answer_times.timeout(STOP_TIMEOUT);
        self.effects.push(Effect::Stop {
            run: key,
            to,
            task,
            attempt,
            timeout,
        });
        self.log(task.stage.job.0, "run stopped", detail);
    }

    /// Applies the answer to a stop.
    pub(super) fn stop_answered(&mut self, key: RunKey, answer: StopAnswer) {
        let now = self.now;
        if answer == StopAnswer::Fenced {
            return self.order_fenced(self.runs.get(&key).map(|run| run.vm));
        }
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let State::Stopping {
            answered_at,
            vm_started_ms,
            ..
        } = &mut run.state
        else {
            return;
        };
        let vm = self.vms.get(run.vm).map(|v| v.registration.started_ms);
        match answer {
            // The answer of a previous incarnation says nothing about the present one.
            StopAnswer::Accepted if vm != Some(*vm_started_ms) => {}
            StopAnswer::Accepted => {
                *answered_at = Some(now);
                let vm = run.vm;
                self.poll_now(vm);
            }
            StopAnswer::OtherIncarnation => {
                let vm = run.vm;
                self.poll_now(vm);
            }
            StopAnswer::Fenced | StopAnswer::Unknown => {}
        }
    }

    /// Sends unanswered stops again, stops uncertain runs, and drops inherited runs whose
    /// VM has not answered by the time that the predecessor's leases have expired.
    pub(super) fn scan_runs(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        let mut expired = Vec::new();
        for (&key, run) in &self.runs {
            let due = match run.state {
                State::Stopping {
                    answered_at,
                    sent_at,
                    sends,
                    ..
                } => answered_at.is_none() && now >= self.stop_retry_at(sent_at, sends),
                State::Uncertain => now >= run.sent_at + STOP_RETRY,
                State::Planned | State::Inherited | State::Starting | State::Running { .. } => {
                    false
                }
            };
            let expire = |v: &vms::Vm| !v.answered && now >= v.predecessor_leases_expire_at;
            if run.state == State::Inherited && self.vms.get(run.vm).is_some_and(expire) {
                expired.push(key);
            }
            // An unresponsive VM gets no stops; its runs end when its leases expire.
            let responsive = || {
                let vm = self.vms.get(run.vm);
                vm.is_none_or(|v| v.polls.unanswered <= 1)
            };
            if due && responsive() {
                again.push(key);
            }
        }
        for key in again {
            self.stop_run(key, "unanswered");
        }
        for key in expired {
            self.lose_run(key, "lease of the predecessor expired");
        }
    }

    /// Returns when a stop that was sent `sends` times is sent again.
    fn stop_retry_at(&self, sent_at: Time, sends: u32) -> Time {
        let factor = 1 << sends.saturating_sub(1).min(4);
        let pause = STOP_RETRY.times(factor).min(STOP_RETRY_MAX);
        sent_at + self.answer_times.timeout(STOP_RETRY).max(pause)
    }
}
