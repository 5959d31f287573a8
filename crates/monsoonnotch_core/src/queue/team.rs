//! One team's waiting work and its account.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::CLASSES;
use super::Class;
use super::SCALE;
use super::rate::Rate;
use crate::time::Duration;
use crate::time::Time;

/// Priorities that there are.
const PRIORITIES: usize = 10;
/// Time for which a team without work is remembered.
const REMEMBER: Duration = Duration::from_secs(60);

/// Order within a team: high priority first, then arrival.
pub(super) type Place = (Reverse<u8>, Time, u64);

pub(super) fn place(priority: u8, arrived: Time, nth: u64) -> Place {
    (Reverse(priority), arrived, nth)
}

/// One piece of waiting work.
#[derive(Debug, Clone, Copy)]
pub(super) struct Item<K> {
    pub(super) key: K,
    pub(super) priority: u8,
}

/// One team's work of one class.
#[derive(Debug)]
pub(super) struct ClassQueue<K> {
    items: BTreeMap<Place, Item<K>>,
    counts: [u32; PRIORITIES],
    since: Option<Time>,
    starts: Rate,
}

impl<K> Default for ClassQueue<K> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            counts: [0; PRIORITIES],
            since: None,
            starts: Rate::default(),
        }
    }
}

impl<K: Copy> ClassQueue<K> {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn first(&self) -> Option<K> {
        self.keys().next()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = K> {
        self.items.values().map(|i| i.key)
    }

    pub(super) fn insert(&mut self, now: Time, place: Place, item: Item<K>) {
        self.counts[usize::from(item.priority).min(PRIORITIES - 1)] += 1;
        self.items.insert(place, item);
        if self.since.is_none() {
            // Only starts while work waits say how fast a backlog drains.
            self.since = Some(now);
            self.starts.restart(now);
        }
    }

    pub(super) fn remove(&mut self, place: Place) {
        if let Some(item) = self.items.remove(&place) {
            self.counts[usize::from(item.priority).min(PRIORITIES - 1)] -= 1;
        }
        if self.items.is_empty() {
            self.since = None;
        }
    }

    pub(super) fn count_start(&mut self, now: Time) {
        self.starts.count(now);
    }

    /// Since when something has waited without a break.
    pub(super) fn waits_since(&self) -> Option<Time> {
        self.since
    }

    /// Pieces that go before a new one of `priority`.
    pub(super) fn ahead_of(&self, priority: u8) -> u32 {
        self.counts[usize::from(priority).min(PRIORITIES - 1)..]
            .iter()
            .sum()
    }

    /// How long `n` starts take.
    pub(super) fn time_for(&self, now: Time, n: u32) -> Duration {
        self.starts.time_for(now, n)
    }
}

/// One team's waiting work and its account.
#[derive(Debug)]
pub(super) struct TeamQueue<K> {
    pub(super) share: u32,
    pub(super) parked: bool,
    virtual_time: u64,
    period: u64,
    lanes: [ClassQueue<K>; CLASSES],
}

impl<K> Default for TeamQueue<K> {
    fn default() -> Self {
        Self {
            share: 1,
            parked: false,
            virtual_time: 0,
            period: 0,
            lanes: Default::default(),
        }
    }
}

impl<K: Copy> TeamQueue<K> {
    pub(super) fn lane(&self, class: Class) -> &ClassQueue<K> {
        &self.lanes[class as usize]
    }

    pub(super) fn lane_mut(&mut self, class: Class) -> &mut ClassQueue<K> {
        &mut self.lanes[class as usize]
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lanes.iter().all(|l| l.items.is_empty())
    }

    pub(super) fn is_recent(&self, now: Time) -> bool {
        self.lanes.iter().any(|l| l.starts.is_recent(now, REMEMBER))
    }

    /// The turn of each class that has work.
    pub(super) fn turns(&self) -> [Option<u64>; CLASSES] {
        let turn = |l: &ClassQueue<K>| (!self.parked && l.len() > 0).then_some(self.virtual_time);
        [0, 1, 2].map(|i| turn(&self.lanes[i]))
    }

    /// Begins to wait; an account from before everything was idle is void.
    pub(super) fn join(&mut self, period: u64, virtual_time: u64) {
        self.virtual_time = match self.period == period {
            true => self.virtual_time.max(virtual_time),
            false => virtual_time,
        };
        self.period = period;
    }

    pub(super) fn unpark(&mut self, virtual_time: u64) {
        self.parked = false;
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    pub(super) fn spend(&mut self, cost: u64) {
        let step = cost.max(1).saturating_mul(SCALE) / u64::from(self.share.max(1));
        self.virtual_time = self.virtual_time.saturating_add(step);
    }

    pub(super) fn correct(&mut self, charged: u64, cost: u64) {
        let share = u64::from(self.share.max(1));
        let more = cost.saturating_sub(charged).saturating_mul(SCALE) / share;
        let less = charged.saturating_sub(cost).saturating_mul(SCALE) / share;
        self.virtual_time = self.virtual_time.saturating_add(more).saturating_sub(less);
    }
}
