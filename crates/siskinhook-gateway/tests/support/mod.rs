//! In-memory model of a group of three servers, behind the traits of the gateway.
#![allow(dead_code)] // each test file uses only a part of the module

pub mod replacement;
pub mod site;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use siskinhook_gateway::{
    Answer, Arrival, Configuration, Connection, ConnectionError, Consistency, Dialer, Discovery,
    Gateway, GatewaySettings, Instance, OrderOutcome, Orders, Query, ReplicationStatus, Route,
    ServerOp, ServerReply, Service, Session, TargetCode, TransactionState,
};
use siskinhook_types::{
    Batch, CommitOutcome, LogPoint, NodeId, Platform, PlatformError, Reading, Role, Row, RowWrite,
    ServerId, ServiceId, Term, VmRecord,
};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{Instant, sleep};

/// Time that a server takes to process a request.
const STEP: Duration = Duration::from_millis(1);

/// A server of the model.
#[derive(Clone, Debug)]
pub struct Server {
    pub role: Role,
    pub term: Term,
    /// Term of the end of the log while no commit of `term` is in it.
    pub former_term: Option<Term>,
    /// End of the applied log, which reads see.
    pub position: u64,
    /// End of the received log; a replica applies it only when it is promoted.
    pub received: u64,
    pub paused_term: Term,
    /// Until when the server receives no commits although it is not paused.
    pub deaf_until: Option<Instant>,
    /// Id under which the server restarted; `None` for the one that its number gives.
    pub id: Option<ServerId>,
    /// Number of restarts, each of which breaks the server's connections.
    pub restarts: u32,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// End of the log up to which the server acknowledged commits.
    pub acknowledged: u64,
    pub reachable: bool,
    /// Time after which a dial fails while the server is not reachable.
    pub dial_time: Duration,
    /// Whether the server handles no request although its connections stay open. It then goes on with
    /// those that it had received.
    pub unresponsive: bool,
    /// Number of `BEGIN` requests that the server will refuse because of load.
    pub busy_begins: u32,
    /// Number of control requests that the server will refuse because of load.
    pub busy_controls: u32,
    /// Error codes returned for the next statements instead of running them.
    pub errors: VecDeque<TargetCode>,
    /// Whether to close the connection after the next statement ran, without a reply.
    pub lose_answer: bool,
    pub cap: usize,
    pub open: usize,
    pub dials: u32,
    /// Statements that ran, each with the connection's session values at that time.
    pub ran: Vec<(String, BTreeMap<SmolStr, SmolStr>)>,
    /// For each statement that ran, whether the server was the primary.
    pub ran_as_primary: Vec<bool>,
}

/// Returns a time that no test reaches.
pub fn far_future() -> Instant {
    Instant::now() + Duration::from_hours(1)
}

pub type World = Rc<RefCell<Vec<Server>>>;

/// Returns a server that has just started.
pub fn server(role: Role) -> Server {
    Server {
        role,
        term: 1,
        former_term: None,
        position: 10,
        received: 10,
        paused_term: 0,
        deaf_until: None,
        id: None,
        restarts: 0,
        sync_replicas: 0,
        acknowledged: 0,
        reachable: true,
        dial_time: STEP,
        unresponsive: false,
        busy_begins: 0,
        busy_controls: 0,
        errors: VecDeque::new(),
        lose_answer: false,
        cap: 16,
        open: 0,
        dials: 0,
        ran: Vec::new(),
        ran_as_primary: Vec::new(),
    }
}

pub fn world() -> World {
    Rc::new(RefCell::new(vec![
        server(Role::Primary),
        server(Role::Replica),
        server(Role::Replica),
    ]))
}

/// Takes a server down. Its log and role outlast the restart, its connections and pause do not.
pub fn crash(world: &World, index: usize) {
    let server = &mut world.borrow_mut()[index];
    server.reachable = false;
    server.restarts += 1;
    server.paused_term = 0;
}

/// Starts a server that was taken down.
pub fn restart(world: &World, index: usize) {
    world.borrow_mut()[index].reachable = true;
}

/// First port of the addresses at which nodes relay to the servers.
pub const RELAY_PORTS: u16 = 100;

/// Servers that one node does not reach.
pub type Hidden = Rc<RefCell<HashSet<usize>>>;

