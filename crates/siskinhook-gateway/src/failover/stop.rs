//! Pausing of replicas and demotion of the primary before a server is promoted.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{Platform, Role, ServerId, Term};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use super::{
    Controller, Discovery, Orders,
    peers::{RelayedTarget, demote_relayed},
};
use crate::{
    Departed, Dialer, Gateway, PendingOrder, ReplicationStatus, Report, ServerOp,
    choose_ordered_successor, choose_successor, group::Group, pool::Target,
};

/// Time limit for pausing the replicas.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for demoting a primary that is reached, before the replicas are paused. It serves
/// callers meanwhile, and under load it refuses requests for many times the latency between zones.
pub(super) const DEMOTION_TIMEOUT: Duration = Duration::from_millis(600);
/// Attempts in which a primary that is reached has to be demoted. After them it is replaced without
/// its reply, since a primary that answers nothing acknowledges nothing either.
const MAX_UNDEMOTED: u32 = 3;
/// Delay before a pause or demote request without a usable reply is repeated.
pub(super) const CONTROL_RETRY_DELAY: Duration = Duration::from_millis(25);

impl<D: Dialer, P: Platform, S: Discovery, O: Orders> Controller<D, P, S, O> {
    /// Demotes the primary, pauses the replicas, and chooses a successor from their replies.
    ///
    /// The primary comes first, so that the replicas still receive all that it acknowledges: a new
    /// server receives commits before this node knows it. Servers whose entry says that they are
    /// the primary come first as well, since this node may not know which one leads. Only primaries
    /// that neither this node nor other nodes reach are replaced without their reply.
    ///
    /// An order that may still be carried out binds the choice.
    pub(super) async fn stop_servers(
        &self,
        leader: Option<&ServerId>,
        relayed: &[RelayedTarget<D>],
    ) -> Option<PendingOrder> {
        let mut targets = self.group.existing_targets();
        targets.extend(self.group.unlisted());
        let (primaries, replicas): (Vec<_>, Vec<_>) = targets.into_iter().partition(|target| {
            let instance = target.instance.borrow();
            Some(&instance.id) == leader || instance.role == Role::Primary
        });
        let (reached, failing): (Vec<_>, Vec<_>) = primaries
            .into_iter()
            .partition(|target| target.outage().is_none());
        let mut stopped = Vec::new();
        let mut pending = self.stop(&failing, DEMOTION_TIMEOUT + CONTROL_TIMEOUT);
        let demotions = self.stop(&reached, DEMOTION_TIMEOUT + CONTROL_TIMEOUT);
        let term = self.group.term.get() + 1;
        for relayed in relayed {
            let status = demote_relayed(&self.group, relayed, term).await;
            add_relayed(&relayed.target, status, &mut pending, &mut stopped);
        }
        pending.extend(finish(demotions, DEMOTION_TIMEOUT, &mut stopped).await);
        if self.has_undemoted_primary(&reached, relayed, &stopped) {
            self.log_failure("a primary that is reached was not demoted");
            return None;
        }
        let tasks = self.stop(&replicas, CONTROL_TIMEOUT);
        pending.extend(finish(tasks, CONTROL_TIMEOUT, &mut stopped).await);
        pending = finish(pending, Duration::ZERO, &mut stopped).await;
        let sync_replicas = self.group.sync_replicas.get();
        let choose = |reports: &[Report]| {
            let departed = self.departed(reports);
            match &self.pending_order() {
                Some(order) => choose_ordered_successor(reports, sync_replicas, departed, order),
                None => choose_successor(reports, sync_replicas, departed),
            }
        };
        // Another server may have led since this node saw the one lead that it regards as the primary.
        let replied = |id: &&ServerId| {
            let mut replies = stopped.iter().filter(|r| r.server == **id);
            replies.any(|r| r.stopped.is_some())
        };
        let latest = self.group.latest_primary();
        let leader = latest.as_ref().or(leader.filter(|id| !replied(id)));
        let mut chosen = choose(&reports(&stopped, &pending, leader));
        if chosen.is_none() {
            pending = finish(pending, CONTROL_TIMEOUT, &mut stopped).await;
            chosen = choose(&reports(&stopped, &pending, leader));
        }
        let reports = reports(&stopped, &pending, leader);
        for task in pending {
            task.reply.abort();
        }
        self.log_reports(&reports, chosen.as_ref());
        let server = chosen?;
        let report = reports.iter().find(|report| report.server == server)?;
        let (address, started) = (report.address, report.started);
        Some(PendingOrder {
            server,
            address,
            started,
        })
    }

