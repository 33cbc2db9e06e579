//! Replacement of a primary.
//!
//! One node at a time does it, under a row of the platform's table that is written only if it is
//! unchanged. Its fencing token rises with every attempt, so that an order that is carried out
//! late is refused once a newer one was seen. Servers that were stopped are never set going again
//! by any other means than a promotion: until one is carried out no commit can be acknowledged,
//! so an earlier order that is still under way loses nothing.

mod lease;
mod stop;

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use lease::Lease;
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{NodeId, Platform, ServerId, ServiceId};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    BootInstant, Dialer, Gateway,
    attempt::{self, AttemptError, Check, Statement},
    group::Group,
    pool::{CONTROL_PRIORITY, Target},
};

/// Time without contact after which a primary is taken for dead, if several attempts to connect
/// failed meanwhile. A server process that answers at all accepts connections within a few
/// milliseconds, however slow its statements are.
const DEAD_AFTER: Duration = Duration::from_millis(250);
/// Failed attempts to connect that a dead primary needs.
const DEAD_FAILURES: u32 = 2;
/// Writes in a row without an answer after which the primary is replaced: it may be cut off
/// from its replicas.
const STUCK_WRITES: u32 = 3;
/// Interval of attempts to reach a server that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a group without trouble is looked at; everything urgent raises an event.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Largest random delay before a node takes the duty, so that nodes seldom compete.
const START_JITTER: Duration = Duration::from_millis(80);
/// Longest wait for a sign of life before servers are stopped.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before a failed step is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest such pause.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(900);
/// Attempts to get an order through under one duty.
const MAX_ORDER_ATTEMPTS: u32 = 6;
/// Time without any server that leads after which one is promoted.
const LEADERLESS_LIMIT: Duration = Duration::from_millis(1500);

/// What became of an order to lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server will lead, or does already.
    Accepted,
    /// A newer fencing token was seen, or the server does not run.
    Refused,
    /// It was certainly not carried out.
    NotDone,
    /// There was no answer: it may be carried out later.
    Unanswered,
}

/// Orders servers to lead.
pub trait Orders: 'static {
    /// Orders a server of a service to lead.
    fn promote(
        &self,
        service: &ServiceId,
        server: &ServerId,
        holder: &NodeId,
        token: u64,
    ) -> impl Future<Output = OrderOutcome>;
}

/// Watches a group and replaces its primary when needed, until dropped.
pub async fn watch_group<D: Dialer, P: Platform, O: Orders>(
    gateway: Rc<Gateway<D>>,
    group: Rc<Group<D>>,
    platform: P,
    orders: Rc<O>,
) {
    let controller = Controller {
        gateway,
        group,
        platform,
        orders,
        failures: Cell::default(),
        retry_at: Cell::new(Instant::now()),
    };
    loop {
        controller.wait().await;
        if let Some(reason) = controller.replacement_reason() {
            controller.replace(reason).await;
        }
    }
}

struct Controller<D: Dialer, P: Platform, O: Orders> {
    gateway: Rc<Gateway<D>>,
    group: Rc<Group<D>>,
    platform: P,
    orders: Rc<O>,
    /// Failures in a row to take the duty.
    failures: Cell<u32>,
    /// When it may try again.
    retry_at: Cell<Instant>,
}

impl<D: Dialer, P: Platform, O: Orders> Controller<D, P, O> {
    /// Waits for an event, or for the next attempt to reach servers that do not answer.
    async fn wait(&self) {
        let failing: Vec<Rc<Target<D>>> = self
            .group
            .targets
            .borrow()
            .values()
            .filter(|target| target.outage().is_some() && !target.is_retired())
            .cloned()
            .collect();
        if failing.is_empty() {
            let limit = if self.replacement_reason().is_some() {
                PROBE_INTERVAL
            } else {
                IDLE_CHECK_INTERVAL
            };
            // Without an event the next look is due anyway.
            let _ = timeout(limit, self.group.failover_wakeup.notified()).await;
            return;
        }
        for target in failing {
            tokio::task::spawn_local(async move { target.probe().await });
        }
        if self
            .group
            .leader()
            .is_none_or(|leader| leader.outage().is_some())
        {
            tokio::task::spawn_local(find_leader(self.group.clone()));
        }
        sleep(PROBE_INTERVAL).await;
    }

