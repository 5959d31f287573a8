//! Reports of the outcomes of dispatched requests to the control thread.

use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::verdict::Reason;

use crate::control::Inbox;

/// Reports the outcome of a dispatched request exactly once.
///
/// A reporter that is dropped without a report sends that the request may have run.
#[derive(Debug)]
pub struct OutcomeReporter {
    call: CallKey,
    /// `None` once the outcome has been reported.
    inbox: Option<Inbox>,
}

impl OutcomeReporter {
    /// Creates a reporter that sends the outcome of `call` to `inbox`.
    pub fn new(call: CallKey, inbox: Inbox) -> Self {
        let inbox = Some(inbox);
        Self { call, inbox }
    }

    /// Reports the outcome.
    pub fn report(mut self, outcome: CallOutcome) {
        self.send(outcome);
    }

    fn send(&mut self, outcome: CallOutcome) {
        let call = self.call;
        if let Some(inbox) = self.inbox.take() {
            inbox.send_event(Event::CallEnded { call, outcome });
        }
    }
}

impl Drop for OutcomeReporter {
    fn drop(&mut self) {
        self.send(CallOutcome::MayHaveRun(Reason::UpstreamCut));
    }
}
