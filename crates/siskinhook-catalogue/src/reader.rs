//! Reads revisions, changes and snapshots of the catalogue.

use siskinhook_types::{Change, Platform, PlatformError, Revision};

use crate::{
    Snapshot, change_key, keys,
    state::{Counter, decode},
};

/// Changes read by one call; a page of full entries stays under 1 MB.
const PAGE_SIZE: usize = 256;

/// Reads the catalogue from the platform.
#[derive(Clone, Debug)]
pub struct CatalogueReader<P> {
    platform: P,
}

impl<P: Platform> CatalogueReader<P> {
    /// Creates a reader.
    #[must_use]
    pub const fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Returns the current revision; 0 for a new catalogue.
    ///
    /// # Errors
    /// Fails when the platform cannot be read.
    pub async fn revision(&self) -> Result<Revision, PlatformError> {
        Ok(self.counter().await?.value)
    }

    /// Returns up to 256 changes after a revision, in order and without gaps.
    ///
    /// # Errors
    /// Fails when the platform cannot be read.
    pub async fn changes(&self, after: Revision) -> Result<Vec<Change>, PlatformError> {
        let rows = self
            .platform
            .list(keys::CHANGE_PREFIX, &change_key(after), PAGE_SIZE)
            .await?;
        rows.iter().map(decode).collect()
    }

    /// Reads the newest snapshot and applies the changes after it.
    ///
    /// # Errors
    /// Fails when the platform cannot be read or a change is missing.
    pub async fn load(&self) -> Result<Snapshot, PlatformError> {
        let mut snapshot = self.snapshot().await?;
        self.catch_up(&mut snapshot).await?;
        Ok(snapshot)
    }

    /// Applies all changes after the revision of `snapshot`.
    ///
    /// # Errors
    /// Fails when the platform cannot be read or a change is missing.
    pub async fn catch_up(&self, snapshot: &mut Snapshot) -> Result<(), PlatformError> {
        loop {
            let changes = self.changes(snapshot.catalogue.revision).await?;
            for change in &changes {
                if !snapshot.apply(change) {
                    return Err(PlatformError::NotDone(format!(
                        "the change of revision {} is missing from the platform's table, found \
                         {}; restore the row {}",
                        snapshot.catalogue.revision + 1,
                        change.revision,
                        change_key(snapshot.catalogue.revision + 1)
                    )));
                }
            }
            if changes.len() < PAGE_SIZE {
                return Ok(());
            }
        }
    }

    pub(crate) async fn counter(&self) -> Result<Counter, PlatformError> {
        Counter::read(self.platform.get(keys::REVISION).await?.as_ref())
    }

    /// Reads the newest snapshot. If it is missing or damaged, returns an empty one, so that the
    /// catalogue is rebuilt from the first change; this takes more reads and gives the same result.
    async fn snapshot(&self) -> Result<Snapshot, PlatformError> {
        let row = self.platform.get(keys::SNAPSHOT).await?;
        let Counter { value, .. } = Counter::read(row.as_ref())?;
        if value == 0 {
            return Ok(Snapshot::default());
        }
        let object = self.platform.get_object(&keys::snapshot_key(value)).await?;
        let parsed = object.map(|data| serde_json::from_slice(&data));
        Ok(match parsed {
            Some(Ok(snapshot)) => snapshot,
            Some(Err(error)) => {
                log::warn!(
                    event = 3040;
                    "cannot decode snapshot {value}, reading all changes instead: {error}"
                );
                Snapshot::default()
            }
            None => {
                log::warn!(
                    event = 3040;
                    "snapshot {value} is missing from the object store, reading all changes instead"
                );
                Snapshot::default()
            }
        })
    }
}
