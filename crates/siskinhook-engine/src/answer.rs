//! The answer to a statement, read part by part.

use std::{collections::VecDeque, sync::Arc};

use siskinhook_types::{
    Failure, FailureKind, Kind, Links, Part, Platform, Targets, Token, sqlstate,
};
use tokio_util::sync::CancellationToken;

use crate::{
    TransactionState,
    counters::count,
    engine::Inner,
    entry::{PinnedPath, node_lost},
    session::{SharedState, lock},
};

/// The answer to a statement.
///
/// Parts are read from the owner on demand, so a large result is never buffered as a whole.
/// Dropping an unfinished answer closes its link; the owner rolls back and closes the server
/// connection.
pub struct Answer<T: Targets, L: Links, P: Platform> {
    engine: Arc<Inner<T, L, P>>,
    shared: SharedState<T, L>,
    kind: Kind,
    path: Option<PinnedPath<T, L>>,
    buffered: VecDeque<Result<Part, Failure>>,
    cancel: CancellationToken,
}

impl<T: Targets, L: Links, P: Platform> Answer<T, L, P> {
    /// Creates an answer that consists of its last part only.
    pub(crate) fn completed(
        engine: Arc<Inner<T, L, P>>,
        shared: SharedState<T, L>,
        done: Part,
    ) -> Self {
        Self {
            engine,
            shared,
            kind: Kind::Rollback,
            path: None,
            buffered: VecDeque::from([Ok(done)]),
            cancel: CancellationToken::new(),
        }
    }

    /// Creates an answer whose parts are still to be read from the owner.
    pub(crate) fn in_progress(
        engine: Arc<Inner<T, L, P>>,
        shared: SharedState<T, L>,
        kind: Kind,
        path: PinnedPath<T, L>,
        cancel: CancellationToken,
    ) -> Self {
        lock(&shared).busy = true;
        Self {
            engine,
            shared,
            kind,
            path: Some(path),
            buffered: VecDeque::new(),
            cancel,
        }
    }

    /// Returns the next part, or `None` after `Part::Done` or a failure.
    pub async fn next(&mut self) -> Option<Result<Part, Failure>> {
        if let Some(part) = self.buffered.pop_front() {
            return Some(part);
        }
        let result = self.receive().await?;
        if let Err(failure) = &result {
            self.engine.core.count_failure(failure);
        }
        Some(result)
    }

    /// Appends a part to the buffered ones, which are returned before new parts are read.
    pub(crate) fn push_part(&mut self, part: Part) {
        self.buffered.push_back(Ok(part));
    }

    /// Returns whether no more parts will arrive from the owner.
    pub(crate) const fn is_finished(&self) -> bool {
        self.path.is_none()
    }

    /// Reads the next part from the owner and updates the session's state after the last one.
    pub(crate) async fn receive(&mut self) -> Option<Result<Part, Failure>> {
        let path = self.path.as_mut()?;
        let result = tokio::select! {
            biased;
            () = self.cancel.cancelled() => Err(cancelled_failure(self.kind)),
            part = path.path.next() => part,
            failure = node_lost(&self.engine.core, path.node.clone()) => Err(failure),
        };
        match &result {
            Ok(Part::Done { tag, point }) => {
                let token = point.map(|point| Token {
                    database: path.database.clone(),
                    point,
                });
                self.finish(tag == "ROLLBACK", token);
            }
            Ok(_) => {}
            Err(failure) => self.fail(failure),
        }
        Some(result)
    }

    fn finish(&mut self, rolled_back: bool, token: Option<Token>) {
        let path = self.path.take();
        let counters = &self.engine.core.counters;
        let mut shared = lock(&self.shared);
        shared.busy = false;
        match self.kind {
            Kind::Begin | Kind::BeginReadOnly => {
                shared.transaction = TransactionState::Active;
                shared.pinned = path.map(|path| PinnedPath {
                    term: token.map(|token| token.point.term),
                    ..path
                });
            }
            Kind::Inner => {
                shared.transaction = TransactionState::Active;
                shared.pinned = path;
                count(&counters.inner_statements);
            }
            Kind::Describe if shared.transaction != TransactionState::Idle => {
                shared.pinned = path;
            }
            Kind::Commit | Kind::Rollback => {
                shared.transaction = TransactionState::Idle;
                if !rolled_back && let Some(token) = token {
                    shared.token = Some(token);
                    count(&counters.writes);
                }
            }
            Kind::Write => {
                count(&counters.writes);
                if let Some(token) = token {
                    shared.token = Some(token);
                }
            }
            Kind::Read | Kind::Describe | Kind::Lookup | Kind::Report => {}
        }
    }

    fn fail(&mut self, failure: &Failure) {
        let path = self.path.take();
        let mut shared = lock(&self.shared);
        shared.busy = false;
        match self.kind {
            Kind::Inner | Kind::Describe if shared.transaction != TransactionState::Idle => {
                shared.transaction = TransactionState::Failed;
                // Only an error that the target itself reported leaves the link usable.
                if failure.kind == FailureKind::Statement {
                    shared.pinned = path;
                }
            }
            Kind::Commit | Kind::Rollback => shared.transaction = TransactionState::Idle,
            _ => {}
        }
    }
}

impl<T: Targets, L: Links, P: Platform> Drop for Answer<T, L, P> {
    fn drop(&mut self) {
        if self.path.is_none() {
            return;
        }
        let mut shared = lock(&self.shared);
        shared.busy = false;
        if shared.transaction != TransactionState::Idle {
            shared.transaction = TransactionState::Failed;
        }
    }
}

/// Returns the failure of a statement that its caller cancelled after it was sent.
fn cancelled_failure(kind: Kind) -> Failure {
    let mut failure = Failure::may_have_run(
        FailureKind::Deadline,
        "the statement was cancelled after it had been sent",
    );
    if matches!(kind, Kind::Read | Kind::Describe | Kind::Inner) {
        failure.code = sqlstate::DEADLINE.into();
    }
    failure
}