    /// Whether a primary answers this node or another one, but was not demoted. It could acknowledge
    /// commits until the promotion takes effect.
    fn has_undemoted_primary(
        &self,
        reached: &[Rc<Target<D>>],
        relayed: &[RelayedTarget<D>],
        stopped: &[StopReply],
    ) -> bool {
        let is_stopped = |target: &Target<D>| {
            let server = &target.instance.borrow().id;
            let mut replies = stopped.iter().filter(|reply| reply.server == *server);
            replies.any(|reply| reply.stopped.is_some())
        };
        // The address of a retired server belongs to another process.
        let is_running = |target: &Target<D>| {
            target.outage().is_none() && !target.is_retired() && !is_stopped(target)
        };
        let reached_here = reached.iter().any(|target| is_running(target));
        let reached_elsewhere = relayed.iter().any(|r| !is_stopped(&r.target));
        if !reached_here && !reached_elsewhere {
            self.undemoted.set(0);
            return false;
        }
        self.undemoted.set(self.undemoted.get() + 1);
        self.undemoted.get() <= MAX_UNDEMOTED
    }

    fn log_reports(&self, reports: &[Report], chosen: Option<&ServerId>) {
        let departed = self.departed(reports);
        for report in reports {
            let (end, paused) = report
                .status
                .map_or((None, 0), |s| (Some(s.received), s.paused_term));
            event!(
                Event::FailoverOrdered,
                service = self.group.service.as_str(), server = report.server.as_str(),
                former = report.former, listed = report.listed, draining = report.draining,
                held = paused,
                term = self.group.term.get(), departed = departed.missing,
                chosen = (chosen == Some(&report.server));
                "the server's log ends at {end:?}"
            );
        }
        for (server, address, reason) in self.group.not_asked() {
            event!(
                Event::ServerNotAsked,
                service = self.group.service.as_str(), server = server.as_deref().unwrap_or("unknown"),
                address:? = address, term = self.group.term.get();
                "{reason}"
            );
        }
    }

    /// Returns the departed replicas whose logs are not among the reports, and with them the servers
    /// that were listed since the replacement began.
    fn departed(&self, reports: &[Report]) -> Departed {
        let replied = reports.iter().filter(|report| report.status.is_some());
        let reporting: Vec<SocketAddr> = replied.map(|report| report.address).collect();
        let mut departed = self.group.departed(&reporting);
        departed.missing += self.group.count_unasked(reports);
        departed
    }

    /// Starts to pause or demote servers, for at most `limit`.
    fn stop(&self, targets: &[Rc<Target<D>>], limit: Duration) -> Vec<StopTask> {
        let term = self.group.term.get() + 1;
        let deadline = Instant::now() + limit;
        let start = |target: &Rc<Target<D>>| {
            let (server, address, started) = {
                let instance = target.instance.borrow();
                (instance.id.clone(), instance.address, instance.started)
            };
            let draining = target.is_draining();
            let listed = self.group.target(&server).is_some();
            let (gateway, group) = (self.gateway.clone(), self.group.clone());
            let target = target.clone();
            let reply = tokio::task::spawn_local(async move {
                stop_server(&gateway, &group, &target, term, deadline).await
            });
            StopTask {
                server,
                address,
                started,
                listed,
                draining,
                reply,
            }
        };
        targets.iter().map(start).collect()
    }
}

/// A server that is being stopped.
struct StopTask {
    server: ServerId,
    address: SocketAddr,
    started: u64,
    listed: bool,
    draining: bool,
    reply: JoinHandle<Option<Stopped>>,
}

/// Collects the replies of servers that are being stopped, waiting for each for at most `limit`.
/// Returns those that have not replied.
async fn finish(
    tasks: Vec<StopTask>,
    limit: Duration,
    stopped: &mut Vec<StopReply>,
) -> Vec<StopTask> {
    let mut pending = Vec::new();
    for mut task in tasks {
        let Ok(reply) = timeout(limit, &mut task.reply).await else {
            pending.push(task);
            continue;
        };
        stopped.push(StopReply {
            server: task.server,
            address: task.address,
            started: task.started,
            listed: task.listed,
            draining: task.draining,
            // A task that was cancelled or panicked counts as a server that did not reply.
            stopped: reply.ok().flatten(),
        });
    }
    pending
}

