//! Membership, ownership of servers and propagation of catalogue revisions between nodes.

mod ownership;

pub use ownership::{OwnerCache, owner, owners, owns};
