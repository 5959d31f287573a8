//! Validation of settings files, which reports all faults at once, each with its line.

use std::collections::BTreeSet;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::Settings;
use super::schema;
use super::schema::KEYS;
use super::schema::Key;

/// A fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line number, from one.
    pub line: usize,
    /// What is wrong and how to correct it.
    pub message: String,
}

/// Collects the faults of one settings file.
#[derive(Debug)]
struct Validator<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

/// Returns the faults of a text that concern its syntax or one setting each, sorted by line.
pub(super) fn faults(text: &str) -> Vec<Fault> {
    let mut validator = Validator {
        text,
        faults: Vec::new(),
    };
    let (document, errors) = DeTable::parse_recoverable(text);
    for e in &errors {
        validator.syntax_fault(e);
    }
    let document = document.get_ref();
    validator.check_unknown_tables(document);
    validator.check_values(document);
    // After a syntax error, a key that seems to be missing may be in the part that was not parsed.
    if errors.is_empty() {
        validator.check_required(document);
    }
    validator.faults.sort();
    validator.faults.dedup();
    validator.faults
}

/// Returns the faults of settings that are valid one by one but not in combination.
pub(super) fn cross_setting_faults(text: &str, s: &Settings) -> Vec<Fault> {
    let mut validator = Validator {
        text,
        faults: Vec::new(),
    };
    let document = DeTable::parse_recoverable(text).0;
    let entry = table(document.get_ref(), "entry");
    let offset = |key: &str| entry.and_then(|t| Some(t.get_key_value(key)?.0.span().start));
    let e = &s.entry;
    if e.peers.ip().is_unspecified() {
        validator.push_fault(
            offset("peers"),
            "'peers' must be an IP address that peers can reach",
        );
    }
    let listeners = [
        ("callers", e.callers),
        ("operators", e.operators),
        ("peers", e.peers),
    ];
    let mut used_addrs = BTreeSet::new();
    for (name, addr) in listeners {
        if addr.port() != 0 && !used_addrs.insert(addr) {
            let message = format!("'{name}' is the address of another listener; give each its own");
            validator.push_fault(offset(name), &message);
        }
    }
    validator.faults
}

impl Validator<'_> {
    /// Adds a fault at the byte offset `at`, or on line 1 if there is none.
    fn push_fault(&mut self, at: Option<usize>, message: &str) {
        let at = at.unwrap_or(0).min(self.text.len());
        let before = &self.text.as_bytes()[..at];
        let line = before.iter().filter(|b| **b == b'\n').count() + 1;
        let message = message.to_owned();
        self.faults.push(Fault { line, message });
    }

    /// Adds an error of the TOML parser, such as invalid syntax or a duplicate key.
    fn syntax_fault(&mut self, e: &toml::de::Error) {
        let at = e.span().map(|s| s.start);
        let message = match e.message() {
            "duplicate key" => "the key or table is defined twice; keep one".to_owned(),
            other => {
                let other = other.replace('\n', ", ");
                format!("not TOML: {other}; correct the line")
            }
        };
        self.push_fault(at, &message);
    }

    fn check_unknown_tables(&mut self, document: &DeTable<'_>) {
        for (name, value) in document {
            let table = name.get_ref().as_ref();
            let known = keys_of_table(table);
            let at = Some(name.span().start);
            if known.is_empty() {
                let message = format!("'{table}' is not a table of settings; remove or rename it");
                self.push_fault(at, &message);
                continue;
            }
            match value.get_ref() {
                DeValue::Table(keys) => self.check_unknown_keys(table, keys, &known),
                _ => self.push_fault(at, &format!("'{table}' must be a table; write [{table}]")),
            }
        }
    }

    fn check_unknown_keys(&mut self, table: &str, keys: &DeTable<'_>, known: &[&str]) {
        for name in keys.keys() {
            let key = name.get_ref().as_ref();
            if !known.contains(&key) {
                let list = known.join(", ");
                let message = format!("'{key}' is not a setting of [{table}]; it has {list}");
                self.push_fault(Some(name.span().start), &message);
            }
        }
    }

    fn check_values(&mut self, document: &DeTable<'_>) {
        for key in KEYS {
            let Some(value) = value(document, key) else {
                continue;
            };
            if let Some(fault) = key.constraint.violation(value.get_ref()) {
                let message = format!("'{}' {fault}", key.name);
                self.push_fault(Some(value.span().start), &message);
            }
        }
    }

    fn check_required(&mut self, document: &DeTable<'_>) {
        for key in KEYS {
            if key.default.is_some() || value(document, key).is_some() {
                continue;
            }
            let header = document.get_key_value(key.table);
            let at = header.map(|(name, _)| name.span().start);
            let message = format!(
                "'{}' of [{}] is missing; set it to {}",
                key.name,
                key.table,
                key.constraint.description()
            );
            self.push_fault(at, &message);
        }
    }
}

fn keys_of_table(table: &str) -> Vec<&'static str> {
    let keys = KEYS.iter().filter(|k| k.table == table);
    keys.map(|k: &schema::Key| k.name).collect()
}

fn table<'a, 'i>(document: &'a DeTable<'i>, name: &str) -> Option<&'a DeTable<'i>> {
    document.get(name)?.get_ref().as_table()
}

fn value<'a, 'i>(document: &'a DeTable<'i>, key: &Key) -> Option<&'a Spanned<DeValue<'i>>> {
    table(document, key.table)?.get(key.name)
}
