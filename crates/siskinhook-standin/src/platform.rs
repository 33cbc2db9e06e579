//! The platform: a table, an object store and a list of VMs that is updated with a delay.

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

/// Write capacity of the platform, for objects and the table together.
const WRITES_PER_SECOND: u32 = 300;
/// Read capacity of the platform, for objects and the table together.
const READS_PER_SECOND: u32 = 2_000;
/// Duration of a call on an idle platform, without the network.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Delay until a change shows in the list of VMs.
const VM_LIST_DELAY: Duration = Duration::from_secs(5);

value_type! {
    /// State of the platform.
    #[derive(Copy, Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum PlatformState {
        /// Every call is answered.
        #[default]
        Up,
        /// Every call fails without effect.
        Down,
        /// Every call takes longer by this many milliseconds.
        Slow(u64),
        /// Writes take effect, but for this many of 1000 writes the answer is lost.
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
    /// Versions of removed rows, so that a recreated row never gets an earlier version again.
    removed_versions: BTreeMap<SmolStr, u64>,
    objects: BTreeMap<SmolStr, Bytes>,
    vms: Vec<(Instant, Vec<VmRecord>)>,
    state: PlatformState,
    random: SmallRng,
    reads_end: Instant,
    writes_end: Instant,
    call_counts: (u64, u64),
}

impl PlatformStore {
    /// Creates an empty platform. The seed determines which answers are lost.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            inner: Arc::new(Mutex::new(Inner {
                rows: BTreeMap::new(),
                removed_versions: BTreeMap::new(),
                objects: BTreeMap::new(),
                vms: Vec::new(),
                state: PlatformState::Up,
                random: SmallRng::seed_from_u64(seed),
                reads_end: now,
                writes_end: now,
                call_counts: (0, 0),
            })),
        }
    }

    /// Sets the state of the platform.
    pub fn set_state(&self, state: PlatformState) {
        lock(&self.inner).state = state;
    }

    /// Returns the state of the platform.
    #[must_use]
    pub fn state(&self) -> PlatformState {
        lock(&self.inner).state
    }

    /// Returns the number of reads and writes served so far, to check call budgets.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        lock(&self.inner).call_counts
    }

    /// Sets the initial list of VMs, which is visible without the delay of `set_vms`.
    pub fn start_with_vms(&self, vms: Vec<VmRecord>) {
        lock(&self.inner).vms = vec![(Instant::now(), vms)];
    }

    /// Sets the list of VMs. The change is visible after a delay, except for the first list.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        lock(&self.inner).vms.push((Instant::now(), vms));
    }

    /// Waits as long as the platform takes for a number of reads or writes; fails if it is down.
    async fn throttle(&self, reads: u32, writes: u32) -> Result<(), PlatformError> {
        let done = {
            let mut inner = lock(&self.inner);
            let now = Instant::now();
            let slowdown = match inner.state {
                PlatformState::Down => {
                    return Err(PlatformError::NotDone("the service is down".into()));
                }
                PlatformState::Slow(milliseconds) => Duration::from_millis(milliseconds),
                PlatformState::Up | PlatformState::LoseAnswers(_) => Duration::ZERO,
            };
            inner.call_counts.0 += u64::from(reads);
            inner.call_counts.1 += u64::from(writes);
            inner.reads_end =
                inner.reads_end.max(now) + Duration::from_secs(1) * reads / READS_PER_SECOND;
            inner.writes_end =
                inner.writes_end.max(now) + Duration::from_secs(1) * writes / WRITES_PER_SECOND;
            let queue_end = if writes > 0 {
                inner.writes_end
            } else {
                inner.reads_end
            };
            queue_end + SERVICE_TIME + slowdown
        };
        sleep_until(done).await;
        if lock(&self.inner).state == PlatformState::Down {
            return Err(PlatformError::NotDone("the service went down".into()));
        }
        Ok(())
    }

    /// Returns whether to lose the answer to a write.
    fn loses_answer(&self) -> bool {
        let mut inner = lock(&self.inner);
        match inner.state {
            PlatformState::LoseAnswers(share) => inner.random.random_range(0..1000) < share,
            _ => false,
        }
    }

    fn answer_write<T>(&self, value: T) -> Result<T, PlatformError> {
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
                .or_else(|| self.removed_versions.get(&write.key).copied())
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
                self.removed_versions.insert(write.key, version);
            }
        }
        CommitOutcome::Applied
    }
}

impl Platform for PlatformStore {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.throttle(1, 0).await?;
        Ok(lock(&self.inner).rows.get(key).cloned())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.throttle(1, 0).await?;
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
        self.throttle(0, writes).await?;
        let outcome = lock(&self.inner).apply(batch);
        self.answer_write(outcome)
    }

    async fn put_object(&self, key: &str, data: Bytes) -> Result<(), PlatformError> {
        self.throttle(0, 1).await?;
        lock(&self.inner).objects.insert(key.into(), data);
        self.answer_write(())
    }

    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        self.throttle(1, 0).await?;
        Ok(lock(&self.inner).objects.get(key).cloned())
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.throttle(1, 0).await?;
        let inner = lock(&self.inner);
        let visible = inner
            .vms
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= VM_LIST_DELAY)
            .or_else(|| inner.vms.first());
        Ok(visible.map(|(_, vms)| vms.clone()).unwrap_or_default())
    }
}

/// In-process access of one node to the platform, over the simulated network.
#[derive(Clone, Debug)]
pub struct LocalPlatform {
    node: Endpoint,
    network: Network,
    store: PlatformStore,
}

impl LocalPlatform {
    /// Creates the access of a node.
    #[must_use]
    pub fn new(node: Endpoint, network: Network, store: PlatformStore) -> Self {
        Self {
            node,
            network,
            store,
        }
    }

    /// Sends a request and waits for its answer. The call runs even if its caller gives up in the
    /// meantime.
    async fn call<T, F>(&self, call: impl FnOnce(PlatformStore) -> F) -> Result<T, PlatformError>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, PlatformError>> + Send + 'static,
    {
        let connection = self
            .network
            .connect(self.node.clone(), Endpoint::platform());
        let operation = call(self.store.clone());
        let answer = tokio::spawn(async move {
            connection.pass().await;
            let answer = operation.await;
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
