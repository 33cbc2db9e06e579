//! A caller's session: session values, prepared statements and the open transaction.

use std::rc::Rc;

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{DatabaseId, LogPoint};
use tokio::time::Instant;

use crate::{
    Answer, BootInstant, Command, Consistency, Dialer, Gateway, PreparedStatement, Query, Refusal,
    Route, TransactionState,
    attempt::{self, Statement},
    group::Group,
    pool::Leased,
    request::{ReadBounds, Request},
    session_memory::{LimitExceeded, SessionMemory},
};

/// Arrival time of a statement, on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Monotonic time, for deadlines.
    pub at: Instant,
    /// Boot time, for the freshness of reads.
    pub boot: BootInstant,
}

impl Arrival {
    /// Returns the current time on both clocks.
    #[must_use]
    pub fn now() -> Self {
        Self {
            at: Instant::now(),
            boot: BootInstant::now(),
        }
    }
}

/// An open transaction.
struct Transaction<D: Dialer> {
    route: Rc<Route>,
    read_only: bool,
    started_at: BootInstant,
    /// The connection, leased when the first statement runs.
    leased: Option<Leased<D>>,
    wrote: bool,
    state: TransactionState,
    /// Reason why the node rolled the transaction back, until the caller is told.
    abort_reason: Option<&'static str>,
}

/// A caller's session. Its values and prepared statements are set again on each connection that it
/// uses.
pub struct Session<D: Dialer> {
    gateway: Rc<Gateway<D>>,
    database: DatabaseId,
    memory: SessionMemory,
    transaction: Option<Transaction<D>>,
    /// End of the log after the session's last acknowledged write.
    last_commit: Option<LogPoint>,
}

impl<D: Dialer> Session<D> {
    /// Opens a session; `None` if no route exists for the database.
    pub fn open(gateway: &Rc<Gateway<D>>, database: &str) -> Option<Self> {
        gateway.route(database)?;
        gateway.counters.sessions.add(1);
        Some(Self {
            gateway: gateway.clone(),
            database: database.into(),
            memory: SessionMemory::new(gateway.session_bytes.clone()),
            transaction: None,
            last_commit: None,
        })
    }

    /// Returns the state of the transaction.
    pub fn state(&self) -> TransactionState {
        self.transaction
            .as_ref()
            .map_or(TransactionState::Idle, |transaction| transaction.state)
    }

    /// Whether a transaction of the session occupies a connection to a server.
    pub fn is_pinned(&self) -> bool {
        self.transaction
            .as_ref()
            .is_some_and(|transaction| transaction.leased.is_some())
    }

    /// Answers a statement.
    pub async fn handle(&mut self, query: &Query, arrival: Arrival) -> Answer {
        self.gateway.counters.statements.add(1);
        let stop_time = self.gateway.stop_time();
        let answer = if stop_time.is_some_and(|until| arrival.at >= until) {
            self.refuse_stopped(query)
        } else {
            self.dispatch(query, arrival).await
        };
        self.gateway.counters.record_latency(arrival.at.elapsed());
        answer
    }

    async fn dispatch(&mut self, query: &Query, arrival: Arrival) -> Answer {
        let Some(command) = &query.command else {
            return self.malformed("unknown statement");
        };
        if let Some(answer) = self.answer_if_failed(command) {
            return answer;
        }
        match command {
            Command::Begin { read_only } => self.begin(query, *read_only, arrival),
            Command::Commit => self.commit(query, arrival).await,
            Command::Rollback => self.rollback().await,
            Command::Read => self.run(query, None, false, arrival).await,
            Command::Write => self.run(query, None, true, arrival).await,
            Command::Set { name, value } => match self.memory.set(name, value) {
                Ok(()) => Answer::local(self.state()),
                Err(limit) => self.refuse_to_keep(query, limit).await,
            },
            Command::Prepare { name, stmt } => match self.memory.prepare(name, stmt) {
                Ok(()) => Answer::local(self.state()),
                Err(limit) => self.refuse_to_keep(query, limit).await,
            },
            Command::Deallocate { name } if self.memory.deallocate(name) => {
                Answer::local(self.state())
            }
            Command::Deallocate { name } => self.no_statement(name),
            Command::Execute { name, arguments } => match self.memory.prepared(name) {
                Some(stmt) => {
                    let writes = stmt.writes;
                    self.run(query, Some((&stmt, arguments)), writes, arrival)
                        .await
                }
                None => self.no_statement(name),
            },
        }
    }

