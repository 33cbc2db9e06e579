//! State report of a site, and its output as a table.

use std::fmt;

use indexmap::IndexMap;
use siskinhook_types::{Role, ServerId, ServerStatus, Zone, value_type};

use crate::{
    network::{Cut, Endpoint},
    platform::PlatformState,
};

value_type! {
    /// State report of a site.
    pub struct SiteState {
        /// Status of each server.
        pub servers: IndexMap<ServerId, ServerState>,
        /// State of the platform.
        pub platform: PlatformState,
        /// Cuts in force.
        pub cuts: Vec<Cut>,
        /// Nodes of the site.
        pub nodes: Vec<Endpoint>,
    }

    /// State of a server in a site.
    pub struct ServerState {
        /// Zone of the server.
        pub zone: Zone,
        /// Whether the process of the server has crashed.
        pub crashed: bool,
        /// Status that the server reports.
        pub status: ServerStatus,
    }
}

impl fmt::Display for SiteState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:<8} {:<8} {:>5} {:>8} {:<12} {:>7} {:>6} {:<8}",
            "server", "zone", "role", "term", "last", "follows", "contact", "conns", "holder"
        )?;
        for (name, server) in &self.servers {
            let status = &server.status;
            let role = match (server.crashed, status.role) {
                (true, _) => "crashed",
                (false, Role::Primary) => "primary",
                (false, Role::Replica) => "replica",
            };
            writeln!(
                f,
                "{name:<12} {:<8} {role:<8} {:>5} {:>8} {:<12} {:>7} {:>6} {:<8}",
                server.zone,
                status.term,
                status.last.to_string(),
                status.primary.as_deref().unwrap_or("-"),
                status
                    .contact
                    .map_or_else(|| "-".into(), |age| format!("{age} ms")),
                status.connections,
                status.holder.as_deref().unwrap_or("-"),
            )?;
        }
        writeln!(f, "platform: {:?}", self.platform)?;
        write!(f, "cuts: {:?}", self.cuts)
    }
}
