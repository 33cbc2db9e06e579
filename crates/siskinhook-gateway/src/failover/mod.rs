//! Failover: replacement of a group's primary.
//!
//! One node at a time performs the failover, under a lease in a row of the platform's table that is
//! written with compare-and-set. The fencing token of the lease rises with every attempt, so an
//! order that is executed late is refused once a newer one was seen. The successor is chosen from
//! logs that are read before the promotion, so no commit may be acknowledged in between. Replicas
//! are paused and the primary is demoted; if it is down, the lease row makes the nodes hold writes
//! back when it restarts (`write_permit.rs`). Paused servers resume only through a promotion.

mod check;
mod lease;
mod peers;
mod record;
mod stop;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use check::answer_checks;
use lease::{Lease, UnansweredOrder};
use record::keep_record;
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{NodeId, Platform, PlatformError, ServerId, ServiceId};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    BootInstant, Dialer, Gateway, PendingOrder,
    attempt::{self, AttemptError, Check, Statement},
    group::Group,
    pool::{CONTROL_PRIORITY, Target},
};

/// Time since the first failure after which a primary is considered dead, if `DEAD_FAILURES` is
/// reached as well. A live server process accepts connections within a few milliseconds, however
/// slow its statements are.
const DEAD_AFTER: Duration = Duration::from_millis(250);
/// Number of failures after which a primary is considered dead.
const DEAD_FAILURES: u32 = 2;
/// Consecutive writes without an answer after which the primary is replaced, since it may be cut
/// off from its replicas.
const UNANSWERED_WRITES_LIMIT: u32 = 3;
/// Interval of the attempts to reach a failing server, and time limit for finding the primary.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a healthy group is checked; urgent changes wake the controller earlier.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum random delay before a node acquires the lease, so that nodes seldom compete.
const START_JITTER: Duration = Duration::from_millis(80);
/// Time limit of the reachability check before servers are paused.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of the last attempt to connect to a server before it is regarded as lost; longer than
/// a round trip between regions.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before a failed step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum of the retry delay.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(900);
/// Maximum number of attempts to send a promotion order during one failover.
const MAX_ORDER_ATTEMPTS: u32 = 6;
/// Time for which writes are held back at a primary that answers, after which it is replaced: the
/// node that had begun to replace it has stopped. A replacement takes less.
const HELD_LIMIT: Duration = Duration::from_secs(2);
/// Time without a known primary after which a server is promoted.
const LEADERLESS_LIMIT: Duration = Duration::from_millis(1500);

/// Outcome of a promotion order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server is or will become the primary.
    Accepted,
    /// A newer fencing token was seen, or the server is not running.
    Refused,
    /// The order was certainly not executed.
    NotDone,
    /// No answer arrived; the order may still be executed later.
    Unanswered,
}

/// Sends promotion orders to the platform.
pub trait Orders: 'static {
    /// Orders the platform to promote a server of a service to primary.
    fn promote(
        &self,
        service: &ServiceId,
        server: &ServerId,
        holder: &NodeId,
        token: u64,
    ) -> impl Future<Output = OrderOutcome>;
}

/// Reads the list of servers on demand.
pub trait Discovery: 'static {
    /// Passes the current entries of all servers to the gateway.
    ///
    /// # Errors
    /// `NotDone` when the entries cannot be read.
    fn refresh(&self) -> impl Future<Output = Result<(), PlatformError>>;
}

/// Watches a group and replaces its primary when needed; runs until dropped.
pub async fn watch_group<D: Dialer, P: Platform, S: Discovery, O: Orders>(
    gateway: Rc<Gateway<D>>,
    group: Rc<Group<D>>,
    platform: P,
    discovery: S,
    orders: Rc<O>,
) {
    let controller = Controller {
        gateway,
        group,
        platform,
        discovery,
        orders,
        failures: Cell::default(),
        retry_at: Cell::new(Instant::now()),
        undemoted: Cell::default(),
        is_unfinished: Cell::default(),
        unanswered: RefCell::default(),
        is_unsettled: Cell::default(),
        highest_token: Cell::default(),
    };
    let watch = async {
        loop {
            controller.wait().await;
            if let Some(reason) = controller.replacement_reason() {
                controller.replace(reason).await;
            } else if controller.is_unfinished.get() || controller.is_unsettled.get() {
                controller.settle(controller.is_unfinished.get()).await;
            }
        }
    };
    tokio::join!(watch, answer_checks(&controller), keep_record(&controller));
}

