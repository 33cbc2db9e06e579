//! Replacement of a primary.
//!
//! One node at a time does it, under a row of the platform's table that is written only if it is
//! unchanged. Its fencing token rises with every attempt, so that an order that is carried out
//! late is refused once a newer one was seen. Servers that were stopped are never set going again
//! by any other means than a promotion: until one is carried out no commit can be acknowledged,
//! so an earlier order that is still under way loses nothing.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{
    Batch, CommitOutcome, Condition, NodeId, Platform, Role, RowWrite, ServerId, ServiceId, Term,
};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    BootInstant, Dialer, Gateway, GroupStatus, Line, Report, Step,
    attempt::{self, AttemptError, Gate, Work},
    choose_successor,
    group::Group,
    target::Target,
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
/// A holder acts at most this long after it wrote the duty's row.
const ACT_WITHIN: Duration = Duration::from_millis(1200);
/// The duty passes on when its row is this old: two holders may not act within three seconds,
/// counted from the last possible act, and calls may be under way.
const TAKEOVER: Duration = Duration::from_millis(4500);
/// Longest wait for one server's answer to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(1000);
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
/// Priority of control statements: before all callers.
const FIRST: u8 = 0;

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

/// The row that says who replaces a primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Duty {
    holder: SmolStr,
    /// Which process of the holder: a restarted one knows nothing of orders under way.
    #[serde(default)]
    process: u64,
    token: u64,
    /// The table service's clock when the row was written, in milliseconds.
    #[serde(default)]
    written: u64,
}

/// The duty's row as read.
struct Held {
    version: u64,
    duty: Duty,
    /// The table service's clock.
    now: u64,
}

impl Held {
    /// Whether a process may take the duty over: it is its own, or too old for its holder to act.
    fn is_free_for(&self, process: u64) -> bool {
        let age = Duration::from_millis(self.now.saturating_sub(self.duty.written));
        self.duty.token == 0 || self.duty.process == process || age >= TAKEOVER
    }
}

/// Permission to act, until its row could pass on.
#[derive(Clone, Copy)]
struct Permit {
    token: u64,
    until: BootInstant,
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

