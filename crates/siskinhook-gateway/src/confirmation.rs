//! Confirmation by a replica that the group's primary was not replaced.

use std::{cell::Cell, rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{Role, Term};
use tokio::{
    sync::Mutex,
    time::{Instant, timeout_at},
};

use crate::{BootInstant, Dialer, ServerOp, group::Group, pool::Target};

/// Time limit of the question to one replica; many times the network latency between zones.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after an outage during which a server's answers prove nothing. A replica that restarted has
/// lost its pause and knows only the old term until it reaches the new primary; a replaced primary
/// steps down within a second of reaching it.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Coalesces the questions of concurrent statements: one answer serves all that arrived before its
/// question was sent.
#[derive(Debug, Default)]
pub struct Confirmation {
    lock: Mutex<()>,
    /// When the last question that no replica answered with a confirmation was sent.
    failed: Cell<Option<BootInstant>>,
}

impl<D: Dialer> Group<D> {
    /// Whether a replica of `term` confirmed the primary at or after `since`. Always true if the
    /// platform demotes a replaced primary.
    pub(crate) fn is_confirmed(&self, term: Term, since: BootInstant) -> bool {
        self.leadership.as_ref().is_none_or(|leadership| {
            let at = leadership.borrow().confirmation(term);
            at.is_some_and(|at| at >= since)
        })
    }

    /// Asks the replicas for a confirmation that is not older than `since`, unless there is one.
    pub(crate) async fn confirm_leader(&self, since: BootInstant, deadline: Instant) {
        let called_at = BootInstant::now();
        // A statement that reaches its deadline here fails on the check that follows.
        let Ok(_guard) = timeout_at(deadline, self.confirmation.lock.lock()).await else {
            return;
        };
        let shares_failure = self
            .confirmation
            .failed
            .get()
            .is_some_and(|at| at >= called_at);
        if shares_failure || self.is_confirmed(self.term.get(), since) {
            return;
        }
        let sent_at = BootInstant::now();
        let leader_stable = self
            .leader()
            .is_some_and(|leader| leader.is_stable(SETTLING_TIME));
        let replicas = self.confirming_replicas();
        for replica in replicas.into_iter().filter(|_| leader_stable) {
            let limit = deadline.min(Instant::now() + REPLICA_TIMEOUT);
            if self.ask_replica(&replica, limit).await {
                return;
            }
        }
        self.confirmation.failed.set(Some(sent_at));
    }

    /// Returns the servers other than the primary whose answers can be trusted, the fastest first.
    fn confirming_replicas(&self) -> Vec<Rc<Target<D>>> {
        let leader = self.leader_id();
        let targets = self.targets.borrow();
        let mut replicas: Vec<Rc<Target<D>>> = targets
            .iter()
            .filter(|(id, target)| Some(*id) != leader.as_ref() && target.is_stable(SETTLING_TIME))
            .map(|(_, target)| target.clone())
            .collect();
        replicas.sort_by(|a, b| a.expected_latency().total_cmp(&b.expected_latency()));
        replicas
    }

    /// Asks one replica for its status. Returns whether it confirms the primary of its term.
    async fn ask_replica(&self, replica: &Target<D>, limit: Instant) -> bool {
        let sent_at = BootInstant::now();
        let reply = replica.send_control(&ServerOp::Status, limit).await;
        self.counters().confirmations.add(1);
        let Some(status) = reply.and_then(|reply| self.dialer.status(&reply)) else {
            return false;
        };
        let known = self.term.get();
        self.term.set(known.max(status.term));
        let confirms =
            status.role == Role::Replica && status.paused_term == 0 && status.term >= known;
        if confirms {
            self.record_confirmation(status.term, sent_at);
        } else if status.role == Role::Primary && status.term > known {
            let id = replica.instance.borrow().id.clone();
            self.set_leader(Some(id), "it leads a newer term");
        }
        confirms
    }

    /// Demotes a server that claims to lead although a newer term has begun, so that callers need
    /// not wait until it notices by itself. `claimed` is the term in which its log ends. A new
    /// primary whose log still ends in an older term is not affected by the demotion.
    pub(crate) fn check_superseded(self: &Rc<Self>, target: &Rc<Target<D>>, claimed: Term) {
        let term = self.term.get();
        if claimed >= term {
            return;
        }
        let (group, target) = (self.clone(), target.clone());
        tokio::task::spawn_local(async move {
            let limit = Instant::now() + REPLICA_TIMEOUT;
            // The next statement that meets the server repeats a demotion without an answer.
            let reply = target.send_control(&ServerOp::Demote(term), limit).await;
            let status = reply.and_then(|reply| group.dialer.status(&reply));
            if status.is_none_or(|status| status.role == Role::Primary) {
                return;
            }
            let server = target.instance.borrow().id.clone();
            event!(
                Event::PrimarySuperseded,
                service = group.service.as_str(), server = server.as_str(),
                claimed = claimed, term = term;
                "the server claimed to lead an older term and was demoted"
            );
            group.record_denial(&target);
        });
    }
}
