//! In-memory platform for tests.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use siskinhook_types::{Batch, CommitOutcome, Platform, PlatformError, Row, VmRecord};
use smol_str::SmolStr;

/// A fault that is injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call does not take effect.
    Refuse,
    /// A write takes effect and its answer is lost; a read fails.
    LoseAnswer,
    /// The call is answered after this delay.
    Slow(Duration),
    /// The call is served normally. Used to let calls pass before a later fault.
    None,
}

/// In-memory platform with fault injection. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<SmolStr, Row>,
    objects: HashMap<SmolStr, Bytes>,
    vms: Vec<VmRecord>,
    faults: VecDeque<Fault>,
    down: bool,
    calls: u64,
}

impl MemoryPlatform {
    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.lock().vms = vms;
    }

    /// Starts or ends an outage, during which every call is refused.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Queues faults for the next calls, one per call.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults.extend(faults);
    }

    /// Returns the number of calls so far, including refused calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and takes its fault from the queue; waits when the fault is a slow answer.
    /// Yields first, so that concurrent calls interleave.
    async fn next_fault(&self) -> Result<Fault, PlatformError> {
        tokio::task::yield_now().await;
        let fault = {
            let mut state = self.lock();
            state.calls += 1;
            if state.down {
                Fault::Refuse
            } else {
                state.faults.pop_front().unwrap_or(Fault::None)
            }
        };
        match fault {
            Fault::Refuse => Err(PlatformError::NotDone("the platform is down".into())),
            Fault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Ok(Fault::None)
            }
            other => Ok(other),
        }
    }

    async fn read<T>(&self, read: impl FnOnce(&State) -> T) -> Result<T, PlatformError> {
        match self.next_fault().await? {
            Fault::LoseAnswer => Err(PlatformError::NotDone("the answer was lost".into())),
            _ => Ok(read(&self.lock())),
        }
    }

    async fn write<T>(&self, write: impl FnOnce(&mut State) -> T) -> Result<T, PlatformError> {
        let fault = self.next_fault().await?;
        let value = write(&mut self.lock());
        if fault == Fault::LoseAnswer {
            return Err(PlatformError::MayBeDone("the answer was lost".into()));
        }
        Ok(value)
    }
}

impl State {
    fn commit(&mut self, batch: Batch) -> CommitOutcome {
        if let Some(conflict) = batch.conflict(&self.rows) {
            return conflict;
        }
        for write in batch.writes {
            match write.value {
                Some(value) => {
                    let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
                    let row = Row {
                        key: write.key.clone(),
                        version,
                        value,
                    };
                    self.rows.insert(write.key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Applied
    }
}

impl Platform for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.read(|state| state.rows.get(key).cloned()).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.read(|state| {
            state
                .rows
                .values()
                .filter(|row| row.key.starts_with(prefix) && row.key.as_str() > after)
                .take(limit)
                .cloned()
                .collect()
        })
        .await
    }

    async fn commit(&self, batch: Batch) -> Result<CommitOutcome, PlatformError> {
        self.write(|state| state.commit(batch)).await
    }

    async fn put_object(&self, key: &str, data: Bytes) -> Result<(), PlatformError> {
        self.write(|state| {
            state.objects.insert(key.into(), data);
        })
        .await
    }

    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        self.read(|state| state.objects.get(key).cloned()).await
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.read(|state| state.vms.clone()).await
    }
}
