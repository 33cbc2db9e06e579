//! A cluster of a few nodes on the in-process stand-ins, with one paused clock.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

pub mod counted;
pub mod write_load;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;
use siskinhook_engine::{
    CountersSnapshot, Engine, EngineSettings, Identity, Session, SessionOptions,
};
use siskinhook_standin::{Cut, Endpoint, LocalPlatform, Plan, Site};
use siskinhook_types::{
    Catalogue, Failure, FailureKind, FleetView, Link, Links, Member, MemberState, NodeId, Part,
    Request, Statement, Token,
};
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};

use counted::{CountedTargets, Registry};

pub type Node = Engine<CountedTargets, LocalLinks, LocalPlatform>;
pub type NodeSession = Session<CountedTargets, LocalLinks, LocalPlatform>;
type Nodes = Arc<Mutex<IndexMap<NodeId, (Endpoint, Node)>>>;

/// Links between the nodes of a test over the simulated network.
#[derive(Clone)]
pub struct LocalLinks {
    from: Endpoint,
    site: Arc<Site>,
    nodes: Nodes,
}

pub struct LocalLink {
    requests: mpsc::Sender<Request>,
    parts: mpsc::Receiver<Result<Part, Failure>>,
}

impl Links for LocalLinks {
    type Link = LocalLink;

    async fn open(&self, node: &NodeId) -> Result<LocalLink, Failure> {
        let found = self.nodes.lock().unwrap().get(node).cloned();
        let Some((to, engine)) = found else {
            return Err(Failure::not_run(
                FailureKind::Unavailable,
                "08006",
                format!("node {node} does not run"),
            ));
        };
        let connection = self.site.network().connect(self.from.clone(), to);
        connection.pass().await;
        connection.pass().await;
        let mut owner = engine.accept_link();
        let (requests, mut incoming) = mpsc::channel::<Request>(1);
        let (outgoing, parts) = mpsc::channel(8);
        tokio::spawn(async move {
            let relay = async {
                while let Some(request) = incoming.recv().await {
                    connection.pass().await;
                    if owner.start(request).await.is_err() {
                        return;
                    }
                    loop {
                        let part = owner.next().await;
                        let last = !matches!(&part, Ok(part) if !matches!(part, Part::Done { .. }));
                        connection.pass().await;
                        if outgoing.send(part).await.is_err() {
                            return;
                        }
                        if last {
                            break;
                        }
                    }
                }
            };
            tokio::select! {
                biased;
                () = outgoing.closed() => {}
                () = relay => {}
            }
        });
        Ok(LocalLink { requests, parts })
    }
}

impl Link for LocalLink {
    async fn start(&mut self, request: Request) -> Result<(), Failure> {
        let sent = self.requests.send(request).await;
        sent.map_err(|_| Failure::not_run(FailureKind::ConnectionLost, "08006", "link closed"))
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        let lost = || Failure::may_have_run(FailureKind::ConnectionLost, "link closed");
        self.parts.recv().await.unwrap_or_else(|| Err(lost()))
    }
}

/// A site and the nodes that run in it.
pub struct Cluster {
    pub site: Arc<Site>,
    pub nodes: Nodes,
    pub connections: Arc<Registry>,
    catalogue: watch::Sender<Arc<Catalogue>>,
    fleets: IndexMap<NodeId, watch::Sender<Arc<FleetView>>>,
}

/// Returns a plan of a site with one database in three zones.
pub fn plan(nodes: usize) -> Plan {
    let mut plan = Plan::shiftdesk();
    plan.nodes = nodes;
    plan.databases.retain(|name, _| name == "claims");
    plan
}

impl Cluster {
    /// Starts the nodes of a plan and waits until they serve requests.
    pub async fn start(seed: u64, plan: Plan) -> Self {
        let cluster = Self::start_with(seed, plan, &EngineSettings::default());
        tokio::time::sleep(Duration::from_secs(2)).await;
        cluster
    }

    pub fn start_with(seed: u64, plan: Plan, settings: &EngineSettings) -> Self {
        println!("seed {seed}");
        let region = plan.region.clone();
        let site = Arc::new(Site::local(seed, plan).unwrap());
        let entry = site.entry();
        let catalogue = Catalogue {
            revision: 1,
            entries: IndexMap::from([(entry.name.clone(), entry)]),
        };
        let mut cluster = Self {
            site: site.clone(),
            nodes: Nodes::default(),
            connections: Arc::default(),
            catalogue: watch::Sender::new(Arc::new(catalogue)),
            fleets: IndexMap::new(),
        };
        let members: IndexMap<NodeId, Member> = site
            .nodes()
            .iter()
            .map(|node| (node.name.clone(), member(node, &region)))
            .collect();
        for (number, endpoint) in site.nodes().iter().enumerate() {
            let identity = Identity {
                node: endpoint.name.clone(),
                region: region.clone(),
                zone: endpoint.zone.clone(),
            };
            let links = LocalLinks {
                from: endpoint.clone(),
                site: site.clone(),
                nodes: cluster.nodes.clone(),
            };
            let targets = CountedTargets {
                inner: site.targets(endpoint),
                node: endpoint.name.clone(),
                registry: cluster.connections.clone(),
            };
            let engine = Node::new(
                settings.clone(),
                identity,
                targets,
                links,
                site.platform(endpoint),
                seed + number as u64 * 100,
            );
            let view = FleetView {
                local: endpoint.name.clone(),
                members: members.clone(),
            };
            let fleet = watch::Sender::new(Arc::new(view));
            let (catalogue, view) = (cluster.catalogue.subscribe(), fleet.subscribe());
            let runner = engine.clone();
            tokio::spawn(async move { runner.run(catalogue, view).await });
            cluster.fleets.insert(endpoint.name.clone(), fleet);
            let node = (endpoint.clone(), engine);
            cluster
                .nodes
                .lock()
                .unwrap()
                .insert(endpoint.name.clone(), node);
        }
        cluster
    }

