//! Filter that limits the number of statements in progress on this node.

use std::sync::Arc;

use siskinhook_types::{Failure, FailureKind, Part, Statement, sqlstate};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{Answer, CallerOptions, CallerSession, Filter, Reply, TransactionState};

/// Retry hint sent with a refused statement, in milliseconds.
const RETRY_AFTER_MS: u64 = 100;

/// Refuses a statement when too many are in progress. Statements of an open transaction are always
/// accepted.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit<N> {
    permits: Arc<Semaphore>,
    next: N,
}

impl<N> ConcurrencyLimit<N> {
    /// Creates a filter that allows `max_statements` at a time and passes them to `next`.
    pub fn new(max_statements: usize, next: N) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(max_statements)),
            next,
        }
    }
}

impl<S: CallerSession, N: Filter<S>> Filter<S> for ConcurrencyLimit<N> {
    type Answer = LimitedAnswer<N::Answer>;

    async fn call(
        &self,
        session: &mut S,
        options: &mut CallerOptions,
        statement: Statement,
    ) -> Result<Reply<Self::Answer>, Failure> {
        let permit = match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => Some(permit),
            // An open transaction already holds a server connection. Refusing its statement would
            // only make it hold the connection for longer.
            Err(_) if session.transaction() != TransactionState::Idle => None,
            Err(_) => return Err(overload_failure()),
        };
        Ok(match self.next.call(session, options, statement).await? {
            Reply::Local(parts) => Reply::Local(parts),
            Reply::Streamed(answer) => Reply::Streamed(LimitedAnswer {
                answer,
                _permit: permit,
            }),
        })
    }
}

fn overload_failure() -> Failure {
    Failure {
        retry_after: Some(RETRY_AFTER_MS),
        ..Failure::not_run(
            FailureKind::Overload,
            sqlstate::OVERLOAD,
            "the node has too many statements in progress; try again later or on another node",
        )
    }
}

/// An answer that holds its permit until it is dropped.
#[derive(Debug)]
pub struct LimitedAnswer<A> {
    answer: A,
    _permit: Option<OwnedSemaphorePermit>,
}

impl<A: Answer> Answer for LimitedAnswer<A> {
    async fn next(&mut self) -> Result<Option<Part>, Failure> {
        self.answer.next().await
    }
}
