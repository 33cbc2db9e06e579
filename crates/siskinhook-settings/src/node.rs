//! The settings of a node.

use indexmap::IndexMap;
use siskinhook_types::{CallerId, NodeId, Region, Zone, value_type};
use smol_str::SmolStr;

use crate::{
    Addresses, CatalogueSettings, Credential, Drain, Failover, Fleet, LogSettings, OperatorAccount,
    PlatformSettings, Requests, SecretSource,
};

value_type! {
    /// Settings of one node. Sections that are left out take their defaults.
    #[serde(deny_unknown_fields)]
    pub struct NodeSettings {
        /// Name of the node, unique in the fleet: the platform's name of its VM.
        pub name: NodeId,
        /// Region the node runs in.
        pub region: Region,
        /// Availability zone the node runs in.
        pub zone: Zone,
        /// Addresses the node listens on.
        pub addresses: Addresses,
        /// Platform services.
        pub platform: PlatformSettings,
        /// Addresses to dial instead of those in catalogue and fleet, for relays and address
        /// translation: stated `ip:port` to dialled `ip:port`.
        #[serde(default)]
        pub dial: IndexMap<SmolStr, SmolStr>,
        /// Whether secrets may stand in the text; for demonstrations on loopback addresses only.
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
        /// Monitoring and promotion of database groups.
        #[serde(default)]
        pub failover: Failover,
        /// Membership and gossip.
        #[serde(default)]
        pub fleet: Fleet,
        /// Catalogue propagation.
        #[serde(default)]
        pub catalogue: CatalogueSettings,
        /// Requests of callers.
        #[serde(default)]
        pub requests: Requests,
        /// Shutdown of the node.
        #[serde(default)]
        pub drain: Drain,
        /// Log output.
        #[serde(default)]
        pub log: LogSettings,
    }
}
