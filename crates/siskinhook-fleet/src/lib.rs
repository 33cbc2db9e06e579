//! Membership, ownership of servers and propagation of catalogue revisions between nodes.
