//! Outgoing links to other members, and the listener for incoming links.

mod incoming;
mod outgoing;

use std::collections::BTreeMap;

use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::wire::PeerAddr;
use monsoonnotch_core::wire::PeerMsg;
use serde::Deserialize;
use serde::Serialize;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

pub use self::incoming::accept;

/// Maximum number of messages queued for one link; further messages are dropped.
const QUEUE_MAX: usize = 4_096;

/// A message with its sender and recipient, as sent over a link.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame {
    /// The member that sent the message.
    pub from: MemberId,
    /// The member that the message is addressed to.
    pub to: MemberId,
    /// The message.
    pub msg: PeerMsg,
}

/// The outgoing links of a member. Dropping it closes them.
#[derive(Debug)]
pub struct Links {
    own_id: MemberId,
    rt: Handle,
    /// The queue of each link, by recipient.
    links: BTreeMap<MemberId, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// Creates the links of the member `own_id`, whose tasks run on `rt`. No link is dialled yet.
    pub fn new(own_id: MemberId, rt: Handle) -> Self {
        Self {
            own_id,
            rt,
            links: BTreeMap::new(),
        }
    }

    /// Queues a message for a peer and returns the size of its frame in bytes.
    ///
    /// The message is dropped when the queue of the link is full.
    pub fn send(&mut self, to: &PeerAddr, msg: PeerMsg) -> usize {
        let frame = Frame {
            from: self.own_id,
            to: to.member,
            msg,
        };
        let frame = monsoonnotch_core::record::encode(&frame);
        let len = frame.len();
        // A full or closed link drops the message. Senders must tolerate lost messages.
        let _ = self.link(to).try_send(frame);
        len
    }

    /// Returns the queue of the link to a peer. Starts a new link when there is none or when it has
    /// ended.
    fn link(&mut self, to: &PeerAddr) -> &mpsc::Sender<Vec<u8>> {
        let ended = |tx: &mpsc::Sender<Vec<u8>>| tx.is_closed();
        if self.links.get(&to.member).is_none_or(ended) {
            self.links.retain(|_, tx| !tx.is_closed());
            let tx = outgoing::start(&self.rt, to.addr.to_string(), QUEUE_MAX);
            self.links.insert(to.member, tx);
        }
        &self.links[&to.member]
    }
}
