//! Failed attempts of a task, or of a gang, which fails as a unit.

use super::*;
use crate::journal::FAILED_KEPT_MAX;

/// The numbers of the attempts that failed: the last ones one by one, because a finished run may be listed
/// more than once and late, and how many there were before.
#[derive(Debug, Default, Clone)]
pub(super) struct Failures {
    kept: BTreeSet<u64>,
    /// Number of the earlier ones.
    before: u64,
    /// The last of the earlier ones.
    last_before: u64,
}

impl Failures {
    /// Counts a failed attempt; returns false if it is counted already.
    pub(super) fn insert(&mut self, attempt: u64) -> bool {
        let counted = self.before > 0 && attempt <= self.last_before;
        if counted || !self.kept.insert(attempt) {
            return false;
        }
        while self.kept.len() > FAILED_KEPT_MAX
            && let Some(first) = self.kept.pop_first()
        {
            self.before += 1;
            self.last_before = first;
        }
        true
    }

    /// Takes over what is stored: the last attempts, and the number and the last of those before.
    pub(super) fn restore(&mut self, kept: &[u64], before: (u64, u64)) {
        self.before = self.before.max(before.0);
        self.last_before = self.last_before.max(before.1);
        self.kept = self.kept.split_off(&self.last_before.saturating_add(1));
        for &attempt in kept {
            self.insert(attempt);
        }
    }

    /// Returns the number of failed attempts.
    pub(super) fn count(&self) -> u64 {
        self.before + self.kept.len() as u64
    }

    /// Returns the last failed attempts.
    pub(super) fn kept(&self) -> Vec<u64> {
        self.kept.iter().copied().collect()
    }

    /// Returns the number of the failed attempts before those that are kept, and the last of them.
    pub(super) fn before(&self) -> (u64, u64) {
        (self.before, self.last_before)
    }
}
