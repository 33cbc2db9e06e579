//! The lock of a server, which limits its data connections to one owner.

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

/// First pause before a holder that took the lock again is terminated again; doubles each
/// time. Without it, two nodes that each hold the other to be dead would end each other's work
/// in a loop.
const FIRST_TRUCE: Duration = Duration::from_secs(1);
/// Longest such pause.
const LAST_TRUCE: Duration = Duration::from_secs(16);

/// Another node that holds the lock.
struct Rival {
    node: NodeId,
    /// When it was seen first.
    since: Instant,
    /// How often it was terminated.
    terminated: u32,
    /// It is not terminated before.
    truce: Instant,
}

impl Rival {
    fn new(node: NodeId) -> Self {
        Self {
            node,
            since: now(),
            terminated: 0,
            truce: now(),
        }
    }

    /// Whether the holder is gone or does not give the lock up by itself.
    fn is_overdue<T: Targets>(&self, core: &Core<T>) -> bool {
        let view = core.view();
        let member = view.fleet.members.get(&self.node);
        let gone = member.is_none_or(|member| member.state == MemberState::Dead);
        let waited = now().saturating_duration_since(self.since);
        now() >= self.truce && (gone || waited >= core.settings.handover_grace)
    }

    fn note_terminated(&mut self) {
        let factor = 2_u32.saturating_pow(self.terminated.min(8));
        self.terminated += 1;
        self.truce = now() + (FIRST_TRUCE * factor).min(LAST_TRUCE);
        self.since = now();
    }
}

/// Takes the lock and keeps it until `stop`; the pool may open connections meanwhile.
///
/// The lock belongs to the group's control connection to the server. When that connection
/// breaks, the lock is taken again on the next one.
pub async fn hold<T: Targets>(
    core: Arc<Core<T>>,
    server: Server,
    group: Arc<Group<T>>,
    pool: Arc<Pool<T>>,
    stop: CancellationToken,
) {
    tokio::select! {
        biased;
        () = stop.cancelled() => {}
        () = keep(&core, &server, &group, &pool) => {}
    }
    pool.forbid();
    group.unlock(&server.name);
}

async fn keep<T: Targets>(core: &Core<T>, server: &Server, group: &Group<T>, pool: &Arc<Pool<T>>) {
    let mut rival: Option<Rival> = None;
    let interval = core.settings.poll_interval;
    loop {
        let status = lock(core, server, group).await;
        if let Some(status) = &status {
            pool.set_connections(status.connections, group.monitors());
        }
        match status.map(|status| status.holder.unwrap_or_default()) {
            Some(holder) if holder == core.identity.node => {
                hold_on(server, pool);
                pool.maintain().await;
                let _ = until(now() + interval, pool.doubted()).await;
            }
            Some(holder) => {
                lose(server, pool, &holder);
                let known = rival.take().filter(|known| known.node == holder);
                let known = rival.insert(known.unwrap_or_else(|| Rival::new(holder)));
                if known.is_overdue(core) {
                    terminate(core, server, group, &known.node).await;
                    known.note_terminated();
                } else {
                    tokio::time::sleep(interval / 5).await;
                }
            }
            None => {
                // The lock ends with its connection, and whether that still stands is not
                // known.
                pool.forbid();
                tokio::time::sleep(interval / 5).await;
            }
        }
    }
}

/// Asks for the lock; `None` when the server does not answer.
async fn lock<T: Targets>(
    core: &Core<T>,
    server: &Server,
    group: &Group<T>,
) -> Option<ServerStatus> {
    let command = Control::Lock {
        node: core.identity.node.clone(),
    };
    group.control(&server.name, &command).await.ok()
}

fn hold_on<T: Targets>(server: &Server, pool: &Pool<T>) {
    if !pool.is_allowed() {
        log::info!(target: "siskinhook::engine", event = 2001, server = server.name.as_str();
            "took the lock of the server");
        pool.allow();
    }
}

fn lose<T: Targets>(server: &Server, pool: &Pool<T>, holder: &NodeId) {
    if pool.is_allowed() {
        log::warn!(target: "siskinhook::engine", event = 2002,
            server = server.name.as_str(), holder = holder.as_str();
            "lost the lock of the server to another node");
        pool.forbid();
    }
}

async fn terminate<T: Targets>(core: &Core<T>, server: &Server, group: &Group<T>, holder: &NodeId) {
    log::warn!(target: "siskinhook::engine", event = 2003,
        server = server.name.as_str(), holder = holder.as_str();
        "terminates the connections of the lock's former holder");
    // Nobody may be interested in the audit trail.
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