pub struct FakeDialer {
    pub world: World,
    pub hidden: Hidden,
}

pub struct FakeConnection {
    world: World,
    index: usize,
    /// Restarts of the server before the connection was opened.
    restarts: u32,
    /// Servers that the node does not reach; empty for a connection through another node.
    hidden: Hidden,
    queue: VecDeque<String>,
    state: TransactionState,
    values: BTreeMap<SmolStr, SmolStr>,
    prepared: HashMap<String, String>,
    broken: Cell<bool>,
    /// Whether a commit waits for replicas that do not receive it.
    is_stuck: bool,
}

impl Server {
    /// Whether the next control request is refused because of load.
    fn is_control_refused(&mut self) -> bool {
        let refused = self.busy_controls > 0;
        self.busy_controls = self.busy_controls.saturating_sub(1);
        refused
    }

    /// Adds a commit of its term to the log of the primary.
    fn append(&mut self, commits: bool) {
        if commits {
            self.position += 1;
            self.former_term = None;
        }
        self.received = self.position;
    }

    /// Returns the term in which the log ends.
    fn log_term(&self) -> Term {
        self.former_term.unwrap_or(self.term)
    }

    /// Executes a control request and returns a row with the status after it.
    fn control(&mut self, verb: &str, term: &str) -> Bytes {
        let term: Term = term.parse().expect("a term");
        let is_primary = self.role == Role::Primary;
        if term > self.term && verb == "PAUSE" && !is_primary {
            self.paused_term = term;
        }
        if term > self.term && verb == "DEMOTE" {
            self.role = Role::Replica;
        }
        let is_primary = u64::from(self.role == Role::Primary);
        Bytes::from(format!(
            "{is_primary} {} {} {}",
            self.term, self.received, self.paused_term
        ))
    }
}

impl Drop for FakeConnection {
    fn drop(&mut self) {
        self.world.borrow_mut()[self.index].open -= 1;
    }
}

impl Dialer for FakeDialer {
    type Connection = FakeConnection;

    async fn dial(
        &self,
        _service: &ServiceId,
        server: &ServerId,
        address: SocketAddr,
    ) -> Result<FakeConnection, ConnectionError> {
        let relayed = address.port() >= RELAY_PORTS;
        let (index, hidden) = if relayed {
            let index = server[1..].parse().expect("valid in this model");
            (index, Hidden::default())
        } else {
            (usize::from(address.port()) - 1, self.hidden.clone())
        };
        self.world.borrow_mut()[index].dials += 1;
        let (reachable, dial_time) = {
            let world = self.world.borrow();
            let reachable = world[index].reachable && !hidden.borrow().contains(&index);
            (reachable, world[index].dial_time)
        };
        if !reachable {
            sleep(dial_time).await;
            return Err(ConnectionError::Unreachable("refused".into()));
        }
        sleep(STEP).await;
        let mut world = self.world.borrow_mut();
        if world[index].id.as_ref().is_some_and(|id| id != server) {
            return Err(ConnectionError::Refused(TargetCode::Misrouted));
        }
        if world[index].open >= world[index].cap {
            return Err(ConnectionError::Refused(TargetCode::TooMany));
        }
        world[index].open += 1;
        Ok(FakeConnection {
            world: self.world.clone(),
            index,
            restarts: world[index].restarts,
            hidden,
            queue: VecDeque::new(),
            state: TransactionState::Idle,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            broken: Cell::new(false),
            is_stuck: false,
        })
    }

    async fn reaches(&self, address: SocketAddr) -> bool {
        if address.port() >= RELAY_PORTS {
            sleep(STEP).await;
            return true;
        }
        let index = usize::from(address.port()) - 1;
        let (reachable, dial_time) = {
            let world = self.world.borrow();
            let reachable = world[index].reachable && !self.hidden.borrow().contains(&index);
            (reachable, world[index].dial_time)
        };
        sleep(if reachable { STEP } else { dial_time }).await;
        reachable
    }