struct Controller<D: Dialer, P: Platform, S: Discovery, O: Orders> {
    gateway: Rc<Gateway<D>>,
    group: Rc<Group<D>>,
    platform: P,
    discovery: S,
    orders: Rc<O>,
    /// Consecutive failures to start a failover.
    failures: Cell<u32>,
    /// Time of the next permitted attempt.
    retry_at: Cell<Instant>,
    /// Consecutive attempts in which a primary that is reached was not demoted.
    undemoted: Cell<u32>,
    /// Whether the lease row may say that this process replaces the primary although it has sent no
    /// order that could still be carried out.
    is_unfinished: Cell<bool>,
    /// The order that may still be carried out, as far as this process knows.
    unanswered: RefCell<Option<UnansweredOrder>>,
    /// Whether the lease row may record an order of this process that was answered or not sent.
    is_unsettled: Cell<bool>,
    /// Highest token that this process read in the lease row.
    highest_token: Cell<u64>,
}

impl<D: Dialer, P: Platform, S: Discovery, O: Orders> Controller<D, P, S, O> {
    /// Waits for a wake-up or the next check, and probes servers that are failing.
    async fn wait(&self) {
        let unreached: Vec<Rc<Target<D>>> = self
            .group
            .targets
            .borrow()
            .values()
            .filter(|target| target.outage().is_some() && !target.is_retired())
            .cloned()
            .collect();
        let (failing, absent): (Vec<_>, Vec<_>) =
            unreached.into_iter().partition(|target| target.may_exist());
        let retired_leader = self
            .group
            .leader()
            .is_some_and(|leader| leader.is_retired());
        if failing.is_empty() && !retired_leader {
            let limit = if self.replacement_reason().is_some() {
                PROBE_INTERVAL
            } else {
                IDLE_CHECK_INTERVAL
            };
            let wakeup = timeout(limit, self.group.failover_wakeup.notified());
            // On a timeout the group is checked as well. A failed probe wakes the controller, so
            // entries without a server are probed on timeouts only.
            if wakeup.await.is_err() {
                for target in absent {
                    tokio::task::spawn_local(async move { target.probe().await });
                }
            }
            return;
        }
        for target in failing {
            tokio::task::spawn_local(async move { target.probe().await });
        }
        if self.group.has_lost_leader() {
            tokio::task::spawn_local(find_leader(self.group.clone()));
        }
        sleep(PROBE_INTERVAL).await;
    }

