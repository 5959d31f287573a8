//! Jobs.

use std::thread;
use std::time::Duration;

use http::Method;
use serde_json::Map;
use serde_json::Value;

use super::Cx;
use crate::client::Error;

/// Pause between looks at a watched job.
const WATCH: Duration = Duration::from_secs(1);

pub(super) fn submit(cx: &Cx) -> Result<(), Error> {
    let mut body = Map::new();
    body.insert("team".to_owned(), cx.need("team")?.into());
    body.insert("profile".to_owned(), cx.need("profile")?.into());
    for name in [
        "count",
        "cpu-milli",
        "memory-mib",
        "accelerators",
        "priority",
        "run-ms",
        "deadline-ms",
    ] {
        if let Some(n) = cx.number(name)? {
            body.insert(name.replace('-', "_"), n.into());
        }
    }
    if let Some(command) = cx.matches.opt_str("command") {
        body.insert("command".to_owned(), command.into());
    }
    let answer = cx
        .entry
        .send(Method::POST, "/v1/jobs", &Value::Object(body))?;
    cx.print(&answer);
    Ok(())
}

pub(super) fn cancel(cx: &Cx, id: &str) -> Result<(), Error> {
    let path = format!("/v1/jobs/{id}");
    let answer = cx.entry.send(Method::DELETE, &path, &Value::Null)?;
    cx.print(&answer);
    Ok(())
}

/// Prints a job each time that it changes, until it ends.
pub(super) fn watch(cx: &Cx, id: &str) -> Result<(), Error> {
    let mut last = Value::Null;
    loop {
        let job = cx.entry.get(&format!("/v1/jobs/{id}"))?;
        if job != last {
            cx.print(&job);
        }
        if job["phase"] != "active" {
            return Ok(());
        }
        last = job;
        thread::sleep(WATCH);
    }
}
