//! Placement: choosing a worker for a request or a task.
//!
//! Workers are ordered by their free fraction: the smallest ratio of free to
//! total amount over all resources. On workers of equal capacity, work whose
//! dominant fraction is at most the free fraction always fits, so the first
//! candidate is chosen.

use super::Fleet;
use crate::ident::VmKey;
use crate::resource::Resources;

/// Maximum number of candidates per placement; bounds the cost of a decision.
const CANDIDATES_MAX: usize = 32;

impl Fleet {
    /// Returns a worker for a request: the one with the most free capacity among those that fit.
    ///
    /// `None` when none of the candidates fits.
    pub fn place_request(&self, need: &Resources) -> Option<VmKey> {
        let emptiest = self.by_free_fraction.iter().rev().take(CANDIDATES_MAX);
        emptiest.map(|(_, k)| *k).find(|k| self.fits(*k, need))
    }

    /// Returns a worker for a task: the fullest that fits, which keeps large free areas intact.
    ///
    /// `None` when none of the candidates fits.
    pub fn place_task(&self, need: &Resources) -> Option<VmKey> {
        let fraction = need.dominant_fraction(&self.reference);
        let fullest = self
            .by_free_fraction
            .range((fraction, VmKey(0))..)
            .take(CANDIDATES_MAX);
        let best = fullest.map(|(_, k)| *k).find(|k| self.fits(*k, need));
        best.or_else(|| self.place_request(need))
    }

    fn fits(&self, key: VmKey, need: &Resources) -> bool {
        self.get(key).is_some_and(|vm| vm.free().fits(need))
    }
}
