//! What the engine tells about its own acts, for the audit trail.

use siskinhook_policy::FailoverTrace;
use siskinhook_types::{DatabaseId, NodeId, ServerId, Term};

/// An act of this node that operators find in the audit trail.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// This node made a server primary.
    Promoted {
        /// Database of the group.
        database: DatabaseId,
        /// The new primary.
        server: ServerId,
        /// Its term.
        term: Term,
        /// How long the phases took.
        trace: FailoverTrace,
    },
    /// This node had the connections of a server's former owner closed.
    FormerOwnerDisconnected {
        /// The server.
        server: ServerId,
        /// The former owner.
        former_owner: NodeId,
    },
}
