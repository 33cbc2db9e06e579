//! The stand-ins of a small deployment and its nodes.

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    client::Client,
    database::{Database, MAX_CONNECTIONS, SERVICE},
    http,
    node::Node,
    record::Record,
    store::Store,
};

/// Zones of the nodes, two in each.
const ZONES: [&str; 4] = ["split-a", "split-b", "sinj-a", "omis-a"];
/// Zones of the servers; the last one starts only in a release.
const SERVER_ZONES: [&str; 4] = ["split-a", "split-b", "sinj-a", "split-b"];
/// Database with strong reads.
pub const ORDERS: &str = "lepu270";
/// Time for which the connection of an order without an answer stays open.
const UNANSWERED: Duration = Duration::from_secs(3);
/// Time for the nodes to be ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The stand-ins and the nodes of a run.
pub struct Site {
    pub database: Arc<Database>,
    #[allow(dead_code)]
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    pub record: Arc<Record>,
    /// Addresses of the nodes that receive clients.
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// Addresses of the store and of the promotion service.
    platform: (SocketAddr, SocketAddr),
    directory: PathBuf,
}

fn configuration() -> serde_json::Value {
    let route = |host: &str, kind: &str, timeout: u64, slo: u64| {
        json!({
            "name": format!("r-{host}"), "host": host, "prefix": "/", "kind": kind,
            "timeout_ms": timeout, "latency_slo_ms": slo, "priority": 1, "service": SERVICE,
            "max_attempts": 2, "max_staleness_ms": 1500,
        })
    };
    json!({
        "version": 7,
        "routes": [
            route(ORDERS, "primary", 800, 120),
            route("fiti832ti23", "read_your_writes", 800, 200),
            route("xapu221ny95", "bounded_staleness", 1500, 400),
        ],
        "services": [{"name": SERVICE, "max_conns": MAX_CONNECTIONS, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": 3000},
    })
}

impl Site {
    /// Starts everything; `None` if the nodes are not ready in time.
    pub fn start(record: &Arc<Record>) -> Option<Self> {
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&directory).ok()?;
        let store = Arc::new(Store::new());
        let database = Database::start(&SERVER_ZONES, &store, record.clone());
        store.put("op", "config", &configuration(), true);
        let listener = TcpListener::bind("127.0.0.1:0").ok()?;
        let store_address = listener.local_addr().ok()?;
        let rows = store.clone();
        http::serve(listener, move |request| {
            rows.answer(&request.method, &request.path, &request.body)
        });
        let orders = serve_orders(&database)?;
        let mut nodes = Vec::new();
        for index in 0..ZONES.len() * 2 {
            let mut node = Node::new(index, ZONES[index / 2], store_address, orders, &directory);
            node.start().ok()?;
            nodes.push(node);
        }
        let site = Self {
            database,
            store,
            nodes,
            record: record.clone(),
            addresses: Arc::default(),
            platform: (store_address, orders),
            directory,
        };
        let limit = Instant::now() + START_LIMIT;
        while !site.nodes.iter().all(Node::is_ready) {
            if Instant::now() >= limit {
                record.line("the nodes are not ready");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.line("all nodes are ready");
        *site.addresses.lock().unwrap() = site.nodes.iter().map(|node| node.callers).collect();
        Some(site)
    }

    /// Adds a node in the last zone. It receives clients once it is ready; returns whether it is.
    pub fn add_node(&mut self) -> bool {
        let (store, orders) = self.platform;
        let (index, zone) = (self.nodes.len(), ZONES[ZONES.len() - 1]);
        let mut node = Node::new(index, zone, store, orders, &self.directory);
        if node.start().is_err() {
            return false;
        }
        let limit = Instant::now() + START_LIMIT;
        while !node.is_ready() && Instant::now() < limit {
            thread::sleep(Duration::from_millis(20));
        }
        let is_ready = node.is_ready();
        self.addresses.lock().unwrap().push(node.callers);
        self.nodes.push(node);
        is_ready
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Serves the promotion service.
fn serve_orders(database: &Arc<Database>) -> Option<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").ok()?;
    let address = listener.local_addr().ok()?;
    let database = database.clone();
    http::serve(listener, move |request| {
        let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let token = request
            .header("fencing-token")
            .and_then(|token| token.parse().ok());
        let (Some(id), Some(token)) = (body["id"].as_str(), token) else {
            return (400, json!({}));
        };
        let holder = request.header("lease-holder").unwrap_or_default();
        match database.promote(id, holder, token) {
            Some(status) => (status, json!({})),
            None => {
                thread::sleep(UNANSWERED);
                (0, json!({}))
            }
        }
    });
    Some(address)
}

/// Clients that write until they are told to stop.
pub struct Writers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    /// Starts `count` clients. Each writes its own item, alone and in transactions. Every second one has a
    /// session for each write, at one node after the other; the others keep theirs until it ends.
    pub fn start(site: &Site, count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let number = Arc::new(AtomicU64::new(1));
        let addresses = &site.addresses;
        let threads = (0..count).map(|client| {
            let (stop, number, addresses) = (stop.clone(), number.clone(), addresses.clone());
            let (database, record) = (site.database.clone(), site.record.clone());
            thread::spawn(move || {
                let mut node = client;
                while !stop.load(Ordering::Relaxed) {
                    let address = {
                        let addresses = addresses.lock().unwrap();
                        addresses[node % addresses.len()]
                    };
                    node += 1;
                    let Some(mut session) = Client::open(address, ORDERS) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    while !stop.load(Ordering::Relaxed) {
                        let number = number.fetch_add(1, Ordering::Relaxed);
                        let goes_on = write(&mut session, client, number, &database, &record);
                        thread::sleep(Duration::from_millis(20));
                        if !goes_on || client % 2 == 1 {
                            break;
                        }
                    }
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Clients of one node that read items which nobody writes any more.
pub struct Readers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<(usize, usize)>>,
}

impl Readers {
    /// Starts `count` clients. `last` holds the latest acknowledged data of each item.
    pub fn start(
        site: &Site,
        address: SocketAddr,
        count: usize,
        last: Vec<(String, String)>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|client| {
            let (stop, last, record) = (stop.clone(), last.clone(), site.record.clone());
            thread::spawn(move || {
                let (mut answered, mut stale, mut number) = (0, 0, client * 1_000_000);
                while !stop.load(Ordering::Relaxed) {
                    let Some(mut session) = Client::open(address, ORDERS) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        let (item, data) = &last[number % last.len()];
                        let id = format!("{number:016x}");
                        let Some(answer) = session.query(&id, &format!("READ {item}")) else {
                            record.line(&format!("read {id} {item}: no answer"));
                            break;
                        };
                        let is_stale = answer.result.is_ok() && answer.rows != [data.clone()];
                        answered += usize::from(answer.result.is_ok());
                        stale += usize::from(is_stale);
                        if is_stale || answer.result.is_err() {
                            record.line(&format!(
                                "read {id} {item}: {:?} {:?}, acknowledged before: {data}{}",
                                answer.result,
                                answer.rows,
                                if is_stale { ", STALE" } else { "" }
                            ));
                        }
                        if answer.result.is_err() {
                            thread::sleep(Duration::from_millis(20));
                        }
                    }
                }
                (answered, stale)
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    /// Returns how many reads succeeded, and how many of them lacked an acknowledged write.
    pub fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default())
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

/// Writes once, every fourth time in a transaction. Returns whether the session goes on.
fn write(
    session: &mut Client,
    client: usize,
    number: u64,
    database: &Database,
    record: &Record,
) -> bool {
    let id = format!("{:016x}", number);
    let (item, data) = (format!("item{client}"), format!("d{number}"));
    let text = format!("WRITE {item} {data}");
    let answer = if number.is_multiple_of(4) {
        let texts = ["BEGIN".to_string(), text, "COMMIT".to_string()];
        let mut last = None;
        for (index, text) in texts.iter().enumerate() {
            last = session.query(&format!("{id}{index}"), text);
            if last.as_ref().is_none_or(|answer| answer.result.is_err()) {
                break;
            }
        }
        last
    } else {
        session.query(&id, &text)
    };
    let outcome = answer.as_ref().map(|answer| answer.result.clone());
    record.line(&format!("write {item}={data}: {outcome:?}"));
    match answer {
        Some(answer) if answer.result.is_ok() => {
            let mut state = database.lock();
            state.acknowledged.push((item, data, Instant::now()));
            true
        }
        Some(answer) => answer.is_promise() && answer.state == "I",
        None => false,
    }
}
