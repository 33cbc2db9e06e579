//! Checks whether a server's data is fresh enough for a read.

use std::time::Instant;

use siskinhook_types::{Freshness, LogPoint};

/// A timestamped commit watermark: `point` covers every write acknowledged before `at`.
///
/// A read that must see all writes acknowledged before some instant waits for the log point of an
/// anchor that is at least as new. `at` is on the clock of the node that made the anchor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// Start of the poll that produced the anchor.
    pub at: Instant,
    /// Last log point that the primary reported in that poll.
    pub point: LogPoint,
}

/// Result of checking a server's log against the freshness that a read requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessAnswer {
    /// The server's data is fresh enough.
    Fresh,
    /// The server's data is fresh enough once its log covers this point.
    Wait(LogPoint),
    /// A newer anchor is needed before the read can be decided.
    NeedAnchor,
}

/// Returns the log point that a read requires, or `Ok(None)` when it accepts data of any age.
///
/// # Errors
/// When the known anchor is too old, returns the earliest instant that a new anchor must cover.
pub fn required_point(
    freshness: &Freshness,
    anchor: Option<Anchor>,
) -> Result<Option<LogPoint>, Instant> {
    let Some(since) = freshness.since else {
        return Ok(freshness.point);
    };
    let Some(anchor) = anchor.filter(|anchor| anchor.at >= since) else {
        return Err(since);
    };
    let point = freshness.point.unwrap_or_default();
    Ok(Some(LogPoint::new(
        anchor.point.term.max(point.term),
        anchor.point.position.max(point.position),
    )))
}

impl FreshnessAnswer {
    /// Checks a server whose log ends at `last`.
    #[must_use]
    pub fn evaluate(last: LogPoint, freshness: &Freshness, anchor: Option<Anchor>) -> Self {
        match required_point(freshness, anchor) {
            Ok(Some(point)) if !last.covers(point) => Self::Wait(point),
            Ok(_) => Self::Fresh,
            Err(_) => Self::NeedAnchor,
        }
    }
}
