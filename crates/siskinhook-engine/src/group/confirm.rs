//! Confirms that a majority of the group has received a write.

use std::{
    sync::{Arc, Mutex, PoisonError, Weak},
    time::Instant,
};

use futures::{StreamExt, stream::FuturesUnordered};
use indexmap::IndexMap;
use siskinhook_policy::{Confirmation, Outcome};
use siskinhook_types::{Control, LogPoint, Server, ServerId, ServerStatus, Targets};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use super::Group;
use crate::clock::{now, sleep_until, until};

#[derive(Default)]
struct State {
    current: Option<Confirmation>,
    waiting: IndexMap<u64, oneshot::Sender<bool>>,
    next_id: u64,
}

/// Confirms the writes of the group's primary.
pub struct Confirmer {
    servers: Vec<ServerId>,
    state: Mutex<State>,
    wakeup: Notify,
}

/// Removes a write from the confirmer when dropped, because nothing waits for it any more.
struct PendingWrite<'a> {
    confirmer: &'a Confirmer,
    id: u64,
}

impl Drop for PendingWrite<'_> {
    fn drop(&mut self) {
        let mut state = self.confirmer.lock();
        state.waiting.swap_remove(&self.id);
        if let Some(current) = &mut state.current {
            current.cancel(self.id);
        }
    }
}

impl Confirmer {
    pub fn new(servers: &[Server]) -> Self {
        Self {
            servers: servers.iter().map(|server| server.name.clone()).collect(),
            state: Mutex::default(),
            wakeup: Notify::new(),
        }
    }

    /// Waits until a majority holds a write. Returns `false` if the primary was replaced or the
    /// deadline passed.
    pub async fn confirm(&self, primary: &ServerId, point: LogPoint, deadline: Instant) -> bool {
        let Some((pending, answer)) = self.add(primary, point) else {
            return false;
        };
        self.wakeup.notify_one();
        let confirmed = until(deadline, answer).await;
        drop(pending);
        matches!(confirmed, Some(Ok(true)))
    }

    fn add(
        &self,
        primary: &ServerId,
        point: LogPoint,
    ) -> Option<(PendingWrite<'_>, oneshot::Receiver<bool>)> {
        let mut state = self.lock();
        let known = state.current.as_ref().map(Confirmation::primary);
        let newer = known.is_none_or(|(known, term)| term < point.term || known != primary);
        if newer {
            // Writes of the former primary can no longer be confirmed.
            state.waiting.clear();
            state.current = Some(Confirmation::new(
                primary.clone(),
                point.term,
                &self.servers,
            ));
        }
        state.next_id += 1;
        let id = state.next_id;
        let outcome = state.current.as_mut()?.add_write(id, point, now());
        if outcome == Outcome::Replaced {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        state.waiting.insert(id, sender);
        let pending = PendingWrite {
            confirmer: self,
            id,
        };
        Some((pending, answer))
    }

    fn commands(&self) -> Vec<(ServerId, Control)> {
        let mut state = self.lock();
        let current = state.current.as_mut();
        current.map_or_else(Vec::new, |current| current.poll(now()))
    }

    fn next_deadline(&self) -> Option<Instant> {
        self.lock().current.as_ref()?.next_deadline()
    }

    fn handle_answer(&self, server: &ServerId, status: Option<&ServerStatus>) {
        let mut state = self.lock();
        let Some(current) = &mut state.current else {
            return;
        };
        for (id, outcome) in current.on_status(server, status) {
            if let Some(sender) = state.waiting.swap_remove(&id) {
                let _ = sender.send(outcome == Outcome::Confirmed);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends the confirmer's commands to the servers until `stop` is cancelled.
pub async fn run<T: Targets>(
    group: Weak<Group<T>>,
    confirmer: Arc<Confirmer>,
    stop: CancellationToken,
) {
    let mut answers = FuturesUnordered::new();
    loop {
        for (server, command) in confirmer.commands() {
            let Some(group) = group.upgrade() else { return };
            answers.push(send_command(group, server, command));
        }
        let next = confirmer.next_deadline();
        let timer = async {
            match next {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            Some((server, started, status)) = answers.next() => {
                confirmer.handle_answer(&server, status.as_ref());
                if let (Some(group), Some(status)) = (group.upgrade(), status) {
                    group.record_status(&server, started, status);
                }
            }
            () = confirmer.wakeup.notified() => {}
            () = timer => {}
        }
    }
}

async fn send_command<T: Targets>(
    group: Arc<Group<T>>,
    server: ServerId,
    command: Control,
) -> (ServerId, Instant, Option<ServerStatus>) {
    let started = now();
    let deadline = started + group.core.settings.probe_timeout;
    // The primary answers immediately, but a replica answers only once it has the write. On the
    // control connection, that wait would delay probes.
    let status = match group.connections.get(&server) {
        Some(pair) if group.is_primary(&server) => pair.control.send(&command, deadline).await.ok(),
        Some(pair) => pair.wait.send(&command, deadline).await.ok(),
        None => None,
    };
    (server, started, status)
}
