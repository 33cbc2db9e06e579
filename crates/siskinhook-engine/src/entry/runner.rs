//! Runs one statement of a session: selects servers, sends the statement to their owners, and
//! re-routes or retries it after failures.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use siskinhook_types::{
    CallerId, Class, Failure, FailureKind, Freshness, Kind, Links, NodeId, Part, Platform, Request,
    RequestId, Server, ServerId, SessionId, Statement, Targets, Verdict,
};
use tokio_util::sync::CancellationToken;

use super::PinnedPath;
use crate::{
    Answer, OwnerLink,
    clock::{now, sleep_until, until},
    core::{ActiveRequest, Route, deadline_passed, unavailable},
    counters::count,
    engine::Inner,
    path::Path,
    session::{SharedState, lock},
};

/// Parts of a write's answer that are buffered until the write is acknowledged, so that the write
/// can be retried before its caller sees any part.
const MAX_BUFFERED_PARTS: usize = 64;
/// Bytes of a write's rows that are buffered until the write is acknowledged.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Delay after the first round in which no server could serve a request, for example during a
/// failover.
const INITIAL_ROUND_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between two rounds. A failover takes at least a few hundred milliseconds.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(250);

/// Runs one statement of a session.
pub struct StatementRunner<T: Targets, L: Links, P: Platform> {
    pub engine: Arc<Inner<T, L, P>>,
    pub route: Arc<Route>,
    pub caller: CallerId,
    pub session: SessionId,
    pub kind: Kind,
    pub statement: Statement,
    pub class: Class,
    pub max_age: Option<Duration>,
    /// Start of the session.
    pub session_start: Instant,
    pub deadline: Instant,
    pub id: Option<RequestId>,
    pub repeatable: Option<bool>,
    pub shared: SharedState<T, L>,
    pub cancel: CancellationToken,
    /// Keeps the request counted as in progress between two attempts.
    pub _active: ActiveRequest<T>,
}

/// State of a request across its attempts.
#[derive(Default)]
struct Attempts {
    /// Servers that could not serve the request in this round.
    tried: Vec<ServerId>,
    /// Owner of the server, as stated by a node that does not own it.
    owner_hint: Option<NodeId>,
    reroutes: u32,
    rounds: u32,
}

impl<T: Targets, L: Links, P: Platform> StatementRunner<T, L, P> {
    /// Runs the statement outside a transaction.
    pub async fn run(self) -> Result<Answer<T, L, P>, Failure> {
        self.engine.budget.on_request();
        let mut uncertain: Option<Failure> = None;
        let mut retries = 0;
        loop {
            let failure = match self.send_with_reroutes(self.kind, None).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if failure.verdict != Verdict::MayHaveRun {
                // An earlier attempt may have run, even if this one did not.
                let earlier = uncertain.filter(|_| failure.verdict == Verdict::NotRun);
                return Err(earlier.unwrap_or(failure));
            }
            if self.cancel.is_cancelled() {
                return Err(failure);
            }
            if let Some(id) = self.id.as_ref().filter(|_| self.kind == Kind::Write) {
                if let Some(answer) = self.resolve(id, now()).await? {
                    return Ok(answer);
                }
            } else if !self.may_repeat() {
                return Err(failure);
            }
            retries += 1;
            let Some(at) = self.engine.budget.try_retry(retries) else {
                count(&self.engine.core.counters.retries_refused);
                return Err(failure);
            };
            if at >= self.deadline {
                return Err(failure);
            }
            count(&self.engine.core.counters.retries);
            sleep_until(at).await;
            uncertain = Some(failure);
        }
    }

    /// Returns whether the statement may run more than once.
    fn may_repeat(&self) -> bool {
        let idempotent = !matches!(self.kind, Kind::Write);
        self.repeatable.unwrap_or(idempotent)
    }

