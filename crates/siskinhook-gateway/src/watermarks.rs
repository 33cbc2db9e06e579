//! Recent proofs of how far a group's log had to reach at a time.

use std::{collections::VecDeque, time::Duration};

use siskinhook_types::LogPoint;

use crate::BootInstant;

/// Proofs kept per group. At the spacing below they cover more than any usual staleness bound.
const KEPT: usize = 64;
/// Smallest time between two kept proofs; the latest one is always kept.
const SPACING: Duration = Duration::from_millis(50);

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
    kept: VecDeque<Watermark>,
}

impl Watermarks {
    /// Adds a proof. Proofs of older terms are dropped when the term rises: their points may have
    /// been rolled back.
    pub fn add(&mut self, mark: Watermark) {
        if let Some(last) = self.kept.back() {
            if mark.point.term < last.point.term || mark.at < last.at {
                return;
            }
            if mark.point.term > last.point.term {
                self.kept.clear();
            }
        }
        let n = self.kept.len();
        if n >= 2 && self.kept[n - 1].at.since(self.kept[n - 2].at) < SPACING {
            self.kept.pop_back();
        }
        if self.kept.len() >= KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(mark);
    }

    /// Returns the oldest proof that is not older than `since`. Replicas are the most likely to
    /// have reached the oldest one.
    #[must_use]
    pub fn oldest_since(&self, since: BootInstant) -> Option<Watermark> {
        self.kept.iter().find(|mark| mark.at >= since).copied()
    }
}
