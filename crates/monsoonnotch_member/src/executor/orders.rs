//! Carries out the orders that a leader delegates to this member.

use std::sync::Arc;
use std::time::Duration;

use monsoonnotch_adapter::vms::PollRequest;
use monsoonnotch_jobs::delegation::Batch;
use monsoonnotch_jobs::delegation::Call;
use monsoonnotch_jobs::delegation::Outcome;
use monsoonnotch_jobs::effect::Target;
use monsoonnotch_jobs::fencing::order_token;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::cx::Cx;
use crate::links::Frame;
use crate::links::QueuedFrame;

/// Pause before outcomes are sent, in which further ones gather.
const BATCH_PAUSE: Duration = Duration::from_millis(4);
/// Maximum number of outcomes in one frame.
const BATCH_OUTCOMES_MAX: usize = 256;

/// Carries out orders that arrive over one link; dropping it cancels those under way.
#[derive(Debug)]
pub(crate) struct OrderExecutor {
    outcomes: mpsc::UnboundedSender<(u64, Outcome)>,
    calls: JoinSet<()>,
}

impl OrderExecutor {
    /// Creates an executor that sends the outcomes to `link`.
    pub(crate) fn new(link: mpsc::Sender<QueuedFrame>) -> Self {
        let (outcomes, rx) = mpsc::unbounded_channel();
        tokio::spawn(send_outcomes(link, rx));
        Self {
            outcomes,
            calls: JoinSet::new(),
        }
    }

    /// Carries out a batch of orders under the leader's token; returns false if it is invalid.
    pub(crate) fn execute(&mut self, cx: &Arc<Cx>, batch: Batch) -> bool {
        while self.calls.try_join_next().is_some() {}
        let token = batch.token;
        let Some(calls) = batch.into_calls() else {
            log::warn!(event = "link invalid", token = token; "the leader sent an order without its spec; closing the link");
            return false;
        };
        for (seq, to, call) in calls {
            let (cx, outcomes) = (Arc::clone(cx), self.outcomes.clone());
            self.calls.spawn(async move {
                let outcome = call_vm(&cx, token, &to, call).await;
                // The link may have ended meanwhile; the leader then expects no outcome.
                let _ = outcomes.send((seq, outcome));
            });
        }
        true
    }
}

/// Calls a VM in the leader term with token `term`.
pub(super) async fn call_vm(cx: &Cx, term: u64, to: &Target, call: Call) -> Outcome {
    let vms = &cx.vm_client;
    let token = order_token(term, to.restarts);
    match call {
        Call::Start(order) => Outcome::Started(vms.start(to, &order, token).await),
        Call::Stop {
            task,
            attempt,
            timeout,
        } => {
            let stop = vms.stop(to, &task, attempt, token, timeout.into());
            Outcome::Stopped(stop.await)
        }
        Call::Poll {
            acknowledged,
            lease_until_ms,
            wait,
            timeout,
        } => {
            let poll = PollRequest {
                acknowledged,
                lease_until_ms,
                wait: wait.into(),
                timeout: timeout.into(),
            };
            Outcome::polled(vms.poll(to, token, &poll).await)
        }
    }
}

/// Sends outcomes in batches until the executor is dropped or the link ends.
async fn send_outcomes(
    link: mpsc::Sender<QueuedFrame>,
    mut rx: mpsc::UnboundedReceiver<(u64, Outcome)>,
) {
    let mut outcomes = Vec::new();
    while rx.recv_many(&mut outcomes, BATCH_OUTCOMES_MAX).await > 0 {
        tokio::time::sleep(BATCH_PAUSE).await;
        while outcomes.len() < BATCH_OUTCOMES_MAX
            && let Ok(outcome) = rx.try_recv()
        {
            outcomes.push(outcome);
        }
        let outcomes = std::mem::take(&mut outcomes);
        if link
            .send(Frame::Outcomes { outcomes }.into())
            .await
            .is_err()
        {
            return;
        }
    }
}