    /// Sends a request to one server after another until one accepts it, it may have run, or the
    /// deadline passes. `since` replaces the freshness that the session needs.
    pub async fn send_with_reroutes(
        &self,
        kind: Kind,
        since: Option<Instant>,
    ) -> Result<Answer<T, L, P>, Failure> {
        let mut attempts = Attempts::default();
        loop {
            if now() >= self.deadline {
                return Err(deadline_passed("a server"));
            }
            let freshness = since.map_or_else(
                || self.freshness(),
                |since| Freshness {
                    point: None,
                    since: Some(since),
                },
            );
            let Some(server) = self.choose(kind, &freshness, &attempts) else {
                let failure = unavailable(format!(
                    "no server of database {} can serve the request now; retry",
                    self.route.database
                ));
                self.next_round(&mut attempts, failure).await?;
                continue;
            };
            match self.attempt(kind, &server, freshness, &mut attempts).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => self.reroute(kind, &server, &mut attempts, failure).await?,
            }
        }
    }

    fn choose(&self, kind: Kind, freshness: &Freshness, attempts: &Attempts) -> Option<Server> {
        let (core, selector) = (&self.engine.core, &self.engine.selector);
        if kind.needs_primary() {
            selector.select_for_write(core, &self.route, &attempts.tried)
        } else {
            selector.select_for_read(core, &self.route, freshness, &attempts.tried)
        }
    }

    /// Returns the freshness that the session's reads need now.
    fn freshness(&self) -> Freshness {
        let token = lock(&self.shared).token.clone();
        let since = match (self.max_age, &token) {
            (Some(age), _) => now().checked_sub(age),
            (None, None) => Some(self.session_start),
            // The token covers the session's own writes.
            (None, Some(_)) => None,
        };
        Freshness {
            point: token.map(|token| token.point),
            since,
        }
    }

    /// Sends the request to a server's owner and waits for the first part of the answer, or, for a
    /// write, for its acknowledgement.
    async fn attempt(
        &self,
        kind: Kind,
        server: &Server,
        freshness: Freshness,
        attempts: &mut Attempts,
    ) -> Result<Answer<T, L, P>, Failure> {
        let started = now();
        let path = self.open(server, attempts.owner_hint.take()).await?;
        let mut answer = self.start(kind, path, freshness).await?;
        if kind == Kind::Write || kind == Kind::Lookup {
            buffer_answer(&mut answer).await?;
            self.engine
                .selector
                .record_primary(&self.route.database, &server.name);
        } else {
            let part = answer.receive().await;
            answer.push_part(part.unwrap_or_else(|| Err(answer_truncated()))?);
            if kind == Kind::Read && self.class == Class::Short {
                let wait = now().saturating_duration_since(started);
                self.engine.selector.record_wait(&server.name, wait);
            }
        }
        Ok(answer)
    }

    async fn open(
        &self,
        server: &Server,
        owner_hint: Option<NodeId>,
    ) -> Result<PinnedPath<T, L>, Failure> {
        let core = &self.engine.core;
        let Some(owner) = owner_hint.or_else(|| core.owner_of(server)) else {
            return Err(unavailable(format!(
                "no node owns server {} now; retry",
                server.name
            )));
        };
        let local = owner == core.identity.node;
        let path = if local {
            Path::Local(OwnerLink::new(core.clone()))
        } else {
            let limit = self.deadline.min(now() + core.settings.link_timeout);
            let Some(link) = until(limit, self.engine.links.open(&owner)).await else {
                return Err(unavailable(format!(
                    "node {owner} did not answer in time; retry"
                )));
            };
            count(&core.counters.forwarded);
            Path::Remote(link?)
        };
        Ok(PinnedPath {
            path,
            database: self.route.database.clone(),
            server: server.name.clone(),
            node: (!local).then_some(owner),
            term: None,
            id: self.id.clone(),
            _active: core.track(),
        })
    }

    /// Sends the request over a path.
    async fn start(
        &self,
        kind: Kind,
        mut path: PinnedPath<T, L>,
        freshness: Freshness,
    ) -> Result<Answer<T, L, P>, Failure> {
        let request = Request {
            database: self.route.database.clone(),
            server: path.server.clone(),
            caller: self.caller.clone(),
            session: self.session.clone(),
            kind,
            statement: self.statement.clone(),
            freshness,
            class: self.class,
            deadline: self.deadline,
            id: self.id.clone(),
        };
        path.path.start(request).await?;
        Ok(Answer::in_progress(
            self.engine.clone(),
            self.shared.clone(),
            kind,
            path,
            self.cancel.clone(),
        ))
    }

    /// Prepares the next attempt after a failed one. Returns the failure if the request must not
    /// be sent again.
    async fn reroute(
        &self,
        kind: Kind,
        server: &Server,
        attempts: &mut Attempts,
        failure: Failure,
    ) -> Result<(), Failure> {
        if failure.verdict != Verdict::NotRun || self.cancel.is_cancelled() {
            return Err(failure);
        }
        let selector = &self.engine.selector;
        match &failure.kind {
            FailureKind::NotPrimary => {
                selector.forget_primary(&self.route.database, &server.name);
                attempts.tried.push(server.name.clone());
            }
            FailureKind::NotOwner(owner) => {
                attempts.owner_hint.clone_from(owner);
                if owner.is_none() {
                    attempts.tried.push(server.name.clone());
                }
            }
            FailureKind::Overload if kind.needs_primary() => return Err(failure),
            FailureKind::NotFresh
            | FailureKind::Overload
            | FailureKind::ConnectionLost
            | FailureKind::Unavailable
            | FailureKind::NotConfirmed
            | FailureKind::Draining => {
                selector.record_refusal(&server.name);
                attempts.tried.push(server.name.clone());
            }
            FailureKind::Deadline | FailureKind::Statement | FailureKind::BadRequest => {
                return Err(failure);
            }
        }
        attempts.reroutes += 1;
        count(&self.engine.core.counters.reroutes);
        let has_untried = self
            .route
            .servers
            .iter()
            .any(|s| !attempts.tried.contains(&s.name));
        if has_untried && attempts.reroutes < self.engine.core.settings.max_reroutes {
            return Ok(());
        }
        self.next_round(attempts, failure).await
    }

    /// Waits before all servers are tried again, because a failover or handover may be in
    /// progress.
    async fn next_round(&self, attempts: &mut Attempts, failure: Failure) -> Result<(), Failure> {
        // Waiting would only increase the age of data that is already too old, and overload is
        // reported immediately.
        let stale = failure.kind == FailureKind::NotFresh && self.max_age.is_some();
        if stale || failure.kind == FailureKind::Overload {
            return Err(failure);
        }
        let delay = INITIAL_ROUND_DELAY * 2_u32.saturating_pow(attempts.rounds.min(8));
        let delay = delay.min(MAX_ROUND_DELAY);
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.engine.core.random(micros / 2));
        let at = now() + delay / 2 + jitter;
        if at >= self.deadline {
            return Err(failure);
        }
        attempts.rounds += 1;
        attempts.reroutes = 0;
        attempts.tried.clear();
        attempts.owner_hint = None;
        tokio::select! {
            biased;
            () = self.cancel.cancelled() => Err(failure),
            () = sleep_until(at) => Ok(()),
        }
    }

    /// Runs a statement inside the session's transaction.
    pub async fn run_pinned(
        mut self,
        pinned: PinnedPath<T, L>,
    ) -> Result<Answer<T, L, P>, Failure> {
        let (term, id) = (pinned.term, pinned.id.clone());
        let result = self.attempt_pinned(pinned).await;
        let failure = match result {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        match (self.kind, failure.verdict) {
            // The link is lost, which ends the transaction on the server.
            (Kind::Rollback, Verdict::NotRun | Verdict::MayHaveRun) => Ok(Answer::completed(
                self.engine.clone(),
                self.shared.clone(),
                Part::Done {
                    tag: "ROLLBACK".into(),
                    point: None,
                },
            )),
            (Kind::Commit, Verdict::MayHaveRun) => {
                let Some(id) = id else { return Err(failure) };
                self.id = Some(id.clone());
                self.resolve_commit(&id, term, failure).await
            }
            _ => Err(failure),
        }
    }

    async fn attempt_pinned(&self, pinned: PinnedPath<T, L>) -> Result<Answer<T, L, P>, Failure> {
        let started = self.start(self.kind, pinned, Freshness::default()).await;
        let mut answer = started.inspect_err(|_| self.mark_transaction_lost())?;
        if self.kind == Kind::Commit {
            buffer_answer(&mut answer).await?;
        } else {
            let part = answer.receive().await;
            answer.push_part(part.unwrap_or_else(|| Err(answer_truncated()))?);
        }
        Ok(answer)
    }

    /// Updates the transaction's state after its link was lost before the request was sent.
    fn mark_transaction_lost(&self) {
        use crate::TransactionState;
        let ended = matches!(self.kind, Kind::Commit | Kind::Rollback);
        lock(&self.shared).transaction = if ended {
            TransactionState::Idle
        } else {
            TransactionState::Failed
        };
    }
}

/// Buffers the parts of an answer until it is complete or exceeds the buffer.
async fn buffer_answer<T: Targets, L: Links, P: Platform>(
    answer: &mut Answer<T, L, P>,
) -> Result<(), Failure> {
    let (mut parts, mut bytes) = (0, 0);
    while !answer.is_finished() && parts < MAX_BUFFERED_PARTS && bytes < MAX_BUFFERED_BYTES {
        let part = answer
            .receive()
            .await
            .unwrap_or_else(|| Err(answer_truncated()))?;
        parts += 1;
        if let Part::Row { data, .. } = &part {
            bytes += data.len();
        }
        answer.push_part(part);
    }
    Ok(())
}

fn answer_truncated() -> Failure {
    Failure::may_have_run(
        FailureKind::ConnectionLost,
        "the answer ended before its last part",
    )
}
