//! Parsing and formatting of catalogue entries.

use siskinhook_settings::{Document, SettingsError};
use siskinhook_types::Entry;

use crate::check_entry;

/// Parses an entry from JSON with comments and validates it on its own; `source` names the text
/// in error messages.
///
/// # Errors
/// Returns all syntax errors and faults, each with line, column, field and remedy.
pub fn parse_entry(source: &str, text: &str) -> Result<Entry, SettingsError> {
    let document = Document::parse(source, text)?;
    let entry: Entry = document.read()?;
    let problems: Vec<_> = check_entry(&entry)
        .into_iter()
        .map(|fault| document.problem(&fault.path, fault.message))
        .collect();
    if problems.is_empty() {
        Ok(entry)
    } else {
        Err(document.error(problems))
    }
}

/// Formats an entry as JSON that `parse_entry` accepts.
#[must_use]
pub fn entry_text(entry: &Entry) -> String {
    let mut text = serde_json::to_string_pretty(entry)
        .unwrap_or_else(|error| format!("// the entry cannot be shown: {error}"));
    text.push('\n');
    text
}
