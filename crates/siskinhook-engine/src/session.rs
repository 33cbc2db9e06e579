//! A caller's session on its entry node.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use siskinhook_types::{
    CallerId, Class, DatabaseId, Failure, FailureKind, Kind, Links, Part, Platform, RequestId,
    SessionId, Statement, Targets, Token, sqlstate, value_type,
};
use tokio_util::sync::CancellationToken;

use crate::{
    Answer, Operation,
    clock::now,
    core::{Route, draining},
    engine::Inner,
    entry::{PinnedPath, StatementRunner},
};

value_type! {
    /// State of a session's transaction.
    #[derive(Copy, Default, Hash)]
    pub enum TransactionState {
        /// No transaction is open.
        #[default]
        Idle,
        /// A transaction is open.
        Active,
        /// The open transaction failed. Only `COMMIT` and `ROLLBACK` are accepted.
        Failed,
    }
}

/// Settings of a session, made by its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionOptions {
    /// Name of the session. An empty name is replaced by a generated one.
    pub session: SessionId,
    /// Class of work. Defaults to the class in the catalogue entry.
    pub class: Option<Class>,
    /// Maximum age of the data that reads may see. Defaults to the value in the catalogue entry.
    pub max_age: Option<Duration>,
    /// Idempotency key of the next write or transaction, which consumes it.
    pub request: Option<RequestId>,
    /// Whether statements may run more than once. By default, reads may and writes may not.
    pub repeatable: Option<bool>,
    /// Time after its arrival within which a statement must start.
    pub deadline: Option<Duration>,
    /// Token of an earlier write from this or another session. The next statement moves it into
    /// the session's state.
    pub token: Option<Token>,
}

/// State that a session shares with its answer in progress.
pub struct SessionState<T: Targets, L: Links> {
    pub transaction: TransactionState,
    pub pinned: Option<PinnedPath<T, L>>,
    pub token: Option<Token>,
    pub busy: bool,
}

pub type SharedState<T, L> = Arc<Mutex<SessionState<T, L>>>;

/// Locks the state of a session.
pub fn lock<T: Targets, L: Links>(
    shared: &SharedState<T, L>,
) -> std::sync::MutexGuard<'_, SessionState<T, L>> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Cancels the running statement of a session.
#[derive(Clone, Debug, Default)]
pub struct CancelHandle {
    running: Arc<Mutex<Option<CancellationToken>>>,
}

impl CancelHandle {
    /// Cancels the running statement, if there is one, by closing its link, after which the
    /// owner rolls it back. The statement fails with `MayHaveRun` if it had been sent.
    pub fn cancel(&self) {
        if let Some(token) = &*self.lock() {
            token.cancel();
        }
    }

