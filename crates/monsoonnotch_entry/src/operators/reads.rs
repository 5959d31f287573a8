//! Endpoints through which operators read the state and the metrics.

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

/// Timeout for the control thread's answer with the gauges.
const GAUGES_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Returns the metrics of the process in the Prometheus text format, empty if this entry does not
/// serve them.
///
/// When the control thread does not answer, the counters are current and the gauges keep the
/// values of its last answer.
pub(super) async fn metrics(shared: &Shared) -> Response<Body> {
    let Some(handle) = &shared.metrics else {
        return text(String::new());
    };
    let answer = tokio::time::timeout(GAUGES_TIMEOUT, shared.inbox.request(Event::Gauges));
    if let Ok(Some(Answer::Gauges(g))) = answer.await {
        measure::publish(&g, shared.ready.load(Ordering::Relaxed));
    }
    text(handle.render())
}

/// Returns the complete state of the process as JSON.
pub(super) async fn state(inbox: &Inbox) -> Result<Response<Body>, DetailedRefusal> {
    let text = json_text(inbox.request(Event::Dump).await)?;
    Ok(problem::json(StatusCode::OK, text))
}

/// Returns a part of the state as JSON.
pub(super) async fn state_part(
    inbox: &Inbox,
    query: StateQuery,
) -> Result<Response<Body>, DetailedRefusal> {
    let text = read_json(inbox, query).await?;
    Ok(problem::json(StatusCode::OK, text))
}

/// Reads a part of the state as JSON text.
pub(super) async fn read_json(inbox: &Inbox, query: StateQuery) -> Result<String, DetailedRefusal> {
    let answer = inbox.request(move |ticket| Event::Query { ticket, query });
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
