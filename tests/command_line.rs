//! Tests of `monsoonctl` as a process: command line, exit codes and output.

mod support;

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use monsoonnotch_standins::prelude::*;
use monsoonnotch_standins::site::OPERATORS_TOKEN;
use rstest::rstest;
use serde_json::Value;

use support::PROGRAMS;
use support::code;
use support::set_team;
use support::stderr;

/// Runs `monsoonctl` with only the token set of its environment variables.
fn ctl(args: &[&str]) -> Output {
    Command::new(PROGRAMS.ctl)
        .args(args)
        .env_remove("MONSOONCTL_ENTRY")
        .env_remove("MONSOONCTL_OPERATOR")
        .env("MONSOONCTL_TOKEN", OPERATORS_TOKEN)
        .output()
        .expect("monsoonctl can be started")
}

/// Returns the standard output of a process as text.
fn stdout(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned()
}

/// A listener that reads requests and closes the connection without a response.
struct Unresponsive {
    addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

fn start_unresponsive() -> Unresponsive {
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
    Unresponsive { addr, requests }
}

/// Returns an address on which nothing listens.
fn unused_addr() -> String {
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
fn an_invalid_command_line_is_reported_and_sends_nothing(
    #[case] args: &[&str],
    #[case] expected: &str,
) {
    let unresponsive = start_unresponsive();
    let out = Command::new(PROGRAMS.ctl)
        .args(args)
        .env("MONSOONCTL_TOKEN", OPERATORS_TOKEN)
        .env("MONSOONCTL_ENTRY", unresponsive.addr.to_string())
        .output()
        .expect("monsoonctl can be started");
    assert_eq!(code(&out), 2, "{}", stderr(&out));
    assert!(stderr(&out).contains(expected), "{}", stderr(&out));
    assert_eq!(unresponsive.requests.load(Ordering::Relaxed), 0);
}

#[test]
fn an_invalid_profile_is_reported_with_its_line_and_sends_nothing() {
    let unresponsive = start_unresponsive();
    let path = std::env::temp_dir().join(format!("{}-wrong.toml", std::process::id()));
    let file = path.to_str().expect("a plain path");
    let entry = unresponsive.addr.to_string();
    let publish = [
        "--entry", &entry, "profile", "publish", "check", "--file", file,
    ];
    for (text, expected) in [
        ("lane = \"short\"\nlain = 1\n", ":2: unknown field"),
        ("lane = \"quick\"\n", ":1: unknown variant"),
        ("priority = 10\n", "'priority' must be 0 to 9"),
        ("spread = \"racks\"\n", "'spread' must be 'pack'"),
    ] {
        std::fs::write(&path, text).expect("the profile can be written");
        let out = ctl(&publish);
        assert_eq!(code(&out), 2, "{}", stderr(&out));
        assert!(stderr(&out).contains(expected), "{}", stderr(&out));
    }
    let _ = std::fs::remove_file(path);
    assert_eq!(unresponsive.requests.load(Ordering::Relaxed), 0);
}

#[test]
fn unreachable_and_unresponsive_entries_have_distinct_exit_codes() {
    let (down, unresponsive) = (unused_addr(), start_unresponsive());
    let unresponsive_addr = unresponsive.addr.to_string();
    let change = set_team("hall", "3");
    let run = |entry: &str, args: &[&str]| code(&ctl(&[&["--entry", entry], args].concat()));
    assert_eq!(run(&down, &["team", "list"]), 3);
    assert_eq!(run(&down, &["key", "grant", "hall"]), 3);
    assert_eq!(run(&unresponsive_addr, &["team", "list"]), 3);
    assert_eq!(run(&unresponsive_addr, &["key", "grant", "hall"]), 6);
    let before = unresponsive.requests.load(Ordering::Relaxed);
    // `team set` first reads the present version; the read fails, so that no change is sent.
    assert_eq!(run(&unresponsive_addr, &change), 3);
    let both = format!("{unresponsive_addr},{down}");
    assert_eq!(run(&both, &["key", "grant", "hall"]), 6);
    assert_eq!(unresponsive.requests.load(Ordering::Relaxed), before + 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_entry_is_tried_for_reads_and_for_unsent_changes() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    let (down, live) = (unused_addr(), entry.operators.to_string());
    let unresponsive_addr = start_unresponsive().addr.to_string();
    let down_first = format!("{down},{live}");
    let change = [&["--entry", &down_first], &set_team("hall", "3")[..]].concat();
    assert_eq!(code(&ctl(&change)), 0);
    let read = [
        "--entry",
        &unresponsive_addr,
        "team",
        "list",
        "--entry",
        &live,
    ];
    let out = ctl(&read);
    assert_eq!(code(&out), 0, "{}", stderr(&out));
    assert!(stdout(&out).contains("hall"));
    let change = [
        "--entry",
        &unresponsive_addr,
        "--entry",
        &live,
        "key",
        "grant",
        "hall",
    ];
    assert_eq!(code(&ctl(&change)), 6);
    let keys = entry.ctl_json(&["key", "list"]);
    assert_eq!(keys.as_object().map(|m| m.len()), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_print_tables_or_json() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    entry.publish_profile("night", "lane = \"batch\"\n");
    entry.set_team("hall", 3, 30);
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
async fn job_watch_runs_until_the_job_ends() {
    let platform = Platform::start(2, PROGRAMS).await;
    let entry = platform.start_entry("fd-0");
    wait_ready(&entry).await;
    entry.publish_profile("night", "lane = \"batch\"\n");
    entry.set_team("hall", 1, 30);
    let submit = |command: &str| {
        let args = ["job", "submit", "--team", "hall", "--profile", "night"];
        let args = [&args[..], &["--count", "2", "--command", command]].concat();
        let job = entry.ctl_json(&args);
        job["id"].as_str().expect("an identifier").to_owned()
    };
    wait_until("a job can be accepted", || async {
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
    let valid = include_str!("../docs/monsoonnotch.example.toml");
    std::fs::write(&path, valid).expect("the file can be written");
    assert_eq!(code(&ctl(&["check", file])), 0);
    assert_eq!(code(&entry(&["--settings", file, "--check"])), 0);
    let wrong = valid.replace("threads = 2", "threads = 0\nextra = 1");
    std::fs::write(&path, wrong).expect("the file can be written");
    for out in [
        ctl(&["check", file]),
        entry(&["--settings", file, "--check"]),
        entry(&["--settings", file]),
    ] {
        assert_eq!(code(&out), 2);
        let message = stderr(&out);
        let lines = message.lines().filter(|l| l.contains(file)).count();
        assert_eq!(lines, 2, "{message}");
        assert!(
            message.contains("'threads' must be") && message.contains("'extra' is not"),
            "{message}"
        );
    }
    assert_eq!(code(&entry(&["--settings", "/no/such/file"])), 2);
    assert_eq!(code(&entry(&["--setting", file])), 2);
    assert_eq!(code(&entry(&[])), 2);
    assert_eq!(code(&entry(&["--help"])), 0);
    let _ = std::fs::remove_file(path);
}
