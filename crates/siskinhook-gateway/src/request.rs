//! Execution of one statement: choice of a server, retries, and the answer to the caller.

use std::{rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{LogPoint, ServerId};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::{
    Answer, BootInstant, Consistency, Dialer, Gateway, Refusal, Route, ServerReply, TargetCode,
    TransactionState,
    attempt::{self, AttemptError, Check, Statement},
    commit_evidence::Commit,
    group::Group,
    pool::{AcquireError, Leased, Target},
};

/// Maximum wait for a change of the group before the primary is looked up again; a promotion takes
/// some hundred milliseconds.
const PRIMARY_RECHECK: Duration = Duration::from_millis(40);
/// Base of the exponential backoff after a server refused a statement because of load; the time of
/// a few statements. The backoff doubles with each attempt, so that a lasting overload does not get
/// more requests.
const BUSY_DELAY: Duration = Duration::from_millis(8);
/// Maximum of the backoff.
const BUSY_DELAY_MAX: Duration = Duration::from_millis(100);
/// Share of the remaining time that the first attempt of a read may use before another server is
/// tried.
const FIRST_ATTEMPT_SHARE: f64 = 0.4;

/// Text of the answer to a commit that only the primary and servers without an entry may hold.
const NOT_REPLICATED: &str =
    "no replica that a replacement would ask shows that it received the commit";
/// Text of the refusal of a write whose commit could not be acknowledged.
const NO_WITNESS: &str = "no replica is reached that could show the commit";

/// How fresh the data must be that a statement reads.
#[derive(Clone, Copy, Debug)]
pub struct ReadBounds {
    /// Arrival of the statement, or start of its transaction.
    pub started_at: BootInstant,
    /// End of the log after the session's last write, if the statement must see it.
    pub last_commit: Option<LogPoint>,
}

/// A statement with everything that decides where it runs.
pub struct Request<'a, D: Dialer> {
    pub gateway: &'a Rc<Gateway<D>>,
    pub route: &'a Route,
    pub group: &'a Rc<Group<D>>,
    pub statement: Statement<'a>,
    pub arrived: Instant,
    pub deadline: Instant,
    pub bounds: ReadBounds,
}

/// Server, check and log position for the next attempt.
struct Plan<D: Dialer> {
    target: Rc<Target<D>>,
    check: Check,
    after: Option<LogPoint>,
}

/// Progress of a statement's attempts.
#[derive(Default)]
struct AttemptHistory {
    tried: Vec<ServerId>,
    attempts: u32,
    /// Whether the statement may have run in an attempt.
    may_have_run: bool,
    last_failure: &'static str,
}

impl AttemptHistory {
    /// Excludes the server until all others were tried.
    fn skip(&mut self, id: ServerId) {
        if !self.tried.contains(&id) {
            self.tried.push(id);
        }
    }
}

type Outcome<D> = (Answer, Option<Leased<D>>);

