//! Limits of the front end.

use std::time::Duration;

/// Limits of the front end of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontendSettings {
    /// Maximum number of open caller connections; further ones are refused with SQLSTATE 53300.
    pub max_connections: usize,
    /// Maximum number of statements in progress on this node; further ones are refused with
    /// SQLSTATE 53300.
    ///
    /// Each server queue has a limit of its own. This limit bounds the memory of the node that
    /// callers connect to when many servers are slow at the same time.
    pub max_statements: usize,
    /// Maximum size of a caller message in bytes; a larger message ends the connection.
    pub max_message: usize,
    /// Maximum time from accepting a connection to the end of authentication.
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
