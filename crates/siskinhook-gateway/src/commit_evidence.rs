//! Evidence that a commit is on a replica that a replacement of the primary asks.
//!
//! A primary acknowledges a commit once any replica received it, also one whose entry no node has
//! read: it joined or returned while the platform's store was down, or its entry lapsed before this
//! process started. No process can rule out such a server from what it saw. Therefore a commit is
//! acknowledged to its caller only when enough replicas that every later replacement asks are known to
//! hold it: listed ones, and those without an entry that were confirmed in the record of the group's
//! servers (`members.rs`).
//!
//! A replacement pauses the replicas and reads their logs once. One that restarted or started since is
//! not paused, so its log counts only if its process has certainly been running since before any
//! replacement that may be pending (`write_permit.rs`).

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use siskinhook_telemetry::{Event, event};
use siskinhook_types::{LogPoint, Role, ServerId};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    BootInstant, Dialer, ServerOp,
    attempt::{Check, Statement, prepare},
    group::Group,
    members::CONFIRMATION_LIFETIME,
    pool::{CONTROL_PRIORITY, Leased, Target},
};

/// Time limit of the question to one replica; many times the network latency between zones.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which nodes in contact with the platform's store may still take a server for listed after
/// its entry is gone; longer than the silence that the feed of the servers' table allows.
pub const LISTING_LIFETIME: Duration = Duration::from_secs(10);
/// Time for which a write waits for a replica that failed before; several times the network latency
/// between zones.
const PROBE_WAIT: Duration = Duration::from_millis(40);
/// Time for which a write waits until the log of a replica that answers counts as evidence; many
/// times the usual latency of a reading of the lease row.
const ADMISSION_WAIT: Duration = Duration::from_millis(200);
/// Interval at which such a write looks for the replica.
const PROBE_INTERVAL: Duration = Duration::from_millis(8);
/// Time after which the next replica is asked beside one that has not answered; a few times the usual
/// latency of a statement.
const NEXT_WITNESS_DELAY: Duration = Duration::from_millis(30);
/// Time for which a commit waits for evidence before the lease row is read again for replicas whose
/// logs do not count yet; a few times the usual latency of a statement.
const ADMISSION_DELAY: Duration = Duration::from_millis(40);
/// Interval at which a commit that waits looks at the replies to reads.
const RECHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Step by which the time adapts after which replicas are asked for the log that they applied.
const DELAY_STEP: Duration = Duration::from_millis(2);
/// Maximum of that time. Commits of replicas that apply later are shown by the log that they received.
const MAX_APPLY_DELAY: Duration = Duration::from_millis(24);
/// Delay before the replicas are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// The servers that a commit rests on beside its primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// Listed replicas alone.
    Listed,
    /// Also servers without an entry that are confirmed in the record.
    Confirmed,
}

/// What a replica is asked about its log.
#[derive(Clone, Copy)]
enum Question {
    /// The end of the log that reads see.
    Applied,
    /// The end of the log that it received, which takes a slot of the server.
    Received,
}

impl Question {
    /// Returns the request that asks a server itself.
    const fn op(self) -> ServerOp<'static> {
        match self {
            // Outside a transaction the server refuses it, and reports the end of its log.
            Self::Applied => ServerOp::Rollback,
            Self::Received => ServerOp::Status,
        }
    }

    /// Returns the request that asks a node which relays to a server.
    const fn relayed_op(self) -> ServerOp<'static> {
        ServerOp::Witness {
            received: matches!(self, Self::Received),
        }
    }
}

/// The questions to a group's replicas about commits.
pub struct CommitEvidence {
    /// The servers that showed the latest commit; `None` if it was not acknowledged for want of them.
    latest: Cell<Option<Basis>>,
    /// Time after a commit at which the replicas have usually applied it.
    apply_delay: Cell<Duration>,
    /// Whether the replicas are being asked. Concurrent commits share the answers.
    asking: Cell<bool>,
    /// Whether replicas are being asked whether their logs count as evidence.
    probing: Cell<bool>,
    /// Wakes commits that wait for an answer.
    answered: Notify,
    /// When the latest commit that listed replicas hold was sent to the primary.
    shown: Cell<Option<BootInstant>>,
    /// Wakes the task that confirms servers without an entry.
    requested: Notify,
    /// When the record of the group's servers was last read with a server without an entry in it.
    confirmed: RefCell<IndexMap<ServerId, Instant>>,
}

impl Default for CommitEvidence {
    fn default() -> Self {
        Self {
            latest: Cell::new(Some(Basis::Listed)),
            apply_delay: Cell::default(),
            asking: Cell::default(),
            probing: Cell::default(),
            answered: Notify::default(),
            shown: Cell::default(),
            requested: Notify::default(),
            confirmed: RefCell::default(),
        }
    }
}

