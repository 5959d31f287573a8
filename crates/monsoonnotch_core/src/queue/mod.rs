//! Waiting work, fair between teams.
//!
//! Each team has a queue ordered by priority and arrival. The team that goes
//! next is the one with the smallest virtual time, which advances by what its
//! work costs over its share (start-time fair queueing).

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::ident::Name;

/// Virtual time advanced by a cost of one at a share of one.
const SCALE: u64 = 1 << 20;

/// Order within a team: high priority first, then arrival.
type Place = (Reverse<u8>, u64);

/// One team's waiting work.
#[derive(Debug)]
struct Line<K> {
    share: u32,
    virtual_time: u64,
    items: BTreeMap<Place, Item<K>>,
}

/// One piece of waiting work.
#[derive(Debug, Clone, Copy)]
struct Item<K> {
    key: K,
    cost: u64,
}

/// Waiting work of all teams.
#[derive(Debug)]
pub struct Queue<K> {
    lines: BTreeMap<Name, Line<K>>,
    places: BTreeMap<K, (Name, Place)>,
    virtual_time: u64,
    arrivals: u64,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            places: BTreeMap::new(),
            virtual_time: 0,
            arrivals: 0,
        }
    }
}

impl<K: Copy + Ord> Queue<K> {
    /// Number of waiting pieces of work.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds work of a team with its present share; `cost` is in any unit, from one.
    pub fn push(&mut self, team: &Name, share: u32, priority: u8, cost: u64, key: K) {
        self.arrivals += 1;
        let place = (Reverse(priority), self.arrivals);
        let now = self.virtual_time;
        let line = self.lines.entry(team.clone()).or_insert_with(|| Line {
            share,
            virtual_time: now,
            items: BTreeMap::new(),
        });
        line.share = share.max(1);
        if line.items.is_empty() {
            line.virtual_time = line.virtual_time.max(now);
        }
        line.items.insert(place, Item { key, cost });
        self.places.insert(key, (team.clone(), place));
    }

    /// Takes work out, wherever it stands.
    pub fn remove(&mut self, key: K) -> bool {
        let Some((team, place)) = self.places.remove(&key) else {
            return false;
        };
        if let Some(line) = self.lines.get_mut(&team) {
            line.items.remove(&place);
        }
        true
    }

    /// The teams that have waiting work, in the order of their turns, each with its first piece.
    pub fn heads(&self) -> Vec<(Name, K)> {
        let mut heads: Vec<(u64, &Name, K)> = self
            .lines
            .iter()
            .filter_map(|(t, l)| l.items.values().next().map(|i| (l.virtual_time, t, i.key)))
            .collect();
        heads.sort_unstable_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        heads.into_iter().map(|(_, t, k)| (t.clone(), k)).collect()
    }

    /// Takes out work that starts now and charges its team for it.
    pub fn started(&mut self, key: K) -> bool {
        let Some((team, place)) = self.places.remove(&key) else {
            return false;
        };
        let line = self.lines.get_mut(&team).expect("a place has its line");
        let item = line.items.remove(&place).expect("a place has its item");
        self.virtual_time = self.virtual_time.max(line.virtual_time);
        line.virtual_time += item.cost.max(1) * SCALE / u64::from(line.share);
        true
    }

    /// Charges a team for work that started without waiting.
    pub fn charge(&mut self, team: &Name, share: u32, cost: u64) {
        let now = self.virtual_time;
        let line = self.lines.entry(team.clone()).or_insert_with(|| Line {
            share,
            virtual_time: now,
            items: BTreeMap::new(),
        });
        line.share = share.max(1);
        line.virtual_time =
            line.virtual_time.max(now) + cost.max(1) * SCALE / u64::from(line.share);
    }

    /// Forgets the history of teams that have nothing waiting and are not ahead of their turn.
    pub fn tidy(&mut self) {
        let now = self.virtual_time;
        self.lines
            .retain(|_, l| !l.items.is_empty() || l.virtual_time > now);
    }
}