    /// Returns the reason why the primary must be replaced, if any.
    fn replacement_reason(&self) -> Option<&'static str> {
        if self.group.targets.borrow().len() < 2 || self.group.is_promotion_pending() {
            return None;
        }
        if self.group.leaderless_duration() > LEADERLESS_LIMIT {
            return Some("no primary is known");
        }
        let leader = self.group.leader()?;
        if leader.is_draining() {
            return Some("the primary is draining");
        }
        if let Some((time, failures)) = leader.outage()
            && time >= DEAD_AFTER
            && failures >= DEAD_FAILURES
        {
            return Some("the primary does not answer");
        }
        if self.group.held_duration() >= HELD_LIMIT {
            return Some("its former replacement was not completed");
        }
        (self.group.unanswered_writes.get() >= UNANSWERED_WRITES_LIMIT)
            .then_some("writes get no answer")
    }

    /// Acquires the lease and replaces the primary.
    async fn replace(&self, reason: &'static str) {
        sleep(self.gateway.jitter(START_JITTER)).await;
        // Another node may have replaced the primary while this one was cut off.
        find_leader(self.group.clone()).await;
        if self.replacement_reason().is_none() || Instant::now() < self.retry_at.get() {
            return;
        }
        if self.group.needs_record() {
            // Without it, the start of this process stands for all that left before.
            if let Ok(stored) = self.read_record_row().await {
                self.adopt(&stored);
            }
        }
        if self.group.latest_primary().is_none() {
            // A primary that was demoted looks like a replica to a node that started since.
            self.adopt_primary().await;
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
        // A node that was cut off knows the state from before: a server that started since may lead
        // or hold acknowledged commits, and the primary may be alive. Only the holder of the lease
        // reads the list of servers, which is large in a large fleet.
        let (refreshed, stored, (), relayed) = tokio::join!(
            self.discovery.refresh(),
            self.read_record_row(),
            self.recheck_servers(),
            self.find_relayed_primaries()
        );
        let stored = match refreshed.and(stored) {
            Ok(stored) => stored,
            Err(error) => {
                self.log_failure(&format!("cannot read the list of servers: {error}"));
                self.back_off();
                return;
            }
        };
        self.adopt(&stored);
        find_leader(self.group.clone()).await;
        if self.replacement_reason().is_none() {
            return;
        }
        let leader = self.group.leader_id();
        event!(
            Event::FailoverStarted,
            service = self.group.service.as_str(), server = leader.as_deref().unwrap_or("none"),
            fence = lease.token, written = lease.written, term = self.group.term.get(),
            stuck = self.group.unanswered_writes.get(),
            listed = self.group.targets.borrow().len(), unlisted = self.group.unlisted().len(),
            uptime = self.group.uptime().as_millis();
            "replacing the primary: {reason}"
        );
        let Some(chosen) = self.stop_servers(leader.as_ref(), &relayed).await else {
            self.log_failure("no server is certain to hold every acknowledged commit");
            sleep(RETRY_DELAY).await;
            return;
        };
        if self.group.term.get() > lease.term {
            // The lease row names an older term, so other nodes may write to the primary of this
            // one. The next attempt begins with the term that is known now.
            self.log_failure("a server has reached a term later than the one being replaced");
            return;
        }
        if self.order_promotion(&chosen, lease).await {
            self.group.record_promotion(&chosen.server);
            self.gateway.counters.promotions.add(1);
        } else {
            sleep(RETRY_DELAY).await;
        }
        if self.is_unsettled.get() {
            self.settle(false).await;
        }
    }

    /// Connects once more to the servers that did not answer. When a cut ends, a connect that began
    /// before still waits for its timeout, while other servers answer already.
    async fn recheck_servers(&self) {
        let targets: Vec<Rc<Target<D>>> = self.group.targets.borrow().values().cloned().collect();
        let failing = targets.into_iter().filter(|t| t.outage().is_some());
        let checks: Vec<_> = failing
            .map(|target| {
                let dialer = self.gateway.dialer.clone();
                tokio::task::spawn_local(async move {
                    let address = target.instance.borrow().address;
                    let reached = timeout(RECHECK_TIMEOUT, dialer.reaches(address)).await;
                    if reached.unwrap_or(false) {
                        target.record_success();
                    }
                })
            })
            .collect();
        for check in checks {
            // A check that panicked leaves the server as it was.
            let _ = check.await;
        }
    }

    /// Returns whether enough servers are reachable from this node to choose a successor. Pausing
    /// servers without one would only stop commits on a primary that other nodes may still reach.
    async fn is_feasible(&self) -> bool {
        let latest = self.group.latest_primary();
        let leader = latest.or_else(|| self.group.leader_id());
        let targets = self.group.existing_targets();
        let deadline = Instant::now() + REACHABILITY_TIMEOUT;
        let probe = |target: Rc<Target<D>>| {
            let (is_primary, address) = {
                let instance = target.instance.borrow();
                (leader.as_ref() == Some(&instance.id), instance.address)
            };
            let task =
                tokio::task::spawn_local(async move { target.is_responsive(deadline).await });
            (is_primary, address, task)
        };
        let probes: Vec<_> = targets.into_iter().map(probe).collect();
        let mut reporting = self.reach_unlisted(deadline).await;
        let mut silent = Vec::new();
        let mut primary = None;
        for (is_primary, address, task) in probes {
            if is_primary {
                primary = Some(task);
            } else if task.await.unwrap_or(false) {
                reporting.push(address);
            } else {
                // A task that was cancelled or panicked counts as a server that did not respond.
                silent.push(address);
            }
        }
        // A server that restarted under a new id has the log that was at its address.
        silent.retain(|address| !reporting.contains(address));
        let unresponsive = silent.len() + self.group.departed(&reporting).missing;
        if unresponsive < self.group.sync_replicas.get().max(1) {
            return true;
        }
        match primary {
            Some(task) => task.await.unwrap_or(false),
            None => false,
        }
    }

    /// Returns the addresses of the servers without an entry that reply, and forgets those that
    /// cannot be reached.
    async fn reach_unlisted(&self, deadline: Instant) -> Vec<SocketAddr> {
        let check = |target: Rc<Target<D>>| {
            tokio::task::spawn_local(async move {
                let responds = target.is_responsive(deadline).await;
                (target, responds)
            })
        };
        let checks: Vec<_> = self.group.unlisted().into_iter().map(check).collect();
        let mut reporting = Vec::new();
        for check in checks {
            // A task that was cancelled or panicked counts as a server that did not respond.
            let Ok((target, responds)) = check.await else {
                continue;
            };
            let (id, address) = {
                let instance = target.instance.borrow();
                (instance.id.clone(), instance.address)
            };
            if responds {
                reporting.push(address);
            } else if target.outage().is_some() || target.is_retired() {
                self.group.forget_unlisted(&id);
            }
        }
        reporting
    }

    /// Delays the next attempt to start a failover. The delay grows with each consecutive failure,
    /// since every call to the platform's store is charged.
    fn back_off(&self) {
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        let delay = RETRY_DELAY.saturating_mul(failures).min(RETRY_DELAY_MAX);
        self.retry_at
            .set(Instant::now() + self.gateway.jitter(delay));
    }

    /// Orders the promotion of the server, repeating the order until it is answered. Returns
    /// whether it was accepted.
    ///
    /// The order is recorded in the lease row before it is sent. If it gets no answer, it may be
    /// carried out while a later holder replaces the primary; the later holder then orders the same
    /// server, so that the group does not change from one successor to another.
    async fn order_promotion(&self, order: &PendingOrder, first: Lease) -> bool {
        let mut lease = first;
        let mut is_recorded = false;
        for _ in 0..MAX_ORDER_ATTEMPTS {
            if !is_recorded || BootInstant::now() >= lease.until {
                self.is_unsettled.set(true);
                let Some(renewed) = self.record_order(lease, order).await else {
                    return false;
                };
                // The renewal itself may outlast the lease while the table service is slow.
                if BootInstant::now() >= renewed.until {
                    self.log_failure("the lease ended while it was renewed; no order was sent");
                    return false;
                }
                lease = renewed;
                is_recorded = true;
            }
            let service = &self.group.service;
            let node = &self.gateway.node;
            let server = &order.server;
            let sent_at = Instant::now();
            let outcome = self
                .orders
                .promote(service, server, node, lease.token)
                .await;
            event!(
                Event::PromotionAnswered,
                service = service.as_str(), server = server.as_str(), fence = lease.token,
                written = lease.written, term = self.group.term.get(), outcome:? = outcome,
                took = sent_at.elapsed().as_millis(), uptime = self.group.uptime().as_millis();
                "the platform was ordered to promote the server"
            );
            match outcome {
                OrderOutcome::Accepted => {
                    // Earlier orders are refused from now on, since their tokens are lower.
                    *self.unanswered.borrow_mut() = None;
                    self.is_unfinished.set(false);
                    return true;
                }
                OrderOutcome::Refused => {
                    self.log_failure(
                        "promotion refused: a newer fencing token was seen, or the server is not running",
                    );
                    return false;
                }
                OrderOutcome::NotDone => sleep(RETRY_DELAY).await,
                OrderOutcome::Unanswered => {
                    *self.unanswered.borrow_mut() = Some(UnansweredOrder::new(order.clone()));
                    self.is_unfinished.set(false);
                    self.log_failure(
                        "the promotion got no answer; repeating it under a higher fencing token",
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

/// Finds the primary by asking all usable servers. This is how a node that cannot read the
/// platform's store learns of a new primary.
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
            Ok(_) => {
                leased.return_to_pool();
                return;
            }
            Err(AttemptError::Rejected(_)) => leased.return_to_pool(),
            // The statements that use this server log the reason.
            Err(_) => {}
        }
    }
}
