//! What the reducer wants done, as data.

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

/// Something to be done outside the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Read the control stream.
    Read {
        /// Offset of the first record wanted.
        from: u64,
    },
    /// Append a batch to the control stream.
    Append {
        /// Names the append.
        token: u64,
        /// The batch.
        batch: Batch,
    },
    /// Append entries to the own journal, all or none.
    Journal {
        /// Names the append.
        token: u64,
        /// The entries.
        entries: Vec<JournalEntry>,
    },
    /// Read a former member's journal to its end.
    ReadJournal(MemberId),
    /// Send a message to a peer; it may be lost.
    Send {
        /// The peer.
        to: PeerAddr,
        /// The message.
        msg: PeerMsg,
    },
    /// Sync with a worker: renew leases, acknowledge ends, ask for a report.
    Sync(Sync),
    /// Start a task on a worker.
    StartTask {
        /// The worker.
        vm: Name,
        /// Where it answers.
        addr: Name,
        /// Epoch of the holding.
        epoch: u64,
        /// The task.
        task: TaskId,
        /// What it is.
        spec: TaskSpec,
        /// The lease that it starts with.
        lease: Duration,
        /// When the right to start it lapses.
        certain_until: Time,
    },
    /// Dispatch a request to an upstream.
    Dispatch {
        /// The request.
        call: CallKey,
        /// Where the upstream answers.
        addr: Name,
        /// Longest time to the end of the answer.
        timeout: Duration,
        /// When the right to write it lapses.
        certain_until: Time,
        /// Whether a connection that was idle may be trusted with it.
        repeatable: bool,
        /// Time since the request arrived.
        waited: Duration,
    },
    /// Give a request its final answer.
    Refuse {
        /// The request.
        call: CallKey,
        /// The answer.
        refusal: Refusal,
    },
    /// Answer a question from outside.
    Answer {
        /// The question.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Log something.
    Log(Notice),
    /// Whether the balancer may send requests here.
    Ready(bool),
    /// Everything is handed over; the process may end.
    Stopped,
}

/// One exchange with a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sync {
    /// The worker.
    pub vm: Name,
    /// Where it answers.
    pub addr: Name,
    /// Epoch of the holding; the worker refuses a lower one than it has seen.
    pub epoch: u64,
    /// Tasks whose leases are to be renewed.
    pub renew: Vec<TaskId>,
    /// Tasks to stop.
    pub stop: Vec<TaskId>,
    /// Ended tasks that need not be reported again.
    pub acknowledge: Vec<TaskId>,
    /// The lease that the tasks get.
    pub lease: Duration,
    /// When the right to renew lapses.
    pub certain_until: Time,
}

/// An answer to a question from outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// What became of a change.
    Change(ChangeOutcome),
    /// How a job stands.
    Job(JobAnswer),
    /// The state or a part of it, as JSON text.
    Dump(String),
    /// How the process stands, in numbers.
    Gauges(Box<Gauges>),
    /// It was refused.
    Refused(Refusal),
}
