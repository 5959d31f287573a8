//! Events that the scheduler handles.

use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;

use crate::access::Caller;
use crate::effect::ApprovalRequestKey;
use crate::effect::ApprovalSlotKey;
use crate::effect::PollKey;
use crate::effect::QueryKey;
use crate::explanation::Subject;
use crate::journal::KeyedRecord;
use crate::plan::JobId;
use crate::scheduler::RunKey;
use crate::site::PublishedConfig;
use crate::vm::PollAnswer;
use crate::vm::Registration;

/// An input of the scheduler.
#[derive(Debug)]
pub enum Event {
    /// A new configuration takes effect.
    Config(Arc<PublishedConfig>),
    /// Records of the journal with their offsets, in order. All records before the last one
    /// have been delivered.
    Journal(Vec<(u64, KeyedRecord)>),
    /// The newest record of each key, read after records of the journal were trimmed. Reading
    /// continues at `next`.
    NewestRecords {
        /// The records with their offsets; some may have been stored at `next` or later.
        records: Vec<(u64, KeyedRecord)>,
        /// The offset before which no record is missing.
        next: u64,
    },
    /// Records that a member has stored, with their offsets, as that member reports. The
    /// journal delivers the same records again, sometimes much later.
    RecordsStored(Vec<(u64, KeyedRecord)>),
    /// The journal has been read up to the first record of the current leader term.
    CaughtUp {
        /// The offset of that record.
        marker: u64,
    },
    /// The failure domains that operators are evacuating; replaces the previous set.
    Evacuations(BTreeSet<CompactString>),
    /// Entries of the VM list changed; `None` if the entry was removed.
    Vms(Vec<(CompactString, Option<Registration>)>),
    /// The complete VM list was read again; VMs that it lacks were removed.
    AllVms(Vec<Registration>),
    /// A VM answered a status poll, or the poll failed.
    Polled {
        /// The poll.
        key: PollKey,
        /// The answer of the VM, or the reason why there is none.
        answer: Result<PollAnswer, PollError>,
    },
    /// A VM answered a start order, or the order failed.
    Started {
        /// The run that was to start.
        run: RunKey,
        /// The answer of the VM.
        answer: StartAnswer,
    },
    /// A VM answered a stop order, or the order failed.
    Stopped {
        /// The run that was to stop.
        run: RunKey,
        /// The answer of the VM.
        answer: StopAnswer,
    },
    /// The approval service answered a request, or the request failed.
    Approved {
        /// The request.
        key: ApprovalRequestKey,
        /// Ids of the approved VMs with their tickets; `None` if no answer arrived.
        allowed: Option<Vec<(CompactString, CompactString)>>,
    },
    /// The outcome of an [`Effect::Append`](crate::effect::Effect::Append) is known.
    Appended {
        /// Whether the records are stored; if not, they never will be.
        stored: bool,
    },
    /// The store refuses the records of an [`Effect::Append`](crate::effect::Effect::Append) for good;
    /// nothing was stored.
    AppendRefused,
    /// A member became able to send requests to the approval service.
    ApprovalSlotUp(ApprovalSlotKey),
    /// A member is no longer able to send requests to the approval service.
    ApprovalSlotDown(ApprovalSlotKey),
    /// An operator asks where a job would go now.
    Explain {
        /// Identifies the question in the reply.
        key: QueryKey,
        /// The job.
        subject: Subject,
    },
    /// A caller sent a query.
    Query {
        /// Identifies the query in the reply.
        key: QueryKey,
        /// The query.
        query: Query,
    },
}

/// A caller's query to the leader.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// Queries the state of a job.
    State {
        /// The job.
        id: JobId,
        /// The requester.
        caller: Caller,
    },
    /// Queries how many jobs of a queue have not started.
    Pending {
        /// The name of the queue.
        queue: CompactString,
    },
}

/// The reason why a status poll failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PollError {
    /// The VM has seen a higher token.
    Fenced,
    /// The address belongs to another VM or to another incarnation of the VM.
    OtherIncarnation,
    /// No valid answer arrived in time, or the connection broke.
    Unresponsive,
}

/// A VM's answer to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StartAnswer {
    /// The run is running.
    Running,
    /// The VM has seen a higher token.
    Fenced,
    /// The VM already had a run of the task with the same or a higher attempt number.
    Old,
    /// The order arrived after it had expired.
    Late,
    /// The VM lacks free capacity.
    NoRoom,
    /// The approval is missing, or not valid.
    Unapproved,
    /// The VM accepts no orders at present.
    Unhealthy,
    /// The VM could not parse the order.
    Invalid,
    /// The address belongs to another VM or to another incarnation of the VM; the latter may
    /// have started the run.
    OtherIncarnation,
    /// The order was not sent.
    NotSent,
    /// No answer arrived; the run may have started, or may start later.
    Unknown,
}

/// A VM's answer to a stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StopAnswer {
    /// The run is stopping, has ended, or will never start.
    Accepted,
    /// The VM has seen a higher token.
    Fenced,
    /// The address belongs to another VM or to another incarnation of the VM.
    OtherIncarnation,
    /// No usable answer arrived.
    Unknown,
}
