//! Callers that run random operations through the nodes and record the outcomes that they receive.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::watch,
    time::{sleep, timeout},
};

use crate::history::{Freshness, History, StatementId};

/// How long a caller waits for a connection or for the next line of an answer. Longer than the
/// timeout of the routes.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum age of the data that bounded reads may return.
pub const MAX_STALENESS: Duration = Duration::from_millis(1500);
/// Error codes that guarantee that no effect of the operation is kept.
const NOT_APPLIED_CODES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "TOOMANY",
];

/// Number of sessions opened so far, from which sessions get their unique numbers.
static SESSIONS_OPENED: AtomicU64 = AtomicU64::new(0);

/// A database that callers connect to by name.
#[derive(Clone, Debug)]
pub struct Database {
    pub name: String,
    /// Index of the group whose servers hold the database.
    pub group: usize,
    pub freshness: Freshness,
}

/// The outcome of a statement as its caller knows it.
#[derive(Debug, PartialEq, Eq)]
enum CallerOutcome {
    Done,
    /// No effect of the operation is kept.
    NotApplied,
    /// The statement may have run.
    Unknown,
    /// The connection closed, or the answer did not arrive within the timeout.
    Closed,
}

/// A caller that opens one session after another on random nodes.
pub struct Caller {
    pub number: usize,
    pub nodes: Vec<SocketAddr>,
    pub databases: Vec<Database>,
    pub history: Arc<History>,
    pub seed: u64,
}

/// A session with a node over one TCP connection.
struct Session {
    /// Unique in a run. It identifies the session whose own writes its reads must see.
    number: u64,
    stream: BufReader<TcpStream>,
    database: Database,
    /// Names and values that the session has set with `SET`.
    values: Vec<(String, String)>,
}

impl Session {
    async fn open(address: SocketAddr, database: &Database) -> Option<Self> {
        let (session, answer) = Self::start(address, database).await?;
        answer.starts_with("READY I").then_some(session)
    }

    /// Opens a session and returns it with the node's answer.
    async fn start(address: SocketAddr, database: &Database) -> Option<(Self, String)> {
        let stream = timeout(CALLER_TIMEOUT, TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let mut session = Self {
            number: SESSIONS_OPENED.fetch_add(1, Ordering::Relaxed),
            stream: BufReader::new(stream),
            database: database.clone(),
            values: Vec::new(),
        };
        session
            .send(&format!("START {} soak", database.name))
            .await?;
        let answer = session.receive_line().await?;
        Some((session, answer))
    }

    async fn send(&mut self, line: &str) -> Option<()> {
        let text = format!("{line}\r\n");
        self.stream.get_mut().write_all(text.as_bytes()).await.ok()
    }

    async fn receive_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = timeout(CALLER_TIMEOUT, self.stream.read_line(&mut line));
        let n = read.await.ok()?.ok()?;
        (n > 0).then(|| line.trim_end().to_string())
    }

    /// Sends a statement, reads the whole answer and checks that it belongs to this statement.
    async fn query(&mut self, history: &History, id: &str, text: &str) -> CallerOutcome {
        if self.send(&format!("QUERY {id} {text}")).await.is_none() {
            return CallerOutcome::Closed;
        }
        let mut outcome = None;
        while let Some(line) = self.receive_line().await {
            let mut words = line.split(' ');
            match (words.next(), words.next()) {
                (Some("ROW"), row) => {
                    if row != Some(id) {
                        history.record_violation(format!("wrong answer: {id} received {line}"));
                    }
                }
                (Some("DONE"), signature) => {
                    let is_signed = !text.starts_with("BEGIN")
                        && !text.starts_with("SET")
                        && text != "ROLLBACK";
                    if is_signed && signature != Some(&format!("signed-{id}")) {
                        history.record_violation(format!("wrong answer: {id} received {line}"));
                    }
                    outcome = Some(CallerOutcome::Done);
                }
                (Some("ERROR"), Some(code)) if NOT_APPLIED_CODES.contains(&code) => {
                    outcome = Some(CallerOutcome::NotApplied);
                }
                (Some("ERROR"), _) => outcome = Some(CallerOutcome::Unknown),
                (Some("READY"), _) => return outcome.unwrap_or(CallerOutcome::Closed),
                _ => history.record_violation(format!("wrong answer: {id} received {line:?}")),
            }
        }
        CallerOutcome::Closed
    }
}

