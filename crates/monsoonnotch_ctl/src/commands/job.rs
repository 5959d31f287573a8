//! The `job` commands.

use std::thread;
use std::time::Duration;

use http::Method;
use serde_json::Map;
use serde_json::Value;

use super::Cx;
use crate::client::Error;
use crate::output;

/// Interval at which a watched job is polled.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Numeric options of `job submit`.
const NUMERIC_OPTIONS: [&str; 7] = [
    "count",
    "cpu-milli",
    "memory-mib",
    "accelerators",
    "priority",
    "run-ms",
    "deadline-ms",
];

pub(super) fn submit(cx: &Cx) -> Result<(), Error> {
    let mut body = Map::new();
    body.insert("team".to_owned(), cx.required_name("team")?.into());
    body.insert("profile".to_owned(), cx.required_name("profile")?.into());
    for name in NUMERIC_OPTIONS {
        if let Some(n) = cx.number(name)? {
            body.insert(name.replace('-', "_"), n.into());
        }
    }
    if let Some(command) = cx.opt("command") {
        body.insert("command".to_owned(), command.into());
    }
    let body = Value::Object(body);
    let status = cx.entries()?.change(&Method::POST, "/v1/jobs", &body)?;
    output::print_one(&status, cx.json);
    Ok(())
}

pub(super) fn show(cx: &Cx) -> Result<(), Error> {
    let job = cx.entries()?.get(&path(cx))?;
    output::print_one(&job, cx.json);
    Ok(())
}

pub(super) fn cancel(cx: &Cx) -> Result<(), Error> {
    let status = cx
        .entries()?
        .change(&Method::DELETE, &path(cx), &Value::Null)?;
    output::print_one(&status, cx.json);
    Ok(())
}

/// Prints a job whenever it changes, until it ends.
pub(super) fn watch(cx: &Cx) -> Result<(), Error> {
    let entries = cx.entries()?;
    let mut last = Value::Null;
    loop {
        let job = entries.get(&path(cx))?;
        if job != last {
            print_progress(&job, cx.json);
        }
        match job["phase"].as_str() {
            Some("active") => {}
            Some("done") => return Ok(()),
            phase => {
                let phase = phase.unwrap_or("unknown").to_owned();
                return Err(Error::JobNotDone(phase));
            }
        }
        last = job;
        thread::sleep(WATCH_INTERVAL);
    }
}

fn print_progress(job: &Value, json: bool) {
    if json {
        return output::print_line(&job.to_string());
    }
    let parts = ["phase", "waiting", "running", "done", "failed"];
    let part = |name: &&str| {
        let value = job[name].as_str().map(str::to_owned);
        format!("{name}={}", value.unwrap_or(job[name].to_string()))
    };
    let parts: Vec<String> = parts.iter().map(part).collect();
    output::print_line(&parts.join(" "));
}

fn path(cx: &Cx) -> String {
    format!("/v1/jobs/{}", cx.arg(0))
}
