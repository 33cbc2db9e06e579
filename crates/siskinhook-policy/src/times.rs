//! Service times learnt by statement fingerprint, in bounded memory.

use std::time::Duration;

use indexmap::IndexMap;

/// Weight of a new observation in a moving mean.
const WEIGHT: f64 = 0.125;

#[derive(Clone, Copy, Debug)]
struct Learnt {
    mean: f64,
    count: u32,
}

/// Moving means of observed service times.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    known: IndexMap<u64, Learnt>,
    capacity: usize,
    cursor: usize,
    short: f64,
}

impl ServiceTimes {
    /// Observations after which a fingerprint's mean is used to classify it; a single slow run
    /// may be an accident.
    const LEARNT: u32 = 3;

    /// Creates an empty store for `capacity` fingerprints; `initial` is the assumed mean of
    /// short work.
    #[must_use]
    pub fn new(capacity: usize, initial: Duration) -> Self {
        Self {
            known: IndexMap::new(),
            capacity: capacity.max(1),
            cursor: 0,
            short: initial.as_secs_f64(),
        }
    }

    /// Adds an observation; `short` tells whether it was scheduled as short work.
    pub fn observe(&mut self, fingerprint: u64, time: Duration, short: bool) {
        let time = time.as_secs_f64();
        if let Some(learnt) = self.known.get_mut(&fingerprint) {
            learnt.mean += WEIGHT * (time - learnt.mean);
            learnt.count = learnt.count.saturating_add(1);
        } else {
            if self.known.len() >= self.capacity {
                self.cursor = (self.cursor + 1) % self.known.len();
                self.known.swap_remove_index(self.cursor);
            }
            let learnt = Learnt {
                mean: time,
                count: 1,
            };
            self.known.insert(fingerprint, learnt);
        }
        if short {
            // A single misclassified statement must not raise the mean so far that other long
            // work passes for short.
            self.short += WEIGHT / 2.0 * (time.min(self.short * 8.0) - self.short);
            self.short = self.short.max(1e-6);
        }
    }

    /// Returns the expected service time of a fingerprint; the short mean when unknown.
    #[must_use]
    pub fn expected(&self, fingerprint: u64) -> Duration {
        let mean = self.known.get(&fingerprint).map_or(self.short, |l| l.mean);
        Duration::from_secs_f64(mean)
    }

    /// Returns whether the learnt mean of a fingerprint is over `factor` times the short mean.
    #[must_use]
    pub fn is_long(&self, fingerprint: u64, factor: f64) -> bool {
        self.known
            .get(&fingerprint)
            .is_some_and(|l| l.count >= Self::LEARNT && l.mean > factor * self.short)
    }

    /// Returns the mean service time of short work.
    #[must_use]
    pub fn short_mean(&self) -> Duration {
        Duration::from_secs_f64(self.short)
    }

    /// Returns the number of fingerprints known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no fingerprint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
