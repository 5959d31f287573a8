//! The size and the timeout of appends to a store that may be slow.
//!
//! A slow store takes a fixed time for each append and stores fewer bytes in a second. An
//! append that is given up and sent again is stored twice, and both copies delay what
//! follows. Batches therefore shrink until they are stored in time, and timeouts follow the
//! measured times.

use crate::prelude::*;

/// Bytes of the smallest and of the largest batch. The store accepts 2 MB per append, but the first
/// append after it has become slow should not occupy it for seconds.
const BYTES: std::ops::RangeInclusive<usize> = (64 << 10)..=(128 << 10);
/// Shortest and longest timeout. A slow store takes 50 to 70 times its usual 4 ms.
const TIMEOUT_MIN: Duration = Duration::from_millis(350);
const TIMEOUT_MAX: Duration = Duration::from_millis(1_400);
/// Multiple of the measured time that a timeout allows for.
const TIMEOUT_FACTOR: f64 = 2.5;
/// Longest time that an append should take, so that a wait for the one under way and the own one fit
/// into two thirds of a caller's usual timeout.
const TARGET: Duration = Duration::from_millis(900);
/// An append that takes no longer shows that the store is not slow.
const QUICK: Duration = Duration::from_millis(120);
/// Weight of the newest append in the mean time.
const MEAN_WEIGHT: f64 = 0.4;

/// Measured times of appends, and what follows for the next one.
#[derive(Debug)]
pub struct AppendPace {
    mean_ms: f64,
    bytes_max: usize,
    /// Number of appends that timed out since the last that was stored.
    timeouts: u32,
}

impl Default for AppendPace {
    fn default() -> Self {
        Self {
            mean_ms: 0.0,
            bytes_max: *BYTES.end(),
            timeouts: 0,
        }
    }
}

impl AppendPace {
    /// Returns the size in bytes at which no further record is added to a batch.
    pub fn bytes_max(&self) -> usize {
        self.bytes_max
    }

    /// Returns the expected time of the next append. A caller who has less time left is better
    /// refused at once.
    pub fn expected(&self) -> Duration {
        Duration::from_millis(self.mean_ms as u64)
    }

    /// Returns the timeout of the next append.
    pub fn timeout(&self) -> Duration {
        let measured = Duration::from_millis((self.mean_ms * TIMEOUT_FACTOR) as u64);
        let timeout = measured.max(TIMEOUT_MIN).times(1 << self.timeouts.min(2));
        timeout.min(TIMEOUT_MAX)
    }

    /// Records an append of `bytes` that was stored.
    pub fn stored(&mut self, bytes: usize, took: Duration) {
        self.timeouts = 0;
        self.record(took);
        if took <= QUICK {
            self.limit_bytes(self.bytes_max * 2);
        } else if took.times(4) < TARGET.times(3) {
            self.limit_bytes(self.bytes_max + self.bytes_max / 4);
        } else if took > TARGET {
            let share = TARGET.as_millis() as f64 / took.as_millis() as f64;
            self.limit_bytes((bytes as f64 * share) as usize);
        }
    }

    /// Records an append of `bytes` that was given up after `took`. One that was much smaller than
    /// allowed was not given up because of its size.
    pub fn timed_out(&mut self, bytes: usize, took: Duration) {
        self.timeouts += 1;
        self.record(took);
        if bytes * 2 > self.bytes_max {
            self.limit_bytes(bytes / 2);
        }
    }

    fn record(&mut self, took: Duration) {
        self.mean_ms += MEAN_WEIGHT * (took.as_millis() as f64 - self.mean_ms);
    }

    fn limit_bytes(&mut self, bytes: usize) {
        self.bytes_max = bytes.clamp(*BYTES.start(), *BYTES.end());
    }
}
