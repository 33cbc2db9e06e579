//! Runs the nodes of siskinhook in one process over the in-process stand-ins.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use siskinhook_engine::{Engine, EngineSettings, Identity, SessionOptions};
use siskinhook_fleet::{Fleet, FleetSettings, PeerError, PeerMessage, Peers, Profile};
use siskinhook_standin::{Cut, Endpoint, LocalPlatform, LocalTargets, Site};
use siskinhook_types::{
    Catalogue, Failure, FailureKind, Link, Links, NodeId, Part, Request, Statement, sqlstate,
};
use tokio::{
    sync::{mpsc, watch},
    task::AbortHandle,
    time::timeout,
};

use crate::load::{Action, LISTING_MAX_AGE, Operation, Proxy, Reply};

type NodeEngine = Engine<LocalTargets, LocalLinks, LocalPlatform>;

/// A node that has not been killed.
struct RunningNode {
    endpoint: Endpoint,
    engine: NodeEngine,
    fleet: Fleet,
    /// Task that runs the engine.
    task: AbortHandle,
    /// Dropped when the node is killed, which ends the waits of its callers.
    alive: watch::Sender<()>,
}

type Nodes = Arc<Mutex<IndexMap<NodeId, RunningNode>>>;

fn lock(nodes: &Nodes) -> MutexGuard<'_, IndexMap<NodeId, RunningNode>> {
    nodes.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens links from one node to other nodes over the network stand-in.
#[derive(Clone)]
pub struct LocalLinks {
    from: Endpoint,
    site: Arc<Site>,
    nodes: Nodes,
}

/// A link to another node; one task forwards its requests and answers.
pub struct LocalLink {
    requests: mpsc::Sender<Request>,
    parts: mpsc::Receiver<Result<Part, Failure>>,
}

impl Links for LocalLinks {
    type Link = LocalLink;

    async fn open(&self, node: &NodeId) -> Result<LocalLink, Failure> {
        let not_running = || {
            let message = format!("node {node} does not run; another one takes over");
            Failure::not_run(
                FailureKind::Unavailable,
                sqlstate::CONNECTION_FAILURE,
                message,
            )
        };
        let to = lock(&self.nodes)
            .get(node)
            .map(|node| node.endpoint.clone());
        let connection = self
            .site
            .network()
            .connect(self.from.clone(), to.ok_or_else(not_running)?);
        connection.pass().await;
        connection.pass().await;
        let engine = lock(&self.nodes).get(node).map(|node| node.engine.clone());
        let mut owner = engine.ok_or_else(not_running)?.accept_link();
        let (requests, mut incoming) = mpsc::channel::<Request>(1);
        let (outgoing, parts) = mpsc::channel(8);
        tokio::spawn(async move {
            let forward = async {
                while let Some(request) = incoming.recv().await {
                    connection.pass().await;
                    if owner.start(request).await.is_err() {
                        return;
                    }
                    loop {
                        let part = owner.next().await;
                        let more = matches!(&part, Ok(part) if !matches!(part, Part::Done { .. }));
                        connection.pass().await;
                        if outgoing.send(part).await.is_err() {
                            return;
                        }
                        if !more {
                            break;
                        }
                    }
                }
            };
            tokio::select! {
                biased;
                () = outgoing.closed() => {}
                () = forward => {}
            }
        });
        Ok(LocalLink { requests, parts })
    }
}

impl Link for LocalLink {
    async fn start(&mut self, request: Request) -> Result<(), Failure> {
        let sent = self.requests.send(request).await;
        sent.map_err(|_| {
            let message = "the link to the owner is closed; open a new one";
            Failure::not_run(
                FailureKind::ConnectionLost,
                sqlstate::CONNECTION_FAILURE,
                message,
            )
        })
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        let lost = "the link to the owner was closed before the answer";
        let part = self.parts.recv().await;
        part.unwrap_or_else(|| Err(Failure::may_have_run(FailureKind::ConnectionLost, lost)))
    }
}

/// Sends membership messages from one node to other nodes over the network stand-in.
#[derive(Clone)]
struct LocalPeers {
    from: Endpoint,
    site: Arc<Site>,
    nodes: Nodes,
}

impl Peers for LocalPeers {
    async fn call(&self, address: &str, message: PeerMessage) -> Result<PeerMessage, PeerError> {
        let not_running = || PeerError {
            address: address.to_owned(),
            reason: "the node does not run".to_owned(),
        };
        let to = lock(&self.nodes)
            .get(address)
            .map(|node| node.endpoint.clone());
        let connection = self
            .site
            .network()
            .connect(self.from.clone(), to.ok_or_else(not_running)?);
        connection.pass().await;
        let fleet = lock(&self.nodes)
            .get(address)
            .map(|node| node.fleet.clone());
        let answer = fleet.ok_or_else(not_running)?.receive(message).await;
        connection.pass().await;
        answer.ok_or_else(not_running)
    }
}

/// The running nodes of a site.
#[derive(Clone)]
pub struct Cluster {
    site: Arc<Site>,
    nodes: Nodes,
    /// Reads run by replicas and by primaries through nodes that were killed.
    reads: Arc<Mutex<(u64, u64)>>,
    _catalogue: Arc<watch::Sender<Arc<Catalogue>>>,
}

