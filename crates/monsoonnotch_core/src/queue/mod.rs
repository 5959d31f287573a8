//! A queue of waiting work that is fair between teams.
//!
//! The queue implements weighted fair queueing over dominant resources. Each
//! team has one virtual time, which advances by the cost of its work divided by
//! the team's share. The cost is the dominant fraction of a worker that the
//! work occupies, times its run time. The team with the least virtual time is
//! next. The cost is estimated when work starts and corrected when it ends. A
//! team whose queue becomes non-empty starts at no less than the virtual time
//! of the teams that already wait. It therefore earns no credit by idling, and
//! is not penalised for having used a fleet that was not full.

mod rate;
mod team;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use self::team::Item;
use self::team::Position;
use self::team::TeamQueue;
use crate::ident::Name;
use crate::time::Duration;
use crate::time::Time;

/// Virtual time by which a cost of one advances a team with a share of one.
const SCALE: u64 = 16;
/// Time that a team must have waited before its drain rate is used for estimates.
const RATE_AFTER: Duration = Duration::from_millis(500);

/// The class of waiting work; classes are scheduled separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Work of the highest priorities.
    Urgent = 0,
    /// Work with a short expected run time.
    Quick = 1,
    /// All other work, which occupies its slot for a long time.
    Long = 2,
}

/// Number of classes.
pub const CLASSES: usize = 3;

/// The scheduling parameters of work that is added to the queue.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// The team's present share; zero leaves the recorded share unchanged.
    pub share: u32,
    /// The class in which the work waits.
    pub class: Class,
    /// Priority within the team, 0 to 9.
    pub priority: u8,
    /// Time at which the work arrived at its entry, which may be a peer.
    pub arrived: Time,
}

/// The total cost that a team was charged at this member.
#[derive(Debug, Default, Clone, Copy)]
struct Total {
    cost: u64,
    /// The part of `cost` that peers were last informed of.
    reported: u64,
}

/// A fair queue of the waiting work of all teams.
#[derive(Debug)]
pub struct Queue<K> {
    teams: BTreeMap<Name, TeamQueue<K>>,
    /// Teams that are not parked and have items of a class, by virtual time.
    active_teams: [BTreeSet<(u64, Name)>; CLASSES],
    positions: BTreeMap<K, (Name, Class, Position)>,
    /// Total charges of each team at this member.
    totals: BTreeMap<Name, Total>,
    virtual_time: u64,
    /// Number of times that the queue became empty; virtual times of earlier periods are invalid.
    period: u64,
    arrivals: u64,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Self {
            teams: BTreeMap::new(),
            active_teams: Default::default(),
            positions: BTreeMap::new(),
            totals: BTreeMap::new(),
            virtual_time: 0,
            period: 0,
            arrivals: 0,
        }
    }
}

impl<K: Copy + Ord> Queue<K> {
    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of waiting items of a class, except those of parked teams.
    pub fn len_of(&self, class: Class) -> usize {
        let active_teams = self.active_teams[class as usize].iter();
        active_teams
            .map(|(_, t)| self.teams[t].class(class).len())
            .sum()
    }

    /// Adds an item of a team.
    pub fn push(&mut self, now: Time, team: &Name, w: Waiting, key: K) {
        self.arrivals += 1;
        let position = team::position(w.priority, w.arrived, self.arrivals);
        self.positions
            .insert(key, (team.clone(), w.class, position));
        let joins = self.virtual_time;
        let period = self.period;
        self.change(team, w.share, |queue| {
            if queue.is_empty() {
                queue.join(period, joins);
            }
            let item = Item {
                key,
                priority: w.priority,
            };
            queue.class_mut(w.class).insert(now, position, item);
        });
    }

    /// Removes an item, whatever its position; returns whether it was in the queue.
    pub fn remove(&mut self, key: K) -> bool {
        let Some((team, class, position)) = self.positions.remove(&key) else {
            return false;
        };
        self.change(&team, 0, |queue| queue.class_mut(class).remove(position));
        if self.is_empty() {
            self.period += 1;
        }
        true
    }

    /// Iterates over the teams with items of a class, each with its first item.
    ///
    /// Teams are in ascending order of virtual time; parked teams are skipped.
    pub fn heads(&self, class: Class) -> impl Iterator<Item = (&Name, K)> {
        let active_teams = self.active_teams[class as usize].iter();
        active_teams.filter_map(move |(_, t)| {
            let key = self.teams[t].class(class).first()?;
            Some((t, key))
        })
    }

    /// Iterates over the items of one team and class, in order.
    pub fn of_team(&self, team: &str, class: Class) -> impl Iterator<Item = K> {
        let queue = self.teams.get(team).into_iter();
        queue.flat_map(move |q| q.class(class).keys())
    }

    /// Returns the team and class of a waiting item; `None` when it is not in the queue.
    pub fn find(&self, key: K) -> Option<(&Name, Class)> {
        self.positions.get(&key).map(|(t, c, _)| (t, *c))
    }

