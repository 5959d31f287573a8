//! Orders and their outcomes, as they travel between the leader and an executor.
//!
//! Field names are short in their encoded form, because an order is sent for each task.

use compact_str::CompactString;
use monsoonnotch_core::ident::JobId;
use serde::Deserialize;
use serde::Serialize;

use super::call::Call;
use crate::effect::StartOrder;
use crate::effect::Target;
use crate::event::PollError;
use crate::event::StartAnswer;
use crate::event::StopAnswer;
use crate::plan::StageId;
use crate::plan::TaskId;
use crate::prelude::Duration;
use crate::vm::FinishedRun;
use crate::vm::PollAnswer;
use crate::vm::RunOutcome;
use crate::vm::RunningRun;

/// Number of specs that a further one is compared with.
const SPECS_COMPARED: usize = 8;

/// A task as job, occurrence, step and index.
type TaskRow = (JobId, u32, u16, u32);
/// A running run as task, attempt, checkpoint, percentage, and latency or usage.
type RunningRow = (TaskRow, u64, CompactString, u64, u64);
/// A finished run as completion number, task, attempt, outcome and checkpoint.
type FinishedRow = (u64, TaskRow, u64, RunOutcome, CompactString);

fn task_row(task: &TaskId) -> TaskRow {
    let stage = task.stage;
    (stage.job, stage.occurrence, stage.step, task.index)
}

fn task_id((job, occurrence, step, index): TaskRow) -> TaskId {
    let stage = StageId {
        job,
        occurrence,
        step,
    };
    TaskId { stage, index }
}

/// Orders for one executor. The tasks of a stage share their spec, which is sent once.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Batch {
    /// Token of the leader's term.
    pub token: u64,
    specs: Vec<CompactString>,
    orders: Vec<Order>,
}

impl Batch {
    /// Adds a call as an order.
    pub(super) fn add(&mut self, seq: u64, to: &Target, call: &Call) {
        let spec = match call {
            Call::Start(order) => self.add_spec(&order.spec),
            Call::Stop { .. } | Call::Poll { .. } => 0,
        };
        self.orders.push(Order::new(seq, to, call, spec));
    }

    /// Returns the index of a spec, which is added unless one of the latest is equal.
    fn add_spec(&mut self, spec: &str) -> usize {
        let latest = self.specs.len().saturating_sub(SPECS_COMPARED);
        let found = self.specs[latest..].iter().position(|s| s == spec);
        found.map_or_else(
            || {
                self.specs.push(spec.into());
                self.specs.len() - 1
            },
            |at| latest + at,
        )
    }

    /// Returns the number of orders.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Returns whether the batch has no orders.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Moves orders to the front that must not wait behind others: leases first, then what
    /// frees capacity.
    pub(super) fn sort(&mut self) {
        self.orders.sort_by_key(|o| match o.request {
            Request::Poll { .. } => 0,
            Request::Stop { .. } => 1,
            Request::Start { .. } => 2,
        });
    }

    /// Returns the calls with the numbers of their orders; `None` if an order is invalid.
    pub fn into_calls(self) -> Option<Vec<(u64, Target, Call)>> {
        let specs = self.specs;
        let calls = self.orders.into_iter().map(|order| {
            let seq = order.seq;
            let (to, call) = order.into_call(&specs)?;
            Some((seq, to, call))
        });
        calls.collect()
    }
}

/// An order to a VM that an executor carries out.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Order {
    /// Number of the order, unique in the leader term.
    #[serde(rename = "n")]
    seq: u64,
    /// Address of the VM, as `ip:port`.
    #[serde(rename = "a")]
    addr: CompactString,
    /// Id of the VM.
    #[serde(rename = "i")]
    id: CompactString,
    /// Clock of the VM when it was last read, in milliseconds.
    #[serde(rename = "c")]
    min_clock_ms: u64,
    /// Number of restarts of the VM in the leader term.
    #[serde(rename = "b")]
    restarts: u32,
    #[serde(rename = "r")]
    request: Request,
}

/// What an order requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Request {
    #[serde(rename = "s")]
    Start {
        #[serde(rename = "t")]
        task: TaskRow,
        #[serde(rename = "a")]
        attempt: u64,
        /// Index into the specs of the batch.
        #[serde(rename = "s")]
        spec: usize,
        #[serde(rename = "e")]
        expires_ms: u64,
        #[serde(rename = "c")]
        checkpoint: CompactString,
        #[serde(rename = "k")]
        ticket: CompactString,
        #[serde(rename = "w")]
        timeout_ms: u64,
    },
    #[serde(rename = "x")]
    Stop {
        #[serde(rename = "t")]
        task: TaskRow,
        #[serde(rename = "a")]
        attempt: u64,
        #[serde(rename = "w")]
        timeout_ms: u64,
    },
    #[serde(rename = "p")]
    Poll {
        #[serde(rename = "k")]
        acknowledged: u64,
        #[serde(rename = "e")]
        lease_until_ms: Option<u64>,
        #[serde(rename = "d")]
        wait_ms: u64,
        #[serde(rename = "w")]
        timeout_ms: u64,
    },
}

