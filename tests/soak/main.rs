//! A randomized soak test. It runs nodes as processes of the `siskinhook` program against
//! simulated servers and a simulated platform store, injects faults from outside, and checks the
//! guarantees to callers against what callers and servers observe.
//!
//! `SOAK_SEEDS=100-149 SOAK_SECONDS=20 SOAK_NODES=6 cargo test --release --test soak` runs
//! other seeds. The logs of the nodes stay in `target/tmp/soak/SEED`. `SOAK_ROUTES=1400` makes the
//! configuration large. `SOAK_NODES=72 SOAK_ANSWER_MS=14` sets the number of nodes and the time that
//! the store takes for an answer where large configurations are delivered; with
//! `SOAK_EMPTY_TURNS=1`, answers of feeds without changes take that time as well.

mod callers;
mod configuration_delivery;
mod faults;
mod history;
mod nodes;
mod operator;
mod pace;
mod proxy;
mod servers;
mod store;

use std::{
    fs,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicUsize},
    time::Duration,
};

use callers::{Caller, Database, MAX_STALENESS, accepts_write};
use faults::{Fault, PlannedFault, SiteSize, plan};
use history::{Freshness, History};
use nodes::Node;
use operator::{FIRST_VERSION, configuration};
use pace::PaceSettings;
use proxy::{FaultProxy, Link};
use rustix::process::Signal;
use servers::Servers;
use store::{Store, StoreFault};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Seeds that run unless `SOAK_SEEDS` is set: one for each mix of faults, and every seed that has
/// ever failed.
const DEFAULT_SEEDS: [u64; 2] = [
    1, // suspended nodes, server crashes, an unavailable and a restored store
    2, // network faults, terminated nodes, replication lag and a restored store
];
/// Period in which faults start, unless `SOAK_SECONDS` is set.
const DEFAULT_FAULT_WINDOW: Duration = Duration::from_secs(8);
const ZONES: [&str; 3] = ["a", "b", "c"];
const GROUP_COUNT: usize = 2;
const CALLER_COUNT: usize = 10;
/// Maximum number of attempts to write through a node while no fault is active. Each can take some
/// seconds.
const MAX_WRITE_ATTEMPTS: u32 = 60;
/// Delay between these attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for which the store is away before it comes back from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(300);
/// Time for which the store answers no node before the faults end.
const FINAL_SILENCE: Duration = Duration::from_millis(1500);

/// Time in which nodes remove a server whose entry is gone.
const FORGET_TIME: Duration = Duration::from_millis(3500);
/// Time in which restarted nodes serve callers again.
const START_TIME: Duration = Duration::from_millis(2500);
/// Time in which a lost primary is replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(3);

/// Held while a test runs its site, as the sites would disturb each other.
static SITE: Mutex<()> = Mutex::new(());

/// Settings of the site under test.
struct SoakSettings {
    nodes: usize,
    /// Number of routes beside those that callers use.
    routes: usize,
    pace: PaceSettings,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            nodes: 4,
            routes: 0,
            pace: PaceSettings::default(),
        }
    }
}

