//! Catalogue entries with their revisions, validation, snapshots and audit trail.

mod audit;
mod batch;
mod check;
mod danger;
mod diff;
mod edit;
mod entry;
mod keys;
mod log;
mod reader;
mod state;
mod store;
mod trail;

pub use audit::{AuditAction, AuditDraft, AuditRecord};
pub use check::{Fault, check_catalogue, check_entry};
pub use danger::dangerous_effects;
pub use diff::difference;
pub use edit::{Accepted, Author, Edit, EditError, EntryView, UndoRequest};
pub use entry::{entry_text, parse_entry};
pub use keys::{change_key, entry_key};
pub use log::AuditLog;
pub use reader::CatalogueReader;
pub use state::Snapshot;
pub use store::CatalogueStore;
pub use trail::{AuditQuery, AuditTrail};

/// Revisions between two snapshots. A new node reads the newest snapshot and, normally, at most
/// this many changes.
pub const SNAPSHOT_INTERVAL: u64 = 64;