impl CommitEvidence {
    /// Waits until a commit may rest on a server without an entry.
    pub async fn wait_requested(&self) {
        self.requested.notified().await;
    }

    /// Records that the record of the group's servers held a server when it was read at `at`.
    pub fn record_confirmation(&self, server: ServerId, at: Instant) {
        let mut confirmed = self.confirmed.borrow_mut();
        confirmed.retain(|_, known| known.elapsed() < CONFIRMATION_LIFETIME);
        confirmed.insert(server, at);
    }

    /// Whether every later replacement asks this server although it has no entry.
    fn is_confirmed(&self, server: &ServerId) -> bool {
        let confirmed = self.confirmed.borrow();
        let at = confirmed.get(server);
        at.is_some_and(|at| at.elapsed() < CONFIRMATION_LIFETIME)
    }

    /// Records that listed replicas hold all that the primary acknowledged before `sent_at`.
    fn record_shown(&self, sent_at: BootInstant) {
        self.shown.set(self.shown.get().max(Some(sent_at)));
    }

    /// Whether a commit that was sent at `since` or later is on listed replicas, and with it all
    /// earlier ones.
    pub fn covers(&self, since: BootInstant) -> bool {
        self.shown.get().is_some_and(|shown| shown >= since)
    }
}

/// A round of questions; the next one may begin when it is dropped.
struct Round<'a>(&'a CommitEvidence);

impl Drop for Round<'_> {
    fn drop(&mut self) {
        self.0.asking.set(false);
        self.0.answered.notify_waiters();
    }
}

/// A commit that a primary acknowledged.
pub struct Commit<'a, D: Dialer> {
    pub primary: &'a Target<D>,
    /// Time when the request was sent to the primary.
    pub sent_at: BootInstant,
    /// End of the primary's log in its reply.
    pub point: LogPoint,
}

/// Whether at least `needed` logs, which end at `ends`, hold the commit at `point`. A log that ends
/// in a later term may lack it, because the promotion between them rolls commits back.
#[must_use]
pub fn is_held(point: LogPoint, needed: usize, ends: impl IntoIterator<Item = LogPoint>) -> bool {
    let holds = |end: &LogPoint| end.term == point.term && end.position >= point.position;
    ends.into_iter().filter(holds).count() >= needed
}

impl<D: Dialer> Group<D> {
    /// Whether enough replicas are reached that a commit of `primary` could be acknowledged. Replicas
    /// that failed are tried once more.
    pub(crate) async fn reaches_witnesses(
        self: &Rc<Self>,
        primary: &Target<D>,
        deadline: Instant,
    ) -> bool {
        if self.has_witnesses(primary) {
            return true;
        }
        for target in self.replicas() {
            if target.is_probe_due() {
                spawn_local(async move { target.probe().await });
            }
        }
        // Servers without an entry are looked up only if the listed ones cannot suffice: the answer of a
        // listed one that is reached is under way, and every reading of the record is charged.
        if self.reached_replicas(primary).len() < self.sync_replicas.get() {
            self.evidence.requested.notify_one();
        }
        let wait = if self.ask_uncertain(primary) {
            ADMISSION_WAIT
        } else {
            PROBE_WAIT
        };
        let limit = deadline.min(Instant::now() + wait);
        while Instant::now() < limit {
            sleep(PROBE_INTERVAL).await;
            if self.has_witnesses(primary) {
                return true;
            }
            self.ask_uncertain(primary);
        }
        self.hold_unwitnessed(primary);
        false
    }

    /// Asks the replicas that are reached, but whose logs did not count as evidence so far. Returns
    /// whether there are any.
    fn ask_uncertain(self: &Rc<Self>, primary: &Target<D>) -> bool {
        let mut uncertain = self.reached_replicas(primary);
        uncertain.retain(|target| !self.is_witness(target));
        if uncertain.is_empty() {
            return false;
        }
        if let Some(admission) = &self.admission {
            admission.await_witness();
        }
        if !self.evidence.probing.replace(true) {
            let group = self.clone();
            spawn_local(async move {
                group.learn_term().await;
                for target in uncertain {
                    group.ask(&target, Question::Applied).await;
                }
                group.evidence.probing.set(false);
            });
        }
        true
    }

    /// Whether the log of a server counts as evidence, as far as is known. It always does if no node
    /// replaces primaries.
    fn is_witness(&self, target: &Target<D>) -> bool {
        self.admission.is_none() || target.is_witness()
    }

    /// Returns the servers that are reached and could show a commit of `primary`.
    fn reached_replicas(&self, primary: &Target<D>) -> Vec<Rc<Target<D>>> {
        let address = primary.instance.borrow().address;
        let mut reached = self.replicas();
        reached.extend(self.unlisted());
        reached.retain(|target| {
            target.outage().is_none() && target.instance.borrow().address != address
        });
        reached
    }

