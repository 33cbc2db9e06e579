//! Connections to database servers.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use siskinhook_types::{LogPoint, Role, ServerId, ServiceId, Term};
use smol_str::SmolStr;

use crate::TransactionState;

/// One request on a connection to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerOp<'a> {
    /// Opens a transaction. A transaction that may write is refused by a server that does not lead.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// Position that the server's log must hold.
        after: Option<LogPoint>,
    },
    /// Rolls back.
    Rollback,
    /// Clears session values and prepared statements.
    Reset,
    /// Sets a session value.
    Set {
        /// Name.
        name: &'a str,
        /// Value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// Name on this connection.
        name: &'a str,
        /// Whether it writes.
        writes: bool,
        /// Text.
        text: &'a str,
    },
    /// A caller's own statement.
    Forward {
        /// The caller's id.
        id: &'a str,
        /// Position that the server's log must hold.
        after: Option<LogPoint>,
        /// Text.
        text: &'a str,
    },
    /// Runs a prepared statement for a caller.
    Execute {
        /// The caller's id.
        id: &'a str,
        /// Position that the server's log must hold.
        after: Option<LogPoint>,
        /// Name on this connection.
        name: &'a str,
        /// Arguments as the caller sent them.
        arguments: &'a str,
    },
    /// Stops a replica from receiving, under a term that is about to begin.
    Pause(Term),
    /// Makes a primary of a lower term a replica.
    Demote(Term),
}

/// Error code of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCode {
    /// Overloaded; it did not run.
    Busy,
    /// The log lacks the position; it did not run.
    Lagging,
    /// The server does not lead; it did not run.
    ReadOnly,
    /// No such prepared statement; it did not run.
    NoStatement,
    /// It ran and failed.
    Failed,
    /// It ran out of time.
    Timeout,
    /// The address belongs to another server; it did not run.
    Misrouted,
    /// Too many connections; it did not run.
    TooMany,
    /// The node that holds the server's connections cannot reach it; it did not run.
    Unreachable,
    /// Any other code.
    Other,
}

impl TargetCode {
    /// Whether the server states that the statement did not run.
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

/// A server's answer to one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReply {
    /// Rows.
    pub rows: Vec<Bytes>,
    /// Signature, or code and text of the error.
    pub result: Result<SmolStr, (TargetCode, SmolStr)>,
    /// State of the transaction on the connection.
    pub state: TransactionState,
    /// End of the server's log.
    pub point: Option<LogPoint>,
}

/// State that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// End of what it received.
    pub received: LogPoint,
    /// Term under which it was paused, 0 when it receives.
    pub paused_term: Term,
}

/// Why a connection cannot be used any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// It could not be opened: nobody answers at the address.
    Unreachable(String),
    /// The server refused the connection with a code.
    Refused(TargetCode),
    /// It broke.
    Closed(String),
    /// The server broke the protocol.
    Protocol(String),
}

impl std::fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "cannot connect: {reason}"),
            Self::Refused(code) => write!(f, "the server refused the connection: {code:?}"),
            Self::Closed(reason) => write!(f, "the connection broke: {reason}"),
            Self::Protocol(reason) => write!(f, "the server broke the protocol: {reason}"),
        }
    }
}

/// An open connection to a server. Requests may be pipelined; replies come in their order.
pub trait Connection: 'static {
    /// Appends a request to the output buffer.
    fn push(&mut self, step: &ServerOp<'_>);

    /// Sends the output buffer.
    ///
    /// # Errors
    /// The connection broke.
    fn flush(&mut self) -> impl Future<Output = Result<(), ConnectionError>>;

    /// Waits for the reply to the oldest request without one.
    ///
    /// # Errors
    /// The connection broke or the server broke the protocol.
    fn next(&mut self) -> impl Future<Output = Result<ServerReply, ConnectionError>>;

    /// Returns how many requests have no reply yet.
    fn outstanding(&self) -> usize;

    /// Returns whether an idle connection is still open, as far as the node can tell at once.
    fn is_open(&mut self) -> bool;
}

/// Opens connections to servers.
pub trait Dialer: 'static {
    /// The connection type.
    type Connection: Connection;

    /// Opens a connection.
    ///
    /// # Errors
    /// Nobody answers, or the server refuses.
    fn dial(
        &self,
        service: &ServiceId,
        server: &ServerId,
        address: SocketAddr,
    ) -> impl Future<Output = Result<Self::Connection, ConnectionError>>;

    /// Returns whether a node answers at an address.
    fn reaches(&self, address: SocketAddr) -> impl Future<Output = bool>;

    /// Reads the answer to a status command.
    fn status(&self, reply: &ServerReply) -> Option<GroupStatus>;
}
