//! The control thread, which runs the scheduler while this member is the leader.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use monsoonnotch_core::time::Time;
use monsoonnotch_entry::clock::Clock;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::job_room::Known;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::site::PublishedConfig;
use monsoonnotch_jobs::tuning::Tuning;

use crate::pause::Detector;

/// Maximum number of queued inputs that are handled before the next scheduling decision, besides
/// the one that ended the wait.
const INPUTS_MAX: usize = 256;
/// Longest wait for an input while there is no active scheduler.
const IDLE_WAIT: Duration = Duration::from_secs(1);
/// Longest pause of the process after which its token still counts as confirmed. A longer pause
/// may have let another member take over, which takes about a second.
const PAUSE_MAX: Duration = Duration::from_millis(700);
/// How long after a request to the store that confirmed its token a leader makes decisions. Longer
/// than usual outages of the store, during which nothing can confirm the token; a successor waits
/// as long, because until then its predecessor may renew leases.
pub(crate) const CONFIRMATION_VALID: Duration = Duration::from_millis(6_000);
/// Interval between requests to confirm the token.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between such requests while no decisions are made without a confirmation.
const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// Starts a leader term with a new scheduler.
    BeginTerm {
        /// Token of the term.
        token: u64,
        /// The configuration in force.
        config: Arc<PublishedConfig>,
        /// Time after which all leases of previous leaders have expired.
        predecessor_leases: Duration,
        /// When the append by which the term begins was first sent.
        requested_at: Instant,
    },
    /// An event for the scheduler of the term with this token.
    Event(u64, Event),
    /// The store confirmed that no member has claimed leadership since a token was issued.
    TokenConfirmed {
        /// The token.
        token: u64,
        /// When the request was sent.
        requested_at: Instant,
    },
    /// Ends the leader term with this token.
    EndTerm(u64),
}

/// An output of the control thread, with the token of the current term.
#[derive(Debug)]
pub(crate) enum Output {
    /// Effects for the executor.
    Effects(u64, Vec<Effect>),
    /// Requests that the store confirm that the token is still the newest.
    ConfirmToken(u64),
}

/// The sending side of the control thread's input channel.
#[derive(Debug, Clone)]
pub(crate) struct Inbox {
    tx: mpsc::Sender<Input>,
    known: Arc<SchedulerState>,
}

/// What the scheduler publishes of its state after each decision.
#[derive(Debug, Default)]
struct SchedulerState {
    /// Memory that its jobs take, in bytes.
    jobs_memory: AtomicU64,
    /// Offset before which it knows all records of the journal.
    journal_position: AtomicU64,
}

impl SchedulerState {
    fn publish(&self, known: Known) {
        // A reader that sees the position must not see the memory without the jobs before it.
        self.jobs_memory.store(known.memory, Ordering::Relaxed);
        self.journal_position
            .store(known.read_to, Ordering::Release);
    }

    fn known(&self) -> Known {
        let read_to = self.journal_position.load(Ordering::Acquire);
        let memory = self.jobs_memory.load(Ordering::Relaxed);
        Known { memory, read_to }
    }
}

impl Inbox {
    /// Sends an input; returns false when the control thread has ended.
    pub(crate) fn send(&self, input: Input) -> bool {
        self.tx.send(input).is_ok()
    }

    /// Returns the offset before which the scheduler knows all records of the journal. During the
    /// first reads of a term it may be that of an earlier term, which is lower.
    pub(crate) fn journal_position(&self) -> u64 {
        self.known.known().read_to
    }

    /// Returns what the scheduler knows: the memory of its jobs, and the position above.
    pub(crate) fn known(&self) -> Known {
        self.known.known()
    }

    /// Sends an event to the scheduler of the term with this token.
    ///
    /// Returns false when the control thread has ended.
    pub(crate) fn event(&self, token: u64, event: Event) -> bool {
        self.send(Input::Event(token, event))
    }
}

/// Creates the input channel of the control thread.
pub(crate) fn inbox() -> (Inbox, mpsc::Receiver<Input>) {
    let (tx, rx) = mpsc::channel();
    let known = Arc::default();
    (Inbox { tx, known }, rx)
}

/// Starts the control thread.
///
/// `rx` receives the inputs sent to `inbox`, and `out` receives the outputs. The thread ends when `out` returns false or all inboxes are dropped.
pub(crate) fn start(
    rx: mpsc::Receiver<Input>,
    inbox: &Inbox,
    clock: Clock,
    tuning: Tuning,
    out: impl Fn(Output) -> bool + Send + 'static,
) {
    let known = Arc::clone(&inbox.known);
    std::thread::spawn(move || {
        let mut control = Control {
            known,
            clock,
            tuning,
            scheduler: None,
            confirmed_at: Instant::now(),
            resumed_at: Instant::now(),
            token_unconfirmed: false,
            next_confirm_at: Instant::now(),
            deferred: Vec::new(),
        };
        control.run(&rx, out);
    });
}

