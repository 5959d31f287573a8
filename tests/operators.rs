//! Tests of the operators' listener of real entry processes.

mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use monsoonnotch_standins::prelude::*;
use monsoonnotch_standins::site::OPERATORS_TOKEN;

use support::PROGRAMS;
use support::code;
use support::set_team;
use support::stderr;

/// Number of rounds in which two operators race each other.
const RACES: u32 = 12;

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_wins_and_the_other_sees_the_conflict() {
    let platform = Platform::start(6, PROGRAMS).await;
    let entries = [platform.start_entry("fd-0"), platform.start_entry("fd-1")];
    for e in &entries {
        wait_ready(e).await;
    }
    entries[0].set_team("hall", 1, 1);
    wait_until("both entries have the team", || async {
        entries[1].ctl(&["team", "show", "hall"]).status.success()
    })
    .await;
    for round in 0..RACES {
        run_race(&entries, round).await;
    }
    // A conflict that the other entry appended arrives with the next read of the log.
    wait_until("the history has every change and conflict", || async {
        let history = entries[1].ctl_json(&["config", "log"]);
        let decided = |p: &serde_json::Value| !p["outcome"].is_null();
        let history = history.as_array().expect("a list");
        history.iter().filter(|p| decided(p)).count() > 2 * RACES as usize
    })
    .await;
    let history = entries[1].ctl_json(&["config", "log"]);
    let history = history.as_array().expect("a list");
    let count = |outcome: &str| {
        history
            .iter()
            .filter(|p| p["outcome"][outcome].is_u64())
            .count()
    };
    assert_eq!(count("applied"), RACES as usize + 1);
    assert_eq!(count("conflict"), RACES as usize);
    let versions: Vec<u64> = history
        .iter()
        .filter_map(|p| p["version"].as_u64())
        .collect();
    assert!(
        versions.is_sorted_by(|a, b| a >= b),
        "newest first: {versions:?}"
    );
}

