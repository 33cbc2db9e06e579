//! Whether a server's data is fresh enough for a read.

use std::time::Instant;

use siskinhook_types::{Freshness, LogPoint};

/// A timestamped commit watermark: every write acknowledged before `at` is covered by `point`.
///
/// `at` belongs to the clock of the node that made the anchor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// Start of the poll that made the anchor.
    pub at: Instant,
    /// Last log point of the primary in that poll.
    pub point: LogPoint,
}

/// Answer to whether a server can serve a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessAnswer {
    /// The data is fresh enough.
    Fresh,
    /// The data is fresh enough once the log covers the point.
    Wait(LogPoint),
    /// A newer anchor has to be made first.
    NeedAnchor,
}

/// Returns the log point that a read needs: `Ok(None)` when any data will do.
///
/// # Errors
/// Fails with the instant that an anchor has to reach when the known anchor is older.
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
    /// Decides for a server whose log ends at `last`.
    #[must_use]
    pub fn of(last: LogPoint, freshness: &Freshness, anchor: Option<Anchor>) -> Self {
        match required_point(freshness, anchor) {
            Ok(Some(point)) if !last.covers(point) => Self::Wait(point),
            Ok(_) => Self::Fresh,
            Err(_) => Self::NeedAnchor,
        }
    }
}
