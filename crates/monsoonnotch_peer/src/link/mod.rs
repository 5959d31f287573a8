//! Outgoing links by member, and the acceptor of incoming ones.

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

/// Messages that wait for one link; more are dropped.
const WAITING_MAX: usize = 4_096;

/// One frame.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: MemberId,
    /// Whom it is meant for.
    pub to: MemberId,
    /// The message.
    pub msg: PeerMsg,
}

/// Links to other members; dropping it ends them.
#[derive(Debug)]
pub struct Links {
    me: MemberId,
    rt: Handle,
    links: BTreeMap<MemberId, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// Links of the member `me` whose tasks run on `rt`.
    pub fn new(me: MemberId, rt: Handle) -> Self {
        Self {
            me,
            rt,
            links: BTreeMap::new(),
        }
    }

    /// Hands a message to the link to a peer; says how many bytes it is.
    ///
    /// The message is dropped when too many wait already.
    pub fn send(&mut self, to: &PeerAddr, msg: PeerMsg) -> usize {
        let frame = Frame {
            from: self.me,
            to: to.member,
            msg,
        };
        let frame = monsoonnotch_core::record::encode(&frame);
        let len = frame.len();
        // A full or closed link loses the message, which its sender must expect.
        let _ = self.link(to).try_send(frame);
        len
    }

    /// The link to a peer, dialled anew when it has ended.
    fn link(&mut self, to: &PeerAddr) -> &mpsc::Sender<Vec<u8>> {
        let ended = |tx: &mpsc::Sender<Vec<u8>>| tx.is_closed();
        if self.links.get(&to.member).is_none_or(ended) {
            self.links.retain(|_, tx| !tx.is_closed());
            let tx = outgoing::start(&self.rt, to.addr.to_string(), WAITING_MAX);
            self.links.insert(to.member, tx);
        }
        &self.links[&to.member]
    }
}
