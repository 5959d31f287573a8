//! Detects that the process was paused or that its VM was suspended.
//!
//! The steady clock counts the time of a paused process, but not that of a suspended VM, which
//! only the time of day counts. A step of the time of day looks like a suspension; that costs
//! one request to the store.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Compares the time between two calls with the time that was to pass.
#[derive(Debug)]
pub struct Detector {
    steady: Instant,
    wall: SystemTime,
}

impl Detector {
    /// Creates a detector that counts from the given times.
    pub fn new(steady: Instant, wall: SystemTime) -> Self {
        Self { steady, wall }
    }

    /// Returns whether more than `expected` has passed since the last call, by either clock.
    pub fn was_paused(&mut self, expected: Duration, steady: Instant, wall: SystemTime) -> bool {
        let steady_passed = steady.saturating_duration_since(self.steady);
        // A time of day that has stepped back shows no pause.
        let wall_passed = wall.duration_since(self.wall).unwrap_or_default();
        (self.steady, self.wall) = (steady, wall);
        steady_passed.max(wall_passed) > expected
    }
}
