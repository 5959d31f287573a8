//! Executes the effects that the scheduler requests.

use std::sync::Arc;

use monsoonnotch_adapter::approval;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::LogEntry;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
use tokio::sync::mpsc;

use crate::control::Output;
use crate::cx::Cx;
use crate::cx::LOCAL_LINK;
use crate::links::Frame;

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
    while let Some(output) = rx.recv().await {
        // The receiving task ends only with the process, so a failure to send does not matter.
        let _ = match output {
            Output::ConfirmToken(token) => term_requests.send(TermRequest::ConfirmToken(token)),
            Output::Effects(token, effects) => {
                for effect in effects {
                    execute(&cx, token, effect, &term_requests);
                }
                Ok(())
            }
        };
    }
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
        request => {
            let cx = Arc::clone(cx);
            tokio::spawn(async move {
                if let Some(event) = execute_request(&cx, token, request).await {
                    cx.control.event(token, event);
                }
            });
        }
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
        } => {
            let answer = cx.vm_client.stop(&to, &task, attempt, token).await;
            Some(Event::Stopped { run, answer })
        }
        Effect::Poll {
            key,
            to,
            acknowledged,
            lease_until_ms,
            wait,
        } => {
            let poll = cx
                .vm_client
                .poll(&to, token, acknowledged, lease_until_ms, wait.into());
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
    let slot = monsoonnotch_jobs::effect::ApprovalSlotKey(key.link);
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
