//! Detects connections to a server that hang.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use indexmap::IndexMap;
use siskinhook_policy::{SilenceSettings, SilenceWatch};
use siskinhook_types::{Control, FailureKind, Server, TargetSession, Targets};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::Pool;
use crate::{
    clock::{now, sleep_until},
    core::Core,
    counters::count,
};

struct State {
    watch: SilenceWatch,
    /// Cancellation tokens of the watched statements.
    statements: IndexMap<u64, CancellationToken>,
}

/// Watches the statements in progress on a server and cancels those whose connection hangs.
pub struct HangDetector<T: Targets> {
    core: Arc<Core<T>>,
    state: Mutex<State>,
    wakeup: Notify,
    next_id: AtomicU64,
}

/// A statement in progress. It is watched until this value is dropped.
pub struct WatchedStatement<T: Targets> {
    detector: Arc<HangDetector<T>>,
    id: u64,
    /// Cancelled when the statement's connection is found to hang.
    pub hung: CancellationToken,
}

impl<T: Targets> HangDetector<T> {
    /// Starts to watch a server.
    pub fn start(
        core: &Arc<Core<T>>,
        pool: Arc<Pool<T>>,
        server: Server,
        stop: CancellationToken,
    ) -> Arc<Self> {
        let settings = SilenceSettings {
            progress_timeout: core.settings.silence,
            ..SilenceSettings::default()
        };
        let detector = Arc::new(Self {
            core: core.clone(),
            state: Mutex::new(State {
                watch: SilenceWatch::new(settings),
                statements: IndexMap::new(),
            }),
            wakeup: Notify::new(),
            next_id: AtomicU64::new(1),
        });
        let task = detector.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = stop.cancelled() => {}
                () = task.run(&pool, &server) => {}
            }
        });
        detector
    }

    /// Starts to watch a statement whose answer is being read on `connection`.
    pub fn watch(self: &Arc<Self>, connection: Option<u64>) -> WatchedStatement<T> {
        let id = self.next_id.fetch_add(1, Relaxed);
        let hung = CancellationToken::new();
        let first = {
            let mut state = self.lock();
            state.watch.start(id, connection, now());
            state.statements.insert(id, hung.clone());
            state.statements.len() == 1
        };
        if first {
            self.wakeup.notify_one();
        }
        WatchedStatement {
            detector: self.clone(),
            id,
            hung,
        }
    }

    /// Probes the server over a new connection when a statement made no progress for too long.
    async fn run(&self, pool: &Arc<Pool<T>>, server: &Server) {
        loop {
            let next = self.lock().watch.next_deadline();
            let Some(at) = next else {
                self.wakeup.notified().await;
                continue;
            };
            sleep_until(at).await;
            let started = now();
            if !self.lock().watch.poll(started) {
                continue;
            }
            let deadline = started + self.core.settings.connect_timeout;
            let status = pool
                .with_control_connection(deadline, async |session| {
                    session.control(&Control::Status).await
                })
                .await;
            let mut state = self.lock();
            let (silent, reason) = match status {
                Ok(status) => (
                    state.watch.on_answer(started, &status.active),
                    "the server answers on a new connection and does not run the statement",
                ),
                // A server that refuses the probe because its connection limit is reached is
                // alive.
                Err(failure) if failure.kind == FailureKind::Overload => continue,
                Err(_) => (
                    state.watch.on_failure(started),
                    "the server cannot be reached on a new connection either",
                ),
            };
            for id in silent {
                log::warn!(target: "siskinhook::engine", event = 2004, server = server.name.as_str();
                    "closing a silent server connection: {reason}");
                count(&self.core.counters.silent_connections);
                pool.invalidate();
                if let Some(hung) = state.statements.swap_remove(&id) {
                    hung.cancel();
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Targets> WatchedStatement<T> {
    /// Records that a part of the answer arrived.
    pub fn progress(&self) {
        let mut state = self.detector.lock();
        if state.statements.contains_key(&self.id) {
            state.watch.progress(self.id, now());
        }
    }
}

impl<T: Targets> Drop for WatchedStatement<T> {
    fn drop(&mut self) {
        let mut state = self.detector.lock();
        state.watch.finish(self.id);
        state.statements.swap_remove(&self.id);
    }
}
