//! One number that says how scarce this member's slots are.
//!
//! After D'Aronco, Toni and Frossard, "Price-based Controller for Quality-Fair
//! HTTP Adaptive Streaming": the worst delay of a period against a reference,
//! low-pass filtered, drives a proportional and an integral term.

use crate::time::Duration;

/// Wait that a member aims at.
const REFERENCE: Duration = Duration::from_millis(50);
/// Weight of the old error in the filter.
const FILTER: f64 = 0.75;
/// Gain of the present error.
const PROPORTIONAL: f64 = 1.0;
/// Gain of the summed error.
const INTEGRAL: f64 = 0.25;
/// Bound of the summed error, in milliseconds.
const SUM_MAX: f64 = 10_000.0;

/// The price and what it rests on, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct Price {
    error: f64,
    sum: f64,
}

impl Price {
    /// The price after a period whose longest wait was `wait`.
    pub(super) fn next(&mut self, wait: Duration) -> u32 {
        let off = (wait.0 as f64 - REFERENCE.0 as f64) / 1_000.0;
        self.error = FILTER * self.error + (1.0 - FILTER) * off;
        self.sum = (self.sum + self.error).clamp(0.0, SUM_MAX);
        let price = PROPORTIONAL * self.error + INTEGRAL * self.sum;
        price.max(0.0) as u32
    }
}
