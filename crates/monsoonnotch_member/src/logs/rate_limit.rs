//! The limit on log lines per second.

use std::time::Duration;
use std::time::Instant;

/// Maximum number of warnings and errors per second. They are counted apart from the other
/// lines, which therefore cannot displace them.
pub const WARNINGS_MAX: u32 = 200;

/// Counts the lines of the current second.
#[derive(Debug)]
pub struct RateLimit {
    /// Maximum number of lines per second, warnings and errors aside.
    lines_max: u32,
    /// When the current second began; `None` before the first line.
    began: Option<Instant>,
    lines: u32,
    warnings: u32,
    /// Number of lines dropped since the last report of dropped lines.
    dropped: u64,
}

impl RateLimit {
    /// Creates a limit of `lines_max` lines and [`WARNINGS_MAX`] warnings per second.
    pub fn new(lines_max: u32) -> Self {
        Self {
            lines_max,
            began: None,
            lines: 0,
            warnings: 0,
            dropped: 0,
        }
    }

    /// Counts a line against the limit.
    ///
    /// Returns `None` when the line is dropped. Otherwise returns the number of dropped lines
    /// to report: nonzero only for the first line of a new second.
    pub fn admit(&mut self, now: Instant, is_warning: bool) -> Option<u64> {
        let second = Duration::from_secs(1);
        let mut dropped = 0;
        if self
            .began
            .is_none_or(|began| now.duration_since(began) >= second)
        {
            dropped = std::mem::take(&mut self.dropped);
            self.began = Some(now);
            self.lines = 0;
            self.warnings = 0;
        }
        let (count, count_max) = match is_warning {
            true => (&mut self.warnings, WARNINGS_MAX),
            false => (&mut self.lines, self.lines_max),
        };
        if *count >= count_max {
            self.dropped += 1;
            return None;
        }
        *count += 1;
        Some(dropped)
    }

    /// Counts a line that was admitted but could not be written.
    pub(super) fn count_dropped(&mut self) {
        self.dropped += 1;
    }
}
