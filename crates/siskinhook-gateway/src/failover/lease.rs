//! The failover lease: a row of the platform's table that names the node allowed to replace a
//! primary.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use siskinhook_types::{Batch, CommitOutcome, Condition, Platform, RowWrite};
use smol_str::{SmolStr, format_smolstr};

use super::{Controller, Orders};
use crate::{BootInstant, Dialer};

/// Time for which the holder may act after it wrote the lease row.
const LEASE_DURATION: Duration = Duration::from_millis(1200);
/// Age of the lease row after which another node may take the lease over. Two holders may not act
/// within three seconds of each other, counted from the first holder's last possible action, and
/// calls may be in flight.
const TAKEOVER_AGE: Duration = Duration::from_millis(4500);

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
}

/// The lease row as read, with its version.
struct StoredLease {
    version: u64,
    record: LeaseRecord,
    /// Time of the read by the table service's clock, in milliseconds.
    now: u64,
}

impl StoredLease {
    /// Whether a process may acquire the lease: it holds the lease already, or the row is so old
    /// that its holder no longer acts.
    fn is_available_to(&self, process: u64) -> bool {
        let age = Duration::from_millis(self.now.saturating_sub(self.record.written));
        self.record.token == 0 || self.record.process == process || age >= TAKEOVER_AGE
    }
}

/// An acquired lease, valid until `until`.
#[derive(Clone, Copy)]
pub struct Lease {
    pub token: u64,
    pub until: BootInstant,
}

impl<D: Dialer, P: Platform, O: Orders> Controller<D, P, O> {
    fn key(&self) -> SmolStr {
        format_smolstr!("failover/{}", self.group.service)
    }

    /// Acquires the lease, unless another process holds it. Only the holder may replace the
    /// primary.
    pub(super) async fn acquire_lease(&self) -> Option<Lease> {
        let stored = self.read_lease().await?;
        if stored.is_available_to(self.gateway.process) {
            return self.claim(&stored, stored.record.token + 1).await;
        }
        None
    }

    async fn read_lease(&self) -> Option<StoredLease> {
        let (row, now) = match self.platform.get_with_clock(&self.key()).await {
            Ok(found) => found,
            Err(error) => {
                self.log_failure(&error.to_string());
                return None;
            }
        };
        let now = now.unwrap_or_default();
        let Some(row) = row else {
            let record = LeaseRecord::default();
            return Some(StoredLease {
                version: 0,
                record,
                now,
            });
        };
        match serde_json::from_value(row.value) {
            Ok(record) => {
                let version = row.version;
                Some(StoredLease {
                    version,
                    record,
                    now,
                })
            }
            Err(error) => {
                self.log_failure(&format!("cannot decode the failover lease row: {error}"));
                None
            }
        }
    }

    /// Writes the lease row if it is unchanged since it was read.
    async fn claim(&self, stored: &StoredLease, token: u64) -> Option<Lease> {
        let until = BootInstant::now().plus(LEASE_DURATION);
        let record = LeaseRecord {
            holder: self.gateway.node.clone(),
            process: self.gateway.process,
            token,
            written: stored.now,
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
            Ok(CommitOutcome::Applied) => Some(Lease { token, until }),
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
        let is_holder =
            stored.record.process == self.gateway.process && stored.record.token == lease.token;
        if !is_holder {
            return None;
        }
        self.claim(&stored, lease.token + 1).await
    }
}
