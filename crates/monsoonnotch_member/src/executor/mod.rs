//! Executes the effects that the scheduler requests, or delegates them to followers.

mod orders;

use std::future::pending;
use std::sync::Arc;

use monsoonnotch_adapter::approval;
use monsoonnotch_adapter::vms::PollRequest;
use monsoonnotch_core::time::Time;
use monsoonnotch_jobs::delegation::Actions;
use monsoonnotch_jobs::delegation::Outcome;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::LogEntry;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
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
                    let now = cx.clock.now();
                    let own = lock(&cx.delegation).delegate(token, effect, now);
                    if let Some(effect) = own {
                        execute(&cx, token, effect, &term_requests);
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
    let completed = lock(&cx.delegation).completed(link, outcomes, cx.clock.now());
    match completed {
        Ok(actions) => perform(cx, actions),
        Err(seq) => {
            log::warn!(event = "link invalid", link = link, order = seq; "a follower sent an outcome of another kind than its order; closing the link");
            return false;
        }
    }
    true
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
    for effect in actions.direct {
        spawn_request(cx, token, effect);
    }
    for event in actions.events {
        cx.control.event(token, event);
    }
}

fn spawn_request(cx: &Arc<Cx>, token: u64, request: Effect) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        if let Some(event) = execute_request(&cx, token, request).await {
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
        Effect::Log(entry) => write_log_entry(token, &entry),
        request => spawn_request(cx, token, request),
    }
}

/// Executes an effect that sends a request, and returns the event with the response.
///
/// Returns `None` when a follower sends the response later in a separate frame.
async fn execute_request(cx: &Arc<Cx>, token: u64, request: Effect) -> Option<Event> {
    match request {
        Effect::Start { run, to, order } => {
            let answer = cx.vm_client.start(&to, &order, token).await;
            Some(Event::Started { run, answer })
        }
        Effect::Stop {
            run,
            to,
            task,
            attempt,
            timeout,
        } => {
            let stop = cx
                .vm_client
                .stop(&to, &task, attempt, token, timeout.into());
            let answer = stop.await;
            Some(Event::Stopped { run, answer })
        }
        Effect::Poll {
            key,
            to,
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
            let poll = cx.vm_client.poll(&to, token, &poll);
            let answer = poll.await;
            Some(Event::Polled { key, answer })
        }
        Effect::RequestApproval {
            key,
            slot,
            stage,
            vms,
        } => {
            if slot.0 == LOCAL_LINK {
                let allowed =
                    approval::request(&cx.http, &cx.settings.services.approval, &stage, &vms).await;
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
        Effect::Append(_) | Effect::Reply { .. } | Effect::StepDown | Effect::Log(_) => None,
    }
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

fn write_log_entry(token: u64, entry: &LogEntry) {
    let job = format!("{:016x}", entry.job);
    let level = match entry.is_warning {
        true => log::Level::Warn,
        false => log::Level::Info,
    };
    log::log!(level, event = entry.event, job = job, token = token, why = entry.detail.as_str(); "{}", entry.event);
}