    /// Returns why the primary has to be replaced.
    fn replacement_reason(&self) -> Option<&'static str> {
        if self.group.targets.borrow().len() < 2 || self.group.is_promotion_pending() {
            return None;
        }
        if self.group.leaderless() > LEADERLESS_LIMIT {
            return Some("no server leads");
        }
        let leader = self.group.leader()?;
        if leader.is_draining() {
            return Some("the primary is leaving");
        }
        if let Some((time, failures)) = leader.outage()
            && time >= DEAD_AFTER
            && failures >= DEAD_FAILURES
        {
            return Some("the primary does not answer");
        }
        (self.group.unanswered_writes.get() >= STUCK_WRITES).then_some("writes get no answer")
    }

    /// Takes the duty and replaces the primary.
    async fn replace(&self, reason: &'static str) {
        sleep(self.gateway.jitter(START_JITTER)).await;
        // Another node may have replaced it, and this one may have been cut off until now.
        find_leader(self.group.clone()).await;
        if self.replacement_reason().is_none() || Instant::now() < self.retry_at.get() {
            return;
        }
        if !self.is_feasible().await {
            self.log_failure("too few servers answer to be certain of every acknowledged commit");
            self.back_off();
            return;
        }
        let Some(lease) = self.acquire_lease().await else {
            self.back_off();
            return;
        };
        self.failures.set(0);
        find_leader(self.group.clone()).await;
        if self.replacement_reason().is_none() {
            return;
        }
        let leader = self.group.leader_id();
        event!(
            Event::FailoverStarted,
            service = self.group.service.as_str(), server = leader.as_deref().unwrap_or("none"),
            fence = lease.token, term = self.group.term.get(), stuck = self.group.unanswered_writes.get();
            "replacing the primary: {reason}"
        );
        let Some(chosen) = self.stop_servers(leader.as_ref()).await else {
            self.log_failure("no server is certain to hold every acknowledged commit");
            sleep(RETRY_DELAY).await;
            return;
        };
        if self.order_promotion(&chosen, lease).await {
            self.group.record_promotion(&chosen);
            self.gateway.counters.promotions.add(1);
        } else {
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether a successor can be chosen, as far as this node reaches the servers. Stopping
    /// servers without one would only keep a primary that others reach from committing.
    async fn is_feasible(&self) -> bool {
        let leader = self.group.leader_id();
        let targets: Vec<Rc<Target<D>>> = self.group.targets.borrow().values().cloned().collect();
        let deadline = Instant::now() + REACHABILITY_TIMEOUT;
        let probes: Vec<_> = targets
            .into_iter()
            .map(|target| {
                let leads = leader.as_ref() == Some(&target.instance.borrow().id);
                let task =
                    tokio::task::spawn_local(async move { target.is_responsive(deadline).await });
                (leads, task)
            })
            .collect();
        let mut unresponsive = self.group.departed().missing;
        let mut primary = None;
        for (leads, task) in probes {
            if leads {
                primary = Some(task);
            } else {
                // A task that ended without an answer counts as a server without an answer.
                unresponsive += usize::from(!task.await.unwrap_or(false));
            }
        }
        if unresponsive < self.group.sync_replicas.get().max(1) {
            return true;
        }
        match primary {
            Some(task) => task.await.unwrap_or(false),
            None => false,
        }
    }

    /// Takes longer pauses after each failure to take the duty: all calls are counted.
    fn back_off(&self) {
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        let delay = RETRY_DELAY.saturating_mul(failures).min(RETRY_DELAY_MAX);
        self.retry_at
            .set(Instant::now() + self.gateway.jitter(delay));
    }

    /// Orders the server to lead until an order is answered; returns whether it was accepted.
    async fn order_promotion(&self, server: &ServerId, first: Lease) -> bool {
        let mut lease = first;
        for _ in 0..MAX_ORDER_ATTEMPTS {
            if BootInstant::now() >= lease.until {
                let Some(renewed) = self.renew(lease).await else {
                    return false;
                };
                lease = renewed;
            }
            let service = &self.group.service;
            let node = &self.gateway.node;
            match self
                .orders
                .promote(service, server, node, lease.token)
                .await
            {
                OrderOutcome::Accepted => return true,
                OrderOutcome::Refused => {
                    self.log_failure(
                        "the order was refused: a newer token was seen, or the server does not run",
                    );
                    return false;
                }
                OrderOutcome::NotDone => sleep(RETRY_DELAY).await,
                OrderOutcome::Unanswered => {
                    self.log_failure(
                        "the order was not answered; it is repeated under a higher token",
                    );
                    lease.until = BootInstant::now();
                }
            }
        }
        false
    }

    fn log_failure(&self, reason: &str) {
        event!(
            Event::FailoverFailed,
            service = self.group.service.as_str(), term = self.group.term.get();
            "{reason}"
        );
    }
}

/// Asks all servers that can be reached whether they lead. A node that cannot read the store
/// learns of a new primary this way.
async fn find_leader<D: Dialer>(group: Rc<Group<D>>) {
    let targets: Vec<Rc<Target<D>>> = group.targets.borrow().values().cloned().collect();
    let deadline = Instant::now() + PROBE_INTERVAL;
    let values = BTreeMap::new();
    for target in targets.iter().filter(|target| target.is_usable()) {
        let Ok(mut leased) = target.acquire(&values, CONTROL_PRIORITY, deadline).await else {
            continue;
        };
        let statement = Statement::empty(&values);
        match attempt::prepare(&group, &mut leased, &statement, Check::IsPrimary, deadline).await {
            Ok(()) => {
                leased.return_to_pool();
                return;
            }
            Err(AttemptError::Rejected(_)) => leased.return_to_pool(),
            // The statements that use this server find out why.
            Err(_) => {}
        }
    }
}
