//! Limits and timings of a server.

use std::time::Duration;

/// Limits and timings of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOptions {
    /// Maximum number of statements that run at a time.
    pub slots: usize,
    /// Maximum number of connections of any kind.
    pub connections: usize,
    /// Time that it takes to set up a connection.
    pub setup: Duration,
    /// Service time of a statement, without its `work_ms` calls.
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
