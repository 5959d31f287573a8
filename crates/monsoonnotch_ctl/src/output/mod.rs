//! Answers for people, or as JSON for programs.

use serde_json::Value;

/// Prints an answer: JSON as it is, or a few aligned columns.
pub fn print(value: &Value, json: bool) {
    match value {
        _ if json => println!("{value}"),
        Value::Array(rows) => rows.iter().for_each(|r| println!("{}", line(r))),
        Value::Object(map) if map.values().all(Value::is_object) => {
            for (name, v) in map {
                println!("{name:<24} {}", line(v));
            }
        }
        v => println!("{}", line(v)),
    }
}

/// The members of an object as `name=value`, nested ones flattened.
fn line(value: &Value) -> String {
    let mut parts = Vec::new();
    flatten("", value, &mut parts);
    parts.join(" ")
}

fn flatten(name: &str, value: &Value, parts: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (k, v) in map {
                let name = match name {
                    "" => k.clone(),
                    _ => format!("{name}.{k}"),
                };
                flatten(&name, v, parts);
            }
        }
        Value::String(s) => parts.push(format!("{name}={s}")),
        v => parts.push(format!("{name}={v}")),
    }
}
