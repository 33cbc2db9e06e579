//! The duty to replace a primary: a row of the platform's table.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use siskinhook_types::{Batch, CommitOutcome, Condition, Platform, RowWrite};
use smol_str::{SmolStr, format_smolstr};

use super::{Controller, Orders};
use crate::{BootInstant, Dialer};

/// A holder acts at most this long after it wrote the duty's row.
const ACT_WITHIN: Duration = Duration::from_millis(1200);
/// The duty passes on when its row is this old: two holders may not act within three seconds,
/// counted from the last possible act, and calls may be under way.
const TAKEOVER: Duration = Duration::from_millis(4500);

/// The row that says who replaces a primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Duty {
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
struct Held {
    version: u64,
    duty: Duty,
    /// The table service's clock.
    now: u64,
}

impl Held {
    /// Whether a process may take the duty over: it is its own, or too old for its holder to act.
    fn is_free_for(&self, process: u64) -> bool {
        let age = Duration::from_millis(self.now.saturating_sub(self.duty.written));
        self.duty.token == 0 || self.duty.process == process || age >= TAKEOVER
    }
}

/// Permission to act, until its row could pass on.
#[derive(Clone, Copy)]
pub struct Permit {
    pub token: u64,
    pub until: BootInstant,
}

impl<D: Dialer, P: Platform, O: Orders> Controller<D, P, O> {
    fn key(&self) -> SmolStr {
        format_smolstr!("failover/{}", self.group.service)
    }

    /// Becomes the only node that may replace the primary, unless another one holds the duty.
    pub(super) async fn take_duty(&self) -> Option<Permit> {
        let held = self.read_duty().await?;
        if held.is_free_for(self.gateway.process) {
            return self.claim(&held, held.duty.token + 1).await;
        }
        None
    }

    async fn read_duty(&self) -> Option<Held> {
        let (row, now) = match self.platform.get_with_clock(&self.key()).await {
            Ok(found) => found,
            Err(error) => {
                self.failed(&error.to_string());
                return None;
            }
        };
        let now = now.unwrap_or_default();
        let Some(row) = row else {
            let duty = Duty::default();
            return Some(Held {
                version: 0,
                duty,
                now,
            });
        };
        match serde_json::from_value(row.value) {
            Ok(duty) => {
                let version = row.version;
                Some(Held { version, duty, now })
            }
            Err(error) => {
                self.failed(&format!("the duty's row cannot be read: {error}"));
                None
            }
        }
    }

    /// Writes the duty's row if it is unchanged.
    async fn claim(&self, held: &Held, token: u64) -> Option<Permit> {
        let until = BootInstant::now().after(ACT_WITHIN);
        let duty = Duty {
            holder: self.gateway.node.clone(),
            process: self.gateway.process,
            token,
            written: held.now,
        };
        let value = serde_json::to_value(&duty).ok()?;
        let key = self.key();
        let batch = Batch {
            conditions: vec![Condition {
                key: key.clone(),
                version: held.version,
            }],
            writes: vec![RowWrite {
                key,
                value: Some(value),
            }],
        };
        match self.platform.commit(batch).await {
            Ok(CommitOutcome::Applied) => Some(Permit { token, until }),
            Ok(CommitOutcome::Conflict { .. }) => None,
            Err(error) => {
                // After a lost answer the row may be ours: the next attempt reads it and takes a
                // higher token.
                self.failed(&error.to_string());
                None
            }
        }
    }

    /// Takes a higher token while the duty is still held.
    pub(super) async fn renew(&self, permit: Permit) -> Option<Permit> {
        let held = self.read_duty().await?;
        let own = held.duty.process == self.gateway.process && held.duty.token == permit.token;
        if !own {
            return None;
        }
        self.claim(&held, permit.token + 1).await
    }
}
