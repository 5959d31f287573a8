//! Executes the effects that the scheduler requests, or delegates them to followers.

mod orders;

use std::future::pending;
use std::sync::Arc;

use compact_str::CompactString;
use monsoonnotch_adapter::approval;
use monsoonnotch_core::time::Time;
use monsoonnotch_jobs::delegation::Actions;
use monsoonnotch_jobs::delegation::Outcome;
use monsoonnotch_jobs::delegation::VmCall;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::ApprovalRequestKey;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::LogEntry;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::explanation::Explanation;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::plan::StageId;
use tokio::sync::mpsc;

use crate::control::Output;
use crate::cx::Cx;
use crate::cx::LOCAL_LINK;
use crate::cx::lock;
use crate::links::Frame;

pub(crate) use self::orders::OrderExecutor;

/// A request from the executor to the task that runs the leader term.
///
/// Each variant has the token of the term as its first field.
#[derive(Debug)]
pub(crate) enum TermRequest {
    /// Append records to the journal under the token.
    Append(u64, Vec<KeyedRecord>),
    /// End the term, because the token is no longer the newest.
    Relinquish(u64),
    /// Check whether the token is still the newest.
    ConfirmToken(u64),
}

/// Executes effects until the control thread ends.
pub(crate) async fn run(
    cx: Arc<Cx>,
    mut rx: mpsc::UnboundedReceiver<Output>,
    term_requests: mpsc::UnboundedSender<TermRequest>,
) {
    loop {
        let wake_at = lock(&cx.delegation).wake_at();
        let output = tokio::select! {
            output = rx.recv() => match output {
                Some(output) => Some(output),
                None => return,
            },
            () = sleep_until(&cx, wake_at) => None,
        };
        match output {
            Some(Output::ConfirmToken(token)) => {
                // The receiving task ends only with the process, so a failure does not matter.
                let _ = term_requests.send(TermRequest::ConfirmToken(token));
            }
            Some(Output::Effects(token, effects)) => {
                for effect in effects {
                    match VmCall::try_from(effect) {
                        Ok(call) => delegate_or_call(&cx, token, call),
                        Err(effect) => execute(&cx, token, effect, &term_requests),
                    }
                }
            }
            None => {}
        }
        let actions = lock(&cx.delegation).tick(cx.clock.now());
        perform(&cx, actions);
    }
}

/// Waits until `at`, or for ever if there is no such time.
async fn sleep_until(cx: &Cx, at: Option<Time>) {
    match at {
        Some(at) => tokio::time::sleep(at.since(cx.clock.now()).into()).await,
        None => pending().await,
    }
}

/// Applies the outcomes that a follower sent; returns whether they match their orders.
pub(crate) fn apply_outcomes(cx: &Arc<Cx>, link: u64, outcomes: Vec<(u64, Outcome)>) -> bool {
    let actions = lock(&cx.delegation).completed(link, outcomes, cx.clock.now());
    let mismatched = actions.mismatched;
    perform(cx, actions);
    if let Some(order) = mismatched {
        log::warn!(event = "link invalid", link = link, order = order; "a follower sent an outcome of another kind than its order; closing the link");
    }
    mismatched.is_none()
}

/// Ends the orders of a follower whose link is closed.
pub(crate) fn link_closed(cx: &Arc<Cx>, link: u64) {
    let actions = lock(&cx.delegation).executor_left(link, cx.clock.now());
    perform(cx, actions);
}

/// Sends batches of orders, executes what followers could not, and reports events.
fn perform(cx: &Arc<Cx>, actions: Actions) {
    let token = lock(&cx.delegation).token();
    for link in actions.suspended {
        log::warn!(event = "executor suspended", link = link, token = token; "a follower is silent or late; its VMs are called by others");
    }
    for (link, batch) in actions.batches {
        let frame = Frame::Orders(batch);
        if !cx.send_to_follower(ApprovalSlotKey(link), frame) {
            let actions = lock(&cx.delegation).link_failed(link, cx.clock.now());
            perform(cx, actions);
        }
    }
    for call in actions.direct {
        spawn_call(cx, token, call);
    }
    for event in actions.events {
        cx.control.event(token, event);
    }
}

