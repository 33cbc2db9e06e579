//! Settings of the engine and the identity of its node.

use std::time::Duration;

use siskinhook_types::{NodeId, Region, Zone};

/// Name and place of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the node, unique in the fleet.
    pub node: NodeId,
    /// Region it runs in.
    pub region: Region,
    /// Zone it runs in.
    pub zone: Zone,
}

/// Intervals and bounds of the request path; construct with `..Default::default()`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// Interval between two polls of a group's servers.
    pub poll_interval: Duration,
    /// Interval between two polls while no statement arrives for the group.
    pub idle_interval: Duration,
    /// Time without an answer after which a probe counts as unanswered, before widening by the
    /// observed round trips.
    pub probe_timeout: Duration,
    /// Delay per rank of a promoter that has no answer of the platform.
    pub rank_delay: Duration,
    /// Time the platform's table has to answer before the promoter proceeds without it.
    pub platform_timeout: Duration,
    /// Longest wait of a read for a replica to catch up before it is answered "not fresh".
    pub fresh_wait: Duration,
    /// Time to open a connection to a server.
    pub connect_timeout: Duration,
    /// Time to open a link to another node; links open in a few milliseconds, and another
    /// server may serve the request when a node cannot be reached.
    pub link_timeout: Duration,
    /// Time without a part of the answer after which a connection is probed.
    pub silence: Duration,
    /// Time after which a majority must have confirmed a write.
    pub confirm_timeout: Duration,
    /// Time for which a live holder of a server's lock may finish before it is terminated.
    pub handover_grace: Duration,
    /// Time after which an unused server connection above the minimum is closed.
    pub idle_timeout: Duration,
    /// Re-routes of one request after "not fresh", "not owner" or "not primary".
    pub max_reroutes: u32,
    /// Parts of one answer that wait for a slow reader.
    pub part_buffer: usize,
    /// Statement texts whose classification is kept.
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
