//! Catalogue snapshots, and decoding of stored rows.

use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use siskinhook_types::{Catalogue, Change, PlatformError, Revision, Row, ServiceId, value_type};

value_type! {
    /// The catalogue at one revision, with the revision of each entry. A snapshot is stored as an
    /// object every `SNAPSHOT_INTERVAL` revisions. The object can also be decoded as a plain
    /// `Catalogue`, which is all that nodes need.
    #[derive(Default)]
    pub struct Snapshot {
        /// The catalogue.
        #[serde(flatten)]
        pub catalogue: Catalogue,
        /// Revision of the last change of each entry.
        pub revisions: IndexMap<ServiceId, Revision>,
    }
}

impl Snapshot {
    /// Applies a change if it makes the next revision, and returns whether it was applied.
    pub fn apply(&mut self, change: &Change) -> bool {
        if !self.catalogue.apply(change) {
            return false;
        }
        if change.entry.is_some() {
            self.revisions
                .insert(change.service.clone(), change.revision);
        } else {
            self.revisions.shift_remove(&change.service);
        }
        true
    }
}

/// Value and version of a row that stores a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counter {
    pub value: u64,
    pub version: u64,
}

impl Counter {
    /// Decodes the row; value and version of a missing row are 0.
    pub fn read(row: Option<&Row>) -> Result<Self, PlatformError> {
        row.map_or(Ok(Self::default()), |row| {
            Ok(Self {
                value: decode(row)?,
                version: row.version,
            })
        })
    }
}

/// Decodes the value of a row.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_value(row.value.clone()).map_err(|error| {
        PlatformError::NotDone(format!(
            "row {} cannot be read: {error}; it was written by an incompatible version",
            row.key
        ))
    })
}