    fn status(&self, reply: &ServerReply) -> Option<ReplicationStatus> {
        let row = String::from_utf8(reply.rows.first()?.to_vec()).ok()?;
        let fields: Vec<u64> = row
            .split(' ')
            .map(|f| f.parse().expect("valid in this model"))
            .collect();
        Some(ReplicationStatus {
            role: if fields[0] == 1 {
                Role::Primary
            } else {
                Role::Replica
            },
            term: fields[1],
            received: LogPoint::new(fields[1], fields[2]),
            paused_term: fields[3],
        })
    }
}

impl FakeConnection {
    fn handle(&mut self, text: &str) -> Result<ServerReply, ConnectionError> {
        let mut world = self.world.borrow_mut();
        let server = &mut world[self.index];
        let hidden = self.hidden.borrow().contains(&self.index);
        if hidden || !server.reachable || server.restarts != self.restarts || self.broken.get() {
            self.broken.set(true);
            return Err(ConnectionError::Closed("reset".into()));
        }
        let Some(text) = pass_on(text, server.restarts) else {
            return Ok(relay_refusal(self.state));
        };
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (point, text) = rest.split_once(' ').expect("valid in this model");
                let (_, number) = point.split_once('.').expect("valid in this model");
                (number.parse().expect("valid in this model"), text)
            }
            None => (0, text),
        };
        let is_primary = server.role == Role::Primary;
        let words: Vec<&str> = text.split(' ').collect();
        let mut rows = Vec::new();
        let mut replicated = None;
        let mut result = Ok(SmolStr::default());
        let lagging = after > server.position;
        match words[0] {
            _ if lagging => result = Err(TargetCode::Lagging),
            "BEGIN" if server.busy_begins > 0 => {
                server.busy_begins -= 1;
                result = Err(TargetCode::Busy);
            }
            "BEGIN" if words.len() == 1 && !is_primary => result = Err(TargetCode::ReadOnly),
            "BEGIN" => self.state = TransactionState::Open,
            "ROLLBACK" => self.state = TransactionState::Idle,
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
            }
            "SET" => {
                self.values.insert(words[1].into(), words[2].into());
            }
            "PREPARE" => {
                self.prepared.insert(words[1].into(), words[2..].join(" "));
            }
            "STATUS" => rows.push(server.control("STATUS", "0")),
            "PAUSE" | "DEMOTE" if server.is_control_refused() => result = Err(TargetCode::Busy),
            "PAUSE" | "DEMOTE" => {
                rows.push(server.control(words[0], words[1]));
            }
            _ if !server.errors.is_empty() => {
                result = Err(server.errors.pop_front().expect("valid in this model"));
            }
            verb => {
                let text = match verb {
                    "EXECUTE" => match self.prepared.get(words[1]) {
                        Some(stmt) => format!("{stmt} {}", words[2..].join(" ")),
                        None => "NOSTMT".into(),
                    },
                    _ => text.to_string(),
                };
                if text == "NOSTMT" {
                    result = Err(TargetCode::NoStatement);
                } else if text.starts_with("WRITE") && !is_primary {
                    result = Err(TargetCode::ReadOnly);
                } else {
                    let commits = text.starts_with("WRITE") || verb == "COMMIT";
                    server.append(commits);
                    let (term, end) = (server.term, server.position);
                    if verb == "COMMIT" {
                        self.state = TransactionState::Idle;
                    }
                    server.ran.push((text, self.values.clone()));
                    server.ran_as_primary.push(is_primary);
                    result = Ok("signature".into());
                    let lost = std::mem::take(&mut server.lose_answer);
                    replicated = commits.then_some((term, end));
                    self.broken.set(lost);
                }
            }
        }
        let point = LogPoint::new(server.log_term(), server.position);
        if let Some((term, end)) = replicated
            && !replicate(&mut world, self.index, term, end)
        {
            self.is_stuck = true;
        }
        if self.broken.get() {
            return Err(ConnectionError::Closed("reset".into()));
        }
        // A transaction stays open when a statement is refused because of load.
        let refused = matches!(result, Err(TargetCode::Busy));
        if result.is_err() && !refused && self.state == TransactionState::Open {
            self.state = TransactionState::Failed;
        }
        Ok(ServerReply {
            rows,
            result: result.map_err(|code| (code, Bytes::new())),
            state: self.state,
            point: Some(point),
        })
    }
}

