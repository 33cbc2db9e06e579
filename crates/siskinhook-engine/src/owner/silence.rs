//! Detection of connections to a server that hang.

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
    silent: IndexMap<u64, CancellationToken>,
}

/// Watches the statements in progress on a server.
pub struct Silence<T: Targets> {
    core: Arc<Core<T>>,
    state: Mutex<State>,
    nudge: Notify,
    next: AtomicU64,
}

/// A statement in progress; it is watched until this drops.
pub struct Watched<T: Targets> {
    silence: Arc<Silence<T>>,
    id: u64,
    /// Cancelled when the statement's connection is found to hang.
    pub hangs: CancellationToken,
}

impl<T: Targets> Silence<T> {
    /// Starts the watch of a server.
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
        let silence = Arc::new(Self {
            core: core.clone(),
            state: Mutex::new(State {
                watch: SilenceWatch::new(settings),
                silent: IndexMap::new(),
            }),
            nudge: Notify::new(),
            next: AtomicU64::new(1),
        });
        let task = silence.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = stop.cancelled() => {}
                () = task.check(&pool, &server) => {}
            }
        });
        silence
    }

    /// Watches a statement that is about to be sent.
    pub fn watch(self: &Arc<Self>, connection: Option<u64>) -> Watched<T> {
        let id = self.next.fetch_add(1, Relaxed);
        let hangs = CancellationToken::new();
        let first = {
            let mut state = self.lock();
            state.watch.start(id, connection, now());
            state.silent.insert(id, hangs.clone());
            state.silent.len() == 1
        };
        if first {
            self.nudge.notify_one();
        }
        Watched {
            silence: self.clone(),
            id,
            hangs,
        }
    }

    async fn check(&self, pool: &Arc<Pool<T>>, server: &Server) {
        loop {
            let next = self.lock().watch.next_deadline();
            let Some(at) = next else {
                self.nudge.notified().await;
                continue;
            };
            sleep_until(at).await;
            let started = now();
            if !self.lock().watch.poll(started) {
                continue;
            }
            let deadline = started + self.core.settings.connect_timeout;
            let status = pool
                .borrow(deadline, async |session| {
                    session.control(&Control::Status).await
                })
                .await;
            let mut state = self.lock();
            let (silent, reason) = match status {
                Ok(status) => (
                    state.watch.on_answer(started, &status.active),
                    "the server answers on a new one and does not run its statement",
                ),
                // Refused for its connection limit, the server is alive.
                Err(failure) if failure.kind == FailureKind::Overload => continue,
                Err(_) => (
                    state.watch.on_failure(started),
                    "the server cannot be reached on a new one either",
                ),
            };
            for id in silent {
                log::warn!(target: "siskinhook::engine", event = 2004, server = server.name.as_str();
                    "closes a silent connection; {reason}");
                count(&self.core.counters.silent_connections);
                pool.renew();
                if let Some(hangs) = state.silent.swap_remove(&id) {
                    hangs.cancel();
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Targets> Watched<T> {
    /// Notes that a part of the answer arrived.
    pub fn progress(&self) {
        let mut state = self.silence.lock();
        if state.silent.contains_key(&self.id) {
            state.watch.progress(self.id, now());
        }
    }
}

impl<T: Targets> Drop for Watched<T> {
    fn drop(&mut self) {
        let mut state = self.silence.lock();
        state.watch.finish(self.id);
        state.silent.swap_remove(&self.id);
    }
}