/// The site under test in one run.
struct Soak {
    seed: u64,
    site: SiteSize,
    history: Arc<History>,
    store: Arc<Store>,
    servers: Arc<Servers>,
    nodes: Mutex<Vec<Node>>,
    /// For each node, its proxies to all servers, ordered by group.
    node_proxies: Vec<Vec<FaultProxy>>,
    databases: Vec<Database>,
    /// Version of the configuration that was written last.
    config_version: Mutex<u64>,
    /// Number of routes of the next configuration beside those that callers use.
    further_routes: AtomicUsize,
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn env_size(name: &str) -> Option<usize> {
    env_number(name).and_then(|number| usize::try_from(number).ok())
}

fn seeds(default: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return default.to_vec();
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let parse = |text: &str| text.parse().expect("SOAK_SEEDS is FIRST-LAST");
    (parse(first)..=parse(last)).collect()
}

fn databases() -> Vec<Database> {
    let kinds = [
        ("strong", Freshness::Strong),
        ("bounded", Freshness::Bounded(MAX_STALENESS)),
        ("own", Freshness::Own(MAX_STALENESS)),
    ];
    let group_databases = |group| {
        kinds.map(|(kind, freshness)| Database {
            name: format!("{kind}{group}"),
            group,
            freshness,
        })
    };
    (0..GROUP_COUNT).flat_map(group_databases).collect()
}

fn service_names() -> Vec<String> {
    (0..GROUP_COUNT)
        .map(|group| format!("svc{group}"))
        .collect()
}

impl Soak {
    async fn start(seed: u64, directory: &Path, settings: SoakSettings) -> Arc<Self> {
        let nodes = settings.nodes;
        let history = Arc::new(History::default());
        let store = Store::new(nodes);
        store.pace.set(settings.pace);
        let names = service_names();
        let servers = Servers::start(&names, &ZONES, history.clone(), store.clone()).await;
        let databases = databases();
        let first = configuration(FIRST_VERSION, &databases, settings.routes);
        store.put("op", "config", Some(first));
        let mut node_proxies = Vec::new();
        let mut started = Vec::new();
        for index in 0..nodes {
            let mut proxies = Vec::new();
            for (id, address) in servers.addresses() {
                let proxy = FaultProxy::start(address).await;
                store.set_proxy_address(index, &id, proxy.address);
                proxies.push(proxy);
            }
            node_proxies.push(proxies);
            let address = store.listen(index, servers.clone()).await;
            let mut node = Node::new(directory, index, ZONES[index % ZONES.len()], address);
            node.start();
            started.push(node);
        }
        let site = SiteSize {
            nodes,
            groups: GROUP_COUNT,
            servers: ZONES.len(),
        };
        Arc::new(Self {
            seed,
            site,
            history,
            store,
            servers,
            nodes: Mutex::new(started),
            node_proxies,
            databases,
            config_version: Mutex::new(FIRST_VERSION),
            further_routes: AtomicUsize::new(settings.routes),
        })
    }

    fn config_version(&self) -> MutexGuard<'_, u64> {
        let version = self.config_version.lock();
        version.unwrap_or_else(PoisonError::into_inner)
    }

