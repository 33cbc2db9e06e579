//! What the operator interface asks of a running node.

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
        /// It serves.
        Ready,
        /// It waits, for this reason.
        Waiting(String),
        /// It is leaving.
        Draining,
    }

    /// What a node reports about itself.
    pub struct NodeStatus {
        /// Name.
        pub name: NodeId,
        /// Region.
        pub region: Region,
        /// Zone.
        pub zone: Zone,
        /// Version of the program.
        pub version: SmolStr,
        /// State.
        pub state: NodeState,
        /// Whether it reaches less than half of the nodes that it knows.
        pub cut_off: bool,
        /// Milliseconds since it last heard from another node or the platform.
        pub heard: u64,
        /// Catalogue revision in force.
        pub revision: Revision,
    }

    /// Catalogue revision in force on a live node.
    pub struct NodeRevision {
        /// The node.
        pub node: NodeId,
        /// Revision; `None` when the node did not tell in time.
        pub revision: Option<Revision>,
    }

    /// A part of a node's state.
    #[serde(rename_all = "snake_case")]
    pub enum Report {
        /// Owned servers with their queues, pools and learnt times.
        Node,
        /// A database's group as the node sees it: terms, roles, positions, owners.
        Database(DatabaseId),
        /// Sessions of callers on the node, of one database or of all.
        Sessions(Option<DatabaseId>),
    }

    /// A statement whose route is asked for; it is not run.
    pub struct Explain {
        /// Database.
        pub database: DatabaseId,
        /// The statement.
        pub sql: String,
        /// Maximum age in milliseconds, for a bounded-staleness read.
        pub max_age: Option<u64>,
        /// Causal token of an earlier write.
        pub token: Option<String>,
    }
}

/// A running node, as the operator interface sees it.
pub trait NodeView: Clone + Send + Sync + 'static {
    /// Returns the status.
    fn status(&self) -> NodeStatus;

    /// Returns the members that the node knows.
    fn fleet(&self) -> FleetView;

    /// Returns the catalogue in force.
    fn catalogue(&self) -> Arc<Catalogue>;

    /// Returns the revision in force on each live node.
    ///
    /// The default takes what membership last heard, which is minutes old in a large fleet; a
    /// node that can ask the others directly does so here.
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

    /// Returns a part of the state, as an object or a list of objects.
    ///
    /// # Errors
    /// There is nothing by that name; the text states the remedy.
    fn report(&self, report: Report) -> impl Future<Output = Result<Value, String>> + Send;

    /// Tells a node, this one or another, to drain or to serve again.
    ///
    /// # Errors
    /// The node is not known or cannot be reached; the text states the remedy.
    fn drain(&self, node: &NodeId, drain: bool) -> impl Future<Output = Result<(), String>> + Send;

    /// Returns where a statement would go and why.
    ///
    /// # Errors
    /// The statement cannot be routed; the text states the reason.
    fn explain(&self, question: Explain) -> impl Future<Output = Result<Value, String>> + Send;

    /// Is called when this node accepted an edit, so that it spreads the revision.
    fn on_edit_accepted(&self, revision: Revision);
}
