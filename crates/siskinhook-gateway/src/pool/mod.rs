//! Connection pool of one server, with the server's health and expected latency.

mod contact;
mod leased;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::{Rc, Weak},
    time::Duration,
};

use bytes::Bytes;
pub use contact::Contact;
pub use leased::{Leased, Pooled};
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{LogPoint, NodeId, Term};
use tokio::{
    sync::{Notify, oneshot},
    task::spawn_local,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    Connection, ConnectionError, Counters, Dialer, Instance, ServerOp, ServerReply, TargetCode,
    fleet::{Fleet, Path, Peer},
};

/// Delay before the next dial after the server refused a connection because of its connection limit
/// or its load; grows with each refusal. Other nodes return their connections within the time of a
/// statement.
const CAP_RETRY_DELAY: Duration = Duration::from_millis(30);
/// Maximum of the delay that starts at `CAP_RETRY_DELAY`. A server keeps the connections of a lost
/// VM for some seconds.
const CAP_RETRY_DELAY_MAX: Duration = Duration::from_millis(150);
/// Connections to one server that are opened concurrently. Opening one occupies a slot of the
/// server for longer than most statements do.
const MAX_DIALS: usize = 1;
/// Time for which a node that has a connection to a server opens no more after the server reached
/// its limit.
const CAP_COOLDOWN: Duration = Duration::from_millis(500);
/// Minimum time between two dials to an unreachable server.
const REDIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a replica that lagged has a higher expected latency, so that it is chosen last;
/// longer than the usual replication lag.
const LAG_PENALTY: Duration = Duration::from_millis(60);
/// Connections to relaying nodes that are opened concurrently; they take no slot of the server.
const MAX_RELAY_DIALS: usize = 4;
/// Relaying nodes to try before the server itself. The holders of a server are in its zone, so each
/// further attempt would delay the replacement of the primary if the zone is cut off.
const MAX_RELAYS_TRIED: usize = 2;
/// Idle time after which a connection to a relaying node is closed.
const RELAY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the request that confirms that a server is reachable through a relay.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);
/// Queue priority of control requests, ahead of all callers.
pub const CONTROL_PRIORITY: u8 = 0;
/// Idle time after which a direct connection is closed, unless it is the last one.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without an answer after which an entry whose server never answered this node is taken for
/// one without a server; longer than outages of a path.
const FIRST_ANSWER_LIMIT: Duration = Duration::from_secs(15);
/// Weight of a new measurement in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Assumed latency of a statement before the first measurement.
const INITIAL_LATENCY_MILLIS: f64 = 8.0;

/// Reason why no connection could be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// The deadline passed.
    Deadline,
    /// The server is unreachable.
    Unreachable,
    /// The server was removed, or its address belongs to another server.
    Gone,
}

struct Waiter<D: Dialer> {
    priority: u8,
    grant: oneshot::Sender<Result<Leased<D>, AcquireError>>,
}

struct Pool<D: Dialer> {
    idle: Vec<Pooled<D::Connection>>,
    waiters: VecDeque<Waiter<D>>,
    /// Number of open connections, including those being opened.
    open: usize,
    dialing: usize,
    /// Until when no further connection is opened because the server reached its limit.
    capped_until: Option<Instant>,
    /// Consecutive dials that the server refused because of its connection limit or its load.
    refusals: u32,
}

/// Recent reachability of the server.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    /// Time of the first failure since the last success.
    failing_since: Option<Instant>,
    failures: u32,
    last_dial: Option<Instant>,
}