/// Lets two operators at two entries replace the same version of a team concurrently.
///
/// Exactly one must win. The other must see the version that replaced it and who set it.
async fn run_race(entries: &[EntryProcess; 2], round: u32) {
    let version = entries[0].ctl_json(&["team", "show", "hall"])["version"].clone();
    wait_until("both entries have the same version", || async {
        entries[1].ctl_json(&["team", "show", "hall"])["version"] == version
    })
    .await;
    let version = version.to_string();
    let mut children = Vec::new();
    for (i, name) in ["anna", "jun"].iter().enumerate() {
        let limit = (100 * (round + 1) + i as u32).to_string();
        let child = Command::new(PROGRAMS.ctl)
            .args(["--entry", &entries[i].operators.to_string()])
            .args(["--operator", name])
            .args(set_team("hall", &limit))
            .args(["--replaces", &version])
            .env("MONSOONCTL_TOKEN", OPERATORS_TOKEN)
            .stderr(std::process::Stdio::piped())
            .stdout(std::process::Stdio::piped())
            .spawn();
        children.push((name, limit, child.expect("monsoonctl can be started")));
    }
    let mut won = Vec::new();
    let mut lost = Vec::new();
    for (name, limit, child) in children {
        let out = child.wait_with_output().expect("the output of monsoonctl");
        match code(&out) {
            0 => won.push((name, limit)),
            4 => lost.push(stderr(&out)),
            other => panic!("exit code {other}: {}", stderr(&out)),
        }
    }
    assert_eq!((won.len(), lost.len()), (1, 1), "round {round}");
    let (winner, limit) = &won[0];
    wait_until("the winner's change is in force at both", || async {
        let limits = entries
            .iter()
            .map(|e| e.ctl_json(&["team", "show", "hall"]));
        limits
            .into_iter()
            .all(|t| t["value"]["limit"].as_u64() == limit.parse().ok())
    })
    .await;
    let shown = entries[0].ctl_json(&["team", "show", "hall"]);
    let message = format!("version {}, set by {winner} at ", shown["version"]);
    assert!(
        lost[0].contains(&message),
        "{message} is not in {}",
        lost[0]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_shown_once_and_hashes_never() {
    let platform = Platform::start(6, PROGRAMS).await;
    let (entry, other_entry) = (platform.start_entry("fd-0"), platform.start_entry("fd-1"));
    wait_ready(&entry).await;
    wait_ready(&other_entry).await;
    entry.publish_profile("check", "lane = \"short\"\n");
    entry.set_team("hall", 1, 30);
    let granted = entry.ctl_json(&["key", "grant", "hall"]);
    let key = granted["key"].as_str().expect("a key");
    let (id, secret) = key.split_once('.').expect("two parts");
    assert_eq!(granted["id"], id);
    assert!(secret.len() >= 32, "a long secret");
    let other = entry.ctl_json(&["key", "grant", "hall"]);
    assert_ne!(granted["key"], other["key"]);
    let hash = monsoonnotch::core::config::KeyHash::of(secret);
    let bytes = format!("{:?}", hex_bytes(&hash.to_hex()));
    let bytes = bytes.replace(' ', "");
    for args in [&["key", "list"][..], &["state"], &["config", "log"]] {
        let text = entry.ctl_json(args).to_string();
        assert!(text.contains(id), "{args:?} names the key");
        for hidden in [secret, &hash.to_hex(), bytes.trim_matches(['[', ']'])] {
            assert!(!text.contains(hidden), "{args:?} shows a secret");
        }
    }
    assert!(entry.ctl_json(&["key", "list"])[id]["value"]["hash"].is_null());

    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("profile", "check")];
    let status = |e: &EntryProcess| {
        let callers = e.callers;
        async move {
            let response = send_request(callers, "GET", "/", &headers, "").await;
            response.map(|a| a.status)
        }
    };
    for e in [&entry, &other_entry] {
        wait_until("the key works", || async { status(e).await == Some(200) }).await;
    }
    entry.ctl_json(&["key", "withdraw", id]);
    assert_eq!(status(&entry).await, Some(401));
    wait_until("the key is refused elsewhere", || async {
        status(&other_entry).await == Some(401)
    })
    .await;
    assert_eq!(
        entry.ctl_json(&["key", "list"])[id]["value"]["withdrawn"],
        true
    );
    assert_eq!(code(&entry.ctl(&["key", "withdraw", "nobody"])), 5);
    assert_eq!(code(&entry.ctl(&["key", "grant", "nobody"])), 5);
    let again = entry.ctl(&["key", "withdraw", id, "--replaces", "1"]);
    assert_eq!(code(&again), 4, "{}", stderr(&again));
}

fn hex_bytes(text: &str) -> Vec<u8> {
    let pairs = (0..text.len()).step_by(2);
    let byte = |i: usize| u8::from_str_radix(&text[i..i + 2], 16);
    pairs.map(|i| byte(i).expect("two digits")).collect()
}

/// Time in which an effect of a signal on a process would show.
const SIGNAL_EFFECT_MAX: Duration = Duration::from_millis(300);

#[tokio::test(flavor = "multi_thread")]
async fn sighup_is_logged_and_changes_nothing() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    entry.set_team("hall", 1, 30);
    let before = entry.ctl_json(&["config", "log"]);
    let member = entry.ctl_json(&["state"])["member"].clone();
    entry.signal("HUP");
    wait_until("the signal is counted", || async {
        let text = metrics(&entry).await;
        text.contains("monsoonnotch_events_total{event=\"17\"} 1\n")
    })
    .await;
    tokio::time::sleep(SIGNAL_EFFECT_MAX).await;
    assert_eq!(entry.ctl_json(&["config", "log"]), before);
    assert_eq!(entry.ctl_json(&["state"])["member"], member);
    let response = send_request(entry.callers, "GET", "/readyz", &[], "").await;
    assert_eq!(response.map(|a| a.status), Some(200));
}

