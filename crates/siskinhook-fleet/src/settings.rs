//! Timing and limits of membership and propagation.

use std::time::Duration;

/// Intervals and limits of membership and propagation.
///
/// The defaults keep the cost per node constant up to the target of 620 nodes; see
/// `docs/CAPACITY.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Time between two probes that a node sends.
    pub probe_interval: Duration,
    /// Timeout of a direct probe. Covers the round trips of a new connection and a call between
    /// regions.
    pub probe_timeout: Duration,
    /// Timeout of an indirect probe. Covers the call to the relaying node and its own probe.
    pub relay_timeout: Duration,
    /// Number of nodes asked to probe a member that did not answer a direct probe.
    pub indirect_probes: usize,
    /// Time after which a suspect member that has not refuted the suspicion is declared dead. A
    /// longer gap between events in the local process counts as a pause.
    pub suspicion_timeout: Duration,
    /// Number of random nodes to which updates and changes are pushed.
    pub fan_out: usize,
    /// Delay before member updates are pushed, so that one message carries several.
    pub push_delay: Duration,
    /// Minimum time between two pushes of member updates. Limits the messages when many members
    /// change at once.
    pub push_interval: Duration,
    /// Maximum number of member updates on one probe or answer.
    pub probe_updates: usize,
    /// Maximum number of member updates in one push.
    pub push_updates: usize,
    /// Number of times that a node sends an update on probes and answers, per binary logarithm of
    /// the fleet's size.
    pub retransmit_factor: u32,
    /// Mean time between two attempts to reach a dead member or a listed VM that is not a member.
    pub reprobe_interval: Duration,
    /// Time between two such attempts while joining, and on average after a dead member came back.
    pub join_interval: Duration,
    /// Time without any answer after which a joining node starts alone, although the list or the
    /// seeds name other nodes.
    pub join_timeout: Duration,
    /// Time after which a dead member is removed although the platform still lists it.
    pub forget_listed: Duration,
    /// Time after which a dead member that the platform does not list is removed. Exceeds the
    /// delay with which the platform updates its list.
    pub forget_unlisted: Duration,
    /// Mean time between two reads of the list of VMs, for up to 100 VMs. Longer lists are read
    /// proportionally less often.
    pub list_interval: Duration,
    /// Mean time between two polls of the catalogue's revision in the platform's table.
    pub poll_interval: Duration,
    /// Maximum backoff after failed reads of the platform. The delay is uniformly random between
    /// zero and the current backoff, so the reads of all nodes spread over this time after an
    /// outage.
    pub backoff_limit: Duration,
    /// Time to wait for a push before a missing change is pulled; also the initial backoff after a
    /// failed read of the catalogue.
    pub pull_delay: Duration,
    /// Timeout of a pull of changes. Allows a second attempt within the 3 s in which a change has
    /// to be in force everywhere.
    pub pull_timeout: Duration,
    /// Timeout of a push, a `Hello`, a pull of the whole catalogue or a read of the platform.
    pub call_timeout: Duration,
    /// Number of recent changes kept to answer pulls. Pulls from older revisions get the whole
    /// catalogue.
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
