//! Platform client that limits its calls to the node's share of the capacity.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use siskinhook_types::{Batch, CommitOutcome, Platform, PlatformError, Row, VmRecord};
use tokio::time::Instant;

use crate::{Budget, BudgetSettings, CallKind, Counters, Health, Refusal};

/// Wraps a platform client and limits its calls to the node's share of the capacity. Calls back
/// off with full jitter when the platform fails or is slow, so that the nodes return spread out
/// after an outage. Clones share the budget.
#[derive(Clone, Debug)]
pub struct Budgeted<P> {
    inner: P,
    budget: Arc<Mutex<Budget>>,
    counters: Arc<Counters>,
    urgent: bool,
}

impl<P: Platform> Budgeted<P> {
    /// Wraps a client. The budget assumes a fleet of one node until `set_nodes` is called.
    #[must_use]
    pub fn new(inner: P, settings: BudgetSettings, seed: u64) -> Self {
        let budget = Budget::new(settings, 1, seed, Instant::now().into_std());
        Self {
            inner,
            budget: Arc::new(Mutex::new(budget)),
            counters: Arc::default(),
            urgent: false,
        }
    }

    /// Sets the number of live nodes among which the fleet's share is divided.
    pub fn set_nodes(&self, nodes: usize) {
        self.lock().set_nodes(nodes, Instant::now().into_std());
    }

    /// Returns a handle for urgent work, which someone waits for, such as edits and promotions.
    /// Its calls may exceed the rate by a limited number and are not refused during a backoff.
    #[must_use]
    pub fn urgent(&self) -> Self {
        Self {
            urgent: true,
            ..self.clone()
        }
    }

    /// Returns the counters of the calls to the platform.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        self.counters.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let reserved = self
            .lock()
            .reserve(kind, self.urgent, Instant::now().into_std());
        let wait = reserved.map_err(|refusal| {
            let refused = match kind {
                CallKind::Read => &self.counters.refused_reads,
                CallKind::Write => &self.counters.refused_writes,
            };
            refused.fetch_add(1, Ordering::Relaxed);
            if let Refusal::Share(_) = refusal {
                log::warn!(event = 5005; "a call to the platform was not sent: {refusal}");
            }
            PlatformError::NotDone(refusal.to_string())
        })?;
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
            self.counters
                .waited
                .fetch_add(milliseconds(wait), Ordering::Relaxed);
        }
        let sent = match kind {
            CallKind::Read => &self.counters.reads,
            CallKind::Write => &self.counters.writes,
        };
        sent.fetch_add(1, Ordering::Relaxed);
        let start = Instant::now();
        let result = call.await;
        let now = Instant::now();
        let health = match &result {
            Ok(_) => self.lock().record_answer(now - start, now.into_std()),
            Err(_) => self.lock().record_failure(now.into_std()),
        };
        match health {
            Some(Health::Slow) => {
                log::warn!(event = 5001; "a call to the platform was slow or failed");
            }
            Some(Health::Down) => log::error!(event = 5002; "calls to the platform fail"),
            Some(Health::Good) => log::info!(event = 5003; "the platform answers again"),
            None => {}
        }
        if let Err(error) = &result {
            let counter = match (error, kind) {
                (PlatformError::MayBeDone(_), _) => {
                    log::warn!(event = 5004; "{error}");
                    &self.counters.lost
                }
                (PlatformError::NotDone(_), CallKind::Read) => &self.counters.failed_reads,
                (PlatformError::NotDone(_), CallKind::Write) => &self.counters.failed_writes,
            };
            counter.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl<P: Platform> Platform for Budgeted<P> {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.call(CallKind::Read, self.inner.get(key)).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.call(CallKind::Read, self.inner.list(prefix, after, limit))
            .await
    }

    async fn commit(&self, batch: Batch) -> Result<CommitOutcome, PlatformError> {
        self.call(CallKind::Write, self.inner.commit(batch)).await
    }

    async fn put_object(&self, key: &str, data: Bytes) -> Result<(), PlatformError> {
        self.call(CallKind::Write, self.inner.put_object(key, data))
            .await
    }

    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        self.call(CallKind::Read, self.inner.get_object(key)).await
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.call(CallKind::Read, self.inner.vms()).await
    }
}
