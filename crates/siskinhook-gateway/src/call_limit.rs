//! Time limit of calls to a service whose response time varies (pure).
//!
//! A fixed limit below the response time makes every call fail, and the repeated calls keep the
//! service slow. The limit therefore follows the response times, as the retransmission timer of TCP
//! does. Calls without any answer teach nothing, so a lost call is noticed as soon as before.

use std::time::Duration;

/// Shortest limit; many times the usual response time.
const MIN_LIMIT: Duration = Duration::from_millis(800);
/// Longest limit. Callers that wait for a failover or a configuration bear a few seconds.
const MAX_LIMIT: Duration = Duration::from_secs(2);
/// Limit as a multiple of the recent peak, for response times that rise.
const PEAK_FACTOR: u32 = 2;

/// Time limit that follows observed response times.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveLimit {
    /// Recent peak of the response time.
    peak: Duration,
}

impl AdaptiveLimit {
    /// Returns the limit of a call that begins now.
    #[must_use]
    pub fn get(&self) -> Duration {
        self.peak
            .saturating_mul(PEAK_FACTOR)
            .clamp(MIN_LIMIT, MAX_LIMIT)
    }

    /// Records the response time of a call, also of one that exceeded its limit.
    pub fn record(&mut self, response_time: Duration) {
        self.peak = response_time.max(self.peak / 2);
    }
}
