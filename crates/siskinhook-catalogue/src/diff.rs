//! Unified diffs of catalogue entries.

use similar::TextDiff;
use siskinhook_types::Entry;

use crate::entry_text;

/// Returns a unified diff of two versions of an entry, or an empty text when they are equal.
/// `names` are the names of the two versions in the diff header.
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
