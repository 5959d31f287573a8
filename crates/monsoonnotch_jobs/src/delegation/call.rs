//! Calls to VMs, as the scheduler requests them, and the events that their outcomes lead to.

use super::order::Outcome;
use crate::effect::PollKey;
use crate::effect::StartOrder;
use crate::effect::Target;
use crate::event::PollError;
use crate::event::StartAnswer;
use crate::event::StopAnswer;
use crate::plan::TaskId;
use crate::prelude::*;
use crate::scheduler::RunKey;
use crate::vm::PollAnswer;

/// What is requested from a VM.
#[derive(Debug, Clone)]
pub enum Call {
    /// Starts a run.
    Start(Box<StartOrder>),
    /// Stops a run, or prevents its start.
    Stop {
        /// The task of the run.
        task: TaskId,
        /// The attempt at the task.
        attempt: u64,
        /// How long to wait for the VM's answer.
        timeout: Duration,
    },
    /// Polls the VM.
    Poll {
        /// Highest completion number that the VM may forget.
        acknowledged: u64,
        /// End of the requested lease on the VM's clock, in milliseconds.
        lease_until_ms: Option<u64>,
        /// How long the VM may hold the poll open.
        wait: Duration,
        /// How long to wait for the VM's answer beyond `wait`.
        timeout: Duration,
    },
}

impl Call {
    /// Returns how long the call may take.
    pub(super) fn time_max(&self) -> Duration {
        match self {
            Self::Start(order) => order.timeout,
            Self::Stop { timeout, .. } => *timeout,
            Self::Poll { wait, timeout, .. } => *wait + *timeout,
        }
    }
}

/// What an outcome is about.
#[derive(Debug, Clone, Copy)]
pub enum Subject {
    /// The start of a run.
    Start(RunKey),
    /// The stop of a run.
    Stop(RunKey),
    /// A poll.
    Poll(PollKey),
}

impl Subject {
    /// Returns the event for an outcome; `None` if the outcome is of another kind.
    pub fn event(self, outcome: Outcome) -> Option<Event> {
        Some(match (self, outcome) {
            (Self::Start(run), Outcome::Started(answer)) => Event::Started { run, answer },
            (Self::Stop(run), Outcome::Stopped(answer)) => Event::Stopped { run, answer },
            (Self::Poll(key), Outcome::Polled(rows)) => {
                let answer = Ok(PollAnswer::from(rows));
                Event::Polled { key, answer }
            }
            (Self::Poll(key), Outcome::PollFailed(e)) => Event::Polled {
                key,
                answer: Err(e),
            },
            _ => return None,
        })
    }

    /// Returns the event for a call without an answer.
    pub(super) fn unanswered(self) -> Event {
        match self {
            Self::Start(run) => Event::Started {
                run,
                answer: StartAnswer::Unknown,
            },
            Self::Stop(run) => Event::Stopped {
                run,
                answer: StopAnswer::Unknown,
            },
            Self::Poll(key) => Event::Polled {
                key,
                answer: Err(PollError::Unresponsive),
            },
        }
    }
}

/// A call to a VM that the scheduler requests.
#[derive(Debug, Clone)]
pub struct VmCall {
    /// The VM.
    pub to: Target,
    /// What is requested.
    pub call: Call,
    /// What the outcome is about.
    pub subject: Subject,
}

impl TryFrom<Effect> for VmCall {
    type Error = Effect;

    /// Returns the effect if it is no call to a VM.
    fn try_from(effect: Effect) -> Result<Self, Effect> {
        let (to, call, subject) = match effect {
            Effect::Start { run, to, order } => (to, Call::Start(order), Subject::Start(run)),
            Effect::Stop {
                run,
                to,
                task,
                attempt,
                timeout,
            } => {
                let call = Call::Stop {
                    task,
                    attempt,
                    timeout,
                };
                (to, call, Subject::Stop(run))
            }
            Effect::Poll {
                key,
                to,
                acknowledged,
                lease_until_ms,
                wait,
                timeout,
            } => {
                let call = Call::Poll {
                    acknowledged,
                    lease_until_ms,
                    wait,
                    timeout,
                };
                (to, call, Subject::Poll(key))
            }
            effect => return Err(effect),
        };
        Ok(Self { to, call, subject })
    }
}
