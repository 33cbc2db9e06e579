//! Events that the engine emits about its own actions, for the audit trail.

use siskinhook_policy::FailoverTrace;
use siskinhook_types::{DatabaseId, NodeId, ServerId, Term};

/// An action of this node that is recorded in the audit trail.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// This node made a server primary.
    Promoted {
        /// Database of the group.
        database: DatabaseId,
        /// The new primary.
        server: ServerId,
        /// Term of the new primary.
        term: Term,
        /// Duration of each phase of the failover.
        trace: FailoverTrace,
    },
    /// This node requested the termination of the connections of a server's former owner.
    FormerOwnerDisconnected {
        /// The server that changed its owner.
        server: ServerId,
        /// The former owner.
        former_owner: NodeId,
    },
}
