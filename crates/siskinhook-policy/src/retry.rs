//! Budget and pace of retries.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Settings of the retry budget of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries that each request pays for.
    pub ratio: f64,
    /// Most retries that can be saved up.
    pub burst: f64,
    /// Upper bound of the first backoff; doubles with each attempt.
    pub base: Duration,
    /// Largest upper bound of a backoff.
    pub limit: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
            base: Duration::from_millis(20),
            limit: Duration::from_secs(1),
        }
    }
}

/// Retry budget: retries stay below a share of the requests, so that they cannot prolong an
/// overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
    random: SmallRng,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            tokens: settings.burst,
            settings,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Counts a first attempt.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes a retry from the budget and returns when it starts; `None` when the budget is
    /// used up. `attempt` is 1 for the first retry.
    pub fn try_retry(&mut self, attempt: u32, now: Instant) -> Option<Instant> {
        if self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        let doubled = 1_u32
            .checked_shl(attempt.saturating_sub(1))
            .unwrap_or(u32::MAX);
        let bound = self.settings.base.saturating_mul(doubled);
        let bound = bound.min(self.settings.limit);
        // At least half of the bound, so that a retry never comes at once.
        Some(now + bound.mul_f64(self.random.random_range(0.5..=1.0)))
    }
}