/// Sends a commit of the server at `index` to the replicas that receive. Returns whether the commit
/// is acknowledged.
fn replicate(world: &mut [Server], index: usize, term: Term, end: u64) -> bool {
    let now = Instant::now();
    let receives = |s: &&mut Server| {
        s.role == Role::Replica
            && s.reachable
            && s.paused_term == 0
            && s.deaf_until.is_none_or(|until| until <= now)
            && s.term == term
    };
    let mut copies = 0;
    for replica in world.iter_mut().filter(receives) {
        replica.received = end;
        replica.former_term = None;
        copies += 1;
    }
    let primary = &mut world[index];
    let is_acknowledged = copies >= primary.sync_replicas;
    if is_acknowledged {
        primary.acknowledged = end;
    }
    is_acknowledged
}

/// Returns the request that a relaying node passes on to a server. In this model it has read no row
/// since a server restarted, so it does not answer for the server's log.
fn pass_on(text: &str, restarts: u32) -> Option<&str> {
    match text.strip_prefix("WITNESS ") {
        Some(_) if restarts > 0 => None,
        Some(request) => Some(request),
        None => Some(text),
    }
}

/// Returns the reply of a relaying node that passes nothing on.
fn relay_refusal(state: TransactionState) -> ServerReply {
    ServerReply {
        rows: Vec::new(),
        result: Err((TargetCode::Busy, Bytes::new())),
        state,
        point: None,
    }
}

fn after_prefix(after: Option<LogPoint>) -> String {
    after.map_or_else(String::new, |p| format!("AFTER {}.{} ", p.term, p.position))
}

impl Connection for FakeConnection {
    // Bytes that are not ASCII are escaped, so that different texts stay different.
    fn push(&mut self, op: &ServerOp<'_>) {
        self.queue.push_back(match op {
            ServerOp::Begin { read_only, after } => {
                format!(
                    "{}BEGIN{}",
                    after_prefix(*after),
                    if *read_only { " READ" } else { "" }
                )
            }
            ServerOp::Rollback => "ROLLBACK".into(),
            ServerOp::Reset => "RESET".into(),
            ServerOp::Set { name, value } => {
                format!("SET {} {}", name.escape_ascii(), value.escape_ascii())
            }
            ServerOp::Prepare { name, writes, text } => {
                format!(
                    "PREPARE {name} {} {}",
                    if *writes { "WRITE" } else { "READ" },
                    text.escape_ascii()
                )
            }
            ServerOp::Forward { after, text, .. } => {
                format!("{}{}", after_prefix(*after), text.escape_ascii())
            }
            ServerOp::Execute {
                after,
                name,
                arguments,
                ..
            } => {
                let (after, arguments) = (after_prefix(*after), arguments.escape_ascii());
                format!("{after}EXECUTE {name} {arguments}")
            }
            ServerOp::Status => "STATUS".into(),
            ServerOp::Witness { received } => {
                let request = if *received { "STATUS" } else { "ROLLBACK" };
                format!("WITNESS {request}")
            }
            ServerOp::Pause(term) => format!("PAUSE {term}"),
            ServerOp::Demote(term) => format!("DEMOTE {term}"),
        });
    }

    async fn flush(&mut self) -> Result<(), ConnectionError> {
        Ok(())
    }

    async fn next(&mut self) -> Result<ServerReply, ConnectionError> {
        sleep(STEP).await;
        while self.world.borrow()[self.index].unresponsive {
            sleep(STEP).await;
        }
        let text = self.queue.pop_front().expect("a request is outstanding");
        let reply = self.handle(&text);
        if self.is_stuck {
            std::future::pending::<()>().await;
        }
        reply
    }

    fn outstanding(&self) -> usize {
        self.queue.len()
    }

    fn is_open(&mut self) -> bool {
        !self.broken.get()
    }
}

pub fn instance(index: usize, role: Role) -> Instance {
    Instance {
        id: format_smolstr!("s{index}"),
        service: "svc".into(),
        address: format!("127.0.0.1:{}", index + 1)
            .parse()
            .expect("valid in this model"),
        zone: "z".into(),
        draining: false,
        role,
        started: 1,
        sequence: 1,
    }
}

