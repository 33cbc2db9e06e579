//! Keys of the rows and objects that store the catalogue and the audit trail.

use siskinhook_types::Revision;
use smol_str::{SmolStr, format_smolstr};

/// Key of the row with the current revision number.
pub const REVISION: &str = "catalogue/revision";
/// Key prefix of the changes, in order of their revisions.
pub const CHANGE_PREFIX: &str = "catalogue/change/";
/// Key of the row with the revision number of the newest snapshot.
pub const SNAPSHOT: &str = "catalogue/snapshot";
/// Key prefix of the audit records, in order of their sequence numbers.
pub const AUDIT_PREFIX: &str = "audit/";
/// Key of the row with the last sequence number of the audit trail.
pub const AUDIT_SEQUENCE: &str = "audit-sequence";

/// Largest sequence number that fits the 16 digits of a key.
const MAX_SEQUENCE: u64 = 9_999_999_999_999_999;

/// Returns the key of the change that made a revision.
#[must_use]
pub fn change_key(revision: Revision) -> SmolStr {
    format_smolstr!("{CHANGE_PREFIX}{revision:016}")
}

/// Returns the key of the current version of an entry.
#[must_use]
pub fn entry_key(service: &str) -> SmolStr {
    format_smolstr!("catalogue/entry/{service}")
}

/// Returns the key of the row that records an accepted edit under its edit id.
pub fn edit_key(id: &str) -> SmolStr {
    format_smolstr!("catalogue/edit/{id}")
}

/// Returns the key of the snapshot object of a revision.
pub fn snapshot_key(revision: Revision) -> SmolStr {
    format_smolstr!("{SNAPSHOT}/{revision}")
}

/// Returns the key of an audit record.
pub fn audit_key(sequence: u64) -> SmolStr {
    format_smolstr!("{AUDIT_PREFIX}{sequence:016}")
}

/// Returns the key prefix of the audit records of a service, newest first.
pub fn service_prefix(service: &str) -> SmolStr {
    format_smolstr!("audit-service/{service}/")
}

/// Returns the key prefix of the audit records of a person, newest first.
pub fn person_prefix(person: &str) -> SmolStr {
    format_smolstr!("audit-person/{person}/")
}

/// Returns a 16-digit number that sorts the highest sequence number first.
pub fn descending_sequence(sequence: u64) -> SmolStr {
    format_smolstr!("{:016}", MAX_SEQUENCE.saturating_sub(sequence))
}
