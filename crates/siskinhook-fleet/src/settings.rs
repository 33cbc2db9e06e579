//! Intervals and limits of the fleet.

use std::time::Duration;

/// Intervals and limits of membership and propagation.
///
/// The defaults keep the cost of a node flat up to the target of 620 nodes; see
/// `docs/CAPACITY.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Time between two probes of a node.
    pub probe_interval: Duration,
    /// Time after which a direct probe counts as unanswered. Covers the round trips of a new
    /// connection and a call between regions.
    pub probe_timeout: Duration,
    /// Time after which an indirect probe counts as unanswered: the way to the relay and the
    /// relay's own probe.
    pub relay_timeout: Duration,
    /// Nodes asked to probe indirectly.
    pub indirect_probes: usize,
    /// Time in which a suspect member can refute the suspicion. A longer gap in a node's own
    /// clock counts as a pause.
    pub suspicion_timeout: Duration,
    /// Nodes that news is pushed to at once.
    pub fan_out: usize,
    /// Delay before news of members is pushed, to collect several in one message.
    pub push_delay: Duration,
    /// Shortest time between two pushes. Limits the messages when many members change at once.
    pub push_interval: Duration,
    /// Rumours piggybacked on one probe or answer.
    pub probe_updates: usize,
    /// Rumours in one push.
    pub push_updates: usize,
    /// Transmissions of a rumour on probes and answers per node, times the binary logarithm of the fleet's size.
    pub retransmit_factor: u32,
    /// Time between two attempts to reach a dead or a listed but unknown node.
    pub reprobe_interval: Duration,
    /// Time between two such attempts while joining, and after a dead member came back.
    pub join_interval: Duration,
    /// Time without any answer after which a node whose list names others goes on alone.
    pub join_timeout: Duration,
    /// Time after which a dead member is forgotten although it is still listed.
    pub forget_listed: Duration,
    /// Time after which a dead member that is not listed is forgotten. Exceeds the lag of the
    /// platform's list.
    pub forget_unlisted: Duration,
    /// Mean time between two reads of the list of VMs, for up to 100 VMs. Longer lists are
    /// read less often, in proportion.
    pub list_interval: Duration,
    /// Mean time between two polls of the catalogue's revision in the platform's table.
    pub poll_interval: Duration,
    /// Longest backoff after a failed read of the platform. Delays are drawn evenly from zero
    /// up to it, so reads resume spread over this time after an outage.
    pub backoff_limit: Duration,
    /// Time that a push may take before a missing change is pulled.
    pub pull_delay: Duration,
    /// Time after which a pull of changes counts as failed. Leaves room for a second attempt
    /// within the 3 s in which a change has to be in force.
    pub pull_timeout: Duration,
    /// Time after which a push, a pull of a whole catalogue or a read of the platform counts
    /// as failed.
    pub call_timeout: Duration,
    /// Changes kept to answer pulls; older ones are answered with the whole catalogue.
    pub kept_changes: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(600),
            probe_timeout: Duration::from_millis(300),
            relay_timeout: Duration::from_millis(500),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_millis(1200),
            fan_out: 4,
            push_delay: Duration::from_millis(50),
            push_interval: Duration::from_millis(200),
            probe_updates: 8,
            push_updates: 64,
            retransmit_factor: 2,
            reprobe_interval: Duration::from_secs(30),
            join_interval: Duration::from_millis(500),
            join_timeout: Duration::from_secs(10),
            forget_listed: Duration::from_hours(24),
            forget_unlisted: Duration::from_mins(10),
            list_interval: Duration::from_mins(1),
            poll_interval: Duration::from_secs(10),
            backoff_limit: Duration::from_secs(10),
            pull_delay: Duration::from_millis(200),
            pull_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            kept_changes: 128,
        }
    }
}
