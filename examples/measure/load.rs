//! Callers: open-loop load, and the check of every promise that was made to them.

use std::{
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Class, DatabaseId, Failure, FailureKind, RequestId, Token, Verdict};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// One-way latency between callers and nodes.
const CLIENT: Duration = Duration::from_millis(1);
/// Time after the deadline that a caller waits for the verdict.
const PATIENCE: Duration = Duration::from_secs(5);
/// Milliseconds of simulated work in a short statement.
pub const SHORT: u64 = 4;
/// Milliseconds of simulated work in a long statement.
pub const LONG: u64 = 400;
/// Age of data that callers accept in listings.
pub const AGE: Duration = Duration::from_secs(2);

/// What a statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Inserts a row with a number that no other statement uses.
    Write,
    /// As `Write`, with a request id.
    WriteOnce,
    /// Reads the row that the caller wrote last.
    Own,
    /// Reads the highest number; accepts data of the age `AGE`.
    Listing,
    /// Long write of a billing run.
    Billing,
    /// Long read of a report; accepts data of the age `AGE`.
    Report,
}

impl Action {
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Write | Self::WriteOnce | Self::Billing)
    }

    pub const fn class(self) -> Class {
        match self {
            Self::Billing | Self::Report => Class::Long,
            _ => Class::Short,
        }
    }

    pub const fn work(self) -> u64 {
        match self {
            Self::Billing | Self::Report => LONG,
            _ => SHORT,
        }
    }
}

/// A statement of a caller.
#[derive(Clone, Debug)]
pub struct Operation {
    pub database: DatabaseId,
    pub caller: u32,
    pub node: usize,
    pub action: Action,
    pub sql: String,
    pub token: Option<Token>,
    pub request: Option<RequestId>,
    pub deadline: Duration,
}

/// The answer to a statement.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub rows: Vec<Vec<String>>,
    pub token: Option<Token>,
}

/// A proxy under measurement: siskinhook or the naive version.
pub trait Proxy: Clone + Send + Sync + 'static {
    /// Runs a statement through a node.
    fn run(&self, operation: &Operation) -> impl Future<Output = Result<Reply, Failure>> + Send;

    /// Ends the process of a node.
    fn kill(&self, node: usize);

    /// Reads run by replicas and by primaries.
    fn reads(&self) -> (u64, u64);
}

/// What became of a statement.
#[derive(Clone, Debug)]
pub struct Record {
    pub database: DatabaseId,
    pub action: Action,
    pub number: u64,
    pub sent: Instant,
    pub ended: Instant,
    pub failure: Option<Failure>,
}

impl Record {
    pub fn is_ok(&self) -> bool {
        self.failure.is_none()
    }

    pub fn latency(&self) -> Duration {
        self.ended - self.sent
    }
}

/// Broken promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    pub lost: u64,
    pub doubled: u64,
    pub stale: u64,
    pub verdict: u64,
    pub mixed: u64,
    pub cap: u64,
}

impl Broken {
    pub const fn list(&self) -> [(&'static str, u64); 6] {
        [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("stale", self.stale),
            ("wrong verdict", self.verdict),
            ("mixed", self.mixed),
            ("over the cap", self.cap),
        ]
    }

    pub fn total(&self) -> u64 {
        self.list().iter().map(|(_, count)| count).sum()
    }

    pub const fn add(&mut self, other: &Self) {
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.stale += other.stale;
        self.verdict += other.verdict;
        self.mixed += other.mixed;
        self.cap += other.cap;
    }
}

#[derive(Default)]
struct State {
    records: Vec<Record>,
    broken: Broken,
    next: u64,
    open: u64,
    /// Last acknowledged write of each caller.
    wrote: IndexMap<(DatabaseId, u32), (u64, Option<Token>)>,
    /// Acknowledged numbers by time, as running maximum.
    highest: IndexMap<DatabaseId, Vec<(Instant, u64)>>,
    /// Nodes that callers are sent to.
    nodes: Vec<usize>,
}

/// Arrivals per second of one kind of statement.
#[derive(Clone, Debug)]
pub struct Flow {
    pub database: DatabaseId,
    pub action: Action,
    pub rate: f64,
    pub deadline: Duration,
}

/// Callers of one proxy.
pub struct Load<P: Proxy> {
    proxy: P,
    state: Arc<Mutex<State>>,
}

impl<P: Proxy> Clone for Load<P> {
    fn clone(&self) -> Self {
        Self {
            proxy: self.proxy.clone(),
            state: self.state.clone(),
        }
    }
}

impl<P: Proxy> Load<P> {
    /// Callers in all.
    const CALLERS: u32 = 200;

    pub fn new(proxy: P, nodes: usize) -> Self {
        let state = State {
            nodes: (0..nodes).collect(),
            ..State::default()
        };
        Self {
            proxy,
            state: Arc::new(Mutex::new(state)),
        }
    }

