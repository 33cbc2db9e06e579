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
    Listeners, backend::NodeBackend, drain::DrainTask, monitor::Monitor, recorder::AuditRecorder,
    translate, view::View,
};

/// The platform client of a node.
pub(crate) type NodePlatform = Budgeted<RpcPlatform>;
/// The engine of a node.
pub(crate) type NodeEngine = Engine<PgTargets, TcpLinks, NodePlatform>;

/// Interval at which the node's share of the platform's capacity is adjusted to the number of live
/// nodes.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which queued audit records are written to the platform.
const AUDIT_FLUSH_INTERVAL: Duration = Duration::from_secs(2);

/// Time limit for sending the final errors to callers whose work was cut off by a shutdown.
const FINAL_ERROR_TIMEOUT: Duration = Duration::from_secs(2);

/// A running node. Dropping it aborts its tasks; [`Node::drain`] shuts it down gracefully.
pub struct Node {
    settings: NodeSettings,
    addresses: Addresses,
    engine: NodeEngine,
    fleet: Fleet,
    phase: watch::Sender<Phase>,
    drain_tasks: JoinSet<()>,
    callers: JoinSet<std::io::Result<()>>,
    tasks: JoinSet<()>,
    metrics: Metrics,
    _servers: [ServerHandle; 2],
}

