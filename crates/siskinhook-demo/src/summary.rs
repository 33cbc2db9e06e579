//! Addresses and credentials that the demo prints when it is ready.

use std::fmt;

use siskinhook_types::{DatabaseId, NodeId, Zone, value_type};
use smol_str::SmolStr;

value_type! {
    /// Addresses and credentials of a running demo.
    pub struct Summary {
        /// Nodes of the site.
        pub nodes: Vec<NodeSummary>,
        /// Databases that callers can connect to.
        pub databases: Vec<DatabaseId>,
        /// User name with which callers log in.
        pub user: SmolStr,
        /// Password with which callers log in.
        pub password: SmolStr,
        /// Address of the control interface that injects faults, as `ip:port`.
        pub control: SmolStr,
        /// Tokens of the operators by name.
        pub operators: indexmap::IndexMap<SmolStr, SmolStr>,
    }

    /// Addresses of one node, each as `ip:port`.
    pub struct NodeSummary {
        /// Name of the node.
        pub name: NodeId,
        /// Availability zone of the node.
        pub zone: Zone,
        /// Address for callers.
        pub address: SmolStr,
        /// Address for operators.
        pub operator: SmolStr,
        /// Address that serves the metrics.
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
