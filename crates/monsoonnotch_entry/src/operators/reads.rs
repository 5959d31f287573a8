//! What operators look at.

use http::Response;
use http::StatusCode;
use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use serde_json::Value;

use super::Refused;
use super::Shared;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;

/// The metrics of the process as Prometheus text.
pub(super) fn metrics(shared: &Shared) -> Response<Body> {
    let text = shared
        .metrics
        .as_ref()
        .map_or(String::new(), |m| m.render());
    problem::with_type(StatusCode::OK, "text/plain; version=0.0.4", text)
}

/// The part of the state at a path of member names.
pub(super) async fn part(inbox: &Inbox, path: &[&str]) -> Result<Response<Body>, Refused> {
    let value = state(inbox).await?;
    let found = path.iter().try_fold(&value, |v, name| v.get(name));
    let found = found.ok_or((Refusal::not_run(Reason::NotFound), None))?;
    Ok(problem::json(StatusCode::OK, found.to_string()))
}

/// The whole state.
pub(super) async fn state(inbox: &Inbox) -> Result<Value, Refused> {
    match inbox.ask(Event::Dump).await {
        Some(Answer::Dump(text)) => {
            Ok(serde_json::from_str(&text).expect("the state is valid JSON"))
        }
        _ => {
            let wait = Duration::from_secs(1);
            Err((Refusal::later(Reason::Stopping, wait), None))
        }
    }
}
