//! Records of the audit trail.

use serde_json::Value;
use siskinhook_types::{
    DatabaseId, Entry, NodeId, PartnerId, Revision, RowWrite, ServerId, ServiceId, Term, value_type,
};
use smol_str::SmolStr;

use crate::keys;

value_type! {
    /// What was done.
    #[serde(rename_all = "snake_case")]
    pub enum AuditAction {
        /// An edit of the catalogue was accepted.
        Edit {
            /// Id of the edit.
            edit: SmolStr,
            /// Revision that it made.
            revision: Revision,
            /// The entry before.
            before: Option<Box<Entry>>,
            /// The entry after.
            after: Option<Box<Entry>>,
            /// Revision that it undid.
            undoes: Option<Revision>,
        },
        /// A server became primary.
        Promotion {
            /// Database of the group.
            database: DatabaseId,
            /// The new primary.
            server: ServerId,
            /// Its term.
            term: Term,
        },
        /// A node took over the connections of a server.
        Ownership {
            /// The server.
            server: ServerId,
            /// The owner before, when known.
            before: Option<NodeId>,
            /// The new owner.
            after: NodeId,
        },
        /// A node was told to drain, or to serve again.
        Drain {
            /// The node.
            node: NodeId,
            /// Whether it drains.
            drain: bool,
        },
    }

    /// A record that has no sequence number yet.
    pub struct AuditDraft {
        /// Unique id, so that a record is written once.
        pub id: SmolStr,
        /// Time in milliseconds since the Unix epoch, by the clock of the reporting node.
        pub time: u64,
        /// Operator, or the node that acted on its own.
        pub person: SmolStr,
        /// Partner of the operator.
        pub partner: Option<PartnerId>,
        /// Node and address that the action came through.
        pub origin: SmolStr,
        /// Service concerned.
        pub service: Option<ServiceId>,
        /// Reason.
        pub reason: String,
        /// What was done.
        pub action: AuditAction,
    }

    /// A record of the audit trail.
    pub struct AuditRecord {
        /// Sequence number, from 1, without gaps.
        pub sequence: u64,
        /// The record.
        #[serde(flatten)]
        pub draft: AuditDraft,
    }
}

impl AuditRecord {
    /// Returns the rows that hold the record: in order, by service and by person. The copies
    /// let a query of one service or person read one page instead of the whole trail.
    pub(crate) fn writes(&self) -> Vec<RowWrite> {
        let value = serde_json::to_value(self).unwrap_or(Value::Null);
        let suffix = keys::descending_sequence(self.sequence);
        let mut prefixes = vec![keys::person_prefix(&self.draft.person)];
        prefixes.extend(self.draft.service.as_deref().map(keys::service_prefix));
        let copies = prefixes
            .into_iter()
            .map(|prefix| SmolStr::from(format!("{prefix}{suffix}")));
        [keys::audit_key(self.sequence)]
            .into_iter()
            .chain(copies)
            .map(|key| RowWrite {
                key,
                value: Some(value.clone()),
            })
            .collect()
    }
}
