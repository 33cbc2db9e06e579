//! Interface of the platform: table service, object store and list of VMs.

use std::{collections::BTreeMap, fmt, future::Future, time::Duration};

use bytes::Bytes;
use serde_json::Value;
use smol_str::SmolStr;

use crate::{Region, Zone, value_type};

value_type! {
    /// A row of the platform's table.
    pub struct Row {
        /// Key of the row.
        pub key: SmolStr,
        /// Version of the row, starting at 1 and increased by each write.
        pub version: u64,
        /// Value of the row.
        pub value: Value,
    }

    /// A row as read, or its absence.
    pub struct Reading {
        /// The row, if it exists.
        pub row: Option<Row>,
        /// Version for a condition that the row, or its absence, is unchanged.
        pub version: u64,
        /// Time of the table service's own monotonic clock in milliseconds, if it reports one.
        pub clock: Option<u64>,
        /// Number of the table service's history. It rises when the service comes back from an
        /// older copy and what was written since is gone.
        pub era: u64,
        /// Time since this process first had an answer of this era.
        pub era_age: Duration,
    }

    /// Condition of a batch: the row must have the expected version.
    pub struct Condition {
        /// Key of the row.
        pub key: SmolStr,
        /// Expected version; 0 when the row must be absent.
        pub version: u64,
    }

    /// A write of one row.
    pub struct RowWrite {
        /// Key of the row.
        pub key: SmolStr,
        /// New value; `None` removes the row.
        pub value: Option<Value>,
    }

    /// Writes that are applied atomically, if all conditions hold.
    #[derive(Default)]
    pub struct Batch {
        /// Conditions that must all hold.
        pub conditions: Vec<Condition>,
        /// Writes to apply.
        pub writes: Vec<RowWrite>,
    }

    /// Result of a batch.
    pub enum CommitOutcome {
        /// All writes were applied.
        Applied,
        /// A condition failed, and no write was applied.
        Conflict {
            /// Key of the failed condition.
            key: SmolStr,
            /// The current row, if it exists.
            row: Option<Row>,
        },
    }

    /// A VM in the platform's list. The list lags behind the actual VMs by seconds.
    pub struct VmRecord {
        /// Name of the VM, equal to the name of the node on it.
        pub name: SmolStr,
        /// Region that the VM runs in.
        pub region: Region,
        /// Availability zone that the VM runs in.
        pub zone: Zone,
        /// Address of the node's peer interface as `ip:port`.
        pub address: SmolStr,
        /// Whether the platform is about to remove the VM.
        pub leaving: bool,
    }

    /// Failure of a call to the platform.
    pub enum PlatformError {
        /// The call did not take effect.
        NotDone(String),
        /// The answer was lost, so a write may have taken effect.
        MayBeDone(String),
    }
}

impl Batch {
    /// Returns the conflict of the first condition that does not hold for `rows`, which are
    /// indexed by key, or `None` when all conditions hold.
    #[must_use]
    pub fn conflict(&self, rows: &BTreeMap<SmolStr, Row>) -> Option<CommitOutcome> {
        self.conditions.iter().find_map(|condition| {
            let row = rows.get(&condition.key);
            let version = row.map_or(0, |row| row.version);
            (version != condition.version).then(|| CommitOutcome::Conflict {
                key: condition.key.clone(),
                row: row.cloned(),
            })
        })
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(reason) => write!(f, "the platform did not take the call: {reason}"),
            Self::MayBeDone(reason) => {
                write!(
                    f,
                    "the platform's answer was lost, the call may have taken effect: {reason}"
                )
            }
        }
    }
}

impl std::error::Error for PlatformError {}

/// Services of the platform that nodes use.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads a row.
    ///
    /// # Errors
    /// Returns `PlatformError::NotDone` when the call fails.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Reads a row with what a lease needs to know about the table service. By default the service
    /// has no clock and was never restored.
    ///
    /// # Errors
    /// Returns `PlatformError::NotDone` when the call fails.
    fn read(&self, key: &str) -> impl Future<Output = Result<Reading, PlatformError>> + Send {
        async {
            let row = self.get(key).await?;
            Ok(Reading {
                version: row.as_ref().map_or(0, |row| row.version),
                row,
                clock: None,
                era: 0,
                era_age: Duration::MAX,
            })
        }
    }

    /// Lists rows whose key starts with `prefix` and is greater than `after`, in key order.
    ///
    /// # Errors
    /// Returns `PlatformError::NotDone` when the call fails.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Applies a batch in one transaction.
    ///
    /// # Errors
    /// Returns `PlatformError::NotDone` when the call did not take effect, and
    /// `PlatformError::MayBeDone` when the answer was lost.
    fn commit(
        &self,
        batch: Batch,
    ) -> impl Future<Output = Result<CommitOutcome, PlatformError>> + Send;

    /// Stores an object.
    ///
    /// # Errors
    /// Returns `PlatformError::NotDone` when the call did not take effect, and
    /// `PlatformError::MayBeDone` when the answer was lost.
    fn put_object(
        &self,
        key: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads an object.
    ///
    /// # Errors
    /// Returns `PlatformError::NotDone` when the call fails.
    fn get_object(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;

    /// Lists live and leaving VMs, as last known to the platform.
    ///
    /// # Errors
    /// Returns `PlatformError::NotDone` when the call fails.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmRecord>, PlatformError>> + Send;
}
