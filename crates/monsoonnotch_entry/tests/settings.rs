//! Settings files: agreement of the code with the example file and the page, and reports of
//! faults.

use std::collections::BTreeSet;

use monsoonnotch_entry::settings::Error;
use monsoonnotch_entry::settings::Fault;
use monsoonnotch_entry::settings::KEYS;
use monsoonnotch_entry::settings::Key;
use monsoonnotch_entry::settings::Settings;
use rstest::rstest;
use serde_json::Value;

const EXAMPLE: &str = include_str!("../../../docs/monsoonnotch.example.toml");
const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

/// Returns the example file without the keys that have a default.
fn required_only() -> String {
    let optional = |l: &&str| {
        let name = l.split(' ').next().unwrap_or("");
        KEYS.iter().any(|k| k.default.is_some() && k.name == name)
    };
    let lines: Vec<&str> = EXAMPLE.lines().filter(|l| !optional(l)).collect();
    lines.join("\n")
}

fn json(text: &str) -> Value {
    let settings = Settings::parse("test.toml", text).expect("valid settings");
    serde_json::to_value(settings).expect("a JSON form")
}

fn faults(text: &str) -> Vec<Fault> {
    match Settings::parse("test.toml", text) {
        Err(Error::Invalid(_, faults)) => faults,
        other => panic!("expected faults, got {other:?}"),
    }
}

/// Returns the comment lines directly above a key of the example file, last line first.
fn comment(key: &Key) -> String {
    let table = EXAMPLE.split(&format!("\n[{}]\n", key.table)).nth(1);
    let table = table.expect("the table is in the example");
    let before = table.split(&format!("\n{} = ", key.name)).next();
    let lines: Vec<&str> = before.expect("a first part").lines().rev().collect();
    let own: Vec<&str> = lines
        .into_iter()
        .take_while(|l| l.starts_with('#'))
        .collect();
    own.join("\n")
}

#[test]
fn example_and_schema_list_the_keys_of_the_code() {
    let settings = json(EXAMPLE);
    let mut in_code = BTreeSet::new();
    for (table, keys) in settings.as_object().expect("tables") {
        for name in keys.as_object().expect("keys").keys() {
            in_code.insert((table.clone(), name.clone()));
        }
    }
    let listed = KEYS.iter().map(|k| (k.table.to_owned(), k.name.to_owned()));
    assert_eq!(in_code, listed.collect());
    for key in KEYS {
        assert!(
            EXAMPLE.contains(&format!("\n{} = ", key.name)),
            "{}",
            key.name
        );
    }
}

#[test]
fn example_and_schema_have_the_defaults_of_the_code() {
    let defaults = json(&required_only());
    let example = json(EXAMPLE);
    for key in KEYS {
        let Some(default) = key.default else {
            assert!(comment(key).contains("Required."), "{}", key.name);
            continue;
        };
        assert_eq!(defaults[key.table][key.name], default, "{}", key.name);
        assert_eq!(example[key.table][key.name], default, "{}", key.name);
        let stated = format!("Unit: {}. Default: {default}.", key.unit);
        assert!(comment(key).contains(&stated), "{}: {stated}", key.name);
    }
}

#[test]
fn settings_page_lists_every_key_with_unit_and_default() {
    for key in KEYS {
        let default = key.default.map_or("required".to_owned(), |d| d.to_string());
        let unit = match key.unit {
            "" => "-",
            unit => unit,
        };
        let row = format!("| `{}` | `{}` | {unit} | {default} | ", key.table, key.name);
        assert!(PAGE.contains(&row), "docs/SETTINGS.md lacks: {row}");
    }
    let rows = PAGE.lines().filter(|l| l.starts_with("| `")).count();
    assert_eq!(rows, KEYS.len());
}

