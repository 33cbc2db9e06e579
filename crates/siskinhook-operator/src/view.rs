//! The view of a running node that the operator interface needs.

use std::sync::Arc;

use serde_json::Value;
use siskinhook_types::{
    Catalogue, DatabaseId, FleetView, MemberState, NodeId, Region, Revision, Zone, value_type,
};
use smol_str::SmolStr;

value_type! {
    /// Whether a node serves callers.
    #[serde(rename_all = "snake_case")]
    pub enum NodeState {
        /// The node serves callers.
        Ready,
        /// The node does not serve callers at the moment, for this reason.
        Waiting(String),
        /// The node finishes its work and leaves.
        Draining,
    }

    /// Status of a node.
    pub struct NodeStatus {
        /// Name of the node.
        pub name: NodeId,
        /// Region of the node.
        pub region: Region,
        /// Availability zone of the node.
        pub zone: Zone,
        /// Version of the running program.
        pub version: SmolStr,
        /// Whether the node serves callers.
        pub state: NodeState,
        /// Whether the node reaches less than half of the nodes that it knows.
        pub cut_off: bool,
        /// Milliseconds since the node last had contact with another node or the platform.
        pub heard: u64,
        /// Catalogue revision in force.
        pub revision: Revision,
    }

    /// Catalogue revision in force on a live node.
    pub struct NodeRevision {
        /// The node.
        pub node: NodeId,
        /// Revision in force; `None` when the node did not answer in time.
        pub revision: Option<Revision>,
    }

    /// Selects a report about the state of a node.
    #[serde(rename_all = "snake_case")]
    pub enum Report {
        /// Servers owned by the node with their queues, pools and learnt times.
        Node,
        /// A database's group as the node sees it: terms, roles, positions, owners.
        Database(DatabaseId),
        /// Sessions of callers on the node, of one database or of all databases.
        Sessions(Option<DatabaseId>),
    }

    /// A statement to explain: its route is determined, but it is not run.
    pub struct Explain {
        /// Database that the statement is for.
        pub database: DatabaseId,
        /// The statement.
        pub sql: String,
        /// Maximum age in milliseconds of a bounded-staleness read.
        pub max_age: Option<u64>,
        /// Causal token of an earlier write.
        pub token: Option<String>,
    }
}

/// A running node, as the operator interface sees it.
pub trait NodeView: Clone + Send + Sync + 'static {
    /// Returns the status of the node.
    fn status(&self) -> NodeStatus;

    /// Returns the members that the node knows.
    fn fleet(&self) -> FleetView;

    /// Returns the catalogue in force on the node.
    fn catalogue(&self) -> Arc<Catalogue>;

    /// Returns the revision in force on each live node.
    ///
    /// The default implementation returns the revisions last received through membership, which may
    /// be minutes old in a large fleet. A node that can ask the others directly should do so here.
    fn revisions(&self) -> impl Future<Output = Vec<NodeRevision>> + Send {
        let status = self.status();
        let revisions = self
            .fleet()
            .members
            .into_values()
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| NodeRevision {
                revision: Some(if member.name == status.name {
                    status.revision
                } else {
                    member.revision
                }),
                node: member.name,
            })
            .collect();
        async { revisions }
    }

    /// Returns a report, as an object or a list of objects.
    ///
    /// # Errors
    /// Fails when there is nothing by that name; the text states the remedy.
    fn report(&self, report: Report) -> impl Future<Output = Result<Value, String>> + Send;

    /// Tells a node, this one or another, to drain or to serve again.
    ///
    /// # Errors
    /// Fails when the node is not known or cannot be reached; the text states the remedy.
    fn drain(&self, node: &NodeId, drain: bool) -> impl Future<Output = Result<(), String>> + Send;

    /// Returns where a statement would be routed, and why.
    ///
    /// # Errors
    /// Fails when the statement cannot be routed; the text states the reason.
    fn explain(&self, question: Explain) -> impl Future<Output = Result<Value, String>> + Send;

    /// Called after this node accepted an edit, so that it can announce the new revision to the
    /// other nodes.
    fn on_edit_accepted(&self, revision: Revision);
}
