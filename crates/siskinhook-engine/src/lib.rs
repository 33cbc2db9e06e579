//! The node's request path behind the front end: owners, server connections, forwarding, failover.
