//! A clock that also counts the time for which the VM was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A point on the boot clock.
///
/// `std::time::Instant` stands still while a VM is suspended, so an age measured with it can be
/// too small. Ages that prove freshness use this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(Duration::new(
            time.tv_sec.unsigned_abs(),
            u32::try_from(time.tv_nsec).unwrap_or_default(),
        ))
    }

    /// Creates the point at this time after the boot.
    #[must_use]
    pub const fn from_boot(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the time since an earlier point, or zero.
    #[must_use]
    pub const fn elapsed_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point this much later.
    #[must_use]
    pub const fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }

    /// Returns the point this much earlier; the boot at the earliest.
    #[must_use]
    pub const fn minus(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}
