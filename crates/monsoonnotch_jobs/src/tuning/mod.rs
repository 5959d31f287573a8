//! Times and amounts that steer the decisions.

use monsoonnotch_core::time::Duration;

/// Settings of the holder; each figure says where it comes from.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Lease asked for with each look at a VM. Longer than a restart of all
    /// members with takeover (about 2 s), short enough to replace lost work.
    pub lease: Duration,
    /// Time within which a start counts on the VM's clock. Shorter than the
    /// 2 s after which delayed orders arrive.
    pub start_valid: Duration,
    /// How long a look waits for an end; a third of the lease.
    pub poll_wait: Duration,
    /// Pause between looks that bring nothing because ends cannot be stored.
    pub poll_pause: Duration,
    /// Pause between appends of progress, so that ends share one.
    pub flush_pause: Duration,
    /// How long the state of an ended job is kept, from the bounds.
    pub keep_ended: Duration,
    /// How far a VM's clock may run slow, in thousandths; from the platform's page.
    pub drift_milli: u64,
    /// Whether an approval service exists.
    pub approvals: bool,
    /// Processor share of the fleet kept free for the first priority, in thousandths.
    pub urgent_reserve_milli: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(4_000),
            start_valid: Duration::from_millis(1_500),
            poll_wait: Duration::from_millis(1_300),
            poll_pause: Duration::from_millis(200),
            flush_pause: Duration::from_millis(15),
            keep_ended: Duration::from_secs(120),
            drift_milli: 20,
            approvals: true,
            urgent_reserve_milli: 60,
        }
    }
}
