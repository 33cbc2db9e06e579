//! The entry node's side of the request path: server selection, forwarding, retries, and lookup
//! of unknown outcomes.

mod budget;
mod resolve;
mod runner;
mod select;

use std::sync::Arc;

use siskinhook_types::{
    DatabaseId, Failure, FailureKind, Links, MemberState, NodeId, RequestId, ServerId, Targets,
    Term,
};

use crate::{
    core::{ActiveRequest, Core},
    path::Path,
};

pub use budget::Budget;
pub use runner::StatementRunner;
pub use select::ServerSelector;

/// A path to a server's owner on which a request or transaction is in progress.
pub struct PinnedPath<T: Targets, L: Links> {
    pub path: Path<T, L>,
    pub database: DatabaseId,
    pub server: ServerId,
    /// The owner, or `None` if it is this node.
    pub node: Option<NodeId>,
    /// Term of the primary when the transaction began.
    pub term: Option<Term>,
    /// Request id of the transaction, if the caller passed one.
    pub id: Option<RequestId>,
    /// Keeps an open transaction counted as in progress between its statements.
    pub _active: ActiveRequest<T>,
}

/// Waits until a node is dead or no longer a member of the fleet. Never returns for this node,
/// which `None` stands for.
pub async fn node_lost<T: Targets>(core: &Arc<Core<T>>, node: Option<NodeId>) -> Failure {
    let Some(node) = node else {
        return std::future::pending().await;
    };
    let mut changes = core.changes.subscribe();
    loop {
        let view = core.view();
        let member = view.fleet.members.get(&node);
        if member.is_none_or(|member| member.state == MemberState::Dead) {
            return Failure::may_have_run(
                FailureKind::ConnectionLost,
                format!("node {node}, which ran the statement, is gone"),
            );
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
