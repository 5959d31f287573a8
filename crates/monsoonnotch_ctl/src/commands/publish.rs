//! Profiles, teams and keys.

use http::Method;
use monsoonnotch_core::config::Profile;
use serde_json::Value;
use serde_json::json;

use super::Cx;
use crate::client::Error;

pub(super) fn profile(cx: &Cx, name: &str) -> Result<(), Error> {
    let path = cx.need("file")?;
    let text = std::fs::read_to_string(&path);
    let text = text.map_err(|e| Error::Input(format!("{path}: {e}")))?;
    let profile: Profile =
        toml::from_str(&text).map_err(|e| Error::Input(format!("{path}: {e}")))?;
    let body = serde_json::to_value(&profile).expect("a profile has a JSON form");
    put(cx, &format!("/v1/profiles/{name}"), &body)
}

pub(super) fn team(cx: &Cx, name: &str) -> Result<(), Error> {
    let number = |name: &str| {
        let missing = || Error::Usage(format!("--{name} is missing"));
        cx.number(name)?.ok_or_else(missing)
    };
    let body = json!({
        "account": cx.need("account")?,
        "share": number("share")?,
        "limit": number("limit")?,
    });
    put(cx, &format!("/v1/teams/{name}"), &body)
}

pub(super) fn grant(cx: &Cx, team: &str) -> Result<(), Error> {
    let body = json!({ "team": team });
    let answer = cx.entry.send(Method::POST, "/v1/keys", &body)?;
    cx.print(&answer);
    Ok(())
}

pub(super) fn withdraw(cx: &Cx, id: &str) -> Result<(), Error> {
    let path = with_version(&format!("/v1/keys/{id}"), cx.number("replaces")?);
    let answer = cx.entry.send(Method::DELETE, &path, &Value::Null)?;
    cx.print(&answer);
    Ok(())
}

/// The keys without their hashes.
pub(super) fn keys(cx: &Cx) -> Result<(), Error> {
    let mut keys = cx.entry.get("/v1/keys")?;
    let all = keys
        .as_object_mut()
        .into_iter()
        .flat_map(|m| m.values_mut());
    for key in all {
        if let Some(value) = key["value"].as_object_mut() {
            value.remove("hash");
        }
    }
    cx.print(&keys);
    Ok(())
}

/// What is in force, newest first.
pub(super) fn log(cx: &Cx) -> Result<(), Error> {
    let config = cx.entry.get("/v1/config")?;
    let mut rows = Vec::new();
    for kind in ["profiles", "teams", "keys"] {
        let things = config[kind].as_object().into_iter().flatten();
        rows.extend(
            things.map(|(name, v)| json!({ "version": v["version"], "kind": kind, "name": name })),
        );
    }
    rows.sort_by_key(|r| std::cmp::Reverse(r["version"].as_u64()));
    cx.print(&Value::Array(rows));
    Ok(())
}

/// Sets a thing; the version that it replaces is the present one unless it is given.
fn put(cx: &Cx, path: &str, body: &Value) -> Result<(), Error> {
    let replaces = match cx.number("replaces")? {
        Some(v) => Some(v),
        None => present_version(cx, path)?,
    };
    let answer = cx
        .entry
        .send(Method::PUT, &with_version(path, replaces), body)?;
    cx.print(&answer);
    Ok(())
}

fn present_version(cx: &Cx, path: &str) -> Result<Option<u64>, Error> {
    match cx.entry.get(path) {
        Ok(thing) => Ok(thing["version"].as_u64()),
        Err(Error::Refused(404, _)) => Ok(None),
        Err(e) => Err(e),
    }
}

fn with_version(path: &str, replaces: Option<u64>) -> String {
    replaces.map_or(path.to_owned(), |v| format!("{path}?replaces={v}"))
}
