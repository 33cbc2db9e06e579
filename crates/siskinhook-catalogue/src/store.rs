//! Validates edits and commits them by compare-and-set.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{
    Batch, Change, CommitOutcome, Entry, Platform, PlatformError, Revision, ServiceId,
};
use tokio::time::Instant;

use crate::{
    Accepted, AuditAction, AuditQuery, AuditRecord, AuditTrail, CatalogueReader, Edit, EditError,
    EntryView, SNAPSHOT_INTERVAL, Snapshot, UndoRequest,
    batch::{AppliedEdit, CatalogueState, condition, edit_batch, row_write},
    change_key,
    check::{Fault, check_catalogue, check_entry, is_name},
    danger::dangerous_effects,
    diff::difference,
    keys,
    state::{Counter, decode},
};

/// Maximum attempts to accept one edit, and maximum reads to bring the cached catalogue up to date.
/// An attempt fails when another edit was accepted first or when a call to the platform failed.
const MAX_ATTEMPTS: u32 = 20;

/// Attempts refused by the platform after which an edit is given up, provided that no answer was
/// lost.
const MAX_FAILURES: u32 = 3;

/// Time limit for starting attempts of one edit; an operator waits for the result.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(8);

/// Linear backoff: the wait before a retry is random, up to this time multiplied by the number of
/// attempts so far.
const BACKOFF_STEP: Duration = Duration::from_millis(25);

/// Accepts edits and reads the catalogue on the platform. Clones share a cached copy of the
/// catalogue, which is brought up to date before each use.
#[derive(Clone, Debug)]
pub struct CatalogueStore<P> {
    platform: P,
    reader: CatalogueReader<P>,
    trail: AuditTrail<P>,
    cache: Arc<Mutex<Option<Arc<Snapshot>>>>,
    rng: Arc<Mutex<SmallRng>>,
    /// Revision of the newest snapshot known to this node.
    snapshot_revision: Arc<AtomicU64>,
}

/// Outcome of one attempt to accept an edit.
enum AttemptOutcome {
    Done(Accepted),
    /// Another edit was accepted first; validate the edit again and retry.
    Retry,
    /// The platform did not apply the edit, for this reason.
    NotDone(String),
    /// The answer to the commit was lost, so the edit may have been applied.
    AnswerLost(String),
}

impl<P: Platform> CatalogueStore<P> {
    /// Creates a store; `seed` determines the random waits between attempts.
    #[must_use]
    pub fn new(platform: P, seed: u64) -> Self {
        Self {
            reader: CatalogueReader::new(platform.clone()),
            trail: AuditTrail::new(platform.clone()),
            platform,
            cache: Arc::default(),
            rng: Arc::new(Mutex::new(SmallRng::seed_from_u64(seed))),
            snapshot_revision: Arc::default(),
        }
    }

    /// Returns the current catalogue on the platform.
    ///
    /// # Errors
    /// Fails when the platform cannot be read.
    pub async fn snapshot(&self) -> Result<Arc<Snapshot>, PlatformError> {
        Ok(self.sync_snapshot().await?.0)
    }

    /// Returns one entry with its revision, to base an edit on.
    ///
    /// # Errors
    /// Fails when the platform cannot be read.
    pub async fn entry(&self, service: &str) -> Result<Option<EntryView>, PlatformError> {
        Ok(entry_view(&*self.snapshot().await?, service))
    }

    /// Returns the reader of the audit trail.
    #[must_use]
    pub const fn trail(&self) -> &AuditTrail<P> {
        &self.trail
    }

    /// Returns the accepted edits of an entry, newest first.
    ///
    /// # Errors
    /// Fails when the platform cannot be read.
    pub async fn history(
        &self,
        service: &str,
        limit: usize,
    ) -> Result<Vec<AuditRecord>, PlatformError> {
        let query = AuditQuery {
            service: Some(service.into()),
            edits: true,
            limit,
            ..AuditQuery::default()
        };
        self.trail.query(&query).await
    }

    /// Validates an edit without accepting it, and returns the effects that need a confirmation.
    ///
    /// # Errors
    /// The errors of `accept`, except for unconfirmed effects.
    pub async fn check(&self, edit: &Edit) -> Result<Vec<String>, EditError> {
        let current = self
            .read_state()
            .await
            .map_err(|error| unavailable_error(&error))?;
        self.validate(edit, &current.snapshot).await
    }

