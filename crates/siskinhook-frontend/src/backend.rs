//! What the front end needs from the request path behind it.

use std::future::Future;

use siskinhook_types::{CallerId, DatabaseId, Failure, Part, RequestId, Statement, Token};

use crate::CallerOptions;

/// State of a session's transaction, as reported to the caller after each statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Active,
    /// A statement of the open transaction failed; only a rollback is accepted.
    Failed,
}

/// Opens sessions for callers.
pub trait Backend: Clone + Send + Sync + 'static {
    /// The session type.
    type Session: CallerSession;

    /// Opens a session on a database.
    ///
    /// # Errors
    /// Fails when the database is not in the catalogue or the caller may not use it.
    fn open(&self, database: DatabaseId, caller: CallerId) -> Result<Self::Session, Failure>;
}

/// A caller's session.
pub trait CallerSession: Send + 'static {
    /// The answer type.
    type Answer: Answer;

    /// Sets the options for the statements that follow.
    ///
    /// The next write or transaction consumes the idempotency key, the next statement takes
    /// the token over into the session.
    fn set_options(&mut self, options: &CallerOptions);

    /// Runs a statement.
    ///
    /// # Errors
    /// The failure with its verdict.
    fn execute(
        &mut self,
        statement: Statement,
    ) -> impl Future<Output = Result<Self::Answer, Failure>> + Send;

    /// Asks for parameter types and columns without running the statement.
    ///
    /// # Errors
    /// The failure with its verdict.
    fn describe(
        &mut self,
        statement: Statement,
    ) -> impl Future<Output = Result<Self::Answer, Failure>> + Send;

    /// Idempotency key that waits for the next write or transaction.
    fn request(&self) -> Option<RequestId>;

    /// State of the session's transaction.
    fn transaction(&self) -> TransactionState;

    /// Token of the session's last write.
    fn token(&self) -> Option<Token>;
}

/// An answer that arrives part by part.
pub trait Answer: Send + 'static {
    /// Waits for the next part; `None` after `Part::Done`.
    ///
    /// # Errors
    /// The failure with its verdict.
    fn next(&mut self) -> impl Future<Output = Result<Option<Part>, Failure>> + Send;
}
