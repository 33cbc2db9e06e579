//! Permits for writes on a primary that may be about to be replaced.
//!
//! From the first pause of a replica until a promotion takes effect, the primary that is replaced
//! must not acknowledge a commit, because the successor was chosen from logs that were read before.
//! The node that replaces it demotes it, but cannot demote one that is down. When such a primary
//! restarts it still leads, and it finds a replica to acknowledge with: one that restarted and so
//! is no longer paused, or a new server that nobody paused. Therefore no node sends a write to a
//! primary that may have restarted during a replacement.
//!
//! A replacement begins with a write of the failover lease row, and ends with a promotion, which
//! raises the term, or at the latest `REPLACEMENT_LIFETIME` after its last write of the row. The
//! node that replaces a primary looks for it after that write. A primary that has been running
//! since before the row was read without a pending replacement is therefore found, and demoted.
//!
//! Only a primary that is reached is demoted. One that is silent, or cut off from the replacing node
//! and those that it asks, is replaced without its reply, and its process may go on before the
//! promotion takes effect. What it then acknowledges is not reported to a caller, because the log of
//! a replica is evidence of a commit only if the same decision holds for the replica's process: any
//! replacement that begins later pauses it, or lacks its reply and then needs the primary's own log.

use std::time::Duration;

use siskinhook_types::Term;
use tokio::time::Instant;

/// Time after the last write of the lease row within which a replacement may still take effect: the
/// lease of 1.2 s, the timeout of 0.7 s of an order, an order that is carried out up to 12 s after
/// it was sent, and a promotion of 1 s; rounded up.
pub const REPLACEMENT_LIFETIME: Duration = Duration::from_secs(16);

/// Time between two readings of the row while a replacement is pending; a fraction of the time that
/// a promotion takes. Every reading is charged.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a primary may receive writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WritePermit {
    /// Its process has been running for longer than a replacement can last.
    Outlived,
    /// The row showed no pending replacement after the process had started.
    Clear,
    /// The replacement that may be pending is of an earlier term than the one that it leads.
    LaterTerm,
}

/// A replacement that may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingReplacement {
    /// Term of the primary that is being replaced. A primary of a later term is not affected.
    pub term: Term,
}

/// What the failover lease row has shown about replacements of a group's primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplacementChecks {
    /// When the latest reading that showed no pending replacement was requested.
    clear_at: Option<Instant>,
    /// When the latest reading that showed a pending replacement was requested.
    pending: Option<(Instant, PendingReplacement)>,
}

impl ReplacementChecks {
    /// Records a reading of the row that was requested at `at`.
    pub fn record(&mut self, at: Instant, pending: Option<PendingReplacement>) {
        match pending {
            None => self.clear_at = self.clear_at.max(Some(at)),
            Some(pending) if self.pending.is_none_or(|(known, _)| known < at) => {
                self.pending = Some((at, pending));
            }
            Some(_) => {}
        }
    }

    /// Returns why a primary may receive writes, if no replacement that could miss them can be
    /// pending. `running_since` is the time since which its process has certainly been running,
    /// `led_term` the latest term in which it was seen to lead.
    #[must_use]
    pub fn permit(
        &self,
        now: Instant,
        running_since: Instant,
        led_term: Term,
    ) -> Option<WritePermit> {
        if now.saturating_duration_since(running_since) >= REPLACEMENT_LIFETIME {
            return Some(WritePermit::Outlived);
        }
        if self.clear_at.is_some_and(|at| running_since <= at) {
            return Some(WritePermit::Clear);
        }
        self.replaced_before(running_since, led_term)
            .then_some(WritePermit::LaterTerm)
    }

    /// Whether the log that a replica reported in `term` counts as evidence of commits, so that a
    /// replacement which may be pending cannot lack them. `sent_at` is when the replica was asked:
    /// replacements that ended after it may have rolled the commits back. `running_since` is the time
    /// since which the replica's process has certainly been running.
    #[must_use]
    pub fn admits_witness(&self, sent_at: Instant, running_since: Instant, term: Term) -> bool {
        self.permits(sent_at, running_since, term)
    }

    /// Whether a primary may receive writes (`permit`).
    #[must_use]
    pub fn permits(&self, now: Instant, running_since: Instant, led_term: Term) -> bool {
        self.permit(now, running_since, led_term).is_some()
    }

    /// Returns the term of the latest replacement that a reading showed as pending.
    #[must_use]
    pub fn pending_term(&self) -> Option<Term> {
        self.pending.map(|(_, pending)| pending.term)
    }

    /// Whether the only replacement that may be pending was of an earlier term than `led_term`.
    fn replaced_before(&self, running_since: Instant, led_term: Term) -> bool {
        self.pending
            .is_some_and(|(at, pending)| running_since <= at && led_term > pending.term)
    }

    /// Whether a pending replacement was seen so recently that another reading would show the same.
    #[must_use]
    pub fn is_recently_pending(&self, now: Instant) -> bool {
        self.pending
            .is_some_and(|(at, _)| now.saturating_duration_since(at) < RECHECK_INTERVAL)
    }

    /// Whether the term that the primary leads decides about its permit, because a replacement that
    /// was seen since it started may be of an earlier term.
    #[must_use]
    pub fn needs_term(&self, running_since: Instant) -> bool {
        self.pending.is_some_and(|(at, _)| running_since <= at)
    }
}