fn delegate_or_call(cx: &Arc<Cx>, token: u64, call: VmCall) {
    let own = lock(&cx.delegation).delegate(token, call, cx.clock.now());
    if let Some(call) = own {
        spawn_call(cx, token, call);
    }
}

/// Calls a VM, unless a newer leader claims the VMs meanwhile.
fn spawn_call(cx: &Arc<Cx>, token: u64, call: VmCall) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let outcome = tokio::select! {
            outcome = orders::call_vm(&cx, token, &call.to, call.call) => outcome,
            () = cx.superseded(token) => return,
        };
        if let Some(event) = call.subject.event(outcome) {
            cx.control.event(token, event);
        }
    });
}

fn execute(
    cx: &Arc<Cx>,
    token: u64,
    effect: Effect,
    term_requests: &mpsc::UnboundedSender<TermRequest>,
) {
    match effect {
        Effect::Append(records) => {
            let _ = term_requests.send(TermRequest::Append(token, records));
        }
        Effect::StepDown => {
            let _ = term_requests.send(TermRequest::Relinquish(token));
        }
        Effect::Reply { key, answer } => reply(cx, key, answer),
        Effect::Explained { key, explanation } => reply_explained(cx, key, explanation),
        Effect::Log(entry) => write_log_entry(token, &entry),
        Effect::Backlogs(backlogs) => cx.set_backlogs(*backlogs),
        Effect::Gauge { name, value } => metrics::gauge!(name).set(value),
        Effect::RequestApproval {
            key,
            slot,
            stage,
            vms,
        } => {
            let cx = Arc::clone(cx);
            tokio::spawn(async move {
                if let Some(event) = request_approval(&cx, key, slot, stage, vms).await {
                    cx.control.event(token, event);
                }
            });
        }
        // These are calls to VMs, which are not executed here.
        Effect::Start { .. } | Effect::Stop { .. } | Effect::Poll { .. } => {}
    }
}

/// Requests approvals, and returns the event with the response.
///
/// Returns `None` when a follower sends the response later in a separate frame.
async fn request_approval(
    cx: &Cx,
    key: ApprovalRequestKey,
    slot: ApprovalSlotKey,
    stage: StageId,
    vms: Vec<CompactString>,
) -> Option<Event> {
    if slot.0 == LOCAL_LINK {
        let addr = &cx.settings.services.approval;
        let allowed = approval::request(&cx.http, addr, &stage, &vms).await;
        return Some(Event::Approved { key, allowed });
    }
    let frame = Frame::Approve {
        request: key.0,
        stage,
        vms,
    };
    let sent = cx.send_to_follower(slot, frame);
    (!sent).then_some(Event::Approved { key, allowed: None })
}

fn reply(cx: &Cx, key: QueryKey, answer: Answer) {
    if key.link == LOCAL_LINK {
        return cx.queries.complete(key.seq, answer);
    }
    let slot = ApprovalSlotKey(key.link);
    let frame = Frame::Answer {
        seq: key.seq,
        answer,
    };
    // A follower whose link is closed repeats its query, possibly to another leader.
    let _ = cx.send_to_follower(slot, frame);
}

fn reply_explained(cx: &Cx, key: QueryKey, explanation: Option<Box<Explanation>>) {
    if key.link == LOCAL_LINK {
        return cx.questions.complete(key.seq, explanation);
    }
    let frame = Frame::Explained {
        seq: key.seq,
        explanation,
    };
    // The operator repeats a question that gets no answer.
    let _ = cx.send_to_follower(ApprovalSlotKey(key.link), frame);
}

fn write_log_entry(token: u64, entry: &LogEntry) {
    let job = format!("{:016x}", entry.job);
    let level = match entry.is_warning {
        true => log::Level::Warn,
        false => log::Level::Info,
    };
    log::log!(level, event = entry.event, job = job, token = token, why = entry.detail.as_str(); "{}", entry.event);
}
