//! The output effects of the reducer.

use crate::config::ChangeOutcome;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::TaskId;
use crate::ident::Ticket;
use crate::job::JournalEntry;
use crate::job::TaskSpec;
use crate::notice::Notice;
use crate::record::Batch;
use crate::reducer::Gauges;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Refusal;
use crate::wire::JobAnswer;
use crate::wire::PeerAddr;
use crate::wire::PeerMsg;

/// An action that the caller of the reducer executes.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Read the control stream.
    Read {
        /// Offset of the first record to return.
        from: u64,
    },
    /// Append a batch to the control stream.
    Append {
        /// Identifies the append in its confirmation.
        token: u64,
        /// The batch to append.
        batch: Batch,
    },
    /// Append entries to this member's journal, all or none.
    Journal {
        /// Identifies the append in its confirmation.
        token: u64,
        /// The entries to append, in order.
        entries: Vec<JournalEntry>,
    },
    /// Read the journal of an ended member to its end.
    ReadJournal(MemberId),
    /// Send a message to a peer; it may be lost.
    Send {
        /// The receiver.
        to: PeerAddr,
        /// The message to send.
        msg: PeerMsg,
    },
    /// Sync with a worker: renew leases, acknowledge ended tasks and request a report.
    Sync(Sync),
    /// Start a task on a worker.
    StartTask {
        /// Name of the worker.
        vm: Name,
        /// Address of the worker, as `ip:port`.
        addr: Name,
        /// Epoch under which this member holds the worker.
        epoch: u64,
        /// The attempt to start.
        task: TaskId,
        /// What the worker runs.
        spec: TaskSpec,
        /// Initial lease of the task.
        lease: Duration,
        /// Time at which the right to send the start expires.
        certain_until: Time,
    },
    /// Dispatch a request to an upstream.
    Dispatch {
        /// The request to dispatch.
        call: CallKey,
        /// Address of the upstream, as `ip:port`.
        addr: Name,
        /// Maximum time to the end of the response.
        timeout: Duration,
        /// Time at which the right to write the request expires.
        certain_until: Time,
        /// Whether the request may run twice, and so may be sent on a reused connection.
        repeatable: bool,
        /// Time since the request arrived.
        waited: Duration,
    },
    /// Refuse a request, which is its final response.
    Refuse {
        /// The refused request.
        call: CallKey,
        /// The verdict and the reason.
        refusal: Refusal,
    },
    /// Answer an event that carried a ticket.
    Answer {
        /// The ticket of the event.
        ticket: Ticket,
        /// The answer itself.
        answer: Answer,
    },
    /// Write a line to the log.
    Log(Notice),
    /// Report whether the load balancer may send requests to this entry.
    Ready(bool),
    /// End the process; the graceful shutdown is complete.
    Stopped,
}

/// A sync: one exchange with a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sync {
    /// Name of the worker.
    pub vm: Name,
    /// Address of the worker, as `ip:port`.
    pub addr: Name,
    /// Epoch under which this member holds the worker, which refuses an epoch lower than the
    /// highest one it has received.
    pub epoch: u64,
    /// Tasks whose leases are renewed.
    pub renew: Vec<TaskId>,
    /// Tasks to stop.
    pub stop: Vec<TaskId>,
    /// Ended tasks that the worker need not report again.
    pub acknowledge: Vec<TaskId>,
    /// Length of the renewed leases.
    pub lease: Duration,
    /// Time at which the right to renew leases expires.
    pub certain_until: Time,
}

/// The answer to an event that carried a ticket.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The result of a configuration change.
    Change(ChangeOutcome),
    /// The answer to a request about a job.
    Job(JobAnswer),
    /// The state or a part of it, as JSON text.
    Dump(String),
    /// The values of the gauge metrics.
    Gauges(Box<Gauges>),
    /// The request was refused.
    Refused(Refusal),
}
