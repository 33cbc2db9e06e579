//! A clock that keeps running while the VM is suspended.

#[cfg(feature = "paused-clock")]
use std::sync::LazyLock;
use std::time::Duration;

#[cfg(not(feature = "paused-clock"))]
use rustix::time::{ClockId, clock_gettime};
#[cfg(feature = "paused-clock")]
use tokio::time::Instant;

/// A point in time on the boot clock (`CLOCK_BOOTTIME`).
///
/// `std::time::Instant` stops while a VM is suspended, so an age measured with it can be too small.
/// Ages that decide whether data is fresh enough use this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    #[cfg(not(feature = "paused-clock"))]
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(Duration::new(
            time.tv_sec.unsigned_abs(),
            u32::try_from(time.tv_nsec).unwrap_or_default(),
        ))
    }

    /// Returns the current time of tokio's clock, which tests pause.
    #[cfg(feature = "paused-clock")]
    #[must_use]
    pub fn now() -> Self {
        /// Time from boot to the first reading, so that clocks which were paused before are later
        /// than boot as well.
        const FIRST: Duration = Duration::from_hours(24);
        static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);
        let (origin, now) = (*ORIGIN, Instant::now());
        let after = now.saturating_duration_since(origin);
        let before = origin.saturating_duration_since(now);
        Self((FIRST + after).saturating_sub(before))
    }

    /// Creates the point in time at a duration after boot.
    #[must_use]
    pub const fn from_boot(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn elapsed_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point in time `duration` later.
    #[must_use]
    pub const fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }

    /// Returns the point in time `duration` earlier, but not before boot.
    #[must_use]
    pub const fn minus(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}