    /// Answers a statement in a failed or rolled-back transaction; `None` if the statement is to be
    /// handled as usual.
    fn answer_if_failed(&mut self, command: &Command) -> Option<Answer> {
        let transaction = self.transaction.as_mut()?;
        if let Some(reason) = transaction.abort_reason.take() {
            transaction.state = TransactionState::Failed;
            match command {
                Command::Rollback => {}
                Command::Commit => {
                    self.transaction = None;
                    return Some(self.refuse(Refusal::Aborted, reason));
                }
                _ => return Some(self.refuse(Refusal::Aborted, reason)),
            }
        }
        if transaction.state != TransactionState::Failed {
            return None;
        }
        match command {
            Command::Rollback => None,
            Command::Commit => {
                let leased = transaction.leased.take();
                self.transaction = None;
                if let Some(leased) = leased {
                    tokio::task::spawn_local(attempt::release(leased, TransactionState::Failed));
                }
                Some(self.refuse(Refusal::Aborted, "the transaction had failed"))
            }
            _ => Some(self.malformed("the transaction failed; end it with ROLLBACK")),
        }
    }

    fn begin(&mut self, query: &Query, read_only: bool, arrival: Arrival) -> Answer {
        if self.transaction.is_some() {
            return self.malformed("a transaction is open already");
        }
        let Some(route) = self.gateway.route(&self.database) else {
            return self.no_database(query);
        };
        self.transaction = Some(Transaction {
            route,
            read_only,
            started_at: arrival.boot,
            leased: None,
            wrote: false,
            state: TransactionState::Open,
            abort_reason: None,
        });
        Answer::local(TransactionState::Open)
    }

    async fn rollback(&mut self) -> Answer {
        let Some(transaction) = self.transaction.take() else {
            return self.malformed("no transaction is open");
        };
        if let Some(leased) = transaction.leased {
            attempt::release(leased, TransactionState::Open).await;
        }
        Answer::local(TransactionState::Idle)
    }

    /// Runs a read or write, in the transaction if one is open.
    async fn run(
        &mut self,
        query: &Query,
        prepared: Option<(&PreparedStatement, &[u8])>,
        writes: bool,
        arrival: Arrival,
    ) -> Answer {
        if self.transaction.is_some() {
            return self
                .run_in_transaction(query, prepared, writes, arrival)
                .await;
        }
        let Some(route) = self.gateway.route(&self.database) else {
            return self.no_database(query);
        };
        let Some(group) = self.gateway.group(&route.service) else {
            return self.no_database(query);
        };
        let statement = Statement {
            id: &query.id,
            text: &query.text,
            prepared,
            writes,
            values: self.memory.values(),
        };
        let request = self.request(&route, &group, statement, arrival, arrival.boot);
        let (answer, _) = if writes {
            request.write().await
        } else {
            request.read().await
        };
        if writes && answer.result.is_ok() {
            self.last_commit = self.last_commit.max(answer.point);
        }
        answer
    }

    async fn run_in_transaction(
        &mut self,
        query: &Query,
        prepared: Option<(&PreparedStatement, &[u8])>,
        writes: bool,
        arrival: Arrival,
    ) -> Answer {
        let Some(mut transaction) = self.transaction.take() else {
            return self.malformed("no transaction is open");
        };
        let statement = Statement {
            id: &query.id,
            text: &query.text,
            prepared,
            writes,
            values: self.memory.values(),
        };
        let route = transaction.route.clone();
        let Some(group) = self.gateway.group(&route.service) else {
            return self.no_database(query);
        };
        let request = self.request(&route, &group, statement, arrival, transaction.started_at);
        let (mut answer, leased) = match transaction.leased.take() {
            None => request.open_transaction(transaction.read_only).await,
            Some(leased) => request.run_inside(leased).await,
        };
        transaction.leased = leased;
        transaction.wrote |= writes;
        if transaction.leased.is_none() || answer.result.is_err() {
            answer.state = TransactionState::Failed;
        }
        transaction.state = answer.state;
        self.transaction = Some(transaction);
        answer
    }

