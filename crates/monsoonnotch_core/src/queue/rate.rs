//! An exponentially decaying rate of events.

use crate::time::Duration;
use crate::time::Time;

/// Time constant of the decay, after which an event counts 1/e, in microseconds.
const DECAY_US: f64 = 5_000_000.0;
/// Upper limit of an estimated time.
const ESTIMATE_MAX: Duration = Duration::from_secs(60);

/// An exponentially decaying count of events.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Rate {
    /// Decayed count as of `last`.
    count: f64,
    /// Time of the last event.
    last: Time,
    /// Time since which events have been counted.
    since: Time,
}

impl Rate {
    /// Resets the count and counts events from `now` on.
    pub(super) fn restart(&mut self, now: Time) {
        self.count = 0.0;
        self.since = now;
    }

    pub(super) fn count(&mut self, now: Time) {
        self.count = self.at(now) + 1.0;
        self.last = now;
    }

    pub(super) fn is_recent(&self, now: Time, span: Duration) -> bool {
        self.last > Time::default() && now.since(self.last) < span
    }

    /// Returns the expected time for `n` events, at most `ESTIMATE_MAX`.
    pub(super) fn time_for(&self, now: Time, n: u32) -> Duration {
        // Events have been counted only since `since`, so the count covers the integral of the
        // decay over that time, which is shorter than `DECAY_US`.
        let age = now.since(self.since).0.max(1) as f64;
        let remainder = (-age / DECAY_US).exp();
        let covered = DECAY_US * (1.0 - remainder);
        // A young count is increased by up to one event, whose weight falls as the count ages.
        let count = self.at(now) + remainder;
        let us = f64::from(n) * covered / count.max(f64::MIN_POSITIVE);
        match us < ESTIMATE_MAX.0 as f64 {
            true => Duration(us as u64),
            false => ESTIMATE_MAX,
        }
    }

    fn at(&self, now: Time) -> f64 {
        self.count * (-(now.since(self.last).0 as f64) / DECAY_US).exp()
    }
}
