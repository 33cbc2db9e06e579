//! Queries of a group watch that routing uses.

use std::time::Instant;

use siskinhook_types::{Freshness, LogPoint, Role, ServerId, Term};

use super::{GroupWatch, ServerView};
use crate::{Anchor, FreshnessAnswer, required_point};

impl GroupWatch {
    /// Returns the known primary and its term: the primary with the highest term, unless a majority
    /// has a higher term.
    #[must_use]
    pub fn primary(&self) -> Option<(ServerId, Term)> {
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        let primaries = statuses.clone().filter(|s| s.role == Role::Primary);
        let primary = primaries.max_by_key(|s| s.term)?;
        let higher_terms = statuses.filter(|s| s.term > primary.term).count();
        (higher_terms < self.majority()).then(|| (primary.server.clone(), primary.term))
    }

    /// Returns the latest anchor.
    #[must_use]
    pub const fn anchor(&self) -> Option<Anchor> {
        self.anchor
    }

    /// Returns the state of every server in the group.
    #[must_use]
    pub fn servers(&self, now: Instant) -> Vec<ServerView> {
        let head = self.anchor.map(|a| a.point.position).unwrap_or_default();
        let view = |(server, seen): (&ServerId, &super::ServerState)| {
            let status = seen.status.as_ref();
            let last = status.map(|s| s.last).unwrap_or_default();
            ServerView {
                server: server.clone(),
                role: status.map(|s| (s.role, s.term)),
                last,
                lag: head.saturating_sub(last.position),
                reachable: seen
                    .last_answer
                    .is_some_and(|at| now < at + self.detection_timeout()),
                round_trip: seen.round_trip,
            }
        };
        self.servers.iter().map(view).collect()
    }

    /// Returns the log point that a read requires, or `Ok(None)` when it accepts data of any age.
    ///
    /// # Errors
    /// When the known anchor is too old, returns the earliest instant that a new anchor must cover.
    pub fn required_point(&self, freshness: &Freshness) -> Result<Option<LogPoint>, Instant> {
        required_point(freshness, self.anchor)
    }

    /// Checks whether a server whose log ends at `last` can serve a read.
    #[must_use]
    pub fn is_fresh(&self, last: LogPoint, freshness: &Freshness) -> FreshnessAnswer {
        FreshnessAnswer::evaluate(last, freshness, self.anchor)
    }
}
