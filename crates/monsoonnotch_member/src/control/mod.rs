//! The control thread, which runs the scheduler while this member is the leader.

use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use monsoonnotch_core::time::Time;
use monsoonnotch_entry::clock::Clock;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::site::PublishedConfig;
use monsoonnotch_jobs::tuning::Tuning;

/// Maximum number of queued inputs that are handled before the next scheduling decision, besides
/// the one that ended the wait.
const INPUTS_MAX: usize = 256;
/// Longest wait for an input while there is no active scheduler.
const IDLE_WAIT: Duration = Duration::from_secs(1);
/// Longest pause of the process after which its token still counts as confirmed. A longer pause
/// may have let another member take over, which takes about a second.
const PAUSE_MAX: Duration = Duration::from_millis(700);

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
    },
    /// An event for the scheduler of the term with this token.
    Event(u64, Event),
    /// Confirms that no member has claimed leadership since this token was issued.
    TokenConfirmed(u64),
    /// Ends the leader term with this token.
    EndTerm(u64),
}

/// An output of the control thread, with the token of the current term.
#[derive(Debug)]
pub(crate) enum Output {
    /// Effects for the executor.
    Effects(u64, Vec<Effect>),
    /// Requests a check whether the token is still the newest, because the process was paused.
    ConfirmToken(u64),
}

/// The sending side of the control thread's input channel.
#[derive(Debug, Clone)]
pub(crate) struct Inbox {
    tx: mpsc::Sender<Input>,
}

impl Inbox {
    /// Sends an input; returns false when the control thread has ended.
    pub(crate) fn send(&self, input: Input) -> bool {
        self.tx.send(input).is_ok()
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
    (Inbox { tx }, rx)
}

/// Starts the control thread.
///
/// `out` receives the outputs. The thread ends when `out` returns false or all inboxes are dropped.
pub(crate) fn start(
    rx: mpsc::Receiver<Input>,
    clock: Clock,
    tuning: Tuning,
    out: impl Fn(Output) -> bool + Send + 'static,
) {
    std::thread::spawn(move || {
        let mut control = Control {
            clock,
            tuning,
            scheduler: None,
            token_unconfirmed: false,
            deferred: Vec::new(),
        };
        control.run(&rx, out);
    });
}

#[derive(Debug)]
struct Control {
    clock: Clock,
    tuning: Tuning,
    scheduler: Option<Scheduler>,
    /// Whether another member may have become the leader during a pause of the process. No
    /// scheduling decisions are made until the token is confirmed.
    token_unconfirmed: bool,
    /// Events received while the token is unconfirmed, in order.
    deferred: Vec<Event>,
}

impl Control {
    fn run(&mut self, rx: &mpsc::Receiver<Input>, out: impl Fn(Output) -> bool) {
        let mut last_wake = Instant::now();
        loop {
            let wait = self.time_to_wake();
            let input = rx.recv_timeout(wait);
            let was_paused = last_wake.elapsed() > wait + PAUSE_MAX;
            last_wake = Instant::now();
            if was_paused && let Some(scheduler) = &self.scheduler {
                log::warn!(event = "process paused", token = scheduler.token(); "the process was paused; checking whether the token is still the newest");
                self.token_unconfirmed = true;
                if !out(Output::ConfirmToken(scheduler.token())) {
                    return;
                }
            }
            match input {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in rx.try_iter().take(INPUTS_MAX) {
                self.handle_input(input);
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
        let Some(scheduler) = self.scheduler.as_ref().filter(|_| !self.token_unconfirmed) else {
            return IDLE_WAIT;
        };
        scheduler.wake_at().since(self.clock.now()).into()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::BeginTerm {
                token,
                config,
                predecessor_leases,
            } => {
                let at = |d: Duration| {
                    let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
                    Time(self.clock.now().0.saturating_add(micros))
                };
                let tuning = self.tuning.clone();
                let scheduler = Scheduler::new(token, tuning, config, at(predecessor_leases));
                self.scheduler = Some(scheduler);
                self.token_unconfirmed = false;
                self.deferred.clear();
            }
            Input::Event(token, event) => self.handle_event(token, event),
            Input::TokenConfirmed(token) if self.is_current(token) => {
                self.token_unconfirmed = false;
                for event in std::mem::take(&mut self.deferred) {
                    self.handle_event(token, event);
                }
            }
            Input::EndTerm(token) if self.is_current(token) => self.scheduler = None,
            Input::TokenConfirmed(_) | Input::EndTerm(_) => {}
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
        Some((scheduler.token(), effects))
    }
}

/// Returns the time since the Unix epoch in milliseconds, or zero when the clock is before 1970.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // Only a broken clock is before 1970. With zero, nothing is due.
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
