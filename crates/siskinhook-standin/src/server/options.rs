//! Sizes and speeds of a server.

use std::time::Duration;

/// Sizes and speeds of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOptions {
    /// Statements that run at a time.
    pub slots: usize,
    /// Connections of any kind that are accepted.
    pub connections: usize,
    /// Time to set up a connection.
    pub setup: Duration,
    /// Time that a statement takes in its slot, besides `work_ms`.
    pub service: Duration,
    /// Password of every user.
    pub password: String,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 16,
            setup: Duration::from_millis(12),
            service: Duration::from_micros(500),
            password: "siskinhook".into(),
        }
    }
}
