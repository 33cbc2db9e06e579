//! The failover lease: a row of the platform's table that names the node allowed to replace a
//! primary.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use siskinhook_types::{
    Batch, CommitOutcome, Condition, Platform, PlatformError, Reading, RowWrite, ServiceId, Term,
};
use smol_str::{SmolStr, format_smolstr};

use super::{Controller, Discovery, Orders};
use crate::{
    BootInstant, Dialer,
    write_permit::{PendingReplacement, REPLACEMENT_LIFETIME},
};

/// Time for which the holder may act, counted from the reading before it wrote the lease row.
const LEASE_DURATION: Duration = Duration::from_millis(1200);
/// Age of the lease row after which another node may take the lease over. Two holders may not act
/// within three seconds of each other, counted from the first holder's last possible action, and
/// calls may be in flight.
const TAKEOVER_AGE: Duration = Duration::from_millis(4500);

/// Number of tokens per era of the table. The row with the latest token may be lost when the table
/// comes back from an older copy, so each era has tokens of its own; a group is never failed over a
/// million times in one.
const TOKENS_PER_ERA: u64 = 1 << 20;

/// The stored lease row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaseRecord {
    holder: SmolStr,
    /// Random id of the holder's process. A restarted node does not know of orders in flight, so it
    /// must not continue the lease.
    #[serde(default)]
    process: u64,
    pub(super) token: u64,
    /// Time when the row was written, by the table service's clock, in milliseconds.
    #[serde(default)]
    written: u64,
    /// Era of the table in which the row was written.
    #[serde(default)]
    pub(super) era: u64,
    /// Term of the primary that the holder replaces; `None` if it gave the replacement up before it
    /// sent an order.
    #[serde(default)]
    replaces: Option<Term>,
    /// The latest earlier replacement whose order may still be carried out.
    #[serde(default)]
    former: Option<FormerReplacement>,
}

/// A replacement under an earlier token of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FormerReplacement {
    /// Term of the primary that was to be replaced.
    term: Term,
    /// Time of its last write of the row, by the table service's clock, in milliseconds.
    written: u64,
}

impl LeaseRecord {
    /// Returns the latest replacement whose order may have been sent.
    fn latest_replacement(&self) -> Option<FormerReplacement> {
        let written = self.written;
        let current = self
            .replaces
            .map(|term| FormerReplacement { term, written });
        current.or(self.former)
    }

    /// Returns the replacement that may still take effect at `now`, by the table service's clock in
    /// milliseconds.
    pub(super) fn pending_at(&self, now: u64) -> Option<PendingReplacement> {
        let latest = self.latest_replacement()?;
        let age = age(latest.written, now);
        (age < REPLACEMENT_LIFETIME).then_some(PendingReplacement { term: latest.term })
    }
}

/// Returns the age at `now` of something written at `written`, both in milliseconds.
const fn age(written: u64, now: u64) -> Duration {
    Duration::from_millis(now.saturating_sub(written))
}

fn key(service: &ServiceId) -> SmolStr {
    format_smolstr!("failover/{service}")
}

/// Reads the lease row of a service. A row that is absent is returned as the default.
///
/// # Errors
/// The table service does not answer, or the row cannot be decoded.
pub(super) async fn read_record<P: Platform>(
    platform: &P,
    service: &ServiceId,
) -> Result<(Reading, LeaseRecord), PlatformError> {
    let mut reading = platform.read(&key(service)).await?;
    let value = reading.row.take().map(|row| row.value);
    let record = value.map(serde_json::from_value).transpose();
    let record = record.map_err(|error| {
        PlatformError::NotDone(format!("cannot decode the failover lease row: {error}"))
    })?;
    Ok((reading, record.unwrap_or_default()))
}

/// The lease row as read, with its version.
struct StoredLease {
    version: u64,
    record: LeaseRecord,
    /// Time of the read by the table service's clock, in milliseconds.
    now: u64,
    /// When the read was sent, which is not later than `now`.
    sent_at: BootInstant,
    /// Era of the table in which the row was read.
    era: u64,
    /// Time since this process first had an answer of this era.
    era_age: Duration,
}

impl StoredLease {
    /// Whether a process may acquire the lease: it holds the lease already, or the row is so old
    /// that its holder no longer acts. A row of a former era says nothing about the holders since
    /// the copy, whose rows are lost, and its date is of a clock that may have gone back; all
    /// holders of former eras are too old once this era has lasted long enough.
    fn is_available_to(&self, process: u64) -> bool {
        let record = &self.record;
        if record.era != self.era {
            return self.era_age >= TAKEOVER_AGE;
        }
        let age = age(record.written, self.now);
        record.token == 0 || record.process == process || age >= TAKEOVER_AGE
    }

