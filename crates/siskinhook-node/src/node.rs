//! A running node.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use anyhow::Context;
use jsonrpsee::server::ServerHandle;
use rand::Rng;
use siskinhook_catalogue::{AuditLog, CatalogueStore};
use siskinhook_engine::{Engine, Identity, PgTargets, TcpLinks, serve_links};
use siskinhook_fleet::{Fleet, Intent, Profile, RpcPeers, Secret};
use siskinhook_frontend::{Frontend, Phase, serve};
use siskinhook_operator::{OperatorService, Operators};
use siskinhook_platform::{Budgeted, RpcPlatform};
use siskinhook_settings::{Addresses, NodeSettings};
use siskinhook_telemetry::{Metrics, Readiness};
use tokio::{net::TcpListener, sync::watch, task::JoinSet, time::Instant};

use smol_str::SmolStr;

use crate::{
    Listeners, backend::NodeBackend, drain::Drain, monitor::Monitor, trail::Recorder, translate,
    view::View,
};

/// The platform client of a node.
pub(crate) type NodePlatform = Budgeted<RpcPlatform>;
/// The engine of a node.
pub(crate) type NodeEngine = Engine<PgTargets, TcpLinks, NodePlatform>;

/// Interval at which the share of the platform's capacity follows the number of live nodes.
const SHARE_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which audit records of the node are written.
const AUDIT_INTERVAL: Duration = Duration::from_secs(2);

/// Time for the last errors to callers whose work was cut off.
const LAST_WORDS: Duration = Duration::from_secs(2);

/// A running node. Dropping it ends its tasks at once; `drain` ends it gracefully.
pub struct Node {
    settings: NodeSettings,
    addresses: Addresses,
    engine: NodeEngine,
    fleet: Fleet,
    phase: watch::Sender<Phase>,
    drain: JoinSet<()>,
    callers: JoinSet<std::io::Result<()>>,
    tasks: JoinSet<()>,
    metrics: Metrics,
    _servers: [ServerHandle; 2],
}

impl Node {
    /// Starts a node on bound sockets.
    ///
    /// Callers are refused with the reason until the node has a catalogue; statements wait,
    /// within their deadlines, until the primary is known.
    ///
    /// # Errors
    /// Fails when a secret cannot be read or a server cannot be started.
    pub async fn start(settings: NodeSettings, listeners: Listeners) -> anyhow::Result<Self> {
        let addresses = listeners.addresses()?;
        let secret = translate::secret(&settings.secret).context("setting secret")?;
        let seed = rand::rng().random();
        let platform = platform(&settings, seed)?;
        let peer_secret = Secret::new(&secret);
        let calls =
            RpcPeers::new(peer_secret.clone()).with_address_overrides(settings.dial.clone());
        let fleet = start_fleet(&settings, &addresses, seed, calls.clone(), platform.clone());
        let peers = siskinhook_fleet::serve(
            listeners.peers,
            addresses.peers.clone(),
            peer_secret,
            fleet.clone(),
        )
        .with_context(|| format!("cannot serve other nodes on {}", addresses.peers))?;
        let engine = build_engine(&settings, &secret, &fleet, &platform, seed)?;
        let mut tasks = JoinSet::new();
        spawn_engine(&mut tasks, &engine, &fleet);
        tasks.spawn(follow_share(fleet.view(), platform.clone()));
        start_links(&mut tasks, listeners.links, &engine, &secret)?;
        let (phase, phases) = watch::channel(Phase::Serving);
        let backend = NodeBackend {
            engine: engine.clone(),
            fleet: fleet.clone(),
        };
        let frontend = Arc::new(Frontend::new(
            translate::frontend(&settings),
            translate::users(&settings)?,
            backend.clone(),
            phases,
        ));
        let mut callers = JoinSet::new();
        let listener = TcpListener::from_std(listeners.callers)?;
        callers.spawn(serve(listener, Arc::clone(&frontend)));
        let view = View::new(
            settings.clone(),
            backend,
            frontend,
            platform.urgent(),
            calls,
        );
        tasks.spawn(view.clone().follow_contact());
        let follower = Drain {
            name: settings.name.clone(),
            fleet: fleet.clone(),
            engine: engine.clone(),
            phase: phase.clone(),
            notice: settings.drain.notice,
        };
        let mut drain = JoinSet::new();
        drain.spawn(follower.follow());
        let audit = start_audit(&mut tasks, &settings, &engine, &fleet, &platform, seed);
        let monitor = Monitor {
            view: view.clone(),
            engine: engine.clone(),
            platform: platform.clone(),
            audit: audit.clone(),
            metrics: Metrics::new()?,
            readiness: Readiness::waiting("the node is starting"),
        };
        let metrics = monitor.metrics.clone();
        start_metrics(&mut tasks, listeners.metrics, monitor)?;
        let store = CatalogueStore::new(platform.urgent(), seed);
        let service = OperatorService::new(view, store, audit, SystemTime::now);
        let operators = start_operators(listeners.operators, &settings, service).await?;
        log::info!(
            target: "siskinhook::node", event = 1000_u32;
            "node {} started in zone {}", settings.name, settings.zone
        );
        Ok(Self {
            settings,
            addresses,
            engine,
            fleet,
            phase,
            drain,
            callers,
            tasks,
            metrics,
            _servers: [peers, operators],
        })
    }

