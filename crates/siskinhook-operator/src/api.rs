//! The JSON-RPC interface of a node for operators.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde_json::Value;
use siskinhook_catalogue::{Accepted, AuditQuery, AuditRecord, EntryView};
use siskinhook_types::{Catalogue, Entry, FleetView, NodeId, Revision, ServiceId, value_type};
use smol_str::SmolStr;

use crate::{Explain, NodeRevision, NodeStatus, Report};

/// JSON-RPC error codes of the interface.
pub mod codes {
    /// The request has no valid operator name and token.
    pub const UNAUTHENTICATED: i32 = -32_001;
    /// The platform cannot be read.
    pub const UNAVAILABLE: i32 = -32_002;
    /// The request was refused; the message states the remedy.
    pub const REFUSED: i32 = -32_003;
    /// An edit was not accepted, or its outcome is unknown; the data is the `EditError`.
    pub const EDIT: i32 = -32_004;
}

value_type! {
    /// A value as one node sees it, with the state of that node.
    pub struct NodeResponse<T> {
        /// Node that answered.
        pub node: NodeId,
        /// Whether the node is cut off from most of the fleet.
        pub cut_off: bool,
        /// Milliseconds since the node last had contact with another node or the platform.
        pub heard: u64,
        /// The value.
        pub value: T,
    }

    /// An edit as the operator's tool sends it; the node adds author and time.
    pub struct EditRequest {
        /// Idempotency key of the edit; an id is applied at most once.
        pub id: SmolStr,
        /// Service whose entry is edited.
        pub service: ServiceId,
        /// The new entry; `None` removes it.
        pub entry: Option<Entry>,
        /// Revision of the entry that the operator started from; 0 when there was no entry.
        pub base: Revision,
        /// Reason for the audit trail.
        pub reason: String,
        /// Whether the operator confirmed the dangerous effects.
        pub confirmed: bool,
    }

    /// A request to undo the change that made a revision.
    pub struct RevertRequest {
        /// Id of the new edit.
        pub id: SmolStr,
        /// Revision to undo.
        pub revision: Revision,
        /// Reason for the audit trail.
        pub reason: String,
        /// Whether the operator confirmed the dangerous effects.
        pub confirmed: bool,
    }
}

/// Methods `operator_status` and so on. Every request carries the header
/// `Authorization: Bearer NAME:TOKEN`.
#[rpc(client, server, namespace = "operator")]
pub trait OperatorApi {
    /// Returns the status of the node.
    #[method(name = "status", with_extensions)]
    async fn status(&self) -> RpcResult<NodeResponse<NodeStatus>>;

    /// Returns the members that the node knows.
    #[method(name = "fleet", with_extensions)]
    async fn fleet(&self) -> RpcResult<NodeResponse<FleetView>>;

    /// Returns the revision in force on each live node.
    #[method(name = "revisions", with_extensions)]
    async fn revisions(&self) -> RpcResult<NodeResponse<Vec<NodeRevision>>>;

    /// Returns the catalogue in force on the node.
    #[method(name = "catalogue", with_extensions)]
    async fn catalogue(&self) -> RpcResult<NodeResponse<Catalogue>>;

    /// Returns a report about the state of the node.
    #[method(name = "report", with_extensions)]
    async fn report(&self, report: Report) -> RpcResult<NodeResponse<Value>>;

    /// Returns where a statement would be routed, and why, without running it.
    #[method(name = "explain", with_extensions)]
    async fn explain(&self, question: Explain) -> RpcResult<NodeResponse<Value>>;

    /// Returns an entry and its revision from the platform, to base an edit on.
    #[method(name = "entry", with_extensions)]
    async fn entry(&self, service: ServiceId) -> RpcResult<Option<EntryView>>;

    /// Validates an edit and returns the effects that need a confirmation.
    #[method(name = "check", with_extensions)]
    async fn check(&self, edit: EditRequest) -> RpcResult<Vec<String>>;

    /// Accepts an edit.
    #[method(name = "edit", with_extensions)]
    async fn edit(&self, edit: EditRequest) -> RpcResult<Accepted>;

    /// Undoes the change that made a revision.
    #[method(name = "undo", with_extensions)]
    async fn undo(&self, request: RevertRequest) -> RpcResult<Accepted>;

    /// Returns the accepted edits of an entry, newest first.
    #[method(name = "history", with_extensions)]
    async fn history(&self, service: ServiceId, limit: usize) -> RpcResult<Vec<AuditRecord>>;

    /// Queries the audit trail.
    #[method(name = "audit", with_extensions)]
    async fn audit(&self, query: AuditQuery) -> RpcResult<Vec<AuditRecord>>;

    /// Tells a node to drain or to serve again.
    #[method(name = "drain", with_extensions)]
    async fn drain(&self, node: NodeId, drain: bool, reason: String) -> RpcResult<()>;
}
