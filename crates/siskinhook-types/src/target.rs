//! Database servers (targets): status, control commands and the connection traits.

use std::{fmt, future::Future};

use crate::{Failure, LogPoint, NodeId, Part, Server, ServerId, Statement, Term, value_type};

value_type! {
    /// Role of a server in its group.
    #[derive(Copy, Hash)]
    pub enum Role {
        /// Accepts writes in its term.
        Primary,
        /// Applies the log of a primary; read-only.
        Replica,
    }

    /// Status that a server reports about itself.
    pub struct ServerStatus {
        /// Name of the server.
        pub server: ServerId,
        /// Role of the server in its group.
        pub role: Role,
        /// Highest term at which the server was fenced or which it follows.
        pub term: Term,
        /// Node to which `term` was granted.
        pub promoter: Option<NodeId>,
        /// Log point of the last entry that is visible to reads on the server.
        pub last: LogPoint,
        /// Primary that the server follows; the server itself when it is the primary.
        pub primary: Option<ServerId>,
        /// Milliseconds since the last contact with the primary; 0 on the primary.
        pub contact: Option<u64>,
        /// Number of open connections of any kind.
        pub connections: u32,
        /// Number of statements that are running.
        pub running: u32,
        /// Ids of the connections with a statement in progress, from its receipt to its answer.
        #[serde(default)]
        pub active: Vec<u64>,
        /// Holder of the session lock `siskinhook-owner`.
        pub holder: Option<NodeId>,
    }

    /// A command to a server over a control connection.
    pub enum Control {
        /// Reports the status.
        Status,
        /// Reports the status once the log covers the point, or after the timeout.
        Wait {
            /// Point to wait for.
            point: LogPoint,
            /// Timeout in milliseconds.
            timeout: u64,
        },
        /// Raises the term on behalf of a promoter; a primary becomes a read-only replica.
        /// The term is granted when the status in the answer has this term and promoter.
        Fence {
            /// The new term.
            term: Term,
            /// The node that promotes.
            promoter: NodeId,
        },
        /// Makes the server primary in a term that was granted to the promoter.
        Promote {
            /// The granted term.
            term: Term,
            /// The node that promotes.
            promoter: NodeId,
        },
        /// Makes the server a replica of a primary.
        Follow {
            /// Term of the primary.
            term: Term,
            /// The primary.
            server: ServerId,
        },
        /// Acquires the session lock `siskinhook-owner` for this connection if it is free.
        /// The lock is acquired when the status in the answer names the node as holder.
        Lock {
            /// The node that acquires the lock.
            node: NodeId,
        },
        /// Closes all connections of a node, which frees its lock.
        Terminate {
            /// The node whose connections are closed.
            node: NodeId,
        },
    }

    /// Purpose of a connection to a server. Connections of either purpose count towards the
    /// connection limit of the server.
    #[derive(Copy, Hash)]
    pub enum Purpose {
        /// Control commands only.
        Control,
        /// Statements of callers.
        Data,
    }
}

impl fmt::Display for Control {
    /// Formats the command as the text that a target receives in a simple query.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status => f.write_str("SHOW GROUP STATUS"),
            Self::Wait { point, timeout } => write!(
                f,
                "SHOW GROUP STATUS WAIT FOR {} {} {timeout}",
                point.term, point.position
            ),
            Self::Fence { term, promoter } => write!(f, "GROUP FENCE {term} {promoter}"),
            Self::Promote { term, promoter } => write!(f, "GROUP PROMOTE {term} {promoter}"),
            Self::Follow { term, server } => write!(f, "GROUP FOLLOW {term} {server}"),
            Self::Lock { node } => write!(f, "OWNER LOCK {node}"),
            Self::Terminate { node } => write!(f, "OWNER TERMINATE {node}"),
        }
    }
}

impl Control {
    /// Parses a command as written by `Display`; `None` when the text is not a control command.
    #[must_use]
    pub fn parse(sql: &str) -> Option<Self> {
        let words: Vec<&str> = sql.trim_end_matches(';').split_whitespace().collect();
        Some(match *words.as_slice() {
            ["SHOW", "GROUP", "STATUS"] => Self::Status,
            [
                "SHOW",
                "GROUP",
                "STATUS",
                "WAIT",
                "FOR",
                term,
                position,
                timeout,
            ] => Self::Wait {
                point: LogPoint::new(term.parse().ok()?, position.parse().ok()?),
                timeout: timeout.parse().ok()?,
            },
            ["GROUP", "FENCE", term, promoter] => Self::Fence {
                term: term.parse().ok()?,
                promoter: promoter.into(),
            },
            ["GROUP", "PROMOTE", term, promoter] => Self::Promote {
                term: term.parse().ok()?,
                promoter: promoter.into(),
            },
            ["GROUP", "FOLLOW", term, server] => Self::Follow {
                term: term.parse().ok()?,
                server: server.into(),
            },
            ["OWNER", "LOCK", node] => Self::Lock { node: node.into() },
            ["OWNER", "TERMINATE", node] => Self::Terminate { node: node.into() },
            _ => return None,
        })
    }
}

/// An open connection to a server, which runs one statement or command at a time.
///
/// Dropping it closes the connection, which rolls back an open transaction.
pub trait TargetSession: Send + 'static {
    /// Returns the id of the connection on its server, as listed in `ServerStatus::active`;
    /// `None` when the server did not assign one.
    fn id(&self) -> Option<u64>;

    /// Sends a statement.
    ///
    /// # Errors
    /// Fails with `NotRun` when it is certain that nothing reached the server.
    fn start(&mut self, statement: &Statement) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Requests the parameter types and columns of a statement without running it. The answer
    /// consists of `Part::Parameters`, `Part::Columns` and `Part::Done`.
    ///
    /// # Errors
    /// Fails in the same cases as `start`.
    fn describe(
        &mut self,
        statement: &Statement,
    ) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Waits for the next part of the answer; `Part::Done` is the last one.
    ///
    /// # Errors
    /// Returns the target's error with `Ran`, or `MayHaveRun` when the connection broke after
    /// `start`.
    /// After an error with `Ran` the connection can be used again.
    fn next(&mut self) -> impl Future<Output = Result<Part, Failure>> + Send;

    /// Runs a control command. Every command returns the status of the server after it.
    ///
    /// # Errors
    /// Returns the target's error with `Ran`, or a failure when the connection broke.
    fn control(
        &mut self,
        command: &Control,
    ) -> impl Future<Output = Result<ServerStatus, Failure>> + Send;
}

/// Opens connections to servers.
pub trait Targets: Clone + Send + Sync + 'static {
    /// The connection type.
    type Session: TargetSession;

    /// Opens a connection to a server on behalf of this node.
    ///
    /// # Errors
    /// Fails with `NotRun`; kind `Overload` when the server's connection limit is reached.
    fn connect(
        &self,
        server: &Server,
        purpose: Purpose,
    ) -> impl Future<Output = Result<Self::Session, Failure>> + Send;
}
