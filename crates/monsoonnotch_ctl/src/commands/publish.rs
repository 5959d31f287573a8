//! Changes of profiles, teams and keys.

use http::Method;
use monsoonnotch_core::config::Profile;
use serde_json::Value;
use serde_json::json;

use super::Cx;
use crate::client::Entries;
use crate::client::Error;
use crate::output;

pub(super) fn profile(cx: &Cx) -> Result<(), Error> {
    let profile = read_profile(&cx.need("file")?)?;
    let body = serde_json::to_value(&profile).expect("a profile has a JSON form");
    put(cx, &format!("/v1/profiles/{}", cx.arg(0)), &body)
}

pub(super) fn team(cx: &Cx) -> Result<(), Error> {
    let body = json!({
        "account": cx.name("account")?,
        "share": cx.whole("share", 1)?,
        "limit": cx.whole("limit", 0)?,
    });
    put(cx, &format!("/v1/teams/{}", cx.arg(0)), &body)
}

pub(super) fn grant(cx: &Cx) -> Result<(), Error> {
    let body = json!({ "team": cx.arg(0) });
    let answer = cx.entries()?.change(&Method::POST, "/v1/keys", &body)?;
    output::one(&answer, cx.json);
    Ok(())
}

pub(super) fn withdraw(cx: &Cx) -> Result<(), Error> {
    let path = format!("/v1/keys/{}", cx.arg(0));
    let path = with_version(&path, cx.number("replaces")?);
    let answer = cx.entries()?.change(&Method::DELETE, &path, &Value::Null)?;
    output::one(&answer, cx.json);
    Ok(())
}

fn read_profile(path: &str) -> Result<Profile, Error> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| Error::Input(format!("{path}: cannot be read: {e}")))?;
    let profile: Profile = toml::from_str(&text).map_err(|e| {
        let at = e.span().map_or(0, |s| s.start).min(text.len());
        let line = text.as_bytes()[..at]
            .iter()
            .filter(|b| **b == b'\n')
            .count()
            + 1;
        Error::Input(format!("{path}:{line}: {}", e.message()))
    })?;
    match profile.invalid_reason() {
        Some(fault) => Err(Error::Input(format!("{path}: {fault}"))),
        None => Ok(profile),
    }
}

/// Sets a thing; the version that it replaces is the present one unless it is given.
fn put(cx: &Cx, path: &str, body: &Value) -> Result<(), Error> {
    let given = cx.number("replaces")?;
    let entries = cx.entries()?;
    let replaces = match given {
        Some(v) => Some(v),
        None => present_version(&entries, path)?,
    };
    let path = with_version(path, replaces);
    let answer = entries.change(&Method::PUT, &path, body)?;
    output::one(&answer, cx.json);
    Ok(())
}

fn present_version(entries: &Entries, path: &str) -> Result<Option<u64>, Error> {
    match entries.get(path) {
        Ok(thing) => Ok(thing["version"].as_u64()),
        Err(Error::Refused(p)) if p.status == 404 => Ok(None),
        Err(e) => Err(e),
    }
}

fn with_version(path: &str, replaces: Option<u64>) -> String {
    replaces.map_or(path.to_owned(), |v| format!("{path}?replaces={v}"))
}
