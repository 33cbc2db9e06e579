//! In-memory platform with one catalogue and a list of VMs. Counts reads; writes fail.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use siskinhook_fleet::{CHANGE_PREFIX, REVISION_KEY, SNAPSHOT_KEY, change_key, snapshot_key};
use siskinhook_types::{
    Batch, Catalogue, Change, CommitOutcome, Platform, PlatformError, Revision, Row, VmRecord,
};

#[derive(Clone, Default)]
pub struct FakePlatform(Arc<Mutex<PlatformContents>>);

#[derive(Default)]
pub struct PlatformContents {
    pub snapshot: Catalogue,
    pub changes: Vec<Change>,
    pub vms: Vec<VmRecord>,
    pub down: bool,
    pub reads: u64,
}

impl FakePlatform {
    pub fn contents(&self) -> MutexGuard<'_, PlatformContents> {
        self.0.lock().expect("no thread panicked with the lock")
    }

    /// Counts a read and returns the contents; fails while the platform is down.
    fn read(&self) -> Result<MutexGuard<'_, PlatformContents>, PlatformError> {
        let mut contents = self.contents();
        contents.reads += 1;
        if contents.down {
            return Err(PlatformError::NotDone("the platform is down".into()));
        }
        Ok(contents)
    }
}

impl PlatformContents {
    pub fn revision(&self) -> Revision {
        self.snapshot.revision + self.changes.len() as Revision
    }
}

fn row(key: &str, value: serde_json::Value) -> Row {
    Row {
        key: key.into(),
        version: 1,
        value,
    }
}

impl Platform for FakePlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let contents = self.read()?;
        let number = match key {
            REVISION_KEY => contents.revision(),
            SNAPSHOT_KEY => contents.snapshot.revision,
            _ => 0,
        };
        Ok((number > 0).then(|| row(key, number.into())))
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        assert_eq!(prefix, CHANGE_PREFIX);
        let contents = self.read()?;
        let rows = contents.changes.iter().map(|change| {
            let value = serde_json::to_value(change).expect("a change can be written");
            row(&change_key(change.revision), value)
        });
        Ok(rows.filter(|row| *row.key > *after).take(limit).collect())
    }

    async fn commit(&self, _: Batch) -> Result<CommitOutcome, PlatformError> {
        Err(PlatformError::NotDone("the table is read-only".into()))
    }

    async fn put_object(&self, _: &str, _: Bytes) -> Result<(), PlatformError> {
        Err(PlatformError::NotDone("the store is read-only".into()))
    }

    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let contents = self.read()?;
        assert_eq!(key, snapshot_key(contents.snapshot.revision));
        let data = serde_json::to_vec(&contents.snapshot).expect("a catalogue can be written");
        Ok(Some(data.into()))
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        Ok(self.read()?.vms.clone())
    }
}