/// Adds a server that was demoted through another node to those that replied.
fn add_relayed<D: Dialer>(
    target: &Target<D>,
    status: Option<ReplicationStatus>,
    pending: &mut Vec<StopTask>,
    stopped: &mut Vec<StopReply>,
) {
    let Some(status) = status else { return };
    let server = &target.instance.borrow().id;
    let Some(index) = pending.iter().position(|task| task.server == *server) else {
        return;
    };
    let task = pending.swap_remove(index);
    task.reply.abort();
    stopped.push(StopReply {
        server: task.server,
        address: task.address,
        started: task.started,
        listed: task.listed,
        draining: task.draining,
        stopped: Some(Stopped {
            status,
            was_primary: None,
        }),
    });
}

/// The reply of a server that was asked to stop.
struct StopReply {
    server: ServerId,
    address: SocketAddr,
    started: u64,
    listed: bool,
    draining: bool,
    /// `None` if the server did not reply.
    stopped: Option<Stopped>,
}

/// A server that was stopped.
struct Stopped {
    status: ReplicationStatus,
    /// Term in which the server was the primary until it was demoted; `None` for a replica.
    was_primary: Option<Term>,
}

/// Returns the primary that is being replaced: of the servers that replied, the one that was the
/// primary in the highest term, or else the server regarded as the primary.
fn former_primary(replies: &[StopReply], leader: Option<&ServerId>) -> Option<ServerId> {
    let was_primary = |reply: &StopReply| {
        let term = reply.stopped.as_ref()?.was_primary?;
        Some((term, reply.server.clone()))
    };
    let found = replies.iter().filter_map(was_primary).max();
    found.map(|(_, server)| server).or_else(|| leader.cloned())
}

/// Returns a report of each server, also of those that have not replied yet.
fn reports(replies: &[StopReply], pending: &[StopTask], leader: Option<&ServerId>) -> Vec<Report> {
    let former = former_primary(replies, leader);
    let is_former = |server: &ServerId| Some(server) == former.as_ref();
    let finished = replies.iter().map(|reply| Report {
        former: is_former(&reply.server),
        server: reply.server.clone(),
        address: reply.address,
        started: reply.started,
        listed: reply.listed,
        draining: reply.draining,
        status: reply.stopped.as_ref().map(|stopped| stopped.status),
    });
    let waiting = pending.iter().map(|task| Report {
        former: is_former(&task.server),
        server: task.server.clone(),
        address: task.address,
        started: task.started,
        listed: task.listed,
        draining: task.draining,
        status: None,
    });
    finished.chain(waiting).collect()
}

/// Pauses or demotes one server under a term higher than any it knows.
async fn stop_server<D: Dialer>(
    gateway: &Gateway<D>,
    group: &Group<D>,
    target: &Target<D>,
    first: Term,
    deadline: Instant,
) -> Option<Stopped> {
    let mut term = first;
    let mut was_primary = None;
    while Instant::now() < deadline {
        let op = match was_primary {
            Some(_) => ServerOp::Demote(term),
            None => ServerOp::Pause(term),
        };
        let Some(status) = send_op(gateway, group, target, &op, deadline).await else {
            term = term.max(group.term.get() + 1);
            sleep(CONTROL_RETRY_DELAY).await;
            continue;
        };
        group.term.set(group.term.get().max(status.term));
        let newer = term > status.term;
        match status.role {
            // A pause has no effect on a primary, and a term that is too low has none on any
            // server. The next round uses a demotion or a higher term.
            Role::Primary => was_primary = Some(status.term),
            Role::Replica if was_primary.is_some() || (newer && status.paused_term >= term) => {
                return Some(Stopped {
                    status,
                    was_primary,
                });
            }
            Role::Replica => {}
        }
        term = term.max(status.term + 1).max(group.term.get() + 1);
    }
    None
}

/// Sends one control request and returns the status that the server reports.
async fn send_op<D: Dialer>(
    gateway: &Gateway<D>,
    group: &Group<D>,
    target: &Target<D>,
    op: &ServerOp<'_>,
    deadline: Instant,
) -> Option<ReplicationStatus> {
    let reply = target.send_control(op, deadline).await?;
    if let Some(point) = reply.point {
        group.record_position(point);
    }
    gateway.dialer.status(&reply)
}
