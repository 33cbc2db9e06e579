//! Decides which call a node makes next to follow a table of the platform's store (pure).
//!
//! A call that waits for changes and is lost cannot be told from one that has nothing to report.
//! The wait is therefore so short that the node hears from the store within a bound, and after a
//! failure the node first asks without waiting, until the store has answered again.
//!
//! The changes since a version include every version of a row. Of a table whose rows replace each
//! other completely a node that is behind reads the rows themselves, so that what it has missed does
//! not delay the latest version.

use std::time::Duration;

/// Base of the exponential backoff after failed calls.
const BASE_BACKOFF: Duration = Duration::from_millis(80);
/// Maximum backoff. Together with a call that gets no answer it is far below every bound of the
/// platform, so a node hears from the store soon after an outage.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);

/// Longest call timeout as a multiple of the usual one. The wait at the store leaves two usual ones:
/// the rest of the second one is for the backoff and the call after a lost one.
const MAX_TIMEOUT_FACTOR: f64 = 1.5;

/// Number of consecutive failed calls after which a node counts as behind.
const BEHIND_FAILURES: u32 = 2;
/// Number of superseded versions in an answer after which a node counts as behind. With fewer, the
/// additional reading of the table costs more than it saves.
const BEHIND_VERSIONS: usize = 2;

/// Settings of a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedSettings {
    /// Maximum time without an answer of a store that works.
    pub silence_limit: Duration,
    /// Time after which a call that does not wait for changes has failed.
    pub call_timeout: Duration,
    /// Whether only the latest version of a row matters.
    pub latest_only: bool,
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self {
            silence_limit: Duration::from_secs(4),
            call_timeout: Duration::from_millis(800),
            latest_only: false,
        }
    }
}

/// The next call of a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedCall {
    /// Reads the whole table.
    ReadTable,
    /// Asks for the changes after a version.
    ReadChanges {
        /// Version up to which the node knows the table.
        after: u64,
        /// Time that the call may wait at the store for a change.
        wait: Duration,
    },
}

/// How a node follows one table.
#[derive(Clone, Copy, Debug)]
pub struct Feed {
    settings: FeedSettings,
    /// Version up to which the node knows the table; `None` if it has to read the whole table.
    version: Option<u64>,
    /// Version of the newest row that the node knows, which is not above `version`.
    newest: u64,
    /// Whether later versions may have replaced the next changes.
    behind: bool,
    /// Consecutive failed calls.
    failures: u32,
}

impl Feed {
    /// Creates a feed that has read nothing yet.
    #[must_use]
    pub const fn new(settings: FeedSettings) -> Self {
        Self {
            settings,
            version: None,
            newest: 0,
            behind: false,
            failures: 0,
        }
    }

    /// Returns the next call. `limit` is the time after which the caller needs an answer in any
    /// case.
    #[must_use]
    pub fn next_call(&self, limit: Duration) -> FeedCall {
        let Some(after) = self.version.filter(|_| !self.behind) else {
            return FeedCall::ReadTable;
        };
        let wait = if self.failures > 0 {
            Duration::ZERO
        } else {
            self.max_wait().min(limit)
        };
        FeedCall::ReadChanges { after, wait }
    }

    /// Returns the time after which a call has failed, without its wait, if the store needs `limit`.
    /// The wait does not depend on it: shorter waits would load a store that is slow already.
    #[must_use]
    pub fn call_timeout(&self, limit: Duration) -> Duration {
        let usual = self.settings.call_timeout;
        limit.clamp(usual, usual.mul_f64(MAX_TIMEOUT_FACTOR))
    }

    /// Returns the maximum time to wait at the store. It leaves a call timeout for an answer that
    /// comes late, and one for the call after a lost one.
    fn max_wait(&self) -> Duration {
        self.settings
            .silence_limit
            .saturating_sub(self.settings.call_timeout * 2)
    }

    /// Records the table as read at a version of the store. `newest` is the version of its newest
    /// row. Returns the number of failed calls before it.
    pub fn record_table(&mut self, version: u64, newest: u64) -> u32 {
        let failures = std::mem::take(&mut self.failures);
        // While versions follow each other quickly, the next changes would be several again. New
        // versions after failed calls do not show that they do, and a call that waits for changes
        // costs less.
        self.behind &= failures == 0 && newest > self.newest;
        self.version = Some(version);
        self.newest = newest;
        failures
    }

    /// Records changes that bring the node up to a version of the store. `newest` is the version of
    /// the newest changed row, if any; `superseded` is the number of them that later ones
    /// replace. Returns the number of failed calls before it.
    pub fn record_changes(&mut self, version: u64, newest: Option<u64>, superseded: usize) -> u32 {
        self.behind = self.settings.latest_only && superseded >= BEHIND_VERSIONS;
        self.version = Some(version);
        self.newest = newest.unwrap_or(self.newest);
        std::mem::take(&mut self.failures)
    }

    /// Records that an answer with changes is too long to wait for its end.
    pub const fn record_long_answer(&mut self) {
        self.behind = self.settings.latest_only;
    }

    /// Whether later versions may have replaced the next changes, so that the node reads the table.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.behind
    }

    /// Records that the store answered but no longer keeps the changes since the known version.
    /// Returns the number of failed calls before it.
    pub fn record_expiry(&mut self) -> u32 {
        self.version = None;
        std::mem::take(&mut self.failures)
    }

    /// Records a failed call. Returns the number of consecutive failures, and the delay before the
    /// next call.
    pub fn record_failure(&mut self) -> (u32, Duration) {
        self.failures += 1;
        self.behind |= self.settings.latest_only && self.failures >= BEHIND_FAILURES;
        let doubled = BASE_BACKOFF.saturating_mul(1 << self.failures.min(6));
        (self.failures, doubled.min(MAX_BACKOFF))
    }

    /// Returns the version up to which the node knows the table, or 0 if it has to read all of it.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version.unwrap_or_default()
    }
}
