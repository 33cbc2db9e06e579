//! State of the stand-in platform: the metadata store and the database servers of one service.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    fs::File,
    io::Write as _,
    net::{Shutdown, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use rand::{Rng as _, rngs::SmallRng};
use serde_json::{Value, json};

/// Name of the service.
pub const SERVICE: &str = "huvo11a";
/// Interval at which servers report, as in the settings of the small deployments.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Maximum number of connections to a server from all nodes together.
pub const MAX_CONNECTIONS: usize = 32;
/// Time from the order of a promotion until the server leads.
pub const PROMOTION_TIME: Duration = Duration::from_millis(1000);
/// Time for which a replica is busy once commits were rolled back.
const ROLLBACK_TIME: Duration = Duration::from_millis(200);
/// Time after which a server drops a connection whose remote end is unreachable.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(3);

/// Shortest time until an order without an answer is carried out.
const SHORTEST_DELAY: Duration = Duration::from_secs(2);

/// Whether a condition that ends at a time still lasts.
pub fn lasts(until: Option<Instant>) -> bool {
    until.is_some_and(|end| Instant::now() < end)
}

pub struct Row {
    pub value: String,
    pub version: u64,
}

/// The metadata store.
#[derive(Default)]
pub struct Store {
    pub rows: BTreeMap<(String, String), Row>,
    pub version: u64,
    /// Version, table and key of each change, oldest first.
    pub changes: Vec<(u64, String, String)>,
    /// Whether the store answers 503 to everything.
    pub is_down: bool,
    /// Until when the store answers 503 to everything.
    pub down_until: Option<Instant>,
    /// Until when the store answers nothing.
    pub silent_until: Option<Instant>,
    /// Nodes that are turned away, and until when.
    pub refused: HashMap<String, Instant>,
}

impl Store {
    /// Whether no call succeeds.
    pub fn is_unavailable(&self) -> bool {
        self.is_down || lasts(self.down_until) || lasts(self.silent_until)
    }

    /// Whether the calls of a node are refused.
    pub fn refuses(&self, node: &str) -> bool {
        self.is_down || lasts(self.down_until) || lasts(self.refused.get(node).copied())
    }

    pub fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let version = self.version;
        let row_key = (table.to_string(), key.to_string());
        match value {
            Some(value) => {
                self.rows.insert(row_key, Row { value, version });
            }
            None => {
                self.rows.remove(&row_key);
            }
        }
        self.changes.push((version, table.into(), key.into()));
    }

    pub fn put_json(&mut self, table: &str, key: &str, value: &Value) {
        self.put(table, key, Some(BASE64_STANDARD.encode(value.to_string())));
    }
}

/// An entry of a server's log.
#[derive(Clone)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    /// Id of the statement that a client sent to commit.
    pub id: String,
    /// Item and data of each write.
    pub writes: Vec<(Vec<u8>, Vec<u8>)>,
}

/// The end of a primary's log on its way to a replica.
pub struct Transfer {
    arrives_at: Instant,
    /// Index of the primary.
    from: usize,
    term: u64,
    /// Length of the log.
    length: usize,
}

/// How orders and commits travel in drawn runs.
pub struct Network {
    pub rng: SmallRng,
    /// Share of the orders that get no answer and are carried out late.
    pub late_share: f64,
    /// Delay of the next order.
    pub next_delay: Option<Delay>,
}

/// When an order without an answer is carried out.
#[derive(Clone, Copy)]
pub struct Delay {
    pub time: Duration,
    /// Time after the next order, if that comes first.
    pub follow: Option<Duration>,
}

impl Network {
    /// Draws a delay of 2 to 12 s.
    fn draw_delay(&mut self) -> Delay {
        Delay {
            time: Duration::from_millis(self.rng.random_range(2000..=12_000)),
            follow: None,
        }
    }
}

