//! The commands that read the published configuration and the state of an entry.

use serde_json::Value;
use serde_json::json;

use super::Cx;
use crate::client::Error;
use crate::output;
use crate::output::Column;

const PROFILES: &[Column] = &[
    ("name", "/name"),
    ("version", "/version"),
    ("lane", "/value/lane"),
    ("repeatable", "/value/repeatable"),
    ("open", "/value/open"),
    ("priority", "/value/priority"),
    ("max_wait_ms", "/value/max_wait_ms"),
    ("timeout_ms", "/value/timeout_ms"),
    ("set by", "/stamp/by"),
    ("at", "/stamp/at_unix"),
];
const TEAMS: &[Column] = &[
    ("name", "/name"),
    ("version", "/version"),
    ("account", "/value/account"),
    ("share", "/value/share"),
    ("limit", "/value/limit"),
    ("set by", "/stamp/by"),
    ("at", "/stamp/at_unix"),
];
const KEYS: &[Column] = &[
    ("id", "/name"),
    ("version", "/version"),
    ("team", "/value/team"),
    ("withdrawn", "/value/withdrawn"),
    ("set by", "/stamp/by"),
    ("at", "/stamp/at_unix"),
];
const VMS: &[Column] = &[
    ("name", "/info/name"),
    ("domain", "/info/domain"),
    ("rack", "/info/rack"),
    ("address", "/info/addr"),
    ("leaving", "/info/leaving"),
    ("held", "/held"),
    ("known", "/known"),
    ("slots", "/info/total/slots"),
    ("used", "/used/slots"),
    ("requests", "/requests"),
    ("tasks", "/tasks"),
    ("doubts", "/doubts"),
    ("aside", "/aside"),
    ("draining", "/draining"),
];
const HISTORY: &[Column] = &[
    ("version", "/version"),
    ("kind", "/kind"),
    ("name", "/name"),
    ("replaces", "/replaces"),
    ("outcome", "/outcome"),
    ("by", "/stamp/by"),
    ("at", "/stamp/at_unix"),
    ("through", "/stamp/entry"),
];
const PEERS: &[Column] = &[
    ("peer", "/member"),
    ("age_ms", "/age_ms"),
    ("free", "/free"),
    ("waiting", "/waiting"),
];
const MEMBERS: &[Column] = &[
    ("member", "/name"),
    ("domain", "/domain"),
    ("address", "/addr"),
    ("guards", "/guards"),
    ("votes", "/votes"),
];

pub(super) fn profiles(cx: &Cx) -> Result<(), Error> {
    list(cx, "/v1/profiles", PROFILES)
}

pub(super) fn profile(cx: &Cx) -> Result<(), Error> {
    show(cx, &format!("/v1/profiles/{}", cx.arg(0)))
}

pub(super) fn teams(cx: &Cx) -> Result<(), Error> {
    list(cx, "/v1/teams", TEAMS)
}

pub(super) fn team(cx: &Cx) -> Result<(), Error> {
    show(cx, &format!("/v1/teams/{}", cx.arg(0)))
}

pub(super) fn keys(cx: &Cx) -> Result<(), Error> {
    list(cx, "/v1/keys", KEYS)
}

pub(super) fn vms(cx: &Cx) -> Result<(), Error> {
    list(cx, "/v1/vms", VMS)
}

/// Prints the newest configuration changes, newest first.
pub(super) fn history(cx: &Cx) -> Result<(), Error> {
    let mut changes = cx.entries()?.get("/v1/config/log")?;
    if !cx.json {
        let all = changes.as_array_mut().into_iter().flatten();
        all.for_each(|c| c["outcome"] = json!(outcome_text(&c["outcome"])));
    }
    output::print_many(&changes, HISTORY, cx.json);
    Ok(())
}

/// Prints the state of the entry that responds.
pub(super) fn state(cx: &Cx) -> Result<(), Error> {
    let state = cx.entries()?.get("/v1/state")?;
    if cx.json {
        output::print_line(&state.to_string());
        return Ok(());
    }
    let single = |v: &Value| !v.is_object() && !v.is_array();
    let fields = state.as_object().into_iter().flatten();
    let scalars = fields.filter(|(_, v)| single(v));
    let scalars: serde_json::Map<String, Value> =
        scalars.map(|(k, v)| (k.clone(), v.clone())).collect();
    output::print_one(&Value::Object(scalars), false);
    output::print_line("");
    output::print_many(&state["ledger"]["members"], MEMBERS, false);
    output::print_line("");
    output::print_many(&state["peers"], PEERS, false);
    output::print_line("");
    output::print_many(&state["vms"], VMS, false);
    Ok(())
}

fn list(cx: &Cx, path: &str, columns: &[Column]) -> Result<(), Error> {
    let value = cx.entries()?.get(path)?;
    output::print_many(&value, columns, cx.json);
    Ok(())
}

fn show(cx: &Cx, path: &str) -> Result<(), Error> {
    let value = cx.entries()?.get(path)?;
    output::print_one(&value, cx.json);
    Ok(())
}

/// Returns the text for the outcome of a configuration change, as
/// `monsoonnotch_core::config::ChangeOutcome` is serialized.
fn outcome_text(outcome: &Value) -> String {
    match (outcome, outcome["conflict"].as_u64()) {
        (Value::Object(_), Some(winner)) => format!("lost to version {winner}"),
        (Value::Object(_), None) => "applied".to_owned(),
        (other, _) => other.as_str().unwrap_or("").replace('_', " "),
    }
}
