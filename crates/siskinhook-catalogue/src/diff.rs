//! Differences between two forms of an entry.

use similar::TextDiff;
use siskinhook_types::Entry;

use crate::entry_text;

/// Returns the difference between two forms of an entry as a unified diff with the given
/// names; empty when they are equal.
#[must_use]
pub fn difference(before: Option<&Entry>, after: Option<&Entry>, names: (&str, &str)) -> String {
    let old = before.map(entry_text).unwrap_or_default();
    let new = after.map(entry_text).unwrap_or_default();
    TextDiff::from_lines(&old, &new)
        .unified_diff()
        .context_radius(3)
        .header(names.0, names.1)
        .to_string()
}
