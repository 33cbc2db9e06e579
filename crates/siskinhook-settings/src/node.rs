//! The settings of a node.

use indexmap::IndexMap;
use siskinhook_types::{CallerId, NodeId, Region, Zone, value_type};
use smol_str::SmolStr;

use crate::{
    Addresses, CatalogueSettings, Credential, Drain, Failover, Fleet, LogSettings, OperatorAccount,
    PlatformSettings, Requests, SecretSource,
};

value_type! {
    /// Settings of a node. Sections that are left out have their default values.
    #[serde(deny_unknown_fields)]
    pub struct NodeSettings {
        /// Name of the node, unique in the fleet and equal to the platform's name of its VM.
        pub name: NodeId,
        /// Region the node runs in.
        pub region: Region,
        /// Availability zone the node runs in.
        pub zone: Zone,
        /// Addresses the node listens on.
        pub addresses: Addresses,
        /// Platform services, and the share of their capacity that the fleet may use.
        pub platform: PlatformSettings,
        /// Addresses to dial instead of those in the catalogue and the fleet, for relays and
        /// address translation. Maps the published `ip:port` to the `ip:port` to dial.
        #[serde(default)]
        pub dial: IndexMap<SmolStr, SmolStr>,
        /// Whether the settings may contain secrets in plain text; for demonstrations on loopback
        /// addresses only.
        #[serde(default)]
        pub demo: bool,
        /// Secret shared by all nodes of the fleet; authenticates links and control traffic.
        pub secret: SecretSource,
        /// Callers who may log in, with their passwords.
        pub callers: IndexMap<CallerId, SecretSource>,
        /// Credentials for targets, by the name that catalogue entries refer to.
        pub credentials: IndexMap<SmolStr, Credential>,
        /// Operators who may use the operator interface, by name.
        #[serde(default)]
        pub operators: IndexMap<SmolStr, OperatorAccount>,
        /// Monitoring and failover of database groups.
        #[serde(default)]
        pub failover: Failover,
        /// Membership and gossip.
        #[serde(default)]
        pub fleet: Fleet,
        /// Catalogue propagation.
        #[serde(default)]
        pub catalogue: CatalogueSettings,
        /// Connections and requests of callers.
        #[serde(default)]
        pub requests: Requests,
        /// Graceful shutdown of the node.
        #[serde(default)]
        pub drain: Drain,
        /// Log output.
        #[serde(default)]
        pub log: LogSettings,
    }
}
