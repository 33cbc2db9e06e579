//! Traits of the backend that runs the statements of callers.

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
    /// Type of the sessions.
    type Session: CallerSession;

    /// Opens a session on a database.
    ///
    /// # Errors
    /// Fails if the database is not in the catalogue or the caller may not use it.
    fn open(&self, database: DatabaseId, caller: CallerId) -> Result<Self::Session, Failure>;
}

/// Session of a caller, which runs its statements.
pub trait CallerSession: Send + 'static {
    /// Type of the answers.
    type Answer: Answer;

    /// Sets the options of the statements that follow.
    ///
    /// The next write or transaction consumes the idempotency key. The next statement moves the
    /// token into the session.
    fn set_options(&mut self, options: &CallerOptions);

    /// Runs a statement.
    ///
    /// # Errors
    /// Fails with a [`Failure`] that carries the verdict of the statement.
    fn execute(
        &mut self,
        statement: Statement,
    ) -> impl Future<Output = Result<Self::Answer, Failure>> + Send;

    /// Requests the parameter types and columns of a statement without running it.
    ///
    /// # Errors
    /// Fails with a [`Failure`] that carries the verdict of the statement.
    fn describe(
        &mut self,
        statement: Statement,
    ) -> impl Future<Output = Result<Self::Answer, Failure>> + Send;

    /// Returns the idempotency key that no write or transaction has used yet.
    fn request(&self) -> Option<RequestId>;

    /// Returns the state of the session's transaction.
    fn transaction(&self) -> TransactionState;

    /// Returns the causal token of the session's last write.
    fn token(&self) -> Option<Token>;
}

/// An answer that arrives part by part.
pub trait Answer: Send + 'static {
    /// Waits for the next part; `None` after `Part::Done`.
    ///
    /// # Errors
    /// Fails with a [`Failure`] that carries the verdict of the statement.
    fn next(&mut self) -> impl Future<Output = Result<Option<Part>, Failure>> + Send;
}
