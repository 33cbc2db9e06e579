//! Open-loop load of callers, and checks of the guarantees that each answer must meet.

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
const CALLER_LATENCY: Duration = Duration::from_millis(1);
/// Time that a caller waits for the verdict after the deadline of its statement.
const VERDICT_WAIT: Duration = Duration::from_secs(5);
/// Milliseconds of simulated work in a short statement.
pub const SHORT_WORK_MS: u64 = 4;
/// Milliseconds of simulated work in a long statement.
pub const LONG_WORK_MS: u64 = 400;
/// Maximum age of the data that callers accept in listings and reports.
pub const LISTING_MAX_AGE: Duration = Duration::from_secs(2);

/// What a statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Inserts a row with a number that no other statement inserts.
    Write,
    /// Like `Write`, with a request id.
    WriteOnce,
    /// Reads the row that the caller wrote last.
    OwnRead,
    /// Reads the highest number; accepts data up to `LISTING_MAX_AGE` old.
    Listing,
    /// Long write of a billing run.
    Billing,
    /// Long read of a report; accepts data up to `LISTING_MAX_AGE` old.
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

    /// Returns the simulated work in milliseconds.
    pub const fn work_ms(self) -> u64 {
        match self {
            Self::Billing | Self::Report => LONG_WORK_MS,
            _ => SHORT_WORK_MS,
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

    /// Kills a node, as if its process ended.
    fn kill(&self, node: usize);

    /// Returns the number of reads run by replicas and by primaries.
    fn reads(&self) -> (u64, u64);
}

/// The outcome of a statement as its caller saw it.
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

/// Numbers of violated guarantees, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Acknowledged writes that the database does not hold at the end.
    pub lost: u64,
    /// Rows that were written or returned more than once.
    pub doubled: u64,
    /// Own reads without a row, and listings of data older than accepted.
    pub stale: u64,
    /// Writes that ran although their verdict says that they did not.
    pub wrong_verdict: u64,
    /// Own reads that returned another row, and listings without exactly one row.
    pub wrong_row: u64,
    /// Samples at which a server had more connections than its limit.
    pub over_cap: u64,
}

impl Violations {
    pub const fn list(&self) -> [(&'static str, u64); 6] {
        [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("stale", self.stale),
            ("wrong verdict", self.wrong_verdict),
            ("mixed", self.wrong_row),
            ("over the cap", self.over_cap),
        ]
    }

    pub fn total(&self) -> u64 {
        self.list().iter().map(|(_, count)| count).sum()
    }

    pub const fn add(&mut self, other: &Self) {
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.stale += other.stale;
        self.wrong_verdict += other.wrong_verdict;
        self.wrong_row += other.wrong_row;
        self.over_cap += other.over_cap;
    }
}

/// State shared by the callers of one proxy.
#[derive(Default)]
struct State {
    records: Vec<Record>,
    violations: Violations,
    /// Number of the row that was inserted last.
    last_number: u64,
    /// Statements without an outcome yet.
    in_flight: u64,
    /// Number and token of the last acknowledged write of each caller.
    last_writes: IndexMap<(DatabaseId, u32), (u64, Option<Token>)>,
    /// Highest number acknowledged so far, by time.
    acknowledged: IndexMap<DatabaseId, Vec<(Instant, u64)>>,
    /// Nodes to which the load balancer sends callers.
    nodes: Vec<usize>,
}

/// A stream of statements of one kind.
#[derive(Clone, Debug)]
pub struct Flow {
    pub database: DatabaseId,
    pub action: Action,
    /// Mean arrivals per second.
    pub rate: f64,
    pub deadline: Duration,
}

/// The callers of one proxy.
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
    /// Number of callers.
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

    /// Removes a node from the load balancer.
    pub fn remove_node(&self, node: usize) {
        self.lock().nodes.retain(|known| *known != node);
    }

    /// Counts a sample at which a server had more connections than its limit.
    pub fn count_over_cap(&self) {
        self.lock().violations.over_cap += 1;
    }

    /// Sends a flow of statements with random arrivals until `end`. The rate is `flow.rate`
    /// times `shape`, a function of the time since the start.
    pub async fn send_flow(
        &self,
        flow: Flow,
        seed: u64,
        end: Instant,
        shape: impl Fn(Duration) -> f64 + Send,
    ) {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut offset = 0.0_f64;
        loop {
            let at = start + Duration::from_secs_f64(offset);
            if at >= end {
                return;
            }
            sleep_until(at).await;
            let rate = flow.rate * shape(Duration::from_secs_f64(offset));
            if rate < 0.01 {
                offset += 0.05;
                continue;
            }
            let uniform: f64 = random.random_range(1e-9..1.0);
            offset += -uniform.ln() / rate;
            let operation = self.operation(&flow, &mut random);
            let load = self.clone();
            tokio::spawn(async move { load.send(operation).await });
        }
    }

