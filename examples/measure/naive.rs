//! The naive version, as a baseline: each node has a connection pool per server with a static
//! quota and a first-come, first-served queue. Writes and fresh reads go to the primary, all other
//! reads to a random replica. A statement is retried after any error, and a replica is promoted
//! after a fixed timeout.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_standin::{Cut, LocalSession, LocalTargets, Site};
use siskinhook_types::{
    Control, DatabaseId, Failure, FailureKind, Part, Purpose, Role, Server, ServerId, ServerStatus,
    Statement, TargetSession, Targets, sqlstate,
};
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    cluster::fields,
    load::{Action, Operation, Proxy, Reply},
};

/// Time without an answer from a primary after which a replica is promoted.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between status polls of a group.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Connections per server that are reserved for status polls, as with siskinhook.
const RESERVED_CONNECTIONS: usize = 4;
/// Maximum attempts per statement.
const MAX_ATTEMPTS: u32 = 3;

/// Connections of a node to one server.
struct Pool {
    server: Server,
    /// The node's fixed share of the server's connections, granted in the order of requests.
    quota: Semaphore,
    idle: Mutex<Vec<LocalSession>>,
}

/// One node, with its pools and the primaries that it knows.
struct Node {
    targets: LocalTargets,
    pools: IndexMap<ServerId, Pool>,
    /// Primary of each database as the node knows it.
    primaries: Mutex<IndexMap<DatabaseId, ServerId>>,
    /// Cleared when the node is killed; ends its status polls.
    alive: Mutex<bool>,
}

struct Inner {
    site: Arc<Site>,
    nodes: Vec<Arc<Node>>,
    random: Mutex<SmallRng>,
    /// Reads run by replicas and by primaries.
    reads: Mutex<(u64, u64)>,
}

