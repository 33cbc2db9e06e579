//! Catalogue entries: database services with their limits, databases and servers.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::{Class, DatabaseId, PartnerId, ServerId, ServiceId, Zone, value_type};

value_type! {
    /// A database service: its owner, class of work, limits and databases.
    #[serde(deny_unknown_fields)]
    pub struct Entry {
        /// Name of the service.
        pub name: ServiceId,
        /// Partner who owns the entry and may edit it.
        pub owner: PartnerId,
        /// Default class of work, for statements that specify none.
        #[serde(default)]
        pub class: Class,
        /// Limits that apply to each server of the service.
        #[serde(default)]
        pub limits: Limits,
        /// Default maximum staleness in milliseconds, for reads that specify none. `None` means
        /// read-your-writes consistency.
        #[serde(default)]
        pub max_age: Option<u64>,
        /// Name of the credentials for the targets in the node settings; never the secret itself.
        pub credentials: SmolStr,
        /// Databases of the service.
        pub databases: IndexMap<DatabaseId, Database>,
    }

    /// Limits of each server of a service.
    #[serde(default, deny_unknown_fields)]
    pub struct Limits {
        /// Maximum number of statements that run on a server at the same time.
        pub slots: u32,
        /// Maximum number of connections that a server accepts, including control connections.
        pub connections: u32,
        /// Maximum number of requests in the queue of a server.
        pub queue: u32,
        /// Default deadline in milliseconds, for statements that specify none. A statement is not
        /// started after its deadline.
        pub deadline: u64,
    }

    /// A database and the group of servers that replicate it.
    #[serde(deny_unknown_fields)]
    pub struct Database {
        /// Servers of the group.
        pub servers: Vec<Server>,
    }

    /// A database server.
    #[derive(Hash)]
    #[serde(deny_unknown_fields)]
    pub struct Server {
        /// Name of the server, unique in the catalogue.
        pub name: ServerId,
        /// Availability zone that the server runs in.
        pub zone: Zone,
        /// Address as `ip:port`.
        pub address: SmolStr,
        /// Whether the server is leaving its group and receives no new requests.
        #[serde(default)]
        pub leaving: bool,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 16,
            queue: 1024,
            deadline: 10_000,
        }
    }
}