async fn metrics(entry: &EntryProcess) -> String {
    let bearer = format!("Bearer {OPERATORS_TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let response = send_request(entry.operators, "GET", "/metrics", &headers, "").await;
    let response = response.expect("a response");
    assert_eq!(response.status, 200);
    String::from_utf8(response.body).expect("text")
}

#[tokio::test(flavor = "multi_thread")]
async fn liveness_and_readiness_are_served_on_both_listeners_without_a_key() {
    let platform = Platform::start(2, PROGRAMS).await;
    platform.log.set_faults(LogFaults {
        unavailable: true,
        ..LogFaults::default()
    });
    let entry = platform.start_entry("fd-0");
    let status = |addr: SocketAddr, path: &'static str| async move {
        let response = send_request(addr, "GET", path, &[], "").await;
        response.map(|a| a.status)
    };
    for addr in [entry.callers, entry.operators] {
        assert_eq!(status(addr, "/livez").await, Some(200));
        assert_eq!(status(addr, "/readyz").await, Some(503));
    }
    platform.log.set_faults(LogFaults::default());
    wait_ready(&entry).await;
    for addr in [entry.callers, entry.operators] {
        assert_eq!(status(addr, "/livez").await, Some(200));
        assert_eq!(status(addr, "/readyz").await, Some(200));
    }
    for path in ["/metrics", "/v1/state", "/v1/keys"] {
        assert_eq!(status(entry.operators, path).await, Some(401), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_exported_metric_is_in_the_catalogue() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    entry.publish_profile("check", "lane = \"short\"\n");
    entry.set_team("hall", 1, 30);
    let bearer = format!("Bearer {}", entry.grant_key("hall"));
    let headers = [("authorization", bearer.as_str()), ("profile", "check")];
    wait_until("a request is answered", || async {
        let response = send_request(entry.callers, "GET", "/", &headers, "").await;
        response.is_some_and(|a| a.status == 200)
    })
    .await;
    let wrong = [("authorization", bearer.as_str()), ("profile", "none")];
    let refused = send_request(entry.callers, "GET", "/", &wrong, "").await;
    assert_eq!(refused.map(|a| a.status), Some(400));

    let text = metrics(&entry).await;
    let catalogue = monsoonnotch::entry::measure::CATALOGUE;
    for line in text.lines().filter(|l| l.starts_with("# TYPE ")) {
        let words: Vec<&str> = line.split(' ').collect();
        let metric = catalogue.iter().find(|m| m.name == words[2]);
        let metric = metric.unwrap_or_else(|| panic!("not in the catalogue: {line}"));
        assert_eq!(metric.kind.as_str(), words[3], "{line}");
    }
    for sample in [
        "monsoonnotch_certain 1\n",
        "monsoonnotch_ready 1\n",
        "monsoonnotch_log_dark 0\n",
        "monsoonnotch_held_workers 2\n",
        "monsoonnotch_free_slots 16\n",
        "monsoonnotch_team_limit{team=\"hall\"} 30\n",
        "monsoonnotch_call_refusals_total{verdict=\"not_run\",reason=\"103\"} 1\n",
        "monsoonnotch_wait_seconds_bucket{le=\"0.001\"} ",
    ] {
        assert!(text.contains(sample), "{sample} is not in {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_change_nothing() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    entry.set_team("hall", 1, 30);
    let before = entry.ctl_json(&["config", "log"]);
    let team = r#"{"account":"acme","share":1,"limit":3}"#;
    let wrong = [
        ("PUT", "/v1/teams/a", "", 400),
        ("PUT", "/v1/teams/a", "{\"account\":\"acme\"", 400),
        ("PUT", "/v1/teams/a", r#"{"account":"acme","share":1}"#, 400),
        (
            "PUT",
            "/v1/teams/a",
            r#"{"account":"acme","share":0,"limit":3}"#,
            400,
        ),
        (
            "PUT",
            "/v1/teams/a",
            r#"{"account":"acme","share":1,"limit":-3}"#,
            400,
        ),
        (
            "PUT",
            "/v1/teams/a",
            r#"{"account":"a b","share":1,"limit":3}"#,
            400,
        ),
        (
            "PUT",
            "/v1/teams/a",
            r#"{"account":"acme","share":1,"limit":3,"x":1}"#,
            400,
        ),
        ("PUT", "/v1/teams/a%20b", team, 400),
        ("PUT", "/v1/teams/a?replaces=x", team, 400),
        ("PUT", "/v1/teams/a?replace=1", team, 400),
        ("PUT", "/v1/teams/a/b", team, 404),
        ("POST", "/v1/teams/a", team, 404),
        ("PUT", "/v1/profiles/p", r#"{"lane":"quick"}"#, 400),
        ("PUT", "/v1/profiles/p", r#"{"priority":10}"#, 400),
        ("POST", "/v1/keys", r#"{"team":"hall","key":"mine"}"#, 400),
        ("DELETE", "/v1/keys/none", "", 404),
        ("DELETE", "/v1/teams/hall", "", 404),
    ];
    let bearer = format!("Bearer {OPERATORS_TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    for (method, path, body, status) in wrong {
        let response = send_request(entry.operators, method, path, &headers, body).await;
        let response = response.expect("a response");
        assert_eq!(response.status, status, "{method} {path} {body}");
        assert_eq!(response.verdict().as_deref(), Some("not_run"));
        assert_eq!(response.headers["content-type"], "application/problem+json");
    }
    let named = [headers[0], ("operator", "a b")];
    let response = send_request(entry.operators, "PUT", "/v1/teams/a", &named, team).await;
    assert_eq!(response.map(|a| a.status), Some(400));
    let other = [("authorization", "Bearer other")];
    let response = send_request(entry.operators, "PUT", "/v1/teams/a", &other, team).await;
    assert_eq!(response.map(|a| a.status), Some(401));
    assert_eq!(entry.ctl_json(&["config", "log"]), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_is_reported_and_changes_are_refused_as_not_run() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    entry.set_team("hall", 1, 30);
    platform.log.set_faults(LogFaults {
        unavailable: true,
        ..LogFaults::default()
    });
    wait_until("the outage is shown", || async {
        let text = metrics(&entry).await;
        let shown = ["monsoonnotch_log_dark 1\n", "monsoonnotch_certain 0\n"];
        shown.iter().all(|s| text.contains(s))
    })
    .await;
    let refused = entry.ctl(&set_team("hall", "3"));
    assert_eq!(code(&refused), 5);
    let message = stderr(&refused);
    assert!(
        message.contains("reason 206") && message.contains("Try again in"),
        "{message}"
    );
    platform.log.set_faults(LogFaults::default());
    wait_ready(&entry).await;
    assert_eq!(
        entry.ctl_json(&["team", "show", "hall"])["value"]["limit"],
        30
    );
    entry.set_team("hall", 1, 3);
    let text = metrics(&entry).await;
    for event in ["6", "7", "8", "9"] {
        let sample = format!("monsoonnotch_events_total{{event=\"{event}\"}} ");
        assert!(text.contains(&sample), "{sample} is not in {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_log_response_is_lost_is_applied_once() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    platform.log.set_faults(LogFaults {
        lose_response_every: 1,
        ..LogFaults::default()
    });
    for limit in ["3", "4", "5"] {
        // After a lost response the log counts as unavailable until the next read, and changes are
        // refused meanwhile.
        wait_until("the change is made", || async {
            let set = entry.ctl(&set_team("hall", limit));
            assert!([0, 5].contains(&code(&set)), "{}", stderr(&set));
            code(&set) == 0
        })
        .await;
    }
    let history = entry.ctl_json(&["config", "log"]);
    assert_eq!(history.as_array().map(Vec::len), Some(3), "{history}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_may_have_been_applied_is_reported_as_such() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    entry.set_team("hall", 1, 30);
    let version = entry.ctl_json(&["team", "show", "hall"])["version"].to_string();
    // Appends take effect at once, but their responses do not arrive in time.
    platform.log.set_faults(LogFaults {
        delay: Duration::from_secs(60),
        ..LogFaults::default()
    });
    let change = [&set_team("hall", "3")[..], &["--replaces", &version]].concat();
    let uncertain = entry.ctl(&change);
    assert_eq!(code(&uncertain), 6, "{}", stderr(&uncertain));
    assert!(stderr(&uncertain).contains("look before trying again"));
    platform.log.set_faults(LogFaults::default());
    wait_ready(&entry).await;
    wait_until("the change is in force", || async {
        entry.ctl_json(&["team", "show", "hall"])["value"]["limit"] == 3
    })
    .await;
}