pub fn configuration(version: u64, databases: &[(&str, Consistency)]) -> Configuration {
    let route = |(name, consistency): &(&str, Consistency)| {
        let route = Route {
            database: (*name).into(),
            service: "svc".into(),
            consistency: *consistency,
            staleness: Duration::from_millis(1500),
            timeout: Duration::from_millis(800),
            objective: Duration::from_millis(100),
            priority: 1,
        };
        (SmolStr::from(*name), Rc::new(route))
    };
    Configuration {
        version,
        routes: databases.iter().map(route).collect(),
        services: HashMap::from([(
            "svc".into(),
            Service {
                connections: 16,
                sync_replicas: 1,
            },
        )]),
        idle_limit: Some(Duration::from_secs(3)),
    }
}

pub const DATABASES: [(&str, Consistency); 3] = [
    ("strong", Consistency::Strong),
    ("bounded", Consistency::Bounded),
    ("own", Consistency::ReadYourWrites),
];

/// Creates a node that knows all servers of the model.
pub fn node(name: &str, world: &World) -> Rc<Gateway<FakeDialer>> {
    seeded_node(name, world, 1)
}

/// Creates a node whose random choices derive from `seed`.
pub fn seeded_node(name: &str, world: &World, seed: u64) -> Rc<Gateway<FakeDialer>> {
    node_with(name, world, seed, GatewaySettings::default())
}

pub fn node_with(
    name: &str,
    world: &World,
    seed: u64,
    settings: GatewaySettings,
) -> Rc<Gateway<FakeDialer>> {
    node_knowing(name, world, seed, settings, &[0, 1, 2])
}

/// Creates a node that knows only some servers of the model.
pub fn node_knowing(
    name: &str,
    world: &World,
    seed: u64,
    settings: GatewaySettings,
    servers: &[usize],
) -> Rc<Gateway<FakeDialer>> {
    let dialer = FakeDialer {
        world: world.clone(),
        hidden: Hidden::default(),
    };
    let gateway = Gateway::new(name.into(), "z".into(), dialer, seed, settings);
    gateway.configure(configuration(1, &DATABASES), "test");
    for &index in servers {
        let role = world.borrow()[index].role;
        gateway.discover(instance(index, role));
    }
    gateway.set_discovered();
    gateway
}

/// Sends `text` as a caller's statement. Its first words determine the command.
pub async fn ask<D: Dialer>(session: &mut Session<D>, text: &str) -> Answer {
    use siskinhook_gateway::{Command, PreparedStatement};
    let words: Vec<&str> = text.split(' ').collect();
    let command = match words[0] {
        "BEGIN" => Command::Begin {
            read_only: words.len() > 1,
        },
        "COMMIT" => Command::Commit,
        "ROLLBACK" => Command::Rollback,
        "READ" => Command::Read,
        "WRITE" => Command::Write,
        "SET" => Command::Set {
            name: words[1].to_string().into(),
            value: words[2].to_string().into(),
        },
        "PREPARE" => Command::Prepare {
            name: words[1].to_string().into(),
            stmt: PreparedStatement {
                writes: words[2] == "WRITE",
                text: words[3].to_string().into(),
            },
        },
        "EXECUTE" => Command::Execute {
            name: words[1].to_string().into(),
            arguments: words[2..].join(" ").into(),
        },
        "DEALLOC" => Command::Deallocate {
            name: words[1].to_string().into(),
        },
        word => panic!("{word} is no command of the tests"),
    };
    let query = Query {
        id: "q".into(),
        text: text.to_string().into(),
        command: Some(command),
    };
    session.handle(&query, Arrival::now()).await
}

/// A platform table with its own clock, shared by the nodes.
#[derive(Clone, Default)]
pub struct Table {
    rows: Arc<Mutex<BTreeMap<SmolStr, Row>>>,
    /// Number of the table's history and when it began; `None` if the table was never restored.
    era: Arc<Mutex<Option<(u64, Instant)>>>,
    /// Prefix of keys whose rows are lost as soon as they are written.
    lost: Arc<Mutex<Option<&'static str>>>,
    /// Milliseconds by which the clock went back with a restore.
    clock_back: Arc<AtomicU64>,
    /// Whether the table answers nothing.
    down: Arc<AtomicBool>,
    /// Number of readings of each row.
    reads: Arc<Mutex<BTreeMap<SmolStr, usize>>>,
}

