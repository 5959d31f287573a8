//! Telling the control thread, once, how a dispatched request ended.

use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::verdict::Reason;

use crate::control::Inbox;

/// The duty to report the end of a request.
///
/// One that is dropped unused reports that the request may have run.
#[derive(Debug)]
pub struct OutcomeReporter {
    call: CallKey,
    /// `None` once the end was reported.
    inbox: Option<Inbox>,
}

impl OutcomeReporter {
    /// The duty to report the end of `call` to `inbox`.
    pub fn new(call: CallKey, inbox: Inbox) -> Self {
        let inbox = Some(inbox);
        Self { call, inbox }
    }

    /// Reports the end.
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
