//! A randomized soak: the real program as separate processes between stand-ins, with faults from
//! outside. The promises to callers are checked from what callers and servers see.
//!
//! `SOAK_SEEDS=100-149 SOAK_SECONDS=20 SOAK_NODES=6 cargo test --release --test soak` plays
//! further seeds. Logs of the nodes stay in `target/tmp/soak/SEED`.

mod callers;
mod faults;
mod history;
mod nodes;
mod proxy;
mod servers;
mod store;

use std::{
    fs,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use callers::{Caller, Database, STALENESS, is_served};
use faults::{Fault, Planned, Site, plan};
use history::{Freshness, History};
use nodes::Node;
use proxy::{Link, Proxy};
use rustix::process::Signal;
use servers::{CONNECTIONS, Servers};
use store::{Store, StoreFault};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Seeds played without other orders: one run of each kind, and every seed that failed once.
const SEEDS: [u64; 2] = [
    1, // pauses, crashes and a store that is down
    2, // ways that are cut, stops and late replicas
];
/// Time in which faults begin.
const LENGTH: Duration = Duration::from_secs(8);
const ZONES: [&str; 3] = ["a", "b", "c"];
const GROUPS: usize = 2;
const CALLERS: usize = 10;
/// Attempts to write through a node after all faults have ended; each takes up to some seconds.
const ATTEMPTS: u32 = 60;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(500);

struct Soak {
    seed: u64,
    site: Site,
    history: Arc<History>,
    store: Arc<Store>,
    servers: Arc<Servers>,
    nodes: Mutex<Vec<Node>>,
    /// For each node, the proxies of all servers, by group.
    ways: Vec<Vec<Proxy>>,
    databases: Vec<Database>,
    version: Mutex<u64>,
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let parse = |text: &str| text.parse().expect("SOAK_SEEDS is FIRST-LAST");
    (parse(first)..=parse(last)).collect()
}

fn databases() -> Vec<Database> {
    let kinds = [
        ("strong", Freshness::Strong),
        ("bounded", Freshness::Bounded(STALENESS)),
        ("own", Freshness::Own(STALENESS)),
    ];
    let of_group = |group| {
        kinds.map(|(kind, freshness)| Database {
            name: format!("{kind}{group}"),
            group,
            freshness,
        })
    };
    (0..GROUPS).flat_map(of_group).collect()
}

fn configuration(version: u64, databases: &[Database], services: &[String]) -> String {
    let route = |database: &Database| {
        let kind = match database.freshness {
            Freshness::Strong => "primary",
            Freshness::Bounded(_) => "bounded_staleness",
            Freshness::Own(_) => "read_your_writes",
        };
        serde_json::json!({
            "name": database.name, "host": database.name, "kind": kind, "timeout_ms": 1500,
            "latency_slo_ms": 100, "priority": 1, "service": services[database.group],
            "max_staleness_ms": STALENESS.as_millis(),
        })
    };
    let service = |name: &String| serde_json::json!({"name": name, "max_conns": CONNECTIONS, "sync_replicas": 1});
    serde_json::json!({
        "version": version, "limits": {"tx_idle_ms": 2000},
        "routes": databases.iter().map(route).collect::<Vec<_>>(),
        "services": services.iter().map(service).collect::<Vec<_>>(),
    })
    .to_string()
}

fn service_names() -> Vec<String> {
    (0..GROUPS).map(|group| format!("svc{group}")).collect()
}

impl Soak {
    async fn start(seed: u64, folder: &Path) -> Arc<Self> {
        let nodes = number("SOAK_NODES").map_or(4, |n| usize::try_from(n).unwrap_or(4));
        let history = Arc::new(History::default());
        let store = Store::new(nodes);
        let names = service_names();
        let servers = Servers::start(&names, &ZONES, history.clone(), store.clone()).await;
        let databases = databases();
        store.put("op", "config", Some(configuration(1, &databases, &names)));
        let mut ways = Vec::new();
        let mut started = Vec::new();
        for index in 0..nodes {
            let mut proxies = Vec::new();
            for (id, address) in servers.addresses() {
                let proxy = Proxy::start(address).await;
                store.set_way(index, &id, proxy.address);
                proxies.push(proxy);
            }
            ways.push(proxies);
            let address = store.listen(index, servers.clone()).await;
            let mut node = Node::new(folder, index, ZONES[index % ZONES.len()], address);
            node.start();
            started.push(node);
        }
        let site = Site {
            nodes,
            groups: GROUPS,
            servers: ZONES.len(),
        };
        Arc::new(Self {
            seed,
            site,
            history,
            store,
            servers,
            nodes: Mutex::new(started),
            ways,
            databases,
            version: Mutex::new(1),
        })
    }

    fn on_node(&self, node: usize, action: impl FnOnce(&mut Node)) {
        let mut nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut nodes[node]);
    }

    fn set_ways(&self, node: usize, group: usize, server: Option<usize>, link: Link) {
        for s in 0..self.site.servers {
            if server.is_none_or(|server| server == s) {
                self.ways[node][group * self.site.servers + s].set(link);
            }
        }
    }

    fn set_store(&self, node: Option<usize>, fault: StoreFault) {
        for index in 0..self.site.nodes {
            if node.is_none_or(|node| node == index) {
                self.store.set_fault(index, fault);
            }
        }
    }

    /// Brings a fault about, waits for its end and takes it back.
    async fn play(&self, planned: Planned) {
        let Planned { lasts, fault, .. } = planned;
        match fault {
            Fault::Kill { node } => {
                self.on_node(node, Node::kill);
                sleep(lasts / 4).await;
                self.on_node(node, Node::start);
            }
            Fault::KillAll => {
                (0..self.site.nodes).for_each(|node| self.on_node(node, Node::kill));
                sleep(lasts / 4).await;
                (0..self.site.nodes).for_each(|node| self.on_node(node, Node::start));
            }
            Fault::Stop { node } => {
                self.on_node(node, |node| node.signal(Signal::TERM));
                sleep(lasts * 2).await;
                self.on_node(node, Node::kill);
                self.on_node(node, Node::start);
            }
            Fault::Pause { node } => {
                self.on_node(node, |node| node.signal(Signal::STOP));
                sleep(lasts).await;
                self.on_node(node, |node| node.signal(Signal::CONT));
            }
            Fault::Way {
                node,
                group,
                server,
                link,
            } => {
                self.set_ways(node, group, server, link);
                sleep(lasts).await;
                self.set_ways(node, group, server, Link::Open);
            }
            Fault::Crash { group, server } => {
                let server = server.unwrap_or_else(|| self.servers.primary(group));
                self.servers.crash(group, server);
                sleep(lasts).await;
                self.servers.restart(group, server);
            }
            Fault::Deaf { group } => {
                let server = self.servers.primary(group);
                self.servers.set_deaf(group, server, true);
                sleep(lasts).await;
                self.servers.set_deaf(group, server, false);
            }
            Fault::Mute { group } => {
                let server = self.servers.primary(group);
                self.servers.set_mute(group, server, true);
                sleep(lasts).await;
                self.servers.set_mute(group, server, false);
            }
            Fault::Lag { group, lag } => {
                (0..self.site.servers).for_each(|s| self.servers.set_lag(group, s, lag));
                sleep(lasts).await;
                let usual = Duration::from_millis(10);
                (0..self.site.servers).for_each(|s| self.servers.set_lag(group, s, usual));
            }
            Fault::Store { node, fault } => {
                self.set_store(node, fault);
                sleep(lasts).await;
                self.set_store(node, StoreFault::None);
            }
            Fault::Forget => self.store.forget(),
            Fault::Configure => {
                let version = {
                    let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
                    *version += 3;
                    *version
                };
                let text = configuration(version, &self.databases, &service_names());
                self.store.put("op", "config", Some(text));
            }
        }
    }

    /// Takes back all that faults which overlapped may have left.
    fn heal(&self) {
        self.set_store(None, StoreFault::None);
        for group in 0..self.site.groups {
            for server in 0..self.site.servers {
                self.servers.set_deaf(group, server, false);
                self.servers.set_mute(group, server, false);
                self.servers.restart(group, server);
            }
            (0..self.site.nodes).for_each(|node| self.set_ways(node, group, None, Link::Open));
        }
        for node in 0..self.site.nodes {
            self.on_node(node, |node| {
                node.signal(Signal::CONT);
                node.start();
            });
        }
    }

    /// Waits until every node serves a write to every group. The number of attempts only ends a
    /// run that hangs.
    async fn await_service(&self, phase: &str) {
        for node in 0..self.site.nodes {
            for database in self.databases.iter().step_by(3) {
                let mut served = false;
                for attempt in 0..ATTEMPTS {
                    let mut address = None;
                    self.on_node(node, |node| {
                        node.start();
                        address = Some(node.callers);
                    });
                    let id = format!("s{node}{}-{phase}-{attempt}", database.name);
                    let address = address.expect("the node exists");
                    served = is_served(address, database, &self.history, &id).await;
                    if served {
                        break;
                    }
                    sleep(PAUSE).await;
                }
                if !served {
                    let text = format!("node {node} does not serve {} {phase}", database.name);
                    self.history.break_promise(text);
                }
            }
        }
    }

    fn addresses(&self) -> Vec<std::net::SocketAddr> {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        nodes.iter().map(|node| node.callers).collect()
    }
}

