//! The spans that the protocols rest on, and the rules between them.

use crate::time::Duration;

/// Spans used by the reducer; every process of a cell uses the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a read of the log's tail vouches for a member.
    pub read_validity: Duration,
    /// How long a guard's promise vouches for a member.
    pub promise_validity: Duration,
    /// Silence after which a guard votes against a member.
    pub suspect_after: Duration,
    /// Pause between pings to guards.
    pub ping_interval: Duration,
    /// Pause between reads of the control stream.
    pub read_interval: Duration,
    /// Pause after which an append without a reply is sent again.
    pub append_retry: Duration,
    /// How long a granted slot may wait for its dispatch, at the asker.
    pub grant_validity: Duration,
    /// Longest write of a request's head once certainty was checked.
    pub dispatch_max: Duration,
    /// Allowance for clocks that run at different speeds, over one span.
    pub clock_drift: Duration,
    /// Lease of a task on a worker.
    pub lease: Duration,
    /// Pause between syncs with a worker.
    pub sync_interval: Duration,
    /// Pause between summaries to peers.
    pub summary_interval: Duration,
    /// Pause between looks at how holdings are spread.
    pub balance_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            read_validity: Duration::from_millis(2_000),
            promise_validity: Duration::from_millis(2_000),
            suspect_after: Duration::from_millis(1_500),
            ping_interval: Duration::from_millis(400),
            read_interval: Duration::from_millis(400),
            append_retry: Duration::from_millis(1_000),
            grant_validity: Duration::from_millis(500),
            dispatch_max: Duration::from_millis(250),
            clock_drift: Duration::from_millis(100),
            lease: Duration::from_millis(6_000),
            sync_interval: Duration::from_millis(1_000),
            summary_interval: Duration::from_millis(500),
            balance_interval: Duration::from_millis(1_000),
        }
    }
}

impl Timing {
    /// How long a task may run after its holder sent the last renewal of its lease.
    pub fn lease_expiry(&self) -> Duration {
        self.lease + self.dispatch_max + self.clock_drift
    }

    /// How long an heir waits after reading the deciding vote.
    pub fn eviction_wait(&self) -> Duration {
        self.read_validity.max(self.promise_validity)
            + self.grant_validity
            + self.dispatch_max
            + self.clock_drift
    }

    /// How long a new guard waits, after reading that it is one, before it votes.
    pub fn new_guard_wait(&self) -> Duration {
        self.read_validity.max(self.promise_validity)
            + self.promise_validity
            + self.clock_drift
            + self.clock_drift
    }

    /// Longest time from a member's last sign of life to the use of its workers by its heir.
    ///
    /// With the log and the links sound: its guards notice, one after the
    /// other vote, the heir reads the deciding vote, waits, and has a report of
    /// each worker.
    pub fn takeover_max(&self) -> Duration {
        let notice = self.new_guard_wait().max(self.suspect_after);
        let votes = self.append_retry + self.read_interval;
        let report = self.sync_interval.times(2);
        notice + votes + self.eviction_wait() + report
    }

    /// How long a claim of something that may have been held waits before use.
    pub fn claim_wait(&self) -> Duration {
        self.eviction_wait()
    }
}
