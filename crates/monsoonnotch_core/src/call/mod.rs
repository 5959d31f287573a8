//! The state of callers' requests from arrival to the final response.
//!
//! A call is one request of a caller, as the entry that received it tracks it.
//! The requests that members send each other are slot, intent and job requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::Profile;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::VmKey;
use crate::queue::Class;
use crate::queue::Queue;
use crate::resource::Resources;
use crate::time::Time;
use crate::wire::SlotRequest;

/// The state of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// The request waits until the home of its idempotency key allows it.
    AwaitingHome,
    /// The request waits for a slot.
    Waiting,
    /// The request waits for a slot here and in the queue of a peer.
    AwaitingPeer {
        /// The peer that was sent the slot request.
        peer: MemberId,
        /// Time at which the slot request was sent.
        asked: Time,
    },
    /// The request runs on a worker that this member holds.
    Local(VmKey),
    /// The request runs on a worker that a peer holds.
    Remote {
        /// The peer that granted the slot.
        peer: MemberId,
        /// Time at which the slot request was sent.
        asked: Time,
    },
}

/// A request of a caller that is connected to this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The team that the request runs for; `None` for a request without a team key.
    pub team: Option<Name>,
    /// Name of the profile.
    pub profile_name: Name,
    /// The profile as it was when the request arrived.
    pub profile: Profile,
    /// Time at which the request arrived.
    pub arrived: Time,
    /// Time at which the request is refused if it still waits.
    pub expires: Time,
    /// The present state.
    pub state: State,
    /// The idempotency key, once its home has allowed the request.
    pub intent: Option<crate::wire::IdemKey>,
    /// Number of times that the request was dispatched.
    pub attempts: u32,
    /// Peers that denied a slot, until all have done so.
    pub denied_by: BTreeSet<MemberId>,
    /// Earliest time at which the next peer is sent a slot request.
    pub next_peer_request: Time,
    /// Start time, charge and class; set while the request runs.
    pub started: Option<Started>,
}

/// When and at what charge a request started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Started {
    /// Time of the start.
    pub at: Time,
    /// Cost that the team was charged in advance.
    pub charged: u64,
    /// Class in which the request waited.
    pub class: Class,
}

/// A request that waits for a slot of this member's workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiter {
    /// A request of a caller of this entry.
    Own(CallKey),
    /// A request of a caller of a peer.
    Peer(MemberId, CallKey),
}

/// A slot request of a peer that waits for a slot of this member's workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRequest {
    /// The slot request, as last received.
    pub request: SlotRequest,
    /// Time at which the request is denied if no slot has become free.
    pub until: Time,
}

impl Call {
    /// Returns the resources that the request occupies on a worker.
    pub fn size(&self) -> &Resources {
        &self.profile.size
    }
}

/// A slot of this member's workers that was granted to a peer's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// The requester's clock when it sent the slot request, in microseconds.
    pub asked: u64,
    /// The worker that has the slot.
    pub vm: VmKey,
    /// The team that the request runs for; `None` for a request without a team key.
    pub team: Option<Name>,
    /// Resources that the request occupies.
    pub size: Resources,
    /// Time by which the peer should have returned the slot.
    ///
    /// Afterwards the outcome of the request counts as unknown.
    pub until: Time,
    /// Start time, charge and class of the request.
    pub started: Started,
}

/// All requests that wait or run at this member.
#[derive(Debug, Default)]
pub struct Calls {
    /// Requests of this entry's callers that have no final response yet.
    pub open: BTreeMap<CallKey, Call>,
    /// Requests that wait for a slot, of this entry's and of peers' callers.
    pub queue: Queue<Waiter>,
    /// Waiting requests of this entry's callers, by the time at which they expire.
    pub by_expiry: BTreeSet<(Time, CallKey)>,
    /// Slots granted to peers, by peer and request.
    pub granted: BTreeMap<(MemberId, CallKey), Granted>,
    /// Waiting slot requests of peers, by peer and request.
    pub peer_requests: BTreeMap<(MemberId, CallKey), PeerRequest>,
    /// Waiting slot requests of peers, by the time at which they are denied.
    pub peer_expiry: BTreeSet<(Time, MemberId, CallKey)>,
    /// Number of slots that urgent and quick requests occupy.
    pub short_slots: u64,
}
