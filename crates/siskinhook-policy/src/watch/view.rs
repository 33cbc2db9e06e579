//! What the watch knows, for routing.

use std::time::Instant;

use siskinhook_types::{Freshness, LogPoint, Role, ServerId, Term};

use super::{GroupWatch, ServerView};
use crate::{Anchor, FreshnessAnswer, required_point};

impl GroupWatch {
    /// Returns the primary and its term, as far as known: the primary with the highest term,
    /// unless a majority has a higher one.
    #[must_use]
    pub fn primary(&self) -> Option<(ServerId, Term)> {
        let statuses = self
            .servers
            .values()
            .filter_map(|seen| seen.status.as_ref());
        let primaries = statuses.clone().filter(|s| s.role == Role::Primary);
        let primary = primaries.max_by_key(|s| s.term)?;
        let above = statuses.filter(|s| s.term > primary.term).count();
        (above < self.majority()).then(|| (primary.server.clone(), primary.term))
    }

    /// Returns the newest anchor.
    #[must_use]
    pub const fn anchor(&self) -> Option<Anchor> {
        self.anchor
    }

    /// Returns the servers of the group.
    #[must_use]
    pub fn servers(&self, now: Instant) -> Vec<ServerView> {
        let head = self.anchor.map(|a| a.point.position).unwrap_or_default();
        let view = |(server, seen): (&ServerId, &super::Seen)| {
            let status = seen.status.as_ref();
            let last = status.map(|s| s.last).unwrap_or_default();
            ServerView {
                server: server.clone(),
                role: status.map(|s| (s.role, s.term)),
                last,
                lag: head.saturating_sub(last.position),
                reachable: seen
                    .heard
                    .is_some_and(|heard| now < heard + self.patience()),
                trip: seen.trip,
            }
        };
        self.servers.iter().map(view).collect()
    }

    /// Returns the log point that a read needs; `Ok(None)` when any data will do.
    ///
    /// # Errors
    /// Fails with the instant that an anchor has to reach first.
    pub fn required_point(&self, freshness: &Freshness) -> Result<Option<LogPoint>, Instant> {
        required_point(freshness, self.anchor)
    }

    /// Decides whether a server whose log ends at `last` can serve a read.
    #[must_use]
    pub fn is_fresh(&self, last: LogPoint, freshness: &Freshness) -> FreshnessAnswer {
        FreshnessAnswer::evaluate(last, freshness, self.anchor)
    }
}