    /// Accepts an edit. The change, the entry and the audit record are written in one batch, on the
    /// condition that no other edit was accepted meanwhile. If another entry changed, the edit is
    /// validated and written again; if the same entry changed, the edit is refused with the
    /// difference. An edit id is applied at most once, also after a lost answer.
    ///
    /// # Errors
    /// Returns why the edit was not accepted, or `EditError::Unknown` when it may have been.
    pub async fn accept(&self, edit: &Edit) -> Result<Accepted, EditError> {
        if !is_name(&edit.id) {
            return Err(EditError::Invalid(vec![format!(
                "id: {:?} is not an edit id; use 1 to 64 letters, digits, '-', '_' or '.'",
                edit.id
            )]));
        }
        let mut answer_lost = false;
        let mut failures = 0;
        let mut reason = String::new();
        let deadline = Instant::now() + ACCEPT_TIMEOUT;
        for attempt in 0..MAX_ATTEMPTS {
            if Instant::now() >= deadline {
                break;
            }
            if attempt > 0 {
                let wait = BACKOFF_STEP * attempt;
                tokio::time::sleep(wait.mul_f64(self.jitter())).await;
            }
            match self.try_accept(edit).await? {
                AttemptOutcome::Done(accepted) => {
                    self.write_snapshot(accepted.revision).await;
                    return Ok(Accepted {
                        // If this call lost an answer, the edit found under the id is its own.
                        repeated: accepted.repeated && !answer_lost,
                        ..accepted
                    });
                }
                AttemptOutcome::Retry => reason = "other edits were accepted first".into(),
                AttemptOutcome::AnswerLost(text) => {
                    answer_lost = true;
                    reason = text;
                }
                AttemptOutcome::NotDone(text) => {
                    failures += 1;
                    reason = text;
                    // The edit is certainly not applied, so the operator can decide whether to
                    // repeat it.
                    if !answer_lost && failures >= MAX_FAILURES {
                        break;
                    }
                }
            }
        }
        if answer_lost {
            Err(EditError::Unknown {
                id: edit.id.clone(),
                reason,
            })
        } else {
            Err(EditError::Unavailable(reason))
        }
    }

    /// Undoes the change that made a revision by a new edit that restores the previous version of
    /// the entry. The undo is refused if the entry has changed again since that revision.
    ///
    /// # Errors
    /// The errors of `accept`, and `EditError::NoUndo` when the revision cannot be undone.
    pub async fn undo(&self, request: UndoRequest) -> Result<Accepted, EditError> {
        let revision = request.revision;
        let row = self.platform.get(&change_key(revision)).await;
        let Some(row) = row.map_err(|error| unavailable_error(&error))? else {
            return Err(EditError::NoUndo(format!(
                "there is no revision {revision}; see the history of the entry"
            )));
        };
        let change: Change = decode(&row).map_err(|error| unavailable_error(&error))?;
        let before = self.entry_before(&change).await?;
        let base = match change.entry {
            Some(_) => revision,
            None => 0,
        };
        let edit = Edit {
            id: request.id,
            service: change.service,
            entry: before,
            base,
            author: request.author,
            confirmed: request.confirmed,
            undoes: Some(revision),
        };
        self.accept(&edit).await
    }

    /// Returns the entry as it was before a change, from the audit record of the change.
    async fn entry_before(&self, change: &Change) -> Result<Option<Entry>, EditError> {
        let missing = || {
            EditError::NoUndo(format!(
                "the audit record of revision {} is missing; edit the entry instead",
                change.revision
            ))
        };
        let applied = self
            .applied_edit(&change.edit)
            .await
            .map_err(|error| unavailable_error(&error))?;
        let sequence = applied.ok_or_else(missing)?.sequence;
        let record = self
            .trail
            .record(sequence)
            .await
            .map_err(|error| unavailable_error(&error))?;
        match record.ok_or_else(missing)?.draft.action {
            AuditAction::Edit { before, .. } => Ok(before.map(|entry| *entry)),
            _ => Err(missing()),
        }
    }

