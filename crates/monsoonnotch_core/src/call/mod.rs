//! Callers' requests from arrival to the final answer.

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

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// The home of its idempotency key is to allow it.
    AwaitingHome,
    /// It waits for a slot.
    Waiting,
    /// It waits for a slot, and a peer was asked for one.
    AwaitingPeer {
        /// The peer.
        peer: MemberId,
        /// When it was asked.
        asked: Time,
    },
    /// It runs on a worker that this member holds.
    Local(VmKey),
    /// It runs on a worker that a peer holds.
    Remote {
        /// The peer.
        peer: MemberId,
        /// When it was asked.
        asked: Time,
    },
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The team, unless the queue is open to all.
    pub team: Option<Name>,
    /// The profile's name.
    pub profile_name: Name,
    /// The profile as it was on arrival.
    pub profile: Profile,
    /// When it arrived.
    pub arrived: Time,
    /// When it is given up if it still waits.
    pub expires: Time,
    /// Where it stands.
    pub state: State,
    /// The idempotency key whose home allowed it.
    pub intent: Option<crate::wire::IdemKey>,
    /// Upstreams that it was sent to.
    pub attempts: u32,
    /// Peers that had no slot for it.
    pub refused_by: BTreeSet<MemberId>,
    /// No peer is asked before this time.
    pub next_peer_request: Time,
    /// How it started, while it runs.
    pub started: Option<Started>,
}

/// How something started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Started {
    /// When.
    pub at: Time,
    /// What its team was charged.
    pub charged: u64,
    /// The turn that it waited for.
    pub class: Class,
}

/// Something that waits for a slot here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiter {
    /// A request of an own caller.
    Own(CallKey),
    /// A request of a peer's caller.
    Peer(MemberId, CallKey),
}

/// A peer's request that waits for a slot here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRequest {
    /// The request.
    pub request: SlotRequest,
    /// When the peer is told that there is none.
    pub until: Time,
}

impl Call {
    /// What it takes of a worker.
    pub fn size(&self) -> &Resources {
        &self.profile.size
    }
}

/// A slot of this member's workers that a peer's request uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// The asker's clock when it asked, in microseconds.
    pub asked: u64,
    /// The worker.
    pub vm: VmKey,
    /// The team, unless the queue is open to all.
    pub team: Option<Name>,
    /// What it takes.
    pub size: Resources,
    /// When the peer has certainly stopped using it or should have said so.
    pub until: Time,
    /// How it started.
    pub started: Started,
}

/// All requests that this member has to do with.
#[derive(Debug, Default)]
pub struct Calls {
    /// Requests of own callers.
    pub open: BTreeMap<CallKey, Call>,
    /// What waits.
    pub queue: Queue<Waiter>,
    /// Own requests that wait, by when they are given up.
    pub by_expiry: BTreeSet<(Time, CallKey)>,
    /// Slots granted to peers.
    pub granted: BTreeMap<(MemberId, CallKey), Granted>,
    /// Peers' requests that wait.
    pub peer_requests: BTreeMap<(MemberId, CallKey), PeerRequest>,
    /// The same, by when the peer is told that there is no slot.
    pub peer_expiry: BTreeSet<(Time, MemberId, CallKey)>,
    /// Slots in use by urgent and quick requests.
    pub short_slots: u64,
}
