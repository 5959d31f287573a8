//! What the holder hears.

use std::sync::Arc;

use compact_str::CompactString;

use crate::effect::AskKey;
use crate::effect::LaneKey;
use crate::effect::LookKey;
use crate::effect::QueryKey;
use crate::holder::RunKey;
use crate::journal::Stored;
use crate::plan::JobId;
use crate::site::Published;
use crate::vm::Look;
use crate::vm::Report;

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// A configuration came into force.
    Config(Arc<Published>),
    /// Records of the journal, in order.
    Journal(Vec<(u64, Stored)>),
    /// Records that are stored, as told by the member that stored them: the journal
    /// brings them again, at times much later.
    HandedIn(Vec<(u64, Stored)>),
    /// The journal has been read up to the holder's own first record.
    CaughtUp {
        /// The offset of that record.
        marker: u64,
    },
    /// Entries of the list of VMs that changed; `None`: the entry is gone.
    Vms(Vec<(CompactString, Option<Report>)>),
    /// The list of VMs was read anew; entries that are not in it are gone.
    AllVms(Vec<Report>),
    /// A VM answered a look, or did not.
    Looked {
        /// The look.
        key: LookKey,
        /// The answer.
        answer: Result<Look, LookError>,
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
        key: AskKey,
        /// VMs with their tickets, or `None` when there was no answer.
        allowed: Option<Vec<(CompactString, CompactString)>>,
    },
    /// The append of progress was stored, or not.
    Appended {
        /// Whether it is stored.
        stored: bool,
    },
    /// A member can put questions to the approval service.
    LaneUp(LaneKey),
    /// It no longer can.
    LaneDown(LaneKey),
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
pub enum LookError {
    /// A higher token was seen there.
    Fenced,
    /// Another incarnation answered.
    OtherIncarnation,
    /// Nothing came in time, or the connection broke.
    Silent,
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
    Void,
    /// A higher token was seen there.
    Fenced,
    /// Another incarnation answered.
    OtherIncarnation,
    /// Nothing came back.
    Unknown,
}
