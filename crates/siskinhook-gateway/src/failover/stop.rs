//! Pausing of replicas and demotion of the primary before a server is promoted.

use std::{rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{Platform, Role, ServerId, Term};
use tokio::time::{Instant, sleep};

use super::{Controller, Orders};
use crate::{
    Dialer, Gateway, ReplicationStatus, Report, ServerOp, choose_successor, group::Group,
    pool::Target,
};

/// Time limit for pausing or demoting the servers, which happens in parallel.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a pause or demote request without a usable reply is repeated.
const CONTROL_RETRY_DELAY: Duration = Duration::from_millis(25);

impl<D: Dialer, P: Platform, O: Orders> Controller<D, P, O> {
    /// Pauses the replicas, demotes the primary, and chooses a successor from their replies.
    pub(super) async fn stop_servers(&self, leader: Option<&ServerId>) -> Option<ServerId> {
        let term = self.group.term.get() + 1;
        let targets: Vec<Rc<Target<D>>> = self.group.targets.borrow().values().cloned().collect();
        let deadline = Instant::now() + CONTROL_TIMEOUT;
        let count = targets.len();
        let mut tasks = Vec::new();
        for target in targets {
            let id = target.instance.borrow().id.clone();
            let draining = target.is_draining();
            let group = self.group.clone();
            let gateway = self.gateway.clone();
            let task = tokio::task::spawn_local(async move {
                stop_server(&gateway, &group, &target, term, deadline).await
            });
            tasks.push((id, draining, task));
        }
        // The primary comes last: if it is unreachable, waiting for it would use up the time limit,
        // and its reply is mostly not needed.
        tasks.sort_by_key(|(id, ..)| Some(id) == leader);
        let departed = self.group.departed();
        let sync_replicas = self.group.sync_replicas.get();
        let mut stopped = Vec::new();
        let mut chosen = None;
        for (server, draining, mut task) in tasks {
            if chosen.is_some() {
                task.abort();
                stopped.push((server, draining, None));
                continue;
            }
            // A task that was cancelled or panicked counts as a server that did not reply.
            let answer = (&mut task).await.ok().flatten();
            stopped.push((server, draining, answer));
            if stopped.len() + 1 >= count {
                chosen =
                    choose_successor(&reports(&stopped, leader, count), sync_replicas, departed);
            }
        }
        let reports = reports(&stopped, leader, count);
        for report in &reports {
            let (end, paused) = report
                .status
                .map_or((None, 0), |s| (Some(s.received), s.paused_term));
            event!(
                Event::FailoverOrdered,
                service = self.group.service.as_str(), server = report.server.as_str(),
                former = report.former, draining = report.draining, held = paused, term = term,
                departed = departed.missing,
                chosen = (chosen.as_ref() == Some(&report.server));
                "the server's log ends at {end:?}"
            );
        }
        chosen
    }
}

/// A server that was stopped.
struct Stopped {
    status: ReplicationStatus,
    /// Term in which the server was the primary until it was demoted; `None` for a replica.
    was_primary: Option<Term>,
}

/// Returns the primary that is being replaced: of the servers that replied, the one that was the
/// primary in the highest term, or else the server regarded as the primary.
fn former_primary(
    stopped: &[(ServerId, bool, Option<Stopped>)],
    leader: Option<&ServerId>,
) -> Option<ServerId> {
    let was_primary = |(server, _, stopped): &(ServerId, bool, Option<Stopped>)| {
        let term = stopped.as_ref()?.was_primary?;
        Some((term, server.clone()))
    };
    let found = stopped.iter().filter_map(was_primary).max();
    found.map(|(_, server)| server).or_else(|| leader.cloned())
}

/// Returns a report of each server. If the server regarded as the primary has not replied yet, it
/// is still included, up to `count` servers.
fn reports(
    stopped: &[(ServerId, bool, Option<Stopped>)],
    leader: Option<&ServerId>,
    count: usize,
) -> Vec<Report> {
    let former = former_primary(stopped, leader);
    let mut reports: Vec<Report> = stopped
        .iter()
        .map(|(server, draining, stopped)| Report {
            former: Some(server) == former.as_ref(),
            server: server.clone(),
            draining: *draining,
            status: stopped.as_ref().map(|stopped| stopped.status),
        })
        .collect();
    if let Some(leader) = leader.filter(|_| reports.len() < count) {
        reports.push(Report {
            former: Some(leader) == former.as_ref(),
            server: leader.clone(),
            draining: false,
            status: None,
        });
    }
    reports
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
