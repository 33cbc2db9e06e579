//! Large configurations on a site of many nodes, whose store answers one read after another. Each
//! node must serve each new route in time.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    Soak, SoakSettings,
    callers::{Database, StartAnswer, start_session},
    env_number, env_size, log_directory,
    operator::added_database,
    pace::{PaceSettings, Traffic},
    store::StoreFault,
};

/// Seeds that run unless `SOAK_SEEDS` is set.
pub const DEFAULT_SEEDS: [u64; 1] = [1];
/// Number of nodes, unless `SOAK_NODES` is set.
const NODE_COUNT: usize = 24;
/// Milliseconds that the store takes for an answer, unless `SOAK_ANSWER_MS` is set.
const ANSWER_MS: u64 = 40;
/// Number of routes that are added at once.
const ROUTE_COUNT: usize = 1400;
/// Average delay before a further route is added.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Time within which each node must serve a new route: the users' `config_apply_ms` of the grown
/// deployment.
const APPLY_BOUND: Duration = Duration::from_secs(5);
/// Time within which the last configuration must be served after an outage of the store: the users'
/// `config_apply_ms` and `outer_ms`.
const OUTAGE_BOUND: Duration = Duration::from_secs(20);
/// Time for which a node that is late is watched after its bound.
const LATE_WATCH: Duration = Duration::from_secs(5);
/// Interval between two sessions that ask a node for a route.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which such a session counts as not answered.
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// Interval between two such sessions after the bound.
const LATE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of times that the nodes are asked whether they are ready, one second apart.
const MAX_READY_ATTEMPTS: u32 = 20;
const READY_INTERVAL: Duration = Duration::from_secs(1);
/// Length of the storm and interval between its configurations.
const STORM_LENGTH: Duration = Duration::from_secs(3);
const STORM_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the store turns half of the nodes away.
const OUTAGE: Duration = Duration::from_secs(4);
/// 10 Mbit/s.
const STORM_BANDWIDTH: u32 = 10_000_000 / 8;

/// How a node came to serve a route.
#[derive(Clone, Copy, Debug)]
struct Delivery {
    /// Time from the acknowledgement to the answer that the session is ready; `None` if there was
    /// none until the end of the watch.
    delay: Option<Duration>,
    /// Last answer within the bound.
    answer: StartAnswer,
}

impl Soak {
    /// Starts a session with a node and returns the answer.
    async fn probe(&self, node: usize, database: &Database) -> StartAnswer {
        let answer = start_session(self.process(node).0, database);
        let answer = timeout(PROBE_LIMIT, answer).await;
        answer.unwrap_or(StartAnswer::Missing)
    }

    /// Asks a node for the route of a version until it serves it, at least once at the bound.
    async fn watch_delivery(&self, node: usize, version: u64, bound: Duration) -> Delivery {
        let acknowledged = Instant::now();
        let database = added_database(version);
        let mut due = Duration::ZERO;
        let mut delivery = Delivery {
            delay: None,
            answer: StartAnswer::Missing,
        };
        loop {
            let answer = self.probe(node, &database).await;
            if due <= bound {
                delivery.answer = answer;
            }
            if answer == StartAnswer::Ready {
                delivery.delay = Some(acknowledged.elapsed());
                return delivery;
            }
            let elapsed = acknowledged.elapsed();
            due = if elapsed < bound {
                (elapsed + PROBE_INTERVAL).min(bound)
            } else {
                elapsed + LATE_PROBE_INTERVAL
            };
            if due > bound + LATE_WATCH {
                return delivery;
            }
            sleep_until(acknowledged + due).await;
        }
    }

    /// Checks that every node serves the route of a version that was just acknowledged.
    async fn check_delivery(self: Arc<Self>, version: u64, bound: Duration) {
        let mut watches = JoinSet::new();
        for node in 0..self.site.nodes {
            let soak = self.clone();
            watches.spawn(async move { soak.watch_delivery(node, version, bound).await });
        }
        let deliveries = watches.join_all().await;
        let mut counts = BTreeMap::<StartAnswer, usize>::new();
        for delivery in &deliveries {
            *counts.entry(delivery.answer).or_default() += 1;
        }
        // A node without a delay was never seen to serve the route.
        let delays: Option<Vec<_>> = deliveries.iter().map(|delivery| delivery.delay).collect();
        let worst = delays.and_then(|delays| delays.into_iter().max());
        let worst = worst.map_or_else(
            || format!("more than {:?}", bound + LATE_WATCH),
            |delay| format!("{delay:?}"),
        );
        let text = format!(
            "configuration {version}, answers at {bound:?} or before: {counts:?}, worst {worst}"
        );
        println!("{text}");
        if counts.keys().any(|answer| *answer != StartAnswer::Ready) {
            self.history.record_violation(text);
        }
    }