    fn with_node(&self, node: usize, action: impl FnOnce(&mut Node)) {
        let mut nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut nodes[node]);
    }

    fn set_links(&self, node: usize, group: usize, server: Option<usize>, link: Link) {
        for s in 0..self.site.servers {
            if server.is_none_or(|server| server == s) {
                self.node_proxies[node][group * self.site.servers + s].set_link(link);
            }
        }
    }

    fn set_store_fault(&self, node: Option<usize>, fault: StoreFault) {
        for index in 0..self.site.nodes {
            if node.is_none_or(|node| node == index) {
                self.store.set_fault(index, fault);
            }
        }
    }

    /// Injects a fault, waits for its duration and reverts it.
    async fn inject(&self, planned: PlannedFault) {
        let PlannedFault {
            duration, fault, ..
        } = planned;
        match fault {
            Fault::Kill { node } => {
                self.with_node(node, Node::kill);
                sleep(duration / 4).await;
                self.with_node(node, Node::start);
            }
            Fault::KillAll => {
                (0..self.site.nodes).for_each(|node| self.with_node(node, Node::kill));
                sleep(duration / 4).await;
                (0..self.site.nodes).for_each(|node| self.with_node(node, Node::start));
            }
            Fault::Terminate { node } => {
                self.with_node(node, |node| node.signal(Signal::TERM));
                sleep(duration * 2).await;
                self.with_node(node, Node::kill);
                self.with_node(node, Node::start);
            }
            Fault::Pause { node } => {
                self.with_node(node, |node| node.signal(Signal::STOP));
                sleep(duration).await;
                self.with_node(node, |node| node.signal(Signal::CONT));
            }
            Fault::Network {
                node,
                group,
                server,
                link,
            } => {
                self.set_links(node, group, server, link);
                sleep(duration).await;
                self.set_links(node, group, server, Link::Open);
            }
            Fault::Crash { group, server } => {
                let server = server.unwrap_or_else(|| self.servers.primary_index(group));
                self.servers.crash(group, server);
                sleep(duration).await;
                self.servers.restart(group, server);
            }
            Fault::ReplicationCut { group } => {
                let server = self.servers.primary_index(group);
                self.servers.set_replication_cut(group, server, true);
                sleep(duration).await;
                self.servers.set_replication_cut(group, server, false);
            }
            Fault::Hang { group } => {
                let server = self.servers.primary_index(group);
                self.servers.set_hanging(group, server, true);
                sleep(duration).await;
                self.servers.set_hanging(group, server, false);
            }
            Fault::Lag { group, lag } => {
                (0..self.site.servers).for_each(|s| self.servers.set_lag(group, s, lag));
                sleep(duration).await;
                let default_lag = Duration::from_millis(10);
                (0..self.site.servers).for_each(|s| self.servers.set_lag(group, s, default_lag));
            }
            Fault::Store { node, fault } => {
                self.set_store_fault(node, fault);
                sleep(duration).await;
                self.set_store_fault(node, StoreFault::None);
            }
            Fault::DropHistory => self.store.drop_history(),
            Fault::RestoreStore => {
                let backup = self.store.backup();
                sleep(duration).await;
                self.set_store_fault(None, StoreFault::Unresponsive);
                sleep(RESTORE_TIME).await;
                self.store.restore(backup);
                self.set_store_fault(None, StoreFault::None);
            }
            Fault::Reconfigure => {
                self.reconfigure();
            }
            Fault::ForgottenReplica { group } => self.forget_replica(group, duration).await,
        }
    }

    /// Lets the nodes forget a live replica, and the primary replicate to it alone for `duration`
    /// before it crashes.
    async fn forget_replica(&self, group: usize, duration: Duration) {
        let primary = self.servers.primary_index(group);
        let forgotten = (primary + 1) % self.site.servers;
        let others: Vec<usize> = (0..self.site.servers)
            .filter(|s| *s != primary && *s != forgotten)
            .collect();
        self.servers.set_unlisted(group, forgotten, true);
        sleep(FORGET_TIME).await;
        (0..self.site.nodes).for_each(|node| self.with_node(node, Node::kill));
        (0..self.site.nodes).for_each(|node| self.with_node(node, Node::start));
        sleep(START_TIME).await;
        for &server in &others {
            self.servers.set_replication_cut(group, server, true);
        }
        sleep(duration).await;
        self.servers.crash(group, primary);
        for &server in &others {
            self.servers.set_replication_cut(group, server, false);
        }
        sleep(REPLACEMENT_TIME).await;
        self.servers.set_unlisted(group, forgotten, false);
        self.servers.restart(group, primary);
    }

    /// Reverts everything that overlapping faults may have left behind.
    fn clear_faults(&self) {
        self.set_store_fault(None, StoreFault::None);
        for group in 0..self.site.groups {
            for server in 0..self.site.servers {
                self.servers.set_replication_cut(group, server, false);
                self.servers.set_hanging(group, server, false);
                self.servers.set_unlisted(group, server, false);
                self.servers.restart(group, server);
            }
            (0..self.site.nodes).for_each(|node| self.set_links(node, group, None, Link::Open));
        }
        for node in 0..self.site.nodes {
            self.with_node(node, |node| {
                node.signal(Signal::CONT);
                node.start();
            });
        }
    }

    /// Waits until a write through every node to every group succeeds, and records a violation when
    /// it does not. The limit on attempts only serves to end a run that hangs.
    async fn await_service(&self, phase: &str) {
        for node in 0..self.site.nodes {
            for database in self.databases.iter().step_by(3) {
                let mut served = false;
                for attempt in 0..MAX_WRITE_ATTEMPTS {
                    let mut address = None;
                    self.with_node(node, |node| {
                        node.start();
                        address = Some(node.caller_address);
                    });
                    let id = format!("s{node}{}-{phase}-{attempt}", database.name);
                    let address = address.expect("the node exists");
                    served = accepts_write(address, database, &self.history, &id).await;
                    if served {
                        break;
                    }
                    sleep(RETRY_DELAY).await;
                }
                if !served {
                    let text = format!(
                        "node {node} does not serve {} at the {phase} of the run",
                        database.name
                    );
                    self.history.record_violation(text);
                }
            }
        }
    }

    fn addresses(&self) -> Vec<std::net::SocketAddr> {
        let nodes = self.nodes.lock().unwrap_or_else(PoisonError::into_inner);
        nodes.iter().map(|node| node.caller_address).collect()
    }
}

