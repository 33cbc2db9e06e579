//! Settings, configuration and actions of the group watch.

use std::time::Duration;

use siskinhook_types::{Control, DatabaseId, LogPoint, NodeId, Role, ServerId, Term};

/// Settings of group monitoring and failover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// Time between two polls of a server while the group is in use.
    pub poll_interval: Duration,
    /// Time between two polls of an idle group, and the time without requests after which it is
    /// idle.
    pub idle_interval: Duration,
    /// Time between two polls while the primary is silent or missing, a failover is in progress or
    /// a newer anchor is requested.
    pub urgent_interval: Duration,
    /// Minimum time between two polls of a server while reads request newer anchors.
    pub min_spacing: Duration,
    /// Time without an answer after which the primary counts as failed. The watch adds the observed
    /// round-trip time.
    pub failure_timeout: Duration,
    /// Time that the primary gets to answer the last probe before fencing.
    pub recheck_timeout: Duration,
    /// Time without an answer after which a claim in the platform's table counts as unanswered.
    pub lease: Duration,
    /// Delay per rank of a promoter, so that promoters do not act at the same time.
    pub rank_delay: Duration,
    /// Time after which an unanswered fence or promote command is sent again.
    pub command_retry: Duration,
    /// Time after which fencing or promotion is abandoned if it has not finished.
    pub failover_timeout: Duration,
    /// Time after which a server whose term is higher than the primary's is brought back by a new
    /// promotion.
    pub recovery_delay: Duration,
    /// Minimum time between two repair commands to a server.
    pub repair_retry: Duration,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(250),
            idle_interval: Duration::from_secs(1),
            urgent_interval: Duration::from_millis(100),
            min_spacing: Duration::from_millis(2),
            failure_timeout: Duration::from_millis(750),
            recheck_timeout: Duration::from_millis(150),
            lease: Duration::from_millis(300),
            rank_delay: Duration::from_millis(400),
            command_retry: Duration::from_millis(250),
            failover_timeout: Duration::from_millis(1500),
            recovery_delay: Duration::from_secs(2),
            repair_retry: Duration::from_millis(500),
        }
    }
}

/// The watched group and the rank of this node among its watchers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupConfig {
    /// Database that the group serves.
    pub database: DatabaseId,
    /// Servers of the group.
    pub servers: Vec<ServerId>,
    /// Servers that are leaving the group. A leaving primary is replaced, and servers that
    /// stay are preferred for promotion.
    pub leaving: Vec<ServerId>,
    /// Node that runs the watch.
    pub node: NodeId,
    /// Rank of the node among the watchers; 0 acts first.
    pub rank: u32,
}

/// Answer of the platform's table to a node's claim of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The row names this node and term, so the node may promote.
    Granted,
    /// Another node has recently claimed this or a higher term.
    Held,
    /// The table did not answer.
    Unavailable,
}

/// How long each phase of a completed failover took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverTrace {
    /// From the last answer of the old primary to the decision to fail over.
    pub detection: Duration,
    /// From the decision to the first fence command: claim in the table, rank delay and last check.
    pub claim: Duration,
    /// From the first fence command to a fenced majority.
    pub fencing: Duration,
    /// From the fenced majority to the new primary's answer.
    pub promotion: Duration,
}

/// Action that the code driving the watch must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Request a server's status, then call `on_status` or `on_failure`.
    Probe {
        /// The server.
        server: ServerId,
        /// Whether to replace the connection in use by a new one first.
        fresh_connection: bool,
    },
    /// Send a command, then call `on_control`. Commands must not wait for probes.
    Control {
        /// The server.
        server: ServerId,
        /// The command.
        command: Control,
    },
    /// Claim the term in the platform's table, then call `on_lease`.
    Lease {
        /// Term in which the node wants to promote a server.
        term: Term,
    },
    /// The primary or its term has changed, or there is no longer a primary.
    PrimaryChanged {
        /// The primary and its term.
        primary: Option<(ServerId, Term)>,
        /// Durations of the failover phases, if this node promoted it.
        trace: Option<FailoverTrace>,
    },
}

/// State of a server as known to the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Server id.
    pub server: ServerId,
    /// Role and term, or `None` if the server has never answered.
    pub role: Option<(Role, Term)>,
    /// End of the server's log in its last status.
    pub last: LogPoint,
    /// Replication lag in log positions, relative to the latest anchor.
    pub lag: u64,
    /// Whether the server answered within the detection timeout.
    pub reachable: bool,
    /// Moving mean of the probe round-trip time.
    pub round_trip: Duration,
}
