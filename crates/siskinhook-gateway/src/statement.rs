//! Statements of callers and the answers to them.

use bytes::Bytes;
use siskinhook_types::LogPoint;
use smol_str::SmolStr;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: SmolStr,
        /// The value.
        value: SmolStr,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name in the session.
        name: SmolStr,
        /// The statement.
        shape: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name in the session.
        name: SmolStr,
        /// Arguments as sent.
        arguments: SmolStr,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name in the session.
        name: SmolStr,
    },
}

/// A prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether it writes.
    pub writes: bool,
    /// Its text.
    pub text: SmolStr,
}

/// A caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Id that the caller gave it.
    pub id: SmolStr,
    /// Text as the caller sent it.
    pub text: SmolStr,
    /// The text, parsed; `None` when it is not a known command.
    pub command: Option<Command>,
}

/// State of a session's transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum TransactionState {
    /// No transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that can only be rolled back.
    Failed,
}

/// Error that a caller receives. The variants up to `TooMany` promise that nothing of the
/// caller's attempt is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Refused because of load; it did not run.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// No server is fresh enough.
    Lagging,
    /// The server does not accept writes.
    ReadOnly,
    /// Too many connections.
    TooMany,
    /// It may have run.
    Unknown,
    /// The time limit of the statement passed; it may have run.
    Timeout,
    /// The server failed while running it.
    Failed,
    /// No route has the name of the database.
    NoDatabase,
    /// No statement is prepared under the name.
    NoStatement,
    /// The statement is not valid here.
    Malformed,
}

/// Answer to a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Rows in the server's encoding.
    pub rows: Vec<Bytes>,
    /// The server's signature, `None` when the node answered by itself; or the error with a text.
    pub result: Result<Option<SmolStr>, (Refusal, SmolStr)>,
    /// State of the transaction after the statement.
    pub state: TransactionState,
    /// End of the server's log.
    pub point: Option<LogPoint>,
}

impl Answer {
    /// An answer that the node gives by itself.
    #[must_use]
    pub const fn local(state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            result: Ok(None),
            state,
            point: None,
        }
    }

    /// An error.
    #[must_use]
    pub fn refused(refusal: Refusal, text: impl Into<SmolStr>, state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            result: Err((refusal, text.into())),
            state,
            point: None,
        }
    }
}
