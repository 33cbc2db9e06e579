//! Reports on the state of a node's request path, for operators.

use indexmap::IndexMap;
use serde::Serialize;
use siskinhook_types::{DatabaseId, LogPoint, NodeId, ServerId, Targets, Term};

use crate::{
    CountersSnapshot,
    clock::{millis, now},
    core::{Core, Route},
    group::Group,
};

/// State of a node's request path.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineReport {
    /// Name of the node.
    pub node: NodeId,
    /// Open sessions on this node.
    pub sessions: u64,
    /// Requests in progress on this node, as entry node or owner.
    pub active: u64,
    /// Whether the node is draining.
    pub draining: bool,
    /// Databases by name.
    pub databases: IndexMap<DatabaseId, DatabaseReport>,
    /// Counters since the start of the node.
    pub counters: CountersSnapshot,
}

/// State of a database as seen by this node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DatabaseReport {
    /// The primary, if known to this node.
    pub primary: Option<ServerId>,
    /// Term of the primary, if this node monitors the group.
    pub term: Option<Term>,
    /// Milliseconds since the poll that produced the latest anchor, if this node monitors the
    /// group. An anchor is a log position that covers every write acknowledged before its time.
    pub anchor_age: Option<u64>,
    /// Servers by name.
    pub servers: IndexMap<ServerId, ServerReport>,
}

/// State of a server as seen by this node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServerReport {
    /// The owner, according to this node's view of the fleet.
    pub owner: Option<NodeId>,
    /// Last log point seen, if this node monitors the group.
    pub point: Option<LogPoint>,
    /// Log positions by which the server is behind the primary, if known.
    pub lag: Option<u64>,
    /// Requests waiting for a slot here, if this node is the owner.
    pub queue: Option<u64>,
    /// Open data connections, if this node is the owner.
    pub connections: Option<u64>,
    /// Whether this node holds the server's lock.
    pub locked: bool,
}

/// Returns the state of a database's group as seen by this node.
pub fn report_database<T: Targets>(
    core: &Core<T>,
    route: &Route,
    primary: Option<ServerId>,
) -> DatabaseReport {
    let group = core.groups().get(&route.database).cloned();
    let monitored = group.as_ref().and_then(|group| group.primary());
    let anchor = group.as_ref().and_then(|group| group.anchor());
    let servers = route.servers.iter().map(|server| {
        let report = ServerReport {
            owner: core.owner_of(server),
            ..report_server(core, &server.name, group.as_deref())
        };
        (server.name.clone(), report)
    });
    DatabaseReport {
        primary: monitored
            .as_ref()
            .map(|(server, _)| server.clone())
            .or(primary),
        term: monitored.map(|(_, term)| term),
        anchor_age: anchor.map(|anchor| millis(now().saturating_duration_since(anchor.at))),
        servers: servers.collect(),
    }
}

fn report_server<T: Targets>(
    core: &Core<T>,
    server: &ServerId,
    group: Option<&Group<T>>,
) -> ServerReport {
    let owner = core.owners().get(server).cloned();
    let views = group.map(Group::views).unwrap_or_default();
    let view = views.iter().find(|view| view.server == *server);
    let polled = view.filter(|view| view.role.is_some());
    ServerReport {
        owner: None,
        point: polled.map(|view| view.last),
        lag: polled.map(|view| view.lag),
        queue: owner
            .as_ref()
            .map(|owner| u64::from(owner.slots.load().queued)),
        connections: owner.as_ref().map(|owner| owner.pool.open() as u64),
        locked: owner.is_some_and(|owner| owner.pool.is_allowed()),
    }
}