/// A server and the node's connections to it.
pub struct Target<D: Dialer> {
    pub instance: RefCell<Instance>,
    pool: RefCell<Pool<D>>,
    health: Cell<Health>,
    /// Time for which the server's process has been running without interruption.
    contact: RefCell<Contact>,
    /// Latest term in which the server was seen to lead; 0 if it was not.
    led_term: Cell<Term>,
    /// End of the log that the server is known to have received as a replica.
    received: Cell<LogPoint>,
    /// Whether the server's log counts as evidence of commits, as of its latest answer.
    witness: Cell<bool>,
    /// Whether the server last reported that it is paused.
    paused: Cell<bool>,
    /// Whether the server ever answered this node.
    answered: Cell<bool>,
    /// Whether the server's entry was renewed since this node first read it.
    renewed: Cell<bool>,
    /// When the server was reachable again after its last outage.
    recovered_at: Cell<Option<Instant>>,
    lagging_until: Cell<Option<Instant>>,
    /// Moving average of the statement latency, in milliseconds.
    mean_latency: Cell<f64>,
    retired: Cell<bool>,
    /// Whether this node holds connections of its own, cached with the fleet version.
    holder: Cell<(u64, bool)>,
    dialer: Rc<D>,
    fleet: Rc<Fleet>,
    counters: Rc<Counters>,
    /// Maximum number of connections that the server accepts from all nodes together.
    max_connections: Cell<usize>,
    /// Wakes the failover controller of the group when the server is unreachable.
    failover_wakeup: Rc<Notify>,
    /// Time when the server last denied being the primary.
    pub last_denial: Cell<Option<Instant>>,
    me: Weak<Self>,
}

