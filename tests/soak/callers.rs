//! Callers: sessions that record what they ask for and what they are told.

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

/// Time after which a caller gives a statement up; longer than the routes' time limit.
const PATIENCE: Duration = Duration::from_secs(3);
/// Age of data that bounded reads accept.
pub const STALENESS: Duration = Duration::from_millis(1500);
/// Codes that promise that nothing of the operation is kept.
const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "TOOMANY",
];

/// Sessions opened so far.
static SESSIONS: AtomicU64 = AtomicU64::new(0);

/// A database that callers name.
#[derive(Clone, Debug)]
pub struct Database {
    pub name: String,
    pub group: usize,
    pub freshness: Freshness,
}

/// What a caller knows of a statement's outcome.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    Done,
    /// Nothing of the operation is kept.
    NotKept,
    /// It may have run.
    Unknown,
    /// The connection ended, or the answer took too long.
    Closed,
}

/// One caller.
pub struct Caller {
    pub number: usize,
    pub nodes: Vec<SocketAddr>,
    pub databases: Vec<Database>,
    pub history: Arc<History>,
    pub seed: u64,
}

struct Session {
    /// Unique in a run; a session sees its own writes.
    number: u64,
    stream: BufReader<TcpStream>,
    database: Database,
    values: Vec<(String, String)>,
}

impl Session {
    async fn open(address: SocketAddr, database: &Database) -> Option<Self> {
        let stream = timeout(PATIENCE, TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let mut session = Self {
            number: SESSIONS.fetch_add(1, Ordering::Relaxed),
            stream: BufReader::new(stream),
            database: database.clone(),
            values: Vec::new(),
        };
        session
            .send(&format!("START {} soak", database.name))
            .await?;
        let line = session.line().await?;
        line.starts_with("READY I").then_some(session)
    }

    async fn send(&mut self, line: &str) -> Option<()> {
        let text = format!("{line}\r\n");
        self.stream.get_mut().write_all(text.as_bytes()).await.ok()
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = timeout(PATIENCE, self.stream.read_line(&mut line));
        let n = read.await.ok()?.ok()?;
        (n > 0).then(|| line.trim_end().to_string())
    }

    /// Sends a statement and reads the whole answer.
    async fn ask(&mut self, history: &History, id: &str, text: &str) -> Told {
        if self.send(&format!("QUERY {id} {text}")).await.is_none() {
            return Told::Closed;
        }
        let mut told = None;
        while let Some(line) = self.line().await {
            let mut words = line.split(' ');
            match (words.next(), words.next()) {
                (Some("ROW"), row) => {
                    if row != Some(id) {
                        history.break_promise(format!("mixed: {id} was answered with {line}"));
                    }
                }
                (Some("DONE"), signature) => {
                    let runs = !text.starts_with("BEGIN")
                        && !text.starts_with("SET")
                        && text != "ROLLBACK";
                    if runs && signature != Some(&format!("signed-{id}")) {
                        history.break_promise(format!("mixed: {id} was answered with {line}"));
                    }
                    told = Some(Told::Done);
                }
                (Some("ERROR"), Some(code)) if PROMISES.contains(&code) => {
                    told = Some(Told::NotKept);
                }
                (Some("ERROR"), _) => told = Some(Told::Unknown),
                (Some("READY"), _) => return told.unwrap_or(Told::Closed),
                _ => history.break_promise(format!("mixed: {id} was answered with {line:?}")),
            }
        }
        Told::Closed
    }
}

impl Caller {
    /// Runs operations until told to stop.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let mut random = SmallRng::seed_from_u64(self.seed * 1000 + self.number as u64);
        let mut operation = 0;
        while !*stop.borrow() {
            let node = self.nodes[random.random_range(0..self.nodes.len())];
            let database = &self.databases[random.random_range(0..self.databases.len())];
            let Some(mut session) = Session::open(node, database).await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            if random.random_bool(0.3) && !self.set_value(&mut session, &mut operation).await {
                continue;
            }
            let operations = random.random_range(1..40);
            for _ in 0..operations {
                operation += 1;
                let open = match random.random_range(0..10) {
                    0..5 => self.read(&mut session, operation).await,
                    5..8 => self.write(&mut session, operation).await,
                    _ => self.transact(&mut session, operation, &mut random).await,
                };
                if !open || *stop.borrow() {
                    break;
                }
                sleep(Duration::from_millis(random.random_range(2..25))).await;
            }
        }
    }

