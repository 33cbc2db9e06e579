//! Statements of callers and their answers.

use bytes::Bytes;
use siskinhook_types::LogPoint;
use smol_str::SmolStr;

/// A parsed statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A statement that only reads.
    Read,
    /// A statement that writes.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// Name in the session.
        name: Bytes,
        /// The statement.
        stmt: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name in the session.
        name: Bytes,
        /// Arguments as the caller sent them.
        arguments: Bytes,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name in the session.
        name: Bytes,
    },
}

/// A prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether the statement writes.
    pub writes: bool,
    /// Text of the statement.
    pub text: Bytes,
}

/// A caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Id that the caller gave the statement.
    pub id: SmolStr,
    /// Text as the caller sent it, in any encoding.
    pub text: Bytes,
    /// The parsed text; `None` if it is not a known command.
    pub command: Option<Command>,
}

/// State of a session's transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open that can only be rolled back.
    Failed,
}

/// Error that a caller receives. The variants up to `TooMany` guarantee that the statement or its
/// transaction had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The statement was refused because of load and did not run.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// No server is fresh enough.
    Lagging,
    /// The server does not accept writes.
    ReadOnly,
    /// Too many connections, or the session keeps too much.
    TooMany,
    /// The outcome is unknown: the statement may have run.
    Unknown,
    /// The statement exceeded its time limit; it may have run.
    Timeout,
    /// The server failed while it ran the statement.
    Failed,
    /// No route exists for the database.
    NoDatabase,
    /// No prepared statement has this name.
    NoStatement,
    /// The statement is invalid, or invalid in the current transaction state.
    Malformed,
}

/// Answer to a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Rows in the server's encoding.
    pub rows: Vec<Bytes>,
    /// The server's signature, `None` if the node answered by itself; or the error and its text.
    pub result: Result<Option<SmolStr>, (Refusal, Bytes)>,
    /// State of the transaction after the statement.
    pub state: TransactionState,
    /// End of the server's log.
    pub point: Option<LogPoint>,
}

impl Answer {
    /// Creates a successful answer that the node gives without a server.
    #[must_use]
    pub const fn local(state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            result: Ok(None),
            state,
            point: None,
        }
    }

    /// Creates an error answer.
    #[must_use]
    pub fn refused(refusal: Refusal, text: impl Into<Bytes>, state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            result: Err((refusal, text.into())),
            state,
            point: None,
        }
    }
}
