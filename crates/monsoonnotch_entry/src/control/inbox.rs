//! The inbox of the control thread: its inputs and the channels for its answers and decisions.

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

/// Maximum number of messages of peers that are queued for the control thread; more are dropped.
const PEER_MESSAGES_MAX: usize = 16_384;

/// A decision of the control thread about a caller's request.
#[derive(Debug)]
pub enum Decision {
    /// The request is sent to an upstream.
    Dispatch {
        /// The address of the upstream, as `ip:port`.
        addr: Name,
        /// Longest time from the dispatch to the end of the response.
        timeout: Duration,
        /// Time until which the member is certain of its holdings and may write the request.
        certain_until: Time,
        /// Whether the request may be sent over a connection that was idle.
        repeatable: bool,
    },
    /// The request is refused, which is its final response.
    Refuse(Refusal),
}

/// Creates the event of a request, given the ticket that identifies its answer.
pub(crate) type MakeEvent = Box<dyn FnOnce(Ticket) -> Event + Send>;

/// One input of the control thread.
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A peer's message with its sender and the member it is addressed to.
    Peer(MemberId, MemberId, PeerMsg),
    /// A caller's request and the channel for the decisions about it.
    Call(CallArrived, mpsc::UnboundedSender<Decision>),
    /// A request for an answer and the channel for that answer.
    Request(MakeEvent, oneshot::Sender<Answer>),
    /// Stops the thread at once, as if the process had been killed.
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

/// The sending side of the control thread's inbox.
#[derive(Debug, Clone)]
pub struct Inbox {
    tx: Sender<Input>,
    /// Number of queued messages of peers.
    peer_messages: Arc<AtomicUsize>,
}

impl Inbox {
    pub(super) fn new(tx: Sender<Input>) -> Self {
        let peer_messages = Arc::default();
        Self { tx, peer_messages }
    }

    /// Sends an event. It is lost when the control thread has ended.
    pub fn send_event(&self, ev: Event) {
        let _ = self.tx.send(Input::Event(ev));
    }

    /// Sends a peer's message. It is dropped when too many messages are queued.
    pub fn send_peer_message(&self, from: MemberId, to: MemberId, msg: PeerMsg) {
        if self.peer_messages.fetch_add(1, Ordering::Relaxed) >= PEER_MESSAGES_MAX {
            self.release_peer_message();
            metrics::counter!(measure::PEER_MESSAGES_DROPPED).increment(1);
            return;
        }
        let _ = self.tx.send(Input::Peer(from, to, msg));
    }

    /// Counts a message of a peer as no longer queued.
    pub(super) fn release_peer_message(&self) {
        self.peer_messages.fetch_sub(1, Ordering::Relaxed);
    }

    /// Sends a caller's request and returns the receiver of the decisions about it.
    pub fn send_call(&self, arrived: CallArrived) -> mpsc::UnboundedReceiver<Decision> {
        let (tx, rx) = mpsc::unbounded_channel();
        let _ = self.tx.send(Input::Call(arrived, tx));
        rx
    }

    /// Sends a request and waits for its answer.
    ///
    /// Returns `None` when the control thread ends before it has answered.
    pub async fn request(
        &self,
        make: impl FnOnce(Ticket) -> Event + Send + 'static,
    ) -> Option<Answer> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Request(Box::new(make), tx));
        rx.await.ok()
    }

    /// Stops the control thread at once, as if the process had been killed.
    pub fn kill(&self) {
        let _ = self.tx.send(Input::Kill);
    }
}