    /// Returns the addresses the node listens on.
    #[must_use]
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the settings of the node.
    #[must_use]
    pub const fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Waits until the node has a catalogue.
    pub async fn ready(&self) {
        let mut catalogue = self.fleet.catalogue();
        // The channel closes only with the node.
        let _ = catalogue.wait_for(|catalogue| catalogue.revision > 0).await;
    }

    /// Shuts down gracefully: announces that it leaves, lets work in flight finish up to the
    /// deadline of the settings, and ends. Returns whether all work was finished; callers of
    /// work that was cut off are told whether it ran.
    ///
    /// A drain that an operator asked for goes over into the shutdown.
    pub async fn drain(mut self) -> bool {
        let deadline = Instant::now() + self.settings.drain.deadline;
        // Refused only when the node is to stop already.
        let _ = self.fleet.set_intent(Intent::Stop);
        while self.drain.join_next().await.is_some() {}
        if *self.phase.borrow() == Phase::Serving {
            log::info!(target: "siskinhook::node", event = 1001_u32; "node {} is draining", self.settings.name);
            self.fleet.announce_leaving().await;
            tokio::time::sleep(self.settings.drain.notice).await;
        }
        self.phase.send_replace(Phase::Closing);
        let callers = tokio::time::timeout_at(deadline, join(&mut self.callers));
        let finished = callers.await.is_ok();
        if !finished {
            self.phase.send_replace(Phase::Ended);
            // Callers that do not read their last error lose their connection.
            let _ = tokio::time::timeout(LAST_WORDS, join(&mut self.callers)).await;
        }
        let finished = self.engine.drain(deadline.into_std()).await && finished;
        self.engine.shutdown();
        self.fleet.stop().await;
        self.tasks.shutdown().await;
        self.metrics.shutdown();
        log::info!(
            target: "siskinhook::node", event = 1002_u32;
            "node {} stopped; all work finished: {finished}", self.settings.name
        );
        finished
    }
}

fn build_engine(
    settings: &NodeSettings,
    secret: &SmolStr,
    fleet: &Fleet,
    platform: &NodePlatform,
    seed: u64,
) -> anyhow::Result<NodeEngine> {
    let links = TcpLinks::new(
        settings.name.clone(),
        secret.clone(),
        fleet.view(),
        translate::links(settings),
    );
    let targets = PgTargets::new(
        settings.name.clone(),
        fleet.catalogue(),
        translate::targets(settings)?,
    );
    let identity = Identity {
        node: settings.name.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    Ok(Engine::new(
        translate::engine(settings),
        identity,
        targets,
        links,
        platform.urgent(),
        seed,
    ))
}

fn start_links(
    tasks: &mut JoinSet<()>,
    listener: std::net::TcpListener,
    engine: &NodeEngine,
    secret: &SmolStr,
) -> anyhow::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let (engine, secret) = (engine.clone(), secret.clone());
    tasks.spawn(async move {
        if let Err(error) = serve_links(listener, engine, secret).await {
            log::error!(target: "siskinhook::node", event = 1003_u32; "links are no longer accepted: {error}");
        }
    });
    Ok(())
}

