//! Reads the catalogue from the table service and object store of the platform.

use siskinhook_types::{Catalogue, Change, Platform, PlatformError, Revision};

use crate::CatalogueUpdate;

/// Key of the row with the newest revision, a number. Absent while the catalogue is empty.
pub const REVISION_KEY: &str = "catalogue/revision";
/// Key prefix of the rows with one [`Change`] each. The revision follows with 16 digits, so that
/// keys sort by revision.
pub const CHANGE_PREFIX: &str = "catalogue/change/";
/// Key of the row with the revision of the newest snapshot, a number.
pub const SNAPSHOT_KEY: &str = "catalogue/snapshot";
/// Key prefix of the snapshot objects, each a [`Catalogue`] as JSON. The revision follows.
pub const SNAPSHOT_PREFIX: &str = "catalogue/snapshot/";

/// Maximum number of rows per read.
const PAGE_ROWS: usize = 64;
/// Number of missing revisions above which a node reads the newest snapshot instead of all changes.
const SNAPSHOT_GAP: Revision = 256;

/// Returns the key of the row with the change that produced a revision.
#[must_use]
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{revision:016}")
}

/// Returns the key of the object with the catalogue at a revision.
#[must_use]
pub fn snapshot_key(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{revision}")
}

/// Reads the changes after a revision. Without a revision, or when too many changes are missing,
/// reads the newest snapshot and the changes after it.
pub(crate) async fn read_catalogue<S: Platform>(
    platform: &S,
    after: Option<Revision>,
) -> Result<CatalogueUpdate, PlatformError> {
    let newest = read_number(platform, REVISION_KEY).await?;
    let mut update = CatalogueUpdate::default();
    let mut base = match after {
        Some(after) if newest <= after => return Ok(update),
        Some(after) if newest - after <= SNAPSHOT_GAP => after,
        _ => {
            let snapshot = read_snapshot(platform).await?;
            let base = snapshot.revision.max(after.unwrap_or_default());
            update.snapshot = Some(snapshot);
            base
        }
    };
    while base < newest {
        let rows = platform
            .list(CHANGE_PREFIX, &change_key(base), PAGE_ROWS)
            .await?;
        let before = base;
        for row in rows {
            let change: Change = serde_json::from_value(row.value)
                .map_err(|e| unreadable(&row.key, &e.to_string()))?;
            base = change.revision;
            update.changes.push(change);
        }
        if base == before {
            break;
        }
    }
    Ok(update)
}

/// Reads the newest snapshot; returns the empty catalogue when there is none yet.
async fn read_snapshot<S: Platform>(platform: &S) -> Result<Catalogue, PlatformError> {
    let revision = read_number(platform, SNAPSHOT_KEY).await?;
    if revision == 0 {
        return Ok(Catalogue::default());
    }
    let key = snapshot_key(revision);
    let object = platform.get_object(&key).await?;
    let bytes = object.ok_or_else(|| unreadable(&key, "the object is absent"))?;
    serde_json::from_slice(&bytes).map_err(|e| unreadable(&key, &e.to_string()))
}

async fn read_number<S: Platform>(platform: &S, key: &str) -> Result<Revision, PlatformError> {
    let Some(row) = platform.get(key).await? else {
        return Ok(0);
    };
    row.value
        .as_u64()
        .ok_or_else(|| unreadable(key, "the value is not a number"))
}

fn unreadable(key: &str, reason: &str) -> PlatformError {
    PlatformError::NotDone(format!("{key} cannot be used: {reason}"))
}
