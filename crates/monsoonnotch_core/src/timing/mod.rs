//! Timeouts and intervals of the protocols between members, and spans derived from them.

use crate::time::Duration;

/// Timeouts and intervals of the protocols; the same in every process of a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a read to the tail of the control stream keeps a member certain.
    pub read_validity: Duration,
    /// How long a guard's promise keeps a member certain.
    pub promise_validity: Duration,
    /// Time without a ping after which a guard votes to evict a member.
    pub suspect_after: Duration,
    /// Interval between pings to guards.
    pub ping_interval: Duration,
    /// Interval between reads of the control stream.
    pub read_interval: Duration,
    /// Time after which an append without a reply is resent.
    pub append_retry: Duration,
    /// How long a granted slot stays valid at the requester, counted from its request.
    pub grant_validity: Duration,
    /// Maximum time from the check of certainty to the end of writing a request's head.
    pub dispatch_max: Duration,
    /// Maximum drift between two clocks over one of these spans.
    pub clock_drift: Duration,
    /// Lease of a task on a worker.
    pub lease: Duration,
    /// Interval between syncs with a worker.
    pub sync_interval: Duration,
    /// Interval between load summaries to peers.
    pub summary_interval: Duration,
    /// Interval between checks of how holdings are distributed over members.
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
    /// Returns how long a task may run after the worker's holder sent the last lease renewal.
    pub fn lease_expiry(&self) -> Duration {
        self.lease + self.dispatch_max + self.clock_drift
    }

    /// Returns how long a successor waits after reading the vote that evicts its predecessor.
    ///
    /// After this time the evicted member is no longer certain, and no request that it or
    /// its peers dispatched under its certainty is still being written.
    pub fn eviction_wait(&self) -> Duration {
        self.read_validity.max(self.promise_validity)
            + self.grant_validity
            + self.dispatch_max
            + self.clock_drift
    }

    /// Returns how long a new guard waits, after reading that it is one, before it may vote.
    pub fn new_guard_wait(&self) -> Duration {
        self.read_validity.max(self.promise_validity)
            + self.promise_validity
            + self.clock_drift
            + self.clock_drift
    }

    /// Returns the maximum time from a member's last message until its successor uses its workers.
    ///
    /// It assumes that the log and the links between members work. The guards
    /// detect the missing pings and vote one after the other. The successor
    /// reads the last vote, waits, and receives a report from each worker.
    pub fn takeover_max(&self) -> Duration {
        let detection = self.new_guard_wait().max(self.suspect_after);
        let votes = self.append_retry + self.read_interval;
        let report = self.sync_interval.times(2);
        detection + votes + self.eviction_wait() + report
    }

    /// Returns how long a member waits before it uses a claimed holding that may have had a holder.
    pub fn claim_wait(&self) -> Duration {
        self.eviction_wait()
    }
}
