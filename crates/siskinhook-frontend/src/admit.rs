//! Filter that bounds the statements in progress on this node.

use std::sync::Arc;

use siskinhook_types::{Failure, FailureKind, Part, Statement, sqlstate};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{Answer, CallerOptions, CallerSession, Filter, Reply, TransactionState};

/// Milliseconds after which a refused statement may be tried again.
const RETRY_AFTER: u64 = 100;

/// Refuses statements when too many are in progress.
#[derive(Clone, Debug)]
pub struct Admit<N> {
    permits: Arc<Semaphore>,
    next: N,
}

impl<N> Admit<N> {
    /// Creates the filter with the number of statements allowed at a time.
    pub fn new(active: usize, next: N) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(active)),
            next,
        }
    }
}

impl<S: CallerSession, N: Filter<S>> Filter<S> for Admit<N> {
    type Answer = Admitted<N::Answer>;

    async fn call(
        &self,
        session: &mut S,
        options: &mut CallerOptions,
        statement: Statement,
    ) -> Result<Reply<Self::Answer>, Failure> {
        let permit = match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => Some(permit),
            // A statement of an open transaction already holds a server connection; refusing
            // it would only keep that connection longer.
            Err(_) if session.transaction() != TransactionState::Idle => None,
            Err(_) => return Err(refusal()),
        };
        Ok(match self.next.call(session, options, statement).await? {
            Reply::Local(parts) => Reply::Local(parts),
            Reply::Streamed(answer) => Reply::Streamed(Admitted {
                answer,
                _permit: permit,
            }),
        })
    }
}

fn refusal() -> Failure {
    Failure {
        retry_after: Some(RETRY_AFTER),
        ..Failure::not_run(
            FailureKind::Overload,
            sqlstate::OVERLOAD,
            "the node has too many statements in progress; try again later or on another node",
        )
    }
}

/// An answer that counts as in progress until it is dropped.
#[derive(Debug)]
pub struct Admitted<A> {
    answer: A,
    _permit: Option<OwnedSemaphorePermit>,
}

impl<A: Answer> Answer for Admitted<A> {
    async fn next(&mut self) -> Result<Option<Part>, Failure> {
        self.answer.next().await
    }
}
