//! Calls between nodes.

use std::{fmt, future::Future};

use crate::PeerMessage;

/// Why a call to another node failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    /// Address of the node.
    pub address: String,
    /// Cause.
    pub reason: String,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the call to the node at {:?} failed: {}",
            self.address, self.reason
        )
    }
}

impl std::error::Error for PeerError {}

/// Calls other nodes.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Sends a request and waits for its answer. The caller limits the time.
    ///
    /// # Errors
    /// Fails when the node cannot be reached or rejects the request.
    fn call(
        &self,
        address: &str,
        message: PeerMessage,
    ) -> impl Future<Output = Result<PeerMessage, PeerError>> + Send;
}
