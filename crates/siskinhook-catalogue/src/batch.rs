//! Batches that write the catalogue and the audit trail.

use std::sync::Arc;

use siskinhook_types::{Batch, Change, Condition, Revision, RowWrite, value_type};

use crate::{
    AuditAction, AuditDraft, AuditRecord, Edit, EntryView, Snapshot, change_key, entry_key, keys,
    state::Counter,
};

value_type! {
    /// Row that records the result of an accepted edit under its edit id.
    pub struct AppliedEdit {
        /// Revision that the edit made.
        pub revision: Revision,
        /// Sequence number of its audit record.
        pub sequence: u64,
    }
}

/// The catalogue as read from the platform, with the rows that a commit is conditional on.
pub struct CatalogueState {
    /// The catalogue.
    pub snapshot: Arc<Snapshot>,
    /// Row with the current revision.
    pub revision: Counter,
    /// Row with the last sequence number of the audit trail.
    pub sequence: Counter,
}

/// Returns the batch that commits an edit as the next revision. It is applied only if neither the
/// revision nor the end of the audit trail changed since `current` was read.
pub fn edit_batch(edit: &Edit, current: &CatalogueState) -> Batch {
    let revision = current.revision.value + 1;
    let sequence = current.sequence.value + 1;
    let change = Change {
        revision,
        edit: edit.id.clone(),
        service: edit.service.clone(),
        entry: edit.entry.clone(),
    };
    let view = edit.entry.as_ref().map(|entry| EntryView {
        revision,
        entry: entry.clone(),
    });
    let record = AuditRecord {
        sequence,
        draft: audit_draft(edit, revision, &current.snapshot),
    };
    let mut writes = vec![
        row_write(keys::REVISION, Some(revision.into())),
        row_write(&change_key(revision), to_json(&change)),
        row_write(&entry_key(&edit.service), view.as_ref().and_then(to_json)),
        row_write(
            &keys::edit_key(&edit.id),
            to_json(&AppliedEdit { revision, sequence }),
        ),
        row_write(keys::AUDIT_SEQUENCE, Some(sequence.into())),
    ];
    writes.extend(record.writes());
    Batch {
        conditions: vec![
            condition(keys::REVISION, current.revision.version),
            condition(keys::AUDIT_SEQUENCE, current.sequence.version),
        ],
        writes,
    }
}

/// Returns the audit record of an edit.
fn audit_draft(edit: &Edit, revision: Revision, snapshot: &Snapshot) -> AuditDraft {
    let author = &edit.author;
    let before = snapshot.catalogue.entries.get(&edit.service);
    AuditDraft {
        id: edit.id.clone(),
        time: author.time,
        person: author.operator.clone(),
        partner: Some(author.partner.clone()),
        origin: author.origin.clone(),
        service: Some(edit.service.clone()),
        reason: author.reason.clone(),
        action: AuditAction::Edit {
            edit: edit.id.clone(),
            revision,
            before: before.cloned().map(Box::new),
            after: edit.entry.clone().map(Box::new),
            undoes: edit.undoes,
        },
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Option<serde_json::Value> {
    serde_json::to_value(value).ok()
}

/// Returns a write of one row; a value of `None` removes the row.
pub fn row_write(key: &str, value: Option<serde_json::Value>) -> RowWrite {
    RowWrite {
        key: key.into(),
        value,
    }
}

/// Returns the condition that a row still has this version.
pub fn condition(key: &str, version: u64) -> Condition {
    Condition {
        key: key.into(),
        version,
    }
}
