//! Queue of the audit records of a node: keeps them while the platform is down and writes
//! them without duplicates.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Batch, CommitOutcome, Condition, Platform, PlatformError, RowWrite};

use crate::{AuditDraft, AuditRecord, AuditTrail, keys, state::Counter};

/// Maximum records per batch.
const MAX_BATCH_RECORDS: usize = 32;

/// Maximum records queued while the platform is down. This is many times the records of a day with
/// two primary changes and the ownership moves after the loss of a zone.
const QUEUE_CAPACITY: usize = 4096;

/// Conflicts with other writers of the audit trail after which a flush fails; the next flush tries
/// again.
const MAX_CONFLICTS: usize = 16;

/// Queues and writes the audit records of one node. Clones share the queue.
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

/// What is known about the end of the audit trail; kept between flushes.
#[derive(Debug, Default)]
struct FlushState {
    /// Row with the last sequence number, when known.
    end: Option<Counter>,
    /// Records of a batch whose answer was lost, and the end of the trail that the batch is
    /// conditional on.
    unconfirmed: Option<(Vec<AuditDraft>, Counter)>,
}

impl<P: Platform> AuditLog<P> {
    /// Creates a log with an empty queue.
    #[must_use]
    pub fn new(platform: P) -> Self {
        Self {
            platform,
            queue: Arc::default(),
            flushing: Arc::default(),
        }
    }

    /// Queues a record. When the queue is full, the oldest record is dropped and counted.
    pub fn record(&self, draft: AuditDraft) {
        let mut queue = self.lock();
        if queue.drafts.len() >= QUEUE_CAPACITY {
            queue.drafts.pop_front();
            queue.dropped += 1;
            log::error!(
                event = 3051, dropped = queue.dropped;
                "audit queue is full; dropped the oldest record"
            );
        }
        queue.drafts.push_back(draft);
    }

    /// Returns the number of queued records and the number of records dropped so far.
    #[must_use]
    pub fn queue_counts(&self) -> (usize, u64) {
        let queue = self.lock();
        (queue.drafts.len(), queue.dropped)
    }

    /// Writes the queued records.
    ///
    /// # Errors
    /// Fails when a platform call fails or other nodes keep writing the trail. The records stay
    /// queued, and a later flush writes each of them once.
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

    /// Flushes the queue periodically and never returns. Each wait is 0.5 to 1.5 times the
    /// interval; `seed` determines the jitter.
    pub async fn run(&self, interval: Duration, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        loop {
            let jitter = rng.random_range(0.5..1.5);
            tokio::time::sleep(interval.mul_f64(jitter)).await;
            if self.queue_counts().0 > 0
                && let Err(error) = self.flush().await
            {
                let (waiting, _) = self.queue_counts();
                log::warn!(
                    event = 3050, waiting = waiting;
                    "cannot write audit records, they stay queued: {error}"
                );
            }
        }
    }

    /// Determines whether a batch whose answer was lost was applied. If it was, its first record
    /// directly follows the end of the trail that the batch is conditional on.
    async fn resolve_unconfirmed(&self, state: &mut FlushState) -> Result<(), PlatformError> {
        let Some((drafts, end)) = &state.unconfirmed else {
            return Ok(());
        };
        let trail = AuditTrail::new(self.platform.clone());
        let Some(found) = trail.record(end.value + 1).await? else {
            // The batch was not applied so far but may still be in flight. The same batch is sent
            // again on the same condition, which only one of the two can meet.
            return Ok(());
        };
        // If another writer's record has this sequence number, the condition of the lost batch
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
