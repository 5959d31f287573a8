//! The waiting items of one team and its virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::CLASSES;
use super::Class;
use super::SCALE;
use super::rate::Rate;
use crate::time::Duration;
use crate::time::Time;

/// Number of priorities.
const PRIORITIES: usize = 10;
/// Time since its last start for which the state of a team without items is kept.
const RECENT: Duration = Duration::from_secs(60);

/// Position within a team and class: highest priority first, then in order of arrival.
pub(super) type Position = (Reverse<u8>, Time, u64);

pub(super) fn position(priority: u8, arrived: Time, nth: u64) -> Position {
    (Reverse(priority), arrived, nth)
}

/// One waiting item.
#[derive(Debug, Clone, Copy)]
pub(super) struct Item<K> {
    pub(super) key: K,
    pub(super) priority: u8,
}

/// The waiting items of one team and class.
#[derive(Debug)]
pub(super) struct ClassQueue<K> {
    items: BTreeMap<Position, Item<K>>,
    /// Number of items by priority.
    counts: [u32; PRIORITIES],
    /// Time since which the queue has not been empty.
    since: Option<Time>,
    /// Rate at which items start while others wait.
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

    pub(super) fn insert(&mut self, now: Time, position: Position, item: Item<K>) {
        self.counts[usize::from(item.priority).min(PRIORITIES - 1)] += 1;
        self.items.insert(position, item);
        if self.since.is_none() {
            // The rate is restarted because starts count towards the drain rate of a backlog
            // only while items wait.
            self.since = Some(now);
            self.starts.restart(now);
        }
    }

    pub(super) fn remove(&mut self, position: Position) {
        if let Some(item) = self.items.remove(&position) {
            self.counts[usize::from(item.priority).min(PRIORITIES - 1)] -= 1;
        }
        if self.items.is_empty() {
            self.since = None;
        }
    }

    pub(super) fn count_start(&mut self, now: Time) {
        self.starts.count(now);
    }

    /// Returns the time since which the queue has not been empty; `None` when it is empty.
    pub(super) fn waits_since(&self) -> Option<Time> {
        self.since
    }

    /// Returns the number of items that start before a new one of `priority`.
    pub(super) fn ahead_of(&self, priority: u8) -> u32 {
        self.counts[usize::from(priority).min(PRIORITIES - 1)..]
            .iter()
            .sum()
    }

    /// Returns the expected time for `n` items to start.
    pub(super) fn time_for(&self, now: Time, n: u32) -> Duration {
        self.starts.time_for(now, n)
    }
}

/// The waiting items of one team and its virtual time.
#[derive(Debug)]
pub(super) struct TeamQueue<K> {
    pub(super) share: u32,
    pub(super) parked: bool,
    virtual_time: u64,
    /// Period of the whole queue in which `virtual_time` was last set.
    period: u64,
    classes: [ClassQueue<K>; CLASSES],
}

impl<K> Default for TeamQueue<K> {
    fn default() -> Self {
        Self {
            share: 1,
            parked: false,
            virtual_time: 0,
            period: 0,
            classes: Default::default(),
        }
    }
}

impl<K: Copy> TeamQueue<K> {
    pub(super) fn class(&self, class: Class) -> &ClassQueue<K> {
        &self.classes[class as usize]
    }

    pub(super) fn class_mut(&mut self, class: Class) -> &mut ClassQueue<K> {
        &mut self.classes[class as usize]
    }

    pub(super) fn is_empty(&self) -> bool {
        self.classes.iter().all(|c| c.items.is_empty())
    }

    pub(super) fn is_recent(&self, now: Time) -> bool {
        self.classes.iter().any(|c| c.starts.is_recent(now, RECENT))
    }

    /// Returns the virtual time for each class in which the team takes part.
    ///
    /// The entry is `None` for classes without items, and for all classes of a parked team.
    pub(super) fn active_virtual_times(&self) -> [Option<u64>; CLASSES] {
        let active = |c: &ClassQueue<K>| (!self.parked && c.len() > 0).then_some(self.virtual_time);
        [0, 1, 2].map(|i| active(&self.classes[i]))
    }

    /// Sets the virtual time of a team whose queue becomes non-empty.
    ///
    /// A virtual time from an earlier period, before the whole queue was last empty, is discarded.
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
