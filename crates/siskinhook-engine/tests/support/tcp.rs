//! A cluster of nodes and stand-ins that talk over TCP on the loopback interface.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinhook_engine::{
    Engine, EngineSettings, Identity, LinkOptions, Login, PgOptions, PgTargets, Session, TcpLinks,
    serve_links,
};
use siskinhook_standin::{LocalPlatform, Plan, Site};
use siskinhook_types::{Catalogue, FleetView, Member, MemberState, NodeId};
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

pub type TcpNode = Engine<PgTargets, TcpLinks, LocalPlatform>;
pub type TcpSession = Session<PgTargets, TcpLinks, LocalPlatform>;

/// A site and its nodes on TCP. Dropping it stops the nodes.
pub struct TcpCluster {
    pub site: Site,
    pub nodes: IndexMap<NodeId, TcpNode>,
    pub catalogue: Arc<Catalogue>,
    _tasks: JoinSet<()>,
}

/// Returns the options to connect to the stand-in's servers.
pub fn options() -> PgOptions {
    let login = Login {
        user: "siskinhook".into(),
        password: "siskinhook".into(),
    };
    PgOptions {
        logins: IndexMap::from([("standin".into(), login)]),
        ..PgOptions::default()
    }
}

/// Starts a site and its nodes and waits until they serve requests. The nodes in `leaving` start
/// in the leaving state.
pub async fn start(seed: u64, plan: Plan, leaving: &[&str]) -> TcpCluster {
    let site = Site::start_tcp(seed, plan).await.unwrap();
    let entry = site.entry();
    let catalogue = Arc::new(Catalogue {
        revision: 1,
        entries: IndexMap::from([(entry.name.clone(), entry)]),
    });
    let mut listeners = Vec::new();
    let mut members = IndexMap::new();
    for node in site.nodes() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let member = Member {
            name: node.name.clone(),
            region: site.plan().region.clone(),
            zone: node.zone.clone(),
            peer: "127.0.0.1:1".into(),
            link: listener.local_addr().unwrap().to_string().into(),
            state: if leaving.contains(&node.name.as_str()) {
                MemberState::Leaving
            } else {
                MemberState::Alive
            },
            incarnation: 1,
            revision: 1,
        };
        members.insert(node.name.clone(), member);
        listeners.push((node.clone(), listener));
    }
    let mut tasks = JoinSet::new();
    let mut nodes = IndexMap::new();
    for (number, (node, listener)) in listeners.into_iter().enumerate() {
        let view = FleetView {
            local: node.name.clone(),
            members: members.clone(),
        };
        let (_, catalogue) = watch::channel(catalogue.clone());
        let (_, fleet) = watch::channel(Arc::new(view));
        let identity = Identity {
            node: node.name.clone(),
            region: site.plan().region.clone(),
            zone: node.zone.clone(),
        };
        let links = LinkOptions::default();
        let engine = Engine::new(
            EngineSettings::default(),
            identity,
            PgTargets::new(node.name.clone(), catalogue.clone(), options()),
            TcpLinks::new(node.name.clone(), "secret".into(), fleet.clone(), links),
            site.platform(&node),
            seed + number as u64 * 100,
        );
        let runner = engine.clone();
        tasks.spawn(async move { runner.run(catalogue, fleet).await });
        let accepting = serve_links(listener, engine.clone(), "secret".into());
        tasks.spawn(async move {
            accepting.await.unwrap();
        });
        nodes.insert(node.name.clone(), engine);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    TcpCluster {
        site,
        nodes,
        catalogue,
        _tasks: tasks,
    }
}