    /// Returns the number of nodes that are not ready after a bounded number of attempts.
    async fn await_ready(self: &Arc<Self>) -> usize {
        let mut unready = self.site.nodes;
        for _ in 0..MAX_READY_ATTEMPTS {
            let mut probes = JoinSet::new();
            for node in 0..self.site.nodes {
                let soak = self.clone();
                probes.spawn(async move { soak.probe(node, &soak.databases[0]).await });
            }
            let answers = probes.join_all().await.into_iter();
            unready = answers
                .filter(|answer| *answer != StartAnswer::Ready)
                .count();
            if unready == 0 {
                break;
            }
            sleep(READY_INTERVAL).await;
        }
        unready
    }

    /// Prints the traffic of the store since the last time.
    fn print_traffic(&self, phase: &str) {
        for (table, nodes) in self.store.pace.take_traffic() {
            let mut total = Traffic::default();
            for traffic in &nodes {
                total += *traffic;
            }
            let most = nodes.iter().map(|traffic| traffic.bytes).max();
            println!(
                "{phase}, {table}: {total:?}, at most {} bytes to one node",
                most.unwrap_or_default()
            );
        }
    }

    /// Writes configurations in quick succession while the store turns half of the nodes away, and
    /// checks that the last one arrives over links of limited bandwidth.
    async fn run_storm(self: &Arc<Self>) {
        let half = 0..self.site.nodes / 2;
        let outage_end = Instant::now() + OUTAGE;
        half.clone()
            .for_each(|node| self.store.set_fault(node, StoreFault::Busy));
        let mut written = Duration::ZERO;
        while written < STORM_LENGTH {
            self.reconfigure();
            sleep(STORM_INTERVAL).await;
            written += STORM_INTERVAL;
        }
        sleep_until(outage_end).await;
        half.for_each(|node| self.store.set_fault(node, StoreFault::None));
        let version = *self.config_version();
        self.clone().check_delivery(version, OUTAGE_BOUND).await;
    }
}

/// Runs one seed and returns the violations.
pub async fn run(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let pace = PaceSettings {
        turn: Duration::from_millis(env_number("SOAK_ANSWER_MS").unwrap_or(ANSWER_MS)),
        empty_turns: env_number("SOAK_EMPTY_TURNS") == Some(1),
        ..PaceSettings::default()
    };
    let settings = SoakSettings {
        nodes: env_size("SOAK_NODES").unwrap_or(NODE_COUNT),
        pace,
        ..SoakSettings::default()
    };
    println!("seed {seed}: {} nodes, {pace:?}", settings.nodes);
    let directory = log_directory(&format!("configuration_delivery/{seed}"));
    let started = Instant::now();
    let soak = Soak::start(seed, &directory, settings).await;
    let unready = soak.await_ready().await;
    println!("{unready} nodes not ready after {:?}", started.elapsed());
    if unready > 0 {
        let text = format!("{unready} nodes do not become ready");
        soak.history.record_violation(text);
        // The further checks need nodes that are ready.
        soak.store.pace.set(PaceSettings::default());
        soak.await_ready().await;
        soak.store.pace.set(pace);
    }
    soak.print_traffic("start");

    let (stop, stop_receiver) = watch::channel(false);
    let mut checks = JoinSet::new();
    for node in 0..soak.site.nodes {
        let soak = soak.clone();
        checks.spawn(soak.check_configuration(node, stop_receiver.clone()));
    }
    soak.further_routes.store(ROUTE_COUNT, Ordering::Relaxed);
    let mut deliveries = JoinSet::new();
    deliveries.spawn(soak.clone().check_delivery(soak.reconfigure(), APPLY_BOUND));
    for _ in 0..rng.random_range(5..=8) {
        sleep(CHANGE_INTERVAL.mul_f64(rng.random_range(0.8..1.2))).await;
        deliveries.spawn(soak.clone().check_delivery(soak.reconfigure(), APPLY_BOUND));
    }
    deliveries.join_all().await;
    soak.print_traffic("changes");

    soak.store.pace.set(PaceSettings {
        bandwidth: Some(STORM_BANDWIDTH),
        ..pace
    });
    soak.run_storm().await;
    soak.print_traffic("storm");
    stop.send_replace(true);
    checks.join_all().await;
    soak.history.violations()
}