    fn id(&self, operation: u64, statement: u32) -> StatementId {
        format!("c{}-{operation}-{statement}", self.number)
    }

    async fn set_value(&self, session: &mut Session, operation: &mut u64) -> bool {
        *operation += 1;
        let value = format!("c{}", self.number);
        let id = self.id(*operation, 0);
        let told = session
            .ask(&self.history, &id, &format!("SET who {value}"))
            .await;
        session.values = vec![("who".into(), value)];
        told == Told::Done
    }

    fn expect(&self, session: &Session, id: &str) {
        let database = &session.database;
        let floor = self
            .history
            .floor(database.group, session.number, database.freshness);
        self.history.expect(id, floor, &session.values);
    }

    async fn read(&self, session: &mut Session, operation: u64) -> bool {
        let id = self.id(operation, 0);
        self.expect(session, &id);
        match session.ask(&self.history, &id, "READ 1").await {
            Told::Done => self.history.succeeded(&id),
            Told::NotKept => self.history.refused(&[]),
            Told::Unknown => self.history.unknown(),
            Told::Closed => {
                self.history.unknown();
                return false;
            }
        }
        true
    }

    async fn write(&self, session: &mut Session, operation: u64) -> bool {
        let id = self.id(operation, 0);
        self.expect(session, &id);
        let told = session.ask(&self.history, &id, "WRITE 1 x").await;
        self.end(session, &id, std::slice::from_ref(&id), &told)
    }

    /// Records the outcome of an operation that ends with this statement.
    fn end(&self, session: &Session, id: &str, writes: &[StatementId], told: &Told) -> bool {
        match told {
            Told::Done => {
                self.history.succeeded(id);
                if !writes.is_empty() {
                    let group = session.database.group;
                    self.history.acknowledged(group, session.number, id, writes);
                }
            }
            Told::NotKept => self.history.refused(writes),
            Told::Unknown => self.history.unknown(),
            Told::Closed => {
                self.history.unknown();
                return false;
            }
        }
        true
    }

    async fn transact(&self, session: &mut Session, operation: u64, random: &mut SmallRng) -> bool {
        let first = self.id(operation, 0);
        let database = &session.database;
        // The floor of a transaction is that of its first byte.
        let floor = self
            .history
            .floor(database.group, session.number, database.freshness);
        if session.ask(&self.history, &first, "BEGIN").await != Told::Done {
            return false;
        }
        let mut writes = Vec::new();
        for statement in 1..random.random_range(2..5) {
            sleep(Duration::from_millis(random.random_range(0..20))).await;
            let id = self.id(operation, statement);
            self.history.expect(&id, floor, &session.values);
            let write = random.random_bool(0.5);
            let text = if write { "WRITE 2 y" } else { "READ 2" };
            if write {
                writes.push(id.clone());
            }
            let told = session.ask(&self.history, &id, text).await;
            if told == Told::Done {
                self.history.succeeded(&id);
                continue;
            }
            if told == Told::NotKept {
                self.history.refused(&writes);
            } else {
                self.history.unknown();
            }
            let last = self.id(operation, 90);
            return told != Told::Closed
                && session.ask(&self.history, &last, "ROLLBACK").await == Told::Done;
        }
        let id = self.id(operation, 91);
        if random.random_bool(0.2) {
            // A transaction that is rolled back keeps nothing.
            let told = session.ask(&self.history, &id, "ROLLBACK").await;
            self.history.refused(&writes);
            return told == Told::Done;
        }
        self.history.expect(&id, floor, &session.values);
        let told = session.ask(&self.history, &id, "COMMIT").await;
        self.end(session, &id, &writes, &told)
    }
}

/// Returns whether a write is answered with success.
pub async fn is_served(node: SocketAddr, database: &Database, history: &History, id: &str) -> bool {
    let Some(mut session) = Session::open(node, database).await else {
        return false;
    };
    history.expect(id, None, &[]);
    session.ask(history, id, "WRITE 3 z").await == Told::Done
}
