//! Waiting work, fair between teams.
//!
//! Each team has one account, its virtual time, which advances by what its
//! work takes of a worker, for how long, over the team's share (weighted fair
//! queueing over dominant resources). The team that goes next is the one with
//! the least. What work costs is estimated when it starts and settled when it
//! ends. A team that begins to wait joins at the virtual time of those that
//! wait already, so that neither idling nor use of a fleet that was not full
//! counts later.

mod rate;
mod team;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use self::team::Item;
use self::team::Place;
use self::team::TeamQueue;
use crate::ident::Name;
use crate::time::Duration;
use crate::time::Time;

/// Virtual time advanced by a cost of one at a share of one.
const SCALE: u64 = 16;
/// Time that a team must have waited before its drain rate says anything.
const RATE_AFTER: Duration = Duration::from_millis(500);

/// What kind of turn work waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Of the highest priority.
    Urgent = 0,
    /// Soon over.
    Quick = 1,
    /// Occupies its slot for long.
    Long = 2,
}

/// Number of classes.
pub const CLASSES: usize = 3;

/// Work that begins to wait.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// The team's present share.
    pub share: u32,
    /// The kind of turn.
    pub class: Class,
    /// Importance within the team, 0 to 9.
    pub priority: u8,
    /// When it arrived, here or elsewhere.
    pub arrived: Time,
}

/// What a team was charged here.
#[derive(Debug, Default, Clone, Copy)]
struct Total {
    cost: u64,
    told: u64,
}

/// Waiting work of all teams.
#[derive(Debug)]
pub struct Queue<K> {
    lines: BTreeMap<Name, TeamQueue<K>>,
    turns: [BTreeSet<(u64, Name)>; CLASSES],
    places: BTreeMap<K, (Name, Class, Place)>,
    /// What each team was charged here so far, and how much of it peers were told.
    totals: BTreeMap<Name, Total>,
    virtual_time: u64,
    /// Grows whenever nothing waits any more; older accounts are void.
    period: u64,
    arrivals: u64,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            turns: Default::default(),
            places: BTreeMap::new(),
            totals: BTreeMap::new(),
            virtual_time: 0,
            period: 0,
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

    /// Number of waiting pieces of one class.
    pub fn len_of(&self, class: Class) -> usize {
        let lines = self.turns[class as usize].iter();
        lines.map(|(_, t)| self.lines[t].lane(class).len()).sum()
    }

    /// Adds work of a team.
    pub fn push(&mut self, now: Time, team: &Name, w: Waiting, key: K) {
        self.arrivals += 1;
        let place = team::place(w.priority, w.arrived, self.arrivals);
        self.places.insert(key, (team.clone(), w.class, place));
        let joins = self.virtual_time;
        let period = self.period;
        self.change(team, w.share, |line| {
            if line.is_empty() {
                line.join(period, joins);
            }
            let item = Item {
                key,
                priority: w.priority,
            };
            line.lane_mut(w.class).insert(now, place, item);
        });
    }

    /// Takes work out, wherever it stands.
    pub fn remove(&mut self, key: K) -> bool {
        let Some((team, class, place)) = self.places.remove(&key) else {
            return false;
        };
        self.change(&team, 0, |line| line.lane_mut(class).remove(place));
        if self.is_empty() {
            self.period += 1;
        }
        true
    }

    /// Teams with work of a class, in the order of their turns, each with its first piece.
    pub fn heads(&self, class: Class) -> impl Iterator<Item = (&Name, K)> {
        let turns = self.turns[class as usize].iter();
        turns.filter_map(move |(_, t)| {
            let key = self.lines[t].lane(class).first()?;
            Some((t, key))
        })
    }

    /// The first pieces of one team and class, in order.
    pub fn of_team(&self, team: &str, class: Class) -> impl Iterator<Item = K> {
        let line = self.lines.get(team).into_iter();
        line.flat_map(move |l| l.lane(class).keys())
    }

    /// The team and class of waiting work.
    pub fn find(&self, key: K) -> Option<(&Name, Class)> {
        self.places.get(&key).map(|(t, c, _)| (t, *c))
    }

