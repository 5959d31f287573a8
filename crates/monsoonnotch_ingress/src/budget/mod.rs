//! A budget that the clients of a listener share, and what they hold of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_core::time::Time;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::accounts::Accounts;
use crate::accounts::ConnectionKey;
use crate::accounts::End;
use crate::accounts::Need;
use crate::accounts::Room;
use crate::accounts::Turn;
use crate::accounts::Waiting;
use crate::limits::Limits;
use crate::limits::WAITING_MAX;
use crate::report::Cause;
use crate::report::Report;
use crate::report::Tally;

/// Longest wait for room.
const ROOM_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which those that wait look who lags.
const ROOM_INTERVAL: Duration = Duration::from_millis(50);

/// Receives the reports of a budget.
type Reporter = fn(Report);

/// What the clients of a listener may take together. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    listener: &'static str,
    count: fn(&'static str, Cause),
    reporter: Reporter,
    began: Instant,
    state: Mutex<State>,
    /// Notified when something is given back.
    given_back: Notify,
}

#[derive(Debug)]
struct State {
    accounts: Accounts,
    /// Tells each connection when it is to end.
    ends: BTreeMap<Place, watch::Sender<Option<End>>>,
    tally: Tally,
}

/// The place of a connection, or that it waits for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    Taken(ConnectionKey),
    Waiting(Waiting),
}

impl State {
    /// Tells a connection how to end.
    fn end(&self, place: Place, end: End) {
        if let Some(tx) = self.ends.get(&place) {
            tx.send_replace(Some(end));
        }
    }

    /// Adds a connection; returns what tells it how to end.
    fn open(&mut self, place: Place) -> watch::Receiver<Option<End>> {
        let (tx, end) = watch::channel(None);
        self.ends.insert(place, tx);
        end
    }

    /// Removes a connection, with all that it holds.
    fn close(&mut self, place: Place) {
        self.ends.remove(&place);
        match place {
            Place::Taken(key) => self.accounts.close(key),
            Place::Waiting(waiting) => self.accounts.stop_waiting(waiting),
        }
    }
}

impl Budget {
    /// Creates the budget of a listener. Each case of a limited client is counted by `count`, and
    /// reported by `reporter` once a second at most.
    pub fn new(
        listener: &'static str,
        limits: Limits,
        count: fn(&'static str, Cause),
        reporter: Reporter,
    ) -> Self {
        Self(Arc::new(Inner {
            listener,
            count,
            reporter,
            began: Instant::now(),
            state: Mutex::new(State {
                accounts: Accounts::new(limits),
                ends: BTreeMap::new(),
                tally: Tally::default(),
            }),
            given_back: Notify::new(),
        }))
    }

    /// Takes the place of a new connection, or lets it wait for one.
    pub(crate) fn arrive(&self) -> Connection {
        let now = self.now();
        let mut state = self.lock();
        let (place, given_up) = match state.accounts.arrive(now) {
            Some(key) => (Place::Taken(key), None),
            None => {
                let (waiting, given_up) = state.accounts.wait(WAITING_MAX);
                (Place::Waiting(waiting), given_up)
            }
        };
        let end = state.open(place);
        if let Some(given_up) = given_up {
            state.end(Place::Waiting(given_up), End::Now);
            drop(state);
            self.report(Cause::NoPlace);
        }
        Connection {
            budget: self.clone(),
            place,
            end,
        }
    }

    /// Takes memory that belongs to no connection; `None` if there is not enough now.
    pub fn share(&self, bytes: u64) -> Option<Share> {
        let room = self.request(Need::Share(bytes));
        matches!(room, Room::Taken(_)).then(|| Share {
            budget: self.clone(),
            bytes,
        })
    }

    /// Returns the memory that is taken, in bytes.
    pub fn memory_used(&self) -> u64 {
        self.lock().accounts.used()
    }

    /// Counts and reports a limited client.
    pub fn report(&self, cause: Cause) {
        (self.0.count)(self.0.listener, cause);
        let mut state = self.lock();
        let Some(cases) = state.tally.count(cause, Instant::now()) else {
            return;
        };
        let report = Report {
            listener: self.0.listener,
            cause,
            cases,
            memory: state.accounts.used(),
            connections: state.accounts.open(),
        };
        drop(state);
        (self.0.reporter)(report);
    }

    /// Meets a need; ends connections for it and waits for what they hold if there is no room. Returns
    /// `None` if there is none even so.
    async fn make_room(&self, need: Need) -> Option<Option<ConnectionKey>> {
        let until = tokio::time::Instant::now() + ROOM_TIMEOUT;
        loop {
            let mut given_back = std::pin::pin!(self.0.given_back.notified());
            given_back.as_mut().enable();
            match self.request(need) {
                Room::Taken(key) => return Some(key),
                Room::Never => return None,
                Room::After(_) | Room::Full => {}
            }
            let now = tokio::time::Instant::now();
            if now >= until {
                return None;
            }
            // Whoever lags next may be ended then.
            let _ = tokio::time::timeout_at(until.min(now + ROOM_INTERVAL), given_back).await;
        }
    }

    /// Meets a need if there is room, or else tells the connections that are chosen to end.
    fn request(&self, need: Need) -> Room {
        let mut state = self.lock();
        let room = state.accounts.request(need, self.now());
        let Room::After(ends) = &room else {
            return room;
        };
        for (key, end) in ends {
            state.end(Place::Taken(*key), *end);
        }
        drop(state);
        for _ in ends {
            self.report(Cause::Displaced);
        }
        room
    }

    /// Gives something back, and tells those that wait for room.
    fn give_back(&self, f: impl FnOnce(&mut State)) {
        f(&mut self.lock());
        self.0.given_back.notify_waiters();
    }

    fn now(&self) -> Time {
        let micros = self.0.began.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.0.state.lock();
        state.expect("no thread panics while it holds the lock")
    }
}

/// A connection's place, and what it holds. Dropping it gives all back.
#[derive(Debug)]
pub struct Connection {
    budget: Budget,
    place: Place,
    end: watch::Receiver<Option<End>>,
}

impl Connection {
    /// Returns the budget that the connection takes its share of.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Waits a moment for the place of the connection if it has none; `stream` is its stream. Returns whether
    /// it has one now; if not, its first request is to be refused.
    pub async fn settle(&mut self, stream: &TcpStream) -> bool {
        let Place::Waiting(waiting) = self.place else {
            return true;
        };
        let placed = async {
            let mut buf = [0];
            let received = tokio::time::timeout(ROOM_TIMEOUT, stream.peek(&mut buf)).await;
            // A client that has closed the connection needs no place.
            received.ok()?.ok().filter(|n| *n > 0)?;
            self.budget.lock().accounts.received_while_waiting(waiting);
            self.budget.make_room(Need::Place(waiting)).await
        };
        let taken = tokio::select! {
            taken = placed => taken.flatten(),
            () = self.ended() => return false,
        };
        let Some(key) = taken else {
            self.budget.lock().accounts.give_up(waiting);
            self.budget.report(Cause::NoPlace);
            return false;
        };
        let mut state = self.budget.lock();
        state.ends.remove(&self.place);
        self.place = Place::Taken(key);
        self.end = state.open(self.place);
        true
    }

