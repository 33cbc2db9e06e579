//! The filter chain that each statement of a caller passes.

use std::future::Future;

use siskinhook_types::{Failure, Part, Statement};

use crate::{Answer, CallerOptions, CallerSession};

/// A filter: handles a statement itself or passes it to the next filter.
///
/// Chains are built by nesting types, so a statement passes them without dynamic dispatch.
pub trait Filter<S: CallerSession>: Send + Sync + 'static {
    /// Type of the streamed answers.
    type Answer: Answer;

    /// Handles a statement.
    ///
    /// # Errors
    /// The failure with its verdict.
    fn call(
        &self,
        session: &mut S,
        options: &mut CallerOptions,
        statement: Statement,
    ) -> impl Future<Output = Result<Reply<Self::Answer>, Failure>> + Send;
}

/// Reply of the chain.
#[derive(Debug)]
pub enum Reply<A> {
    /// An answer made by a filter of this node, in reverse order of its parts.
    Local(Vec<Part>),
    /// An answer that arrives from an owner.
    Streamed(A),
}

impl<A: Answer> Reply<A> {
    /// Creates a local reply from its parts.
    #[must_use]
    pub fn local(mut parts: Vec<Part>) -> Self {
        parts.reverse();
        Self::Local(parts)
    }

    /// Waits for the next part; `None` after the last one.
    ///
    /// # Errors
    /// The failure with its verdict.
    pub async fn next(&mut self) -> Result<Option<Part>, Failure> {
        match self {
            Self::Local(parts) => Ok(parts.pop()),
            Self::Streamed(answer) => answer.next().await,
        }
    }
}
