//! Who holds what of a budget, and who is ended when it is full. Without I/O.
//!
//! A connection that waits for its client can be closed; one whose request is complete cannot, because
//! its client is owed the response. Among those that can be closed, the one goes first whose memory,
//! multiplied by the time for which it has lagged behind a slow but ordinary client, is the largest.
//! If no client lags, a new connection takes the place of the oldest one that has had a response: that one
//! is closed after its next response.
//!
//! Of the connections that wait for a place, those go first that have received something, and among them
//! the newest: its client is the most likely to wait for the response. While many wait, the oldest makes
//! room for a new one, rather one that has received nothing or is being refused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use monsoonnotch_core::arena::Arena;
use monsoonnotch_core::arena::Key;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;

use crate::limits::Limits;

/// Bytes a second that a slow but ordinary client sends.
const SLOW_BYTES_PER_S: u64 = 256 << 10;
/// Lag from which a connection can be ended: the time of a lost packet.
const LAG_MIN: Duration = Duration::from_millis(250);

/// Key of a connection in the accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionKey(u32);

impl Key for ConnectionKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("fewer than 2^32 connections are open"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Number of a connection that waits for its place; newer ones have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiting(u64);

/// How far a connection has come that waits for its place. Those that come first here are the first to
/// make room for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Wait {
    /// It has received nothing.
    Silent,
    /// It gets no place; its request is being refused.
    GivenUp,
    /// It has received something.
    Received,
}

/// Whose turn it is on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// The client's: its next request is not complete.
    Client,
    /// The process's: it owes the response to a complete request.
    Process,
}

/// What is requested from a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The place of a connection that waits for it.
    Place(Waiting),
    /// Further bytes for a connection.
    Bytes(ConnectionKey, u64),
    /// Bytes that belong to no connection.
    Share(u64),
}

/// Whether a need is met.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Room {
    /// It is met; the key is that of the connection concerned, if there is one.
    Taken(Option<ConnectionKey>),
    /// It can be met once connections have given back what they hold. These are to be ended now; others
    /// may have been ended before.
    After(Vec<(ConnectionKey, End)>),
    /// It can be met once a client lags, or a connection is closed.
    Full,
    /// It is larger than the budget.
    Never,
}

/// How a connection is to end for the sake of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// At once: its client lags.
    Now,
    /// After its next response.
    AfterResponse,
}

#[derive(Debug)]
struct Connection {
    /// Memory that it holds, in bytes.
    held: u64,
    turn: Turn,
    /// When the turn began.
    since: Time,
    /// Bytes that were received since then.
    received: u64,
    opened: Time,
    /// Whether its client has had a response.
    served: bool,
    /// How it is to end; `None` if it is not.
    end: Option<End>,
}

impl Connection {
    /// Returns how far its client is behind a slow but ordinary one.
    fn lag(&self, now: Time) -> Duration {
        let bought_us = self.received.saturating_mul(1_000_000) / SLOW_BYTES_PER_S;
        Duration(now.since(self.since).0.saturating_sub(bought_us))
    }

    /// Returns how much is gained by closing it; `None` if its client does not lag.
    fn weight(&self, now: Time) -> Option<u128> {
        let lag = self.lag(now);
        let can_end = self.turn == Turn::Client && self.end != Some(End::Now) && lag >= LAG_MIN;
        can_end.then(|| u128::from(self.held) * u128::from(lag.0))
    }
}

/// The holders of a budget.
#[derive(Debug)]
pub struct Accounts {
    limits: Limits,
    connections: Arena<ConnectionKey, Connection>,
    /// Memory that is taken, in bytes.
    used: u64,
    /// The connections that are being ended.
    ending: BTreeSet<ConnectionKey>,
    /// The connections that wait for a place.
    waiting: BTreeMap<Waiting, Wait>,
    /// Number of the next one.
    next_waiting: u64,
}

