//! Last filter: runs the statement on the session.

use siskinhook_types::{Failure, Statement};

use crate::{CallerOptions, CallerSession, Filter, Reply};

/// Runs statements on the session.
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
        // The session has taken the token over; passing it again would set the session back
        // behind its own later writes.
        options.token = None;
        options.request = session.request();
        answer.map(Reply::Streamed)
    }
}
