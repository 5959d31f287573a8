//! The control thread: the reducer, its clock and its inbox.

mod inbox;
mod runner;

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

pub use self::inbox::Decision;
pub use self::inbox::Inbox;
use self::inbox::Input;
pub use self::runner::Outside;
use self::runner::Runner;
use crate::clock::Clock;
use crate::measure;

/// Longest pause between two ticks.
const TICK: Duration = Duration::from_millis(10);
/// Inputs handled between two ticks at most.
const INPUTS_MAX: usize = 1_024;

/// Makes a fresh inbox and its far end.
pub fn inbox() -> (Inbox, mpsc::Receiver<Input>) {
    let (tx, rx) = mpsc::channel();
    (Inbox::new(tx), rx)
}

/// Starts the control thread; it ends when the member has left or the inbox is closed.
///
/// The receiver's channel is closed when the thread ends.
///
/// # Panics
///
/// When the system has no thread left.
pub fn start(
    settings: Settings,
    outside: Outside,
    inbox: Inbox,
    rx: mpsc::Receiver<Input>,
) -> (JoinHandle<()>, oneshot::Receiver<()>) {
    let (running, ended) = oneshot::channel::<()>();
    let run = move || {
        Loop::new(settings, outside, inbox).run(&rx);
        drop(running);
    };
    let builder = thread::Builder::new().name("control".to_owned());
    let thread = builder.spawn(run).expect("a thread can be started");
    (thread, ended)
}

/// The state of the control thread.
struct Loop {
    settings: Settings,
    clock: Clock,
    control: Control,
    runner: Runner,
    inbox: Inbox,
    stop_asked: bool,
}

/// The call that needs no further decision after an event.
fn answered(ev: &Event) -> Option<CallKey> {
    match ev {
        Event::CallEnded { call, outcome } => match outcome {
            CallOutcome::Complete | CallOutcome::Failed | CallOutcome::Cut(_) => Some(*call),
            CallOutcome::NotRun(_) | CallOutcome::MayHaveRun(_) => None,
        },
        _ => None,
    }
}

impl Loop {
    fn new(settings: Settings, outside: Outside, inbox: Inbox) -> Self {
        Self {
            clock: outside.clock,
            control: Control::new(settings.clone()),
            runner: Runner::new(settings.me, outside, inbox.clone()),
            inbox,
            settings,
            stop_asked: false,
        }
    }

    fn run(mut self, rx: &mpsc::Receiver<Input>) {
        loop {
            let mut input = rx.recv_timeout(TICK);
            for _ in 0..INPUTS_MAX {
                match input {
                    Ok(i) => self.take(i),
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                if self.over() {
                    return;
                }
                input = rx.try_recv().map_err(|_| RecvTimeoutError::Timeout);
            }
            self.step(Event::Tick);
            if self.over() {
                return;
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(ev) => {
                self.stop_asked |= ev == Event::Stop;
                let answered = answered(&ev);
                self.step(ev);
                if let Some(call) = answered {
                    self.runner.close_call(call);
                }
            }
            Input::Peer(from, to, msg) => {
                self.inbox.peer_taken();
                self.step(Event::Peer { from, to, msg });
            }
            Input::Call(arrived, tx) => {
                self.runner.open_call(arrived.call, tx);
                self.step(Event::Call(arrived));
            }
            Input::Ask(make, tx) => {
                let ticket = self.runner.open_ticket(tx);
                self.step(make(ticket));
            }
            Input::Kill => self.runner.kill(),
        }
    }

    fn step(&mut self, ev: Event) {
        measure::event(&ev);
        let effects = self.control.step(self.clock.now(), ev);
        for effect in effects {
            self.runner.run(effect);
        }
    }

    /// Whether the thread is to end; an evicted member starts anew instead.
    fn over(&mut self) -> bool {
        if !self.runner.stopped() {
            return false;
        }
        if self.stop_asked || self.runner.killed() {
            self.runner.close();
            return true;
        }
        self.settings.me = MemberId(rand::random());
        self.control = Control::new(self.settings.clone());
        self.runner.restart(self.settings.me);
        false
    }
}