    /// Whether too few replicas are reached whose logs count as evidence.
    pub(crate) fn lacks_witnesses(&self) -> bool {
        let primary = self.leader();
        primary.is_none_or(|primary| !self.has_witnesses(&primary))
    }

    fn has_witnesses(&self, primary: &Target<D>) -> bool {
        let mut witnesses = self.reached_replicas(primary);
        witnesses.retain(|target| self.is_witness(target));
        witnesses.len() >= self.sync_replicas.get()
    }

    /// Waits until enough replicas hold a commit that the primary acknowledged. Returns whether they
    /// do before the deadline.
    pub(crate) async fn is_replicated(
        self: &Rc<Self>,
        commit: &Commit<'_, D>,
        deadline: Instant,
    ) -> bool {
        self.record_primary(commit.primary, commit.sent_at, commit.point);
        let basis = self.find_evidence(commit, deadline).await;
        let replicated = basis.is_some();
        if replicated {
            self.record_commit(commit);
            self.unanswered_writes.set(0);
        } else {
            self.counters().withheld.add(1);
            // A replica that a former replacement paused receives nothing before the next one.
            if self.replicas().iter().any(|replica| replica.is_paused()) {
                self.record_unanswered_write();
            }
        }
        if self.evidence.latest.replace(basis) != basis {
            let replicas = self.replicas();
            event!(
                Event::EvidenceChanged,
                service = self.service.as_str(), acknowledged = replicated, basis:? = basis,
                term = commit.point.term, position = commit.point.position,
                replicas = replicas.len(),
                reached = replicas.iter().filter(|t| t.outage().is_none()).count(),
                unlisted = self.unlisted().len(), uptime = self.uptime().as_millis();
                "the servers that show commits have changed"
            );
        }
        replicated
    }

    async fn find_evidence(
        self: &Rc<Self>,
        commit: &Commit<'_, D>,
        deadline: Instant,
    ) -> Option<Basis> {
        let primary = commit.primary.instance.borrow().address;
        let check_at = Instant::now() + ADMISSION_DELAY;
        loop {
            let answered = self.evidence.answered.notified();
            if let Some(basis) = self.basis(primary, commit.point) {
                if basis == Basis::Listed {
                    self.evidence.record_shown(commit.sent_at);
                }
                return Some(basis);
            }
            if Instant::now() >= deadline {
                return None;
            }
            if let Some(admission) = self
                .admission
                .as_ref()
                .filter(|_| Instant::now() >= check_at)
            {
                admission.await_witness();
            }
            if !self.evidence.asking.replace(true) {
                let (group, point) = (self.clone(), commit.point);
                spawn_local(async move { group.ask_witnesses(primary, point).await });
            }
            // The replies to reads show the logs of the replicas as well.
            let limit = deadline.min(Instant::now() + RECHECK_INTERVAL);
            let _ = timeout_at(limit, answered).await;
        }
    }

    /// Asks the replicas for the ends of their logs until they show a commit of the server at
    /// `primary`. The end of the applied log is asked for first, since that takes no slot of the
    /// server; a replica that applies late shows the commit in the log that it received.
    async fn ask_witnesses(self: Rc<Self>, primary: SocketAddr, point: LogPoint) {
        let _round = Round(&self.evidence);
        let is_shown = || self.basis(primary, point).is_some();
        let delay = self.evidence.apply_delay.get();
        sleep(delay).await;
        if !is_shown() {
            self.ask_all(primary, point, Question::Applied).await;
            let next = if is_shown() {
                delay.saturating_sub(DELAY_STEP / 8)
            } else {
                delay.saturating_add(DELAY_STEP)
            };
            self.evidence.apply_delay.set(next.min(MAX_APPLY_DELAY));
        }
        if !is_shown() {
            self.ask_all(primary, point, Question::Received).await;
        }
        if !is_shown() {
            self.evidence.requested.notify_one();
            sleep(RETRY_DELAY).await;
        }
    }

    /// Asks the replicas one after the other, until they show a commit. One that takes long does not
    /// delay the question to the next.
    async fn ask_all(self: &Rc<Self>, primary: SocketAddr, point: LogPoint, question: Question) {
        for witness in self.witnesses(primary) {
            let group = self.clone();
            let asked = spawn_local(async move {
                group.ask(&witness, question).await;
                group.evidence.answered.notify_waiters();
            });
            // On a timeout the question goes on beside the next one.
            let _ = timeout(NEXT_WITNESS_DELAY, asked).await;
            if self.basis(primary, point).is_some() {
                return;
            }
        }
    }