impl Caller {
    /// Runs operations until `stop` becomes true.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let mut rng = SmallRng::seed_from_u64(self.seed * 1000 + self.number as u64);
        let mut operation = 0;
        while !*stop.borrow() {
            let node = self.nodes[rng.random_range(0..self.nodes.len())];
            let database = &self.databases[rng.random_range(0..self.databases.len())];
            let Some(mut session) = Session::open(node, database).await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            if rng.random_bool(0.3) && !self.set_value(&mut session, &mut operation).await {
                continue;
            }
            let operations = rng.random_range(1..40);
            for _ in 0..operations {
                operation += 1;
                let is_usable = match rng.random_range(0..10) {
                    0..5 => self.read(&mut session, operation).await,
                    5..8 => self.write(&mut session, operation).await,
                    _ => self.transact(&mut session, operation, &mut rng).await,
                };
                if !is_usable || *stop.borrow() {
                    break;
                }
                sleep(Duration::from_millis(rng.random_range(2..25))).await;
            }
        }
    }

    fn statement_id(&self, operation: u64, statement: u32) -> StatementId {
        format!("c{}-{operation}-{statement}", self.number)
    }

    async fn set_value(&self, session: &mut Session, operation: &mut u64) -> bool {
        *operation += 1;
        let value = format!("c{}", self.number);
        let id = self.statement_id(*operation, 0);
        let outcome = session
            .query(&self.history, &id, &format!("SET who {value}"))
            .await;
        session.values = vec![("who".into(), value)];
        outcome == CallerOutcome::Done
    }

    fn record_expectation(&self, session: &Session, id: &str) {
        let database = &session.database;
        let min_position =
            self.history
                .min_position(database.group, session.number, database.freshness);
        self.history
            .record_expectation(id, min_position, &session.values);
    }

    /// Runs a read. Returns whether the session is still usable.
    async fn read(&self, session: &mut Session, operation: u64) -> bool {
        let id = self.statement_id(operation, 0);
        self.record_expectation(session, &id);
        match session.query(&self.history, &id, "READ 1").await {
            CallerOutcome::Done => self.history.succeeded(&id),
            CallerOutcome::NotApplied => self.history.not_applied(&[]),
            CallerOutcome::Unknown => self.history.outcome_unknown(),
            CallerOutcome::Closed => {
                self.history.outcome_unknown();
                return false;
            }
        }
        true
    }

    async fn write(&self, session: &mut Session, operation: u64) -> bool {
        let id = self.statement_id(operation, 0);
        self.record_expectation(session, &id);
        let outcome = session.query(&self.history, &id, "WRITE 1 x").await;
        self.record_outcome(session, &id, std::slice::from_ref(&id), &outcome)
    }

    /// Records the outcome of an operation whose last statement is `id`. Returns whether the
    /// session is still usable.
    fn record_outcome(
        &self,
        session: &Session,
        id: &str,
        writes: &[StatementId],
        outcome: &CallerOutcome,
    ) -> bool {
        match outcome {
            CallerOutcome::Done => {
                self.history.succeeded(id);
                if !writes.is_empty() {
                    let group = session.database.group;
                    self.history.acknowledged(group, session.number, id, writes);
                }
            }
            CallerOutcome::NotApplied => self.history.not_applied(writes),
            CallerOutcome::Unknown => self.history.outcome_unknown(),
            CallerOutcome::Closed => {
                self.history.outcome_unknown();
                return false;
            }
        }
        true
    }

    async fn transact(&self, session: &mut Session, operation: u64, rng: &mut SmallRng) -> bool {
        let first = self.statement_id(operation, 0);
        let database = &session.database;
        // The position that a transaction must see is fixed when its first byte is sent.
        let min_position =
            self.history
                .min_position(database.group, session.number, database.freshness);
        if session.query(&self.history, &first, "BEGIN").await != CallerOutcome::Done {
            return false;
        }
        let mut writes = Vec::new();
        for statement in 1..rng.random_range(2..5) {
            sleep(Duration::from_millis(rng.random_range(0..20))).await;
            let id = self.statement_id(operation, statement);
            self.history
                .record_expectation(&id, min_position, &session.values);
            let write = rng.random_bool(0.5);
            let text = if write { "WRITE 2 y" } else { "READ 2" };
            if write {
                writes.push(id.clone());
            }
            let outcome = session.query(&self.history, &id, text).await;
            if outcome == CallerOutcome::Done {
                self.history.succeeded(&id);
                continue;
            }
            if outcome == CallerOutcome::NotApplied {
                self.history.not_applied(&writes);
            } else {
                self.history.outcome_unknown();
            }
            let last = self.statement_id(operation, 90);
            return outcome != CallerOutcome::Closed
                && session.query(&self.history, &last, "ROLLBACK").await == CallerOutcome::Done;
        }
        let id = self.statement_id(operation, 91);
        if rng.random_bool(0.2) {
            // No write of a transaction that is rolled back may be kept.
            let outcome = session.query(&self.history, &id, "ROLLBACK").await;
            self.history.not_applied(&writes);
            return outcome == CallerOutcome::Done;
        }
        self.history
            .record_expectation(&id, min_position, &session.values);
        let outcome = session.query(&self.history, &id, "COMMIT").await;
        self.record_outcome(session, &id, &writes, &outcome)
    }
}

/// Returns whether a write through the node succeeds.
pub async fn accepts_write(
    node: SocketAddr,
    database: &Database,
    history: &History,
    id: &str,
) -> bool {
    let Some(mut session) = Session::open(node, database).await else {
        return false;
    };
    history.record_expectation(id, None, &[]);
    session.query(history, id, "WRITE 3 z").await == CallerOutcome::Done
}

/// A node's answer to the start of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartAnswer {
    Ready,
    /// The node has no route for the database.
    UnknownDatabase,
    /// The node refuses the session for another reason.
    Refused,
    /// The node closed the connection or did not answer in time.
    Missing,
}

/// Starts a session and returns the node's answer.
pub async fn start_session(node: SocketAddr, database: &Database) -> StartAnswer {
    let Some((_, answer)) = Session::start(node, database).await else {
        return StartAnswer::Missing;
    };
    match answer.split(' ').nth(1) {
        Some("I") => StartAnswer::Ready,
        Some("NODB") => StartAnswer::UnknownDatabase,
        _ => StartAnswer::Refused,
    }
}

/// Returns whether a node has a route for a database; `None` if it gives no answer or does not know.
pub async fn knows_route(node: SocketAddr, database: &Database) -> Option<bool> {
    match start_session(node, database).await {
        StartAnswer::Ready => Some(true),
        StartAnswer::UnknownDatabase => Some(false),
        StartAnswer::Refused | StartAnswer::Missing => None,
    }
}