impl Table {
    /// Writes a row.
    pub async fn put(&self, key: &str, value: serde_json::Value) {
        let write = RowWrite {
            key: key.into(),
            value: Some(value),
        };
        let batch = Batch {
            writes: vec![write],
            ..Batch::default()
        };
        let outcome = self.commit(batch).await;
        assert_eq!(outcome, Ok(CommitOutcome::Applied));
    }

    fn count_read(&self, key: &str) {
        let mut reads = self.reads.lock().expect("valid in this model");
        *reads.entry(key.into()).or_default() += 1;
    }

    /// Returns how often a row was read.
    pub fn reads(&self, key: &str) -> usize {
        let reads = self.reads.lock().expect("valid in this model");
        reads.get(key).copied().unwrap_or_default()
    }

    /// Lets all calls fail, or succeed again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    async fn check_up(&self) -> Result<(), PlatformError> {
        if self.down.load(Ordering::Relaxed) {
            sleep(STEP).await;
            return Err(PlatformError::NotDone("down".into()));
        }
        Ok(())
    }

    /// Loses the rows whose keys begin so, also those that are written later.
    pub fn lose(&self, prefix: &'static str) {
        *self.lost.lock().expect("valid in this model") = Some(prefix);
    }

    /// Comes back from a copy without any row.
    pub fn restore_empty(&self) {
        self.rows.lock().expect("valid in this model").clear();
        self.begin_era();
    }

    /// Comes back from a copy with all rows and with a clock that is behind by `millis`.
    pub fn restore_with_clock_back(&self, millis: u64) {
        self.clock_back.store(millis, Ordering::Relaxed);
        self.begin_era();
    }

    fn begin_era(&self) {
        let mut era = self.era.lock().expect("valid in this model");
        let next = era.map_or(1, |(number, _)| number + 1);
        *era = Some((next, Instant::now()));
    }
}

thread_local! {
    /// Start of the table service's clock.
    static START: Instant = Instant::now();
}

pub fn clock() -> u64 {
    START.with(|start| u64::try_from(start.elapsed().as_millis()).expect("valid in this model"))
        + 100_000
}

impl Platform for Table {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.check_up().await?;
        Ok(self
            .rows
            .lock()
            .expect("valid in this model")
            .get(key)
            .cloned())
    }

    async fn read(&self, key: &str) -> Result<Reading, PlatformError> {
        self.count_read(key);
        let clock = Some(clock() - self.clock_back.load(Ordering::Relaxed));
        let row = self.get(key).await?;
        let era = *self.era.lock().expect("valid in this model");
        Ok(Reading {
            version: row.as_ref().map_or(0, |row| row.version),
            row,
            clock,
            era: era.map_or(0, |(number, _)| number),
            era_age: era.map_or(Duration::MAX, |(_, start)| start.elapsed()),
        })
    }

    async fn list(&self, _: &str, _: &str, _: usize) -> Result<Vec<Row>, PlatformError> {
        Ok(Vec::new())
    }

    async fn commit(&self, batch: Batch) -> Result<CommitOutcome, PlatformError> {
        self.check_up().await?;
        let mut rows = self.rows.lock().expect("valid in this model");
        if let Some(conflict) = batch.conflict(&rows) {
            return Ok(conflict);
        }
        let lost = *self.lost.lock().expect("valid in this model");
        for write in batch.writes {
            if lost.is_some_and(|prefix| write.key.starts_with(prefix)) {
                continue;
            }
            let version = rows.get(&write.key).map_or(1, |row| row.version + 1);
            let value = write.value.expect("no row is removed");
            let key = write.key.clone();
            rows.insert(
                write.key,
                Row {
                    key,
                    version,
                    value,
                },
            );
        }
        Ok(CommitOutcome::Applied)
    }

    async fn put_object(&self, _: &str, _: Bytes) -> Result<(), PlatformError> {
        Err(PlatformError::NotDone("no objects".into()))
    }

    async fn get_object(&self, _: &str) -> Result<Option<Bytes>, PlatformError> {
        Ok(None)
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        Ok(Vec::new())
    }
}

/// Entries of servers that a node reads on demand.
#[derive(Clone)]
pub struct Entries {
    pub gateway: Rc<Gateway<FakeDialer>>,
    pub instances: Rc<RefCell<Vec<Instance>>>,
}

