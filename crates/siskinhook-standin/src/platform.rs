//! The platform: table, object store and the lagging list of VMs.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Batch, CommitOutcome, Platform, PlatformError, Row, VmRecord, value_type};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until};

use crate::{
    lock,
    network::{Endpoint, Network},
};

/// Writes that the platform takes per second, objects and table together.
const WRITES: u32 = 300;
/// Reads that the platform takes per second, objects and table together.
const READS: u32 = 2_000;
/// Time of a call on an idle platform, besides the network.
const SERVICE: Duration = Duration::from_millis(2);
/// Age of the list of VMs.
const VM_LAG: Duration = Duration::from_secs(5);

value_type! {
    /// How the platform's services work.
    #[derive(Copy, Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum PlatformState {
        /// Every call is answered.
        #[default]
        Up,
        /// Every call is refused without effect.
        Down,
        /// Every call takes this many milliseconds longer.
        Slow(u64),
        /// This many of 1000 writes take effect, but their answer is lost.
        LoseAnswers(u16),
    }
}

/// The data and state of the platform.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    rows: BTreeMap<SmolStr, Row>,
    /// Versions of removed rows, so that a row never gets a version twice.
    removed: BTreeMap<SmolStr, u64>,
    objects: BTreeMap<SmolStr, Bytes>,
    vms: Vec<(Instant, Vec<VmRecord>)>,
    state: PlatformState,
    random: SmallRng,
    reads: Instant,
    writes: Instant,
    counts: (u64, u64),
}

impl PlatformStore {
    /// Creates an empty platform; the seed decides which answers are lost.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            inner: Arc::new(Mutex::new(Inner {
                rows: BTreeMap::new(),
                removed: BTreeMap::new(),
                objects: BTreeMap::new(),
                vms: Vec::new(),
                state: PlatformState::Up,
                random: SmallRng::seed_from_u64(seed),
                reads: now,
                writes: now,
                counts: (0, 0),
            })),
        }
    }

    /// Changes how the platform works.
    pub fn set_state(&self, state: PlatformState) {
        lock(&self.inner).state = state;
    }

    /// Returns how the platform works.
    #[must_use]
    pub fn state(&self) -> PlatformState {
        lock(&self.inner).state
    }

    /// Returns how many reads and writes the platform has served, for budgets.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        lock(&self.inner).counts
    }

    /// Sets the list of VMs as if it had always been so; without the lag of `set_vms`.
    pub fn start_with_vms(&self, vms: Vec<VmRecord>) {
        lock(&self.inner).vms = vec![(Instant::now(), vms)];
    }

    /// Sets the VMs; the list shows them after its lag, the first one at once.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        lock(&self.inner).vms.push((Instant::now(), vms));
    }

    /// Takes the platform's time for a number of reads or writes and fails when it is down.
    async fn serve(&self, reads: u32, writes: u32) -> Result<(), PlatformError> {
        let done = {
            let mut inner = lock(&self.inner);
            let now = Instant::now();
            let slow = match inner.state {
                PlatformState::Down => {
                    return Err(PlatformError::NotDone("the service is down".into()));
                }
                PlatformState::Slow(milliseconds) => Duration::from_millis(milliseconds),
                PlatformState::Up | PlatformState::LoseAnswers(_) => Duration::ZERO,
            };
            inner.counts.0 += u64::from(reads);
            inner.counts.1 += u64::from(writes);
            inner.reads = inner.reads.max(now) + Duration::from_secs(1) * reads / READS;
            inner.writes = inner.writes.max(now) + Duration::from_secs(1) * writes / WRITES;
            let queue = if writes > 0 {
                inner.writes
            } else {
                inner.reads
            };
            queue + SERVICE + slow
        };
        sleep_until(done).await;
        if lock(&self.inner).state == PlatformState::Down {
            return Err(PlatformError::NotDone("the service went down".into()));
        }
        Ok(())
    }

    /// Returns whether the answer of a write is lost.
    fn loses_answer(&self) -> bool {
        let mut inner = lock(&self.inner);
        match inner.state {
            PlatformState::LoseAnswers(share) => inner.random.random_range(0..1000) < share,
            _ => false,
        }
    }

    fn answer<T>(&self, value: T) -> Result<T, PlatformError> {
        if self.loses_answer() {
            return Err(PlatformError::MayBeDone("the answer did not arrive".into()));
        }
        Ok(value)
    }
}

