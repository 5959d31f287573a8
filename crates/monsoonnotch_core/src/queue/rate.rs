//! How often something happens, with old events counting less and less.

use crate::time::Duration;
use crate::time::Time;

/// Time after which an event counts 1/e.
const MEMORY_US: f64 = 5_000_000.0;
/// Longest time that is told.
const LONGEST: Duration = Duration::from_secs(60);

/// A decaying count of events.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Rate {
    count: f64,
    last: Time,
    /// Since when events are counted.
    since: Time,
}

impl Rate {
    /// Counts anew.
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

    /// How long `n` events take at this rate.
    pub(super) fn time_for(&self, now: Time, n: u32) -> Duration {
        // Of a rate that is as young as this, the count has seen only so much.
        let age = now.since(self.since).0.max(1) as f64;
        let old = (-age / MEMORY_US).exp();
        let seen = MEMORY_US * (1.0 - old);
        // One event more than seen, for as long as that little was seen.
        let count = self.at(now) + old;
        let us = f64::from(n) * seen / count.max(f64::MIN_POSITIVE);
        match us < LONGEST.0 as f64 {
            true => Duration(us as u64),
            false => LONGEST,
        }
    }

    fn at(&self, now: Time) -> f64 {
        self.count * (-(now.since(self.last).0 as f64) / MEMORY_US).exp()
    }
}