impl<D: Dialer> Request<'_, D> {
    /// Runs a read outside a transaction.
    pub async fn read(self) -> Outcome<D> {
        let mut history = AttemptHistory::default();
        loop {
            let Some(plan) = self.plan_read(&mut history) else {
                if let Some(answer) = self.wait_for_change(&mut history).await {
                    return (answer, None);
                }
                continue;
            };
            match self.attempt(&plan, &mut history).await {
                Ok((reply, leased)) => {
                    leased.return_to_pool();
                    if reply.result.is_ok() || self.is_final(&reply) {
                        return (self.answer(reply), None);
                    }
                }
                Err(Some(answer)) => return (answer, None),
                Err(None) => {}
            }
        }
    }

    /// Runs a write outside a transaction.
    pub async fn write(self) -> Outcome<D> {
        let mut history = AttemptHistory::default();
        loop {
            let Some(target) = self.group.leader() else {
                if let Some(answer) = self.wait_for_change(&mut history).await {
                    return (answer, None);
                }
                continue;
            };
            let plan = Plan {
                target,
                check: Check::None,
                after: None,
            };
            let sent_at = BootInstant::now();
            match self.attempt(&plan, &mut history).await {
                Ok((reply, leased)) => {
                    leased.return_to_pool();
                    match &reply.result {
                        Err((code, _)) if code.not_run() => {}
                        result => {
                            if let (Ok(_), Some(point)) = (result, reply.point) {
                                let commit = Commit {
                                    primary: &plan.target,
                                    sent_at,
                                    point,
                                };
                                if !self.group.is_replicated(&commit, self.deadline).await {
                                    return (self.unknown(NOT_REPLICATED), None);
                                }
                            }
                            return (self.answer(reply), None);
                        }
                    }
                }
                Err(Some(answer)) => return (answer, None),
                Err(None) => {}
            }
        }
    }

    /// Opens a transaction and runs its first statement.
    pub async fn open_transaction(self, read_only: bool) -> Outcome<D> {
        let any_server = read_only && self.route.consistency != Consistency::Strong;
        let mut history = AttemptHistory::default();
        loop {
            let plan = if any_server {
                self.plan_read(&mut history).map(|plan| Plan {
                    check: match plan.check {
                        Check::IsPrimary => Check::Begin {
                            read_only: false,
                            after: None,
                        },
                        _ => Check::Begin {
                            read_only: true,
                            after: plan.after,
                        },
                    },
                    after: None,
                    ..plan
                })
            } else {
                self.group.leader().map(|target| Plan {
                    target,
                    check: Check::Begin {
                        read_only: false,
                        after: None,
                    },
                    after: None,
                })
            };
            let Some(plan) = plan else {
                if let Some(answer) = self.wait_for_change(&mut history).await {
                    return (answer, None);
                }
                continue;
            };
            match self.attempt(&plan, &mut history).await {
                Ok((reply, leased)) => match &reply.result {
                    Err((code, _)) if code.not_run() => {
                        attempt::release(leased, TransactionState::Open).await;
                    }
                    _ => return (self.answer(reply), Some(leased)),
                },
                Err(Some(answer)) => return (answer, None),
                Err(None) => {}
            }
        }
    }

    /// Runs a further statement of a transaction.
    pub async fn run_inside(self, mut leased: Leased<D>) -> Outcome<D> {
        let result = match self.prepare(&mut leased, Check::None, self.deadline).await {
            Ok(()) => self.admit(&leased).await,
            Err(error) => Err(error),
        };
        let result = match result {
            Ok(()) => self.run_while_busy(&mut leased, None, self.deadline).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(reply) => (self.answer(reply), Some(leased)),
            Err(error) => {
                self.report_failure(&leased, &error);
                let text = match error {
                    AttemptError::Unwitnessed => NO_WITNESS,
                    _ => "the connection of the transaction was lost; it is rolled back",
                };
                (
                    self.refuse(Refusal::Aborted, text, &AttemptHistory::default()),
                    None,
                )
            }
        }
    }

    /// Commits a transaction.
    pub async fn commit(self, mut leased: Leased<D>) -> Outcome<D> {
        if self.statement.writes
            && let Some(primary) = leased.target()
            && !self.group.reaches_witnesses(primary, self.deadline).await
        {
            self.report_failure(&leased, &AttemptError::Unwitnessed);
            let history = AttemptHistory::default();
            return (self.refuse(Refusal::Aborted, NO_WITNESS, &history), None);
        }
        let sent_at = BootInstant::now();
        let error = match self.run_while_busy(&mut leased, None, self.deadline).await {
            Ok(reply) => {
                if let (Ok(_), Some(point), Some(target), true) = (
                    &reply.result,
                    reply.point,
                    leased.target(),
                    self.statement.writes,
                ) {
                    let primary = target;
                    let commit = Commit {
                        primary,
                        sent_at,
                        point,
                    };
                    if !self.group.is_replicated(&commit, self.deadline).await {
                        return (self.unknown(NOT_REPLICATED), None);
                    }
                }
                let may_have_committed = matches!(&reply.result, Err((code, _)) if !code.not_run());
                if may_have_committed && !self.statement.writes {
                    let text = "the commit failed; the transaction wrote nothing";
                    return (
                        self.refuse(Refusal::Aborted, text, &AttemptHistory::default()),
                        None,
                    );
                }
                return (self.answer(reply), Some(leased));
            }
            Err(error) => error,
        };
        self.report_failure(&leased, &error);
        let sent = matches!(error, AttemptError::Lost(_) | AttemptError::Deadline(true));
        if sent && self.statement.writes {
            let text = "the answer to the commit was lost";
            return (self.unknown(text), None);
        }
        let text = "the connection of the transaction was lost; it is rolled back";
        (
            self.refuse(Refusal::Aborted, text, &AttemptHistory::default()),
            None,
        )
    }

    /// Chooses a server for a read, with the check or the log position that makes it fresh enough.
    fn plan_read(&self, history: &mut AttemptHistory) -> Option<Plan<D>> {
        let at_primary = |check| {
            let target = self.group.leader()?;
            Some(Plan {
                target,
                check,
                after: None,
            })
        };
        if self.route.consistency == Consistency::Strong {
            return at_primary(Check::IsPrimary);
        }
        let Some(watermark) = self.group.watermarks.borrow().oldest_since(self.since()) else {
            return at_primary(Check::IsPrimary);
        };
        let after = self
            .bounds
            .last_commit
            .map_or(watermark.point, |point| point.max(watermark.point));
        if let Some(target) = self.group.choose_reader(&self.gateway.zone, &history.tried) {
            Some(Plan {
                target,
                check: Check::None,
                after: Some(after),
            })
        } else {
            history.tried.clear();
            at_primary(Check::IsPrimary)
        }
    }

    /// Runs one attempt. An error with an answer is final; `Err(None)` allows another attempt.
    async fn attempt(
        &self,
        plan: &Plan<D>,
        history: &mut AttemptHistory,
    ) -> Result<(ServerReply, Leased<D>), Option<Answer>> {
        if history.attempts > 0 {
            self.gateway.counters.retries.add(1);
        }
        history.attempts += 1;
        let id = plan.target.instance.borrow().id.clone();
        let mut leased = self.acquire(plan, history, &id).await?;
        if let Err(error) = self.admit(&leased).await {
            return Err(self.handle_held_write(leased, &error, history).await);
        }
        if let Err(error) = self.prepare(&mut leased, plan.check, self.deadline).await {
            return Err(self
                .handle_prepare_error(plan, leased, &error, history, id)
                .await);
        }
        let limit = self.attempt_limit(history);
        match self.run_while_busy(&mut leased, plan.after, limit).await {
            Ok(reply) if matches!(reply.result, Err((TargetCode::Unreachable, _))) => {
                Err(self.handle_blocked_relay(plan, leased, history, id).await)
            }
            Ok(reply) => {
                self.record_reply(plan, &reply, history, id).await;
                Ok((reply, leased))
            }
            Err(error) => Err(self.handle_run_error(&leased, &error, history, id)),
        }
    }

    /// Holds back a write whose commit could be lost with the primary, or that could not be
    /// acknowledged.
    async fn admit(&self, leased: &Leased<D>) -> Result<(), AttemptError> {
        if !self.statement.writes {
            return Ok(());
        }
        if let Some(primary) = leased.target()
            && !self.group.reaches_witnesses(primary, self.deadline).await
        {
            return Err(AttemptError::Unwitnessed);
        }
        if !self.group.admits_write(leased, self.deadline).await {
            return Err(AttemptError::Replaceable);
        }
        Ok(())
    }

    async fn acquire(
        &self,
        plan: &Plan<D>,
        history: &mut AttemptHistory,
        id: &ServerId,
    ) -> Result<Leased<D>, Option<Answer>> {
        let priority = self.route.priority;
        let acquired = plan
            .target
            .acquire(self.statement.values, priority, self.deadline);
        let acquired = tokio::select! {
            biased;
            () = self.cut_off_from(&plan.target) => {
                history.last_failure = "this node is cut off from the zone of the server";
                // A read may find a server in this zone.
                if plan.after.is_some() && !history.tried.contains(id) {
                    history.skip(id.clone());
                    return Err(None);
                }
                return Err(Some(self.give_up(history)));
            }
            acquired = acquired => acquired,
        };
        match acquired {
            Ok(leased) => Ok(leased),
            Err(AcquireError::Deadline) => {
                history.last_failure = "no connection to the server was free in time";
                Err(Some(self.give_up(history)))
            }
            Err(error) => {
                history.last_failure = "the server could not be reached";
                self.group.failover_wakeup.notify_one();
                // If no other server is left, the next attempt would fail immediately as well.
                let no_alternative = plan.after.is_none() || history.tried.contains(id);
                history.skip(id.clone());
                if error == AcquireError::Gone || no_alternative {
                    return Err(self.wait_for_change(history).await);
                }
                Err(None)
            }
        }
    }

    /// Waits until this node is cut off from the server's zone; waits forever for a server in the
    /// same zone.
    async fn cut_off_from(&self, target: &Target<D>) {
        let same_zone = target.instance.borrow().zone == self.gateway.zone;
        if same_zone
            || self
                .gateway
                .isolation()
                .wait_for(|cut_off| *cut_off)
                .await
                .is_err()
        {
            std::future::pending::<()>().await;
        }
    }

    async fn prepare(
        &self,
        leased: &mut Leased<D>,
        check: Check,
        deadline: Instant,
    ) -> Result<(), AttemptError> {
        let prepared = attempt::prepare(self.group, leased, &self.statement, check, deadline);
        if !check.claims_primary() || self.group.leadership.is_none() {
            prepared.await?;
            return Ok(());
        }
        let since = self.since();
        let (claim, ()) = tokio::join!(prepared, self.group.confirm_leader(since, deadline));
        match claim? {
            Some(point) if !self.group.is_confirmed(point.term, since) => {
                Err(AttemptError::Unconfirmed(point.term))
            }
            _ => Ok(()),
        }
    }

    /// Returns the time of the oldest data that the statement may read.
    fn since(&self) -> BootInstant {
        match self.route.consistency {
            Consistency::Strong => self.bounds.started_at,
            _ => self.bounds.started_at.minus(self.route.staleness),
        }
    }

    /// Runs the statement. If the server refuses it because of load and the transaction stays open,
    /// the statement is repeated on the same connection instead of rolling back.
    async fn run_while_busy(
        &self,
        leased: &mut Leased<D>,
        after: Option<LogPoint>,
        limit: Instant,
    ) -> Result<ServerReply, AttemptError> {
        let mut refusals = 0;
        loop {
            let reply = attempt::run(self.group, leased, &self.statement, after, limit).await?;
            let busy = matches!(&reply.result, Err((TargetCode::Busy, _)));
            refusals += 1;
            let retry = Instant::now() + self.busy_delay(refusals);
            if !busy || reply.state != TransactionState::Open || retry >= limit {
                return Ok(reply);
            }
            sleep_until(retry).await;
        }
    }

    /// Handles a failed set-up or check of a connection; the statement was not sent.
    async fn handle_prepare_error(
        &self,
        plan: &Plan<D>,
        leased: Leased<D>,
        error: &AttemptError,
        history: &mut AttemptHistory,
        id: ServerId,
    ) -> Option<Answer> {
        match error {
            AttemptError::Rejected(TargetCode::ReadOnly) => {
                history.last_failure = "the server does not lead";
                self.group.record_denial(&plan.target);
                // No transaction is open, since the server refused to open one.
                leased.return_to_pool();
                self.wait_for_change(history).await
            }
            AttemptError::Rejected(TargetCode::Unreachable) => {
                self.handle_blocked_relay(plan, leased, history, id).await
            }
            AttemptError::Rejected(TargetCode::Lagging) => {
                history.last_failure = "the server's data is not fresh enough";
                self.gateway.counters.lagging.add(1);
                plan.target.mark_lagging();
                leased.return_to_pool();
                history.skip(id);
                None
            }
            AttemptError::Rejected(TargetCode::Busy) => {
                history.last_failure = "the server is overloaded";
                // A new connection would occupy a slot of the server for longer than the statement.
                leased.return_to_pool();
                history.skip(id);
                self.delay_attempt(history, self.busy_delay(history.attempts))
                    .await
            }
            AttemptError::Unconfirmed(term) => {
                self.report_failure(&leased, error);
                history.last_failure = "no replica confirms that the server leads";
                let state = match plan.check {
                    Check::Begin { .. } => TransactionState::Open,
                    _ => TransactionState::Idle,
                };
                attempt::release(leased, state).await;
                self.group.check_superseded(&plan.target, *term);
                // Only another zone can tell whether the primary was replaced.
                if self.gateway.is_cut_off() {
                    return Some(self.give_up(history));
                }
                self.wait_for_change(history).await
            }
            AttemptError::Deadline(_) => {
                self.report_failure(&leased, error);
                history.last_failure = "the server did not answer in time";
                Some(self.give_up(history))
            }
            _ => {
                self.report_failure(&leased, error);
                history.last_failure = "the connection to the server broke";
                drop(leased);
                history.skip(id);
                self.delay_attempt(history, self.busy_delay(history.attempts))
                    .await
            }
        }
    }

    /// Handles a write that was held back. It waits for the next primary, or for a replica.
    async fn handle_held_write(
        &self,
        leased: Leased<D>,
        error: &AttemptError,
        history: &mut AttemptHistory,
    ) -> Option<Answer> {
        self.report_failure(&leased, error);
        history.last_failure = match error {
            AttemptError::Unwitnessed => NO_WITNESS,
            _ => "the primary may be about to be replaced",
        };
        leased.return_to_pool();
        self.wait_for_change(history).await
    }

    /// Handles a relay that cannot reach the server: the next attempt uses another relay or a
    /// direct connection, if there is one.
    async fn handle_blocked_relay(
        &self,
        plan: &Plan<D>,
        leased: Leased<D>,
        history: &mut AttemptHistory,
        id: ServerId,
    ) -> Option<Answer> {
        history.last_failure = "the server could not be reached";
        if leased.block_relay() {
            return None;
        }
        plan.target.record_failure();
        history.skip(id);
        self.wait_for_change(history).await
    }

    /// Updates the group and the history from a server's reply.
    async fn record_reply(
        &self,
        plan: &Plan<D>,
        reply: &ServerReply,
        history: &mut AttemptHistory,
        id: ServerId,
    ) {
        if let Some(point) = reply.point {
            self.group.record_position(point);
        }
        let Err((code, _)) = &reply.result else {
            return;
        };
        match code {
            TargetCode::Lagging => {
                history.last_failure = "the server's data is not fresh enough";
                self.gateway.counters.lagging.add(1);
                plan.target.mark_lagging();
            }
            TargetCode::ReadOnly => {
                history.last_failure = "the server does not lead";
                self.group.record_denial(&plan.target);
                // The caller's loop checks the deadline before the next attempt.
                let _ = timeout(PRIMARY_RECHECK, self.group.topology_changed.notified()).await;
            }
            TargetCode::Busy => {
                history.last_failure = "the server is overloaded";
                sleep(self.busy_delay(history.attempts)).await;
            }
            _ => {
                history.last_failure = "the server failed";
                history.may_have_run = true;
            }
        }
        history.skip(id);
    }

    /// Handles an attempt that failed without a reply.
    fn handle_run_error(
        &self,
        leased: &Leased<D>,
        error: &AttemptError,
        history: &mut AttemptHistory,
        id: ServerId,
    ) -> Option<Answer> {
        self.report_failure(leased, error);
        history.may_have_run |=
            matches!(error, AttemptError::Lost(_) | AttemptError::Deadline(true));
        let writes = self.statement.writes;
        match error {
            AttemptError::Deadline(_) if Instant::now() >= self.deadline => {
                if writes {
                    self.group.record_unanswered_write();
                }
                let text = "the server did not answer within the time limit";
                Some(self.timed_out(text, history))
            }
            AttemptError::NotSent(_) | AttemptError::Rejected(_) => {
                history.skip(id);
                None
            }
            _ if writes => Some(self.unknown("the connection broke before the answer came")),
            _ => {
                history.skip(id);
                None
            }
        }
    }

    /// Whether an error is returned to the caller instead of being retried.
    fn is_final(&self, reply: &ServerReply) -> bool {
        let other = matches!(&reply.result, Err((TargetCode::Other, _)));
        other || Instant::now() >= self.deadline
    }

    /// Returns the time limit of an attempt. The first attempt of a read leaves time for another
    /// server.
    fn attempt_limit(&self, history: &AttemptHistory) -> Instant {
        if self.statement.writes || history.attempts > 1 || self.statement.text == b"COMMIT" {
            return self.deadline;
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        Instant::now() + left.mul_f64(FIRST_ATTEMPT_SHARE)
    }

    /// Waits for a change of the group. Returns the final answer if the deadline has passed.
    async fn wait_for_change(&self, history: &mut AttemptHistory) -> Option<Answer> {
        self.group.failover_wakeup.notify_one();
        // A node that is cut off does not learn of a new primary in another zone; a node there may
        // serve the caller in time.
        if self.gateway.is_cut_off() && !self.group.has_primary_in(&self.gateway.zone) {
            return Some(self.give_up(history));
        }
        let until = self.deadline.min(Instant::now() + PRIMARY_RECHECK);
        // On a timeout the primary is looked up again as well.
        let _ = timeout_at(until, self.group.topology_changed.notified()).await;
        (Instant::now() >= self.deadline).then(|| self.give_up(history))
    }

    /// Returns the backoff after a refusal because of load: exponential, with jitter.
    fn busy_delay(&self, refusals: u32) -> Duration {
        let delay = BUSY_DELAY.saturating_mul(1 << refusals.min(6));
        self.gateway.jitter(delay.min(BUSY_DELAY_MAX))
    }

    async fn delay_attempt(&self, history: &mut AttemptHistory, delay: Duration) -> Option<Answer> {
        sleep(delay).await;
        (Instant::now() >= self.deadline).then(|| self.give_up(history))
    }

    /// Logs a failed attempt, and wakes the failover controller if the connection broke.
    fn report_failure(&self, leased: &Leased<D>, error: &AttemptError) {
        if let Some(target) = leased.target() {
            let server = target.instance.borrow().id.clone();
            event!(
                Event::AttemptFailed,
                request = self.statement.id, server = server.as_str(), term = self.group.term.get();
                "an attempt failed: {error}"
            );
        }
        if matches!(error, AttemptError::Lost(_) | AttemptError::NotSent(_)) {
            self.group.failover_wakeup.notify_one();
        }
    }

    /// Converts a server's reply to the caller's answer.
    fn answer(&self, reply: ServerReply) -> Answer {
        let result = match reply.result {
            Ok(signature) => Ok(Some(signature)),
            Err((code, text)) => {
                let refusal = match code {
                    TargetCode::Busy | TargetCode::Unreachable => Refusal::Busy,
                    TargetCode::Lagging => Refusal::Lagging,
                    TargetCode::ReadOnly => Refusal::ReadOnly,
                    TargetCode::TooMany | TargetCode::Misrouted => Refusal::TooMany,
                    TargetCode::NoStatement => Refusal::NoStatement,
                    TargetCode::Timeout => Refusal::Timeout,
                    TargetCode::Failed | TargetCode::Other => Refusal::Failed,
                };
                event!(
                    Event::StatementRefused,
                    request = self.statement.id, database = self.route.database.as_str(),
                    answer:? = refusal, state:? = reply.state, waited = self.waited();
                    "returning the server's error to the caller: {}", text.escape_ascii()
                );
                Err((refusal, text))
            }
        };
        Answer {
            rows: reply.rows,
            result,
            state: reply.state,
            point: reply.point,
        }
    }

    fn waited(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the answer to a statement that ran out of time. If it certainly did not run, the
    /// refusal guarantees so.
    fn give_up(&self, history: &AttemptHistory) -> Answer {
        if history.may_have_run {
            return self.timed_out(history.last_failure, history);
        }
        self.refuse(Refusal::Busy, history.last_failure, history)
    }

    fn timed_out(&self, text: &'static str, history: &AttemptHistory) -> Answer {
        self.gateway.counters.unknown.add(1);
        self.log_refusal(Refusal::Timeout, text, history);
        Answer::refused(Refusal::Timeout, text, TransactionState::Idle)
    }

    fn unknown(&self, text: &'static str) -> Answer {
        self.gateway.counters.unknown.add(1);
        self.log_refusal(Refusal::Unknown, text, &AttemptHistory::default());
        Answer::refused(Refusal::Unknown, text, TransactionState::Idle)
    }

    fn refuse(&self, refusal: Refusal, text: &'static str, history: &AttemptHistory) -> Answer {
        self.gateway.counters.refused.add(1);
        self.log_refusal(refusal, text, history);
        Answer::refused(refusal, text, TransactionState::Idle)
    }

    fn log_refusal(&self, refusal: Refusal, text: &str, history: &AttemptHistory) {
        let leader = self.group.leader_id();
        event!(
            Event::StatementRefused,
            request = self.statement.id, database = self.route.database.as_str(),
            service = self.group.service.as_str(), leader = leader.as_deref().unwrap_or("none"),
            term = self.group.term.get(), attempts = history.attempts, answer:? = refusal,
            version = self.gateway.version(), waited = self.waited();
            "{text}"
        );
    }
}
