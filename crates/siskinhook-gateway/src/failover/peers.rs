//! Demotion of a primary through other nodes.
//!
//! A node that does not reach the primary cannot tell whether it is down or cut off from this node
//! only. One that is cut off goes on acknowledging commits to the callers of other nodes, so the
//! nodes that may reach it are asked, and pass the demotion on.

use std::{rc::Rc, time::Duration};

use siskinhook_types::{Platform, Role, Term};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout_at},
};

use super::{
    Controller, Discovery, Orders,
    stop::{CONTROL_RETRY_DELAY, DEMOTION_TIMEOUT},
};
use crate::{
    Connection, Dialer, Peer, ReplicationStatus, ServerOp, ServerReply, group::Group, pool::Target,
};

/// Time limit for the other nodes to say whether they reach a server: several times the latency
/// between regions. A node that has an open connection answers at once.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Nodes that are asked about one server.
const MAX_PEERS: usize = 8;

/// A server that this node does not reach, and a node that does.
#[derive(Clone)]
pub struct RelayedTarget<D: Dialer> {
    pub target: Rc<Target<D>>,
    peer: Peer,
}

impl<D: Dialer, P: Platform, S: Discovery, O: Orders> Controller<D, P, S, O> {
    /// Returns the primaries that this node does not reach, but another one does. Servers whose
    /// entry says that they are the primary count as well.
    pub(super) async fn find_relayed_primaries(&self) -> Vec<RelayedTarget<D>> {
        let leader = self.group.leader_id();
        let mut targets: Vec<Rc<Target<D>>> =
            self.group.targets.borrow().values().cloned().collect();
        targets.extend(self.group.unlisted());
        targets.retain(|target| {
            let instance = target.instance.borrow();
            let leads = Some(&instance.id) == leader.as_ref() || instance.role == Role::Primary;
            leads && target.outage().is_some()
        });
        let mut attempts = JoinSet::new();
        for target in targets {
            for peer in target.relays(MAX_PEERS) {
                let (group, target) = (self.group.clone(), target.clone());
                attempts.spawn_local(async move {
                    let reached = is_reached_by(&group, &target, &peer).await;
                    reached.then_some(RelayedTarget { target, peer })
                });
            }
        }
        let mut relayed: Vec<RelayedTarget<D>> = Vec::new();
        while let Some(attempt) = attempts.join_next().await {
            // An attempt that panicked counts as one that did not reach the server.
            let Ok(Some(found)) = attempt else { continue };
            if !relayed
                .iter()
                .any(|known| Rc::ptr_eq(&known.target, &found.target))
            {
                relayed.push(found);
            }
        }
        relayed
    }
}

/// Opens a connection to a server through another node.
async fn connect<D: Dialer>(
    group: &Group<D>,
    target: &Target<D>,
    peer: &Peer,
    deadline: Instant,
) -> Option<D::Connection> {
    let (service, server) = {
        let instance = target.instance.borrow();
        (instance.service.clone(), instance.id.clone())
    };
    let dialing = group.dialer.dial(&service, &server, peer.address);
    timeout_at(deadline, dialing).await.ok()?.ok()
}

/// Sends a request. Returns the reply of the server itself: one that the other node creates has no
/// log position.
async fn ask<C: Connection>(
    connection: &mut C,
    op: &ServerOp<'_>,
    deadline: Instant,
) -> Option<ServerReply> {
    let exchange = async {
        connection.push(op);
        connection.flush().await?;
        connection.next().await
    };
    let reply = timeout_at(deadline, exchange).await.ok()?.ok()?;
    reply.point.is_some().then_some(reply)
}

/// Whether another node reaches a server.
async fn is_reached_by<D: Dialer>(group: &Group<D>, target: &Target<D>, peer: &Peer) -> bool {
    let deadline = Instant::now() + PEER_TIMEOUT;
    let Some(mut connection) = connect(group, target, peer, deadline).await else {
        return false;
    };
    ask(&mut connection, &ServerOp::Rollback, deadline)
        .await
        .is_some()
}

/// Demotes a server through the node that reaches it. Returns its status as a replica.
pub(super) async fn demote_relayed<D: Dialer>(
    group: &Group<D>,
    relayed: &RelayedTarget<D>,
    first: Term,
) -> Option<ReplicationStatus> {
    let deadline = Instant::now() + DEMOTION_TIMEOUT;
    let mut connection = connect(group, &relayed.target, &relayed.peer, deadline).await?;
    let mut term = first;
    loop {
        let reply = ask(&mut connection, &ServerOp::Demote(term), deadline).await?;
        let Some(status) = group.dialer.status(&reply) else {
            sleep(CONTROL_RETRY_DELAY).await;
            continue;
        };
        group.term.set(group.term.get().max(status.term));
        if status.role == Role::Replica {
            return Some(status);
        }
        term = term.max(status.term + 1);
    }
}