fn start_audit(
    tasks: &mut JoinSet<()>,
    settings: &NodeSettings,
    engine: &NodeEngine,
    fleet: &Fleet,
    platform: &NodePlatform,
    seed: u64,
) -> AuditLog<NodePlatform> {
    let audit = AuditLog::new(platform.clone());
    let recorder = Recorder {
        node: settings.name.clone(),
        fleet: fleet.clone(),
        audit: audit.clone(),
    };
    tasks.spawn(recorder.run(engine.events()));
    let flushed = audit.clone();
    tasks.spawn(async move { flushed.run(AUDIT_INTERVAL, seed).await });
    audit
}

async fn join(callers: &mut JoinSet<std::io::Result<()>>) {
    while callers.join_next().await.is_some() {}
}

fn start_metrics(
    tasks: &mut JoinSet<()>,
    listener: std::net::TcpListener,
    monitor: Monitor,
) -> anyhow::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let (metrics, readiness) = (monitor.metrics.clone(), monitor.readiness.clone());
    tasks.spawn(monitor.run());
    tasks.spawn(async move {
        // The task is aborted with the node, which closes the listener.
        let end = std::future::pending();
        if let Err(error) = siskinhook_telemetry::serve(listener, metrics, readiness, end).await {
            log::error!(target: "siskinhook::node", event = 1010_u32; "the metrics endpoint ended: {error:#}");
        }
    });
    Ok(())
}

async fn start_operators(
    listener: std::net::TcpListener,
    settings: &NodeSettings,
    service: OperatorService<View, NodePlatform>,
) -> anyhow::Result<ServerHandle> {
    let address = listener.local_addr().context("no local address")?;
    // The interface opens its own socket on the address that was reserved.
    drop(listener);
    let operators = Operators::read(&settings.operators).context("setting operators")?;
    let (_, handle) = siskinhook_operator::serve(address, service, operators).await?;
    Ok(handle)
}

fn platform(settings: &NodeSettings, seed: u64) -> anyhow::Result<NodePlatform> {
    let address = &settings.platform.address;
    let dialed = settings.dial.get(address).unwrap_or(address);
    let client = RpcPlatform::new(dialed, settings.platform.timeout)
        .with_context(|| format!("cannot create a client for the platform at {dialed}"))?;
    Ok(Budgeted::new(client, translate::budget(settings), seed))
}

fn start_fleet(
    settings: &NodeSettings,
    addresses: &Addresses,
    seed: u64,
    peers: RpcPeers,
    platform: NodePlatform,
) -> Fleet {
    let identity = siskinhook_fleet::Identity {
        name: settings.name.clone(),
        profile: Profile {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            peer: addresses.peers.clone(),
            link: addresses.links.clone(),
        },
        seeds: Vec::new(),
    };
    Fleet::start(translate::fleet(settings), identity, seed, peers, platform)
}

fn spawn_engine(tasks: &mut JoinSet<()>, engine: &NodeEngine, fleet: &Fleet) {
    let engine = engine.clone();
    let (catalogue, view) = (fleet.catalogue(), fleet.view());
    tasks.spawn(async move { engine.run(catalogue, view).await });
}

/// Keeps the node's share of the platform's capacity in step with the size of the fleet.
async fn follow_share(
    view: watch::Receiver<Arc<siskinhook_types::FleetView>>,
    platform: NodePlatform,
) {
    loop {
        let live = view
            .borrow()
            .members
            .values()
            .filter(|m| m.state != siskinhook_types::MemberState::Dead)
            .count();
        platform.set_nodes(live.max(1));
        tokio::time::sleep(SHARE_INTERVAL).await;
    }
}
