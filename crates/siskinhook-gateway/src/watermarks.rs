//! Recent log watermarks of a group, which show whether a replica is fresh enough for a read.

use std::{collections::VecDeque, time::Duration};

use siskinhook_types::LogPoint;

use crate::BootInstant;

/// Watermarks kept per group. With `MIN_SPACING` they span more than the usual staleness bounds.
const MAX_WATERMARKS: usize = 64;
/// Minimum time between two kept watermarks, except for the latest one, which is always kept.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// A log watermark: the log up to `point` contains all writes acknowledged before `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// Time when the request was sent to the primary.
    pub at: BootInstant,
    /// End of the primary's log in its reply.
    pub point: LogPoint,
}

/// The watermarks of one group, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Watermarks {
    entries: VecDeque<Watermark>,
}

impl Watermarks {
    /// Adds a watermark. When the term rises, watermarks of older terms are dropped, because their
    /// positions may have been rolled back.
    pub fn add(&mut self, watermark: Watermark) {
        if let Some(last) = self.entries.back() {
            if watermark.point.term < last.point.term || watermark.at < last.at {
                return;
            }
            if watermark.point.term > last.point.term {
                self.entries.clear();
            }
        }
        let n = self.entries.len();
        if n >= 2 && self.entries[n - 1].at.elapsed_since(self.entries[n - 2].at) < MIN_SPACING {
            self.entries.pop_back();
        }
        if self.entries.len() >= MAX_WATERMARKS {
            self.entries.pop_front();
        }
        self.entries.push_back(watermark);
    }

    /// Returns the oldest watermark not older than `since`, since replicas are the most likely to
    /// have reached that one.
    #[must_use]
    pub fn oldest_since(&self, since: BootInstant) -> Option<Watermark> {
        self.entries
            .iter()
            .find(|watermark| watermark.at >= since)
            .copied()
    }
}
