//! The `explain` commands, which ask a member where a job would go now.

use monsoonnotch_core::ident::JobId;
use serde_json::Value;

use super::cx::Cx;
use crate::client::Entries;
use crate::client::Error;
use crate::output;

/// Explains a job that was submitted.
pub(super) fn job(cx: &Cx) -> Result<(), Error> {
    let id = cx.arg(0);
    if id.len() != 16 || id.parse::<JobId>().is_err() {
        let detail = format!("'{id}' is no job id; give 16 hexadecimal digits");
        return Err(Error::Usage(detail));
    }
    let answer = members(cx)?.get(&format!("/explain?job={id}"))?;
    print(&answer, cx.json);
    Ok(())
}

/// Explains a job from a file, without submitting it.
pub(super) fn file(cx: &Cx) -> Result<(), Error> {
    let path = cx.arg(0);
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| Error::Input(format!("{path}: cannot be read: {e}")))?;
    let plan: Value = serde_json::from_str(&text)
        .map_err(|e| Error::Input(format!("{path}: is no JSON, as callers submit jobs: {e}")))?;
    let mut query = format!("/explain?queue={}", cx.required_name("queue")?);
    if cx.opt("account").is_some() {
        query += &format!("&account={}", cx.required_name("account")?);
    }
    let answer = members(cx)?.ask(&query, &plan)?;
    print(&answer, cx.json);
    Ok(())
}

/// Returns a client of the members; their metrics listener needs no token.
fn members(cx: &Cx) -> Result<Entries, Error> {
    Ok(Entries {
        addrs: cx.addrs()?,
        token: String::new(),
        operator: String::new(),
    })
}

fn print(answer: &Value, json: bool) {
    if json {
        return output::print_one(answer, true);
    }
    let text = |name: &str| answer[name].as_str().unwrap_or_default().to_owned();
    output::print_line(&format!(
        "queue {} (priority {}), pool {}, objective {} ms",
        text("queue"),
        answer["priority"],
        text("pool"),
        answer["objective_ms"]
    ));
    if !text("account").is_empty() {
        let limit = match answer["cpu_limit_milli"].as_u64() {
            Some(0) | None => "no limit".to_owned(),
            Some(n) => format!("limit {}", cores(n)),
        };
        let share = match answer["above_share"].as_bool() {
            Some(true) => "above its share: goes behind others once it is beyond its rate",
            _ => "within its share",
        };
        let used = cores(answer["cpu_used_milli"].as_u64().unwrap_or(0));
        output::print_line(&format!(
            "account {}: uses {used} cores, {limit}; {share}",
            text("account")
        ));
    }
    let steps = answer["steps"].as_array().cloned().unwrap_or_default();
    if steps.is_empty() {
        output::print_line("no step could start: all tasks run, or wait for earlier steps");
    }
    steps.iter().for_each(print_step);
}

/// Returns thousandths of a core as cores.
fn cores(milli: u64) -> String {
    format!("{:.1}", milli as f64 / 1_000.0)
}

fn print_step(step: &Value) {
    let blocked = match step["blocked"].as_str() {
        None | Some("") => "can start".to_owned(),
        Some(reason) => format!("waits: {reason}"),
    };
    output::print_line(&format!(
        "step {}: {}; room for {} of {} tasks; {} stages go before it; a task takes {} to {} ms",
        step["step"],
        blocked,
        step["fits"],
        step["tasks"],
        step["ahead"],
        step["run_ms"][0],
        step["run_ms"][1]
    ));
    if step["needs_approval"].as_bool() == Some(true) {
        output::print_line("  VMs need an approval first, which leaves some of them out");
    }
    let vms = step["vms"].as_object().cloned().unwrap_or_default();
    let counts: Vec<String> = vms.iter().map(|(why, n)| format!("{n} {why}")).collect();
    output::print_line(&format!("  VMs of the pool: {}", counts.join(", ")));
    let first = step["first_vms"].as_array().cloned().unwrap_or_default();
    let first: Vec<&str> = first.iter().filter_map(Value::as_str).collect();
    if !first.is_empty() {
        output::print_line(&format!("  tried first: {}", first.join(", ")));
    }
}
