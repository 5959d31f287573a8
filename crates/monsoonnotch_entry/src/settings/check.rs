//! The check of a settings file: every fault at once, each with its line.

use std::collections::BTreeSet;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::Settings;
use super::schema;
use super::schema::KEYS;
use super::schema::Key;

/// Something that is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, from one.
    pub line: usize,
    /// What is wrong, and what to do.
    pub what: String,
}

/// Collects the faults of one text.
#[derive(Debug)]
struct Check<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

/// All faults of a text, by line.
pub(super) fn faults(text: &str) -> Vec<Fault> {
    let mut check = Check {
        text,
        faults: Vec::new(),
    };
    let (document, errors) = DeTable::parse_recoverable(text);
    for e in &errors {
        check.form(e);
    }
    let document = document.get_ref();
    check.unknown(document);
    check.values(document);
    // A text that cannot be read whole may set a key that seems to be missing.
    if errors.is_empty() {
        check.missing(document);
    }
    check.faults.sort();
    check.faults.dedup();
    check.faults
}

/// Faults of values that are sound one by one.
pub(super) fn faults_together(text: &str, s: &Settings) -> Vec<Fault> {
    let mut check = Check {
        text,
        faults: Vec::new(),
    };
    let document = DeTable::parse_recoverable(text).0;
    let entry = table(document.get_ref(), "entry");
    let line = |key: &str| entry.and_then(|t| Some(t.get_key_value(key)?.0.span().start));
    let e = &s.entry;
    if e.peers.ip().is_unspecified() {
        check.fault(
            line("peers"),
            "'peers' must be an IP address that peers can reach",
        );
    }
    let listeners = [
        ("callers", e.callers),
        ("operators", e.operators),
        ("peers", e.peers),
    ];
    let mut taken = BTreeSet::new();
    for (name, addr) in listeners {
        if addr.port() != 0 && !taken.insert(addr) {
            let what = format!("'{name}' is the address of another listener; give each its own");
            check.fault(line(name), &what);
        }
    }
    check.faults
}

impl Check<'_> {
    fn fault(&mut self, at: Option<usize>, what: &str) {
        let at = at.unwrap_or(0).min(self.text.len());
        let before = &self.text.as_bytes()[..at];
        let line = before.iter().filter(|b| **b == b'\n').count() + 1;
        let what = what.to_owned();
        self.faults.push(Fault { line, what });
    }

    /// What the parser found: bad syntax, a key that is set twice.
    fn form(&mut self, e: &toml::de::Error) {
        let at = e.span().map(|s| s.start);
        let what = match e.message() {
            "duplicate key" => "the key or table is there twice; keep one".to_owned(),
            other => {
                let other = other.replace('\n', ", ");
                format!("not TOML: {other}; correct the line")
            }
        };
        self.fault(at, &what);
    }

    fn unknown(&mut self, document: &DeTable<'_>) {
        for (name, value) in document {
            let table = name.get_ref().as_ref();
            let known = names_in(table);
            let at = Some(name.span().start);
            if known.is_empty() {
                let what = format!("'{table}' is not a table of settings; remove or rename it");
                self.fault(at, &what);
                continue;
            }
            match value.get_ref() {
                DeValue::Table(keys) => self.unknown_keys(table, keys, &known),
                _ => self.fault(at, &format!("'{table}' must be a table; write [{table}]")),
            }
        }
    }

    fn unknown_keys(&mut self, table: &str, keys: &DeTable<'_>, known: &[&str]) {
        for name in keys.keys() {
            let key = name.get_ref().as_ref();
            if !known.contains(&key) {
                let list = known.join(", ");
                let what = format!("'{key}' is not a setting of [{table}]; it has {list}");
                self.fault(Some(name.span().start), &what);
            }
        }
    }

    fn values(&mut self, document: &DeTable<'_>) {
        for key in KEYS {
            let Some(value) = value(document, key) else {
                continue;
            };
            if let Some(fault) = key.form.fault(value.get_ref()) {
                let what = format!("'{}' {fault}", key.name);
                self.fault(Some(value.span().start), &what);
            }
        }
    }

    fn missing(&mut self, document: &DeTable<'_>) {
        for key in KEYS {
            if key.default.is_some() || value(document, key).is_some() {
                continue;
            }
            let header = document.get_key_value(key.table);
            let at = header.map(|(name, _)| name.span().start);
            let what = format!(
                "'{}' of [{}] is missing; set it to {}",
                key.name,
                key.table,
                key.form.advice()
            );
            self.fault(at, &what);
        }
    }
}

fn names_in(table: &str) -> Vec<&'static str> {
    let keys = KEYS.iter().filter(|k| k.table == table);
    keys.map(|k: &schema::Key| k.name).collect()
}

fn table<'a, 'i>(document: &'a DeTable<'i>, name: &str) -> Option<&'a DeTable<'i>> {
    document.get(name)?.get_ref().as_table()
}

fn value<'a, 'i>(document: &'a DeTable<'i>, key: &Key) -> Option<&'a Spanned<DeValue<'i>>> {
    table(document, key.table)?.get(key.name)
}
