//! The commands that change profiles, teams and keys.

use http::Method;
use monsoonnotch_core::config::Profile;
use serde_json::Value;
use serde_json::json;

use super::Cx;
use crate::client::Entries;
use crate::client::Error;
use crate::output;

pub(super) fn profile(cx: &Cx) -> Result<(), Error> {
    let profile = read_profile(&cx.required("file")?)?;
    let body = serde_json::to_value(&profile).expect("a profile has a JSON form");
    put(cx, &format!("/v1/profiles/{}", cx.arg(0)), &body)
}

pub(super) fn team(cx: &Cx) -> Result<(), Error> {
    let body = json!({
        "account": cx.required_name("account")?,
        "share": cx.required_u32("share", 1)?,
        "limit": cx.required_u32("limit", 0)?,
    });
    put(cx, &format!("/v1/teams/{}", cx.arg(0)), &body)
}

pub(super) fn grant(cx: &Cx) -> Result<(), Error> {
    let body = json!({ "team": cx.arg(0) });
    let key = cx.entries()?.change(&Method::POST, "/v1/keys", &body)?;
    output::print_one(&key, cx.json);
    Ok(())
}

pub(super) fn withdraw(cx: &Cx) -> Result<(), Error> {
    let path = format!("/v1/keys/{}", cx.arg(0));
    let path = with_version(&path, cx.number("replaces")?);
    let applied = cx.entries()?.change(&Method::DELETE, &path, &Value::Null)?;
    output::print_one(&applied, cx.json);
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
        Some(reason) => Err(Error::Input(format!("{path}: {reason}"))),
        None => Ok(profile),
    }
}

/// Publishes the profile or team at `path`. Unless `--replaces` is given, the change replaces the
/// current version, which is read first.
fn put(cx: &Cx, path: &str, body: &Value) -> Result<(), Error> {
    let given = cx.number("replaces")?;
    let entries = cx.entries()?;
    let replaces = match given {
        Some(v) => Some(v),
        None => current_version(&entries, path)?,
    };
    let path = with_version(path, replaces);
    let applied = entries.change(&Method::PUT, &path, body)?;
    output::print_one(&applied, cx.json);
    Ok(())
}

/// Returns the version of the resource at `path`, or `None` when it does not exist.
fn current_version(entries: &Entries, path: &str) -> Result<Option<u64>, Error> {
    match entries.get(path) {
        Ok(resource) => Ok(resource["version"].as_u64()),
        Err(Error::Refused(p)) if p.status == 404 => Ok(None),
        Err(e) => Err(e),
    }
}

/// Adds the replaced version to `path` as a query parameter.
fn with_version(path: &str, replaces: Option<u64>) -> String {
    replaces.map_or(path.to_owned(), |v| format!("{path}?replaces={v}"))
}