    /// Creates the next statement of a flow. Returns it with the number of the row that it
    /// writes or should read; 0 without such a row.
    fn operation(&self, flow: &Flow, random: &mut SmallRng) -> (Operation, u64) {
        let mut state = self.lock();
        let caller = random.random_range(0..Self::CALLERS);
        let key = (flow.database.clone(), caller);
        let last_write = state.last_writes.get(&key).cloned();
        let work_ms = flow.action.work_ms();
        let (number, sql) = if flow.action.is_write() {
            state.last_number += 1;
            let number = state.last_number;
            let values = format!("({number}, work_ms({work_ms}))");
            (
                number,
                format!("INSERT INTO ledger (n, cost) VALUES {values}"),
            )
        } else if flow.action == Action::OwnRead {
            let number = last_write.as_ref().map_or(0, |(number, _)| *number);
            let columns = format!("n, 0 * work_ms({work_ms})");
            (
                number,
                format!("SELECT {columns} FROM ledger WHERE n = {number}"),
            )
        } else {
            (
                0,
                format!("SELECT max(n) + 0 * work_ms({work_ms}) FROM ledger"),
            )
        };
        state.in_flight += 1;
        let node = state.nodes[random.random_range(0..state.nodes.len())];
        let with_id = flow.action == Action::WriteOnce;
        let operation = Operation {
            database: flow.database.clone(),
            caller,
            node,
            action: flow.action,
            sql,
            token: last_write.and_then(|(_, token)| token),
            request: with_id.then(|| format!("request-{number}").into()),
            deadline: flow.deadline,
        };
        (operation, number)
    }

    /// Sends a statement and records its outcome.
    async fn send(self, (operation, number): (Operation, u64)) {
        let sent = Instant::now();
        sleep(CALLER_LATENCY).await;
        let limit = operation.deadline + VERDICT_WAIT;
        let result = timeout(limit, self.proxy.run(&operation)).await;
        let result = result
            .unwrap_or_else(|_| Err(Failure::may_have_run(FailureKind::Deadline, "no answer")));
        sleep(CALLER_LATENCY).await;
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
        state.in_flight -= 1;
        let failure = match result {
            Err(failure) => Some(failure),
            Ok(reply) => {
                check_reply(&mut state, operation, number, sent, &reply);
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

    /// Waits until no statement is in flight.
    pub async fn wait_idle(&self) {
        while self.lock().in_flight > 0 {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Compares the verdicts with the rows at the end of the run. `stored` holds, by database,
    /// how often each number is stored.
    pub fn finish(
        &self,
        stored: &IndexMap<DatabaseId, IndexMap<u64, u64>>,
    ) -> (Vec<Record>, Violations) {
        let mut state = self.lock();
        let records = std::mem::take(&mut state.records);
        let mut violations = state.violations;
        for record in records.iter().filter(|record| record.action.is_write()) {
            let counts = stored.get(&record.database);
            let count = counts.and_then(|counts| counts.get(&record.number));
            let count = count.copied().unwrap_or(0);
            violations.doubled += u64::from(count > 1);
            match record.failure.as_ref().map(|failure| failure.verdict) {
                None => violations.lost += u64::from(count == 0),
                Some(Verdict::NotRun) => violations.wrong_verdict += u64::from(count > 0),
                Some(Verdict::Ran | Verdict::MayHaveRun) => {}
            }
        }
        (records, violations)
    }
}

/// Checks an answer against the guarantees given to its caller, and updates the state that later
/// checks use.
fn check_reply(
    state: &mut State,
    operation: &Operation,
    number: u64,
    sent: Instant,
    reply: &Reply,
) {
    let value = |row: &Vec<String>| row.first()?.parse::<u64>().ok();
    let value_read = reply.rows.first().and_then(value);
    match operation.action {
        Action::Write | Action::WriteOnce | Action::Billing => {
            let acknowledged = state
                .acknowledged
                .entry(operation.database.clone())
                .or_default();
            let last = acknowledged.last().map_or(0, |(_, number)| *number);
            acknowledged.push((Instant::now(), last.max(number)));
            let key = (operation.database.clone(), operation.caller);
            let last_write = state.last_writes.entry(key).or_insert((0, None));
            let newer = |token: &Token| {
                last_write
                    .1
                    .as_ref()
                    .is_none_or(|known| known.point < token.point)
            };
            // Two writes of a caller may be in flight; the later one in the log counts.
            match &reply.token {
                Some(token) if newer(token) => *last_write = (number, reply.token.clone()),
                None if last_write.0 < number => *last_write = (number, None),
                _ => {}
            }
        }
        Action::OwnRead if number > 0 => match value_read {
            None => state.violations.stale += 1,
            Some(read) if read != number => state.violations.wrong_row += 1,
            Some(_) if reply.rows.len() > 1 => state.violations.doubled += 1,
            Some(_) => {}
        },
        Action::OwnRead => {}
        Action::Listing | Action::Report => {
            if reply.rows.len() != 1 {
                state.violations.wrong_row += 1;
            }
            let known = state.acknowledged.get(&operation.database);
            let required = known.and_then(|list| {
                let end = list.partition_point(|(at, _)| *at + LISTING_MAX_AGE <= sent);
                end.checked_sub(1).map(|index| list[index].1)
            });
            if required > value_read {
                state.violations.stale += 1;
            }
        }
    }
}
