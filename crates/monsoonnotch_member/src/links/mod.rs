//! Links between members: each member keeps one to the holder.

mod follower;
mod leader;

use compact_str::CompactString;
use monsoonnotch_core::record::decode;
use monsoonnotch_core::record::encode;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::event::Query;
use monsoonnotch_jobs::plan::StageId;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use tokio_tungstenite::tungstenite::Message;

use crate::cx::Held;

pub(crate) use self::follower::Heard;
pub(crate) use self::follower::keep;
pub(crate) use self::leader::Guests;
pub(crate) use self::leader::accept;

/// Frames that wait for one link, at most; more are dropped.
const WAITING_MAX: usize = 1_024;

/// What goes over a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// A member comes to the holder of a token.
    Hello {
        /// The token it takes for the newest.
        token: u64,
        /// Its name.
        name: CompactString,
        /// Where other members reach it.
        addr: CompactString,
        /// Processor that it may use, in cores.
        cores: f64,
    },
    /// A member lives.
    GuestBeat {
        /// Whether the store answers it.
        store: bool,
        /// Version of its configuration.
        config: u64,
    },
    /// The holder lives and still holds.
    HostBeat {
        /// Its token.
        token: u64,
        /// Whether the store answers it.
        store: bool,
    },
    /// A newer claim than the one that the link is under: the store may refuse
    /// the other end, which learns of it in no other way.
    Newer(Held),
    /// Where some other members can be reached.
    Peers {
        /// Their addresses, as `ip:port`.
        addrs: Vec<CompactString>,
    },
    /// A caller's question.
    Ask {
        /// Number of the question.
        seq: u64,
        /// The question.
        query: Query,
    },
    /// The answer to a question.
    Answer {
        /// Number of the question.
        seq: u64,
        /// The answer.
        answer: Answer,
    },
    /// Ask the approval service for the holder.
    Approve {
        /// Number of the call.
        ask: u64,
        /// The stage.
        stage: StageId,
        /// Ids of the VMs.
        vms: Vec<CompactString>,
    },
    /// What the approval service said; `None`: nothing.
    Approved {
        /// Number of the call.
        ask: u64,
        /// VMs with their tickets.
        allowed: Option<Vec<(CompactString, CompactString)>>,
    },
    /// A record that this member has stored, so that the holder need not wait for
    /// the journal.
    HandedIn {
        /// Its offset in the journal.
        offset: u64,
        /// The key.
        key: CompactString,
        /// The value.
        value: ByteBuf,
    },
    /// Store a record for a member whom the store refuses.
    Store {
        /// Number of the question.
        seq: u64,
        /// How long the member waits for the record's fate, in milliseconds.
        within_ms: u64,
        /// The key.
        key: CompactString,
        /// The value.
        value: ByteBuf,
    },
    /// What became of a record that the holder was asked to store.
    StoreFate {
        /// Number of the question.
        seq: u64,
        /// What became of it.
        fate: Fate,
    },
    /// The configuration, for a member that lags behind.
    Config {
        /// As the operators published it.
        value: ByteBuf,
    },
    /// The holder wants this member to claim the jobs at once.
    Claim,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum Fate {
    /// It is stored.
    Stored,
    /// It is not, and will not be.
    NotStored,
    /// It may be, now or later.
    Unknown,
}

fn message(frame: &Frame) -> Message {
    Message::Binary(encode(frame).into())
}

/// The frame in a message; `None` for others and for bytes that are none.
fn frame_of(msg: &Message) -> Option<Frame> {
    match msg {
        Message::Binary(buf) => decode(buf),
        _ => None,
    }
}
