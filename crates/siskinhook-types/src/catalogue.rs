//! Catalogue entries.

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
        /// Class of work of statements that state none.
        #[serde(default)]
        pub class: Class,
        /// Limits of each server.
        #[serde(default)]
        pub limits: Limits,
        /// Maximum age in milliseconds of reads that state none; absent for read-your-writes.
        #[serde(default)]
        pub max_age: Option<u64>,
        /// Reference to the credentials of the targets; never the secret itself.
        pub credentials: SmolStr,
        /// Databases of the service.
        pub databases: IndexMap<DatabaseId, Database>,
    }

    /// Limits of each server of a service.
    #[serde(default, deny_unknown_fields)]
    pub struct Limits {
        /// Statements that a server runs at a time.
        pub slots: u32,
        /// Connections that a server accepts, control connections included.
        pub connections: u32,
        /// Requests waiting per server.
        pub queue: u32,
        /// Milliseconds after which a statement without a stated deadline is not started.
        pub deadline: u64,
    }

    /// A database with its group of servers.
    #[serde(deny_unknown_fields)]
    pub struct Database {
        /// Servers of the group.
        pub servers: Vec<Server>,
    }

    /// A database server.
    #[derive(Hash)]
    #[serde(deny_unknown_fields)]
    pub struct Server {
        /// Name of the server.
        pub name: ServerId,
        /// Zone it runs in.
        pub zone: Zone,
        /// Address as `ip:port`.
        pub address: SmolStr,
        /// Whether the server is leaving and gets no new work.
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
