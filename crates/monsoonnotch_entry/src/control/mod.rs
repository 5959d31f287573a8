//! The control thread, which feeds the reducer with events and executes its effects.

mod executor;
mod inbox;

use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::reducer::Control;
use monsoonnotch_core::reducer::Settings;
use tokio::sync::oneshot;

pub use self::executor::Environment;
use self::executor::Executor;
pub use self::inbox::Decision;
pub use self::inbox::Inbox;
use self::inbox::Input;
use crate::clock::Clock;
use crate::measure;

/// Longest wait for an input before the reducer gets a tick.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(10);
/// Maximum number of inputs handled between two ticks.
const INPUTS_PER_TICK_MAX: usize = 1_024;

/// Creates an inbox and the receiver of its inputs.
pub fn inbox() -> (Inbox, mpsc::Receiver<Input>) {
    let (tx, rx) = mpsc::channel();
    (Inbox::new(tx), rx)
}

/// Starts the control thread.
///
/// The thread ends when the member has left after [`Event::Stop`] or when it is killed. The
/// returned receiver then reports that its channel is closed.
///
/// # Panics
///
/// Panics when the operating system cannot create a thread.
pub fn start(
    settings: Settings,
    environment: Environment,
    inbox: Inbox,
    rx: mpsc::Receiver<Input>,
) -> (JoinHandle<()>, oneshot::Receiver<()>) {
    let (running, ended) = oneshot::channel::<()>();
    let run = move || {
        EventLoop::new(settings, environment, inbox).run(&rx);
        drop(running);
    };
    let builder = thread::Builder::new().name("control".to_owned());
    let thread = builder.spawn(run).expect("a thread can be started");
    (thread, ended)
}

/// The state of the control thread.
struct EventLoop {
    settings: Settings,
    clock: Clock,
    control: Control,
    executor: Executor,
    inbox: Inbox,
    /// Whether a graceful shutdown has begun.
    stop_requested: bool,
}

/// Returns the call that needs no further decision after an event.
fn finished_call(ev: &Event) -> Option<CallKey> {
    match ev {
        Event::CallEnded { call, outcome } => match outcome {
            CallOutcome::Complete | CallOutcome::Failed | CallOutcome::Cut(_) => Some(*call),
            CallOutcome::NotRun(_) | CallOutcome::MayHaveRun(_) => None,
        },
        _ => None,
    }
}

impl EventLoop {
    fn new(settings: Settings, environment: Environment, inbox: Inbox) -> Self {
        Self {
            clock: environment.clock,
            control: Control::new(settings.clone()),
            executor: Executor::new(settings.me, environment, inbox.clone()),
            inbox,
            settings,
            stop_requested: false,
        }
    }

    fn run(mut self, rx: &mpsc::Receiver<Input>) {
        loop {
            let mut input = rx.recv_timeout(TICK_INTERVAL_MAX);
            for _ in 0..INPUTS_PER_TICK_MAX {
                match input {
                    Ok(i) => self.handle(i),
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                if self.finish_or_restart() {
                    return;
                }
                input = rx.try_recv().map_err(|_| RecvTimeoutError::Timeout);
            }
            self.step(Event::Tick);
            if self.finish_or_restart() {
                return;
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Event(ev) => {
                self.stop_requested |= ev == Event::Stop;
                let finished_call = finished_call(&ev);
                self.step(ev);
                if let Some(call) = finished_call {
                    self.executor.close_call(call);
                }
            }
            Input::Peer(from, to, msg) => {
                self.inbox.release_peer_message();
                self.step(Event::Peer { from, to, msg });
            }
            Input::Call(arrived, tx) => {
                self.executor.open_call(arrived.call, tx);
                self.step(Event::Call(arrived));
            }
            Input::Request(make, tx) => {
                let ticket = self.executor.open_ticket(tx);
                self.step(make(ticket));
            }
            Input::Kill => self.executor.kill(),
        }
    }

    fn step(&mut self, ev: Event) {
        measure::record_event(&ev);
        let effects = self.control.step(self.clock.now(), ev);
        for effect in effects {
            self.executor.execute(effect);
        }
    }

    /// Returns whether the thread has to end.
    ///
    /// A member that stopped without a request was evicted. It restarts under a new identifier
    /// and the thread continues.
    fn finish_or_restart(&mut self) -> bool {
        if !self.executor.stopped() {
            return false;
        }
        if self.stop_requested || self.executor.killed() {
            self.executor.close();
            return true;
        }
        self.settings.me = MemberId(rand::random());
        self.control = Control::new(self.settings.clone());
        self.executor.restart(self.settings.me);
        false
    }
}
