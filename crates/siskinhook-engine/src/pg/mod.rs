//! Access to database servers over the `PostgreSQL` protocol.

mod session;
mod targets;

pub use targets::{Login, PgOptions, PgTargets};
