//! The records of the control stream.
//!
//! A member appends batches. Each record carries its writer's incarnation and
//! a sequence number, so that a batch sent again after a lost reply changes
//! nothing. A record takes effect for its writer, too, only when it is read
//! back.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Change;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RangeId;
use crate::ledger::Ledger;

/// What one append to the control stream carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The member that wrote it.
    pub writer: MemberId,
    /// Its records, in order.
    pub records: Vec<Record>,
}

/// One record and its place in its writer's order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Sequence number within the writer's incarnation, from one.
    pub seq: u64,
    /// What it says.
    pub body: Body,
}

/// Something that has one holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Holding {
    /// A worker, whole.
    Vm(Name),
    /// A range of the hash space.
    Range(RangeId),
    /// Part of a team's upper limit, in tasks and requests at once.
    Allotment {
        /// The team.
        team: Name,
        /// How many.
        amount: u32,
    },
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The writer becomes a member.
    Join {
        /// Its failure domain.
        domain: Name,
        /// Where its peers reach it, as `ip:port`.
        addr: Name,
    },
    /// The writer names its guards.
    Guards {
        /// At most three members.
        guards: Vec<MemberId>,
    },
    /// A guard finds a member dead.
    Vote {
        /// The member.
        target: MemberId,
        /// The writer's position on the stream when it cast the vote.
        read: u64,
    },
    /// The writer ends; its estate passes on at once.
    Leave {
        /// Who takes it over.
        #[serde(rename = "heir")]
        successor: Option<MemberId>,
        /// The writer's position on the stream; what it held then may be used at once.
        read: u64,
    },
    /// The writer takes what is unheld of these.
    Claim {
        /// The things.
        #[serde(rename = "things")]
        holdings: Vec<Holding>,
    },
    /// The writer gives these away.
    Transfer {
        /// The things.
        #[serde(rename = "things")]
        holdings: Vec<Holding>,
        /// Who gets them.
        to: MemberId,
    },
    /// The writer gives these up, for anyone to claim.
    Release {
        /// The things.
        #[serde(rename = "things")]
        holdings: Vec<Holding>,
    },
    /// The writer has taken over what the journal of a former member says.
    Adopted {
        /// The former member.
        #[serde(rename = "ancestor")]
        predecessor: MemberId,
    },
    /// An operator's change.
    Config(Change),
    /// The ledger as it stands after the record at `covers`.
    Snapshot {
        /// The ledger, whose `next` is the offset that follows what it covers.
        ledger: Box<Ledger>,
    },
    /// A snapshot that a peer left out when it passed the batch on.
    Omitted,
}

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stream {
    /// Membership, holdings and configuration.
    Control,
    /// What one member must remember of its calls and jobs.
    Journal(MemberId),
}

impl Stream {
    /// The name on the platform.
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
/// Never for the types of this crate, whose maps and numbers all have a CBOR form.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("a value of ours has a CBOR form");
    buf
}

/// Decodes a value from CBOR; `None` when the bytes are not such a value.
pub fn decode<T: for<'a> Deserialize<'a>>(buf: &[u8]) -> Option<T> {
    ciborium::from_reader(buf).ok()
}