    async fn try_accept(&self, edit: &Edit) -> Result<AttemptOutcome, EditError> {
        let current = match self.read_state().await {
            Ok(current) => current,
            Err(error) => return Ok(AttemptOutcome::NotDone(error.to_string())),
        };
        // The edit id has to be looked up after the catalogue was read: if an earlier attempt is
        // not found here, the catalogue that is validated below does not contain it either.
        match self.applied_edit(&edit.id).await {
            Ok(Some(applied)) => return self.resolve_repeated(edit, &applied).await,
            Ok(None) => {}
            Err(error) => return Ok(AttemptOutcome::NotDone(error.to_string())),
        }
        let effects = self.validate(edit, &current.snapshot).await?;
        if !effects.is_empty() && !edit.confirmed {
            return Err(EditError::Dangerous(effects));
        }
        let revision = current.revision.value + 1;
        let batch = edit_batch(edit, &current);
        Ok(match self.platform.commit(batch).await {
            Ok(CommitOutcome::Applied) => AttemptOutcome::Done(Accepted {
                revision,
                repeated: false,
            }),
            Ok(CommitOutcome::Conflict { .. }) => AttemptOutcome::Retry,
            Err(PlatformError::NotDone(reason)) => AttemptOutcome::NotDone(reason),
            Err(PlatformError::MayBeDone(reason)) => AttemptOutcome::AnswerLost(reason),
        })
    }

    /// Returns the outcome of an edit whose id was accepted before.
    async fn resolve_repeated(
        &self,
        edit: &Edit,
        applied: &AppliedEdit,
    ) -> Result<AttemptOutcome, EditError> {
        let row = match self.platform.get(&change_key(applied.revision)).await {
            Ok(row) => row,
            Err(error) => return Ok(AttemptOutcome::NotDone(error.to_string())),
        };
        let change: Option<Change> = row
            .as_ref()
            .map(decode)
            .transpose()
            .map_err(|error| unavailable_error(&error))?;
        let same = change.is_some_and(|c| c.service == edit.service && c.entry == edit.entry);
        if same {
            Ok(AttemptOutcome::Done(Accepted {
                revision: applied.revision,
                repeated: true,
            }))
        } else {
            Err(EditError::IdUsed {
                id: edit.id.clone(),
                revision: applied.revision,
            })
        }
    }

    /// Validates an edit against the catalogue, and returns the effects that need a confirmation.
    async fn validate(&self, edit: &Edit, snapshot: &Snapshot) -> Result<Vec<String>, EditError> {
        let service = &edit.service;
        let old = entry_view(snapshot, service);
        let before = old.as_ref().map(|view| &view.entry);
        for owner in [before, edit.entry.as_ref()]
            .into_iter()
            .flatten()
            .map(|entry| &entry.owner)
        {
            if *owner != edit.author.partner {
                return Err(EditError::NotOwner {
                    service: service.clone(),
                    owner: owner.clone(),
                    partner: edit.author.partner.clone(),
                });
            }
        }
        let revision = old.as_ref().map_or(0, |view| view.revision);
        if revision != edit.base {
            return Err(self.stale_error(edit, old.as_ref()).await);
        }
        if before == edit.entry.as_ref() {
            return Err(EditError::Unchanged(service.clone()));
        }
        if let Some(entry) = &edit.entry {
            let faults = entry_faults(service, entry, before, snapshot);
            if !faults.is_empty() {
                return Err(EditError::Invalid(faults));
            }
        }
        Ok(dangerous_effects(before, edit.entry.as_ref()))
    }

    /// Returns the error for an edit of an entry that changed since its base revision. The base
    /// version is taken from the audit trail; if it is not found there, the error shows the
    /// difference between the current and the proposed entry.
    async fn stale_error(&self, edit: &Edit, current: Option<&EntryView>) -> EditError {
        let history = self.history(&edit.service, 64).await.unwrap_or_default();
        let base = history
            .iter()
            .find_map(|record| match &record.draft.action {
                AuditAction::Edit {
                    revision, after, ..
                } if *revision == edit.base => after.as_deref(),
                _ => None,
            });
        let now = current.map(|view| &view.entry);
        let shown = if base.is_some() || edit.base == 0 {
            difference(base, now, ("as you read it", "as it is now"))
        } else {
            difference(now, edit.entry.as_ref(), ("as it is now", "your edit"))
        };
        EditError::Stale {
            service: edit.service.clone(),
            revision: current.map_or(0, |view| view.revision),
            operator: history.first().map(|record| record.draft.person.clone()),
            difference: shown,
        }
    }

    async fn applied_edit(&self, id: &str) -> Result<Option<AppliedEdit>, PlatformError> {
        let row = self.platform.get(&keys::edit_key(id)).await?;
        row.as_ref().map(decode).transpose()
    }

