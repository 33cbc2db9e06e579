//! The duty to replace a primary: a row of the platform's table.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use siskinhook_types::{Batch, CommitOutcome, Condition, Platform, RowWrite};
use smol_str::{SmolStr, format_smolstr};

use super::{Controller, Orders};
use crate::{BootInstant, Dialer};

/// A holder acts at most this long after it wrote the duty's row.
const LEASE_DURATION: Duration = Duration::from_millis(1200);
/// The duty passes on when its row is this old: two holders may not act within three seconds,
/// counted from the last possible act, and calls may be under way.
const TAKEOVER_AGE: Duration = Duration::from_millis(4500);

/// The row that says who replaces a primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRecord {
    holder: SmolStr,
    /// Which process of the holder: a restarted one knows nothing of orders under way.
    #[serde(default)]
    process: u64,
    token: u64,
    /// The table service's clock when the row was written, in milliseconds.
    #[serde(default)]
    written: u64,
}

/// The duty's row as read.
struct StoredLease {
    version: u64,
    record: LeaseRecord,
    /// The table service's clock.
    now: u64,
}

impl StoredLease {
    /// Whether a process may take the duty over: it is its own, or too old for its holder to act.
    fn is_available_to(&self, process: u64) -> bool {
        let age = Duration::from_millis(self.now.saturating_sub(self.record.written));
        self.record.token == 0 || self.record.process == process || age >= TAKEOVER_AGE
    }
}

/// Permission to act, until its row could pass on.
#[derive(Clone, Copy)]
pub struct Lease {
    pub token: u64,
    pub until: BootInstant,
}

impl<D: Dialer, P: Platform, O: Orders> Controller<D, P, O> {
    fn key(&self) -> SmolStr {
        format_smolstr!("failover/{}", self.group.service)
    }

    /// Becomes the only node that may replace the primary, unless another one holds the duty.
    pub(super) async fn acquire_lease(&self) -> Option<Lease> {
        let stored = self.read_lease().await?;
        if stored.is_available_to(self.gateway.process) {
            return self.claim(&stored, stored.record.token + 1).await;
        }
        None
    }

    async fn read_lease(&self) -> Option<StoredLease> {
        let (row, now) = match self.platform.get_at(&self.key()).await {
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
                self.log_failure(&format!("the duty's row cannot be read: {error}"));
                None
            }
        }
    }

    /// Writes the duty's row if it is unchanged.
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
                // After a lost answer the row may be ours: the next attempt reads it and takes a
                // higher token.
                self.log_failure(&error.to_string());
                None
            }
        }
    }

    /// Takes a higher token while the duty is still held.
    pub(super) async fn renew(&self, lease: Lease) -> Option<Lease> {
        let stored = self.read_lease().await?;
        let own =
            stored.record.process == self.gateway.process && stored.record.token == lease.token;
        if !own {
            return None;
        }
        self.claim(&stored, lease.token + 1).await
    }
}