/// A database server.
pub struct Server {
    pub id: String,
    pub zone: &'static str,
    pub port: u16,
    pub is_up: bool,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Commit>,
    /// Term of the pause, 0 if the replica receives.
    pub paused_term: u64,
    /// Whether the replica receives nothing.
    pub is_deaf: bool,
    /// Whether the server is cut off from the store.
    pub is_store_cut: bool,
    /// Whether the server has reported that it leaves.
    pub is_draining: bool,
    /// Number of starts; connections of an earlier one are closed.
    pub epoch: u64,
    pub born: u64,
    pub sequence: u64,
    pub last_report: Instant,
    /// Connections, and the names of the nodes at their other ends.
    pub streams: Vec<(String, TcpStream)>,
    /// Until when the replica receives nothing.
    pub deaf_until: Option<Instant>,
    /// Until when the process does not run.
    pub silent_until: Option<Instant>,
    /// Until when the server reaches no other server.
    pub isolated_until: Option<Instant>,
    /// Until when the server does not reach the store.
    pub cut_until: Option<Instant>,
    /// Until when the replica is busy with a rollback.
    pub busy_until: Option<Instant>,
    /// Additional delay of the commits that the replica receives, and until when it holds.
    pub lag: Option<(Instant, Duration)>,
    /// Nodes that do not reach the server, and until when.
    pub cut_nodes: HashMap<String, Instant>,
    /// Parts of the log that are on their way, first to arrive first.
    pub transfers: VecDeque<Transfer>,
}

impl Server {
    pub fn position(&self) -> String {
        let (term, number) = self.log.last().map_or((1, 0), |c| (c.term, c.number));
        format!("{term}.{number}")
    }

    pub fn status(&self) -> String {
        let role = if self.is_primary {
            "primary"
        } else {
            "replica"
        };
        let (term, position, held) = (self.term, self.position(), self.paused_term);
        format!("{role} {term} {position} {held} 0 0 {}", self.streams.len())
    }

    pub fn is_silent(&self) -> bool {
        lasts(self.silent_until)
    }

    /// Whether other servers reach the server.
    pub fn is_linked(&self) -> bool {
        !self.is_silent() && !lasts(self.isolated_until)
    }

    /// Whether the server is a replica that takes commits from its primary.
    fn receives(&self) -> bool {
        self.is_up
            && !self.is_primary
            && !self.is_deaf
            && self.paused_term == 0
            && !lasts(self.deaf_until)
            && self.is_linked()
    }

    /// Makes the log equal to a primary's log. Two logs that have an entry of the same term and number
    /// are equal up to it.
    fn follow(&mut self, log: &[Commit]) {
        let position = |entry: &Commit| (entry.term, entry.number);
        let end = self.log.len();
        let is_behind =
            end <= log.len() && self.log.last().map(position) == log[..end].last().map(position);
        if is_behind {
            self.log.extend_from_slice(&log[end..]);
        } else {
            self.log = log.to_vec();
            self.busy_until = Some(Instant::now() + ROLLBACK_TIME);
        }
    }

    /// Whether the log holds a position.
    pub fn holds(&self, term: u64, number: u64) -> bool {
        let last = self.log.last().map_or((1, 0), |c| (c.term, c.number));
        last >= (term, number) || number == 0
    }
}

/// Everything that the stand-ins share.
pub struct World {
    pub store: Store,
    pub servers: Vec<Server>,
    /// Highest fencing token seen.
    pub token: u64,
    /// Id of the server whose promotion was ordered last.
    pub ordered: Option<String>,
    /// Sender and time of the latest order.
    pub last_order: Option<(String, Instant)>,
    /// Id of the server that the latest order names.
    pub last_named: String,
    /// Node that last wrote a row of the table `failover`, and when.
    pub last_lease: Option<(String, Instant)>,
    /// Time from an order until its server leads.
    pub promotion_time: Duration,
    /// `None` if commits reach the replicas at once and all orders are answered.
    pub network: Option<Network>,
    /// Ids of servers that restarted under another id, and when their entries lapse.
    pub former_ids: Vec<(String, Instant)>,
    /// Term in which each statement was committed.
    pub committed: HashMap<String, u64>,
    /// Id and text of each statement of a client that a server ran.
    pub runs: Vec<(Vec<u8>, Vec<u8>)>,
    /// Term and statements in the log of each server that was promoted, at that moment.
    pub promoted: Vec<(u64, String, HashSet<String>)>,
}