/// Plays one seed and returns the broken promises.
async fn run(seed: u64, length: Duration) -> Vec<String> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak/{seed}"));
    // Logs of an earlier run would mislead; there may be none.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("the target folder is writable");
    let soak = Soak::start(seed, &folder).await;
    soak.await_service("start").await;
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let caller = Caller {
            number,
            nodes: soak.addresses(),
            databases: soak.databases.clone(),
            history: soak.history.clone(),
            seed,
        };
        callers.spawn(caller.run(stopped.clone()));
    }
    let started = Instant::now();
    let mut playing = JoinSet::new();
    for planned in plan(seed, soak.site, length) {
        println!("seed {seed}: {planned:?}");
        let soak = soak.clone();
        playing.spawn(async move {
            sleep_until(started + planned.at).await;
            soak.play(planned).await;
        });
    }
    while playing.join_next().await.is_some() {}
    soak.heal();
    soak.await_service("end").await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    // Orders that are carried out late are over after this.
    sleep(Duration::from_secs(5)).await;
    soak.servers.check();
    let (answered, failed) = soak.history.totals();
    println!("seed {}: {answered} answered, {failed} failed", soak.seed);
    soak.history.broken()
}

/// Guards against every promise of the brief that faults could break together.
#[test]
fn promises_hold_under_faults() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let length = number("SOAK_SECONDS").map_or(LENGTH, Duration::from_secs);
    let mut broken = Vec::new();
    for seed in seeds() {
        let found = runtime.block_on(run(seed, length));
        for text in &found {
            println!("seed {seed}: {text}");
        }
        broken.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
}
