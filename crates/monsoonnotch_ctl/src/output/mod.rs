//! Printing of results, as text for people or as JSON for programs.

use std::io::Write;

use monsoonnotch_core::config::utc;
use serde_json::Value;
use serde_json::json;

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// A column of a table: its title and the JSON pointer to its value within an item.
pub type Column = (&'static str, &'static str);

/// Prints one line to standard output. Write errors are ignored, so that a closed pipe is not an
/// error.
pub fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints one object as lines of name and value, or as JSON. Nested objects are flattened, with
/// their names joined by dots.
pub fn print_one(value: &Value, json: bool) {
    if json {
        return print_line(&value.to_string());
    }
    let mut rows = Vec::new();
    flatten("", value, &mut rows);
    print_table(&rows);
}

/// Prints the items of a list, or of a map by name, as a table or as JSON.
pub fn print_many(value: &Value, columns: &[Column], json: bool) {
    if json {
        return print_line(&value.to_string());
    }
    let titles = columns.iter().map(|(t, _)| t.to_uppercase()).collect();
    let mut rows: Vec<Vec<String>> = vec![titles];
    for item in items(value) {
        let cell = |(_, pointer): &Column| {
            item.pointer(pointer)
                .map_or(String::new(), |v| cell_text(pointer, v))
        };
        rows.push(columns.iter().map(cell).collect());
    }
    print_table(&rows);
}

/// Returns the items of a list, or the values of a map with their keys added as `name`.
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

/// Prints rows in left-aligned columns that are as wide as their longest cell.
fn print_table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| rows.iter().filter_map(|r| r.get(i)).map(String::len).max();
    let widths: Vec<usize> = (0..columns).map(|i| width(i).unwrap_or(0)).collect();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        let cells: Vec<String> = cells.collect();
        print_line(cells.join(COLUMN_GAP).trim_end());
    }
}

/// Adds a row of name and value to `rows` for each value within `value` that is not an object.
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
        v => rows.push(vec![name.to_owned(), cell_text(name, v)]),
    }
}

/// Returns the text of one value. A number whose name ends with `at_unix` is shown as a UTC time.
fn cell_text(name: &str, value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(s) => s.clone(),
        Value::Number(n) if name.ends_with("at_unix") => utc(n.as_u64().unwrap_or(0)),
        v => v.to_string(),
    }
}