    async fn commit(&mut self, query: &Query, arrival: Arrival) -> Answer {
        let Some(mut transaction) = self.transaction.take() else {
            return self.malformed("no transaction is open");
        };
        let statement = Statement {
            id: &query.id,
            text: &query.text,
            prepared: None,
            writes: transaction.wrote,
            values: self.memory.values(),
        };
        let route = transaction.route.clone();
        let Some(group) = self.gateway.group(&route.service) else {
            return self.no_database(query);
        };
        let request = self.request(&route, &group, statement, arrival, transaction.started_at);
        let (mut answer, leased) = match transaction.leased.take() {
            None => request.open_transaction(transaction.read_only).await,
            Some(leased) => request.commit(leased).await,
        };
        if let Some(leased) = leased {
            let state = answer.state;
            attempt::release(leased, state).await;
        }
        if answer.result.is_ok() && transaction.wrote {
            self.last_commit = self.last_commit.max(answer.point);
        }
        answer.state = TransactionState::Idle;
        answer
    }

    fn request<'a>(
        &'a self,
        route: &'a Route,
        group: &'a Rc<Group<D>>,
        statement: Statement<'a>,
        arrival: Arrival,
        started_at: BootInstant,
    ) -> Request<'a, D> {
        let last_commit = self
            .last_commit
            .filter(|_| route.consistency == Consistency::ReadYourWrites);
        // A statement that outlives the node gets no answer.
        let timeout = arrival.at + route.timeout;
        let stop_time = self.gateway.stop_time();
        Request {
            gateway: &self.gateway,
            route,
            group,
            statement,
            deadline: stop_time.map_or(timeout, |until| timeout.min(until)),
            arrived: arrival.at,
            bounds: ReadBounds {
                started_at,
                last_commit,
            },
        }
    }

    /// Rolls back the transaction because its caller was idle for too long.
    pub async fn expire(&mut self) {
        let Some(transaction) = self.transaction.as_mut() else {
            return;
        };
        transaction.abort_reason = Some("the transaction was idle for too long and is rolled back");
        if let Some(leased) = transaction.leased.take() {
            attempt::release(leased, TransactionState::Open).await;
        }
    }

    /// Closes the session and rolls back its transaction.
    pub async fn close(mut self) {
        if let Some(leased) = self.transaction.take().and_then(|open| open.leased) {
            attempt::release(leased, TransactionState::Open).await;
        }
    }

    /// Refuses a statement that arrives when the node no longer serves.
    fn refuse_stopped(&mut self, query: &Query) -> Answer {
        // The server rolls the transaction back when its connection closes.
        let refusal = match self.transaction.take() {
            Some(_) => Refusal::Aborted,
            None => Refusal::Busy,
        };
        let text = "this node is stopping";
        event!(
            Event::StatementRefused,
            request = query.id.as_str(), database = self.database.as_str(), answer:? = refusal;
            "{text}"
        );
        self.refuse(refusal, text)
    }

    /// Refuses a value or prepared statement that exceeds a bound. The refusal guarantees that
    /// nothing of the caller's attempt is kept, so an open transaction is rolled back.
    async fn refuse_to_keep(&mut self, query: &Query, limit: LimitExceeded) -> Answer {
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.state = TransactionState::Failed;
            if let Some(leased) = transaction.leased.take() {
                attempt::release(leased, TransactionState::Open).await;
            }
        }
        let (refusal, text) = match limit {
            LimitExceeded::Session => (
                Refusal::TooMany,
                "the session's values and prepared statements exceed their limit",
            ),
            LimitExceeded::Process => (
                Refusal::Busy,
                "this node has no memory left for values and prepared statements",
            ),
        };
        event!(
            Event::StatementRefused,
            request = query.id.as_str(), database = self.database.as_str(), answer:? = refusal;
            "{text}"
        );
        self.refuse(refusal, text)
    }

    fn refuse(&self, refusal: Refusal, text: &'static str) -> Answer {
        self.gateway.counters.refused.add(1);
        Answer::refused(refusal, text, self.state())
    }

    fn malformed(&self, text: &'static str) -> Answer {
        Answer::refused(Refusal::Malformed, text, self.state())
    }

    fn no_statement(&self, name: &[u8]) -> Answer {
        let text = format!("no statement is prepared under \"{}\"", name.escape_ascii());
        Answer::refused(Refusal::NoStatement, text, self.state())
    }

    fn no_database(&self, query: &Query) -> Answer {
        let answer = Refusal::NoDatabase;
        let text = "no route has the name of the database";
        event!(
            Event::StatementRefused,
            request = query.id.as_str(), database = self.database.as_str(), answer:? = answer,
            version = self.gateway.version();
            "{text}"
        );
        Answer::refused(answer, text, self.state())
    }
}
