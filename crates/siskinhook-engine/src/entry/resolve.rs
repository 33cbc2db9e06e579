//! Lookup of the outcome of requests that may have run, by request id.

use std::time::{Duration, Instant};

use siskinhook_types::{
    Failure, FailureKind, Kind, Links, Part, Platform, RequestId, Targets, Term, Verdict, sqlstate,
};

use super::StatementRunner;
use crate::{Answer, clock::now, counters::count, session::lock};

/// Interval between two lookups of a commit with an unknown outcome.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of lookups of a commit while the term of the primary stays the same.
const MAX_COMMIT_LOOKUPS: u32 = 5;

impl<T: Targets, L: Links, P: Platform> StatementRunner<T, L, P> {
    /// Looks up the outcome of a write at the current primary, in data no older than `since`.
    /// Returns the answer if the write ran.
    ///
    /// If no outcome is found, the write may be sent again: its outcome record has the same key
    /// as that of the first attempt, so at most one of them commits.
    pub async fn resolve(
        &self,
        id: &RequestId,
        since: Instant,
    ) -> Result<Option<Answer<T, L, P>>, Failure> {
        count(&self.engine.core.counters.lookups);
        let mut answer = match self.send_with_reroutes(Kind::Lookup, Some(since)).await {
            Ok(answer) => answer,
            Err(failure) => {
                log::debug!(target: "siskinhook::engine", event = 2020, request = id.as_str();
                    "failed to look up the outcome of a request: {failure}");
                return Err(outcome_unknown(id));
            }
        };
        let Some(Ok(Part::Done { tag, point })) = answer.next().await else {
            return Err(outcome_unknown(id));
        };
        if tag.is_empty() {
            return Ok(None);
        }
        count(&self.engine.core.counters.resolved);
        count(&self.engine.core.counters.writes);
        if let Some(point) = point {
            lock(&self.shared).token = Some(siskinhook_types::Token {
                database: self.route.database.clone(),
                point,
            });
        }
        let (engine, shared) = (self.engine.clone(), self.shared.clone());
        let done = Part::Done { tag, point };
        Ok(Some(Answer::completed(engine, shared, done)))
    }

    /// Determines whether a transaction that began in `term` was committed.
    ///
    /// If its id is not found in a higher term, the transaction can no longer commit, because the
    /// log of the old term is closed.
    pub async fn resolve_commit(
        &self,
        id: &RequestId,
        term: Option<Term>,
        failure: Failure,
    ) -> Result<Answer<T, L, P>, Failure> {
        for _ in 0..MAX_COMMIT_LOOKUPS {
            if let Some(answer) = self.resolve(id, now()).await? {
                return Ok(answer);
            }
            let group = self.engine.core.groups().get(&self.route.database).cloned();
            let known = group.and_then(|group| group.primary());
            let replaced = known
                .zip(term)
                .is_some_and(|((_, current), initial)| current > initial);
            if replaced {
                count(&self.engine.core.counters.resolved);
                return Err(Failure::not_run(
                    FailureKind::ConnectionLost,
                    sqlstate::CONNECTION_FAILURE,
                    "the primary was replaced before the transaction committed; repeat it",
                ));
            }
            if now() + LOOKUP_INTERVAL >= self.deadline {
                break;
            }
            tokio::time::sleep(LOOKUP_INTERVAL).await;
        }
        debug_assert_eq!(failure.verdict, Verdict::MayHaveRun);
        Err(failure)
    }
}

fn outcome_unknown(id: &RequestId) -> Failure {
    Failure::may_have_run(
        FailureKind::ConnectionLost,
        format!(
            "the connection was lost and the outcome of request {id:?} could not be looked up in \
             time; send the request again with the same id"
        ),
    )
}
