//! Counters of calls to the platform, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use siskinhook_types::value_type;

/// Counters of one node's calls to the platform.
#[derive(Debug, Default)]
pub struct Counters {
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) failures: AtomicU64,
    pub(crate) lost: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) waited: AtomicU64,
}

value_type! {
    /// Values of the counters at one moment.
    #[derive(Copy, Default)]
    pub struct CountersSnapshot {
        /// Reads sent.
        pub reads: u64,
        /// Writes sent.
        pub writes: u64,
        /// Calls that did not take effect.
        pub failures: u64,
        /// Writes whose answer was lost.
        pub lost: u64,
        /// Calls that the budget refused without sending them.
        pub refused: u64,
        /// Milliseconds that calls waited for the budget.
        pub waited: u64,
    }
}

impl CountersSnapshot {
    /// Returns the increase since an earlier moment.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            reads: self.reads - earlier.reads,
            writes: self.writes - earlier.writes,
            failures: self.failures - earlier.failures,
            lost: self.lost - earlier.lost,
            refused: self.refused - earlier.refused,
            waited: self.waited - earlier.waited,
        }
    }
}

impl Counters {
    /// Reads the counters.
    #[must_use]
    pub fn snapshot(&self) -> CountersSnapshot {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CountersSnapshot {
            reads: load(&self.reads),
            writes: load(&self.writes),
            failures: load(&self.failures),
            lost: load(&self.lost),
            refused: load(&self.refused),
            waited: load(&self.waited),
        }
    }
}
