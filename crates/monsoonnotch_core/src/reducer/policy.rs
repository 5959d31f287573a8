//! What the decisions do; every part can be taken out to measure it.

/// How a peer is chosen to ask for a slot.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum PeerSelection {
    /// The one with the most room by its last summary.
    LeastLoaded,
    /// The better of two that a hash picks.
    #[default]
    TwoChoices,
    /// The one with the lowest price.
    Price,
}

/// How work is placed and refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether room is kept for short requests.
    pub headroom: bool,
    /// Whether requests that would wait too long are refused on arrival.
    pub shed: bool,
    /// Whether run times are learned, so that turns cost what the work takes.
    pub learn_run_times: bool,
    /// Whether peers' requests wait here when no slot is free.
    pub queue_peer_requests: bool,
    /// Whether workers that fail what they start are put aside.
    pub quarantine: bool,
    /// How a peer is chosen to ask for a slot.
    pub peer_selection: PeerSelection,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            headroom: true,
            shed: true,
            learn_run_times: true,
            queue_peer_requests: true,
            quarantine: true,
            peer_selection: PeerSelection::default(),
        }
    }
}