    /// Returns a token above all that were given out before, in this era and in former ones.
    fn next_token(&self) -> u64 {
        let floor = self.era.saturating_mul(TOKENS_PER_ERA);
        self.record.token.max(floor) + 1
    }
}

/// An acquired lease, valid until `until`.
#[derive(Clone, Copy)]
pub struct Lease {
    pub token: u64,
    /// Term of the primary that is being replaced.
    pub term: Term,
    /// Era of the table in which the lease was written.
    era: u64,
    pub until: BootInstant,
}

impl<D: Dialer, P: Platform, S: Discovery, O: Orders> Controller<D, P, S, O> {
    /// Acquires the lease, unless another process holds it. Only the holder may replace the
    /// primary.
    pub(super) async fn acquire_lease(&self) -> Option<Lease> {
        let stored = self.read_lease().await?;
        if stored.is_available_to(self.gateway.process) {
            let record = self.next_record(&stored, Some(self.group.term.get()));
            // The row names this node also if only the answer to the write is lost.
            self.is_unfinished.set(true);
            return self.claim(&stored, record).await;
        }
        None
    }

    /// Returns the row to write after `stored`.
    fn next_record(&self, stored: &StoredLease, replaces: Option<Term>) -> LeaseRecord {
        let record = &stored.record;
        let is_own = record.process == self.gateway.process;
        let former = if is_own && self.is_unfinished.get() {
            record.former
        } else {
            record.latest_replacement()
        };
        LeaseRecord {
            holder: self.gateway.node.clone(),
            process: self.gateway.process,
            token: stored.next_token(),
            written: stored.now,
            era: stored.era,
            replaces,
            former,
        }
    }

    async fn read_lease(&self) -> Option<StoredLease> {
        let sent_at = BootInstant::now();
        match read_record(&self.platform, &self.group.service).await {
            Ok((reading, record)) => Some(StoredLease {
                version: reading.version,
                record,
                now: reading.clock.unwrap_or_default(),
                sent_at,
                era: reading.era,
                era_age: reading.era_age,
            }),
            Err(error) => {
                self.log_failure(&error.to_string());
                None
            }
        }
    }

    /// Writes the lease row if it is unchanged since it was read.
    async fn claim(&self, stored: &StoredLease, record: LeaseRecord) -> Option<Lease> {
        // The row is dated by the read, so calls that take long shorten the lease.
        let until = stored.sent_at.plus(LEASE_DURATION);
        let value = serde_json::to_value(&record).ok()?;
        let key = key(&self.group.service);
        let batch = Batch {
            conditions: vec![Condition {
                key: key.clone(),
                version: stored.version,
            }],
            writes: vec![RowWrite {
                key,
                value: Some(value),
            }],
        };
        match self.platform.commit(batch).await {
            Ok(CommitOutcome::Applied) => Some(Lease {
                token: record.token,
                term: record.replaces.unwrap_or_default(),
                era: record.era,
                until,
            }),
            Ok(CommitOutcome::Conflict { .. }) => None,
            Err(error) => {
                // If only the answer was lost, the row may name this node. The next attempt reads
                // it and uses a higher token.
                self.log_failure(&error.to_string());
                None
            }
        }
    }

    /// Renews the lease under a higher token, if this process still holds it.
    pub(super) async fn renew(&self, lease: Lease) -> Option<Lease> {
        let stored = self.read_lease().await?;
        let is_holder = stored.record.process == self.gateway.process
            && stored.record.token == lease.token
            && stored.era == lease.era;
        if !is_holder {
            return None;
        }
        let record = self.next_record(&stored, Some(lease.term));
        self.claim(&stored, record).await
    }

    /// Records in the lease row that the replacement was given up. Otherwise no node would write to
    /// the primary, if it restarted, before the row is old.
    pub(super) async fn give_up_replacement(&self) {
        let Some(stored) = self.read_lease().await else {
            return;
        };
        let is_holder = stored.record.process == self.gateway.process;
        if is_holder && stored.record.replaces.is_some() {
            let record = self.next_record(&stored, None);
            if self.claim(&stored, record).await.is_none() {
                // The next check of the group repeats the attempt.
                return;
            }
        }
        self.is_unfinished.set(false);
    }
}