    pub const fn proxy(&self) -> &P {
        &self.proxy
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a node from the load balancer.
    pub fn remove_node(&self, node: usize) {
        self.lock().nodes.retain(|known| *known != node);
    }

    pub fn count_cap(&self) {
        self.lock().broken.cap += 1;
    }

    /// Sends a flow of statements until `end`; the rate is `flow.rate` times `shape` of the
    /// time since the start.
    pub async fn flow(
        &self,
        flow: Flow,
        seed: u64,
        end: Instant,
        shape: impl Fn(Duration) -> f64 + Send,
    ) {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut next = 0.0_f64;
        loop {
            let at = start + Duration::from_secs_f64(next);
            if at >= end {
                return;
            }
            sleep_until(at).await;
            let rate = flow.rate * shape(Duration::from_secs_f64(next));
            if rate < 0.01 {
                next += 0.05;
                continue;
            }
            let uniform: f64 = random.random_range(1e-9..1.0);
            next += -uniform.ln() / rate;
            let operation = self.operation(&flow, &mut random);
            let load = self.clone();
            tokio::spawn(async move { load.send(operation).await });
        }
    }

    fn operation(&self, flow: &Flow, random: &mut SmallRng) -> (Operation, u64) {
        let mut state = self.lock();
        let caller = random.random_range(0..Self::CALLERS);
        let key = (flow.database.clone(), caller);
        let wrote = state.wrote.get(&key).cloned();
        let work = flow.action.work();
        let (number, sql) = if flow.action.is_write() {
            state.next += 1;
            let number = state.next;
            let values = format!("({number}, work_ms({work}))");
            (
                number,
                format!("INSERT INTO ledger (n, cost) VALUES {values}"),
            )
        } else if flow.action == Action::Own {
            let number = wrote.as_ref().map_or(0, |(number, _)| *number);
            let columns = format!("n, 0 * work_ms({work})");
            (
                number,
                format!("SELECT {columns} FROM ledger WHERE n = {number}"),
            )
        } else {
            (
                0,
                format!("SELECT max(n) + 0 * work_ms({work}) FROM ledger"),
            )
        };
        state.open += 1;
        let node = state.nodes[random.random_range(0..state.nodes.len())];
        let once = flow.action == Action::WriteOnce;
        let operation = Operation {
            database: flow.database.clone(),
            caller,
            node,
            action: flow.action,
            sql,
            token: wrote.and_then(|(_, token)| token),
            request: once.then(|| format!("request-{number}").into()),
            deadline: flow.deadline,
        };
        (operation, number)
    }

    async fn send(self, (operation, number): (Operation, u64)) {
        let sent = Instant::now();
        sleep(CLIENT).await;
        let limit = operation.deadline + PATIENCE;
        let result = timeout(limit, self.proxy.run(&operation)).await;
        let result = result
            .unwrap_or_else(|_| Err(Failure::may_have_run(FailureKind::Deadline, "no answer")));
        sleep(CLIENT).await;
        self.record(&operation, number, sent, result);
    }

    fn record(
        &self,
        operation: &Operation,
        number: u64,
        sent: Instant,
        result: Result<Reply, Failure>,
    ) {
        let ended = Instant::now();
        let mut state = self.lock();
        state.open -= 1;
        let failure = match result {
            Err(failure) => Some(failure),
            Ok(reply) => {
                check(&mut state, operation, number, sent, &reply);
                None
            }
        };
        state.records.push(Record {
            database: operation.database.clone(),
            action: operation.action,
            number,
            sent,
            ended,
            failure,
        });
    }

    /// Waits until all statements have ended.
    pub async fn settle(&self) {
        while self.lock().open > 0 {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Compares the verdicts with what the databases hold: numbers and how often.
    pub fn finish(
        &self,
        stored: &IndexMap<DatabaseId, IndexMap<u64, u64>>,
    ) -> (Vec<Record>, Broken) {
        let mut state = self.lock();
        let records = std::mem::take(&mut state.records);
        let mut broken = state.broken;
        for record in records.iter().filter(|record| record.action.is_write()) {
            let held = stored.get(&record.database);
            let count = held.and_then(|held| held.get(&record.number));
            let count = count.copied().unwrap_or(0);
            broken.doubled += u64::from(count > 1);
            match record.failure.as_ref().map(|failure| failure.verdict) {
                None => broken.lost += u64::from(count == 0),
                Some(Verdict::NotRun) => broken.verdict += u64::from(count > 0),
                Some(Verdict::Ran | Verdict::MayHaveRun) => {}
            }
        }
        (records, broken)
    }
}

/// Checks an answer against what the caller was promised.
fn check(state: &mut State, operation: &Operation, number: u64, sent: Instant, reply: &Reply) {
    let value = |row: &Vec<String>| row.first()?.parse::<u64>().ok();
    let first = reply.rows.first().and_then(value);
    match operation.action {
        Action::Write | Action::WriteOnce | Action::Billing => {
            let highest = state.highest.entry(operation.database.clone()).or_default();
            let last = highest.last().map_or(0, |(_, number)| *number);
            highest.push((Instant::now(), last.max(number)));
            let key = (operation.database.clone(), operation.caller);
            let wrote = state.wrote.entry(key).or_insert((0, None));
            let newer = |token: &Token| {
                wrote
                    .1
                    .as_ref()
                    .is_none_or(|known| known.point < token.point)
            };
            // Two writes of a caller may be under way; the later one in the log counts.
            match &reply.token {
                Some(token) if newer(token) => *wrote = (number, reply.token.clone()),
                None if wrote.0 < number => *wrote = (number, None),
                _ => {}
            }
        }
        Action::Own if number > 0 => match first {
            None => state.broken.stale += 1,
            Some(read) if read != number => state.broken.mixed += 1,
            Some(_) if reply.rows.len() > 1 => state.broken.doubled += 1,
            Some(_) => {}
        },
        Action::Own => {}
        Action::Listing | Action::Report => {
            if reply.rows.len() != 1 {
                state.broken.mixed += 1;
            }
            let known = state.highest.get(&operation.database);
            let old = known.and_then(|list| {
                let end = list.partition_point(|(at, _)| *at + AGE <= sent);
                end.checked_sub(1).map(|index| list[index].1)
            });
            if old > first {
                state.broken.stale += 1;
            }
        }
    }
}
