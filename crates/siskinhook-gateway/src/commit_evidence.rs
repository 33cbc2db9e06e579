//! Evidence that a commit is on a replica that a replacement of the primary asks.
//!
//! A primary acknowledges a commit once any replica received it. Usually the nodes know all of
//! them. A server that was lost may be back under a new id before its entry can be read, because
//! the platform's store is down or the server is cut off from it, and then no replacement asks it.
//! While a lost server may be back, a commit is acknowledged to its caller only when enough listed
//! replicas hold it.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{LogPoint, Role, ServerId};
use tokio::{
    sync::Mutex,
    time::{Instant, sleep, timeout_at},
};

use crate::{Dialer, ServerOp, group::Group, pool::Target};

/// Time after the loss of a server during which it may be back without an entry that was read:
/// an outage of the store and of the server's path to it, and the delay of the feed.
const RETURN_LIMIT: Duration = Duration::from_mins(1);
/// Time limit of the question to one replica; many times the network latency between zones.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before the replicas are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// What shows that an acknowledged commit outlasts its primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// No server that this process lost may be back unnoticed.
    NoLoss,
    /// A listed replica holds the commit.
    Replica,
    /// This node reaches no replica, and its zone is not cut off.
    NoReplicaReached,
    /// Nothing; the commit is not acknowledged.
    Nothing,
}

/// The servers that a group lost without their announcement, and the questions to its replicas.
#[derive(Default)]
pub struct CommitEvidence {
    /// What the latest commit rested on.
    basis: Cell<Option<Basis>>,
    /// Servers whose entry is gone, and since when they have not been reached.
    lost: RefCell<Vec<(ServerId, Instant)>>,
    /// Coalesces the questions of concurrent commits.
    lock: Mutex<()>,
}

impl CommitEvidence {
    /// Records that a server's entry is gone although it did not announce that it leaves.
    pub fn record_loss(&self, server: ServerId, since: Instant) {
        self.lost.borrow_mut().push((server, since));
    }

    /// Records that a server has an entry again.
    pub fn record_return(&self, server: &ServerId) {
        self.lost.borrow_mut().retain(|(lost, _)| lost != server);
    }

    /// Returns since when each server without an entry has not been reached.
    fn losses(&self) -> Vec<Instant> {
        let mut lost = self.lost.borrow_mut();
        lost.retain(|(_, since)| since.elapsed() < RETURN_LIMIT);
        lost.iter().map(|(_, since)| *since).collect()
    }
}

/// Whether lost servers may be back unnoticed: more servers were lost, at the times `losses`, than
/// have been listed since the first loss, at the times `listed`.
#[must_use]
pub fn may_have_unknown_server(losses: &[Instant], listed: &[Instant]) -> bool {
    let Some(first) = losses.iter().min() else {
        return false;
    };
    let replaced = listed.iter().filter(|at| *at >= first).count();
    losses.len() > replaced
}

/// Whether a log that ends at `end` holds the commit at `point`. A log that ends in a later term may
/// lack it, because the promotion between them rolls commits back.
fn holds(end: LogPoint, point: LogPoint) -> bool {
    end.term == point.term && end.position >= point.position
}

impl<D: Dialer> Group<D> {
    /// Whether a server that no replacement would ask may have received a commit.
    fn may_have_unknown_server(&self) -> bool {
        let mut losses = self.evidence.losses();
        let mut listed = Vec::new();
        for target in self.targets.borrow().values() {
            match target.outage() {
                Some((duration, _)) if target.has_answered() && !target.is_draining() => {
                    losses.push(Instant::now() - duration);
                }
                Some(_) => {}
                None => listed.push(target.listed_at()),
            }
        }
        may_have_unknown_server(&losses, &listed)
    }

    /// Waits until enough listed replicas hold a commit that the primary acknowledged. Returns
    /// whether they do before the deadline.
    pub(crate) async fn is_replicated(&self, point: LogPoint, deadline: Instant) -> bool {
        let basis = self.find_evidence(point, deadline).await;
        if self.evidence.basis.replace(Some(basis)) != Some(basis) {
            let replicas = self.replicas();
            event!(
                Event::EvidenceChanged,
                service = self.service.as_str(), basis:? = basis, term = point.term,
                position = point.position,
                reached = replicas.iter().filter(|t| t.outage().is_none()).count(),
                replicas = replicas.len(), unlisted = self.unlisted().len(),
                lost = self.evidence.losses().len(), uptime = self.uptime().as_millis();
                "the evidence for commits has changed"
            );
        }
        basis != Basis::Nothing
    }

    /// Returns what shows that a commit outlasts its primary.
    async fn find_evidence(&self, point: LogPoint, deadline: Instant) -> Basis {
        // A node that reaches no replica cannot ask one. The primary may reach them, unless all are
        // in zones that it is cut off from together with this node.
        let reaches_replica = self.replicas().iter().any(|t| t.outage().is_none());
        if !reaches_replica {
            return if self.fleet.is_cut_off() {
                Basis::Nothing
            } else {
                Basis::NoReplicaReached
            };
        }
        loop {
            if !self.may_have_unknown_server() {
                return Basis::NoLoss;
            }
            if self.is_known_replicated(point) {
                return Basis::Replica;
            }
            let Ok(guard) = timeout_at(deadline, self.evidence.lock.lock()).await else {
                return Basis::Nothing;
            };
            // The answers to another commit's question may have sufficed.
            if self.is_known_replicated(point) {
                return Basis::Replica;
            }
            for replica in self.replicas() {
                let limit = deadline.min(Instant::now() + REPLICA_TIMEOUT);
                self.ask_received(&replica, limit).await;
                if self.is_known_replicated(point) {
                    return Basis::Replica;
                }
            }
            drop(guard);
            if Instant::now() + RETRY_DELAY >= deadline {
                return Basis::Nothing;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Whether enough listed replicas are known to hold a commit.
    fn is_known_replicated(&self, point: LogPoint) -> bool {
        let needed = self.sync_replicas.get();
        let holders = self.replicas().into_iter();
        holders.filter(|t| holds(t.received(), point)).count() >= needed
    }

    /// Asks a replica for the end of the log that it received.
    async fn ask_received(&self, replica: &Target<D>, limit: Instant) {
        let reply = replica.send_control(&ServerOp::Status, limit).await;
        self.counters().confirmations.add(1);
        let status = reply.and_then(|reply| self.dialer.status(&reply));
        if let Some(status) = status.filter(|status| status.role == Role::Replica) {
            replica.record_received(status.received);
        }
    }
}