/// Returns an empty directory for the logs of a run.
fn log_directory(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Removes the logs of an earlier run, if there are any.
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("the target directory is writable");
    directory
}

/// Runs one seed and returns the violations.
async fn run(seed: u64, fault_window: Duration) -> Vec<String> {
    let directory = log_directory(&format!("soak/{seed}"));
    let defaults = SoakSettings::default();
    let settings = SoakSettings {
        nodes: env_size("SOAK_NODES").unwrap_or(defaults.nodes),
        routes: env_size("SOAK_ROUTES").unwrap_or(defaults.routes),
        ..defaults
    };
    let soak = Soak::start(seed, &directory, settings).await;
    soak.await_service("start").await;
    let (stop, stop_receiver) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..CALLER_COUNT {
        let caller = Caller {
            number,
            nodes: soak.addresses(),
            databases: soak.databases.clone(),
            history: soak.history.clone(),
            seed,
        };
        callers.spawn(caller.run(stop_receiver.clone()));
    }
    callers.spawn(soak.clone().change_configuration(stop_receiver.clone()));
    for node in 0..soak.site.nodes {
        callers.spawn(
            soak.clone()
                .check_configuration(node, stop_receiver.clone()),
        );
    }
    let started = Instant::now();
    let mut injections = JoinSet::new();
    for planned in plan(seed, soak.site, fault_window) {
        println!("seed {seed}: {planned:?}");
        let soak = soak.clone();
        injections.spawn(async move {
            sleep_until(started + planned.at).await;
            soak.inject(planned).await;
        });
    }
    while injections.join_next().await.is_some() {}
    // The store loses the calls that wait for a change, while the operator writes some.
    soak.set_store_fault(None, StoreFault::Unresponsive);
    sleep(FINAL_SILENCE).await;
    soak.clear_faults();
    soak.await_configuration().await;
    soak.await_service("end").await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    // Waits until promotion orders that the store delays have been carried out.
    sleep(Duration::from_secs(5)).await;
    soak.servers.check_logs();
    let (answered, failed) = soak.history.totals();
    println!("seed {}: {answered} answered, {failed} failed", soak.seed);
    soak.history.violations()
}

/// Runs seeds one after another and fails if one finds a violation.
fn run_seeds<F: Future<Output = Vec<String>>>(default: &[u64], run: impl Fn(u64) -> F) {
    // Poisoned if another test failed.
    let _site = SITE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let mut violations = Vec::new();
    for seed in seeds(default) {
        let found = runtime.block_on(run(seed));
        for text in &found {
            println!("seed {seed}: {text}");
        }
        violations.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(
        violations.is_empty(),
        "{} violations: {violations:#?}",
        violations.len()
    );
}

/// Guards against violations of any guarantee to callers when faults overlap.
#[test]
fn guarantees_hold_under_faults() {
    let fault_window = env_number("SOAK_SECONDS").map_or(DEFAULT_FAULT_WINDOW, Duration::from_secs);
    run_seeds(&DEFAULT_SEEDS, |seed| run(seed, fault_window));
}

/// Guards against nodes that never receive a large configuration, or never become ready, because
/// they give up calls whose answers are under way.
#[test]
fn large_configuration_is_served_at_every_node_by_a_slow_store() {
    run_seeds(
        &configuration_delivery::DEFAULT_SEEDS,
        configuration_delivery::run,
    );
}