    /// Takes out work that starts now and charges its team for it.
    pub fn started(&mut self, now: Time, key: K, cost: u64) -> bool {
        let Some((team, class, _)) = self.places.get(&key).cloned() else {
            return false;
        };
        let total = self.totals.entry(team.clone()).or_default();
        total.cost = total.cost.saturating_add(cost);
        self.change(&team, 0, |line| {
            line.spend(cost);
            line.lane_mut(class).count_start(now);
        });
        self.remove(key);
        self.advance();
        true
    }

    /// Takes out work that starts elsewhere, where it is charged.
    pub fn started_elsewhere(&mut self, now: Time, key: K) -> bool {
        let Some((team, class, _)) = self.places.get(&key).cloned() else {
            return false;
        };
        self.change(&team, 0, |line| line.lane_mut(class).count_start(now));
        self.remove(key)
    }

    /// Corrects what a team was charged, now that the cost is known.
    pub fn settle(&mut self, team: &Name, charged: u64, cost: u64) {
        if let Some(total) = self.totals.get_mut(team) {
            total.cost = (total.cost + cost).saturating_sub(charged);
        }
        self.correct(team, charged, cost);
    }

    /// Counts what a team was charged by a peer, from one total of it to the next.
    pub fn charged_by_peer(&mut self, team: &Name, before: u64, now: u64) {
        self.correct(team, before, now);
        self.advance();
    }

    /// The totals that changed most since they were last told, at most `n` of them.
    pub fn totals_to_report(&mut self, n: usize) -> Vec<(Name, u64)> {
        let changed = self.totals.iter().filter(|(_, t)| t.cost != t.told);
        let mut most: Vec<(u64, Name)> = changed
            .map(|(name, t)| (t.cost.abs_diff(t.told), name.clone()))
            .collect();
        most.sort_unstable_by(|a, b| b.cmp(a));
        most.truncate(n);
        let tell = |(_, name): (u64, Name)| {
            let total = self.totals.get_mut(&name).expect("just seen");
            total.told = total.cost;
            (name, total.cost)
        };
        most.into_iter().map(tell).collect()
    }

    /// Passes a team over until it is taken back.
    pub fn park(&mut self, team: &Name) {
        self.change(team, 0, |line| line.parked = true);
    }

    /// Takes back all teams that were passed over.
    pub fn unpark_all(&mut self) {
        let parked = self.lines.iter().filter(|(_, l)| l.parked);
        let teams: Vec<Name> = parked.map(|(t, _)| t.clone()).collect();
        let joins = self.virtual_time;
        for team in teams {
            self.change(&team, 0, |line| line.unpark(joins));
        }
    }

    /// How long work of a team would wait, from the rate at which the team's work starts.
    pub fn expected_wait(
        &self,
        now: Time,
        team: &str,
        class: Class,
        priority: u8,
    ) -> Option<Duration> {
        let lane = self.lines.get(team)?.lane(class);
        let since = lane.waits_since()?;
        if now.since(since) < RATE_AFTER {
            return None;
        }
        Some(lane.time_for(now, lane.ahead_of(priority) + 1))
    }

    /// Forgets teams that have nothing waiting.
    pub fn prune(&mut self, now: Time) {
        self.lines.retain(|_, l| !l.is_empty() || l.is_recent(now));
    }

    fn correct(&mut self, team: &Name, charged: u64, cost: u64) {
        if self.lines.contains_key(team) {
            self.change(team, 0, |line| line.correct(charged, cost));
        }
    }

    /// Changes a line and keeps the order of turns true.
    fn change(&mut self, team: &Name, share: u32, f: impl FnOnce(&mut TeamQueue<K>)) {
        let line = self.lines.entry(team.clone()).or_default();
        let before = line.turns();
        if share > 0 {
            line.share = share;
        }
        f(line);
        let after = line.turns();
        for (class, (old, new)) in before.into_iter().zip(after).enumerate() {
            if old == new {
                continue;
            }
            if let Some(t) = old {
                self.turns[class].remove(&(t, team.clone()));
            }
            if let Some(t) = new {
                self.turns[class].insert((t, team.clone()));
            }
        }
    }

    fn advance(&mut self) {
        let firsts = self.turns.iter().filter_map(|t| t.first());
        if let Some(least) = firsts.map(|(t, _)| *t).min() {
            self.virtual_time = self.virtual_time.max(least);
        }
    }
}
