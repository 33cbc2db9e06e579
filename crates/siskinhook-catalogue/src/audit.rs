//! Records of the audit trail and the rows that store them.

use serde_json::Value;
use siskinhook_types::{
    DatabaseId, Entry, NodeId, PartnerId, Revision, RowWrite, ServerId, ServiceId, Term, value_type,
};
use smol_str::SmolStr;

use crate::keys;

value_type! {
    /// An audited action.
    #[serde(rename_all = "snake_case")]
    pub enum AuditAction {
        /// An edit of the catalogue was accepted.
        Edit {
            /// Id of the edit.
            edit: SmolStr,
            /// Revision that the edit made.
            revision: Revision,
            /// The entry before the edit; `None` when it was created.
            before: Option<Box<Entry>>,
            /// The entry after the edit; `None` when it was removed.
            after: Option<Box<Entry>>,
            /// Revision that the edit undid.
            undoes: Option<Revision>,
        },
        /// A server became primary.
        Promotion {
            /// Database that the server belongs to.
            database: DatabaseId,
            /// The new primary.
            server: ServerId,
            /// Term of the new primary.
            term: Term,
        },
        /// A node took over the connections of a server.
        Ownership {
            /// The server.
            server: ServerId,
            /// The previous owner, when known.
            before: Option<NodeId>,
            /// The new owner.
            after: NodeId,
        },
        /// An operator told a node to drain or to serve again.
        Drain {
            /// The node.
            node: NodeId,
            /// Whether the node is to drain.
            drain: bool,
        },
    }

    /// An audit record before it gets its sequence number.
    pub struct AuditDraft {
        /// Unique id; identifies a record that may have been written already.
        pub id: SmolStr,
        /// Time in milliseconds since the Unix epoch, by the clock of the reporting node.
        pub time: u64,
        /// Operator who acted, or the node that acted on its own.
        pub person: SmolStr,
        /// Partner of the operator; `None` when a node acted.
        pub partner: Option<PartnerId>,
        /// Node and address that the action came through.
        pub origin: SmolStr,
        /// Service of the catalogue entry that the action concerns.
        pub service: Option<ServiceId>,
        /// Reason stated by the operator or the node.
        pub reason: String,
        /// The action.
        pub action: AuditAction,
    }

    /// A stored record of the audit trail.
    pub struct AuditRecord {
        /// Sequence number, from 1, without gaps.
        pub sequence: u64,
        /// Contents of the record.
        #[serde(flatten)]
        pub draft: AuditDraft,
    }
}

impl AuditRecord {
    /// Returns the rows that store the record: one in sequence order, one for its person and one
    /// for its service. With the copies a query for one service or person reads one page instead
    /// of the whole trail.
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
