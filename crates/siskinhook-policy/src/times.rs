//! Mean service times by statement fingerprint, in bounded memory.

use std::time::Duration;

use indexmap::IndexMap;

/// Weight of a new sample in an exponentially weighted moving mean.
const SAMPLE_WEIGHT: f64 = 0.125;

#[derive(Clone, Copy, Debug)]
struct MovingMean {
    secs: f64,
    count: u32,
}

/// Moving means of the observed service times, for a bounded number of fingerprints.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    means: IndexMap<u64, MovingMean>,
    capacity: usize,
    /// Index of the entry that was evicted last.
    eviction_index: usize,
    /// Mean service time of short work.
    short_secs: f64,
}

impl ServiceTimes {
    /// Samples needed before a fingerprint's mean classifies it, since a single slow run may be an
    /// outlier.
    const MIN_SAMPLES: u32 = 3;

    /// Creates an empty store for at most `capacity` fingerprints. `initial` is the mean assumed
    /// for short work until there are samples.
    #[must_use]
    pub fn new(capacity: usize, initial: Duration) -> Self {
        Self {
            means: IndexMap::new(),
            capacity: capacity.max(1),
            eviction_index: 0,
            short_secs: initial.as_secs_f64(),
        }
    }

    /// Adds a sample. `short` tells whether the statement was scheduled as short work.
    pub fn observe(&mut self, fingerprint: u64, time: Duration, short: bool) {
        let time = time.as_secs_f64();
        if let Some(entry) = self.means.get_mut(&fingerprint) {
            entry.secs += SAMPLE_WEIGHT * (time - entry.secs);
            entry.count = entry.count.saturating_add(1);
        } else {
            if self.means.len() >= self.capacity {
                self.eviction_index = (self.eviction_index + 1) % self.means.len();
                self.means.swap_remove_index(self.eviction_index);
            }
            let entry = MovingMean {
                secs: time,
                count: 1,
            };
            self.means.insert(fingerprint, entry);
        }
        if short {
            // Limits the weight of a single misclassified statement. Otherwise it could raise the
            // short mean so far that other long work would be classified as short.
            self.short_secs +=
                SAMPLE_WEIGHT / 2.0 * (time.min(self.short_secs * 8.0) - self.short_secs);
            self.short_secs = self.short_secs.max(1e-6);
        }
    }

    /// Returns the mean service time of a fingerprint, or that of short work when it is unknown.
    #[must_use]
    pub fn expected(&self, fingerprint: u64) -> Duration {
        let mean = self
            .means
            .get(&fingerprint)
            .map_or(self.short_secs, |m| m.secs);
        Duration::from_secs_f64(mean)
    }

    /// Returns whether a fingerprint has enough samples and a mean above `factor` times the mean of
    /// short work.
    #[must_use]
    pub fn is_long(&self, fingerprint: u64, factor: f64) -> bool {
        self.means
            .get(&fingerprint)
            .is_some_and(|m| m.count >= Self::MIN_SAMPLES && m.secs > factor * self.short_secs)
    }

    /// Returns the mean service time of short work.
    #[must_use]
    pub fn short_mean(&self) -> Duration {
        Duration::from_secs_f64(self.short_secs)
    }

    /// Returns the number of stored fingerprints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.means.len()
    }

    /// Returns whether no fingerprint is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.means.is_empty()
    }
}
