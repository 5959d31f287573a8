//! What operators publish.

use http::Response;
use http::StatusCode;
use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::NO_VERSION;
use monsoonnotch_core::config::Outcome;
use monsoonnotch_core::config::Profile;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::config::Team;
use monsoonnotch_core::config::TeamKey;
use monsoonnotch_core::config::Versioned;
use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_core::verdict::Verdict;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::Refused;
use super::reads;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;

/// Bytes of randomness in a key's identifier.
const ID_BYTES: usize = 6;
/// Bytes of randomness in a key's secret.
const SECRET_BYTES: usize = 24;

/// The body of a grant.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Grant {
    team: Name,
}

/// Publishes a profile.
pub(super) async fn profile(
    inbox: &Inbox,
    name: &str,
    replaces: Option<u64>,
    body: &[u8],
) -> Result<Response<Body>, Refused> {
    let profile: Profile = parse(body)?;
    if let Some(fault) = profile.fault() {
        return Err(malformed(fault));
    }
    let set = Setting::Profile(sound_name(name)?, profile);
    let version = apply(inbox, replaces, set).await?;
    Ok(done(version))
}

/// Sets a team.
pub(super) async fn team(
    inbox: &Inbox,
    name: &str,
    replaces: Option<u64>,
    body: &[u8],
) -> Result<Response<Body>, Refused> {
    let team: Team = parse(body)?;
    if team.share == 0 {
        return Err(malformed("'share' must be at least 1."));
    }
    let set = Setting::Team(sound_name(name)?, team);
    let version = apply(inbox, replaces, set).await?;
    Ok(done(version))
}

/// Grants a key; its secret is in the answer and nowhere else.
pub(super) async fn grant(inbox: &Inbox, body: &[u8]) -> Result<Response<Body>, Refused> {
    let grant: Grant = parse(body)?;
    let id = hex::encode(rand::random::<[u8; ID_BYTES]>());
    let secret = hex::encode(rand::random::<[u8; SECRET_BYTES]>());
    let key = TeamKey {
        team: grant.team,
        hash: KeyHash::of(&secret),
        withdrawn: false,
    };
    let set = Setting::Key(Name::from(id.as_str()), key);
    let version = apply(inbox, Some(NO_VERSION), set).await?;
    let text = json!({ "id": id, "key": format!("{id}.{secret}"), "version": version });
    Ok(problem::json(StatusCode::CREATED, text.to_string()))
}

/// Withdraws a key.
pub(super) async fn withdraw(
    inbox: &Inbox,
    id: &str,
    replaces: Option<u64>,
) -> Result<Response<Body>, Refused> {
    let state = reads::state(inbox).await?;
    let found = state["ledger"]["config"]["keys"].get(id).cloned();
    let found = found.ok_or((Refusal::not_run(Reason::NotFound), None))?;
    let found: Versioned<TeamKey> = serde_json::from_value(found).expect("a key of the state");
    let key = TeamKey {
        withdrawn: true,
        ..found.value
    };
    let replaces = replaces.or(Some(found.version));
    let version = apply(inbox, replaces, Setting::Key(Name::from(id), key)).await?;
    Ok(done(version))
}

async fn apply(inbox: &Inbox, replaces: Option<u64>, set: Setting) -> Result<u64, Refused> {
    let replaces = replaces.unwrap_or(NO_VERSION);
    let change = Change { replaces, set };
    let answer = inbox
        .ask(move |ticket| Event::Change { ticket, change })
        .await;
    match answer {
        Some(Answer::Change(Outcome::Applied(version))) => Ok(version),
        Some(Answer::Change(Outcome::Conflict(current))) => {
            let detail = format!("version {current} is in force; look at it and try again");
            Err((Refusal::not_run(Reason::Conflict), Some(detail)))
        }
        Some(Answer::Change(Outcome::NoSuchTeam)) => {
            let detail = "there is no such team; set it first".to_owned();
            Err((Refusal::not_run(Reason::NotFound), Some(detail)))
        }
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

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|e| malformed(&e.to_string()))
}

fn malformed(detail: &str) -> Refused {
    (Refusal::not_run(Reason::Malformed), Some(detail.to_owned()))
}

/// Names are short and need no escaping in a path.
fn sound_name(name: &str) -> Result<Name, Refused> {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match !name.is_empty() && name.len() <= 64 && name.chars().all(ok) {
        true => Ok(Name::from(name)),
        false => Err(malformed(
            "a name has 1 to 64 letters, digits, '-', '_' or '.'",
        )),
    }
}

fn done(version: u64) -> Response<Body> {
    let text = json!({ "version": version });
    problem::json(StatusCode::OK, text.to_string())
}
