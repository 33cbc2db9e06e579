//! Time in the engine. All parts use this clock, so that tests can pause it.

use std::time::{Duration, Instant};

/// Returns the current time of the runtime's clock.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Waits until an instant.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at.into()).await;
}

/// Awaits a future until an instant. Returns `None` if the instant passes first.
pub async fn until<F: Future>(at: Instant, future: F) -> Option<F::Output> {
    tokio::time::timeout_at(at.into(), future).await.ok()
}

/// Returns a duration in milliseconds, or `u64::MAX` if it does not fit.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
