//! Endpoints through which operators change the configuration.

use http::Response;
use http::StatusCode;
use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::ChangeOutcome;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::NO_VERSION;
use monsoonnotch_core::config::Profile;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::config::Stamp;
use monsoonnotch_core::config::Team;
use monsoonnotch_core::config::TeamKey;
use monsoonnotch_core::config::Versioned;
use monsoonnotch_core::config::is_valid_name;
use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::event::StateQuery;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_core::verdict::Verdict;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use super::DetailedRefusal;
use super::reads;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;

/// Length of the random identifier of a key, in bytes.
const ID_BYTES: usize = 6;
/// Length of the random secret of a key, in bytes.
const SECRET_BYTES: usize = 24;

/// The body of a request that grants a key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Grant {
    team: Name,
}

/// The parts of a change that do not depend on its body.
#[derive(Debug)]
pub(super) struct ChangeRequest<'a> {
    /// The inbox of the control thread.
    pub(super) inbox: &'a Inbox,
    /// The version that the change replaces; `None` when the request names none.
    pub(super) replaces: Option<u64>,
    /// The operator who makes the change, the entry and the time.
    pub(super) stamp: Stamp,
}

/// Publishes a profile and returns the new version.
pub(super) async fn profile(
    request: ChangeRequest<'_>,
    name: &str,
    body: &[u8],
) -> Result<Response<Body>, DetailedRefusal> {
    let profile: Profile = parse(body)?;
    if let Some(fault) = profile.invalid_reason() {
        return Err(malformed(fault));
    }
    let set = Setting::Profile(parse_name("name", name)?, profile);
    let version = apply(request, set).await?;
    Ok(version_response(version))
}

/// Sets a team and returns the new version.
pub(super) async fn team(
    request: ChangeRequest<'_>,
    name: &str,
    body: &[u8],
) -> Result<Response<Body>, DetailedRefusal> {
    let team: Team = parse(body)?;
    if team.share == 0 {
        return Err(malformed("'share' must be at least 1."));
    }
    parse_name("account", &team.account)?;
    let set = Setting::Team(parse_name("name", name)?, team);
    let version = apply(request, set).await?;
    Ok(version_response(version))
}

/// Grants a key to a team.
///
/// The response is the only place that contains the secret; only its hash is stored.
pub(super) async fn grant(
    request: ChangeRequest<'_>,
    body: &[u8],
) -> Result<Response<Body>, DetailedRefusal> {
    let grant: Grant = parse(body)?;
    let id = hex::encode(rand::random::<[u8; ID_BYTES]>());
    let secret = hex::encode(rand::random::<[u8; SECRET_BYTES]>());
    let key = TeamKey {
        team: grant.team,
        hash: KeyHash::of(&secret),
        withdrawn: false,
    };
    let set = Setting::Key(Name::from(id.as_str()), key);
    let request = ChangeRequest {
        replaces: Some(NO_VERSION),
        ..request
    };
    let version = apply(request, set).await?;
    let text = json!({ "id": id, "key": format!("{id}.{secret}"), "version": version });
    Ok(problem::json(StatusCode::CREATED, text.to_string()))
}

/// Withdraws a key. If the request names no version, the current one is replaced.
pub(super) async fn withdraw(
    request: ChangeRequest<'_>,
    id: &str,
) -> Result<Response<Body>, DetailedRefusal> {
    let replaces = match request.replaces {
        Some(v) => v,
        None => {
            read_setting(request.inbox, StateQuery::Key(Name::from(id)))
                .await?
                .version
        }
    };
    let request = ChangeRequest {
        replaces: Some(replaces),
        ..request
    };
    let version = apply(request, Setting::Withdraw(Name::from(id))).await?;
    Ok(version_response(version))
}

async fn apply(request: ChangeRequest<'_>, set: Setting) -> Result<u64, DetailedRefusal> {
    let query = query_for_setting(&set);
    let change = Change {
        replaces: request.replaces.unwrap_or(NO_VERSION),
        set,
        stamp: request.stamp,
    };
    let answer = request
        .inbox
        .request(move |ticket| Event::Change { ticket, change })
        .await;
    match answer {
        Some(Answer::Change(outcome)) => version_or_refusal(request.inbox, query, outcome).await,
        Some(Answer::Refused(refusal)) => Err((refusal, None)),
        _ => {
            let wait = Duration::from_secs(1);
            let refusal = Refusal {
                verdict: Verdict::MayHaveRun,
                ..Refusal::later(Reason::Stopping, wait)
            };
            Err((refusal, None))
        }
    }
}

/// Returns the query that reads the setting of a change.
fn query_for_setting(set: &Setting) -> StateQuery {
    match set {
        Setting::Profile(name, _) => StateQuery::Profile(name.clone()),
        Setting::Team(name, _) => StateQuery::Team(name.clone()),
        Setting::Key(id, _) | Setting::Withdraw(id) => StateQuery::Key(id.clone()),
    }
}

async fn version_or_refusal(
    inbox: &Inbox,
    query: StateQuery,
    outcome: ChangeOutcome,
) -> Result<u64, DetailedRefusal> {
    let not_found = |detail: &str| {
        let refusal = Refusal::not_run(Reason::NotFound);
        Err((refusal, Some(detail.to_owned())))
    };
    match outcome {
        ChangeOutcome::Applied(version) => Ok(version),
        ChangeOutcome::Conflict(current) => {
            let detail = conflict_detail(inbox, query, current).await;
            Err((Refusal::not_run(Reason::Conflict), Some(detail)))
        }
        ChangeOutcome::NoSuchTeam => not_found("there is no such team; set it first"),
        ChangeOutcome::NoSuchKey => not_found("there is no such key; see the list of keys"),
    }
}

/// Returns the detail of a conflict: the version that is in force and who set it.
async fn conflict_detail(inbox: &Inbox, query: StateQuery, current: u64) -> String {
    if current == NO_VERSION {
        return "there is no such thing yet; create it without naming a version".to_owned();
    }
    let advice = "look at it and try again with that version";
    let found = read_setting(inbox, query).await.ok();
    // The setting may have changed again since the conflict.
    match found.filter(|t| t.version == current) {
        Some(t) => format!("version {current}, set {}, is in force; {advice}", t.stamp),
        None => format!("version {current} is in force; {advice}"),
    }
}

async fn read_setting(
    inbox: &Inbox,
    query: StateQuery,
) -> Result<Versioned<Value>, DetailedRefusal> {
    let text = reads::read_json(inbox, query).await?;
    Ok(serde_json::from_str(&text).expect("a setting is returned as JSON with its version"))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, DetailedRefusal> {
    serde_json::from_slice(body).map_err(|e| malformed(&e.to_string()))
}

fn malformed(detail: &str) -> DetailedRefusal {
    (Refusal::not_run(Reason::Malformed), Some(detail.to_owned()))
}

fn parse_name(field: &str, name: &str) -> Result<Name, DetailedRefusal> {
    match is_valid_name(name) {
        true => Ok(Name::from(name)),
        false => Err(malformed(&format!(
            "'{field}' must have 1 to 64 letters, digits, '-', '_' or '.'"
        ))),
    }
}

fn version_response(version: u64) -> Response<Body> {
    let text = json!({ "version": version });
    problem::json(StatusCode::OK, text.to_string())
}
