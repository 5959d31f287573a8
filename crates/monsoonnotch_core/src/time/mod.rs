//! Instants and spans on the monotonic clock of one process.
//!
//! Clocks of different processes are unrelated, so a `Time` is never compared
//! with one from another process. Where a message carries a clock reading, as
//! a plain number, only its sender interprets it.

use std::ops::Add;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// An instant, in microseconds since the process started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct Time(pub u64);

/// A span of time, in microseconds.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Duration(pub u64);

impl Duration {
    /// Returns a span of `ms` milliseconds, saturating at the maximum.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Returns a span of `s` seconds, saturating at the maximum.
    pub const fn from_secs(s: u64) -> Self {
        Self(s.saturating_mul(1_000_000))
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in whole seconds, rounded up.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }

    /// Returns the span multiplied by `n`, saturating at the maximum.
    pub const fn times(self, n: u64) -> Self {
        Self(self.0.saturating_mul(n))
    }
}

impl From<Duration> for std::time::Duration {
    fn from(d: Duration) -> Self {
        Self::from_micros(d.0)
    }
}

impl From<std::time::Duration> for Duration {
    fn from(d: std::time::Duration) -> Self {
        Self(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Time {
    /// Returns the span from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(d.0))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(d.0))
    }
}

impl Add for Duration {
    type Output = Self;

    fn add(self, d: Self) -> Self {
        Self(self.0.saturating_add(d.0))
    }
}
