//! `monsoonctl` and the operators' listener, with real processes.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use monsoonnotch_standins::prelude::*;
use monsoonnotch_standins::site::TOKEN;
use rstest::rstest;
use serde_json::Value;

const PROGRAMS: Programs = Programs {
    entry: env!("CARGO_BIN_EXE_monsoonnotch"),
    ctl: env!("CARGO_BIN_EXE_monsoonctl"),
};

/// Rounds of two operators that race each other.
const RACES: u32 = 12;

/// Runs `monsoonctl` with nothing but a token in its environment.
fn ctl(args: &[&str]) -> Output {
    Command::new(PROGRAMS.ctl)
        .args(args)
        .env_remove("MONSOONCTL_ENTRY")
        .env_remove("MONSOONCTL_OPERATOR")
        .env("MONSOONCTL_TOKEN", TOKEN)
        .output()
        .expect("monsoonctl can be started")
}

fn code(out: &Output) -> i32 {
    out.status.code().expect("an exit code")
}

fn stdout(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned()
}

fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

fn set_team<'a>(name: &'a str, limit: &'a str) -> Vec<&'a str> {
    let head = ["team", "set", name, "--account", "acme"];
    [&head[..], &["--share", "1", "--limit", limit]].concat()
}

/// A listener that takes requests and closes without an answer.
struct Mute {
    addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

fn mute() -> Mute {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut buf = [0; 4_096];
            let read = stream.map(|mut s| s.read(&mut buf));
            if matches!(read, Ok(Ok(n)) if n > 0) {
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    Mute { addr, requests }
}

/// An address on which nothing listens.
fn closed() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

#[test]
fn help_names_every_command_and_exit_code() {
    let overview = ctl(&["help"]);
    assert_eq!(code(&overview), 0);
    for words in [
        "profile publish",
        "team set",
        "key withdraw",
        "job watch",
        "config log",
    ] {
        assert!(stdout(&overview).contains(words), "{words}");
    }
    for n in [0, 2, 3, 4, 5, 6, 7] {
        assert!(
            stdout(&overview).contains(&format!("\n  {n}  ")),
            "exit code {n}"
        );
    }
    assert_eq!(stdout(&ctl(&["--help"])), stdout(&overview));
    let team = ctl(&["help", "team", "set"]);
    assert!(stdout(&team).contains("--account NAME"));
    assert!(stdout(&team).contains("(required)"));
    assert_eq!(stdout(&ctl(&["team", "set", "--help"])), stdout(&team));
    let group = stdout(&ctl(&["help", "team"]));
    assert!(group.contains("team list") && !group.contains("job"));
    assert_eq!(code(&ctl(&["help", "teams"])), 2);
}

#[rstest]
#[case(&[], "no command was given")]
#[case(&["teams"], "no such command")]
#[case(&["team"], "no such command")]
#[case(&["team", "set"], "team set NAME")]
#[case(&["team", "set", "a", "b"], "team set NAME")]
#[case(&["team", "set", "hall"], "--account is missing")]
#[case(&["team", "set", "hall", "--account", "a", "--share", "1"], "--limit is missing")]
#[case(&["team", "set", "hall", "--account", "a", "--share", "0", "--limit", "1"], "--share must be")]
#[case(&["team", "set", "hall", "--account", "a", "--share", "1", "--limit", "-1"], "--limit must be")]
#[case(&["team", "set", "hall", "--account", "a b", "--share", "1", "--limit", "1"], "--account must have")]
#[case(&["team", "set", "hall/x", "--account", "a", "--share", "1", "--limit", "1"], "NAME must have")]
#[case(&["team", "show", ".."], "NAME must have")]
#[case(&["team", "list", "--share", "1"], "team list: Unrecognized option")]
#[case(&["key", "grant", "hall", "--replaces", "1"], "key grant: Unrecognized option")]
#[case(&["key", "withdraw", "ab", "--replaces", "x"], "--replaces must be")]
#[case(&["job", "submit", "--team", "hall"], "--profile is missing")]
#[case(&["job", "submit", "--team", "a", "--profile", "b", "--count", "many"], "--count must be")]
#[case(&["profile", "publish", "check", "--file", "/no/such/file"], "cannot be read")]
#[case(&["--entry", "localhost:1", "team", "list"], "--entry must be IP:PORT")]
#[case(&["--operator", "a b", "team", "list"], "--operator must have")]
#[case(&["--token-file", "/no/such/file", "team", "list"], "cannot be read")]
fn a_wrong_command_line_is_told_and_sends_nothing(#[case] args: &[&str], #[case] told: &str) {
    let mute = mute();
    let out = Command::new(PROGRAMS.ctl)
        .args(args)
        .env("MONSOONCTL_TOKEN", TOKEN)
        .env("MONSOONCTL_ENTRY", mute.addr.to_string())
        .output()
        .expect("monsoonctl can be started");
    assert_eq!(code(&out), 2, "{}", stderr(&out));
    assert!(stderr(&out).contains(told), "{}", stderr(&out));
    assert_eq!(mute.requests.load(Ordering::Relaxed), 0);
}

#[test]
fn a_wrong_profile_is_told_with_its_line_and_sends_nothing() {
    let mute = mute();
    let path = std::env::temp_dir().join(format!("{}-wrong.toml", std::process::id()));
    let file = path.to_str().expect("a plain path");
    let entry = mute.addr.to_string();
    let publish = [
        "--entry", &entry, "profile", "publish", "check", "--file", file,
    ];
    for (text, told) in [
        ("lane = \"short\"\nlain = 1\n", ":2: unknown field"),
        ("lane = \"quick\"\n", ":1: unknown variant"),
        ("priority = 10\n", "'priority' must be 0 to 9"),
    ] {
        std::fs::write(&path, text).expect("the profile can be written");
        let out = ctl(&publish);
        assert_eq!(code(&out), 2, "{}", stderr(&out));
        assert!(stderr(&out).contains(told), "{}", stderr(&out));
    }
    let _ = std::fs::remove_file(path);
    assert_eq!(mute.requests.load(Ordering::Relaxed), 0);
}

#[test]
fn an_entry_that_is_down_and_one_that_is_silent_have_their_own_exit_codes() {
    let (down, mute) = (closed(), mute());
    let silent = mute.addr.to_string();
    let change = set_team("hall", "3");
    let run = |entry: &str, args: &[&str]| code(&ctl(&[&["--entry", entry], args].concat()));
    assert_eq!(run(&down, &["team", "list"]), 3);
    assert_eq!(run(&down, &["key", "grant", "hall"]), 3);
    assert_eq!(run(&silent, &["team", "list"]), 3);
    assert_eq!(run(&silent, &["key", "grant", "hall"]), 6);
    let seen = mute.requests.load(Ordering::Relaxed);
    // The read of the present version fails, so that the change is not sent.
    assert_eq!(run(&silent, &change), 3);
    let both = format!("{silent},{down}");
    assert_eq!(run(&both, &["key", "grant", "hall"]), 6);
    assert_eq!(mute.requests.load(Ordering::Relaxed), seen + 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_entry_is_tried_for_reads_and_for_changes_that_were_not_sent() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.entry("fd-0");
    ready(&entry).await;
    let (down, live) = (closed(), entry.operators.to_string());
    let silent = mute().addr.to_string();
    let down_first = format!("{down},{live}");
    let change = [&["--entry", &down_first], &set_team("hall", "3")[..]].concat();
    assert_eq!(code(&ctl(&change)), 0);
    let read = ["--entry", &silent, "team", "list", "--entry", &live];
    let out = ctl(&read);
    assert_eq!(code(&out), 0, "{}", stderr(&out));
    assert!(stdout(&out).contains("hall"));
    let change = ["--entry", &silent, "--entry", &live, "key", "grant", "hall"];
    assert_eq!(code(&ctl(&change)), 6);
    let keys = entry.ctl_json(&["key", "list"]);
    assert_eq!(keys.as_object().map(|m| m.len()), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_that_race_one_wins_and_the_other_is_told() {
    let platform = Platform::start(6, PROGRAMS).await;
    let entries = [platform.entry("fd-0"), platform.entry("fd-1")];
    for e in &entries {
        ready(e).await;
    }
    entries[0].team("hall", 1, 1);
    eventually("both entries have the team", || async {
        entries[1].ctl(&["team", "show", "hall"]).status.success()
    })
    .await;
    for round in 0..RACES {
        race(&entries, round).await;
    }
    let past = entries[1].ctl_json(&["config", "log"]);
    let past = past.as_array().expect("a list");
    let count = |outcome: &str| {
        past.iter()
            .filter(|p| p["outcome"][outcome].is_u64())
            .count()
    };
    assert_eq!(count("applied"), RACES as usize + 1);
    assert_eq!(count("conflict"), RACES as usize);
    let versions: Vec<u64> = past.iter().filter_map(|p| p["version"].as_u64()).collect();
    assert!(
        versions.is_sorted_by(|a, b| a >= b),
        "newest first: {versions:?}"
    );
}

/// Two processes at two entries set one team at once, both replacing the same version.
async fn race(entries: &[Process; 2], round: u32) {
    let version = entries[0].ctl_json(&["team", "show", "hall"])["version"].clone();
    eventually("both entries have the same version", || async {
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
            .env("MONSOONCTL_TOKEN", TOKEN)
            .stderr(std::process::Stdio::piped())
            .stdout(std::process::Stdio::piped())
            .spawn();
        children.push((name, limit, child.expect("monsoonctl can be started")));
    }
    let mut won = Vec::new();
    let mut lost = Vec::new();
    for (name, limit, child) in children {
        let out = child.wait_with_output().expect("its output");
        match code(&out) {
            0 => won.push((name, limit)),
            4 => lost.push(stderr(&out)),
            other => panic!("exit code {other}: {}", stderr(&out)),
        }
    }
    assert_eq!((won.len(), lost.len()), (1, 1), "round {round}");
    let (winner, limit) = &won[0];
    eventually("the winner's change is in force at both", || async {
        let limits = entries
            .iter()
            .map(|e| e.ctl_json(&["team", "show", "hall"]));
        limits
            .into_iter()
            .all(|t| t["value"]["limit"].as_u64() == limit.parse().ok())
    })
    .await;
    let shown = entries[0].ctl_json(&["team", "show", "hall"]);
    let told = format!("version {}, set by {winner} at ", shown["version"]);
    assert!(lost[0].contains(&told), "{told} is not in {}", lost[0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_shown_once_and_their_hashes_never() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.entry("fd-0");
    ready(&entry).await;
    entry.publish("check", "lane = \"short\"\n");
    entry.team("hall", 1, 30);
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
    let status = || async {
        let answer = call(entry.callers, "GET", "/", &headers, "").await;
        answer.map(|a| a.status)
    };
    eventually("the key works", || async { status().await == Some(200) }).await;
    entry.ctl_json(&["key", "withdraw", id]);
    assert_eq!(status().await, Some(401));
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

#[tokio::test(flavor = "multi_thread")]
async fn reads_have_columns_for_people_and_json_for_programs() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.entry("fd-0");
    ready(&entry).await;
    entry.publish("night", "lane = \"batch\"\n");
    entry.team("hall", 3, 30);
    let live = entry.operators.to_string();
    let text = |args: &[&str]| {
        let out = ctl(&[&["--entry", &live], args].concat());
        assert_eq!(code(&out), 0, "{args:?}: {}", stderr(&out));
        stdout(&out)
    };
    let reads: [(&[&str], &[&str]); 8] = [
        (&["profile", "list"], &["LANE", "night", "batch"]),
        (&["profile", "show", "night"], &["value.lane", "batch"]),
        (&["team", "list"], &["SHARE", "hall", "acme"]),
        (&["team", "show", "hall"], &["value.limit", "30"]),
        (&["key", "list"], &["WITHDRAWN"]),
        (&["vm", "list"], &["RACK", "vm-0", "rack-0"]),
        (
            &["config", "log"],
            &["OUTCOME", "profiles", "night", "applied"],
        ),
        (&["state"], &["certain", "true", "GUARDS", "vm-1"]),
    ];
    for (args, parts) in reads {
        let shown = text(args);
        for part in parts {
            assert!(shown.contains(part), "{args:?} lacks {part}: {shown}");
        }
        let json: Value = entry.ctl_json(args);
        assert!(json.is_object() || json.is_array(), "{args:?}");
    }
    let night = &text(&["config", "log"]);
    let line = night
        .lines()
        .find(|l| l.contains("hall"))
        .expect("the team's change");
    assert!(line.contains(&entry.operators.to_string()), "{line}");
    assert!(line.contains("T") && line.contains('Z'), "{line}");
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_watched_to_their_end() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.entry("fd-0");
    ready(&entry).await;
    entry.publish("night", "lane = \"batch\"\n");
    entry.team("hall", 1, 30);
    let submit = |command: &str| {
        let args = ["job", "submit", "--team", "hall", "--profile", "night"];
        let args = [&args[..], &["--count", "2", "--command", command]].concat();
        let job = entry.ctl_json(&args);
        job["id"].as_str().expect("an identifier").to_owned()
    };
    eventually("a job can be accepted", || async {
        let args = ["job", "submit", "--team", "hall", "--profile", "night"];
        entry.ctl(&args).status.success()
    })
    .await;
    let quick = submit("run:100");
    let watched = entry.ctl(&["job", "watch", &quick]);
    assert_eq!(code(&watched), 0, "{}", stderr(&watched));
    let last: Value = stdout(&watched)
        .lines()
        .last()
        .and_then(|l| serde_json::from_str(l).ok())
        .expect("JSON lines");
    assert_eq!((&last["phase"], &last["done"]), (&"done".into(), &2.into()));

    let slow = submit("run:600000");
    entry.ctl_json(&["job", "cancel", &slow]);
    let watched = entry.ctl(&["job", "watch", &slow]);
    assert_eq!(code(&watched), 7, "{}", stderr(&watched));
    assert!(stderr(&watched).contains("cancelled"));
    assert_eq!(code(&entry.ctl(&["job", "show", "00000000000000aa"])), 5);
}

#[test]
fn both_programs_check_a_settings_file() {
    let path = std::env::temp_dir().join(format!("{}-check.toml", std::process::id()));
    let file = path.to_str().expect("a plain path");
    let entry = |args: &[&str]| {
        let out = Command::new(PROGRAMS.entry).args(args).output();
        out.expect("monsoonnotch can be started")
    };
    let sound = include_str!("../docs/monsoonnotch.example.toml");
    std::fs::write(&path, sound).expect("the file can be written");
    assert_eq!(code(&ctl(&["check", file])), 0);
    assert_eq!(code(&entry(&["--settings", file, "--check"])), 0);
    let wrong = sound.replace("threads = 2", "threads = 0\nextra = 1");
    std::fs::write(&path, wrong).expect("the file can be written");
    for out in [
        ctl(&["check", file]),
        entry(&["--settings", file, "--check"]),
        entry(&["--settings", file]),
    ] {
        assert_eq!(code(&out), 2);
        let told = stderr(&out);
        let lines = told.lines().filter(|l| l.contains(file)).count();
        assert_eq!(lines, 2, "{told}");
        assert!(
            told.contains("'threads' must be") && told.contains("'extra' is not"),
            "{told}"
        );
    }
    assert_eq!(code(&entry(&["--settings", "/no/such/file"])), 2);
    assert_eq!(code(&entry(&["--setting", file])), 2);
    assert_eq!(code(&entry(&[])), 2);
    assert_eq!(code(&entry(&["--help"])), 0);
    let _ = std::fs::remove_file(path);
}

/// Longest wait for a process to show that a signal did something.
const SIGNAL_PAUSE: Duration = Duration::from_millis(300);

#[tokio::test(flavor = "multi_thread")]
async fn sighup_is_logged_and_changes_nothing() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.entry("fd-0");
    ready(&entry).await;
    entry.team("hall", 1, 30);
    let before = entry.ctl_json(&["config", "log"]);
    let member = entry.ctl_json(&["state"])["member"].clone();
    entry.signal("HUP");
    eventually("the signal is counted", || async {
        let text = metrics(&entry).await;
        text.contains("monsoonnotch_events_total{event=\"17\"} 1\n")
    })
    .await;
    tokio::time::sleep(SIGNAL_PAUSE).await;
    assert_eq!(entry.ctl_json(&["config", "log"]), before);
    assert_eq!(entry.ctl_json(&["state"])["member"], member);
    let answer = call(entry.callers, "GET", "/readyz", &[], "").await;
    assert_eq!(answer.map(|a| a.status), Some(200));
}

async fn metrics(entry: &Process) -> String {
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let answer = call(entry.operators, "GET", "/metrics", &headers, "").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200);
    String::from_utf8(answer.body).expect("text")
}

#[tokio::test(flavor = "multi_thread")]
async fn liveness_and_readiness_are_told_on_both_listeners_without_a_key() {
    let platform = Platform::start(2, PROGRAMS).await;
    platform.log.set_faults(LogFaults {
        dark: true,
        ..LogFaults::default()
    });
    let entry = platform.entry("fd-0");
    let status = |addr: SocketAddr, path: &'static str| async move {
        let answer = call(addr, "GET", path, &[], "").await;
        answer.map(|a| a.status)
    };
    for addr in [entry.callers, entry.operators] {
        assert_eq!(status(addr, "/livez").await, Some(200));
        assert_eq!(status(addr, "/readyz").await, Some(503));
    }
    platform.log.set_faults(LogFaults::default());
    ready(&entry).await;
    for addr in [entry.callers, entry.operators] {
        assert_eq!(status(addr, "/livez").await, Some(200));
        assert_eq!(status(addr, "/readyz").await, Some(200));
    }
    for path in ["/metrics", "/v1/state", "/v1/keys"] {
        assert_eq!(status(entry.operators, path).await, Some(401), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_metrics_that_are_shown_are_those_of_the_catalogue() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.entry("fd-0");
    ready(&entry).await;
    entry.publish("check", "lane = \"short\"\n");
    entry.team("hall", 1, 30);
    let bearer = format!("Bearer {}", entry.grant("hall"));
    let headers = [("authorization", bearer.as_str()), ("profile", "check")];
    eventually("a request is answered", || async {
        let answer = call(entry.callers, "GET", "/", &headers, "").await;
        answer.is_some_and(|a| a.status == 200)
    })
    .await;
    let wrong = [("authorization", bearer.as_str()), ("profile", "none")];
    let refused = call(entry.callers, "GET", "/", &wrong, "").await;
    assert_eq!(refused.map(|a| a.status), Some(400));

    let text = metrics(&entry).await;
    let listed = monsoonnotch::entry::measure::CATALOGUE;
    for line in text.lines().filter(|l| l.starts_with("# TYPE ")) {
        let words: Vec<&str> = line.split(' ').collect();
        let known = listed.iter().find(|m| m.name == words[2]);
        let known = known.unwrap_or_else(|| panic!("not in the catalogue: {line}"));
        assert_eq!(known.kind.as_str(), words[3], "{line}");
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
