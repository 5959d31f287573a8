//! What reaches the control thread, and how it answers.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;

use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::ident::Ticket;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_core::wire::PeerMsg;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::measure;

/// Messages of peers that wait for the control thread at most.
const PEER_MESSAGES_MAX: usize = 16_384;

/// What is to be done with a caller's request.
#[derive(Debug)]
pub enum Decision {
    /// Send it to an upstream.
    Dispatch {
        /// Where the upstream answers.
        addr: Name,
        /// Longest time to the end of the answer.
        timeout: Duration,
        /// When the right to write it lapses.
        certain_until: Time,
        /// Whether a connection that was idle may be trusted with it.
        repeatable: bool,
    },
    /// Give it its final answer.
    Refuse(Refusal),
}

/// Makes an event for a ticket.
pub(crate) type MakeEvent = Box<dyn FnOnce(Ticket) -> Event + Send>;

/// One thing for the control thread.
pub enum Input {
    /// An event.
    Event(Event),
    /// A peer's message: its sender, whom it is meant for, what it says.
    Peer(MemberId, MemberId, PeerMsg),
    /// A caller's request and where its decisions go.
    Call(CallArrived, mpsc::UnboundedSender<Decision>),
    /// A question and where its answer goes.
    Request(MakeEvent, oneshot::Sender<Answer>),
    /// End at once, as if the process had been killed.
    Kill,
}

impl fmt::Debug for Input {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event(ev) => f.debug_tuple("Event").field(ev).finish(),
            Self::Peer(from, ..) => f.debug_tuple("Peer").field(from).finish(),
            Self::Call(call, _) => f.debug_tuple("Call").field(call).finish(),
            Self::Request(..) => f.write_str("Request"),
            Self::Kill => f.write_str("Kill"),
        }
    }
}

/// The near end of the control thread's inbox.
#[derive(Debug, Clone)]
pub struct Inbox {
    tx: Sender<Input>,
    /// Messages of peers that wait.
    peer_messages: Arc<AtomicUsize>,
}

impl Inbox {
    pub(super) fn new(tx: Sender<Input>) -> Self {
        let peer_messages = Arc::default();
        Self { tx, peer_messages }
    }

    /// Hands over an event; it is lost once the control thread has ended.
    pub fn send_event(&self, ev: Event) {
        let _ = self.tx.send(Input::Event(ev));
    }

    /// Hands over a peer's message, which is dropped when too many wait already.
    pub fn send_peer_message(&self, from: MemberId, to: MemberId, msg: PeerMsg) {
        if self.peer_messages.fetch_add(1, Ordering::Relaxed) >= PEER_MESSAGES_MAX {
            self.release_peer_message();
            metrics::counter!(measure::PEER_MESSAGES_DROPPED).increment(1);
            return;
        }
        let _ = self.tx.send(Input::Peer(from, to, msg));
    }

    pub(super) fn release_peer_message(&self) {
        self.peer_messages.fetch_sub(1, Ordering::Relaxed);
    }

    /// Hands over a caller's request; its decisions come on the receiver.
    pub fn send_call(&self, arrived: CallArrived) -> mpsc::UnboundedReceiver<Decision> {
        let (tx, rx) = mpsc::unbounded_channel();
        let _ = self.tx.send(Input::Call(arrived, tx));
        rx
    }

    /// Asks something; `None` when the control thread ended before it answered.
    pub async fn request(
        &self,
        make: impl FnOnce(Ticket) -> Event + Send + 'static,
    ) -> Option<Answer> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Request(Box::new(make), tx));
        rx.await.ok()
    }

    /// Ends the control thread at once, as if the process had been killed.
    pub fn kill(&self) {
        let _ = self.tx.send(Input::Kill);
    }
}
