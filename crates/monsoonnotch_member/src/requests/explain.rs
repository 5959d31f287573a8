//! Answers operators' questions where a job would go now, through the leader.

use std::sync::Arc;
use std::time::Duration;

use monsoonnotch_adapter::operator_api::Question;
use monsoonnotch_adapter::operator_api::Response;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::explanation::Explanation;
use monsoonnotch_jobs::explanation::Subject;

use crate::cx::Cx;
use crate::cx::LOCAL_LINK;
use crate::cx::lock;
use crate::links::Frame;

/// Longest wait for the leader's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers a question; nothing is sent to a VM and nothing is stored.
pub(crate) async fn answer(cx: Arc<Cx>, question: Question) -> Response {
    let Some(config) = cx.config.borrow().clone() else {
        return Response::NotReady("the member has no configuration yet; ask again later");
    };
    if let Subject::Plan { queue, account, .. } = &question.subject {
        if !config.queues.contains_key(queue) {
            return Response::Unknown("there is no such queue; see the configuration in force");
        }
        if !account.is_empty() && !config.accounts.contains_key(account) {
            return Response::Unknown("there is no such account; see the configuration in force");
        }
    }
    match ask_leader(&cx, question.subject).await {
        Some(Some(explanation)) => Response::Explained(explanation),
        Some(None) => Response::Unknown("the leader knows no such job, or the plan is invalid"),
        None => Response::NotReady("no leader answered; ask again later, or another member"),
    }
}

async fn ask_leader(cx: &Cx, subject: Subject) -> Option<Option<Box<Explanation>>> {
    let mut pending = cx.questions.register();
    let seq = pending.seq;
    let sent = match cx.own_token() {
        Some(token) => {
            let key = QueryKey {
                link: LOCAL_LINK,
                seq,
            };
            cx.control.event(token, Event::Explain { key, subject })
        }
        None => {
            let link = lock(&cx.leader_link);
            link.as_ref()
                .is_some_and(|tx| tx.try_send(Frame::Explain { seq, subject }.into()).is_ok())
        }
    };
    match sent {
        true => {
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, &mut pending.response).await;
            answer.ok()?.ok()
        }
        false => None,
    }
}