    pub(crate) fn start_statement(&self) -> CancellationToken {
        let token = CancellationToken::new();
        *self.lock() = Some(token.clone());
        token
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<CancellationToken>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number of the next session without a name, to tell such sessions apart in logs.
static NEXT_UNNAMED: AtomicUsize = AtomicUsize::new(1);

/// A caller's session, which runs one statement at a time.
pub struct Session<T: Targets, L: Links, P: Platform> {
    engine: Arc<Inner<T, L, P>>,
    database: DatabaseId,
    caller: CallerId,
    options: SessionOptions,
    started: Instant,
    shared: SharedState<T, L>,
    cancel: CancelHandle,
}

impl<T: Targets, L: Links, P: Platform> Session<T, L, P> {
    pub(crate) fn new(
        engine: Arc<Inner<T, L, P>>,
        database: DatabaseId,
        caller: CallerId,
        mut options: SessionOptions,
    ) -> Self {
        if options.session.is_empty() {
            let number = NEXT_UNNAMED.fetch_add(1, Relaxed);
            options.session = format!("{}-{number}", engine.core.identity.node).into();
        }
        engine.core.sessions.send_modify(|n| *n += 1);
        Self {
            engine,
            database,
            caller,
            options,
            started: now(),
            shared: Arc::new(Mutex::new(SessionState {
                transaction: TransactionState::Idle,
                pinned: None,
                token: None,
                busy: false,
            })),
            cancel: CancelHandle::default(),
        }
    }

    /// Returns the settings of the session.
    #[must_use]
    pub const fn options(&self) -> &SessionOptions {
        &self.options
    }

    /// Returns the settings of the session for modification. Changes apply to the next statement.
    pub const fn options_mut(&mut self) -> &mut SessionOptions {
        &mut self.options
    }

    /// Returns the state of the session's transaction.
    #[must_use]
    pub fn transaction(&self) -> TransactionState {
        lock(&self.shared).transaction
    }

    /// Returns the token of the session's latest write, or the one that was passed to it.
    #[must_use]
    pub fn token(&self) -> Option<Token> {
        lock(&self.shared).token.clone()
    }

    /// Returns a handle that cancels the running statement, for use in another task.
    #[must_use]
    pub fn cancel_handle(&self) -> CancelHandle {
        self.cancel.clone()
    }

    /// Runs a statement.
    ///
    /// Returns when the first part of the answer has arrived, or, for a write, when the write is
    /// acknowledged or its rows exceed the buffer.
    ///
    /// # Errors
    /// Returns a failure whose verdict says whether the statement ran.
    pub async fn execute(&mut self, statement: Statement) -> Result<Answer<T, L, P>, Failure> {
        let result = self.dispatch(statement).await;
        if let Err(failure) = &result {
            self.engine.core.count_failure(failure);
        }
        result
    }

    /// Returns the parameter types and columns of a statement without running it.
    ///
    /// # Errors
    /// Fails like `execute`.
    pub async fn describe(&mut self, statement: Statement) -> Result<Answer<T, L, P>, Failure> {
        let route = self.begin_statement()?;
        let operation = self.engine.core.classifier.classify(&statement.sql);
        if self.transaction() != TransactionState::Idle {
            return self
                .run_in_transaction(&route, Kind::Describe, statement)
                .await;
        }
        self.check_not_draining()?;
        if operation == Operation::Unsupported {
            return Err(unsupported_statement(&statement));
        }
        let runner = self.runner(&route, Kind::Describe, statement);
        runner.run().await
    }

    async fn dispatch(&mut self, statement: Statement) -> Result<Answer<T, L, P>, Failure> {
        let route = self.begin_statement()?;
        let operation = self.engine.core.classifier.classify(&statement.sql);
        if operation == Operation::Unsupported {
            return Err(unsupported_statement(&statement));
        }
        if self.transaction() != TransactionState::Idle {
            let kind = match operation {
                Operation::Commit => Kind::Commit,
                Operation::Rollback => Kind::Rollback,
                _ => Kind::Inner,
            };
            return self.run_in_transaction(&route, kind, statement).await;
        }
        self.check_not_draining()?;
        let kind = match operation {
            Operation::Read => Kind::Read,
            Operation::Begin => Kind::Begin,
            Operation::BeginReadOnly => Kind::BeginReadOnly,
            Operation::Commit => return Ok(self.completed("COMMIT")),
            Operation::Rollback => return Ok(self.completed("ROLLBACK")),
            Operation::Write | Operation::Unsupported => Kind::Write,
        };
        self.runner(&route, kind, statement).run().await
    }

    async fn run_in_transaction(
        &mut self,
        route: &Arc<Route>,
        kind: Kind,
        statement: Statement,
    ) -> Result<Answer<T, L, P>, Failure> {
        let pinned = lock(&self.shared).pinned.take();
        let Some(pinned) = pinned else {
            if matches!(kind, Kind::Commit | Kind::Rollback) {
                lock(&self.shared).transaction = TransactionState::Idle;
                return Ok(self.completed("ROLLBACK"));
            }
            return Err(Failure::not_run(
                FailureKind::BadRequest,
                "25P02",
                "the transaction was lost and is rolled back; end it with ROLLBACK and repeat it",
            ));
        };
        let runner = self.runner(route, kind, statement);
        runner.run_pinned(pinned).await
    }

    /// Checks that the session is ready for a statement and takes over the token of its options.
    fn begin_statement(&mut self) -> Result<Arc<Route>, Failure> {
        let Some(route) = self.engine.core.route(&self.database) else {
            return Err(unknown_database(&self.database));
        };
        let mut shared = lock(&self.shared);
        if shared.busy {
            return Err(Failure::not_run(
                FailureKind::BadRequest,
                sqlstate::PROTOCOL,
                "the previous answer of the session is still open; read or drop it first",
            ));
        }
        if let Some(token) = self.options.token.take() {
            if token.database != self.database {
                return Err(Failure::not_run(
                    FailureKind::BadRequest,
                    sqlstate::INVALID_VALUE,
                    format!(
                        "token {token} belongs to database {:?}, the session to {:?}; \
                         pass a token of this database",
                        token.database, self.database
                    ),
                ));
            }
            shared.token = Some(token);
        }
        Ok(route)
    }

    fn check_not_draining(&self) -> Result<(), Failure> {
        if *self.engine.core.draining.borrow() {
            return Err(draining());
        }
        Ok(())
    }

    fn runner(
        &mut self,
        route: &Arc<Route>,
        kind: Kind,
        statement: Statement,
    ) -> StatementRunner<T, L, P> {
        let arrived = now();
        let deadline = self
            .options
            .deadline
            .unwrap_or(Duration::from_millis(route.limits.deadline));
        let id = match kind {
            Kind::Write | Kind::Begin => self.options.request.take(),
            _ => None,
        };
        StatementRunner {
            engine: self.engine.clone(),
            route: route.clone(),
            caller: self.caller.clone(),
            session: self.options.session.clone(),
            kind,
            statement,
            class: self.options.class.unwrap_or(route.class),
            max_age: self
                .options
                .max_age
                .or_else(|| route.max_age.map(Duration::from_millis)),
            session_start: self.started,
            deadline: arrived + deadline,
            id,
            repeatable: self.options.repeatable,
            shared: self.shared.clone(),
            cancel: self.cancel.start_statement(),
            _active: self.engine.core.track(),
        }
    }

    fn completed(&self, tag: &str) -> Answer<T, L, P> {
        let done = Part::Done {
            tag: tag.into(),
            point: None,
        };
        Answer::completed(self.engine.clone(), self.shared.clone(), done)
    }
}

impl<T: Targets, L: Links, P: Platform> Drop for Session<T, L, P> {
    fn drop(&mut self) {
        self.engine.core.sessions.send_modify(|n| *n -= 1);
    }
}

fn unsupported_statement(statement: &Statement) -> Failure {
    let keyword = statement.sql.split_whitespace().next().unwrap_or_default();
    Failure::not_run(
        FailureKind::BadRequest,
        sqlstate::NOT_SUPPORTED,
        format!(
            "{keyword} changes the state of a connection that callers share, or mixes transaction \
             control with other statements; use SET LOCAL in a transaction, or one statement \
             per request"
        ),
    )
}

pub fn unknown_database(database: &str) -> Failure {
    Failure::not_run(
        FailureKind::BadRequest,
        sqlstate::UNKNOWN_DATABASE,
        format!("database {database:?} is not in the catalogue; check the name or add an entry"),
    )
}