impl Order {
    /// Encodes a call; `spec` is the index of its spec in the batch.
    fn new(seq: u64, to: &Target, call: &Call, spec: usize) -> Self {
        let request = match call {
            Call::Start(order) => start_request(order, spec),
            Call::Stop {
                task,
                attempt,
                timeout,
            } => Request::Stop {
                task: task_row(task),
                attempt: *attempt,
                timeout_ms: timeout.as_millis(),
            },
            Call::Poll {
                acknowledged,
                lease_until_ms,
                wait,
                timeout,
            } => Request::Poll {
                acknowledged: *acknowledged,
                lease_until_ms: *lease_until_ms,
                wait_ms: wait.as_millis(),
                timeout_ms: timeout.as_millis(),
            },
        };
        Self {
            seq,
            addr: to.addr.clone(),
            id: to.id.clone(),
            min_clock_ms: to.min_clock_ms,
            restarts: to.restarts,
            request,
        }
    }

    /// Returns the VM and the call; `None` if the spec is missing.
    fn into_call(self, specs: &[CompactString]) -> Option<(Target, Call)> {
        let to = Target {
            addr: self.addr,
            id: self.id,
            domain: CompactString::default(),
            min_clock_ms: self.min_clock_ms,
            restarts: self.restarts,
        };
        let call = match self.request {
            Request::Start {
                task,
                attempt,
                spec,
                expires_ms,
                checkpoint,
                ticket,
                timeout_ms,
            } => Call::Start(Box::new(StartOrder {
                task: task_id(task),
                attempt,
                spec: specs.get(spec)?.as_str().into(),
                expires_ms,
                checkpoint,
                ticket,
                timeout: Duration::from_millis(timeout_ms),
            })),
            Request::Stop {
                task,
                attempt,
                timeout_ms,
            } => Call::Stop {
                task: task_id(task),
                attempt,
                timeout: Duration::from_millis(timeout_ms),
            },
            Request::Poll {
                acknowledged,
                lease_until_ms,
                wait_ms,
                timeout_ms,
            } => Call::Poll {
                acknowledged,
                lease_until_ms,
                wait: Duration::from_millis(wait_ms),
                timeout: Duration::from_millis(timeout_ms),
            },
        };
        Some((to, call))
    }
}

fn start_request(order: &StartOrder, spec: usize) -> Request {
    Request::Start {
        task: task_row(&order.task),
        attempt: order.attempt,
        spec,
        expires_ms: order.expires_ms,
        checkpoint: order.checkpoint.clone(),
        ticket: order.ticket.clone(),
        timeout_ms: order.timeout.as_millis(),
    }
}

/// The outcome of an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer to a start.
    #[serde(rename = "s")]
    Started(StartAnswer),
    /// The answer to a stop.
    #[serde(rename = "x")]
    Stopped(StopAnswer),
    /// The answer to a poll.
    #[serde(rename = "p")]
    Polled(PollRows),
    /// A poll failed.
    #[serde(rename = "f")]
    PollFailed(PollError),
}

/// A VM's answer to a poll, in its encoded form.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PollRows {
    #[serde(rename = "b")]
    started_ms: Option<u64>,
    #[serde(rename = "c")]
    clock_ms: u64,
    #[serde(rename = "r")]
    running: Vec<RunningRow>,
    #[serde(rename = "f")]
    finished: Vec<FinishedRow>,
    #[serde(rename = "m")]
    more: bool,
}

impl Outcome {
    /// Encodes the result of a poll.
    pub fn polled(answer: Result<PollAnswer, PollError>) -> Self {
        let answer = match answer {
            Ok(answer) => answer,
            Err(e) => return Self::PollFailed(e),
        };
        let running = answer.running.into_iter();
        let finished = answer.finished.into_iter();
        Self::Polled(PollRows {
            started_ms: answer.started_ms,
            clock_ms: answer.clock_ms,
            running: running.map(running_row).collect(),
            finished: finished.map(finished_row).collect(),
            more: answer.more,
        })
    }
}

impl From<PollRows> for PollAnswer {
    fn from(rows: PollRows) -> Self {
        let running = rows.running.into_iter();
        let finished = rows.finished.into_iter();
        Self {
            started_ms: rows.started_ms,
            clock_ms: rows.clock_ms,
            running: running.map(running_run).collect(),
            finished: finished.map(finished_run).collect(),
            more: rows.more,
        }
    }
}

fn running_row(run: RunningRun) -> RunningRow {
    let task = task_row(&run.task);
    (
        task,
        run.attempt,
        run.checkpoint,
        run.percent,
        run.latency_or_usage,
    )
}

fn running_run((task, attempt, checkpoint, percent, latency_or_usage): RunningRow) -> RunningRun {
    RunningRun {
        task: task_id(task),
        attempt,
        checkpoint,
        percent,
        latency_or_usage,
    }
}

fn finished_row(run: FinishedRun) -> FinishedRow {
    let task = task_row(&run.task);
    (run.number, task, run.attempt, run.outcome, run.checkpoint)
}

fn finished_run((number, task, attempt, outcome, checkpoint): FinishedRow) -> FinishedRun {
    FinishedRun {
        number,
        task: task_id(task),
        attempt,
        outcome,
        checkpoint,
    }
}
