//! What a node tells operators about its request path.

use indexmap::IndexMap;
use serde::Serialize;
use siskinhook_types::{DatabaseId, LogPoint, NodeId, ServerId, Term};

use crate::CountersSnapshot;

/// State of a node's request path.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineReport {
    /// Name of the node.
    pub node: NodeId,
    /// Open sessions on this node.
    pub sessions: u64,
    /// Requests in progress on this node, as entry or owner.
    pub active: u64,
    /// Whether the node is draining.
    pub draining: bool,
    /// Databases by name.
    pub databases: IndexMap<DatabaseId, DatabaseReport>,
    /// Counters since the start of the node.
    pub counters: CountersSnapshot,
}

/// A database as this node sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DatabaseReport {
    /// The primary, if this node knows one.
    pub primary: Option<ServerId>,
    /// Term of the primary, if this node monitors the group.
    pub term: Option<Term>,
    /// Milliseconds since the poll that made the latest anchor, if this node monitors the group.
    pub anchor_age: Option<u64>,
    /// Servers by name.
    pub servers: IndexMap<ServerId, ServerReport>,
}

/// A server as this node sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServerReport {
    /// Owner, as membership of this node has it.
    pub owner: Option<NodeId>,
    /// Last log point seen, if this node monitors the group.
    pub point: Option<LogPoint>,
    /// Log positions behind the primary, if known.
    pub lag: Option<u64>,
    /// Requests waiting for a slot here, if this node is the owner.
    pub queue: Option<u64>,
    /// Open data connections, if this node is the owner.
    pub connections: Option<u64>,
    /// Whether this node holds the server's lock.
    pub locked: bool,
}
