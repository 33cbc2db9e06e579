//! The filter chain that handles the statements of callers.

use std::future::Future;

use siskinhook_types::{Failure, Part, Statement};

use crate::{Answer, CallerOptions, CallerSession};

/// A filter, which answers a statement itself or passes it to the next filter.
///
/// A chain is built by nesting the types of its filters, which avoids dynamic dispatch.
pub trait Filter<S: CallerSession>: Send + Sync + 'static {
    /// Type of the answers that arrive from an owner.
    type Answer: Answer;

    /// Handles a statement.
    ///
    /// # Errors
    /// Fails with a [`Failure`] that carries the verdict of the statement.
    fn call(
        &self,
        session: &mut S,
        options: &mut CallerOptions,
        statement: Statement,
    ) -> impl Future<Output = Result<Reply<Self::Answer>, Failure>> + Send;
}

/// Reply of a filter to a statement.
#[derive(Debug)]
pub enum Reply<A> {
    /// An answer that a filter of this node created. The parts are in reverse order, so that the
    /// next one can be popped.
    Local(Vec<Part>),
    /// An answer that arrives part by part from an owner.
    Streamed(A),
}

impl<A: Answer> Reply<A> {
    /// Creates a local reply from its parts in order.
    #[must_use]
    pub fn local(mut parts: Vec<Part>) -> Self {
        parts.reverse();
        Self::Local(parts)
    }

    /// Waits for the next part; `None` after the last one.
    ///
    /// # Errors
    /// Fails with a [`Failure`] that carries the verdict of the statement.
    pub async fn next(&mut self) -> Result<Option<Part>, Failure> {
        match self {
            Self::Local(parts) => Ok(parts.pop()),
            Self::Streamed(answer) => answer.next().await,
        }
    }
}