    async fn read_state(&self) -> Result<CatalogueState, PlatformError> {
        let (snapshot, revision) = self.sync_snapshot().await?;
        let row = self.platform.get(keys::AUDIT_SEQUENCE).await?;
        Ok(CatalogueState {
            snapshot,
            revision,
            sequence: Counter::read(row.as_ref())?,
        })
    }

    /// Brings the cached catalogue up to date with the platform, and returns it with the row that
    /// holds its revision.
    async fn sync_snapshot(&self) -> Result<(Arc<Snapshot>, Counter), PlatformError> {
        let mut snapshot = match self.cached() {
            Some(snapshot) => snapshot,
            None => Arc::new(self.reader.load().await?),
        };
        for _ in 0..MAX_ATTEMPTS {
            let revision = self.reader.counter().await?;
            if snapshot.catalogue.revision < revision.value {
                self.reader.catch_up(Arc::make_mut(&mut snapshot)).await?;
            }
            self.update_cache(&snapshot);
            if snapshot.catalogue.revision == revision.value {
                return Ok((snapshot, revision));
            }
            // An edit was accepted between reading the revision and reading the changes.
        }
        Err(PlatformError::NotDone(
            "the catalogue changes faster than it can be read".into(),
        ))
    }

    /// Returns a random factor from 0 up to, but not including, 1.
    fn jitter(&self) -> f64 {
        self.rng
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .random()
    }

    fn cached(&self) -> Option<Arc<Snapshot>> {
        self.cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn update_cache(&self, snapshot: &Arc<Snapshot>) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = cache
            .as_ref()
            .is_none_or(|old| old.catalogue.revision < snapshot.catalogue.revision);
        if newer {
            *cache = Some(snapshot.clone());
        }
    }

    /// Writes a snapshot when the newest one is `SNAPSHOT_INTERVAL` revisions old. A failure does
    /// not affect the edit: no change is lost, and the next edit tries again.
    async fn write_snapshot(&self, revision: Revision) {
        if let Err(error) = self.try_write_snapshot(revision).await {
            log::warn!(
                event = 3041, revision = revision;
                "cannot write a catalogue snapshot, the next edit tries again: {error}"
            );
        }
    }

    async fn try_write_snapshot(&self, revision: Revision) -> Result<(), PlatformError> {
        let known = self.snapshot_revision.load(Ordering::Relaxed);
        if revision < known + SNAPSHOT_INTERVAL {
            return Ok(());
        }
        let row = self.platform.get(keys::SNAPSHOT).await?;
        let last = Counter::read(row.as_ref())?;
        self.snapshot_revision.store(last.value, Ordering::Relaxed);
        if revision < last.value + SNAPSHOT_INTERVAL {
            return Ok(());
        }
        let snapshot = self.snapshot().await?;
        let revision = snapshot.catalogue.revision;
        let data = serde_json::to_vec(&*snapshot)
            .map_err(|error| PlatformError::NotDone(error.to_string()))?;
        self.platform
            .put_object(&keys::snapshot_key(revision), data.into())
            .await?;
        let batch = Batch {
            conditions: vec![condition(keys::SNAPSHOT, last.version)],
            writes: vec![row_write(keys::SNAPSHOT, Some(revision.into()))],
        };
        // On a conflict another node has already written a snapshot.
        self.platform.commit(batch).await.map(|_| ())
    }
}

fn entry_view(snapshot: &Snapshot, service: &str) -> Option<EntryView> {
    Some(EntryView {
        revision: *snapshot.revisions.get(service)?,
        entry: snapshot.catalogue.entries.get(service)?.clone(),
    })
}

fn entry_faults(
    service: &ServiceId,
    entry: &Entry,
    before: Option<&Entry>,
    snapshot: &Snapshot,
) -> Vec<String> {
    let mut faults: Vec<String> = check_entry(entry)
        .into_iter()
        .chain(check_catalogue(entry, &snapshot.catalogue))
        .map(|fault: Fault| fault.to_string())
        .collect();
    if entry.name != *service {
        faults.push(format!(
            "name: the entry is named {} and the edit is for {service}; use one name, an entry \
             cannot be renamed",
            entry.name
        ));
    }
    for (id, database) in &entry.databases {
        let is_existing = before.is_some_and(|entry| entry.databases.contains_key(id));
        if database.servers.is_empty() && !is_existing {
            faults.push(format!(
                "databases.{id}.servers: the database has no server; list at least one"
            ));
        }
    }
    faults
}

fn unavailable_error(error: &PlatformError) -> EditError {
    EditError::Unavailable(error.to_string())
}
