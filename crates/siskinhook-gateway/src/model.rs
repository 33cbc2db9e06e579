//! Configuration of the node and the servers found by discovery.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use siskinhook_types::{DatabaseId, Role, ServerId, ServiceId, Zone};

/// How fresh the reads of a route must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Reads see every acknowledged write.
    Strong,
    /// Reads may miss writes acknowledged within the route's staleness bound.
    Bounded,
    /// Like `Bounded`, but a session always sees its own writes.
    ReadYourWrites,
}

/// How statements for one database are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Database name that callers connect to.
    pub database: DatabaseId,
    /// Service that stores the database.
    pub service: ServiceId,
    /// Freshness that reads require.
    pub consistency: Consistency,
    /// Maximum age of the data that a read may see; zero for `Strong`.
    pub staleness: Duration,
    /// Time limit of one statement.
    pub timeout: Duration,
    /// Latency objective of a whole operation.
    pub objective: Duration,
    /// Priority of the statements; 0 is the most urgent.
    pub priority: u8,
}

/// A service of database servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Maximum number of connections that each server accepts from all nodes together.
    pub connections: usize,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version number; a configuration replaces those with a lower version.
    pub version: u64,
    /// Routes by database.
    pub routes: HashMap<DatabaseId, Rc<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// Time after which an idle transaction is rolled back; `None` for no limit.
    pub idle_limit: Option<Duration>,
}

/// A registered database server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Server id; a restarted server may have the same id.
    pub id: ServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address where the server accepts connections.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Whether the server announced that it will stop.
    pub draining: bool,
    /// Role that the server reports.
    pub role: Role,
    /// Start of the server process as Unix time in milliseconds; 0 if unknown.
    pub started: u64,
    /// Number of the report, counted from the start of the server process.
    pub sequence: u64,
}