    pub fn node(&self, name: &str) -> Node {
        self.nodes.lock().unwrap()[name].1.clone()
    }

    /// Changes the state of a member in the views of all nodes, or only of those in `in_views`.
    pub fn set_state(&self, name: &str, state: MemberState, in_views: Option<&[&str]>) {
        for (node, fleet) in &self.fleets {
            if in_views.is_none_or(|views| views.contains(&node.as_str())) {
                fleet.send_modify(|view| {
                    Arc::make_mut(view).members[name].state = state;
                });
            }
        }
    }

    pub fn edit_catalogue(&self, edit: impl FnOnce(&mut Catalogue)) {
        self.catalogue.send_modify(|catalogue| {
            let catalogue = Arc::make_mut(catalogue);
            catalogue.revision += 1;
            edit(catalogue);
        });
    }

    pub fn session(&self, node: &str) -> NodeSession {
        self.session_with(node, SessionOptions::default())
    }

    pub fn session_with(&self, node: &str, options: SessionOptions) -> NodeSession {
        let node = self.node(node);
        node.session("claims".into(), "meera".into(), options)
            .unwrap()
    }

    /// Returns the name of the primary with the highest term.
    pub fn primary(&self) -> SmolStr {
        let servers = self.site.servers().values().map(|server| server.status());
        let primaries = servers.filter(|s| s.role == siskinhook_types::Role::Primary);
        primaries.max_by_key(|s| s.term).unwrap().server
    }

    /// Returns the node that owns a server.
    pub fn owner(&self, server: &str) -> SmolStr {
        let node = self
            .nodes
            .lock()
            .unwrap()
            .values()
            .next()
            .unwrap()
            .1
            .clone();
        node.report().databases["claims"].servers[server]
            .owner
            .clone()
            .unwrap()
    }

    /// Returns the sum of a counter over all nodes.
    pub fn total(&self, counter: impl Fn(&CountersSnapshot) -> u64) -> u64 {
        let nodes = self.nodes.lock().unwrap();
        let counters = nodes.values().map(|(_, node)| node.counters().snapshot());
        counters.map(|counters| counter(&counters)).sum()
    }

    pub fn cut(&self, cut: Cut) {
        self.site.network().cut(cut);
    }

    pub fn heal(&self, cut: &Cut) {
        self.site.network().heal(cut, false);
    }
}

fn member(node: &Endpoint, region: &SmolStr) -> Member {
    Member {
        name: node.name.clone(),
        region: region.clone(),
        zone: node.zone.clone(),
        peer: node.name.clone(),
        link: node.name.clone(),
        state: MemberState::Alive,
        incarnation: 1,
        revision: 1,
    }
}

/// Runs a statement and returns its rows as text, together with its command tag.
pub async fn run(
    session: &mut NodeSession,
    sql: &str,
) -> Result<(Vec<Vec<String>>, String), Failure> {
    let mut answer = session.execute(Statement::simple(sql)).await?;
    let mut rows = Vec::new();
    while let Some(part) = answer.next().await {
        match part? {
            Part::Row { data, .. } => rows.push(fields(&data)),
            Part::Done { tag, .. } => return Ok((rows, tag.to_string())),
            _ => {}
        }
    }
    panic!("the answer to {sql} ended without its last part");
}

/// Inserts a claim.
pub async fn insert(session: &mut NodeSession, shift: u64) -> Result<(), Failure> {
    let sql = format!("INSERT INTO claims VALUES ({shift}, 'dhruv')");
    let (_, tag) = run(session, &sql).await?;
    assert_eq!(tag, "INSERT 0 1");
    Ok(())
}

/// Inserts a claim outside a transaction and returns its token.
pub async fn claim(session: &mut NodeSession, shift: u64) -> Result<Token, Failure> {
    insert(session, shift).await?;
    Ok(session.token().expect("an acknowledged write has a token"))
}

/// Counts the claims of a shift.
pub async fn claims(session: &mut NodeSession, shift: u64) -> Result<usize, Failure> {
    let sql = format!("SELECT barista FROM claims WHERE shift_id = {shift}");
    Ok(run(session, &sql).await?.0.len())
}

fn fields(data: &[u8]) -> Vec<String> {
    let mut fields = Vec::new();
    let mut rest = data;
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = usize::try_from(i32::from_be_bytes(*length)).unwrap_or(0);
        fields.push(String::from_utf8(tail[..length].to_vec()).unwrap());
        rest = &tail[length..];
    }
    fields
}
