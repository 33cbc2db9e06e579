//! Holds the lock of a server, which allows only one owner to open data connections to it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use siskinhook_types::{Control, MemberState, NodeId, Server, ServerStatus, Targets};
use tokio_util::sync::CancellationToken;

use super::Pool;
use crate::{
    EngineEvent,
    clock::{now, until},
    core::Core,
    group::Group,
};

/// Minimum delay before a holder that took the lock again is terminated again. The delay doubles
/// with each termination. Without it, two nodes that each consider the other dead would keep
/// terminating each other's connections.
const MIN_TERMINATE_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay between two terminations of the same holder.
const MAX_TERMINATE_DELAY: Duration = Duration::from_secs(16);

/// Another node that holds the lock.
struct OtherHolder {
    node: NodeId,
    /// When it was first seen with the lock, or was last terminated.
    since: Instant,
    /// Number of times its connections were terminated.
    terminated: u32,
    /// Earliest time of the next termination.
    next_termination: Instant,
}

impl OtherHolder {
    fn new(node: NodeId) -> Self {
        Self {
            node,
            since: now(),
            terminated: 0,
            next_termination: now(),
        }
    }

    /// Returns whether to terminate the holder's connections: the holder is dead, is no longer a
    /// member or did not release the lock within the grace period, and the delay since its last
    /// termination has passed.
    fn should_terminate<T: Targets>(&self, core: &Core<T>) -> bool {
        let view = core.view();
        let member = view.fleet.members.get(&self.node);
        let gone = member.is_none_or(|member| member.state == MemberState::Dead);
        let waited = now().saturating_duration_since(self.since);
        now() >= self.next_termination && (gone || waited >= core.settings.handover_grace)
    }

    /// Counts a termination and doubles the delay before the next one.
    fn record_termination(&mut self) {
        let factor = 2_u32.saturating_pow(self.terminated.min(8));
        self.terminated += 1;
        self.next_termination = now() + (MIN_TERMINATE_DELAY * factor).min(MAX_TERMINATE_DELAY);
        self.since = now();
    }
}

/// Acquires the lock and holds it until `stop` is cancelled. The pool may open connections while
/// the lock is held.
///
/// The lock is bound to the group's control connection to the server. When that connection
/// breaks, the lock is acquired again on a new one.
pub async fn hold_lock<T: Targets>(
    core: Arc<Core<T>>,
    server: Server,
    group: Arc<Group<T>>,
    pool: Arc<Pool<T>>,
    stop: CancellationToken,
) {
    tokio::select! {
        biased;
        () = stop.cancelled() => {}
        () = maintain_lock(&core, &server, &group, &pool) => {}
    }
    pool.forbid();
    group.unlock(&server.name);
}

/// Requests the lock periodically and reacts to who holds it.
async fn maintain_lock<T: Targets>(
    core: &Core<T>,
    server: &Server,
    group: &Group<T>,
    pool: &Arc<Pool<T>>,
) {
    let mut other_holder: Option<OtherHolder> = None;
    let interval = core.settings.poll_interval;
    loop {
        let status = request_lock(core, server, group).await;
        if let Some(status) = &status {
            pool.set_connections(status.connections, group.monitors());
        }
        match status.map(|status| status.holder.unwrap_or_default()) {
            Some(holder) if holder == core.identity.node => {
                on_lock_held(server, pool);
                pool.maintain().await;
                let _ = until(now() + interval, pool.lock_check_requested()).await;
            }
            Some(holder) => {
                on_lock_lost(server, pool, &holder);
                let known = other_holder.take().filter(|known| known.node == holder);
                let known = other_holder.insert(known.unwrap_or_else(|| OtherHolder::new(holder)));
                if known.should_terminate(core) {
                    terminate_holder(core, server, group, &known.node).await;
                    known.record_termination();
                } else {
                    tokio::time::sleep(interval / 5).await;
                }
            }
            None => {
                // The server releases the lock when the control connection closes. Without an
                // answer, it is unknown whether that connection is still open.
                pool.forbid();
                tokio::time::sleep(interval / 5).await;
            }
        }
    }
}

/// Requests the lock. Returns the server's status, which names the holder, or `None` when the
/// server does not answer.
async fn request_lock<T: Targets>(
    core: &Core<T>,
    server: &Server,
    group: &Group<T>,
) -> Option<ServerStatus> {
    let command = Control::Lock {
        node: core.identity.node.clone(),
    };
    group.control(&server.name, &command).await.ok()
}

fn on_lock_held<T: Targets>(server: &Server, pool: &Pool<T>) {
    if !pool.is_allowed() {
        log::info!(target: "siskinhook::engine", event = 2001, server = server.name.as_str();
            "took the lock of the server");
        pool.allow();
    }
}

fn on_lock_lost<T: Targets>(server: &Server, pool: &Pool<T>, holder: &NodeId) {
    if pool.is_allowed() {
        log::warn!(target: "siskinhook::engine", event = 2002,
            server = server.name.as_str(), holder = holder.as_str();
            "lost the lock of the server to another node");
        pool.forbid();
    }
}

async fn terminate_holder<T: Targets>(
    core: &Core<T>,
    server: &Server,
    group: &Group<T>,
    holder: &NodeId,
) {
    log::warn!(target: "siskinhook::engine", event = 2003,
        server = server.name.as_str(), holder = holder.as_str();
        "terminates the connections of the lock's former holder");
    // Sending fails when nothing records the audit trail, which is not an error.
    let _ = core.events.send(EngineEvent::FormerOwnerDisconnected {
        server: server.name.clone(),
        former_owner: holder.clone(),
    });
    let command = Control::Terminate {
        node: holder.clone(),
    };
    if group.control(&server.name, &command).await.is_err() {
        tokio::time::sleep(core.settings.poll_interval).await;
    }
}
