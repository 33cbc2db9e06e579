//! Audit records of nodes: queued while the platform is down, written once.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Batch, CommitOutcome, Condition, Platform, PlatformError, RowWrite};

use crate::{AuditDraft, AuditRecord, AuditTrail, keys, state::Counter};

/// Records written by one batch.
const MAX_BATCH_RECORDS: usize = 32;

/// Records kept while the platform is down. Two primary changes a day and the ownership moves
/// of a lost zone fit many times.
const QUEUE_CAPACITY: usize = 4096;

/// Conflicts with other writers of the trail before a flush gives up until the next one.
const MAX_CONFLICTS: usize = 16;

/// Writes the audit records of one node. Clones share the queue.
#[derive(Clone, Debug)]
pub struct AuditLog<P> {
    platform: P,
    queue: Arc<Mutex<Queue>>,
    flushing: Arc<tokio::sync::Mutex<FlushState>>,
}

#[derive(Debug, Default)]
struct Queue {
    drafts: VecDeque<AuditDraft>,
    dropped: u64,
}

/// What the flushing task knows about the trail.
#[derive(Debug, Default)]
struct FlushState {
    /// Last known end of the trail.
    end: Option<Counter>,
    /// A batch whose answer was lost, and the end of the trail that it was written for.
    unconfirmed: Option<(Vec<AuditDraft>, Counter)>,
}

impl<P: Platform> AuditLog<P> {
    /// Creates a log.
    #[must_use]
    pub fn new(platform: P) -> Self {
        Self {
            platform,
            queue: Arc::default(),
            flushing: Arc::default(),
        }
    }

    /// Queues a record. When the queue is full the oldest record is dropped and counted.
    pub fn record(&self, draft: AuditDraft) {
        let mut queue = self.lock();
        if queue.drafts.len() >= QUEUE_CAPACITY {
            queue.drafts.pop_front();
            queue.dropped += 1;
            log::error!(
                event = 3051, dropped = queue.dropped;
                "audit queue is full, the oldest record was dropped"
            );
        }
        queue.drafts.push_back(draft);
    }

    /// Returns the number of records that wait, and of those dropped so far.
    #[must_use]
    pub fn queue_counts(&self) -> (usize, u64) {
        let queue = self.lock();
        (queue.drafts.len(), queue.dropped)
    }

    /// Writes the queued records.
    ///
    /// # Errors
    /// The platform failed; the records stay queued and a later flush writes each once.
    pub async fn flush(&self) -> Result<(), PlatformError> {
        let mut state = self.flushing.lock().await;
        let mut conflicts = 0;
        loop {
            self.resolve_unconfirmed(&mut state).await?;
            let (drafts, end) = if let Some(unconfirmed) = &state.unconfirmed {
                unconfirmed.clone()
            } else {
                let drafts = self.next_batch();
                if drafts.is_empty() {
                    return Ok(());
                }
                let end = match state.end {
                    Some(end) => end,
                    None => Counter::read(self.platform.get(keys::AUDIT_SEQUENCE).await?.as_ref())?,
                };
                (drafts, end)
            };
            let batch = Self::batch(&drafts, end);
            match self.platform.commit(batch).await {
                Ok(CommitOutcome::Applied) => {
                    self.remove_written(&drafts);
                    state.unconfirmed = None;
                    state.end = Some(Counter {
                        value: end.value + drafts.len() as u64,
                        version: end.version + 1,
                    });
                }
                Ok(CommitOutcome::Conflict { row, .. }) => {
                    state.end = Some(Counter::read(row.as_ref())?);
                    conflicts += 1;
                    if conflicts >= MAX_CONFLICTS {
                        return Err(PlatformError::NotDone(
                            "other nodes write the audit trail; trying again later".into(),
                        ));
                    }
                }
                Err(error) => {
                    if matches!(error, PlatformError::MayBeDone(_)) {
                        state.unconfirmed = Some((drafts, end));
                    }
                    state.end = None;
                    return Err(error);
                }
            }
        }
    }

    /// Flushes about once per interval, for as long as the task runs; the seed determines the
    /// jitter.
    pub async fn run(&self, interval: Duration, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        loop {
            let jitter = rng.random_range(0.5..1.5);
            tokio::time::sleep(interval.mul_f64(jitter)).await;
            if self.queue_counts().0 > 0
                && let Err(error) = self.flush().await
            {
                let (waiting, _) = self.queue_counts();
                log::warn!(event = 3050, waiting = waiting; "audit records wait: {error}");
            }
        }
    }

    /// Finds out whether a batch whose answer was lost was applied. If so, its first record
    /// stands right after the end that it was written for.
    async fn resolve_unconfirmed(&self, state: &mut FlushState) -> Result<(), PlatformError> {
        let Some((drafts, end)) = &state.unconfirmed else {
            return Ok(());
        };
        let trail = AuditTrail::new(self.platform.clone());
        let Some(found) = trail.record(end.value + 1).await? else {
            // Not applied so far, but it may still be under way. The same batch for the same
            // end is sent again: only one of the two can meet the condition.
            return Ok(());
        };
        // A record of another writer in this place means that the condition of the lost batch
        // can no longer hold.
        if drafts
            .first()
            .is_some_and(|draft| draft.id == found.draft.id)
        {
            self.remove_written(drafts);
        }
        state.unconfirmed = None;
        state.end = None;
        Ok(())
    }

    fn next_batch(&self) -> Vec<AuditDraft> {
        self.lock()
            .drafts
            .iter()
            .take(MAX_BATCH_RECORDS)
            .cloned()
            .collect()
    }

    fn batch(drafts: &[AuditDraft], end: Counter) -> Batch {
        let mut writes = Vec::new();
        for (draft, sequence) in drafts.iter().zip(end.value + 1..) {
            let record = AuditRecord {
                sequence,
                draft: draft.clone(),
            };
            writes.extend(record.writes());
        }
        writes.push(RowWrite {
            key: keys::AUDIT_SEQUENCE.into(),
            value: Some((end.value + drafts.len() as u64).into()),
        });
        Batch {
            conditions: vec![Condition {
                key: keys::AUDIT_SEQUENCE.into(),
                version: end.version,
            }],
            writes,
        }
    }

    fn remove_written(&self, drafts: &[AuditDraft]) {
        self.lock()
            .drafts
            .retain(|queued| drafts.iter().all(|draft| draft.id != queued.id));
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
