//! Settings, inputs and outputs of the group watch.

use std::time::Duration;

use siskinhook_types::{Control, DatabaseId, LogPoint, NodeId, Role, ServerId, Term};

/// Settings of group monitoring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// Time between two polls of a server.
    pub poll_interval: Duration,
    /// Time between two polls while no answer is missing and no request was noted for this long.
    pub idle_interval: Duration,
    /// Time between two polls while the primary is silent.
    pub urgent_interval: Duration,
    /// Least time between two polls that reads ask for.
    pub min_spacing: Duration,
    /// Time without an answer after which the primary is held to be dead, before widening.
    pub failure_timeout: Duration,
    /// Time that the primary gets to answer the probe right before fencing.
    pub recheck_timeout: Duration,
    /// Time that the platform's table gets to answer.
    pub lease_timeout: Duration,
    /// Delay of a promoter for each rank when the table does not answer.
    pub rank_delay: Duration,
    /// Time after which an unanswered command is sent again.
    pub command_retry: Duration,
    /// Time after which an unfinished failover is given up.
    pub failover_timeout: Duration,
    /// Time after which a server with a term that its group does not know is taken back by a
    /// new promotion.
    pub recovery_delay: Duration,
    /// Time after which a repair command is sent again.
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
            lease_timeout: Duration::from_millis(300),
            rank_delay: Duration::from_millis(400),
            command_retry: Duration::from_millis(250),
            failover_timeout: Duration::from_millis(1500),
            recovery_delay: Duration::from_secs(2),
            repair_retry: Duration::from_millis(500),
        }
    }
}

/// The group that is watched and the watcher's place among the watchers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupConfig {
    /// Database that the group serves.
    pub database: DatabaseId,
    /// Servers of the group.
    pub servers: Vec<ServerId>,
    /// Servers that are leaving: replaced as primary and not promoted.
    pub leaving: Vec<ServerId>,
    /// The node that watches.
    pub node: NodeId,
    /// Place of the node among the watchers, 0 first.
    pub rank: u32,
}

/// Answer of the platform's table to the claim of a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The row names this node and term.
    Granted,
    /// Another node claimed this or a higher term a moment ago.
    Held,
    /// No answer.
    Unavailable,
}

/// How long each phase of a completed failover took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverTrace {
    /// From the last answer of the old primary to the decision.
    pub detection: Duration,
    /// From the decision to the first fence command: table row, delay and last check.
    pub claim: Duration,
    /// From the first fence command to a fenced majority.
    pub fencing: Duration,
    /// From there to the new primary's answer.
    pub promotion: Duration,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Ask for the status; answer with `on_status` or `on_failure`.
    Probe {
        /// The server.
        server: ServerId,
        /// Whether to open a new connection for it, in place of the one in use.
        fresh_connection: bool,
    },
    /// Send a command; answer with `on_control`. Commands do not wait for probes.
    Control {
        /// The server.
        server: ServerId,
        /// The command.
        command: Control,
    },
    /// Write the row of the platform's table for the term; answer with `on_lease`.
    Lease {
        /// Term that the node wants to promote in.
        term: Term,
    },
    /// The primary is another one than before, or there is none.
    PrimaryChanged {
        /// The primary and its term.
        primary: Option<(ServerId, Term)>,
        /// Times of the phases when this node promoted it.
        trace: Option<FailoverTrace>,
    },
}

/// A server as the watch sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// The server.
    pub server: ServerId,
    /// Role and term, when it ever answered.
    pub role: Option<(Role, Term)>,
    /// Last known log point.
    pub last: LogPoint,
    /// Positions that it is behind the primary's last known point.
    pub lag: u64,
    /// Whether it answered within the detection timeout.
    pub reachable: bool,
    /// Mean time of a probe.
    pub trip: Duration,
}
