//! The control thread: it runs the reducer while this member holds the jobs.

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

/// Inputs taken in before the next decision, at most.
const INPUTS_MAX: usize = 256;
/// Wake-up when nothing is held.
const IDLE: Duration = Duration::from_secs(1);
/// A pause of the process this long puts its beliefs in doubt: others may have
/// taken over meanwhile, which takes them about a second.
const PAUSE_MAX: Duration = Duration::from_millis(700);

/// What the control thread takes in.
#[derive(Debug)]
pub(crate) enum Input {
    /// Hold the jobs under a token.
    Begin {
        /// The token.
        token: u64,
        /// The configuration.
        site: Arc<PublishedConfig>,
        /// How long leases of a former holder may last.
        settle: Duration,
    },
    /// Something happened to the holder of that token.
    Event(u64, Event),
    /// Nobody has claimed since the token was given.
    Sure(u64),
    /// Hold nothing any more.
    End(u64),
}

/// What the control thread gives out, with the token it is under.
#[derive(Debug)]
pub(crate) enum Output {
    /// Effects to carry out.
    Effects(u64, Vec<Effect>),
    /// The process stood still: is the token still the newest?
    Unsure(u64),
}

/// Where inputs go.
#[derive(Debug, Clone)]
pub(crate) struct Inbox {
    tx: mpsc::Sender<Input>,
}

impl Inbox {
    /// Hands in an input; false when the thread has ended.
    pub(crate) fn send(&self, input: Input) -> bool {
        self.tx.send(input).is_ok()
    }

    /// Hands an event to the holder of a token.
    pub(crate) fn event(&self, token: u64, event: Event) -> bool {
        self.send(Input::Event(token, event))
    }
}

/// Makes an inbox and its far end.
pub(crate) fn inbox() -> (Inbox, mpsc::Receiver<Input>) {
    let (tx, rx) = mpsc::channel();
    (Inbox { tx }, rx)
}

/// Starts the control thread; it ends when the inbox or `out` is closed.
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
            holder: None,
            doubt: false,
            kept: Vec::new(),
        };
        control.run(&rx, out);
    });
}

#[derive(Debug)]
struct Control {
    clock: Clock,
    tuning: Tuning,
    holder: Option<Scheduler>,
    /// Whether another member may hold the jobs by now; nothing is decided then.
    doubt: bool,
    /// Events that came while in doubt.
    kept: Vec<Event>,
}

impl Control {
    fn run(&mut self, rx: &mpsc::Receiver<Input>, out: impl Fn(Output) -> bool) {
        let mut last = Instant::now();
        loop {
            let wait = self.wait();
            let first = rx.recv_timeout(wait);
            let stood_still = last.elapsed() > wait + PAUSE_MAX;
            last = Instant::now();
            if stood_still && let Some(holder) = &self.holder {
                log::warn!(event = "pause", token = holder.token(); "the process stood still");
                self.doubt = true;
                if !out(Output::Unsure(holder.token())) {
                    return;
                }
            }
            match first {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in rx.try_iter().take(INPUTS_MAX) {
                self.take(input);
            }
            if let Some((token, fx)) = self.decide()
                && !fx.is_empty()
                && !out(Output::Effects(token, fx))
            {
                return;
            }
        }
    }

    fn wait(&self) -> Duration {
        let Some(holder) = self.holder.as_ref().filter(|_| !self.doubt) else {
            return IDLE;
        };
        holder.wake_at().since(self.clock.now()).into()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Begin {
                token,
                site,
                settle,
            } => {
                let at = |d: Duration| {
                    let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
                    Time(self.clock.now().0.saturating_add(micros))
                };
                let tuning = self.tuning.clone();
                let holder = Scheduler::new(token, tuning, site, at(settle));
                self.holder = Some(holder);
                self.doubt = false;
                self.kept.clear();
            }
            Input::Event(token, event) => self.event(token, event),
            Input::Sure(token) if self.holds(token) => {
                self.doubt = false;
                for event in std::mem::take(&mut self.kept) {
                    self.event(token, event);
                }
            }
            Input::End(token) if self.holds(token) => self.holder = None,
            Input::Sure(_) | Input::End(_) => {}
        }
    }

    fn holds(&self, token: u64) -> bool {
        self.holder.as_ref().is_some_and(|h| h.token() == token)
    }

    fn event(&mut self, token: u64, event: Event) {
        if !self.holds(token) {
            return;
        }
        if self.doubt {
            self.kept.push(event);
        } else if let Some(holder) = &mut self.holder {
            holder.handle(event, self.clock.now(), unix_ms());
        }
    }

    fn decide(&mut self) -> Option<(u64, Vec<Effect>)> {
        let holder = self.holder.as_mut().filter(|_| !self.doubt)?;
        let fx = holder.decide(self.clock.now(), unix_ms());
        Some((holder.token(), fx))
    }
}

/// The time of day in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // Before 1970 only a broken clock can be; nothing is due then.
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
