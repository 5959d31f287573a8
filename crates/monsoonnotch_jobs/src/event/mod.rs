//! What the holder hears.

use std::sync::Arc;

use compact_str::CompactString;

use crate::effect::ApprovalRequestKey;
use crate::effect::ApprovalSlotKey;
use crate::effect::PollKey;
use crate::effect::QueryKey;
use crate::journal::KeyedRecord;
use crate::plan::JobId;
use crate::scheduler::RunKey;
use crate::site::PublishedConfig;
use crate::vm::PollAnswer;
use crate::vm::Registration;

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// A configuration came into force.
    Config(Arc<PublishedConfig>),
    /// Records of the journal, in order.
    Journal(Vec<(u64, KeyedRecord)>),
    /// Records that are stored, as told by the member that stored them: the journal
    /// brings them again, at times much later.
    RecordsStored(Vec<(u64, KeyedRecord)>),
    /// The journal has been read up to the holder's own first record.
    CaughtUp {
        /// The offset of that record.
        marker: u64,
    },
    /// Entries of the list of VMs that changed; `None`: the entry is gone.
    Vms(Vec<(CompactString, Option<Registration>)>),
    /// The list of VMs was read anew; entries that are not in it are gone.
    AllVms(Vec<Registration>),
    /// A VM answered a look, or did not.
    Polled {
        /// The look.
        key: PollKey,
        /// The answer.
        answer: Result<PollAnswer, PollError>,
    },
    /// A VM answered a start, or did not.
    Started {
        /// The run.
        run: RunKey,
        /// The answer.
        answer: StartAnswer,
    },
    /// A VM answered a stop, or did not.
    Stopped {
        /// The run.
        run: RunKey,
        /// The answer.
        answer: StopAnswer,
    },
    /// The approval service answered.
    Approved {
        /// The question.
        key: ApprovalRequestKey,
        /// VMs with their tickets, or `None` when there was no answer.
        allowed: Option<Vec<(CompactString, CompactString)>>,
    },
    /// The append of progress was stored, or not.
    Appended {
        /// Whether it is stored.
        stored: bool,
    },
    /// A member can put questions to the approval service.
    ApprovalSlotUp(ApprovalSlotKey),
    /// It no longer can.
    ApprovalSlotDown(ApprovalSlotKey),
    /// A caller asks.
    Query {
        /// Where the answer goes.
        key: QueryKey,
        /// What is asked.
        query: Query,
    },
}

/// What callers ask of the holder.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// The state of a job.
    State {
        /// The job.
        id: JobId,
        /// The asker's account; empty: none.
        account: CompactString,
    },
    /// How many jobs of a queue have not begun.
    Pending {
        /// The queue.
        queue: CompactString,
    },
}

/// Why a look brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollError {
    /// A higher token was seen there.
    Fenced,
    /// Another incarnation answered.
    OtherIncarnation,
    /// Nothing came in time, or the connection broke.
    Unresponsive,
}

/// A VM's answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs there.
    Running,
    /// A higher token was seen there.
    Fenced,
    /// A run that is not lower was there before.
    Old,
    /// It came after its time.
    Late,
    /// There is no room.
    NoRoom,
    /// The approval does not hold.
    Unapproved,
    /// The VM does nothing now.
    Unhealthy,
    /// The order was not understood.
    Invalid,
    /// Another incarnation answered.
    OtherIncarnation,
    /// It was not sent.
    NotSent,
    /// Nothing came back; it may run, also later.
    Unknown,
}

/// A VM's answer to a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run is stopping, over, or will never start.
    Accepted,
    /// A higher token was seen there.
    Fenced,
    /// Another incarnation answered.
    OtherIncarnation,
    /// Nothing came back.
    Unknown,
}
