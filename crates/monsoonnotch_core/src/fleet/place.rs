//! Choosing a worker.
//!
//! Workers are ordered by their level: the least fraction of any resource that
//! is free. Work whose dominant fraction is at most the level fits whatever
//! it is made of, so that among like workers the first look succeeds.

use super::Fleet;
use crate::ident::VmKey;
use crate::resource::Resources;

/// Workers looked at before a placement gives up; bounds the cost of a decision.
const LOOKS: usize = 32;

impl Fleet {
    /// A worker for short work: the one with the most room that fits.
    pub fn place_request(&self, need: &Resources) -> Option<VmKey> {
        let roomy = self.by_level.iter().rev().take(LOOKS);
        roomy.map(|(_, k)| *k).find(|k| self.fits(*k, need))
    }

    /// A worker for other work: the fullest that fits, so that large gaps stay whole.
    pub fn place_task(&self, need: &Resources) -> Option<VmKey> {
        let level = need.dominant_fraction(&self.reference);
        let tight = self.by_level.range((level, VmKey(0))..).take(LOOKS);
        let best = tight.map(|(_, k)| *k).find(|k| self.fits(*k, need));
        best.or_else(|| self.place_request(need))
    }

    fn fits(&self, key: VmKey, need: &Resources) -> bool {
        self.get(key).is_some_and(|vm| vm.free().fits(need))
    }
}