impl Discovery for Entries {
    async fn refresh(&self) -> Result<(), PlatformError> {
        for instance in self.instances.borrow().iter() {
            self.gateway.discover(instance.clone());
        }
        Ok(())
    }
}

/// A promotion order as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub at: u64,
    pub holder: NodeId,
    pub server: ServerId,
    pub token: u64,
}

/// Executes promotion orders in the model.
#[derive(Clone)]
pub struct FakeOrders {
    pub world: World,
    pub seen: Rc<RefCell<Vec<Order>>>,
    /// Number of orders that get no answer and are not executed.
    pub unanswered: Rc<Cell<u32>>,
    /// Time after which orders without an answer are carried out nevertheless; `None` for never.
    pub late: Rc<Cell<Option<Duration>>>,
    /// Time from an order to its effect.
    pub delay: Rc<Cell<Duration>>,
    /// Number of commits that the promoted servers had not received when they were promoted.
    pub missing: Rc<Cell<u64>>,
    /// Ends of the logs of the promoted servers, each with the term that they have led since.
    pub ends: Rc<RefCell<Vec<LogPoint>>>,
}

impl FakeOrders {
    pub fn new(world: &World) -> Self {
        Self {
            world: world.clone(),
            seen: Rc::default(),
            unanswered: Rc::default(),
            late: Rc::default(),
            delay: Rc::default(),
            missing: Rc::default(),
            ends: Rc::default(),
        }
    }
}

impl Orders for FakeOrders {
    async fn promote(
        &self,
        _service: &ServiceId,
        server: &ServerId,
        holder: &NodeId,
        token: u64,
    ) -> OrderOutcome {
        let newest = self.seen.borrow().iter().map(|order| order.token).max();
        self.seen.borrow_mut().push(Order {
            at: clock(),
            holder: holder.clone(),
            server: server.clone(),
            token,
        });
        if newest.is_some_and(|newest| token < newest) {
            return OrderOutcome::Refused;
        }
        if self.unanswered.get() > 0 {
            self.unanswered.set(self.unanswered.get() - 1);
            if let Some(late) = self.late.get() {
                let (orders, server) = (self.clone(), server.clone());
                tokio::task::spawn_local(async move {
                    sleep(late).await;
                    let newest = orders.seen.borrow().iter().map(|order| order.token).max();
                    if newest == Some(token) && orders.is_running(&server) {
                        orders.accept(&server);
                    }
                });
            }
            return OrderOutcome::Unanswered;
        }
        self.accept(server);
        OrderOutcome::Accepted
    }
}

impl FakeOrders {
    /// Whether the process that an order names is running.
    fn is_running(&self, server: &ServerId) -> bool {
        let index = self.index_of(server);
        let world = self.world.borrow();
        let is_named = world[index].id.as_ref().is_none_or(|id| id == server);
        world[index].reachable && is_named
    }

    fn index_of(&self, server: &ServerId) -> usize {
        let world = self.world.borrow();
        let restarted = world.iter().position(|s| s.id.as_ref() == Some(server));
        restarted.unwrap_or_else(|| server[1..].parse().expect("valid in this model"))
    }

    /// Promotes a server after the time that a promotion takes.
    fn accept(&self, server: &ServerId) {
        let index = self.index_of(server);
        let orders = self.clone();
        let delay = self.delay.get();
        if delay.is_zero() {
            orders.carry_out(index);
        } else {
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                orders.carry_out(index);
            });
        }
    }

    fn carry_out(&self, index: usize) {
        let mut world = self.world.borrow_mut();
        let positions = world.iter().map(|server| server.acknowledged);
        let missing = positions.max().unwrap_or_default();
        let missing = missing.saturating_sub(world[index].received);
        self.missing.set(self.missing.get() + missing);
        let terms = world.iter().map(|server| server.term);
        let term = terms.max().expect("valid in this model") + 1;
        let end = LogPoint::new(term, world[index].received);
        self.ends.borrow_mut().push(end);
        for server in world.iter_mut() {
            if server.reachable {
                server.role = Role::Replica;
                server.term = term;
            }
            server.paused_term = 0;
        }
        world[index].position = world[index].received;
        world[index].role = Role::Primary;
    }
}
