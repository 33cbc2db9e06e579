//! Formats log records as text or JSON lines.

use std::{
    fmt::{Arguments, Write as _},
    time::SystemTime,
};

use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};
use siskinhook_settings::LogFormat;

/// Keys whose values are never written: secrets, and texts that contain a caller's data.
///
/// A key matches if it equals one of these names or ends in an underscore and the name.
const HIDDEN_KEYS: [&str; 8] = [
    "password",
    "secret",
    "token",
    "credential",
    "sql",
    "statement",
    "parameters",
    "values",
];

/// Formats a record as one line.
pub fn format_line(
    format: LogFormat,
    message: &Arguments<'_>,
    record: &Record<'_>,
    time: SystemTime,
) -> String {
    let time = humantime::format_rfc3339_millis(time);
    let mut pairs = KeyValues::default();
    // `visit_pair` below never fails.
    let _ = record.key_values().visit(&mut pairs);
    match format {
        LogFormat::Json => {
            let mut object = Map::new();
            object.insert("time".into(), time.to_string().into());
            object.insert("level".into(), record.level().as_str().into());
            object.insert("module".into(), record.target().into());
            object.insert("message".into(), message.to_string().into());
            for (key, value) in pairs.0 {
                object.entry(key).or_insert(value);
            }
            Json::Object(object).to_string()
        }
        LogFormat::Text => {
            let mut line = format!("{time} {:5} {}", record.level(), record.target());
            for (key, value) in pairs.0 {
                // Writing to a String cannot fail.
                let _ = write!(line, " {key}={value}");
            }
            line.push_str(": ");
            line.push_str(&escape_controls(&message.to_string()));
            line
        }
    }
}

/// Escapes control characters, so that a message with a line break cannot forge another log line.
fn escape_controls(message: &str) -> String {
    let mut escaped = String::with_capacity(message.len());
    for c in message.chars() {
        if c.is_control() {
            escaped.extend(c.escape_default());
        } else {
            escaped.push(c);
        }
    }
    escaped
}

fn is_hidden(key: &str) -> bool {
    HIDDEN_KEYS.iter().any(|name| {
        key.strip_suffix(name)
            .is_some_and(|rest| rest.is_empty() || rest.ends_with('_'))
    })
}

#[derive(Default)]
struct KeyValues(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json_value = if is_hidden(key.as_str()) {
            "[hidden]".into()
        } else {
            to_json(&value)
        };
        self.0.insert(key.as_str().into(), json_value);
        Ok(())
    }
}

fn to_json(value: &Value<'_>) -> Json {
    if let Some(number) = value.to_u64() {
        number.into()
    } else if let Some(number) = value.to_i64() {
        number.into()
    } else if let Some(number) = value.to_f64() {
        number.into()
    } else if let Some(flag) = value.to_bool() {
        flag.into()
    } else {
        value.to_string().into()
    }
}
