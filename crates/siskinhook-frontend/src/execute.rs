//! The last filter of the chain, which runs statements on the session.

use siskinhook_types::{Failure, Statement};

use crate::{CallerOptions, CallerSession, Filter, Reply};

/// Runs a statement on the session with the options of the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Execute;

impl<S: CallerSession> Filter<S> for Execute {
    type Answer = S::Answer;

    async fn call(
        &self,
        session: &mut S,
        options: &mut CallerOptions,
        statement: Statement,
    ) -> Result<Reply<Self::Answer>, Failure> {
        session.set_options(options);
        let answer = session.execute(statement).await;
        // The session has stored the token. Passing it again would reset the session to a position
        // before its own later writes.
        options.token = None;
        options.request = session.request();
        answer.map(Reply::Streamed)
    }
}
