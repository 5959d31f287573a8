//! The records of the control stream.
//!
//! A member appends batches of records. Each record carries the member's
//! identifier and a sequence number, so a batch that is resent after a lost
//! reply has no further effect. A record takes effect only when it is read from
//! the stream, for its writer as for every other member.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Change;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RangeId;
use crate::ledger::Ledger;

/// The records of one append to the control stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The member that wrote the batch.
    pub writer: MemberId,
    /// The records, in the order of their sequence numbers.
    pub records: Vec<Record>,
}

/// One record and its sequence number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Sequence number within the writer's incarnation, from one.
    pub seq: u64,
    /// The content of the record.
    pub body: Body,
}

/// A resource of the cluster that has at most one holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Holding {
    /// A worker; its holder places all work on it.
    Vm(Name),
    /// A range of the hash space; its holder is the home of the jobs and keys in it.
    Range(RangeId),
    /// A part of a team's limit.
    Allotment {
        /// The team that the limit applies to.
        team: Name,
        /// Number of requests and tasks that the part allows to run at once.
        amount: u32,
    },
}

/// The content of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The writer becomes a member.
    Join {
        /// The writer's failure domain.
        domain: Name,
        /// Address at which peers reach the writer, as `ip:port`.
        addr: Name,
    },
    /// The writer sets its guards.
    Guards {
        /// At most `GUARDS` members.
        guards: Vec<MemberId>,
    },
    /// A guard votes to evict a member.
    Vote {
        /// The member to evict.
        target: MemberId,
        /// The writer's position on the stream when it cast the vote.
        read: u64,
    },
    /// The writer leaves; its holdings pass to its successor.
    Leave {
        /// The member that takes over the holdings; `None` leaves the choice to the ledger.
        #[serde(rename = "heir")]
        successor: Option<MemberId>,
        /// The writer's position on the stream; what it held then needs no waiting period.
        read: u64,
    },
    /// The writer claims those of the holdings that have no holder.
    Claim {
        /// The holdings to claim.
        #[serde(rename = "things")]
        holdings: Vec<Holding>,
    },
    /// The writer transfers holdings to another member.
    Transfer {
        /// The holdings to transfer.
        #[serde(rename = "things")]
        holdings: Vec<Holding>,
        /// The new holder.
        to: MemberId,
    },
    /// The writer releases holdings, which any member may then claim.
    Release {
        /// The holdings to release.
        #[serde(rename = "things")]
        holdings: Vec<Holding>,
    },
    /// The writer has taken over the contents of a predecessor's journal.
    Adopted {
        /// The ended member whose journal was read.
        #[serde(rename = "ancestor")]
        predecessor: MemberId,
    },
    /// A change to the configuration, made by an operator.
    Config(Change),
    /// A snapshot of the ledger, from which a member can start reading.
    Snapshot {
        /// The ledger; it covers all records before its offset `next`.
        ledger: Box<Ledger>,
    },
    /// Stands for a snapshot that a peer omitted when it relayed the batch.
    Omitted,
}

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stream {
    /// The control stream: membership, holdings and configuration.
    Control,
    /// The journal of one member: its calls and jobs that must outlive it.
    Journal(MemberId),
}

impl Stream {
    /// Returns the name of the stream on the platform.
    pub fn name(self) -> String {
        match self {
            Self::Control => "control".to_owned(),
            Self::Journal(m) => format!("journal-{m}"),
        }
    }
}

/// Encodes a value as CBOR.
///
/// # Panics
///
/// Panics if the value has no CBOR form, which is impossible for the types of this crate.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("the value has a CBOR form");
    buf
}

/// Decodes a value from CBOR; `None` when the bytes do not encode a `T`.
pub fn decode<T: for<'a> Deserialize<'a>>(buf: &[u8]) -> Option<T> {
    ciborium::from_reader(buf).ok()
}