impl Cluster {
    /// Starts a node on each VM of the site.
    pub fn start(site: &Arc<Site>, seed: u64) -> Self {
        let entry = site.entry();
        let catalogue = Catalogue {
            revision: 1,
            entries: IndexMap::from([(entry.name.clone(), entry)]),
        };
        let (catalogue, receiver) = watch::channel(Arc::new(catalogue));
        let nodes = Nodes::default();
        let region = &site.plan().region;
        for (index, endpoint) in site.nodes().iter().enumerate() {
            let seed = seed.wrapping_mul(1000) + index as u64 * 10;
            let peers = LocalPeers {
                from: endpoint.clone(),
                site: site.clone(),
                nodes: nodes.clone(),
            };
            let profile = Profile {
                region: region.clone(),
                zone: endpoint.zone.clone(),
                peer: endpoint.name.clone(),
                link: endpoint.name.clone(),
            };
            let identity = siskinhook_fleet::Identity {
                name: endpoint.name.clone(),
                profile,
                seeds: site.nodes().iter().map(|node| node.name.clone()).collect(),
            };
            let platform = site.platform(endpoint);
            let settings = FleetSettings::default();
            let fleet = Fleet::start(settings, identity, seed + 1, peers, platform.clone());
            let identity = Identity {
                node: endpoint.name.clone(),
                region: region.clone(),
                zone: endpoint.zone.clone(),
            };
            let links = LocalLinks {
                from: endpoint.clone(),
                site: site.clone(),
                nodes: nodes.clone(),
            };
            let targets = site.targets(endpoint);
            let settings = EngineSettings::default();
            let engine = NodeEngine::new(settings, identity, targets, links, platform, seed + 2);
            let runner = engine.clone();
            let (catalogue, view) = (receiver.clone(), fleet.view());
            let task = tokio::spawn(async move { runner.run(catalogue, view).await });
            let running = RunningNode {
                endpoint: endpoint.clone(),
                engine,
                fleet,
                task: task.abort_handle(),
                alive: watch::Sender::new(()),
            };
            lock(&nodes).insert(endpoint.name.clone(), running);
        }
        Self {
            site: site.clone(),
            nodes,
            reads: Arc::default(),
            _catalogue: Arc::new(catalogue),
        }
    }
}

impl Proxy for Cluster {
    async fn run(&self, operation: &Operation) -> Result<Reply, Failure> {
        let name = &self.site.nodes()[operation.node].name;
        let node = lock(&self.nodes)
            .get(name)
            .map(|n| (n.engine.clone(), n.alive.subscribe()));
        let Some((engine, mut alive)) = node else {
            let message = "the node does not run; connect to another one";
            let kind = FailureKind::Unavailable;
            return Err(Failure::not_run(
                kind,
                sqlstate::CONNECTION_FAILURE,
                message,
            ));
        };
        tokio::select! {
            biased;
            result = execute(&engine, operation) => result,
            _ = alive.changed() => {
                let message = "the node was lost";
                Err(Failure::may_have_run(FailureKind::ConnectionLost, message))
            }
        }
    }

    fn kill(&self, node: usize) {
        let name = self.site.nodes()[node].name.clone();
        self.site.network().cut(Cut::Name(name.clone()));
        let Some(node) = lock(&self.nodes).shift_remove(&name) else {
            return;
        };
        node.task.abort();
        let reads = node.engine.counters().snapshot();
        let mut total = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        total.0 += reads.replica_reads;
        total.1 += reads.primary_reads;
        // Keeps the engine longer than any run, so that the remaining tasks of the node see only
        // the cut network.
        let engine = node.engine;
        tokio::spawn(async move {
            let _ = timeout(Duration::from_hours(1), std::future::pending::<()>()).await;
            drop(engine);
        });
    }

    fn reads(&self) -> (u64, u64) {
        let killed_reads = *self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        let nodes = lock(&self.nodes);
        let counters = nodes.values().map(|node| node.engine.counters().snapshot());
        counters.fold(killed_reads, |sum, counters| {
            (
                sum.0 + counters.replica_reads,
                sum.1 + counters.primary_reads,
            )
        })
    }
}

/// Runs a statement in a new session and collects its rows.
async fn execute(engine: &NodeEngine, operation: &Operation) -> Result<Reply, Failure> {
    let bounded = matches!(operation.action, Action::Listing | Action::Report);
    let options = SessionOptions {
        class: Some(operation.action.class()),
        max_age: bounded.then_some(LISTING_MAX_AGE),
        request: operation.request.clone(),
        deadline: Some(operation.deadline),
        token: if bounded {
            None
        } else {
            operation.token.clone()
        },
        ..SessionOptions::default()
    };
    let caller = format!("caller-{}", operation.caller).into();
    let mut session = engine.session(operation.database.clone(), caller, options)?;
    let statement = Statement::simple(operation.sql.as_str());
    let mut answer = session.execute(statement).await?;
    let mut rows = Vec::new();
    while let Some(part) = answer.next().await {
        if let Part::Row { data, .. } = part? {
            rows.push(fields(&data));
        }
    }
    drop(answer);
    Ok(Reply {
        rows,
        token: session.token(),
    })
}

/// Splits the data of a row into its fields, each with a 4-byte length before it.
pub fn fields(data: &[u8]) -> Vec<String> {
    let mut fields = Vec::new();
    let mut rest = data;
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = usize::try_from(i32::from_be_bytes(*length)).unwrap_or(0);
        let (field, tail) = tail.split_at(length.min(tail.len()));
        fields.push(String::from_utf8_lossy(field).into_owned());
        rest = tail;
    }
    fields
}
