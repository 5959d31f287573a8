//! Answers for people, or as JSON for programs.

use std::io::Write;

use monsoonnotch_core::config::utc;
use serde_json::Value;
use serde_json::json;

/// Blanks between two columns.
const GAP: &str = "  ";

/// A column of a table: its title and the JSON pointer of its value.
pub type Column = (&'static str, &'static str);

/// Prints one line; a closed pipe is no error.
pub fn line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints one thing as lines of name and value, or as JSON.
pub fn one(value: &Value, json: bool) {
    if json {
        return line(&value.to_string());
    }
    let mut rows = Vec::new();
    flatten("", value, &mut rows);
    table(&rows);
}

/// Prints many things as a table, or as JSON.
pub fn many(value: &Value, columns: &[Column], json: bool) {
    if json {
        return line(&value.to_string());
    }
    let title = columns.iter().map(|(t, _)| t.to_uppercase()).collect();
    let mut rows: Vec<Vec<String>> = vec![title];
    for item in items(value) {
        let cell = |(_, at): &Column| item.pointer(at).map_or(String::new(), |v| cell(at, v));
        rows.push(columns.iter().map(cell).collect());
    }
    table(&rows);
}

/// The items of a list, or of a map with their names put in.
fn items(value: &Value) -> Vec<Value> {
    match value {
        Value::Array(items) => items.clone(),
        Value::Object(map) => {
            let named = map.iter().map(|(name, v)| {
                let mut item = v.clone();
                item["name"] = json!(name);
                item
            });
            named.collect()
        }
        _ => Vec::new(),
    }
}

fn table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| rows.iter().filter_map(|r| r.get(i)).map(String::len).max();
    let widths: Vec<usize> = (0..columns).map(|i| width(i).unwrap_or(0)).collect();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        let cells: Vec<String> = cells.collect();
        line(cells.join(GAP).trim_end());
    }
}

fn flatten(name: &str, value: &Value, rows: &mut Vec<Vec<String>>) {
    match value {
        Value::Object(map) => {
            for (k, v) in map {
                let name = match name {
                    "" => k.clone(),
                    _ => format!("{name}.{k}"),
                };
                flatten(&name, v, rows);
            }
        }
        v => rows.push(vec![name.to_owned(), cell(name, v)]),
    }
}

/// The text of one value; times are shown as dates.
fn cell(name: &str, value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(s) => s.clone(),
        Value::Number(n) if name.ends_with("at_unix") => utc(n.as_u64().unwrap_or(0)),
        v => v.to_string(),
    }
}
