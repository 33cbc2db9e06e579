//! The failover lease: a row of the platform's table that names the node allowed to replace a
//! primary.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use siskinhook_types::{Batch, CommitOutcome, Condition, Platform, RowWrite};
use smol_str::{SmolStr, format_smolstr};

use super::{Controller, Discovery, Orders};
use crate::{BootInstant, Dialer};

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
struct LeaseRecord {
    holder: SmolStr,
    /// Random id of the holder's process. A restarted node does not know of orders in flight, so it
    /// must not continue the lease.
    #[serde(default)]
    process: u64,
    token: u64,
    /// Time when the row was written, by the table service's clock, in milliseconds.
    #[serde(default)]
    written: u64,
    /// Era of the table in which the row was written.
    #[serde(default)]
    era: u64,
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
        let age = Duration::from_millis(self.now.saturating_sub(record.written));
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
    /// Era of the table in which the lease was written.
    era: u64,
    pub until: BootInstant,
}

impl<D: Dialer, P: Platform, S: Discovery, O: Orders> Controller<D, P, S, O> {
    fn key(&self) -> SmolStr {
        format_smolstr!("failover/{}", self.group.service)
    }

    /// Acquires the lease, unless another process holds it. Only the holder may replace the
    /// primary.
    pub(super) async fn acquire_lease(&self) -> Option<Lease> {
        let stored = self.read_lease().await?;
        if stored.is_available_to(self.gateway.process) {
            return self.claim(&stored).await;
        }
        None
    }

    async fn read_lease(&self) -> Option<StoredLease> {
        let sent_at = BootInstant::now();
        let reading = match self.platform.read(&self.key()).await {
            Ok(reading) => reading,
            Err(error) => {
                self.log_failure(&error.to_string());
                return None;
            }
        };
        let record = reading.row.map(|row| serde_json::from_value(row.value));
        match record.transpose() {
            Ok(record) => Some(StoredLease {
                version: reading.version,
                record: record.unwrap_or_default(),
                now: reading.clock.unwrap_or_default(),
                sent_at,
                era: reading.era,
                era_age: reading.era_age,
            }),
            Err(error) => {
                self.log_failure(&format!("cannot decode the failover lease row: {error}"));
                None
            }
        }
    }

    /// Writes the lease row if it is unchanged since it was read.
    async fn claim(&self, stored: &StoredLease) -> Option<Lease> {
        let (token, era) = (stored.next_token(), stored.era);
        // The row is dated by the read, so calls that take long shorten the lease.
        let until = stored.sent_at.plus(LEASE_DURATION);
        let record = LeaseRecord {
            holder: self.gateway.node.clone(),
            process: self.gateway.process,
            token,
            written: stored.now,
            era,
        };
        let value = serde_json::to_value(&record).ok()?;
        let key = self.key();
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
            Ok(CommitOutcome::Applied) => Some(Lease { token, era, until }),
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
        self.claim(&stored).await
    }
}