#[rstest]
#[case(
    "threads = 2",
    "threads = 0",
    "'threads' must be a whole number from 1 to 256"
)]
#[case(
    "threads = 2",
    "threads = \"2\"",
    "'threads' must be a whole number from 1 to 256"
)]
#[case("threads = 2", "thread = 2", "'thread' is not a setting of [entry]")]
#[case("threads = 2", "threads = 2\nthreads = 3", "defined twice")]
#[case("[limits]", "[limit]", "'limit' is not a table of settings")]
#[case("threads = 2", "threads = ", "not TOML")]
#[case(
    "queue = 10000",
    "queue = 99999999999999999999",
    "'queue' must be a whole number"
)]
#[case(
    "log = \"10.0.0.10:7000\"",
    "log = \"log:7000\"",
    "'log' must be an address"
)]
#[case(
    "log = \"10.0.0.10:7000\"",
    "log = \"0.0.0.0:7000\"",
    "'log' must be an address"
)]
#[case(
    "peers = \"10.0.1.5:7102\"",
    "peers = \"0.0.0.0:7102\"",
    "'peers' must be an IP address"
)]
#[case(
    "peers = \"10.0.1.5:7102\"",
    "peers = \"10.0.1.5:7100\"",
    "another listener"
)]
#[case(
    "failure_domain = \"fd-1\"",
    "failure_domain = \"\"",
    "'failure_domain' must be a name"
)]
#[case(
    "token_sha256 = \"50",
    "token_sha256 = \"5",
    "'token_sha256' must be 64"
)]
fn reports_a_fault_with_its_line_and_advice(
    #[case] old: &str,
    #[case] new: &str,
    #[case] reported: &str,
) {
    let text = EXAMPLE.replacen(&format!("\n{old}"), &format!("\n{new}"), 1);
    assert_ne!(text, EXAMPLE);
    let found = faults(&text);
    let line = EXAMPLE
        .lines()
        .position(|l| l.starts_with(old))
        .expect("the example has the line")
        + 1;
    let hit = found.iter().find(|f| f.message.contains(reported));
    let hit = hit.unwrap_or_else(|| panic!("{reported} is not in {found:?}"));
    let second = usize::from(new.contains('\n'));
    assert_eq!(hit.line, line + second, "{found:?}");
}

#[test]
fn reports_all_faults_at_once() {
    let text = EXAMPLE
        .replace("threads = 2", "threads = 0")
        .replace("vms_ms = 500", "vms_ms = 1\nextra = 1")
        .replace("failure_domain = \"fd-1\"\n", "");
    let found = faults(&text);
    let reported = |what: &str| found.iter().filter(|f| f.message.contains(what)).count();
    assert_eq!(found.len(), 4, "{found:?}");
    assert_eq!(reported("'threads'"), 1);
    assert_eq!(reported("'vms_ms'"), 1);
    assert_eq!(reported("'extra'"), 1);
    assert_eq!(reported("'failure_domain' of [entry] is missing"), 1);
    let err = Settings::parse("site.toml", &text).expect_err("faults");
    assert_eq!(err.to_string().lines().count(), 4);
    assert!(err.to_string().lines().all(|l| l.starts_with("site.toml:")));
}

#[test]
fn reports_syntax_faults_with_the_others_one_per_line() {
    let text = EXAMPLE
        .replace("threads = 2", "threads = = 2")
        .replace("vms_ms = 500", "vms_ms = 1")
        .replace("queue = 10000", "queue = 10000\nqueue = 3");
    let err = Settings::parse("site.toml", &text).expect_err("faults");
    let reported = err.to_string();
    assert!(
        reported.lines().all(|l| l.starts_with("site.toml:")),
        "{reported}"
    );
    for part in ["not TOML", "'vms_ms' must be", "defined twice"] {
        assert!(reported.contains(part), "{part} is not in {reported}");
    }
}

#[test]
fn reports_every_required_key_for_an_empty_file() {
    let required = KEYS.iter().filter(|k| k.default.is_none()).count();
    assert_eq!(faults("").len(), required);
}
