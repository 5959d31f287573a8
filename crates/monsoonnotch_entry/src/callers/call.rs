//! A caller's request, dispatched to upstreams as the control thread decides.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use http_body_util::Full;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::timing::Timing;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_core::verdict::Verdict;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use super::Shared;
use super::fields;
use crate::control::Decision;
use crate::control::Inbox;
use crate::problem::Body;
use crate::upstream;
use crate::upstream::Dispatch;
use crate::upstream::OutcomeReporter;
use crate::upstream::write_window::Window;

/// A request that is open at the control thread.
///
/// Dropping it before its final response reports that the caller has disconnected.
#[derive(Debug)]
pub(super) struct Call {
    key: CallKey,
    inbox: Inbox,
    decisions: UnboundedReceiver<Decision>,
    /// Whether the final response has been returned.
    responded: bool,
    /// Whether an earlier dispatch may have run.
    may_have_run: bool,
}

impl Call {
    /// Opens a request at the control thread.
    pub(super) fn new(inbox: &Inbox, arrived: CallArrived) -> Self {
        Self {
            key: arrived.call,
            inbox: inbox.clone(),
            decisions: inbox.send_call(arrived),
            responded: false,
            may_have_run: false,
        }
    }

    /// Executes the decisions of the control thread until there is a final response.
    pub(super) async fn run(
        mut self,
        shared: &Arc<Shared>,
        parts: &Parts,
        body: &Bytes,
    ) -> Result<Response<Body>, Refusal> {
        loop {
            let decision = self.decisions.recv().await;
            let response = match decision {
                None => Some(Err(self.no_decision_refusal())),
                Some(Decision::Refuse(refusal)) => Some(Err(self.with_earlier_dispatches(refusal))),
                Some(Decision::Dispatch {
                    addr,
                    timeout,
                    certain_until,
                    ..
                }) => {
                    let sent = self.dispatch(shared, parts, body, &addr, timeout, certain_until);
                    sent.await.map(Ok)
                }
            };
            if let Some(response) = response {
                self.responded = true;
                return response;
            }
        }
    }

    /// Dispatches the request once.
    ///
    /// Returns `None` when there is no response; the control thread has then received the
    /// outcome.
    async fn dispatch(
        &mut self,
        shared: &Arc<Shared>,
        parts: &Parts,
        body: &Bytes,
        addr: &str,
        timeout: Duration,
        certain_until: Time,
    ) -> Option<Response<Body>> {
        let reporter = OutcomeReporter::new(self.key, self.inbox.clone());
        let Ok(to) = addr.parse() else {
            reporter.report(CallOutcome::NotRun(Reason::UpstreamRefused));
            return None;
        };
        let connect = std::time::Duration::from_millis(shared.settings.timing.connect_ms);
        let d = Dispatch {
            addr: to,
            connect,
            deadline: Instant::now() + timeout.into(),
            clock: shared.clock,
            window: write_window(certain_until),
        };
        let req = fields::upstream_request(parts, Full::new(body.clone()), addr);
        match upstream::start(d, req, reporter).await {
            Ok(Ok(mut res)) => {
                fields::strip_hop_by_hop(res.headers_mut());
                Some(res)
            }
            Ok(Err(CallOutcome::NotRun(_))) => None,
            _ => {
                self.may_have_run = true;
                None
            }
        }
    }

    /// Returns a refusal whose verdict takes earlier dispatches into account.
    fn with_earlier_dispatches(&self, refusal: Refusal) -> Refusal {
        let verdict = match self.may_have_run {
            true if refusal.verdict == Verdict::NotRun => Verdict::MayHaveRun,
            _ => refusal.verdict,
        };
        Refusal { verdict, ..refusal }
    }

    /// Returns the refusal for a request whose control thread stopped or restarted.
    fn no_decision_refusal(&self) -> Refusal {
        let wait = Duration::from_secs(1);
        self.with_earlier_dispatches(Refusal::later(Reason::Uncertain, wait))
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.responded {
            return;
        }
        // A dispatch that was decided but not started still occupies a slot.
        self.decisions.close();
        let call = self.key;
        while let Ok(decision) = self.decisions.try_recv() {
            if let Decision::Dispatch { .. } = decision {
                let outcome = CallOutcome::NotRun(Reason::Cancelled);
                self.inbox.send_event(Event::CallEnded { call, outcome });
            }
        }
        self.inbox.send_event(Event::CallerDisconnected(call));
    }
}

/// Returns the window for a request whose first write must begin before `until`.
fn write_window(until: Time) -> Window {
    Window {
        begin_before: until,
        end_before: until + Timing::default().dispatch_max,
    }
}
