//! A price that expresses how scarce this member's slots are.
//!
//! It follows D'Aronco, Toni and Frossard, "Price-based Controller for
//! Quality-Fair HTTP Adaptive Streaming": the difference between the longest
//! wait of a period and a target is low-pass filtered and drives a proportional
//! and an integral term.

use crate::time::Duration;

/// Target of the longest wait.
const TARGET_WAIT: Duration = Duration::from_millis(50);
/// Weight of the previous error in the low-pass filter.
const FILTER_WEIGHT: f64 = 0.75;
/// Gain of the current error.
const PROPORTIONAL_GAIN: f64 = 1.0;
/// Gain of the integrated error.
const INTEGRAL_GAIN: f64 = 0.25;
/// Upper bound of the integrated error, in milliseconds.
const INTEGRAL_MAX_MS: f64 = 10_000.0;

/// State of the price controller, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct Price {
    error: f64,
    integral: f64,
}

impl Price {
    /// Returns the price after a period whose longest wait was `wait`.
    pub(super) fn next(&mut self, wait: Duration) -> u32 {
        let excess_ms = (wait.0 as f64 - TARGET_WAIT.0 as f64) / 1_000.0;
        self.error = FILTER_WEIGHT * self.error + (1.0 - FILTER_WEIGHT) * excess_ms;
        self.integral = (self.integral + self.error).clamp(0.0, INTEGRAL_MAX_MS);
        let price = PROPORTIONAL_GAIN * self.error + INTEGRAL_GAIN * self.integral;
        price.max(0.0) as u32
    }
}
