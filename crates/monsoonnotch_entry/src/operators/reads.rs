//! What operators look at.

use std::sync::atomic::Ordering;

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
    let asked = tokio::time::timeout(GAUGES_TIMEOUT, shared.inbox.ask(Event::Gauges));
    if let Ok(Some(Answer::Gauges(g))) = asked.await {
        measure::publish(&g, shared.ready.load(Ordering::Relaxed));
    }
    text(handle.render())
}

/// The part of the state at a path of member names.
pub(super) async fn part(inbox: &Inbox, path: &[&str]) -> Result<Response<Body>, Refused> {
    let value = state(inbox).await?;
    let found = path.iter().try_fold(&value, |v, name| v.get(name));
    let found = found.ok_or((Refusal::not_run(Reason::NotFound), None))?;
    Ok(problem::json(StatusCode::OK, found.to_string()))
}

/// The keys, without anything of their secrets.
pub(super) async fn keys(inbox: &Inbox, id: Option<&str>) -> Result<Response<Body>, Refused> {
    let mut value = state(inbox).await?;
    let keys = &mut value["ledger"]["config"]["keys"];
    for key in keys
        .as_object_mut()
        .into_iter()
        .flat_map(|m| m.values_mut())
    {
        if let Some(shown) = key["value"].as_object_mut() {
            shown.remove("hash");
        }
    }
    let found = id.map_or(Some(&*keys), |id| keys.get(id));
    let found = found.ok_or((Refusal::not_run(Reason::NotFound), None))?;
    Ok(problem::json(StatusCode::OK, found.to_string()))
}

/// The newest changes of the configuration, newest first.
pub(super) async fn history(inbox: &Inbox) -> Result<Response<Body>, Refused> {
    let value = state(inbox).await?;
    let recent = value["ledger"]["config"]["recent"].as_array();
    let newest_first: Vec<&Value> = recent.into_iter().flatten().rev().collect();
    let text = serde_json::to_string(&newest_first).expect("JSON values have a JSON form");
    Ok(problem::json(StatusCode::OK, text))
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

fn text(text: String) -> Response<Body> {
    problem::with_type(StatusCode::OK, "text/plain; version=0.0.4", text)
}