    fn key(&self) -> SmolStr {
        format_smolstr!("failover/{}", self.group.service)
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
        if silent < self.group.sync.get().max(1) {
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

    /// Becomes the only node that may replace the primary, unless another one holds the duty.
    async fn take_duty(&self) -> Option<Permit> {
        let held = self.read_duty().await?;
        if held.is_free_for(self.gateway.process) {
            return self.claim(&held, held.duty.token + 1).await;
        }
        None
    }

    async fn read_duty(&self) -> Option<Held> {
        let (row, now) = match self.platform.get_at(&self.key()).await {
            Ok(found) => found,
            Err(error) => {
                self.failed(&error.to_string());
                return None;
            }
        };
        let now = now.unwrap_or_default();
        let Some(row) = row else {
            let duty = Duty::default();
            return Some(Held {
                version: 0,
                duty,
                now,
            });
        };
        match serde_json::from_value(row.value) {
            Ok(duty) => {
                let version = row.version;
                Some(Held { version, duty, now })
            }
            Err(error) => {
                self.failed(&format!("the duty's row cannot be read: {error}"));
                None
            }
        }
    }

    /// Writes the duty's row if it is unchanged.
    async fn claim(&self, held: &Held, token: u64) -> Option<Permit> {
        let until = BootInstant::now().after(ACT_WITHIN);
        let duty = Duty {
            holder: self.gateway.node.clone(),
            process: self.gateway.process,
            token,
            written: held.now,
        };
        let value = serde_json::to_value(&duty).ok()?;
        let key = self.key();
        let batch = Batch {
            conditions: vec![Condition {
                key: key.clone(),
                version: held.version,
            }],
            writes: vec![RowWrite {
                key,
                value: Some(value),
            }],
        };
        match self.platform.commit(batch).await {
            Ok(CommitOutcome::Applied) => Some(Permit { token, until }),
            Ok(CommitOutcome::Conflict { .. }) => None,
            Err(error) => {
                // After a lost answer the row may be ours: the next attempt reads it and takes a
                // higher token.
                self.failed(&error.to_string());
                None
            }
        }
    }

    /// Takes a higher token while the duty is still held.
    async fn renew(&self, permit: Permit) -> Option<Permit> {
        let held = self.read_duty().await?;
        let own = held.duty.process == self.gateway.process && held.duty.token == permit.token;
        if !own {
            return None;
        }
        self.claim(&held, permit.token + 1).await
    }

    /// Stops replicas from receiving and the primary from leading, and chooses a successor from
    /// their answers.
    async fn stop_servers(&self, leader: Option<&ServerId>) -> Option<ServerId> {
        let term = self.group.term.get() + 1;
        let targets: Vec<Rc<Target<D>>> = self.group.targets.borrow().values().cloned().collect();
        let deadline = Instant::now() + ORDER_LIMIT;
        let count = targets.len();
        let mut asked = Vec::new();
        for target in targets {
            let id = target.instance.borrow().id.clone();
            let draining = target.is_draining();
            let group = self.group.clone();
            let gateway = self.gateway.clone();
            let task = tokio::task::spawn_local(async move {
                stop_server(&gateway, &group, &target, term, deadline).await
            });
            asked.push((id, draining, task));
        }
        // A primary that does not answer would cost the whole limit; mostly its word is not needed.
        asked.sort_by_key(|(id, ..)| Some(id) == leader);
        let departed = self.group.departed();
        let sync = self.group.sync.get();
        let mut stopped = Vec::new();
        let mut chosen = None;
        for (server, draining, mut task) in asked {
            if chosen.is_some() {
                task.abort();
                stopped.push((server, draining, None));
                continue;
            }
            // A task that ended without an answer counts as a server without an answer.
            let answer = (&mut task).await.ok().flatten();
            stopped.push((server, draining, answer));
            if stopped.len() + 1 >= count {
                chosen = choose_successor(&reports(&stopped, leader, count), sync, departed);
            }
        }
        let reports = reports(&stopped, leader, count);
        for report in &reports {
            let (end, held) = report
                .status
                .map_or((None, 0), |status| (Some(status.received), status.held));
            event!(
                Event::FailoverOrdered,
                service = self.group.service.as_str(), server = report.server.as_str(),
                former = report.former, draining = report.draining, held = held, term = term,
                departed = departed.missing,
                chosen = (chosen.as_ref() == Some(&report.server));
                "the server's log ends at {end:?}"
            );
        }
        chosen
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

/// A server that was stopped.
struct Stopped {
    status: GroupStatus,
    /// The term in which it led until then; `None` for a replica.
    led: Option<Term>,
}

/// Returns the primary that is replaced: the server that led in the highest term, or the one
/// held to lead when none of those that answered did.
fn former_primary(
    stopped: &[(ServerId, bool, Option<Stopped>)],
    leader: Option<&ServerId>,
) -> Option<ServerId> {
    let led = |(server, _, stopped): &(ServerId, bool, Option<Stopped>)| {
        let term = stopped.as_ref()?.led?;
        Some((term, server.clone()))
    };
    let found = stopped.iter().filter_map(led).max();
    found.map(|(_, server)| server).or_else(|| leader.cloned())
}

/// Returns what is known of each server. Without the answer of the server held to lead, `count`
/// servers are still counted.
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

/// Stops one server from receiving or leading, under a term above the newest one that it knows.
async fn stop_server<D: Dialer>(
    gateway: &Gateway<D>,
    group: &Group<D>,
    target: &Target<D>,
    first: Term,
    deadline: Instant,
) -> Option<Stopped> {
    let mut term = first;
    let mut led = None;
    while Instant::now() < deadline {
        let step = match led {
            Some(_) => Step::Demote(term),
            None => Step::Pause(term),
        };
        let Some(status) = control(gateway, group, target, &step, deadline).await else {
            term = term.max(group.term.get() + 1);
            sleep(PROBE / 4).await;
            continue;
        };
        group.term.set(group.term.get().max(status.term));
        let newer = term > status.term;
        match status.role {
            // A pause has no effect on a primary; neither has a term that is too low.
            Role::Primary => led = Some(status.term),
            Role::Replica if led.is_some() || (newer && status.held >= term) => {
                return Some(Stopped { status, led });
            }
            Role::Replica => {}
        }
        term = term.max(status.term + 1).max(group.term.get() + 1);
    }
    None
}

/// Sends one control command and returns the state that the server reports.
async fn control<D: Dialer>(
    gateway: &Gateway<D>,
    group: &Group<D>,
    target: &Target<D>,
    step: &Step<'_>,
    deadline: Instant,
) -> Option<GroupStatus> {
    let mut leased = target
        .acquire(&BTreeMap::new(), FIRST, deadline)
        .await
        .ok()?;
    let pooled = leased.pooled()?;
    pooled.line.push(step);
    let replies = pooled.line.outstanding();
    let exchange = async {
        pooled.line.flush().await?;
        for _ in 1..replies {
            pooled.line.next().await?;
        }
        pooled.line.next().await
    };
    let reply = timeout_at(deadline, exchange).await.ok()?.ok()?;
    leased.keep();
    if let Some(point) = reply.point {
        group.observed(point);
    }
    gateway.dialer.status(&reply)
}
