//! Settings of the engine, and the identity of its node.

use std::time::Duration;

use siskinhook_types::{NodeId, Region, Zone};

/// Name and location of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the node, unique in the fleet.
    pub node: NodeId,
    /// Region that the node runs in.
    pub region: Region,
    /// Availability zone that the node runs in.
    pub zone: Zone,
}

/// Intervals and limits of the request path. Construct it with `..Default::default()`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// Interval between polls of a group's servers.
    pub poll_interval: Duration,
    /// Interval between polls while no statements arrive for the group.
    pub idle_interval: Duration,
    /// Time after which a probe counts as unanswered. The observed round-trip times extend it.
    pub probe_timeout: Duration,
    /// Delay per rank before a node promotes a new primary without an answer of the platform.
    pub rank_delay: Duration,
    /// Timeout of the platform's table, after which a promotion proceeds without its answer.
    pub platform_timeout: Duration,
    /// Longest time that a read waits for a replica to catch up before it fails as "not fresh".
    pub fresh_wait: Duration,
    /// Timeout for opening a connection to a server.
    pub connect_timeout: Duration,
    /// Timeout for opening a link to another node. Links open within a few milliseconds, and
    /// another server may serve the request if a node is unreachable.
    pub link_timeout: Duration,
    /// Time without a part of an answer after which the server connection is probed.
    pub silence: Duration,
    /// Time within which a majority must confirm a write.
    pub confirm_timeout: Duration,
    /// Time that a live holder of a server's lock has to finish before its connections are
    /// terminated.
    pub handover_grace: Duration,
    /// Time after which an unused server connection above the minimum is closed.
    pub idle_timeout: Duration,
    /// Re-routes of one request, for example after "not fresh", "not owner" or "not primary",
    /// before all servers are tried again after a delay.
    pub max_reroutes: u32,
    /// Parts of an answer that are buffered for a slow reader.
    pub part_buffer: usize,
    /// Statement texts whose classification is cached.
    pub classifier_capacity: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(250),
            idle_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(750),
            rank_delay: Duration::from_millis(400),
            platform_timeout: Duration::from_millis(300),
            fresh_wait: Duration::from_millis(100),
            connect_timeout: Duration::from_secs(1),
            link_timeout: Duration::from_millis(250),
            silence: Duration::from_secs(1),
            confirm_timeout: Duration::from_secs(2),
            handover_grace: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            max_reroutes: 4,
            part_buffer: 32,
            classifier_capacity: 4096,
        }
    }
}
