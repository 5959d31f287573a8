//! Carries out the reducer's effects.

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
use crate::cx::OWN;
use crate::links::Frame;

/// What the holder's effects ask of the term that it runs in.
#[derive(Debug)]
pub(crate) enum ForTerm {
    /// Store records under the token.
    Append(u64, Vec<KeyedRecord>),
    /// The token is not the newest any more.
    Over(u64),
    /// Find out whether it is.
    Unsure(u64),
}

/// Carries out effects until the control thread ends.
pub(crate) async fn run(
    cx: Arc<Cx>,
    mut rx: mpsc::UnboundedReceiver<Output>,
    term: mpsc::UnboundedSender<ForTerm>,
) {
    while let Some(output) = rx.recv().await {
        // The term's task ends only with the process.
        let _ = match output {
            Output::Unsure(token) => term.send(ForTerm::Unsure(token)),
            Output::Effects(token, fx) => {
                for effect in fx {
                    perform(&cx, token, effect, &term);
                }
                Ok(())
            }
        };
    }
}

fn perform(cx: &Arc<Cx>, token: u64, effect: Effect, term: &mpsc::UnboundedSender<ForTerm>) {
    match effect {
        Effect::Append(records) => {
            let _ = term.send(ForTerm::Append(token, records));
        }
        Effect::StepDown => {
            let _ = term.send(ForTerm::Over(token));
        }
        Effect::Reply { key, answer } => reply(cx, key, answer),
        Effect::Log(note) => write(&note),
        order => {
            let cx = Arc::clone(cx);
            tokio::spawn(async move {
                if let Some(event) = exchange(&cx, token, order).await {
                    cx.control.event(token, event);
                }
            });
        }
    }
}

/// Carries out an order that has an answer.
async fn exchange(cx: &Arc<Cx>, token: u64, order: Effect) -> Option<Event> {
    match order {
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
            let look = cx
                .vm_client
                .poll(&to, token, acknowledged, lease_until_ms, wait.into());
            let answer = look.await;
            Some(Event::Polled { key, answer })
        }
        Effect::RequestApproval {
            key,
            slot,
            stage,
            vms,
        } => {
            if slot.0 == OWN {
                let allowed =
                    approval::request(&cx.http, &cx.settings.services.approval, &stage, &vms).await;
                return Some(Event::Approved { key, allowed });
            }
            let frame = Frame::Approve {
                ask: key.0,
                stage,
                vms,
            };
            let sent = cx.to_guest(slot, frame);
            (!sent).then_some(Event::Approved { key, allowed: None })
        }
        Effect::Append(_) | Effect::Reply { .. } | Effect::StepDown | Effect::Log(_) => None,
    }
}

fn reply(cx: &Cx, key: QueryKey, answer: Answer) {
    if key.link == OWN {
        return cx.queries.answer(key.seq, answer);
    }
    let lane = monsoonnotch_jobs::effect::ApprovalSlotKey(key.link);
    let frame = Frame::Answer {
        seq: key.seq,
        answer,
    };
    // A guest whose link is gone asks again elsewhere.
    let _ = cx.to_guest(lane, frame);
}

fn write(note: &LogEntry) {
    let job = format!("{:016x}", note.job);
    log::info!(event = note.event, job = job, why = note.detail.as_str(); "{}", note.event);
}
