//! Catalogue entries, revisions, checks, snapshots and the audit trail.
