//! Entries as texts.

use siskinhook_settings::{Document, SettingsError};
use siskinhook_types::Entry;

use crate::check_entry;

/// Parses an entry from JSON with comments and checks it by itself; `source` names the text in
/// errors.
///
/// # Errors
/// All faults with line, column, field and remedy.
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

/// Writes an entry as a text that `parse_entry` reads.
#[must_use]
pub fn entry_text(entry: &Entry) -> String {
    let mut text = serde_json::to_string_pretty(entry)
        .unwrap_or_else(|error| format!("// the entry cannot be shown: {error}"));
    text.push('\n');
    text
}
