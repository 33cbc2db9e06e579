//! What the demo prints when it is ready.

use std::fmt;

use siskinhook_types::{DatabaseId, NodeId, Zone, value_type};
use smol_str::SmolStr;

value_type! {
    /// Addresses and credentials of a running demo.
    pub struct Summary {
        /// Nodes.
        pub nodes: Vec<NodeSummary>,
        /// Databases that callers can connect to.
        pub databases: Vec<DatabaseId>,
        /// User of the callers.
        pub user: SmolStr,
        /// Password of the callers.
        pub password: SmolStr,
        /// Address that takes the demo's faults, as `ip:port`.
        pub control: SmolStr,
        /// Operators, as `name` to `token`.
        pub operators: indexmap::IndexMap<SmolStr, SmolStr>,
    }

    /// Addresses of one node, each as `ip:port`.
    pub struct NodeSummary {
        /// Name.
        pub name: NodeId,
        /// Zone.
        pub zone: Zone,
        /// Where callers connect.
        pub address: SmolStr,
        /// Where operators connect.
        pub operator: SmolStr,
        /// Where metrics are scraped.
        pub metrics: SmolStr,
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "siskinhook demo is ready. Databases: {}.\n",
            self.databases.join(", ")
        )?;
        let database = self.databases.first().map_or("", SmolStr::as_str);
        for node in &self.nodes {
            writeln!(
                f,
                "  {:<4} {:<8} postgresql://{}:{}@{}/{database}",
                node.name, node.zone, self.user, self.password, node.address
            )?;
        }
        let first = self.nodes.first();
        let (operator, metrics) = first.map_or(("", ""), |node| {
            (node.operator.as_str(), node.metrics.as_str())
        });
        writeln!(f, "\nOperators (siskinctl --node {operator}):")?;
        for (name, token) in &self.operators {
            writeln!(f, "  SISKINCTL_OPERATOR={name} SISKINCTL_TOKEN={token}")?;
        }
        writeln!(f, "Metrics of the first node: http://{metrics}/metrics")?;
        writeln!(f, "Faults: siskinctl demo --control {} state", self.control)?;
        write!(f, "Ctrl-C shuts the demo down gracefully.")
    }
}
