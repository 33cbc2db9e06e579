//! What the node knows from configuration and discovery.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use siskinhook_types::{DatabaseId, Role, ServerId, ServiceId, Zone};

/// How fresh the reads of a route must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Reads see every acknowledged write.
    Strong,
    /// Reads see every write that was acknowledged longer ago than the route's bound.
    Bounded,
    /// As `Bounded`; besides, a session sees its own writes.
    ReadYourWrites,
}

/// How statements for one database are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Database that callers name.
    pub database: DatabaseId,
    /// Service that holds it.
    pub service: ServiceId,
    /// Freshness of reads.
    pub consistency: Consistency,
    /// Largest age of the data that a read may see; zero for `Strong`.
    pub staleness: Duration,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Time within which a whole operation should be answered.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
}

/// A service of database servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Connections that each server accepts from all nodes together.
    pub connections: usize,
    /// Replicas that must hold a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by database.
    pub routes: HashMap<DatabaseId, Rc<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// Time after which an idle transaction may be rolled back; `None` for no limit.
    pub idle_limit: Option<Duration>,
}

/// A registered database server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Id of this run of the server; a later run may have the same id.
    pub id: ServerId,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Whether it announced that it will stop.
    pub draining: bool,
    /// Role as the server itself sees it.
    pub role: Role,
    /// Start of the process as a Unix time in milliseconds; 0 when not stated.
    pub started: u64,
}
