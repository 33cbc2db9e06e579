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

use lease::Permit;
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{NodeId, Platform, ServerId, ServiceId};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    BootInstant, Dialer, Gateway,
    attempt::{self, AttemptError, Gate, Work},
    group::Group,
    pool::{FIRST, Target},
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
const PROBE: Duration = Duration::from_millis(100);
/// Interval at which a group without trouble is looked at; everything urgent raises an event.
const CALM: Duration = Duration::from_secs(2);
/// Largest random delay before a node takes the duty, so that nodes seldom compete.
const SPREAD: Duration = Duration::from_millis(80);
/// Longest wait for a sign of life before servers are stopped.
const REACH_LIMIT: Duration = Duration::from_millis(300);
/// Pause before a failed step is tried again.
const RETRY: Duration = Duration::from_millis(150);
/// Longest such pause.
const RETRY_LIMIT: Duration = Duration::from_millis(900);
/// Attempts to get an order through under one duty.
const ATTEMPTS: u32 = 6;
/// Time without any server that leads after which one is promoted.
const LEADERLESS: Duration = Duration::from_millis(1500);

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
        pause: Cell::new(Instant::now()),
    };
    loop {
        controller.wait().await;
        if let Some(reason) = controller.reason() {
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
    pause: Cell<Instant>,
}

impl<D: Dialer, P: Platform, O: Orders> Controller<D, P, O> {
    /// Waits for an event, or for the next attempt to reach servers that do not answer.
    async fn wait(&self) {
        let failing: Vec<Rc<Target<D>>> = self
            .group
            .targets
            .borrow()
            .values()
            .filter(|target| target.failing().is_some() && !target.is_gone())
            .cloned()
            .collect();
        if failing.is_empty() {
            let limit = if self.reason().is_some() { PROBE } else { CALM };
            // Without an event the next look is due anyway.
            let _ = timeout(limit, self.group.trouble.notified()).await;
            return;
        }
        for target in failing {
            tokio::task::spawn_local(async move { target.probe().await });
        }
        if self
            .group
            .leader()
            .is_none_or(|leader| leader.failing().is_some())
        {
            tokio::task::spawn_local(find_leader(self.group.clone()));
        }
        sleep(PROBE).await;
    }

    /// Returns why the primary has to be replaced.
    fn reason(&self) -> Option<&'static str> {
        if self.group.targets.borrow().len() < 2 || self.group.is_order_fresh() {
            return None;
        }
        if self.group.leaderless() > LEADERLESS {
            return Some("no server leads");
        }
        let leader = self.group.leader()?;
        if leader.is_draining() {
            return Some("the primary is leaving");
        }
        if let Some((time, failures)) = leader.failing()
            && time >= DEAD_AFTER
            && failures >= DEAD_FAILURES
        {
            return Some("the primary does not answer");
        }
        (self.group.stuck.get() >= STUCK_WRITES).then_some("writes get no answer")
    }

    /// Takes the duty and replaces the primary.
    async fn replace(&self, reason: &'static str) {
        sleep(self.gateway.jitter(SPREAD)).await;
        // Another node may have replaced it, and this one may have been cut off until now.
        find_leader(self.group.clone()).await;
        if self.reason().is_none() || Instant::now() < self.pause.get() {
            return;
        }
        if !self.is_feasible().await {
            self.failed("too few servers answer to be certain of every acknowledged commit");
            self.back_off();
            return;
        }
        let Some(permit) = self.take_duty().await else {
            self.back_off();
            return;
        };
        self.failures.set(0);
        find_leader(self.group.clone()).await;
        if self.reason().is_none() {
            return;
        }
        let leader = self.group.leader_id();
        event!(
            Event::FailoverStarted,
            service = self.group.service.as_str(), server = leader.as_deref().unwrap_or("none"),
            fence = permit.token, term = self.group.term.get(), stuck = self.group.stuck.get();
            "replacing the primary: {reason}"
        );
        let Some(chosen) = self.stop_servers(leader.as_ref()).await else {
            self.failed("no server is certain to hold every acknowledged commit");
            sleep(RETRY).await;
            return;
        };
        if self.order(&chosen, permit).await {
            self.group.promoted(&chosen);
            self.gateway.counters.promotions.add(1);
        } else {
            sleep(RETRY).await;
        }
    }

    /// Returns whether a successor can be chosen, as far as this node reaches the servers. Stopping
    /// servers without one would only keep a primary that others reach from committing.
    async fn is_feasible(&self) -> bool {
        let leader = self.group.leader_id();
        let targets: Vec<Rc<Target<D>>> = self.group.targets.borrow().values().cloned().collect();
        let deadline = Instant::now() + REACH_LIMIT;
        let asked: Vec<_> = targets
            .into_iter()
            .map(|target| {
                let leads = leader.as_ref() == Some(&target.instance.borrow().id);
                let task = tokio::task::spawn_local(async move { target.replies(deadline).await });
                (leads, task)
            })
            .collect();
        let mut silent = self.group.departed().missing;
        let mut primary = None;
        for (leads, task) in asked {
            if leads {
                primary = Some(task);
            } else {
                // A task that ended without an answer counts as a server without an answer.
                silent += usize::from(!task.await.unwrap_or(false));
            }
        }
        if silent < self.group.sync_replicas.get().max(1) {
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
        let pause = RETRY.saturating_mul(failures).min(RETRY_LIMIT);
        self.pause.set(Instant::now() + self.gateway.jitter(pause));
    }

    /// Orders the server to lead until an order is answered; returns whether it was accepted.
    async fn order(&self, server: &ServerId, first: Permit) -> bool {
        let mut permit = first;
        for _ in 0..ATTEMPTS {
            if BootInstant::now() >= permit.until {
                let Some(renewed) = self.renew(permit).await else {
                    return false;
                };
                permit = renewed;
            }
            let service = &self.group.service;
            let node = &self.gateway.node;
            match self
                .orders
                .promote(service, server, node, permit.token)
                .await
            {
                OrderOutcome::Accepted => return true,
                OrderOutcome::Refused => {
                    self.failed(
                        "the order was refused: a newer token was seen, or the server does not run",
                    );
                    return false;
                }
                OrderOutcome::NotDone => sleep(RETRY).await,
                OrderOutcome::Unanswered => {
                    self.failed("the order was not answered; it is repeated under a higher token");
                    permit.until = BootInstant::now();
                }
            }
        }
        false
    }

    fn failed(&self, reason: &str) {
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
    let deadline = Instant::now() + PROBE;
    let values = BTreeMap::new();
    for target in targets.iter().filter(|target| target.is_usable()) {
        let Ok(mut leased) = target.acquire(&values, FIRST, deadline).await else {
            continue;
        };
        let work = Work::none(&values);
        match attempt::prepare(&group, &mut leased, &work, Gate::Leads, deadline).await {
            Ok(()) => {
                leased.keep();
                return;
            }
            Err(AttemptError::Unfit(_)) => leased.keep(),
            // The statements that use this server find out why.
            Err(_) => {}
        }
    }
}