impl Accounts {
    /// Creates the accounts of a budget that nobody holds anything of.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: Arena::default(),
            used: 0,
            ending: BTreeSet::new(),
            waiting: BTreeMap::new(),
            next_waiting: 0,
        }
    }

    /// Adds a connection that waits for a place. If more than `max` wait, also returns the one that has to
    /// make room, which waits no more.
    pub fn wait(&mut self, max: usize) -> (Waiting, Option<Waiting>) {
        let waiting = Waiting(self.next_waiting);
        self.next_waiting += 1;
        self.waiting.insert(waiting, Wait::Silent);
        if self.waiting.len() <= max {
            return (waiting, None);
        }
        let others = self.waiting.range(..waiting);
        let first = others.min_by_key(|&(&k, &wait)| (wait, k));
        let first = first.map(|(&k, _)| k);
        if let Some(first) = first {
            self.waiting.remove(&first);
        }
        (waiting, first)
    }

    /// Notes that a connection that waits has received something.
    pub fn received_while_waiting(&mut self, waiting: Waiting) {
        self.set_wait(waiting, Wait::Received);
    }

    /// Notes that a connection gets no place, so that it keeps none from others.
    pub fn give_up(&mut self, waiting: Waiting) {
        self.set_wait(waiting, Wait::GivenUp);
    }

    fn set_wait(&mut self, waiting: Waiting, wait: Wait) {
        if let Some(known) = self.waiting.get_mut(&waiting) {
            *known = wait;
        }
    }

    /// Removes a connection that waits no more.
    pub fn stop_waiting(&mut self, waiting: Waiting) {
        self.waiting.remove(&waiting);
    }

    /// Returns the memory that is taken, in bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Takes a free place for a new connection, unless others wait that have received something.
    pub fn arrive(&mut self, now: Time) -> Option<ConnectionKey> {
        let others = self.count_received(Waiting(0));
        let missing = self.missing(self.limits.connection_bytes, 1, others);
        (missing == (0, 0)).then(|| self.open_connection(now))
    }

    /// Meets a need, or chooses the connections to end for it.
    pub fn request(&mut self, need: Need, now: Time) -> Room {
        let (bytes, places) = match need {
            Need::Place(_) => (self.limits.connection_bytes, 1),
            Need::Bytes(_, bytes) | Need::Share(bytes) => (bytes, 0),
        };
        if bytes > self.limits.memory || places > self.limits.connections {
            return Room::Never;
        }
        let newer = match need {
            Need::Place(waiting) => self.count_received(Waiting(waiting.0 + 1)),
            _ => 0,
        };
        if self.missing(bytes, places, newer) == (0, 0) {
            return Room::Taken(self.take(need, now));
        }
        // What the others wait for is not there for this one.
        let others = match need {
            Need::Place(_) => self.count_received(Waiting(0)).saturating_sub(1),
            _ => 0,
        };
        let (memory, open) = self.missing(bytes, places, others);
        self.choose(need, memory, open, now)
    }

    /// Returns how many connections wait and have received something, from one on.
    fn count_received(&self, first: Waiting) -> usize {
        let waiting = self.waiting.range(first..);
        waiting.filter(|(_, wait)| **wait == Wait::Received).count()
    }

    /// Returns the memory and the places that are missing for these and for `others` connections.
    fn missing(&self, bytes: u64, places: usize, others: usize) -> (u64, usize) {
        if places == 0 {
            return ((self.used + bytes).saturating_sub(self.limits.memory), 0);
        }
        let bytes = bytes * (others as u64 + 1);
        let memory = (self.used + bytes).saturating_sub(self.limits.memory);
        let open = self.open() + places + others;
        (memory, open.saturating_sub(self.limits.connections))
    }

    fn take(&mut self, need: Need, now: Time) -> Option<ConnectionKey> {
        match need {
            Need::Place(waiting) => {
                self.stop_waiting(waiting);
                Some(self.open_connection(now))
            }
            Need::Bytes(key, bytes) => {
                self.used += bytes;
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.held += bytes;
                }
                Some(key)
            }
            Need::Share(bytes) => {
                self.used += bytes;
                None
            }
        }
    }

    fn open_connection(&mut self, now: Time) -> ConnectionKey {
        self.used += self.limits.connection_bytes;
        self.connections.insert(Connection {
            held: self.limits.connection_bytes,
            turn: Turn::Client,
            since: now,
            received: 0,
            opened: now,
            served: false,
            end: None,
        })
    }

    /// Chooses connections to end until enough memory and places will be given back, with what those give
    /// back that end already.
    fn choose(&mut self, need: Need, mut memory: u64, mut places: usize, now: Time) -> Room {
        for &key in &self.ending {
            // One that lags may never get to its response.
            let ends = |c: &&Connection| c.weight(now).is_none();
            if let Some(connection) = self.connections.get(key).filter(ends) {
                memory = memory.saturating_sub(connection.held);
                places = places.saturating_sub(1);
            }
        }
        let mut chosen = Vec::new();
        while memory > 0 || places > 0 {
            let Some((key, end)) = self.next_to_end(need, now) else {
                break;
            };
            if let Some(connection) = self.connections.get_mut(key) {
                connection.end = Some(end);
                memory = memory.saturating_sub(connection.held);
                places = places.saturating_sub(1);
            }
            self.ending.insert(key);
            chosen.push((key, end));
        }
        match memory > 0 || places > 0 {
            true if chosen.is_empty() => Room::Full,
            _ => Room::After(chosen),
        }
    }

    fn next_to_end(&self, need: Need, now: Time) -> Option<(ConnectionKey, End)> {
        let asking = match need {
            Need::Bytes(key, _) => Some(key),
            Need::Place(_) | Need::Share(_) => None,
        };
        let lagging = self.most_lagging(asking, now);
        lagging.map(|key| (key, End::Now)).or_else(|| {
            let oldest = matches!(need, Need::Place(_)).then(|| self.oldest_served());
            oldest.flatten().map(|key| (key, End::AfterResponse))
        })
    }

    /// Returns the connection whose end gains most; `None` if no client lags.
    fn most_lagging(&self, except: Option<ConnectionKey>, now: Time) -> Option<ConnectionKey> {
        let others = self.connections.iter().filter(|&(k, _)| Some(k) != except);
        let weights = others.filter_map(|(k, c)| Some((c.weight(now)?, k)));
        weights.max().map(|(_, key)| key)
    }

    /// Returns the oldest connection that has had a response.
    fn oldest_served(&self) -> Option<ConnectionKey> {
        let served = self.connections.iter();
        let served = served.filter(|(_, c)| c.served && c.end.is_none());
        let oldest = served.min_by_key(|&(key, c)| (c.opened, key));
        oldest.map(|(key, _)| key)
    }

    /// Gives back a part of what a connection holds.
    pub fn give_back(&mut self, key: ConnectionKey, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.held = connection.held.saturating_sub(bytes);
            self.used = self.used.saturating_sub(bytes);
        }
    }

    /// Gives back bytes that belong to no connection.
    pub fn give_back_share(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Turns a part of what a connection holds into a share that belongs to no connection.
    pub fn detach(&mut self, key: ConnectionKey, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.held = connection.held.saturating_sub(bytes);
        }
    }

    /// Begins the client's turn anew, because its next request begins to arrive.
    pub fn request_begins(&mut self, key: ConnectionKey, now: Time) {
        let turn = self.connections.get(key).map(|c| c.turn);
        if turn == Some(Turn::Client) {
            self.begin_turn(key, Turn::Client, now);
        }
    }

    /// Counts bytes that a client sent.
    pub fn received(&mut self, key: ConnectionKey, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.received = connection.received.saturating_add(bytes);
        }
    }

    /// Begins a turn on a connection.
    pub fn begin_turn(&mut self, key: ConnectionKey, turn: Turn, now: Time) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.served |= connection.turn == Turn::Process && turn == Turn::Client;
            connection.turn = turn;
            connection.since = now;
            connection.received = 0;
        }
    }

    /// Removes a connection that is closed, with all that it holds.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.used = self.used.saturating_sub(connection.held);
        }
        self.ending.remove(&key);
    }
}