    /// Asks the primary for the end of its log, and the replicas whether they hold it. In a group
    /// without commits nothing else shows that the listed replicas hold all of them.
    pub(crate) async fn refresh_evidence(self: &Rc<Self>) {
        let Some(primary) = self.leader() else {
            return;
        };
        let (values, deadline) = (BTreeMap::new(), Instant::now() + REPLICA_TIMEOUT);
        let Ok(mut leased) = primary.acquire(&values, CONTROL_PRIORITY, deadline).await else {
            return;
        };
        let sent_at = BootInstant::now();
        let statement = Statement::empty(&values);
        let check = Check::IsPrimary;
        let Ok(Some(point)) = prepare(self, &mut leased, &statement, check, deadline).await else {
            return;
        };
        leased.return_to_pool();
        let address = primary.instance.borrow().address;
        self.ask_all(address, point, Question::Received).await;
        if self.basis(address, point) == Some(Basis::Listed) {
            self.evidence.record_shown(sent_at);
        }
    }

    /// Returns the servers whose logs count as evidence for commits of the server at `primary`, those
    /// that answer soonest first, and the listed ones before those without an entry. Those whose logs
    /// did not count when they last answered come later.
    fn witnesses(&self, primary: SocketAddr) -> Vec<Rc<Target<D>>> {
        let mut witnesses = self.listed_witnesses(primary);
        witnesses.sort_by(|a, b| {
            let latency = a.expected_latency().total_cmp(&b.expected_latency());
            let is_failing = |target: &Target<D>| target.outage().is_some();
            let is_doubted = |target: &Target<D>| !self.is_witness(target);
            is_failing(a)
                .cmp(&is_failing(b))
                .then(is_doubted(a).cmp(&is_doubted(b)))
                .then(latency)
        });
        witnesses.extend(self.confirmed_witnesses(primary));
        witnesses
    }

    /// The log of the primary, or of the server that follows it at its address, is the one copy that
    /// a replacement can do without.
    fn listed_witnesses(&self, primary: SocketAddr) -> Vec<Rc<Target<D>>> {
        let mut replicas = self.replicas();
        replicas.retain(|target| target.instance.borrow().address != primary);
        replicas
    }

    /// Returns the servers without an entry that every later replacement asks.
    fn confirmed_witnesses(&self, primary: SocketAddr) -> Vec<Rc<Target<D>>> {
        let mut unlisted = self.unlisted();
        unlisted.retain(|target| {
            let instance = target.instance.borrow();
            instance.address != primary && self.evidence.is_confirmed(&instance.id)
        });
        unlisted
    }

    /// Returns on which replicas a commit of the server at `primary` rests, if enough are known to
    /// hold it.
    fn basis(&self, primary: SocketAddr, point: LogPoint) -> Option<Basis> {
        let needed = self.sync_replicas.get();
        let listed = self.listed_witnesses(primary).into_iter();
        let mut ends: Vec<LogPoint> = listed.map(|target| target.received()).collect();
        if is_held(point, needed, ends.iter().copied()) {
            return Some(Basis::Listed);
        }
        let confirmed = self.confirmed_witnesses(primary).into_iter();
        ends.extend(confirmed.map(|target| target.received()));
        is_held(point, needed, ends).then_some(Basis::Confirmed)
    }

    /// Asks a replica for the end of its log.
    async fn ask(&self, replica: &Target<D>, question: Question) {
        let limit = Instant::now() + REPLICA_TIMEOUT;
        self.counters().confirmations.add(1);
        let (direct, relayed) = (question.op(), question.relayed_op());
        let choose = |leased: &Leased<D>| {
            if self.needs_relay(leased) {
                &relayed
            } else {
                &direct
            }
        };
        let Some((reply, leased, sent_at)) = replica.exchange(choose, limit).await else {
            return;
        };
        let end = match question {
            Question::Applied => reply.point,
            Question::Received => {
                let status = self.dialer.status(&reply);
                let status = status.filter(|status| status.role == Role::Replica);
                replica.set_paused(status.is_some_and(|status| status.paused_term > 0));
                status.map(|status| status.received)
            }
        };
        if end.is_some() {
            replica.record_answer();
        }
        if self.needs_relay(&leased) {
            replica.set_witness(end.is_some());
            end.inspect(|end| replica.record_received(*end));
        } else if let Some(end) = end {
            self.record_log(&leased, replica, sent_at, end);
        }
        leased.return_to_pool();
    }

    /// Whether the relaying node has to tell whether a server's log counts as evidence.
    fn needs_relay(&self, leased: &Leased<D>) -> bool {
        self.admission.is_some() && !leased.is_direct()
    }

    /// Records the end of the log that a replica reported when it was asked at `sent_at`, if it counts
    /// as evidence of commits.
    pub(crate) fn record_log(
        &self,
        leased: &Leased<D>,
        replica: &Target<D>,
        sent_at: Instant,
        end: LogPoint,
    ) {
        if self.admits_witness(leased, sent_at, end.term) {
            replica.record_received(end);
        }
    }
}
