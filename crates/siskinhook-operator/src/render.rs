//! Formatting of results as tables and text.

use std::time::{Duration, UNIX_EPOCH};

use comfy_table::{Table, presets};
use serde_json::{Map, Value};
use siskinhook_catalogue::{AuditAction, AuditRecord};

/// Formats rows as a table with a header.
pub fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header.iter().map(|name| name.to_uppercase()));
    for row in rows {
        table.add_row(row);
    }
    let text = table.to_string();
    text.lines()
        .map(|line| line.trim_end().strip_prefix(' ').unwrap_or_default())
        .collect::<Vec<_>>()
        .join("\n")
}

/// Ends a text with exactly one line break.
pub fn end_with_newline(text: String) -> String {
    let mut text = text;
    text.truncate(text.trim_end().len());
    if !text.is_empty() {
        text.push('\n');
    }
    text
}

/// Formats a report. A list of objects becomes a table. An object becomes one line per field, with
/// nested objects and lists of objects last; an object of flat objects becomes a table with their
/// names.
pub fn report(value: &Value) -> String {
    match value {
        Value::Array(items) if items.iter().all(Value::is_object) => object_table(items),
        Value::Object(map) => {
            let (nested, plain): (Vec<_>, Vec<_>) =
                map.iter().partition(|(_, value)| is_nested(value));
            let lines = plain
                .into_iter()
                .map(|(key, value)| format!("{key}: {}", cell(value)));
            let sections = nested
                .into_iter()
                .map(|(key, value)| nested_section(key, value));
            lines.chain(sections).collect::<Vec<_>>().join("\n")
        }
        value => cell(value),
    }
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Array(items) => items.iter().any(Value::is_object),
        value => value.is_object(),
    }
}

fn nested_section(key: &str, value: &Value) -> String {
    match value {
        Value::Array(items) => format!("\n{key}:\n{}", object_table(items)),
        Value::Object(inner) if is_table(inner) => {
            format!("\n{key}:\n{}", indent(&named_table(inner)))
        }
        value => format!("\n{key}:\n{}", indent(&report(value))),
    }
}

/// Returns whether all values are objects that fit a table row.
fn is_table(map: &Map<String, Value>) -> bool {
    let flat = |value: &Value| {
        value
            .as_object()
            .is_some_and(|inner| inner.values().all(|v| !has_objects(v)))
    };
    !map.is_empty() && map.values().all(flat)
}

/// Returns whether a value is an object with nested objects, which a table cell cannot show.
fn has_objects(value: &Value) -> bool {
    value
        .as_object()
        .is_some_and(|map| map.values().any(Value::is_object))
}

/// Formats named objects as a table whose first column is the name.
fn named_table(map: &Map<String, Value>) -> String {
    let items: Vec<Value> = map
        .iter()
        .filter_map(|(name, value)| {
            let mut item = Map::from_iter([("name".to_owned(), name.as_str().into())]);
            item.extend(value.as_object()?.clone());
            Some(item.into())
        })
        .collect();
    object_table(&items)
}

fn object_table(items: &[Value]) -> String {
    let mut header: Vec<&str> = Vec::new();
    for item in items.iter().filter_map(Value::as_object) {
        for key in item.keys() {
            if !header.contains(&key.as_str()) {
                header.push(key);
            }
        }
    }
    if header.is_empty() {
        return "none".into();
    }
    let rows = items.iter().map(|item| {
        header
            .iter()
            .map(|key| item.get(*key).map(cell).unwrap_or_default())
            .collect()
    });
    table(&header, rows)
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        Value::Object(map) => map
            .iter()
            .map(|(key, value)| format!("{key} {}", cell(value)))
            .collect::<Vec<_>>()
            .join(", "),
        value => value.to_string(),
    }
}

fn indent(text: &str) -> String {
    text.lines()
        .map(|line| {
            if line.is_empty() {
                String::new()
            } else {
                format!("  {line}")
            }
        })
        .collect::<Vec<_>>()
        .join("\n")
}

/// Formats a time, in milliseconds since the Unix epoch, as RFC 3339 with seconds.
pub fn format_time(milliseconds: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(milliseconds);
    humantime::format_rfc3339_seconds(time).to_string()
}

/// Formats audit records as a table.
pub fn audit_table(records: &[AuditRecord]) -> String {
    if records.is_empty() {
        return "no records".into();
    }
    let rows = records.iter().map(|record| {
        let draft = &record.draft;
        vec![
            record.sequence.to_string(),
            format_time(draft.time),
            draft.person.to_string(),
            draft.partner.clone().unwrap_or_default().to_string(),
            draft.origin.to_string(),
            draft.service.clone().unwrap_or_default().to_string(),
            describe_action(&draft.action),
            draft.reason.clone(),
        ]
    });
    table(
        &[
            "number", "time", "person", "partner", "node", "entry", "action", "reason",
        ],
        rows,
    )
}

/// Describes an audited action in a few words.
pub fn describe_action(action: &AuditAction) -> String {
    match action {
        AuditAction::Edit {
            revision,
            before,
            after,
            undoes,
            ..
        } => {
            let verb = match (before, after) {
                (None, _) => "created",
                (_, None) => "removed",
                _ => "changed",
            };
            match undoes {
                Some(undone) => format!("{verb}, revision {revision}, undoes {undone}"),
                None => format!("{verb}, revision {revision}"),
            }
        }
        AuditAction::Promotion {
            database,
            server,
            term,
        } => format!("promoted {server} of {database}, term {term}"),
        AuditAction::Ownership {
            server,
            before,
            after,
        } => match before {
            Some(before) => format!("{server} moved from {before} to {after}"),
            None => format!("{server} taken by {after}"),
        },
        AuditAction::Drain { node, drain: true } => format!("drain {node}"),
        AuditAction::Drain { node, drain: false } => format!("undrain {node}"),
    }
}
