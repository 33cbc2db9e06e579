//! Counters of calls to the platform, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use siskinhook_types::value_type;

/// Counters of one node's calls to the platform.
#[derive(Debug, Default)]
pub struct Counters {
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) failed_reads: AtomicU64,
    pub(crate) failed_writes: AtomicU64,
    pub(crate) lost: AtomicU64,
    pub(crate) refused_reads: AtomicU64,
    pub(crate) refused_writes: AtomicU64,
    pub(crate) waited: AtomicU64,
}

value_type! {
    /// Snapshot of the counters.
    #[derive(Copy, Default)]
    pub struct CountersSnapshot {
        /// Reads sent.
        pub reads: u64,
        /// Writes sent.
        pub writes: u64,
        /// Reads that failed.
        pub failed_reads: u64,
        /// Writes that did not take effect.
        pub failed_writes: u64,
        /// Writes whose answer was lost.
        pub lost: u64,
        /// Reads that the budget refused without sending them.
        pub refused_reads: u64,
        /// Writes that the budget refused without sending them.
        pub refused_writes: u64,
        /// Total time that calls waited for the budget, in milliseconds.
        pub waited: u64,
    }
}

impl CountersSnapshot {
    /// Returns the increase since an earlier snapshot.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            reads: self.reads - earlier.reads,
            writes: self.writes - earlier.writes,
            failed_reads: self.failed_reads - earlier.failed_reads,
            failed_writes: self.failed_writes - earlier.failed_writes,
            lost: self.lost - earlier.lost,
            refused_reads: self.refused_reads - earlier.refused_reads,
            refused_writes: self.refused_writes - earlier.refused_writes,
            waited: self.waited - earlier.waited,
        }
    }
}

impl CountersSnapshot {
    /// Lists the number of calls by kind and result, named as in the metric of platform calls.
    /// A call in progress counts as done.
    #[must_use]
    pub const fn list(self) -> [(&'static str, &'static str, u64); 7] {
        let failed = self.failed_writes + self.lost;
        [
            ("read", "done", self.reads.saturating_sub(self.failed_reads)),
            ("read", "failed", self.failed_reads),
            ("read", "refused", self.refused_reads),
            ("write", "done", self.writes.saturating_sub(failed)),
            ("write", "failed", self.failed_writes),
            ("write", "lost", self.lost),
            ("write", "refused", self.refused_writes),
        ]
    }
}

impl Counters {
    /// Takes a snapshot of the counters.
    #[must_use]
    pub fn snapshot(&self) -> CountersSnapshot {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CountersSnapshot {
            reads: load(&self.reads),
            writes: load(&self.writes),
            failed_reads: load(&self.failed_reads),
            failed_writes: load(&self.failed_writes),
            lost: load(&self.lost),
            refused_reads: load(&self.refused_reads),
            refused_writes: load(&self.refused_writes),
            waited: load(&self.waited),
        }
    }
}
