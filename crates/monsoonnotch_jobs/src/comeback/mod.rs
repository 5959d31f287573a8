//! After which time the caller of a refused request may come back.
//!
//! Each cause of a refusal passes after a time of its own. Times are spread, so that the callers of an
//! outage do not return together.

use crate::prelude::*;

/// Why a request was refused without effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The store has been unavailable for this long.
    StoreAway(Duration),
    /// The store is slow: an append takes this long.
    StoreSlow(Duration),
    /// No leader has answered in time.
    NoLeader,
    /// The member has no configuration yet.
    Starting,
    /// The caller leaves less time than an append takes.
    NoTime,
    /// The pool is full, for about this long.
    NoRoom(Duration),
    /// The leader's memory has no room for the job, or the member's for the request.
    NoMemory,
}

/// Shortest time that is given to callers: a change of leader takes about as long.
const RETRY_MIN: Duration = Duration::from_millis(1_000);
/// Longest time that is given to callers: an outage may end at any moment.
const RETRY_MAX: Duration = Duration::from_millis(6_000);
/// Part of the time over which the returns of callers are spread.
const SPREAD: f64 = 0.5;

impl Cause {
    /// Returns the name of the cause in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::StoreAway(_) => "store_away",
            Self::StoreSlow(_) => "store_slow",
            Self::NoLeader => "no_leader",
            Self::Starting => "starting",
            Self::NoTime => "no_time",
            Self::NoRoom(_) => "no_room",
            Self::NoMemory => "no_memory",
        }
    }

    /// Returns when it is worth coming back. An outage that has lasted for long is likely to go on
    /// for long, but a caller should not wait for more than half of it after its end.
    fn passes_after(self) -> Duration {
        match self {
            Self::StoreAway(age) => Duration::from_millis(age.as_millis() / 2),
            Self::StoreSlow(wait) | Self::NoRoom(wait) => wait,
            Self::NoLeader | Self::Starting | Self::NoTime | Self::NoMemory => RETRY_MIN,
        }
    }

    /// Returns the time after which a caller may come back, in whole seconds; `draw` from 0 to 1
    /// chooses within the spread.
    pub fn retry_s(self, draw: f64) -> u32 {
        let expected = self.passes_after().max(RETRY_MIN).min(RETRY_MAX);
        let expected_ms = expected.as_millis() as f64;
        let spread_ms = (expected_ms - RETRY_MIN.as_millis() as f64) * SPREAD * draw;
        ((expected_ms + spread_ms) / 1_000.0).round() as u32
    }
}