pub struct Site {
    world: Mutex<World>,
    pub changed: Condvar,
    record: Mutex<File>,
    pub started: Instant,
}

/// Returns the time of the wall clock.
pub fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or_default()
}

impl Site {
    pub fn new(record: File, zones: &[&'static str]) -> Arc<Self> {
        let server = |(index, zone): (usize, &&'static str)| Server {
            id: format!("i-{:02x}", 0xa0 + index),
            zone,
            port: 0,
            // The fourth server belongs to a release and starts later.
            is_up: index < 3,
            is_primary: index == 0,
            term: 1,
            log: Vec::new(),
            paused_term: 0,
            is_deaf: false,
            is_store_cut: false,
            is_draining: false,
            epoch: 0,
            born: unix_millis(),
            sequence: 0,
            last_report: Instant::now(),
            streams: Vec::new(),
            deaf_until: None,
            silent_until: None,
            isolated_until: None,
            cut_until: None,
            busy_until: None,
            lag: None,
            cut_nodes: HashMap::new(),
            transfers: VecDeque::new(),
        };
        Arc::new(Self {
            world: Mutex::new(World {
                store: Store::default(),
                servers: zones.iter().enumerate().map(server).collect(),
                token: 0,
                ordered: None,
                last_order: None,
                last_named: String::new(),
                last_lease: None,
                promotion_time: PROMOTION_TIME,
                network: None,
                former_ids: Vec::new(),
                committed: HashMap::new(),
                runs: Vec::new(),
                promoted: Vec::new(),
            }),
            changed: Condvar::new(),
            record: Mutex::new(record),
            started: Instant::now(),
        })
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        let time = self.started.elapsed().as_secs_f64();
        let _ = writeln!(record, "{time:9.3} {text}");
    }

    /// Copies the primary's log to every replica that receives.
    pub fn replicate(&self, world: &mut World) {
        if world.network.is_some() {
            send_log(world);
            return;
        }
        let leading = world.servers.iter().enumerate();
        let leading = leading.filter(|(_, server)| server.is_up && server.is_primary);
        let Some((primary, _)) = leading.max_by_key(|(_, server)| server.term) else {
            return;
        };
        let term = world.servers[primary].term;
        let log = std::mem::take(&mut world.servers[primary].log);
        for server in &mut world.servers {
            if server.receives() {
                server.term = term;
                server.follow(&log);
            }
        }
        world.servers[primary].log = log;
        self.changed.notify_all();
    }

    /// Writes the entry of a server if the server reaches the store.
    pub fn report(&self, world: &mut World, index: usize) {
        let World { store, servers, .. } = world;
        let server = &mut servers[index];
        let is_cut = server.is_store_cut || lasts(server.cut_until);
        if !server.is_up || server.is_silent() || is_cut || store.is_unavailable() {
            return;
        }
        server.last_report = Instant::now();
        server.sequence += 1;
        let role = if server.is_primary {
            "primary"
        } else {
            "replica"
        };
        let state = if server.is_draining {
            "draining"
        } else {
            "ready"
        };
        let entry = |sequence: u64| {
            json!({
                "service": SERVICE, "addr": format!("127.0.0.1:{}", server.port),
                "zone": server.zone, "version": "v1", "slots": 4, "state": state,
                "cold_left_ms": 0, "db_role": role, "seq": sequence, "born": server.born,
            })
        };
        // The entry changes when more than the number of the report changes.
        let key = ("servers".to_string(), server.id.clone());
        if let Some(row) = store.rows.get(&key) {
            let known = BASE64_STANDARD.decode(&row.value).unwrap_or_default();
            let known: Value = serde_json::from_slice(&known).unwrap_or_default();
            let same = known["seq"].as_u64().is_some_and(|seq| known == entry(seq));
            if same {
                return;
            }
        }
        store.put_json("servers", &server.id, &entry(server.sequence));
        self.changed.notify_all();
    }

    /// Lets servers report, and removes the entries of servers that are silent for three intervals.
    pub fn run_reports(self: Arc<Self>, index: usize) {
        thread::sleep(HEARTBEAT / 4 * u32::try_from(index).unwrap_or_default());
        loop {
            let mut world = self.lock();
            self.report(&mut world, index);
            drop(world);
            thread::sleep(HEARTBEAT);
        }
    }

    pub fn run_expiry(self: Arc<Self>) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut world = self.lock();
            let World {
                store,
                servers,
                former_ids,
                ..
            } = &mut *world;
            former_ids.retain(|(id, lapses_at)| {
                let is_due = Instant::now() >= *lapses_at;
                if is_due {
                    store.put("servers", id, None);
                    self.changed.notify_all();
                }
                !is_due
            });
            for server in servers {
                let key = ("servers".to_string(), server.id.clone());
                if server.last_report.elapsed() >= HEARTBEAT * 3 && store.rows.contains_key(&key) {
                    store.put("servers", &server.id, None);
                    self.note(&format!("store: the entry of {} lapsed", server.id));
                    self.changed.notify_all();
                }
            }
        }
    }

    /// Delivers commits that are on their way to replicas; runs until the process ends.
    pub fn run_delivery(self: Arc<Self>) {
        loop {
            thread::sleep(Duration::from_millis(1));
            let mut world = self.lock();
            send_log(&mut world);
            if deliver(&mut world) {
                self.changed.notify_all();
            }
        }
    }

    /// Waits until a server and a node reach each other. Returns whether their connection is still
    /// open then.
    pub fn wait_for_link(&self, index: usize, epoch: u64, node: &str) -> bool {
        let mut unreachable_since = None;
        loop {
            let mut world = self.lock();
            let server = &mut world.servers[index];
            if server.epoch != epoch || !server.is_up {
                return false;
            }
            let is_cut = lasts(server.cut_nodes.get(node).copied());
            if is_cut {
                unreachable_since.get_or_insert_with(Instant::now);
            } else if !server.is_silent() {
                return unreachable_since.is_none_or(|since| since.elapsed() < UNREACHABLE_LIMIT);
            }
            drop(world);
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Closes the connections of nodes that were unreachable for too long.
    pub fn close_unreachable(&self, index: usize, nodes: &[String], time: Duration) {
        if time < UNREACHABLE_LIMIT {
            return;
        }
        for (node, stream) in &self.lock().servers[index].streams {
            if nodes.contains(node) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Returns how late an order is to be carried out that gets no answer.
    pub fn draw_delay(&self) -> Option<Delay> {
        let mut world = self.lock();
        let network = world.network.as_mut()?;
        if let Some(delay) = network.next_delay.take() {
            if delay.follow.is_some() {
                network.next_delay = Some(network.draw_delay());
            }
            return Some(delay);
        }
        let is_late = network.rng.random_bool(network.late_share);
        is_late.then(|| network.draw_delay())
    }

    /// Waits until an order that was sent at a time is to be carried out.
    pub fn wait_for_delay(&self, sent_at: Instant, delay: Delay) {
        let mut end = sent_at + delay.time;
        let mut follow = delay.follow;
        while Instant::now() < end {
            let last = self.lock().last_order.as_ref().map(|(_, at)| *at);
            let next = last.filter(|at| *at > sent_at);
            if let (Some(next_at), Some(time)) = (next, follow) {
                follow = None;
                end = end.min((next_at + time).max(sent_at + SHORTEST_DELAY));
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Crashes a server. Its entry lapses by itself. Returns whether it was up.
    pub fn crash(&self, index: usize) -> bool {
        let mut world = self.lock();
        let server = &mut world.servers[index];
        if !server.is_up {
            return false;
        }
        server.is_up = false;
        server.transfers.clear();
        server.silent_until = None;
        server.epoch += 1;
        for (_, stream) in server.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.note(&format!("server {} crashes", server.id));
        self.changed.notify_all();
        true
    }

    /// Lets a server report that it leaves.
    pub fn drain(&self, index: usize) {
        let mut world = self.lock();
        world.servers[index].is_draining = true;
        self.report(&mut world, index);
        self.note(&format!("server {} is draining", world.servers[index].id));
    }

    /// Ends a server that has reported that it leaves, and removes its entry.
    pub fn leave(&self, index: usize) {
        self.crash(index);
        self.remove_entry(index);
    }

    /// Starts or ends a condition of a server.
    pub fn disrupt(&self, index: usize, text: &str, change: impl FnOnce(&mut Server)) {
        let mut world = self.lock();
        change(&mut world.servers[index]);
        self.note(&format!("server {} {text}", world.servers[index].id));
        self.changed.notify_all();
    }

    /// Deletes the log of a server that has left. A later one gets another id.
    pub fn clear(&self, index: usize) {
        let mut world = self.lock();
        let server = &mut world.servers[index];
        server.log.clear();
        server.is_draining = false;
        server.is_primary = false;
        server.paused_term = 0;
        server.id.push('n');
    }

    /// Removes the entry of a server that has left.
    pub fn remove_entry(&self, index: usize) {
        let mut world = self.lock();
        let id = world.servers[index].id.clone();
        world.store.put("servers", &id, None);
        self.note(&format!("store: {id} has left"));
        self.changed.notify_all();
    }

    /// Starts a crashed server again, with its log and under a new id. It leads if no other server
    /// was promoted.
    pub fn restart(&self, index: usize) {
        let mut world = self.lock();
        let old = world.servers[index].id.clone();
        // The entry of the former process lapses after three intervals.
        let lapses_at = world.servers[index].last_report + HEARTBEAT * 3;
        world.former_ids.push((old.clone(), lapses_at));
        let server = &mut world.servers[index];
        server.id = format!("{old}r");
        server.is_up = true;
        server.is_draining = false;
        server.paused_term = 0;
        server.silent_until = None;
        server.born = unix_millis();
        server.sequence = 0;
        let (role, position) = (
            if server.is_primary {
                "primary"
            } else {
                "replica"
            },
            server.position(),
        );
        self.note(&format!(
            "server {old} is back as {} ({role}, log ends at {position})",
            server.id
        ));
        self.replicate(&mut world);
        self.report(&mut world, index);
    }

    /// Starts the new server of a release, with the log that it gets from the primary.
    pub fn join(&self, index: usize) {
        let mut world = self.lock();
        world.servers[index].is_up = true;
        world.servers[index].born = unix_millis();
        self.replicate(&mut world);
        self.report(&mut world, index);
        self.note(&format!(
            "server {} of a release starts",
            world.servers[index].id
        ));
    }

    /// Handles an order to promote a server and returns the status of the answer.
    pub fn order(self: &Arc<Self>, id: &str, holder: &str, token: u64) -> u16 {
        let mut world = self.lock();
        let promotion_time = world.promotion_time;
        let status = if token < world.token {
            409
        } else {
            world.token = token;
            match world.servers.iter().position(|s| s.id == id && s.is_up) {
                None => 409,
                Some(index) if world.servers[index].is_primary => 200,
                Some(index) => {
                    world.ordered = Some(id.to_string());
                    let (site, id) = (self.clone(), id.to_string());
                    thread::spawn(move || {
                        thread::sleep(promotion_time);
                        site.promote(index, &id);
                    });
                    200
                }
            }
        };
        drop(world);
        self.note(&format!(
            "order: {holder} orders to promote {id} under token {token}: {status}"
        ));
        self.changed.notify_all();
        status
    }

    fn promote(&self, index: usize, id: &str) {
        let mut world = self.lock();
        if !world.servers[index].is_up || world.servers[index].id != id {
            self.note(&format!("order: {id} is not running any more"));
            return;
        }
        let term = world.servers.iter().map(|s| s.term).max().unwrap_or(1) + 1;
        for (other, server) in world.servers.iter_mut().enumerate() {
            server.is_primary = other == index;
            server.transfers.clear();
            server.paused_term = 0;
        }
        let server = &mut world.servers[index];
        server.term = term;
        let statements = server.log.iter().map(|c| c.id.clone()).collect();
        let position = server.position();
        world.promoted.push((term, id.to_string(), statements));
        self.note(&format!(
            "server {id} leads term {term}; its log ends at {position}"
        ));
        self.replicate(&mut world);
        for server in 0..world.servers.len() {
            self.report(&mut world, server);
        }
    }

    /// Returns the acknowledged statements that the log of a promoted server lacks.
    pub fn lost(&self, acknowledged: &[String]) -> Vec<String> {
        let world = self.lock();
        let mut lost = Vec::new();
        for (term, server, statements) in &world.promoted {
            for id in acknowledged {
                let committed = world.committed.get(id).copied().unwrap_or(u64::MAX);
                if committed < *term && !statements.contains(id) {
                    lost.push(format!("{id}, committed in term {committed}, is not in the log of {server}, which was promoted in term {term}"));
                }
            }
        }
        lost
    }
}

/// Sends the end of the primary's log to the replicas that receive and have not been sent it.
fn send_log(world: &mut World) {
    let Some(network) = &mut world.network else {
        return;
    };
    let leading = world.servers.iter().enumerate();
    let leading = leading.filter(|(_, s)| s.is_up && s.is_primary && s.is_linked());
    let Some((from, primary)) = leading.max_by_key(|(_, s)| s.term) else {
        return;
    };
    let (term, length) = (primary.term, primary.log.len());
    let end = primary.log.last().map(|c| (c.term, c.number));
    for server in &mut world.servers {
        if !server.receives() {
            continue;
        }
        let is_sent = if let Some(last) = server.transfers.back() {
            (last.from, last.term, last.length) == (from, term, length)
        } else {
            let own_end = server.log.last().map(|c| (c.term, c.number));
            (server.term, own_end) == (term, end)
        };
        if is_sent {
            continue;
        }
        let lag = server.lag.filter(|(until, _)| lasts(Some(*until)));
        let lag = lag.map_or(Duration::ZERO, |(_, delay)| delay);
        let delay = Duration::from_micros(network.rng.random_range(1000..=8000)) + lag;
        let earlier = server.transfers.back().map(|last| last.arrives_at);
        let arrives_at = earlier
            .unwrap_or_else(Instant::now)
            .max(Instant::now() + delay);
        server.transfers.push_back(Transfer {
            arrives_at,
            from,
            term,
            length,
        });
    }
}

/// Applies what has arrived at the replicas. Returns whether anything has.
fn deliver(world: &mut World) -> bool {
    let mut has_arrived = false;
    for index in 0..world.servers.len() {
        loop {
            let server = &mut world.servers[index];
            let is_due = |first: &mut Transfer| first.arrives_at <= Instant::now();
            let Some(transfer) = server.transfers.pop_front_if(is_due) else {
                break;
            };
            if !server.receives() || transfer.from == index || server.term > transfer.term {
                continue;
            }
            let primary = &mut world.servers[transfer.from];
            if primary.term != transfer.term || primary.log.len() < transfer.length {
                continue;
            }
            let log = std::mem::take(&mut primary.log);
            let server = &mut world.servers[index];
            server.term = transfer.term;
            server.follow(&log[..transfer.length]);
            world.servers[transfer.from].log = log;
            has_arrived = true;
        }
    }
    has_arrived
}