#[derive(Debug)]
struct Control {
    /// See [`Inbox::known`].
    known: Arc<SchedulerState>,
    clock: Clock,
    tuning: Tuning,
    scheduler: Option<Scheduler>,
    /// When the last request was sent to which the store responded that the token is the newest.
    confirmed_at: Instant,
    /// When the process last resumed from a pause. Earlier confirmations do not count.
    resumed_at: Instant,
    /// Whether another member may have become the leader. No scheduling decisions are made until
    /// the token is confirmed.
    token_unconfirmed: bool,
    /// When the next confirmation is requested.
    next_confirm_at: Instant,
    /// Events received while the token is unconfirmed, in order.
    deferred: Vec<Event>,
}

impl Control {
    fn run(&mut self, rx: &mpsc::Receiver<Input>, out: impl Fn(Output) -> bool) {
        let mut pauses = Detector::new(Instant::now(), SystemTime::now());
        loop {
            let wait = self.time_to_wake();
            let input = rx.recv_timeout(wait);
            let was_paused = pauses.was_paused(wait + PAUSE_MAX, Instant::now(), SystemTime::now());
            if was_paused && let Some(scheduler) = &self.scheduler {
                log::warn!(event = "process paused", token = scheduler.token(); "the process was paused; checking whether the token is still the newest");
                self.resumed_at = Instant::now();
                self.next_confirm_at = self.resumed_at;
            }
            self.check_confirmation();
            match input {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in rx.try_iter().take(INPUTS_MAX) {
                self.handle_input(input);
            }
            self.check_confirmation();
            if let Some(token) = self.confirmation_due()
                && !out(Output::ConfirmToken(token))
            {
                return;
            }
            if let Some((token, effects)) = self.decide()
                && !effects.is_empty()
                && !out(Output::Effects(token, effects))
            {
                return;
            }
        }
    }

    fn time_to_wake(&self) -> Duration {
        match &self.scheduler {
            None => IDLE_WAIT,
            Some(_) if self.token_unconfirmed => CONFIRM_RETRY_INTERVAL,
            Some(scheduler) => scheduler.wake_at().since(self.clock.now()).into(),
        }
    }

    /// Updates whether the token counts as confirmed, and handles the events that were deferred
    /// until it is.
    fn check_confirmation(&mut self) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let token = scheduler.token();
        let age = self.confirmed_at.elapsed();
        let unconfirmed = age > CONFIRMATION_VALID || self.confirmed_at < self.resumed_at;
        if std::mem::replace(&mut self.token_unconfirmed, unconfirmed) == unconfirmed {
            return;
        }
        if unconfirmed {
            log::warn!(event = "token unconfirmed", token = token, age_ms = age.as_millis() as u64; "making no decisions until the store confirms that the token is the newest");
            return;
        }
        log::info!(event = "token confirmed", token = token; "the store confirmed that the token is the newest");
        for event in std::mem::take(&mut self.deferred) {
            self.handle_event(token, event);
        }
    }

    /// Returns the token if a confirmation of it is to be requested now.
    fn confirmation_due(&mut self) -> Option<u64> {
        let scheduler = self.scheduler.as_ref()?;
        let now = Instant::now();
        let interval = match self.token_unconfirmed {
            true => CONFIRM_RETRY_INTERVAL,
            false => CONFIRM_INTERVAL,
        };
        if now < self.next_confirm_at {
            return None;
        }
        self.next_confirm_at = now + interval;
        Some(scheduler.token())
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::BeginTerm {
                token,
                config,
                predecessor_leases,
                requested_at,
            } => {
                let at = |d: Duration| {
                    let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
                    Time(self.clock.now().0.saturating_add(micros))
                };
                let tuning = self.tuning.clone();
                let scheduler = Scheduler::new(token, tuning, config, at(predecessor_leases));
                self.scheduler = Some(scheduler);
                self.confirmed_at = requested_at;
                self.token_unconfirmed = false;
                self.deferred.clear();
            }
            Input::Event(token, event) => self.handle_event(token, event),
            Input::TokenConfirmed {
                token,
                requested_at,
            } if self.is_current(token) => {
                self.confirmed_at = self.confirmed_at.max(requested_at);
            }
            Input::EndTerm(token) if self.is_current(token) => {
                self.scheduler = None;
                let read_to = self.known.known().read_to;
                self.known.publish(Known { memory: 0, read_to });
            }
            Input::TokenConfirmed { .. } | Input::EndTerm(_) => {}
        }
    }

    fn is_current(&self, token: u64) -> bool {
        self.scheduler.as_ref().is_some_and(|h| h.token() == token)
    }

    fn handle_event(&mut self, token: u64, event: Event) {
        if !self.is_current(token) {
            return;
        }
        if self.token_unconfirmed {
            self.deferred.push(event);
        } else if let Some(scheduler) = &mut self.scheduler {
            scheduler.handle(event, self.clock.now(), unix_ms());
        }
    }

    fn decide(&mut self) -> Option<(u64, Vec<Effect>)> {
        let scheduler = self
            .scheduler
            .as_mut()
            .filter(|_| !self.token_unconfirmed)?;
        let effects = scheduler.decide(self.clock.now(), unix_ms());
        self.known.publish(Known {
            memory: scheduler.jobs_memory(),
            read_to: scheduler.journal_position(),
        });
        Some((scheduler.token(), effects))
    }
}

/// Returns the time since the Unix epoch in milliseconds, or zero when the clock is before 1970.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // Only a broken clock is before 1970. With zero, nothing is due.
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
