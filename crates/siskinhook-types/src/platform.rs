//! The platform's table service, object store and list of VMs.

use std::{collections::BTreeMap, fmt, future::Future};

use bytes::Bytes;
use serde_json::Value;
use smol_str::SmolStr;

use crate::{Region, Zone, value_type};

value_type! {
    /// A row of the table.
    pub struct Row {
        /// Key.
        pub key: SmolStr,
        /// Version, increasing with each write of the row, from 1.
        pub version: u64,
        /// Value.
        pub value: Value,
    }

    /// Condition of a batch: the row has this version.
    pub struct Condition {
        /// Key.
        pub key: SmolStr,
        /// Expected version; 0 when the row must be absent.
        pub version: u64,
    }

    /// A write of one row.
    pub struct RowWrite {
        /// Key.
        pub key: SmolStr,
        /// New value; `None` removes the row.
        pub value: Option<Value>,
    }

    /// Writes that are applied together, if all conditions hold.
    #[derive(Default)]
    pub struct Batch {
        /// Conditions.
        pub conditions: Vec<Condition>,
        /// Writes.
        pub writes: Vec<RowWrite>,
    }

    /// Answer to a batch.
    pub enum CommitOutcome {
        /// All writes were applied.
        Applied,
        /// A condition failed and nothing was applied; the row as it is.
        Conflict {
            /// Key of the condition.
            key: SmolStr,
            /// The row, if there is one.
            row: Option<Row>,
        },
    }

    /// A VM in the platform's list, which lags by seconds.
    pub struct VmRecord {
        /// Name of the VM, equal to the name of the node on it.
        pub name: SmolStr,
        /// Region.
        pub region: Region,
        /// Zone.
        pub zone: Zone,
        /// Address of the node's peer interface as `ip:port`.
        pub address: SmolStr,
        /// Whether the platform is about to take the VM away.
        pub leaving: bool,
    }

    /// Why a call to the platform failed.
    pub enum PlatformError {
        /// The call did not take effect.
        NotDone(String),
        /// The answer was lost: a write may have taken effect.
        MayBeDone(String),
    }
}

impl Batch {
    /// Returns the conflict of the first condition that does not hold for the rows, which are
    /// stored by key.
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

/// The platform's services.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads a row.
    ///
    /// # Errors
    /// `PlatformError::NotDone`.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>> + Send;

    /// Reads a row together with the table service's own steady clock in milliseconds, where it
    /// tells one.
    ///
    /// # Errors
    /// `PlatformError::NotDone`.
    fn get_with_clock(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<(Option<Row>, Option<u64>), PlatformError>> + Send {
        async { Ok((self.get(key).await?, None)) }
    }

    /// Lists rows whose key starts with `prefix` and is greater than `after`, in key order.
    ///
    /// # Errors
    /// `PlatformError::NotDone`.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Applies a batch in one transaction.
    ///
    /// # Errors
    /// `PlatformError::MayBeDone` when the answer was lost.
    fn commit(
        &self,
        batch: Batch,
    ) -> impl Future<Output = Result<CommitOutcome, PlatformError>> + Send;

    /// Stores an object.
    ///
    /// # Errors
    /// `PlatformError::MayBeDone` when the answer was lost.
    fn put_object(
        &self,
        key: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads an object.
    ///
    /// # Errors
    /// `PlatformError::NotDone`.
    fn get_object(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;

    /// Lists live and leaving VMs as the platform last knew them.
    ///
    /// # Errors
    /// `PlatformError::NotDone`.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmRecord>, PlatformError>> + Send;
}
