//! Choosing a worker.

use super::Fleet;
use crate::ident::VmKey;
use crate::resource::Resources;

/// Workers looked at before a placement gives up; bounds the cost of a decision.
const LOOKS: usize = 32;

impl Fleet {
    /// A worker for a request: the one with the most free slots that fits.
    pub fn place_request(&self, need: &Resources) -> Option<VmKey> {
        let roomy = self.by_free.iter().rev().take(LOOKS);
        roomy
            .take_while(|(free, _)| *free >= need.slots)
            .map(|(_, key)| *key)
            .find(|key| self.fits(*key, need))
    }

    /// A worker for a task: the fullest that fits, so that large gaps stay whole.
    pub fn place_task(&self, need: &Resources) -> Option<VmKey> {
        let from = (need.slots.max(1), VmKey(0));
        let tight = self.by_free.range(from..).take(LOOKS);
        let best = tight.map(|(_, k)| *k).find(|k| self.fits(*k, need));
        best.or_else(|| self.place_request(need))
    }

    fn fits(&self, key: VmKey, need: &Resources) -> bool {
        self.get(key).is_some_and(|vm| vm.free().fits(need))
    }
}