impl Node {
    /// Starts a node on bound sockets.
    ///
    /// Until the node has a catalogue, it refuses callers and tells them the reason. After that,
    /// statements wait, within their deadlines, until the primary is known.
    ///
    /// # Errors
    /// Fails when a secret cannot be read or a server cannot be started.
    pub async fn start(settings: NodeSettings, listeners: Listeners) -> anyhow::Result<Self> {
        let addresses = listeners.addresses()?;
        let secret = translate::read_secret(&settings.secret).context("setting secret")?;
        let seed = rand::rng().random();
        let platform = build_platform(&settings, seed)?;
        let peer_secret = Secret::new(&secret);
        let peer_client =
            RpcPeers::new(peer_secret.clone()).with_address_overrides(settings.dial.clone());
        let fleet = start_fleet(
            &settings,
            &addresses,
            seed,
            peer_client.clone(),
            platform.clone(),
        );
        let peer_server = siskinhook_fleet::serve(
            listeners.peers,
            addresses.peers.clone(),
            peer_secret,
            fleet.clone(),
        )
        .with_context(|| format!("cannot serve other nodes on {}", addresses.peers))?;
        let engine = build_engine(&settings, &secret, &fleet, &platform, seed)?;
        let mut tasks = JoinSet::new();
        start_engine(&mut tasks, &engine, &fleet);
        tasks.spawn(update_platform_share(fleet.view(), platform.clone()));
        start_link_server(&mut tasks, listeners.links, &engine, &secret)?;
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let backend = NodeBackend {
            engine: engine.clone(),
            fleet: fleet.clone(),
        };
        let frontend = Arc::new(Frontend::new(
            translate::frontend(&settings),
            translate::users(&settings)?,
            backend.clone(),
            phase_receiver,
        ));
        let mut callers = JoinSet::new();
        let listener = TcpListener::from_std(listeners.callers)?;
        callers.spawn(serve(listener, Arc::clone(&frontend)));
        let view = View::new(
            settings.clone(),
            backend,
            frontend,
            platform.urgent(),
            peer_client,
        );
        tasks.spawn(view.clone().track_contact());
        let drain_task = DrainTask {
            name: settings.name.clone(),
            fleet: fleet.clone(),
            engine: engine.clone(),
            phase: phase.clone(),
            notice: settings.drain.notice,
        };
        let mut drain_tasks = JoinSet::new();
        drain_tasks.spawn(drain_task.follow_intent());
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
        start_metrics_server(&mut tasks, listeners.metrics, monitor)?;
        let store = CatalogueStore::new(platform.urgent(), seed);
        let service = OperatorService::new(view, store, audit, SystemTime::now);
        let operator_server =
            start_operator_server(listeners.operators, &settings, service).await?;
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
            drain_tasks,
            callers,
            tasks,
            metrics,
            _servers: [peer_server, operator_server],
        })
    }

    /// Returns the addresses that the node listens on.
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
        // The channel stays open as long as the node exists.
        let _ = catalogue.wait_for(|catalogue| catalogue.revision > 0).await;
    }

    /// Shuts down gracefully: announces that the node is leaving and waits for work in flight, up
    /// to `drain.deadline` of the settings. Returns whether all work finished; callers whose work
    /// was cut off are told whether it ran.
    ///
    /// If an operator has already drained the node, the shutdown continues from there.
    pub async fn drain(mut self) -> bool {
        let deadline = Instant::now() + self.settings.drain.deadline;
        // Returns false only when the intent is already to stop.
        let _ = self.fleet.set_intent(Intent::Stop);
        while self.drain_tasks.join_next().await.is_some() {}
        if *self.phase.borrow() == Phase::Serving {
            log::info!(target: "siskinhook::node", event = 1001_u32; "node {} is draining", self.settings.name);
            self.fleet.announce_leaving().await;
            tokio::time::sleep(self.settings.drain.notice).await;
        }
        self.phase.send_replace(Phase::Closing);
        let callers = tokio::time::timeout_at(deadline, join_callers(&mut self.callers));
        let finished = callers.await.is_ok();
        if !finished {
            self.phase.send_replace(Phase::Ended);
            // A caller that does not read its last error in time loses its connection.
            let _ =
                tokio::time::timeout(FINAL_ERROR_TIMEOUT, join_callers(&mut self.callers)).await;
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

fn start_link_server(
    tasks: &mut JoinSet<()>,
    listener: std::net::TcpListener,
    engine: &NodeEngine,
    secret: &SmolStr,
) -> anyhow::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let (engine, secret) = (engine.clone(), secret.clone());
    tasks.spawn(async move {
        if let Err(error) = serve_links(listener, engine, secret).await {
            log::error!(target: "siskinhook::node", event = 1003_u32; "stopped accepting links from other nodes: {error}");
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
    let recorder = AuditRecorder {
        node: settings.name.clone(),
        fleet: fleet.clone(),
        audit: audit.clone(),
    };
    tasks.spawn(recorder.run(engine.events()));
    let flusher = audit.clone();
    tasks.spawn(async move { flusher.run(AUDIT_FLUSH_INTERVAL, seed).await });
    audit
}

async fn join_callers(callers: &mut JoinSet<std::io::Result<()>>) {
    while callers.join_next().await.is_some() {}
}

fn start_metrics_server(
    tasks: &mut JoinSet<()>,
    listener: std::net::TcpListener,
    monitor: Monitor,
) -> anyhow::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let (metrics, readiness) = (monitor.metrics.clone(), monitor.readiness.clone());
    tasks.spawn(monitor.run());
    tasks.spawn(async move {
        // Serves until the task is aborted with the node, which closes the listener.
        let never = std::future::pending();
        if let Err(error) = siskinhook_telemetry::serve(listener, metrics, readiness, never).await {
            log::error!(target: "siskinhook::node", event = 1010_u32; "the metrics endpoint ended: {error:#}");
        }
    });
    Ok(())
}

async fn start_operator_server(
    listener: std::net::TcpListener,
    settings: &NodeSettings,
    service: OperatorService<View, NodePlatform>,
) -> anyhow::Result<ServerHandle> {
    let address = listener.local_addr().context("no local address")?;
    // The operator server binds the address again, so the reserved socket is closed first.
    drop(listener);
    let operators = Operators::read(&settings.operators).context("setting operators")?;
    let (_, handle) = siskinhook_operator::serve(address, service, operators).await?;
    Ok(handle)
}

fn build_platform(settings: &NodeSettings, seed: u64) -> anyhow::Result<NodePlatform> {
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

fn start_engine(tasks: &mut JoinSet<()>, engine: &NodeEngine, fleet: &Fleet) {
    let engine = engine.clone();
    let (catalogue, view) = (fleet.catalogue(), fleet.view());
    tasks.spawn(async move { engine.run(catalogue, view).await });
}

/// Adjusts the node's share of the platform's capacity to the number of live nodes.
async fn update_platform_share(
    view: watch::Receiver<Arc<siskinhook_types::FleetView>>,
    platform: NodePlatform,
) {
    loop {
        let live_nodes = view
            .borrow()
            .members
            .values()
            .filter(|m| m.state != siskinhook_types::MemberState::Dead)
            .count();
        platform.set_nodes(live_nodes.max(1));
        tokio::time::sleep(SHARE_UPDATE_INTERVAL).await;
    }
}
