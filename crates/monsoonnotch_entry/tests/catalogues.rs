//! Comparison of the pages on events, metrics and reasons with the catalogues in the code.
//!
//! Operators look up log lines, metrics and refusals in these pages. They become wrong when a
//! catalogue is changed without them.

use std::collections::BTreeSet;

use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::notice;
use monsoonnotch_core::notice::Notice;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_entry::measure;

const EVENTS: &str = include_str!("../../../docs/EVENTS.md");
const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");
const METRICS: &str = include_str!("../../../docs/METRICS.md");

/// Returns the cells of the table rows that begin with `start`.
fn rows(page: &str, start: &str) -> Vec<Vec<String>> {
    let rows = page.lines().filter(|l| l.starts_with(start));
    let cells = |l: &str| -> Vec<String> {
        let inner = l.trim_matches('|').split(" | ");
        inner.map(|c| c.trim().to_owned()).collect()
    };
    rows.map(cells).collect()
}

#[test]
fn events_page_matches_catalogue() {
    let rows = rows(EVENTS, "| MN");
    let listed: Vec<(String, String, String)> = rows
        .iter()
        .map(|r| (r[0].clone(), r[1].clone(), r[2].clone()))
        .collect();
    let in_code: Vec<(String, String, String)> = notice::CATALOGUE
        .iter()
        .map(|e| {
            let number = format!("MN{:03}", e.number);
            let text = format!("`{}`", e.text);
            (number, e.level.as_str().to_owned(), text)
        })
        .collect();
    assert_eq!(listed, in_code);
    for row in rows {
        assert_eq!(row.len(), 5, "{row:?}");
        assert!(row[3].ends_with('.') && row[4].ends_with('.'), "{row:?}");
    }
}

#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<u16> = notice::CATALOGUE.iter().map(|e| e.number).collect();
    assert_eq!(numbers.len(), notice::CATALOGUE.len());
}

#[test]
fn notice_text_contains_values() {
    let evicted = Notice::Evicted {
        member: MemberId(1),
        heir: MemberId(2),
    };
    let text = "evicted member=0000000000000001 heir=0000000000000002";
    assert_eq!(evicted.text(), text);
    assert_eq!(
        Notice::Refusing(Reason::AtLimit).text(),
        "refusing requests reason=203"
    );
}

#[test]
fn metrics_page_matches_catalogue() {
    let listed: Vec<Vec<String>> = rows(METRICS, "| `");
    let in_code: Vec<Vec<String>> = measure::CATALOGUE
        .iter()
        .map(|m| {
            let labels = match m.labels {
                "" => "-",
                labels => labels,
            };
            let name = format!("`{}`", m.name);
            vec![
                name,
                m.kind.as_str().to_owned(),
                labels.to_owned(),
                m.help.to_owned(),
            ]
        })
        .collect();
    assert_eq!(listed, in_code);
}

#[test]
fn operations_page_lists_every_reason() {
    let start = OPERATIONS
        .find("\n## Reasons\n")
        .expect("the page has a section on reasons");
    let section = &OPERATIONS[start..];
    let end = section
        .find("\n## Failures")
        .expect("the page has a section on failures");
    let mut listed = rows(&section[..end], "| ");
    listed.retain(|r| r[0].parse::<u16>().is_ok());
    let listed: Vec<[String; 3]> = listed
        .iter()
        .map(|r| [r[0].clone(), r[1].clone(), r[2].clone()])
        .collect();
    let in_code: Vec<[String; 3]> = Reason::ALL
        .iter()
        .map(|r| [r.to_string(), r.status().to_string(), r.title().to_owned()])
        .collect();
    assert_eq!(listed, in_code);
}

/// Returns the identifiers of a page that begin with `start`.
fn words(page: &str, start: &str) -> BTreeSet<String> {
    let ends = |c: char| !(c.is_ascii_alphanumeric() || c == '_');
    let tails = page.split(start).skip(1);
    let word = |t: &str| format!("{start}{}", t.split(ends).next().unwrap_or(""));
    tails.map(word).collect()
}

#[test]
fn pages_name_only_existing_metrics_and_events() {
    let metrics: BTreeSet<&str> = measure::CATALOGUE.iter().map(|m| m.name).collect();
    for page in [EVENTS, METRICS, OPERATIONS] {
        for word in words(page, "monsoonnotch_") {
            assert!(metrics.contains(word.as_str()), "no such metric: {word}");
        }
        for word in words(page, "MN0") {
            let known = |e: &notice::CatalogueEntry| format!("MN{:03}", e.number) == word;
            assert!(notice::CATALOGUE.iter().any(known), "no such event: {word}");
        }
    }
}
