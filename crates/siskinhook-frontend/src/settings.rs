//! Settings of the front end.

use std::time::Duration;

/// Limits of the front end of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontendSettings {
    /// Caller connections; further ones are refused with SQLSTATE 53300.
    pub max_connections: usize,
    /// Statements in progress on this node; further ones are refused with SQLSTATE 53300.
    ///
    /// The queue of each server has its own limit. This one keeps the memory of an entry node
    /// bounded when many servers are slow at once.
    pub max_statements: usize,
    /// Largest message of a caller in bytes; a larger one ends the connection.
    pub max_message: usize,
    /// Time that a caller may take to authenticate.
    pub startup_timeout: Duration,
}

impl Default for FrontendSettings {
    fn default() -> Self {
        Self {
            max_connections: 4000,
            max_statements: 2000,
            max_message: 16 * 1024 * 1024,
            startup_timeout: Duration::from_secs(10),
        }
    }
}
