//! Keys of the rows and objects that hold catalogue and audit trail.

use siskinhook_types::Revision;
use smol_str::{SmolStr, format_smolstr};

/// Row with the current revision as a number.
pub const REVISION: &str = "catalogue/revision";
/// Prefix of the change rows.
pub const CHANGE_PREFIX: &str = "catalogue/change/";
/// Row with the revision of the newest snapshot as a number.
pub const SNAPSHOT: &str = "catalogue/snapshot";
/// Prefix of the audit records in order of their sequence numbers.
pub const AUDIT_PREFIX: &str = "audit/";
/// Row with the last sequence number of the audit trail.
pub const AUDIT_SEQUENCE: &str = "audit-sequence";

/// Largest 16-digit number.
const MAX_SEQUENCE: u64 = 9_999_999_999_999_999;

/// Returns the key of a change row.
#[must_use]
pub fn change_key(revision: Revision) -> SmolStr {
    format_smolstr!("{CHANGE_PREFIX}{revision:016}")
}

/// Returns the key of the row with the current form of an entry.
#[must_use]
pub fn entry_key(service: &str) -> SmolStr {
    format_smolstr!("catalogue/entry/{service}")
}

/// Returns the key of the row that marks an edit id as used.
pub fn edit_key(id: &str) -> SmolStr {
    format_smolstr!("catalogue/edit/{id}")
}

/// Returns the key of a snapshot object.
pub fn snapshot_key(revision: Revision) -> SmolStr {
    format_smolstr!("{SNAPSHOT}/{revision}")
}

/// Returns the key of an audit record.
pub fn audit_key(sequence: u64) -> SmolStr {
    format_smolstr!("{AUDIT_PREFIX}{sequence:016}")
}

/// Prefix of the copies of audit records by service, newest first.
pub fn service_prefix(service: &str) -> SmolStr {
    format_smolstr!("audit-service/{service}/")
}

/// Prefix of the copies of audit records by person, newest first.
pub fn person_prefix(person: &str) -> SmolStr {
    format_smolstr!("audit-person/{person}/")
}

/// Number that sorts the newest sequence number first.
pub fn descending_sequence(sequence: u64) -> SmolStr {
    format_smolstr!("{:016}", MAX_SEQUENCE.saturating_sub(sequence))
}