impl<D: Dialer> Target<D> {
    pub fn new(
        instance: Instance,
        max_connections: usize,
        dialer: Rc<D>,
        fleet: Rc<Fleet>,
        counters: Rc<Counters>,
        failover_wakeup: Rc<Notify>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|me| Self {
            instance: RefCell::new(instance),
            pool: RefCell::new(Pool {
                idle: Vec::new(),
                waiters: VecDeque::new(),
                open: 0,
                dialing: 0,
                capped_until: None,
                refusals: 0,
            }),
            health: Cell::default(),
            contact: RefCell::default(),
            led_term: Cell::default(),
            received: Cell::default(),
            witness: Cell::new(false),
            paused: Cell::new(false),
            answered: Cell::new(false),
            renewed: Cell::new(false),
            recovered_at: Cell::default(),
            lagging_until: Cell::default(),
            mean_latency: Cell::new(INITIAL_LATENCY_MILLIS),
            retired: Cell::new(false),
            holder: Cell::new((0, true)),
            dialer,
            fleet,
            counters,
            max_connections: Cell::new(max_connections),
            failover_wakeup,
            last_denial: Cell::default(),
            me: me.clone(),
        })
    }

    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        self.holder.set((u64::MAX, true));
    }

    /// Returns the time since the first failure and the number of failures, or `None` if there was
    /// no failure since the last success.
    pub fn outage(&self) -> Option<(Duration, u32)> {
        let health = self.health.get();
        health
            .failing_since
            .map(|at| (at.elapsed(), health.failures))
    }

    /// Whether the server is reachable and has been for `duration`.
    pub fn is_stable(&self, duration: Duration) -> bool {
        let recovered_at = self.recovered_at.get();
        self.outage().is_none() && recovered_at.is_none_or(|at| at.elapsed() >= duration)
    }

    pub fn is_draining(&self) -> bool {
        self.instance.borrow().draining
    }

    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Whether this node has more than one open connection to the server.
    pub fn is_shared(&self) -> bool {
        let pool = self.pool.borrow();
        pool.open - pool.dialing > 1
    }

    /// Records that the server led `term`.
    pub fn record_led_term(&self, term: Term) {
        self.led_term.set(self.led_term.get().max(term));
    }

    /// Returns the latest term in which the server was seen to lead; 0 if it was not.
    pub fn led_term(&self) -> Term {
        self.led_term.get()
    }

    /// Records whether the server's log counts as evidence of commits.
    pub fn set_witness(&self, witness: bool) {
        self.witness.set(witness);
    }

    /// Whether the server's log counted as evidence of commits when it last answered.
    pub fn is_witness(&self) -> bool {
        self.witness.get()
    }

    /// Records the end of a log, which counts as evidence of commits, that the server has received as
    /// a replica.
    pub fn record_received(&self, end: LogPoint) {
        self.received.set(self.received.get().max(end));
    }

    /// Returns the end of the log that the server is known to have received as a replica.
    pub fn received(&self) -> LogPoint {
        self.received.get()
    }

    /// Records whether the server reported that it is paused.
    pub fn set_paused(&self, paused: bool) {
        self.paused.set(paused);
    }

    /// Whether the server last reported that it is paused.
    pub fn is_paused(&self) -> bool {
        self.paused.get()
    }

    /// Records that the server answered this node or another one.
    pub fn record_answer(&self) {
        self.answered.set(true);
    }

    /// Whether the server ever answered this node or another one.
    pub fn has_answered(&self) -> bool {
        self.answered.get()
    }

    /// Records that the server's entry states a later report than before.
    pub fn record_renewal(&self) {
        self.renewed.set(true);
    }

    /// Whether a replacement has to count on the server. An entry behind which nobody ever answered
    /// may be of another writer, and must not stop replacements for good. A server renews its entry,
    /// also one that only other nodes reach.
    pub fn may_exist(&self) -> bool {
        let unreached = self.outage().map_or(Duration::ZERO, |(time, _)| time);
        self.has_answered() || self.renewed.get() || unreached < FIRST_ANSWER_LIMIT
    }

    /// Continues the record of the same process, whose entry was gone for some time.
    pub fn resume(&self, former: &Self) {
        self.answered.set(former.answered.get());
        self.record_led_term(former.led_term());
    }

    /// Whether the server may receive new statements.
    pub fn is_usable(&self) -> bool {
        !self.retired.get() && !self.is_draining() && self.health.get().failing_since.is_none()
    }

    /// Returns the expected latency in milliseconds of a statement sent now.
    pub fn expected_latency(&self) -> f64 {
        let pool = self.pool.borrow();
        let busy = pool.open - pool.dialing - pool.idle.len() + pool.waiters.len();
        let lagging = self
            .lagging_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        #[allow(clippy::cast_precision_loss)] // a pool has a few connections
        let load = (busy + 1) as f64;
        self.mean_latency.get() * load * if lagging { 20.0 } else { 1.0 }
    }

    /// Adds the latency of an answered statement to the moving average.
    pub fn record_latency(&self, time: Duration) {
        let mean_latency = self.mean_latency.get();
        self.mean_latency
            .set(mean_latency + LATENCY_WEIGHT * (time.as_secs_f64() * 1000.0 - mean_latency));
    }

    /// Records that the replica had not reached a required log position.
    pub fn mark_lagging(&self) {
        self.lagging_until.set(Some(Instant::now() + LAG_PENALTY));
    }

    /// Removes the server from use. Waiting statements fail with `AcquireError::Gone` and go to
    /// another server.
    pub fn retire(&self) {
        self.retired.set(true);
        let mut pool = self.pool.borrow_mut();
        pool.open -= pool.idle.len();
        pool.idle.clear();
        fail_waiters(&mut pool, AcquireError::Gone);
    }

    /// Acquires a connection, waiting until `deadline`. Waiters with a lower priority number go
    /// first.
    pub async fn acquire(
        &self,
        values: &BTreeMap<Bytes, Bytes>,
        priority: u8,
        deadline: Instant,
    ) -> Result<Leased<D>, AcquireError> {
        if self.retired.get() {
            return Err(AcquireError::Gone);
        }
        if let Some(pooled) = self.pop_idle(values) {
            return Ok(self.lease(pooled));
        }
        let health = self.health.get();
        if health.failing_since.is_some()
            && health
                .last_dial
                .is_some_and(|at| at.elapsed() < REDIAL_INTERVAL)
        {
            return Err(AcquireError::Unreachable);
        }
        let (grant, granted) = oneshot::channel();
        {
            let mut pool = self.pool.borrow_mut();
            let index = pool
                .waiters
                .iter()
                .position(|waiter| waiter.priority > priority)
                .unwrap_or(pool.waiters.len());
            pool.waiters.insert(index, Waiter { priority, grant });
        }
        self.dial_if_needed();
        match timeout_at(deadline, granted).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(AcquireError::Gone),
            Err(_) => Err(AcquireError::Deadline),
        }
    }

    fn lease(&self, pooled: Pooled<D::Connection>) -> Leased<D> {
        Leased {
            target: self.me.upgrade(),
            pooled: Some(pooled),
            reusable: false,
        }
    }

    /// Removes an open connection from the idle list, preferably one with the same session values.
    fn pop_idle(&self, values: &BTreeMap<Bytes, Bytes>) -> Option<Pooled<D::Connection>> {
        let use_direct = self.uses_direct();
        let mut pool = self.pool.borrow_mut();
        while !pool.idle.is_empty() {
            let last = pool.idle.len() - 1;
            let index = pool.idle.iter().rposition(|p| p.values == *values);
            let mut pooled = pool.idle.swap_remove(index.unwrap_or(last));
            if (pooled.via.is_none() || !use_direct) && pooled.conn.is_open() {
                return Some(pooled);
            }
            pool.open -= 1;
        }
        None
    }

    /// Returns how this node reaches the server.
    fn path(&self) -> Path {
        let instance = self.instance.borrow();
        self.fleet
            .path(&instance.id, &instance.zone, self.max_connections.get())
    }

    /// Returns up to `count` other nodes that may reach the server.
    pub fn relays(&self, count: usize) -> Vec<Peer> {
        let instance = self.instance.borrow();
        self.fleet.relays(
            &instance.id,
            &instance.zone,
            self.max_connections.get(),
            count,
        )
    }

    /// Whether this node holds connections of its own to the server.
    pub fn is_holder(&self) -> bool {
        let version = self.fleet.version();
        let (known, holder) = self.holder.get();
        if known == version {
            return holder;
        }
        let instance = self.instance.borrow();
        let holder = self
            .fleet
            .is_holder(&instance.id, &instance.zone, self.max_connections.get());
        self.holder.set((version, holder));
        holder
    }

    /// Whether this node connects to the server directly: it is a holder and has not recently
    /// failed to reach the server.
    fn uses_direct(&self) -> bool {
        self.is_holder() && !self.fleet.is_direct_blocked(&self.instance.borrow().id)
    }

    /// Records that a relaying node cannot reach the server. Returns whether a direct connection or
    /// another relay is left to try.
    fn block(&self, node: &NodeId) -> bool {
        {
            let mut pool = self.pool.borrow_mut();
            let before = pool.idle.len();
            pool.idle.retain(|pooled| pooled.via.as_ref() != Some(node));
            pool.open -= before - pool.idle.len();
        }
        let id = self.instance.borrow().id.clone();
        event!(
            Event::RelayFailed, server = id.as_str(), node = node.as_str();
            "the relaying node cannot reach the server; trying another path"
        );
        self.fleet.block(&id, node);
        self.uses_direct() || matches!(self.path(), Path::ViaPeers(_))
    }

    fn dial_if_needed(&self) {
        let mut pool = self.pool.borrow_mut();
        if pool
            .capped_until
            .is_some_and(|until| Instant::now() >= until)
        {
            pool.capped_until = None;
        }
        let capped = pool.capped_until.is_some() && pool.open > 0;
        let use_direct = self.uses_direct();
        let is_needed = pool.waiters.len() > pool.dialing || (use_direct && pool.open == 0);
        let limit = if use_direct {
            MAX_DIALS
        } else {
            MAX_RELAY_DIALS
        };
        if !is_needed || pool.dialing >= limit || pool.open >= self.max_connections.get() || capped
        {
            return;
        }
        pool.open += 1;
        pool.dialing += 1;
        let mut health = self.health.get();
        health.last_dial = Some(Instant::now());
        self.health.set(health);
        let Some(me) = self.me.upgrade() else { return };
        spawn_local(async move { me.dial().await });
    }

    async fn dial(self: Rc<Self>) {
        let opened = self.open().await;
        self.pool.borrow_mut().dialing -= 1;
        match opened {
            Ok(pooled) => {
                if pooled.via.is_none() {
                    self.record_success();
                }
                self.pool.borrow_mut().refusals = 0;
                self.return_connection(pooled);
                self.dial_if_needed();
            }
            Err(error) => {
                self.pool.borrow_mut().open -= 1;
                self.dial_failed(&error).await;
            }
        }
    }

    /// Opens a connection, through a relaying node if the fleet has one that is reachable,
    /// otherwise directly.
    async fn open(&self) -> Result<Pooled<D::Connection>, ConnectionError> {
        let (service, id, address) = {
            let instance = self.instance.borrow();
            (
                instance.service.clone(),
                instance.id.clone(),
                instance.address,
            )
        };
        if let Path::ViaPeers(peers) = self.path() {
            for peer in peers.into_iter().take(MAX_RELAYS_TRIED) {
                match self.dialer.dial(&service, &id, peer.address).await {
                    Ok(conn) => return Ok(Pooled::new(conn, Some(peer.name))),
                    Err(error) => {
                        event!(
                            Event::RelayFailed, server = id.as_str(), node = peer.name.as_str();
                            "cannot connect to the relaying node; avoiding it for a while: {error}"
                        );
                        self.fleet.avoid(&peer.name);
                    }
                }
            }
        }
        self.counters.dials.add(1);
        let conn = self.dialer.dial(&service, &id, address).await?;
        Ok(Pooled::new(conn, None))
    }

    async fn dial_failed(&self, error: &ConnectionError) {
        let id = self.instance.borrow().id.clone();
        event!(Event::DialFailed, server = id.as_str(); "{error}");
        match error {
            ConnectionError::Refused(TargetCode::TooMany | TargetCode::Busy) => {
                self.record_success();
                let refusals = {
                    let mut pool = self.pool.borrow_mut();
                    pool.capped_until = Some(Instant::now() + CAP_COOLDOWN);
                    pool.refusals += 1;
                    pool.refusals
                };
                let delay = CAP_RETRY_DELAY
                    .saturating_mul(refusals)
                    .min(CAP_RETRY_DELAY_MAX);
                sleep(delay).await;
                self.dial_if_needed();
            }
            ConnectionError::Refused(TargetCode::Misrouted) => self.retire(),
            _ => {
                if self.is_holder() {
                    self.fleet.block_direct(&id);
                }
                self.record_failure();
                if matches!(self.path(), Path::ViaPeers(_)) {
                    self.dial_if_needed();
                    return;
                }
                let mut pool = self.pool.borrow_mut();
                if pool.open == pool.dialing {
                    fail_waiters(&mut pool, AcquireError::Unreachable);
                }
            }
        }
    }

    /// Dials the server if it is failing, to detect its recovery.
    pub async fn probe(&self) {
        let failing = self.health.get().failing_since.is_some();
        if !failing || self.retired.get() {
            return;
        }
        {
            let mut pool = self.pool.borrow_mut();
            pool.open += 1;
            pool.dialing += 1;
        }
        if let Some(me) = self.me.upgrade() {
            me.clone().dial().await;
            me.confirm_reachable().await;
        }
    }

    /// Whether the server is failing and no connection to it was tried within the last
    /// `REDIAL_INTERVAL`.
    pub fn is_probe_due(&self) -> bool {
        let health = self.health.get();
        let is_recent = health
            .last_dial
            .is_some_and(|at| at.elapsed() < REDIAL_INTERVAL);
        health.failing_since.is_some() && !is_recent
    }

    /// Sends a request if the server still counts as failing, since an open connection to a relay
    /// does not show that the server is reachable.
    async fn confirm_reachable(&self) {
        if self.health.get().failing_since.is_some()
            && self.is_responsive(Instant::now() + CONFIRM_TIMEOUT).await
        {
            self.record_success();
        }
    }

    /// Returns whether the server itself replies before the deadline.
    pub async fn is_responsive(&self, deadline: Instant) -> bool {
        self.log_end(deadline).await.is_some()
    }

    /// Asks the server for the end of its log. Returns `None` if the server itself does not reply
    /// before the deadline.
    pub async fn log_end(&self, deadline: Instant) -> Option<LogPoint> {
        // Outside a transaction the server refuses a rollback, and reports the end of its log. A
        // reply that a relay creates by itself has no log position.
        let reply = self.send_control(&ServerOp::Rollback, deadline).await?;
        if reply.point.is_some() {
            self.answered.set(true);
        }
        reply.point
    }

    /// Sends a control request, ahead of callers' statements. Returns `None` if there is no reply
    /// in time.
    pub async fn send_control(&self, op: &ServerOp<'_>, deadline: Instant) -> Option<ServerReply> {
        let (reply, leased, _) = self.exchange(|_| op, deadline).await?;
        leased.return_to_pool();
        Some(reply)
    }

    /// Sends the control request that `op` returns for the connection. Returns the reply, the
    /// connection and the time of sending.
    pub async fn exchange<'a>(
        &self,
        op: impl FnOnce(&Leased<D>) -> &'a ServerOp<'a>,
        deadline: Instant,
    ) -> Option<(ServerReply, Leased<D>, Instant)> {
        let mut leased = self
            .acquire(&BTreeMap::new(), CONTROL_PRIORITY, deadline)
            .await
            .ok()?;
        let op = op(&leased);
        let pooled = leased.pooled()?;
        pooled.conn.push(op);
        let replies = pooled.conn.outstanding();
        let sent_at = Instant::now();
        let exchange = async {
            pooled.conn.flush().await?;
            for _ in 1..replies {
                pooled.conn.next().await?;
            }
            pooled.conn.next().await
        };
        let reply = timeout_at(deadline, exchange).await.ok()?.ok()?;
        if matches!(reply.result, Err((TargetCode::Unreachable, _))) {
            leased.block_relay();
            return None;
        }
        leased.record_reply(sent_at);
        Some((reply, leased, sent_at))
    }

    /// Records that the server replied.
    pub fn record_success(&self) {
        self.answered.set(true);
        self.fleet.record_reply_from(&self.instance.borrow().zone);
        let mut health = self.health.get();
        if health.failing_since.take().is_some() {
            health.failures = 0;
            self.recovered_at.set(Some(Instant::now()));
            let id = self.instance.borrow().id.clone();
            event!(Event::TargetReached, server = id.as_str(); "the server is reachable again");
        }
        self.health.set(health);
    }

    /// Records that the server is unreachable or that a connection to it broke.
    pub fn record_failure(&self) {
        // It may restart, and then lacks the pause of a replacement that is pending.
        self.witness.set(false);
        let mut health = self.health.get();
        health.failures += 1;
        if health.failing_since.is_none() {
            health.failing_since = Some(Instant::now());
            let id = self.instance.borrow().id.clone();
            event!(Event::TargetUnreachable, server = id.as_str(); "the server is unreachable");
        }
        self.health.set(health);
        self.failover_wakeup.notify_one();
    }

    pub(super) fn return_connection(&self, mut pooled: Pooled<D::Connection>) {
        pooled.idle_since = Instant::now();
        if self.retired.get() {
            self.pool.borrow_mut().open -= 1;
            return;
        }
        let mut leased = self.lease(pooled);
        loop {
            let waiter = self.pool.borrow_mut().waiters.pop_front();
            let Some(waiter) = waiter else { break };
            // If the waiter gave up after the send, the lease is dropped and the connection closed.
            match waiter.grant.send(Ok(leased)) {
                Err(Ok(unused)) => leased = unused,
                _ => return,
            }
        }
        if let Some(pooled) = leased.pooled.take() {
            self.pool.borrow_mut().idle.push(pooled);
        }
    }

    pub(super) fn connection_closed(&self) {
        self.pool.borrow_mut().open -= 1;
        self.dial_if_needed();
    }

    /// Closes idle connections that expired or broke, but keeps one open.
    pub fn sweep(&self) {
        let use_direct = self.uses_direct();
        let mut pool = self.pool.borrow_mut();
        let before = pool.idle.len();
        let mut kept = 0;
        // The oldest connection is kept: it proves for how long the server's process has been running.
        pool.idle.sort_by_key(|pooled| pooled.opened_at);
        pool.idle.retain_mut(|pooled| {
            let direct = pooled.via.is_none();
            let limit = if direct {
                SPARE_IDLE_TIMEOUT
            } else {
                RELAY_IDLE_TIMEOUT
            };
            let fresh = kept == 0 || pooled.idle_since.elapsed() < limit;
            let keep = direct == use_direct && fresh && pooled.conn.is_open();
            kept += usize::from(keep);
            keep
        });
        let closed = before - pool.idle.len();
        pool.open -= closed;
        drop(pool);
        if self.is_usable() {
            self.dial_if_needed();
        }
    }
}

fn fail_waiters<D: Dialer>(pool: &mut Pool<D>, error: AcquireError) {
    for waiter in pool.waiters.drain(..) {
        // Sending fails if the waiter has given up, which needs no handling.
        let _ = waiter.grant.send(Err(error));
    }
}
