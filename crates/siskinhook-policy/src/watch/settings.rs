//! Settings, inputs and outputs of the group watch.

use std::time::Duration;

use siskinhook_types::{Control, DatabaseId, LogPoint, NodeId, Role, ServerId, Term};

/// Settings of group monitoring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// Time between two polls of a server.
    pub interval: Duration,
    /// Time between two polls while no answer is missing and no request was noted for this long.
    pub idle: Duration,
    /// Time between two polls while the primary is silent.
    pub urgent: Duration,
    /// Least time between two polls that reads ask for.
    pub spacing: Duration,
    /// Time without an answer after which the primary is held to be dead, before widening.
    pub timeout: Duration,
    /// Time that the primary gets to answer the probe right before fencing.
    pub check: Duration,
    /// Time that the platform's table gets to answer.
    pub lease: Duration,
    /// Delay of a promoter for each rank when the table does not answer.
    pub stagger: Duration,
    /// Time after which an unanswered command is sent again.
    pub command: Duration,
    /// Time after which an unfinished failover is given up.
    pub give_up: Duration,
    /// Time after which a server with a term that its group does not know is taken back by a
    /// new promotion.
    pub recover: Duration,
    /// Time after which a repair command is sent again.
    pub repair: Duration,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(250),
            idle: Duration::from_secs(1),
            urgent: Duration::from_millis(100),
            spacing: Duration::from_millis(2),
            timeout: Duration::from_millis(750),
            check: Duration::from_millis(150),
            lease: Duration::from_millis(300),
            stagger: Duration::from_millis(400),
            command: Duration::from_millis(250),
            give_up: Duration::from_millis(1500),
            recover: Duration::from_secs(2),
            repair: Duration::from_millis(500),
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
