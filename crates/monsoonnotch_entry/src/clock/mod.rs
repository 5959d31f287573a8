//! The monotonic clock of the process.

use std::time::Instant;

use monsoonnotch_core::time::Time;

/// A monotonic clock that reads zero when it is created.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the `Instant` that corresponds to a time of this clock.
    pub fn instant(&self, t: Time) -> Instant {
        self.start + std::time::Duration::from_micros(t.0)
    }
}
