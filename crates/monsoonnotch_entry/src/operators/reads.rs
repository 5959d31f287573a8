//! What operators look at.

use std::sync::atomic::Ordering;

use http::Response;
use http::StatusCode;
use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::event::StateQuery;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;

use super::DetailedRefusal;
use super::Shared;
use crate::control::Inbox;
use crate::measure;
use crate::problem;
use crate::problem::Body;

/// Longest wait for the control thread to read the gauges.
const GAUGES_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// The metrics of the process as Prometheus text.
///
/// Counters are shown even when the control thread does not answer; the
/// gauges are then those of the last time that it did.
pub(super) async fn metrics(shared: &Shared) -> Response<Body> {
    let Some(handle) = &shared.metrics else {
        return text(String::new());
    };
    let asked = tokio::time::timeout(GAUGES_TIMEOUT, shared.inbox.request(Event::Gauges));
    if let Ok(Some(Answer::Gauges(g))) = asked.await {
        measure::publish(&g, shared.ready.load(Ordering::Relaxed));
    }
    text(handle.render())
}

/// The whole state of the process.
pub(super) async fn state(inbox: &Inbox) -> Result<Response<Body>, DetailedRefusal> {
    let text = json_text(inbox.request(Event::Dump).await)?;
    Ok(problem::json(StatusCode::OK, text))
}

/// A part of the state.
pub(super) async fn state_part(
    inbox: &Inbox,
    query: StateQuery,
) -> Result<Response<Body>, DetailedRefusal> {
    let text = read_json(inbox, query).await?;
    Ok(problem::json(StatusCode::OK, text))
}

/// A part of the state, as JSON text.
pub(super) async fn read_json(inbox: &Inbox, query: StateQuery) -> Result<String, DetailedRefusal> {
    let answer = inbox.request(move |ticket| Event::Query {
        ticket,
        query: query,
    });
    json_text(answer.await)
}

fn json_text(answer: Option<Answer>) -> Result<String, DetailedRefusal> {
    match answer {
        Some(Answer::Dump(text)) => Ok(text),
        Some(Answer::Refused(refusal)) => Err((refusal, None)),
        _ => {
            let wait = Duration::from_secs(1);
            Err((Refusal::later(Reason::Stopping, wait), None))
        }
    }
}

fn text(text: String) -> Response<Body> {
    problem::with_content_type(StatusCode::OK, "text/plain; version=0.0.4", text)
}
