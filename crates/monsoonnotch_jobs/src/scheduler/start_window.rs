//! The window of starts: how many starts may be without an answer.
//!
//! While answers are late, every further start adds to what delays them. Each late answer shrinks the
//! window, and timely ones widen it.
//!
//! Neither depends on answers alone, because a VM that has crashed or is cut off gives none: a start leaves
//! the window for certain, by its answer, by the end of its run, by a later answer of its VM or
//! after [`COUNTED_MAX`], and the window widens again once this member is no longer saturated.

use super::*;

/// Factor of the window for each late answer.
const DECREASE: f64 = 0.97;
/// Sum by which the window grows with as many timely answers as it admits starts.
const INCREASE: f64 = 4.0;
/// Factor by which the window grows in each [`WIDEN_INTERVAL`] without a late answer.
const WIDEN_FACTOR: f64 = 2.0;
const WIDEN_INTERVAL: Duration = Duration::from_secs(1);
/// Smallest number of starts without an answer that are admitted.
const SIZE_MIN: f64 = 8.0;
/// Size from which starts are not bounded.
const SIZE_MAX: f64 = 2_048.0;
/// Time for which a start counts that gets no answer. VMs refuse one that arrives later.
const COUNTED_MAX: Duration = Duration::from_secs(2);

/// The size of the window, and the starts that count against it.
#[derive(Debug)]
pub(super) struct StartWindow {
    size: f64,
    /// When it was last shrunk, or widened because of the time.
    resized_at: Time,
    /// Starts without an answer, with the time when each was first sent.
    open: BTreeMap<RunKey, Time>,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            size: SIZE_MAX,
            resized_at: Time::default(),
            open: BTreeMap::new(),
        }
    }
}

impl StartWindow {
    /// Applies a late answer.
    pub(super) fn shrink(&mut self, now: Time) {
        self.size = (self.size * DECREASE).max(SIZE_MIN);
        self.resized_at = now;
    }

    /// Applies a timely answer.
    pub(super) fn widen(&mut self) {
        self.size = (self.size + INCREASE / self.size).min(SIZE_MAX);
    }

    /// Widens the window if no answer was late for some time, and drops the starts that get no
    /// answer any more.
    pub(super) fn scan(&mut self, now: Time, saturated: bool) {
        self.open.retain(|_, sent| now < *sent + COUNTED_MAX);
        if !saturated && now >= self.resized_at + WIDEN_INTERVAL {
            self.size = (self.size * WIDEN_FACTOR).min(SIZE_MAX);
            self.resized_at = now;
        }
    }

    /// Records that the start of a run is sent for the first time.
    pub(super) fn sent(&mut self, run: RunKey, now: Time) {
        self.open.insert(run, now);
    }

    /// Records that the start of a run is answered, or gets no answer any more.
    pub(super) fn closed(&mut self, run: RunKey) {
        self.open.remove(&run);
    }

    /// Returns how many starts may be without an answer.
    pub(super) fn size(&self) -> usize {
        self.size as usize
    }

    /// Returns the starts that count.
    pub(super) fn open(&self) -> impl Iterator<Item = (&RunKey, &Time)> {
        self.open.iter()
    }

    /// Returns how many more starts may be sent now.
    pub(super) fn admitted(&self) -> usize {
        match self.size < SIZE_MAX {
            true => self.size().saturating_sub(self.open.len()),
            false => usize::MAX,
        }
    }
}
