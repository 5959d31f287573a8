//! Switches of the scheduling policy, which let measurements turn off each part.

/// How the peer is selected that a request is forwarded to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum PeerSelection {
    /// Selects the peer with the least load by its last summary.
    LeastLoaded,
    /// Selects the less loaded of two peers that a hash picks.
    #[default]
    TwoChoices,
    /// Selects the peer with the lowest price.
    Price,
}

/// Switches of the scheduling policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether slots are kept free for short requests.
    pub headroom: bool,
    /// Whether requests whose expected wait exceeds their limit are refused on arrival.
    pub shed: bool,
    /// Whether run times are estimated from finished runs, so that teams are charged for the real
    /// use.
    pub learn_run_times: bool,
    /// Whether requests of peers are queued when no slot is free.
    pub queue_peer_requests: bool,
    /// Whether workers on which work keeps failing are quarantined.
    pub quarantine: bool,
    /// How the peer is selected that a request is forwarded to.
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