impl Inner {
    fn apply(&mut self, batch: Batch) -> CommitOutcome {
        if let Some(conflict) = batch.conflict(&self.rows) {
            return conflict;
        }
        for write in batch.writes {
            let version = self
                .rows
                .get(&write.key)
                .map(|row| row.version)
                .or_else(|| self.removed.get(&write.key).copied())
                .unwrap_or(0)
                + 1;
            if let Some(value) = write.value {
                let row = Row {
                    key: write.key.clone(),
                    version,
                    value,
                };
                self.rows.insert(write.key, row);
            } else if self.rows.remove(&write.key).is_some() {
                self.removed.insert(write.key, version);
            }
        }
        CommitOutcome::Applied
    }
}

impl Platform for PlatformStore {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.serve(1, 0).await?;
        Ok(lock(&self.inner).rows.get(key).cloned())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.serve(1, 0).await?;
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        Ok(lock(&self.inner)
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix))
            .take(limit)
            .cloned()
            .collect())
    }

    async fn commit(&self, batch: Batch) -> Result<CommitOutcome, PlatformError> {
        let writes = u32::try_from(batch.writes.len()).unwrap_or(u32::MAX).max(1);
        self.serve(0, writes).await?;
        let outcome = lock(&self.inner).apply(batch);
        self.answer(outcome)
    }

    async fn put_object(&self, key: &str, data: Bytes) -> Result<(), PlatformError> {
        self.serve(0, 1).await?;
        lock(&self.inner).objects.insert(key.into(), data);
        self.answer(())
    }

    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        self.serve(1, 0).await?;
        Ok(lock(&self.inner).objects.get(key).cloned())
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.serve(1, 0).await?;
        let inner = lock(&self.inner);
        let seen = inner
            .vms
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= VM_LAG)
            .or_else(|| inner.vms.first());
        Ok(seen.map(|(_, vms)| vms.clone()).unwrap_or_default())
    }
}

/// The platform as one node reaches it in the same process.
#[derive(Clone, Debug)]
pub struct LocalPlatform {
    node: Endpoint,
    network: Network,
    store: PlatformStore,
}

impl LocalPlatform {
    /// Creates the access of one node.
    #[must_use]
    pub fn new(node: Endpoint, network: Network, store: PlatformStore) -> Self {
        Self {
            node,
            network,
            store,
        }
    }

    /// Carries a request there and its answer back; the call runs even when its caller has
    /// given up in the meantime.
    async fn call<T, F>(&self, call: impl FnOnce(PlatformStore) -> F) -> Result<T, PlatformError>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, PlatformError>> + Send + 'static,
    {
        let connection = self
            .network
            .connect(self.node.clone(), Endpoint::platform());
        let running = call(self.store.clone());
        let answer = tokio::spawn(async move {
            connection.pass().await;
            let answer = running.await;
            connection.pass().await;
            answer
        });
        answer
            .await
            .unwrap_or_else(|error| Err(PlatformError::MayBeDone(error.to_string())))
    }
}

impl Platform for LocalPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let key = key.to_owned();
        self.call(|store| async move { store.get(&key).await })
            .await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let (prefix, after) = (prefix.to_owned(), after.to_owned());
        self.call(move |store| async move { store.list(&prefix, &after, limit).await })
            .await
    }

    async fn commit(&self, batch: Batch) -> Result<CommitOutcome, PlatformError> {
        self.call(|store| async move { store.commit(batch).await })
            .await
    }

    async fn put_object(&self, key: &str, data: Bytes) -> Result<(), PlatformError> {
        let key = key.to_owned();
        self.call(|store| async move { store.put_object(&key, data).await })
            .await
    }

    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let key = key.to_owned();
        self.call(|store| async move { store.get_object(&key).await })
            .await
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.call(|store| async move { store.vms().await }).await
    }
}
