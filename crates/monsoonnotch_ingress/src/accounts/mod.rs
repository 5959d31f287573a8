//! Who holds what of a budget, and who is ended when it is full. Without I/O.
//!
//! A connection that waits for its client can be closed; one whose request is complete cannot, because
//! its client is owed the response. Among those that can be closed, the one goes first whose memory,
//! multiplied by the time for which it has lagged behind a slow but ordinary client, is the largest.
//! If no client lags, a new connection takes the place of the oldest one that has had a response: that one
//! is closed after its next response.

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
    /// A new connection.
    Connection,
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
}

impl Accounts {
    /// Creates the accounts of a budget that nobody holds anything of.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: Arena::default(),
            used: 0,
            ending: BTreeSet::new(),
        }
    }

    /// Returns the memory that is taken, in bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Meets a need, or chooses the connections to end for it.
    pub fn request(&mut self, need: Need, now: Time) -> Room {
        let (bytes, places) = match need {
            Need::Connection => (self.limits.connection_bytes, 1),
            Need::Bytes(_, bytes) | Need::Share(bytes) => (bytes, 0),
        };
        let memory_missing = (self.used + bytes).saturating_sub(self.limits.memory);
        let places_missing = (self.open() + places).saturating_sub(self.limits.connections);
        if memory_missing == 0 && (places == 0 || places_missing == 0) {
            return Room::Taken(self.take(need, now));
        }
        if bytes > self.limits.memory || places > self.limits.connections {
            return Room::Never;
        }
        self.choose(need, memory_missing, places * places_missing, now)
    }

    fn take(&mut self, need: Need, now: Time) -> Option<ConnectionKey> {
        match need {
            Need::Connection => {
                self.used += self.limits.connection_bytes;
                let connection = Connection {
                    held: self.limits.connection_bytes,
                    turn: Turn::Client,
                    since: now,
                    received: 0,
                    opened: now,
                    served: false,
                    end: None,
                };
                Some(self.connections.insert(connection))
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
            Need::Connection | Need::Share(_) => None,
        };
        let lagging = self.most_lagging(asking, now);
        lagging.map(|key| (key, End::Now)).or_else(|| {
            let oldest = (need == Need::Connection).then(|| self.oldest_served());
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