/// The nodes of the naive version.
#[derive(Clone)]
pub struct Naive {
    inner: Arc<Inner>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Naive {
    pub fn start(site: &Arc<Site>, seed: u64) -> Self {
        let entry = site.entry();
        let count = site.nodes().len();
        let quota = ((site.plan().server.connections - RESERVED_CONNECTIONS) / count).max(1);
        let node = |endpoint| {
            let servers = entry.databases.values().flat_map(|d| &d.servers);
            let pool = |server: &Server| Pool {
                server: server.clone(),
                quota: Semaphore::new(quota),
                idle: Mutex::default(),
            };
            let primaries = entry.databases.iter();
            let primaries = primaries.map(|(id, d)| (id.clone(), d.servers[0].name.clone()));
            Arc::new(Node {
                targets: site.targets(endpoint),
                pools: servers
                    .map(|server| (server.name.clone(), pool(server)))
                    .collect(),
                primaries: Mutex::new(primaries.collect()),
                alive: Mutex::new(true),
            })
        };
        let nodes: Vec<Arc<Node>> = site.nodes().iter().map(node).collect();
        for (rank, node) in nodes.iter().enumerate() {
            for (database, group) in &entry.databases {
                let monitor =
                    monitor_group(node.clone(), rank, database.clone(), group.servers.clone());
                tokio::spawn(monitor);
            }
        }
        Self {
            inner: Arc::new(Inner {
                site: site.clone(),
                nodes,
                random: Mutex::new(SmallRng::seed_from_u64(seed)),
                reads: Mutex::default(),
            }),
        }
    }

    /// Returns the server that a statement is sent to.
    fn choose_server(&self, node: &Node, operation: &Operation) -> ServerId {
        let primary = lock(&node.primaries).get(&operation.database).cloned();
        let primary = primary.unwrap_or_default();
        if !matches!(operation.action, Action::Listing | Action::Report) {
            return primary;
        }
        let prefix = format!("{}-", operation.database);
        let servers = node.pools.keys();
        let replicas = servers.filter(|s| s.starts_with(&prefix) && **s != primary);
        let replicas: Vec<&ServerId> = replicas.collect();
        let index = lock(&self.inner.random).random_range(0..replicas.len());
        replicas[index].clone()
    }
}

/// Polls the servers of a database and promotes a replica after the fixed timeout. The timeout
/// grows with the rank of the node, so that the first node promotes first.
async fn monitor_group(node: Arc<Node>, rank: usize, database: DatabaseId, servers: Vec<Server>) {
    let promotion_timeout =
        FAILOVER_TIMEOUT + Duration::from_millis(200) * u32::try_from(rank).unwrap_or(0);
    let mut primary_seen = Instant::now();
    while *lock(&node.alive) {
        let mut statuses = Vec::new();
        for server in &servers {
            if let Some(status) = send_control(&node, server, Control::Status).await {
                statuses.push(status);
            }
        }
        let primaries = statuses.iter().filter(|s| s.role == Role::Primary);
        if let Some(primary) = primaries.max_by_key(|s| s.term) {
            primary_seen = Instant::now();
            lock(&node.primaries).insert(database.clone(), primary.server.clone());
            // A server that restarts as primary of an older term becomes a replica again.
            for status in statuses.iter().filter(|s| s.term < primary.term) {
                let command = Control::Follow {
                    term: primary.term,
                    server: primary.server.clone(),
                };
                if let Some(server) = servers.iter().find(|s| s.name == status.server) {
                    send_control(&node, server, command).await;
                }
            }
        } else if primary_seen.elapsed() > promotion_timeout
            && let Some(most_advanced) = statuses.iter().max_by_key(|s| s.last)
            && let Some(server) = servers.iter().find(|s| s.name == most_advanced.server)
        {
            let term = statuses.iter().map(|s| s.term).max().unwrap_or(0) + 1;
            let promoter = format!("naive-{rank}");
            let fence = Control::Fence {
                term,
                promoter: promoter.as_str().into(),
            };
            send_control(&node, server, fence).await;
            let promote = Control::Promote {
                term,
                promoter: promoter.into(),
            };
            send_control(&node, server, promote).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Runs a control command over a new connection. Returns `None` after an error or 500 ms.
async fn send_control(node: &Node, server: &Server, command: Control) -> Option<ServerStatus> {
    let run = async {
        let mut session = node.targets.connect(server, Purpose::Control).await.ok()?;
        session.control(&command).await.ok()
    };
    timeout(Duration::from_millis(500), run).await.ok()?
}

impl Pool {
    /// Runs a statement once. Sets `sent` once the statement was sent to the server.
    async fn run(
        &self,
        targets: &LocalTargets,
        operation: &Operation,
        sent: &mut bool,
    ) -> Result<Reply, Failure> {
        let _permit = self.quota.acquire().await;
        let idle = lock(&self.idle).pop();
        let mut session = match idle {
            Some(session) => session,
            None => targets.connect(&self.server, Purpose::Data).await?,
        };
        session
            .start(&Statement::simple(operation.sql.as_str()))
            .await?;
        *sent = true;
        let mut reply = Reply::default();
        loop {
            match session.next().await {
                Ok(Part::Row { data, .. }) => reply.rows.push(fields(&data)),
                Ok(Part::Done { .. }) => break,
                Ok(_) => {}
                Err(failure) => return Err(failure),
            }
        }
        lock(&self.idle).push(session);
        Ok(reply)
    }
}

impl Proxy for Naive {
    async fn run(&self, operation: &Operation) -> Result<Reply, Failure> {
        let node = &self.inner.nodes[operation.node];
        let deadline = Instant::now() + operation.deadline;
        let mut last_failure = None;
        for _ in 0..MAX_ATTEMPTS {
            let server = self.choose_server(node, operation);
            let Some(pool) = node.pools.get(&server) else {
                break;
            };
            let mut sent = false;
            let run = pool.run(&node.targets, operation, &mut sent);
            let result = timeout_at(deadline, run).await;
            match result {
                Ok(Ok(reply)) => {
                    if !operation.action.is_write() {
                        let primary = lock(&node.primaries).get(&operation.database).cloned();
                        let mut reads = lock(&self.inner.reads);
                        if primary == Some(server) {
                            reads.1 += 1;
                        } else {
                            reads.0 += 1;
                        }
                    }
                    return Ok(reply);
                }
                Ok(Err(failure)) => last_failure = Some(failure),
                Err(_) => {
                    let message = "the statement timed out";
                    let mut failure =
                        Failure::not_run(FailureKind::Deadline, sqlstate::DEADLINE, message);
                    if sent {
                        failure = failure.after_sending();
                    }
                    return Err(failure);
                }
            }
        }
        // The naive version keeps no verdicts across attempts; the caller gets the last error.
        Err(last_failure.unwrap_or_else(|| {
            Failure::not_run(
                FailureKind::Unavailable,
                sqlstate::UNAVAILABLE,
                "no primary",
            )
        }))
    }

    fn kill(&self, node: usize) {
        *lock(&self.inner.nodes[node].alive) = false;
        let name = self.inner.site.nodes()[node].name.clone();
        self.inner.site.network().cut(Cut::Name(name));
    }

    fn reads(&self) -> (u64, u64) {
        *lock(&self.inner.reads)
    }
}
