//! Traits for connections to database servers, with the requests and replies sent over them.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use siskinhook_types::{LogPoint, Role, ServerId, ServiceId, Term};
use smol_str::SmolStr;

use crate::TransactionState;

/// One request on a connection to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerOp<'a> {
    /// Opens a transaction. Only the primary accepts a transaction that may write.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// Log position that the server must have reached.
        after: Option<LogPoint>,
    },
    /// Rolls back the open transaction.
    Rollback,
    /// Clears session values and prepared statements.
    Reset,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: &'a [u8],
        /// The value.
        value: &'a [u8],
    },
    /// Prepares a statement.
    Prepare {
        /// Name of the prepared statement on this connection.
        name: &'a str,
        /// Whether the statement writes.
        writes: bool,
        /// Text of the statement.
        text: &'a [u8],
    },
    /// Forwards a caller's statement unchanged.
    Forward {
        /// Id that the caller gave the statement.
        id: &'a str,
        /// Log position that the server must have reached.
        after: Option<LogPoint>,
        /// Text of the statement.
        text: &'a [u8],
    },
    /// Runs a prepared statement for a caller.
    Execute {
        /// Id that the caller gave the statement.
        id: &'a str,
        /// Log position that the server must have reached.
        after: Option<LogPoint>,
        /// Name of the prepared statement on this connection.
        name: &'a str,
        /// Arguments as the caller sent them.
        arguments: &'a [u8],
    },
    /// Asks for the replication status.
    Status,
    /// Asks a relaying node for the end of the server's log. The node answers only if the log counts
    /// as evidence of commits, since it alone knows for how long the server's process has been running.
    Witness {
        /// Whether to ask for the received log instead of the applied one.
        received: bool,
    },
    /// Stops a replica from receiving the log, in preparation for the given term.
    Pause(Term),
    /// Demotes a primary of a lower term to a replica.
    Demote(Term),
}

/// Error code in a server's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCode {
    /// The server is overloaded; the statement did not run.
    Busy,
    /// The server's log has not reached the required position; the statement did not run.
    Lagging,
    /// The server is not the primary; the statement did not run.
    ReadOnly,
    /// The prepared statement does not exist; the statement did not run.
    NoStatement,
    /// The statement ran and failed.
    Failed,
    /// The statement exceeded its time limit.
    Timeout,
    /// The address belongs to another server; the statement did not run.
    Misrouted,
    /// The server has too many connections; the statement did not run.
    TooMany,
    /// The node that relays to the server cannot reach it; the statement did not run.
    Unreachable,
    /// Any other code.
    Other,
}

impl TargetCode {
    /// Whether the code guarantees that the statement did not run.
    #[must_use]
    pub const fn not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::NoStatement
                | Self::Misrouted
                | Self::TooMany
                | Self::Unreachable
        )
    }
}

/// A server's reply to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReply {
    /// Rows in the server's encoding.
    pub rows: Vec<Bytes>,
    /// Signature of the server, or the code and text of the error.
    pub result: Result<SmolStr, (TargetCode, Bytes)>,
    /// State of the transaction on the connection after the request.
    pub state: TransactionState,
    /// End of the server's log.
    pub point: Option<LogPoint>,
}

/// Replication status that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Role of the server.
    pub role: Role,
    /// Term of the server.
    pub term: Term,
    /// End of the log that the server has received.
    pub received: LogPoint,
    /// Term under which the replica is paused; 0 if it receives the log.
    pub paused_term: Term,
}

/// Error that makes a connection unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// Connecting to the address failed.
    Unreachable(String),
    /// The server refused the connection with an error code.
    Refused(TargetCode),
    /// The connection was closed.
    Closed(String),
    /// The server violated the protocol.
    Protocol(String),
}

impl std::fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "cannot connect: {reason}"),
            Self::Refused(code) => write!(f, "the server refused the connection: {code:?}"),
            Self::Closed(reason) => write!(f, "the connection broke: {reason}"),
            Self::Protocol(reason) => write!(f, "the server violated the protocol: {reason}"),
        }
    }
}

/// An open connection to a server. Requests may be pipelined; replies arrive in the same order.
pub trait Connection: 'static {
    /// Appends a request to the output buffer.
    fn push(&mut self, op: &ServerOp<'_>);

    /// Sends the output buffer.
    ///
    /// # Errors
    /// The connection broke.
    fn flush(&mut self) -> impl Future<Output = Result<(), ConnectionError>>;

    /// Waits for the reply to the oldest outstanding request.
    ///
    /// # Errors
    /// The connection broke or the server violated the protocol.
    fn next(&mut self) -> impl Future<Output = Result<ServerReply, ConnectionError>>;

    /// Returns the number of requests without a reply.
    fn outstanding(&self) -> usize;

    /// Whether an idle connection is still open, as far as can be told without waiting.
    fn is_open(&mut self) -> bool;
}

/// Opens connections to servers.
pub trait Dialer: 'static {
    /// Type of the connections.
    type Connection: Connection;

    /// Opens a connection to a server.
    ///
    /// # Errors
    /// The address does not respond, or the server refuses the connection.
    fn dial(
        &self,
        service: &ServiceId,
        server: &ServerId,
        address: SocketAddr,
    ) -> impl Future<Output = Result<Self::Connection, ConnectionError>>;

    /// Returns whether a node or server accepts connections at an address.
    fn reaches(&self, address: SocketAddr) -> impl Future<Output = bool>;

    /// Parses the reply to a pause or demote request; `None` if it holds no status.
    fn status(&self, reply: &ServerReply) -> Option<ReplicationStatus>;
}
