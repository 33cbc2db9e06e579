//! Recent proofs of how far a group's log had to reach at a time.

use std::{collections::VecDeque, time::Duration};

use siskinhook_types::LogPoint;

use crate::BootInstant;

/// Proofs kept per group. At the spacing below they cover more than any usual staleness bound.
const MAX_WATERMARKS: usize = 64;
/// Smallest time between two kept proofs; the latest one is always kept.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// A proof: all writes that were acknowledged before `at` are covered by `point`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// Time at which the question was sent to the primary.
    pub at: BootInstant,
    /// End of the primary's log in its answer.
    pub point: LogPoint,
}

/// The proofs of one group, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Watermarks {
    entries: VecDeque<Watermark>,
}

impl Watermarks {
    /// Adds a proof. Proofs of older terms are dropped when the term rises: their points may have
    /// been rolled back.
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

    /// Returns the oldest proof that is not older than `since`. Replicas are the most likely to
    /// have reached the oldest one.
    #[must_use]
    pub fn oldest_since(&self, since: BootInstant) -> Option<Watermark> {
        self.entries
            .iter()
            .find(|watermark| watermark.at >= since)
            .copied()
    }
}
