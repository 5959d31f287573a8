//! The spans that the protocols rest on, and the rules between them.

use crate::time::Duration;

/// Spans used by the reducer; every process of a cell uses the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a read of the log's tail vouches for a member.
    pub fresh: Duration,
    /// How long a guard's promise vouches for a member.
    pub promise: Duration,
    /// Silence after which a guard votes against a member.
    pub suspect: Duration,
    /// Pause between pings to guards.
    pub ping: Duration,
    /// Pause between reads of the control stream.
    pub read: Duration,
    /// Pause after which an append without a reply is sent again.
    pub append: Duration,
    /// How long a granted slot may wait for its dispatch, at the asker.
    pub grant: Duration,
    /// Longest write of a request's head once certainty was checked.
    pub dispatch: Duration,
    /// Allowance for clocks that run at different speeds, over one span.
    pub drift: Duration,
    /// Lease of a task on a worker.
    pub lease: Duration,
    /// Pause between syncs with a worker.
    pub sync: Duration,
    /// Pause between summaries to peers.
    pub summary: Duration,
    /// Pause between looks at how holdings are spread.
    pub balance: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            fresh: Duration::from_millis(2_000),
            promise: Duration::from_millis(2_000),
            suspect: Duration::from_millis(1_500),
            ping: Duration::from_millis(400),
            read: Duration::from_millis(400),
            append: Duration::from_millis(1_000),
            grant: Duration::from_millis(500),
            dispatch: Duration::from_millis(250),
            drift: Duration::from_millis(100),
            lease: Duration::from_millis(6_000),
            sync: Duration::from_millis(1_000),
            summary: Duration::from_millis(500),
            balance: Duration::from_millis(1_000),
        }
    }
}

impl Timing {
    /// How long a task may run after its holder sent the last renewal of its lease.
    pub fn lapse(&self) -> Duration {
        self.lease + self.dispatch + self.drift
    }

    /// How long an heir waits after reading the deciding vote.
    pub fn evict(&self) -> Duration {
        self.fresh.max(self.promise) + self.grant + self.dispatch + self.drift
    }

    /// How long a new guard waits, after reading that it is one, before it votes.
    pub fn new_guard(&self) -> Duration {
        self.fresh.max(self.promise) + self.promise + self.drift + self.drift
    }

    /// Longest time from a member's last sign of life to the use of its workers by its heir.
    ///
    /// With the log and the links sound: its guards notice, one after the
    /// other vote, the heir reads the deciding vote, waits, and has a report of
    /// each worker.
    pub fn takeover(&self) -> Duration {
        let notice = self.new_guard().max(self.suspect);
        let votes = self.append + self.read;
        let report = self.sync.times(2);
        notice + votes + self.evict() + report
    }

    /// How long a claim of something that may have been held waits before use.
    pub fn settle(&self) -> Duration {
        self.evict()
    }
}
