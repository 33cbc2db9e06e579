//! Retry budget and backoff.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Settings of a node's retry budget and backoff.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries that each request adds to the budget.
    pub ratio: f64,
    /// Maximum number of retries that the budget can accumulate.
    pub burst: f64,
    /// Upper bound of the backoff before the first retry. It doubles with each attempt.
    pub base_backoff: Duration,
    /// Maximum upper bound of a backoff.
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
            base_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// Token bucket that limits retries to a fraction of the requests, so that they cannot prolong an
/// overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
    random: SmallRng,
}

impl RetryBudget {
    /// Creates a budget that holds `burst` retries. `seed` seeds the random backoff.
    #[must_use]
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            tokens: settings.burst,
            settings,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds the share of one request to the budget. Call it for first attempts only.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry from the budget and returns when to start it, or `None` when the budget is
    /// exhausted. `attempt` is 1 for the first retry.
    pub fn try_retry(&mut self, attempt: u32, now: Instant) -> Option<Instant> {
        if self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        let multiplier = 1_u32
            .checked_shl(attempt.saturating_sub(1))
            .unwrap_or(u32::MAX);
        let bound = self.settings.base_backoff.saturating_mul(multiplier);
        let bound = bound.min(self.settings.max_backoff);
        // Waits for at least half of the bound, so that a retry never starts immediately.
        Some(now + bound.mul_f64(self.random.random_range(0.5..=1.0)))
    }
}
