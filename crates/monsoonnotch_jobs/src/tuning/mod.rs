//! Parameters of the scheduler.

use monsoonnotch_core::time::Duration;

/// Durations and limits that the scheduler works with.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Lease requested with each status poll of a VM. Longer than a restart of all
    /// members including the change of leader (about 2 s), and short enough that lost
    /// work is soon replaced.
    pub lease: Duration,
    /// Longest lease that a VM grants; a VM shortens a longer one. Fixed by the platform.
    pub lease_max: Duration,
    /// How long a start order stays valid, measured on the VM's clock. Shorter than the
    /// 2 s after which delayed orders arrive, so that a VM refuses those.
    pub start_valid: Duration,
    /// How long a VM may hold a status poll open until a run finishes; a third of the lease.
    pub poll_wait: Duration,
    /// Longest pause before the next status poll while finished runs wait to be stored:
    /// the VM lists them until then, and would answer at once with nothing new.
    pub poll_pause: Duration,
    /// Pause between appends of progress, so that several finished runs share one append.
    pub flush_pause: Duration,
    /// How long the state of an ended job stays available to queries; fixed by the
    /// platform.
    pub keep_ended: Duration,
    /// How far a VM's clock may run slow, in thousandths; specified by the platform.
    pub drift_milli: u64,
    /// Whether an approval service exists.
    pub approvals: bool,
    /// Share of a pool's CPU capacity that is reserved for the highest priority, in
    /// thousandths.
    pub urgent_reserve_milli: u64,
    /// Whether submissions to full pools are turned away that could not be of use in time.
    pub admission: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(4_000),
            lease_max: Duration::from_millis(10_000),
            start_valid: Duration::from_millis(1_500),
            poll_wait: Duration::from_millis(1_300),
            poll_pause: Duration::from_millis(200),
            flush_pause: Duration::from_millis(15),
            keep_ended: Duration::from_secs(120),
            drift_milli: 20,
            approvals: true,
            urgent_reserve_milli: 60,
            admission: false,
        }
    }
}
