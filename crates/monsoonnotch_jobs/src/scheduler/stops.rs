//! Stops of runs, and of what no task of ours has.

use super::runs::State;
use super::*;
use crate::event::StopAnswer;
use crate::vm::RunningRun;

/// Time after which a stop without an answer is sent again: above the timeout
/// of an order. Doubled with each further one, up to the longest.
const STOP_RETRY: Duration = Duration::from_millis(450);
/// Longest such time; leases lapse in a few seconds anyway.
const STOP_RETRY_MAX: Duration = Duration::from_millis(2_000);

impl Scheduler {
    /// Stops a run that no task of ours has.
    pub(super) fn stop_unknown(&mut self, vm: VmKey, row: &RunningRun) {
        let Some(to) = self.vms.get(vm).map(vms::Vm::target) else {
            return;
        };
        // Nothing waits for the answer: while it is listed it is stopped again.
        let run = RunKey(0);
        self.fx.push(Effect::Stop {
            run,
            to,
            task: row.task,
            attempt: row.attempt,
        });
    }

    /// A look that was sent at `sent` does not list a run.
    pub(super) fn run_not_seen(&mut self, key: RunKey, sent: Time) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        match run.state {
            State::Planned | State::Starting => {}
            State::Former => self.run_gone(key, "not started before"),
            State::Unsure if sent > run.sent => self.stop_run(key, "start unanswered"),
            State::Unsure => {}
            State::Running { since } if sent > since => self.run_gone(key, "not listed"),
            State::Running { .. } => {}
            State::Ending { voided, .. } => {
                if voided.is_some_and(|at| sent > at) {
                    self.run_gone(key, "stopped before it began");
                }
            }
        }
    }

    /// Stops a run, or keeps it from starting.
    pub(super) fn stop_run(&mut self, key: RunKey, why: &'static str) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let mut sent = 0;
        match run.state {
            State::Planned => return self.run_gone(key, "not sent"),
            // Its VM tells whether there is anything to stop.
            State::Former => return,
            _ => {}
        }
        if let State::Ending {
            voided,
            asked,
            times,
        } = run.state
        {
            if voided.is_some() || now < stop_again_at(asked, times) {
                return;
            }
            sent = times;
        }
        run.state = State::Ending {
            voided: None,
            asked: now,
            times: sent + 1,
        };
        let (vm, attempt, stage, index) = (run.vm, run.attempt, run.stage, run.index);
        let task = self.task_id(stage, index);
        let Some(vm) = self.vms.get(vm) else { return };
        let (to, id) = (vm.target(), vm.report.id.clone());
        self.fx.push(Effect::Stop {
            run: key,
            to,
            task,
            attempt,
        });
        let note = format!(
            "step={} index={index} attempt={attempt} vm={id} why={why:?}",
            stage.step
        );
        self.note(task.stage.job.0, "run stopped", note);
    }

    /// Takes in the answer to a stop.
    pub(super) fn stop_answered(&mut self, key: RunKey, answer: StopAnswer) {
        let now = self.now;
        if answer == StopAnswer::Fenced {
            return self.step_down();
        }
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let State::Ending { voided, .. } = &mut run.state else {
            return;
        };
        match answer {
            StopAnswer::Accepted => {
                *voided = Some(now);
                let vm = run.vm;
                self.look_now(vm);
            }
            StopAnswer::OtherIncarnation => {
                let vm = run.vm;
                self.other_incarnation(vm);
            }
            StopAnswer::Fenced | StopAnswer::Unknown => {}
        }
    }

    /// Sends stops again that were not answered.
    pub(super) fn scan_runs(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        let mut lapsed = Vec::new();
        for (&key, run) in &self.runs {
            let due = match run.state {
                State::Ending {
                    voided,
                    asked,
                    times,
                } => voided.is_none() && now >= stop_again_at(asked, times),
                State::Unsure => now >= run.sent + STOP_RETRY,
                State::Planned | State::Former | State::Starting | State::Running { .. } => false,
            };
            let vm = self.vms.get(run.vm);
            let unheard = vm.is_some_and(|v| !v.answered);
            if run.state == State::Former && unheard && now >= self.settle_at {
                lapsed.push(key);
            }
            // To a VM that does not answer nothing is sent; its leases lapse.
            let silent = vm.is_some_and(|v| v.looks.silent > 1);
            if due && !silent {
                again.push(key);
            }
        }
        for key in again {
            self.stop_run(key, "unanswered");
        }
        for key in lapsed {
            self.run_gone(key, "lease of a former holder lapsed");
        }
    }
}

/// When a stop that was not answered is sent again.
fn stop_again_at(asked: Time, times: u32) -> Time {
    let factor = 1 << times.saturating_sub(1).min(4);
    asked + STOP_RETRY.times(factor).min(STOP_RETRY_MAX)
}
