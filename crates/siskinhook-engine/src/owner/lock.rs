//! The lock of a server, which limits its data connections to one owner.

use std::{sync::Arc, time::Instant};

use siskinhook_types::{Control, MemberState, NodeId, Server, Targets};
use tokio_util::sync::CancellationToken;

use super::Pool;
use crate::{clock::now, core::Core, group::Group};

/// What is done about another holder of the lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claim {
    /// The holder may finish; it gives the lock up by itself.
    Wait,
    /// The holder is gone or does not give the lock up.
    Terminate,
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
    let mut foreign: Option<(NodeId, Instant)> = None;
    loop {
        match lock(core, server, group).await {
            Some(holder) if holder == core.identity.node => {
                if !pool.is_allowed() {
                    log::info!(target: "siskinhook::engine", event = 2001, server = server.name.as_str();
                        "took the lock of the server");
                }
                foreign = None;
                pool.allow();
                pool.maintain().await;
                tokio::time::sleep(core.settings.poll_interval).await;
            }
            Some(holder) => {
                lose(server, pool, &holder);
                let since = match &foreign {
                    Some((known, since)) if *known == holder => *since,
                    _ => now(),
                };
                foreign = Some((holder.clone(), since));
                if claim(core, &holder, since) == Claim::Terminate {
                    terminate(core, server, group, &holder).await;
                    // Terminating at once again would let two nodes with different views of
                    // the membership end each other's work in a loop.
                    foreign = Some((holder, now()));
                } else {
                    tokio::time::sleep(core.settings.poll_interval / 5).await;
                }
            }
            None => {
                // The server may be unreachable from here while connections still work; only
                // another holder shows that the lock is lost.
                tokio::time::sleep(core.settings.poll_interval).await;
            }
        }
    }
}

/// Asks for the lock and returns its holder; `None` when the server does not answer.
async fn lock<T: Targets>(core: &Core<T>, server: &Server, group: &Group<T>) -> Option<NodeId> {
    let command = Control::Lock {
        node: core.identity.node.clone(),
    };
    let status = group.control(&server.name, &command).await.ok()?;
    status.holder
}

fn lose<T: Targets>(server: &Server, pool: &Pool<T>, holder: &NodeId) {
    if pool.is_allowed() {
        log::warn!(target: "siskinhook::engine", event = 2002,
            server = server.name.as_str(), holder = holder.as_str();
            "lost the lock of the server to another node");
        pool.forbid();
    }
}

fn claim<T: Targets>(core: &Core<T>, holder: &NodeId, since: Instant) -> Claim {
    let view = core.view();
    let state = view.fleet.members.get(holder).map(|member| member.state);
    let waited = now().saturating_duration_since(since);
    match state {
        Some(MemberState::Dead) | None => Claim::Terminate,
        _ if waited >= core.settings.handover_grace => Claim::Terminate,
        _ => Claim::Wait,
    }
}

async fn terminate<T: Targets>(core: &Core<T>, server: &Server, group: &Group<T>, holder: &NodeId) {
    log::warn!(target: "siskinhook::engine", event = 2003,
        server = server.name.as_str(), holder = holder.as_str();
        "terminates the connections of the lock's former holder");
    let command = Control::Terminate {
        node: holder.clone(),
    };
    if group.control(&server.name, &command).await.is_err() {
        tokio::time::sleep(core.settings.poll_interval).await;
    }
}
