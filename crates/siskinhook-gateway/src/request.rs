//! One statement on its way to a server: choice, attempts, and what the caller is told.

use std::{rc::Rc, time::Duration};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{LogPoint, ServerId};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::{
    Answer, BootInstant, Consistency, Dialer, Gateway, Refusal, Route, ServerReply, TargetCode,
    TransactionState,
    attempt::{self, AttemptError, Gate, Work},
    group::Group,
    pool::{AcquireError, Leased, Target},
};

/// Longest wait for news of a primary before the next look; a promotion takes some hundred
/// milliseconds.
const NEWS: Duration = Duration::from_millis(40);
/// First pause after a server refused because of load; a few statements' time. It grows with
/// each attempt, so that an overloaded server is not asked more often the longer it takes.
const BUSY_PAUSE: Duration = Duration::from_millis(8);
/// Longest such pause.
const BUSY_PAUSE_LIMIT: Duration = Duration::from_millis(100);
/// Share of the statement's time after which a read is tried on another server.
const FIRST_TRY: f64 = 0.4;

/// What a statement may see.
#[derive(Clone, Copy, Debug)]
pub struct Rights {
    /// Arrival of the statement, or of the first one of its transaction.
    pub began: BootInstant,
    /// The session's own last commit, where it has to be seen.
    pub own: Option<LogPoint>,
}

/// A statement with all that decides where it runs.
pub struct Request<'a, D: Dialer> {
    pub gateway: &'a Rc<Gateway<D>>,
    pub route: &'a Route,
    pub group: &'a Group<D>,
    pub work: Work<'a>,
    pub arrived: Instant,
    pub deadline: Instant,
    pub rights: Rights,
}

/// Where and how to try a statement next.
struct Plan<D: Dialer> {
    target: Rc<Target<D>>,
    gate: Gate,
    after: Option<LogPoint>,
}

/// Course of a statement's attempts.
#[derive(Default)]
struct Course {
    tried: Vec<ServerId>,
    attempts: u32,
    /// Whether an attempt may have run.
    ran: bool,
    last: &'static str,
}

