//! The process's own monotonic clock.

use std::time::Instant;

use monsoonnotch_core::time::Time;

/// A clock that starts at zero.
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
    /// The time now.
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The instant of a time.
    pub fn instant(&self, t: Time) -> Instant {
        self.start + std::time::Duration::from_micros(t.0)
    }
}
