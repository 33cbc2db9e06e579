//! The operator: writes configurations, each with one more route than the one before, and checks
//! that the nodes follow.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    GROUP_COUNT, Soak,
    callers::{Database, MAX_STALENESS, knows_route},
    history::Freshness,
    servers::MAX_CONNECTIONS,
    service_names,
};

/// Version of the first configuration.
pub const FIRST_VERSION: u64 = 1;
/// Difference between the versions of two configurations.
const VERSION_STEP: u64 = 3;
/// Interval between two configurations while faults are active.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between two checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a configuration must be in force after the end of all faults: the users'
/// `config_apply_ms` and `outer_ms`.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(15);

/// Returns the database whose route the configuration of a version adds.
pub fn added_database(version: u64) -> Database {
    Database {
        name: format!("added{version}"),
        group: 0,
        freshness: Freshness::Strong,
    }
}

/// Returns a database of a site with many routes, to which no caller connects.
fn further_database(number: usize) -> Database {
    Database {
        name: format!("tenant-{number:04}.reporting.site.internal"),
        group: number % GROUP_COUNT,
        freshness: Freshness::Own(MAX_STALENESS),
    }
}

/// Encodes the configuration of a version, with `routes` routes beside those that callers use.
pub fn configuration(version: u64, databases: &[Database], routes: usize) -> String {
    let services = service_names();
    let step = usize::try_from(VERSION_STEP).expect("a small step");
    let added = (FIRST_VERSION..=version).step_by(step).map(added_database);
    let route = |database: Database| {
        let kind = match database.freshness {
            Freshness::Strong => "primary",
            Freshness::Bounded(_) => "bounded_staleness",
            Freshness::Own(_) => "read_your_writes",
        };
        serde_json::json!({
            "name": format!("route-{}", database.name), "host": database.name,
            "kind": kind, "timeout_ms": 1500,
            "latency_slo_ms": 100, "priority": 1, "service": services[database.group],
            "max_staleness_ms": MAX_STALENESS.as_millis(),
        })
    };
    let service = |name: &String| serde_json::json!({"name": name, "max_conns": MAX_CONNECTIONS, "sync_replicas": 1});
    let further = (0..routes).map(further_database);
    let databases = databases.iter().cloned().chain(added).chain(further);
    serde_json::json!({
        "version": version, "limits": {"tx_idle_ms": 2000},
        "routes": databases.map(route).collect::<Vec<_>>(),
        "services": services.iter().map(service).collect::<Vec<_>>(),
    })
    .to_string()
}

impl Soak {
    /// Writes the next configuration and returns its version.
    pub fn reconfigure(&self) -> u64 {
        let mut version = self.config_version();
        *version += VERSION_STEP;
        let routes = self.further_routes.load(Ordering::Relaxed);
        let text = configuration(*version, &self.databases, routes);
        self.store.put("op", "config", Some(text));
        *version
    }

    /// Writes configurations until `stop` becomes true.
    pub async fn change_configuration(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        // Ends as well when the sender is dropped with the run.
        while timeout(CHANGE_INTERVAL, stop.wait_for(|stop| *stop))
            .await
            .is_err()
        {
            self.reconfigure();
        }
    }

    /// Checks until `stop` becomes true that no process of a node goes back to an older
    /// configuration.
    pub async fn check_configuration(self: Arc<Self>, node: usize, stop: watch::Receiver<bool>) {
        // Process, and latest configuration that was in force in it.
        let mut in_force = None;
        while !*stop.borrow() {
            let (address, process) = self.process(node);
            let known = in_force.filter(|(known, _)| *known == process);
            if let Some((_, version)) = known {
                let answer = knows_route(address, &added_database(version)).await;
                if answer == Some(false) && self.process(node).1 == process {
                    self.history.record_violation(format!(
                        "node {node} went back to a configuration before {version}"
                    ));
                }
            }
            let latest = *self.config_version();
            let answer = knows_route(address, &added_database(latest)).await;
            if answer == Some(true) && self.process(node).1 == process {
                in_force = Some((process, latest));
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Writes a configuration and records a violation for each node on which it is not in force in
    /// time.
    pub async fn await_configuration(&self) {
        let version = self.reconfigure();
        let deadline = Instant::now() + CONFIGURATION_BOUND;
        for node in 0..self.site.nodes {
            let database = added_database(version);
            while knows_route(self.process(node).0, &database).await != Some(true) {
                if Instant::now() >= deadline {
                    let text = format!("node {node} does not follow configuration {version}");
                    self.history.record_violation(text);
                    break;
                }
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Returns the address of a node for callers, and the number of its process.
    pub fn process(&self, node: usize) -> (SocketAddr, u32) {
        let mut process = None;
        self.with_node(node, |node| {
            process = Some((node.caller_address, node.starts));
        });
        process.expect("the node exists")
    }
}