    /// Returns whether there is no place for the connection, so that its first request is to be refused.
    pub fn is_refused(&self) -> bool {
        self.key().is_none()
    }

    fn key(&self) -> Option<ConnectionKey> {
        match self.place {
            Place::Taken(key) => Some(key),
            Place::Waiting(_) => None,
        }
    }

    /// Waits until the connection is to end, in one way or the other, because others need its place.
    pub async fn ending(&self) {
        self.wait_for_end(|end| end.is_some()).await;
    }

    /// Waits until the connection is to end at once.
    pub async fn ended(&self) {
        self.wait_for_end(|end| *end == Some(End::Now)).await;
    }

    async fn wait_for_end(&self, f: impl FnMut(&Option<End>) -> bool) {
        // The sender lives as long as the connection, so that the wait does not fail.
        let _ = self.end.clone().wait_for(f).await;
    }

    /// Returns whether the connection is to end.
    pub fn is_ending(&self) -> bool {
        self.end.borrow().is_some()
    }

    /// Takes memory for what the connection is about to receive. If there is not enough, ends others
    /// that hold much and move little, and waits a moment for what they hold.
    pub async fn take(&self, bytes: u64) -> Option<Taken<'_>> {
        let need = Need::Bytes(self.key()?, bytes);
        self.budget.make_room(need).await?;
        Some(Taken {
            connection: self,
            bytes,
        })
    }

    /// Takes memory without a wait; returns whether there was enough.
    pub(crate) fn take_now(&self, bytes: u64) -> bool {
        let need = self.key().map(|key| Need::Bytes(key, bytes));
        need.is_some_and(|need| matches!(self.budget.request(need), Room::Taken(_)))
    }

    /// Gives back memory that was taken.
    pub(crate) fn give_back(&self, bytes: u64) {
        if let Some(key) = self.key() {
            self.budget.give_back(|s| s.accounts.give_back(key, bytes));
        }
    }

    /// Counts bytes that the client sent; `begins` tells whether they are the first of a request.
    pub(crate) fn received(&self, bytes: u64, begins: bool) {
        let Some(key) = self.key() else {
            return;
        };
        let now = self.budget.now();
        let mut state = self.budget.lock();
        if begins {
            state.accounts.request_begins(key, now);
        }
        state.accounts.received(key, bytes);
    }

    /// Begins a turn.
    pub fn begin_turn(&self, turn: Turn) {
        if let Some(key) = self.key() {
            let now = self.budget.now();
            self.budget.lock().accounts.begin_turn(key, turn, now);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let place = self.place;
        self.budget.give_back(|s| s.close(place));
    }
}

/// Memory of a connection. Dropping it gives it back.
#[derive(Debug)]
pub struct Taken<'a> {
    connection: &'a Connection,
    bytes: u64,
}

impl Taken<'_> {
    /// Turns the memory into a share of `bytes`, or less, that may outlive the connection.
    pub fn detach(mut self, bytes: u64) -> Share {
        let bytes = bytes.min(self.bytes);
        let connection = self.connection;
        if let Some(key) = connection.key() {
            connection.budget.lock().accounts.detach(key, bytes);
        }
        self.bytes -= bytes;
        Share {
            budget: connection.budget.clone(),
            bytes,
        }
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.connection.give_back(self.bytes);
    }
}

/// Memory that belongs to no connection. Dropping it gives it back.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    bytes: u64,
}

impl Share {
    /// Changes the size of the share; waits a moment for more. Returns false, without a change, if there
    /// is not enough memory even so.
    pub async fn resize(&mut self, bytes: u64) -> bool {
        if bytes > self.bytes {
            let more = Need::Share(bytes - self.bytes);
            if self.budget.make_room(more).await.is_none() {
                return false;
            }
        } else {
            let less = self.bytes - bytes;
            self.budget.give_back(|s| s.accounts.give_back_share(less));
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let bytes = self.bytes;
        self.budget.give_back(|s| s.accounts.give_back_share(bytes));
    }
}
