//! Transport-independent interface for calls between nodes.

use std::{fmt, future::Future};

use crate::PeerMessage;

/// Error of a call to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    /// Address of the node.
    pub address: String,
    /// Cause of the failure.
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
    /// Sends a request and waits for its answer. There is no timeout; the calling code sets one.
    ///
    /// # Errors
    /// Fails when the node cannot be reached or rejects the request.
    fn call(
        &self,
        address: &str,
        message: PeerMessage,
    ) -> impl Future<Output = Result<PeerMessage, PeerError>> + Send;
}