    /// Removes an item that starts at this member and charges its team `cost`.
    ///
    /// Returns whether the item was in the queue.
    pub fn started(&mut self, now: Time, key: K, cost: u64) -> bool {
        let Some((team, class, _)) = self.positions.get(&key).cloned() else {
            return false;
        };
        let total = self.totals.entry(team.clone()).or_default();
        total.cost = total.cost.saturating_add(cost);
        self.change(&team, 0, |queue| {
            queue.spend(cost);
            queue.class_mut(class).count_start(now);
        });
        self.remove(key);
        self.advance();
        true
    }

    /// Removes an item that starts at a peer, which charges its team.
    ///
    /// Returns whether the item was in the queue.
    pub fn started_elsewhere(&mut self, now: Time, key: K) -> bool {
        let Some((team, class, _)) = self.positions.get(&key).cloned() else {
            return false;
        };
        self.change(&team, 0, |queue| queue.class_mut(class).count_start(now));
        self.remove(key)
    }

    /// Replaces the charge of ended work by its measured cost.
    pub fn settle(&mut self, team: &Name, charged: u64, cost: u64) {
        if let Some(total) = self.totals.get_mut(team) {
            total.cost = (total.cost + cost).saturating_sub(charged);
        }
        self.correct(team, charged, cost);
    }

    /// Charges a team for work that started at a peer.
    ///
    /// `before` and `now` are the peer's totals for the team in its last two summaries.
    pub fn charged_by_peer(&mut self, team: &Name, before: u64, now: u64) {
        self.correct(team, before, now);
        self.advance();
    }

    /// Returns the totals that changed most since they were last returned, at most `n`.
    pub fn totals_to_report(&mut self, n: usize) -> Vec<(Name, u64)> {
        let changed = self.totals.iter().filter(|(_, t)| t.cost != t.reported);
        let mut most: Vec<(u64, Name)> = changed
            .map(|(name, t)| (t.cost.abs_diff(t.reported), name.clone()))
            .collect();
        most.sort_unstable_by(|a, b| b.cmp(a));
        most.truncate(n);
        let report = |(_, name): (u64, Name)| {
            let total = self.totals.get_mut(&name).expect("the total is present");
            total.reported = total.cost;
            (name, total.cost)
        };
        most.into_iter().map(report).collect()
    }

    /// Parks a team: its items are skipped until `unpark_all`.
    pub fn park(&mut self, team: &Name) {
        self.change(team, 0, |queue| queue.parked = true);
    }

    /// Lets all parked teams take part in the scheduling again.
    pub fn unpark_all(&mut self) {
        let parked = self.teams.iter().filter(|(_, q)| q.parked);
        let teams: Vec<Name> = parked.map(|(t, _)| t.clone()).collect();
        let joins = self.virtual_time;
        for team in teams {
            self.change(&team, 0, |queue| queue.unpark(joins));
        }
    }

    /// Estimates how long a new item of a team would wait, from the rate at which its items start.
    ///
    /// Returns `None` while the team has waited for too short a time to measure that rate.
    pub fn expected_wait(
        &self,
        now: Time,
        team: &str,
        class: Class,
        priority: u8,
    ) -> Option<Duration> {
        let queue = self.teams.get(team)?.class(class);
        let since = queue.waits_since()?;
        if now.since(since) < RATE_AFTER {
            return None;
        }
        Some(queue.time_for(now, queue.ahead_of(priority) + 1))
    }

    /// Removes the state of teams without waiting items and without recent starts.
    pub fn prune(&mut self, now: Time) {
        self.teams.retain(|_, q| !q.is_empty() || q.is_recent(now));
    }

    fn correct(&mut self, team: &Name, charged: u64, cost: u64) {
        if self.teams.contains_key(team) {
            self.change(team, 0, |queue| queue.correct(charged, cost));
        }
    }

    /// Modifies the queue of a team and updates the order of the teams.
    fn change(&mut self, team: &Name, share: u32, f: impl FnOnce(&mut TeamQueue<K>)) {
        let queue = self.teams.entry(team.clone()).or_default();
        let before = queue.active_virtual_times();
        if share > 0 {
            queue.share = share;
        }
        f(queue);
        let after = queue.active_virtual_times();
        for (class, (old, new)) in before.into_iter().zip(after).enumerate() {
            if old == new {
                continue;
            }
            if let Some(t) = old {
                self.active_teams[class].remove(&(t, team.clone()));
            }
            if let Some(t) = new {
                self.active_teams[class].insert((t, team.clone()));
            }
        }
    }

    fn advance(&mut self) {
        let firsts = self.active_teams.iter().filter_map(|t| t.first());
        if let Some(least) = firsts.map(|(t, _)| *t).min() {
            self.virtual_time = self.virtual_time.max(least);
        }
    }
}
