//! The engine's only clock.

use std::time::{Duration, Instant};

/// Returns the time of the runtime's clock, which tests can pause.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Waits until an instant.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at.into()).await;
}

/// Runs a future until an instant; `None` when the instant passed first.
pub async fn until<F: Future>(at: Instant, future: F) -> Option<F::Output> {
    tokio::time::timeout_at(at.into(), future).await.ok()
}

/// Returns the milliseconds of a duration, saturating.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