impl Course {
    /// Tries the server last from now on.
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
        let mut course = Course::default();
        loop {
            let Some(plan) = self.plan_read(&mut course) else {
                if let Some(answer) = self.wait_for_news(&mut course).await {
                    return (answer, None);
                }
                continue;
            };
            match self.attempt(&plan, &mut course).await {
                Ok((reply, leased)) => {
                    leased.keep();
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
        let mut course = Course::default();
        loop {
            let Some(target) = self.group.leader() else {
                if let Some(answer) = self.wait_for_news(&mut course).await {
                    return (answer, None);
                }
                continue;
            };
            let plan = Plan {
                target,
                gate: Gate::None,
                after: None,
            };
            let asked = BootInstant::now();
            match self.attempt(&plan, &mut course).await {
                Ok((reply, leased)) => {
                    leased.keep();
                    match &reply.result {
                        Err((code, _)) if code.not_run() => {}
                        result => {
                            if let (Ok(_), Some(point)) = (result, reply.point) {
                                self.group.stuck.set(0);
                                self.group.proved(&plan.target, asked, point);
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
    pub async fn open(self, read_only: bool) -> Outcome<D> {
        let anywhere = read_only && self.route.consistency != Consistency::Strong;
        let mut course = Course::default();
        loop {
            let plan = if anywhere {
                self.plan_read(&mut course).map(|plan| Plan {
                    gate: match plan.gate {
                        Gate::Leads => Gate::Begin {
                            read_only: false,
                            after: None,
                        },
                        _ => Gate::Begin {
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
                    gate: Gate::Begin {
                        read_only: false,
                        after: None,
                    },
                    after: None,
                })
            };
            let Some(plan) = plan else {
                if let Some(answer) = self.wait_for_news(&mut course).await {
                    return (answer, None);
                }
                continue;
            };
            match self.attempt(&plan, &mut course).await {
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
    pub async fn inside(self, mut leased: Leased<D>) -> Outcome<D> {
        let result = match self.prepare(&mut leased, Gate::None, self.deadline).await {
            Ok(()) => self.run_open(&mut leased, None, self.deadline).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(reply) => (self.answer(reply), Some(leased)),
            Err(error) => {
                self.blame(&leased, &error);
                let text = "the connection of the transaction was lost; it is rolled back";
                (
                    self.refuse(Refusal::Aborted, text, &Course::default()),
                    None,
                )
            }
        }
    }

    /// Commits a transaction.
    pub async fn commit(self, mut leased: Leased<D>) -> Outcome<D> {
        let asked = BootInstant::now();
        let error = match self.run_open(&mut leased, None, self.deadline).await {
            Ok(reply) => {
                if let (Ok(_), Some(point), Some(target), true) = (
                    &reply.result,
                    reply.point,
                    leased.target(),
                    self.work.writes,
                ) {
                    self.group.stuck.set(0);
                    self.group.proved(target, asked, point);
                }
                let unsure = matches!(&reply.result, Err((code, _)) if !code.not_run());
                if unsure && !self.work.writes {
                    let text = "the commit failed; the transaction wrote nothing";
                    return (
                        self.refuse(Refusal::Aborted, text, &Course::default()),
                        None,
                    );
                }
                return (self.answer(reply), Some(leased));
            }
            Err(error) => error,
        };
        self.blame(&leased, &error);
        let sent = matches!(error, AttemptError::Lost(_) | AttemptError::Deadline(true));
        if sent && self.work.writes {
            let text = "the answer to the commit was lost";
            return (self.unknown(text), None);
        }
        let text = "the connection of the transaction was lost; it is rolled back";
        (
            self.refuse(Refusal::Aborted, text, &Course::default()),
            None,
        )
    }

    /// Chooses a server for a read, and what it has to show.
    fn plan_read(&self, course: &mut Course) -> Option<Plan<D>> {
        let at_leader = |gate| {
            let target = self.group.leader()?;
            Some(Plan {
                target,
                gate,
                after: None,
            })
        };
        if self.route.consistency == Consistency::Strong {
            return at_leader(Gate::Leads);
        }
        let since = self.rights.began.before(self.route.staleness);
        let Some(mark) = self.group.marks.borrow().oldest_since(since) else {
            return at_leader(Gate::Leads);
        };
        let after = self
            .rights
            .own
            .map_or(mark.point, |own| own.max(mark.point));
        if let Some(target) = self.group.choose(&self.gateway.zone, &course.tried) {
            Some(Plan {
                target,
                gate: Gate::None,
                after: Some(after),
            })
        } else {
            course.tried.clear();
            at_leader(Gate::Leads)
        }
    }

    /// Tries the statement once. An error with an answer is final.
    async fn attempt(
        &self,
        plan: &Plan<D>,
        course: &mut Course,
    ) -> Result<(ServerReply, Leased<D>), Option<Answer>> {
        if course.attempts > 0 {
            self.gateway.counters.retries.add(1);
        }
        course.attempts += 1;
        let id = plan.target.instance.borrow().id.clone();
        let mut leased = self.acquire(plan, course, &id).await?;
        if let Err(error) = self.prepare(&mut leased, plan.gate, self.deadline).await {
            return Err(self.unprepared(plan, leased, &error, course, id).await);
        }
        let limit = self.attempt_limit(course);
        match self.run_open(&mut leased, plan.after, limit).await {
            Ok(reply) if matches!(reply.result, Err((TargetCode::Unreachable, _))) => {
                Err(self.blocked(plan, leased, course, id).await)
            }
            Ok(reply) => {
                self.learn(plan, &reply, course, id).await;
                Ok((reply, leased))
            }
            Err(error) => Err(self.failed(&leased, &error, course, id)),
        }
    }

    async fn acquire(
        &self,
        plan: &Plan<D>,
        course: &mut Course,
        id: &ServerId,
    ) -> Result<Leased<D>, Option<Answer>> {
        let priority = self.route.priority;
        let acquired = plan
            .target
            .acquire(self.work.values, priority, self.deadline);
        let acquired = tokio::select! {
            biased;
            () = self.cut_off_from(&plan.target) => {
                course.last = "this node is cut off from the zone of the server";
                // A read may find a server in this zone.
                if plan.after.is_some() && !course.tried.contains(id) {
                    course.skip(id.clone());
                    return Err(None);
                }
                return Err(Some(self.give_up(course)));
            }
            acquired = acquired => acquired,
        };
        match acquired {
            Ok(leased) => Ok(leased),
            Err(AcquireError::Deadline) => {
                course.last = "no connection to the server was free in time";
                Err(Some(self.give_up(course)))
            }
            Err(error) => {
                course.last = "the server could not be reached";
                self.group.trouble.notify_one();
                // Without another server to choose, the next attempt would fail at once as well.
                let alone = plan.after.is_none() || course.tried.contains(id);
                course.skip(id.clone());
                if error == AcquireError::Gone || alone {
                    return Err(self.wait_for_news(course).await);
                }
                Err(None)
            }
        }
    }

    /// Waits until this node is cut off from the zone of a server.
    async fn cut_off_from(&self, target: &Target<D>) {
        let near = target.instance.borrow().zone == self.gateway.zone;
        if near || self.gateway.isolation().wait_for(|cut| *cut).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn prepare(
        &self,
        leased: &mut Leased<D>,
        gate: Gate,
        deadline: Instant,
    ) -> Result<(), AttemptError> {
        attempt::prepare(self.group, leased, &self.work, gate, deadline).await
    }

    /// Runs the statement. In a transaction that stays open, a refusal because of load is no
    /// reason to roll back: the statement is repeated on the same connection.
    async fn run_open(
        &self,
        leased: &mut Leased<D>,
        after: Option<LogPoint>,
        limit: Instant,
    ) -> Result<ServerReply, AttemptError> {
        let mut refusals = 0;
        loop {
            let reply = attempt::run(leased, &self.work, after, limit).await?;
            let busy = matches!(&reply.result, Err((TargetCode::Busy, _)));
            refusals += 1;
            let retry = Instant::now() + self.busy_pause(refusals);
            if !busy || reply.state != TransactionState::Open || retry >= limit {
                return Ok(reply);
            }
            sleep_until(retry).await;
        }
    }

    /// Reacts to a connection that could not be set up; the statement was not sent.
    async fn unprepared(
        &self,
        plan: &Plan<D>,
        leased: Leased<D>,
        error: &AttemptError,
        course: &mut Course,
        id: ServerId,
    ) -> Option<Answer> {
        match error {
            AttemptError::Unfit(TargetCode::ReadOnly) => {
                course.last = "the server does not lead";
                self.group.denied(&plan.target);
                // Not in a transaction, since the server refused to open one.
                leased.keep();
                self.wait_for_news(course).await
            }
            AttemptError::Unfit(TargetCode::Unreachable) => {
                self.blocked(plan, leased, course, id).await
            }
            AttemptError::Unfit(TargetCode::Lagging) => {
                course.last = "the server's data is not fresh enough";
                self.gateway.counters.lagging.add(1);
                plan.target.lagged();
                leased.keep();
                course.skip(id);
                None
            }
            AttemptError::Unfit(TargetCode::Busy) => {
                course.last = "the server is overloaded";
                // A new connection would occupy a slot of the server for longer than the statement.
                leased.keep();
                course.skip(id);
                self.pause(course, self.busy_pause(course.attempts)).await
            }
            AttemptError::Deadline(_) => {
                self.blame(&leased, error);
                course.last = "the server did not answer in time";
                Some(self.give_up(course))
            }
            _ => {
                self.blame(&leased, error);
                course.last = "the connection to the server broke";
                drop(leased);
                course.skip(id);
                self.pause(course, self.busy_pause(course.attempts)).await
            }
        }
    }

    /// Reacts to a node that passes statements on and does not reach the server: the next attempt
    /// goes through another node, if there is one.
    async fn blocked(
        &self,
        plan: &Plan<D>,
        leased: Leased<D>,
        course: &mut Course,
        id: ServerId,
    ) -> Option<Answer> {
        course.last = "the server could not be reached";
        if leased.block() {
            return None;
        }
        plan.target.unreachable();
        course.skip(id);
        self.wait_for_news(course).await
    }

    /// Learns from a server's answer before it is judged.
    async fn learn(&self, plan: &Plan<D>, reply: &ServerReply, course: &mut Course, id: ServerId) {
        if let Some(point) = reply.point {
            self.group.observed(point);
        }
        let Err((code, _)) = &reply.result else {
            return;
        };
        match code {
            TargetCode::Lagging => {
                course.last = "the server's data is not fresh enough";
                self.gateway.counters.lagging.add(1);
                plan.target.lagged();
            }
            TargetCode::ReadOnly => {
                course.last = "the server does not lead";
                self.group.denied(&plan.target);
                // A refusal in time leads to the next look; the deadline is checked there.
                let _ = timeout(NEWS, self.group.changed.notified()).await;
            }
            TargetCode::Busy => {
                course.last = "the server is overloaded";
                sleep(self.busy_pause(course.attempts)).await;
            }
            _ => {
                course.last = "the server failed";
                course.ran = true;
            }
        }
        course.skip(id);
    }

    /// Reacts to a statement without an answer.
    fn failed(
        &self,
        leased: &Leased<D>,
        error: &AttemptError,
        course: &mut Course,
        id: ServerId,
    ) -> Option<Answer> {
        self.blame(leased, error);
        course.ran |= matches!(error, AttemptError::Lost(_) | AttemptError::Deadline(true));
        let writes = self.work.writes;
        match error {
            AttemptError::Deadline(_) if Instant::now() >= self.deadline => {
                if writes {
                    self.group.stuck.set(self.group.stuck.get() + 1);
                    self.group.trouble.notify_one();
                }
                let text = "the server did not answer within the time limit";
                Some(self.timed_out(text, course))
            }
            AttemptError::NotSent(_) | AttemptError::Unfit(_) => {
                course.skip(id);
                None
            }
            _ if writes => Some(self.unknown("the connection broke before the answer came")),
            _ => {
                course.skip(id);
                None
            }
        }
    }

    /// Whether an error goes to the caller although there is time left.
    fn is_final(&self, reply: &ServerReply) -> bool {
        let other = matches!(&reply.result, Err((TargetCode::Other, _)));
        other || Instant::now() >= self.deadline
    }

    /// The first attempt of a read leaves time for another server.
    fn attempt_limit(&self, course: &Course) -> Instant {
        if self.work.writes || course.attempts > 1 || self.work.text == "COMMIT" {
            return self.deadline;
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        Instant::now() + left.mul_f64(FIRST_TRY)
    }

    /// Waits for a change of the group. Returns the final answer when the time is over.
    async fn wait_for_news(&self, course: &mut Course) -> Option<Answer> {
        self.group.trouble.notify_one();
        // No news of other zones arrives here; another zone may serve the caller in time.
        if self.gateway.is_cut_off() && !self.group.leads_in(&self.gateway.zone) {
            return Some(self.give_up(course));
        }
        let until = self.deadline.min(Instant::now() + NEWS);
        // Without news the next look is due anyway.
        let _ = timeout_at(until, self.group.changed.notified()).await;
        (Instant::now() >= self.deadline).then(|| self.give_up(course))
    }

    /// Returns the pause after a refusal because of load.
    fn busy_pause(&self, refusals: u32) -> Duration {
        let pause = BUSY_PAUSE.saturating_mul(1 << refusals.min(6));
        self.gateway.jitter(pause.min(BUSY_PAUSE_LIMIT))
    }

    async fn pause(&self, course: &mut Course, pause: Duration) -> Option<Answer> {
        sleep(pause).await;
        (Instant::now() >= self.deadline).then(|| self.give_up(course))
    }

    /// Records which connection failed, and why.
    fn blame(&self, leased: &Leased<D>, error: &AttemptError) {
        if let Some(target) = leased.target() {
            let server = target.instance.borrow().id.clone();
            event!(
                Event::AttemptFailed,
                request = self.work.id, server = server.as_str(), term = self.group.term.get();
                "an attempt failed: {error}"
            );
        }
        if matches!(error, AttemptError::Lost(_) | AttemptError::NotSent(_)) {
            self.group.trouble.notify_one();
        }
    }

    /// Translates a server's reply for the caller.
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
                    request = self.work.id, database = self.route.database.as_str(),
                    answer:? = refusal, state:? = reply.state, waited = self.waited();
                    "the server's error goes to the caller: {text}"
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

    /// Answers a statement for which the time is over. One that certainly did not run is refused
    /// with that promise.
    fn give_up(&self, course: &Course) -> Answer {
        if course.ran {
            return self.timed_out(course.last, course);
        }
        self.refuse(Refusal::Busy, course.last, course)
    }

    fn timed_out(&self, text: &str, course: &Course) -> Answer {
        self.gateway.counters.unknown.add(1);
        self.log_refusal(Refusal::Timeout, text, course);
        Answer::refused(Refusal::Timeout, text, TransactionState::Idle)
    }

    fn unknown(&self, text: &str) -> Answer {
        self.gateway.counters.unknown.add(1);
        self.log_refusal(Refusal::Unknown, text, &Course::default());
        Answer::refused(Refusal::Unknown, text, TransactionState::Idle)
    }

    fn refuse(&self, refusal: Refusal, text: &str, course: &Course) -> Answer {
        self.gateway.counters.refused.add(1);
        self.log_refusal(refusal, text, course);
        Answer::refused(refusal, text, TransactionState::Idle)
    }

    fn log_refusal(&self, refusal: Refusal, text: &str, course: &Course) {
        let leader = self.group.leader_id();
        event!(
            Event::StatementRefused,
            request = self.work.id, database = self.route.database.as_str(),
            service = self.group.service.as_str(), leader = leader.as_deref().unwrap_or("none"),
            term = self.group.term.get(), attempts = course.attempts, answer:? = refusal,
            version = self.gateway.version(), waited = self.waited();
            "{text}"
        );
    }
}
