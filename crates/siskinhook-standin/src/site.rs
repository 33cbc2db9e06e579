//! A whole site: zones, servers, platform and network in the sizes of a deployment.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Context;
use indexmap::IndexMap;
use jsonrpsee::server::ServerHandle;
use siskinhook_types::{
    Class, Database, DatabaseId, Entry, Limits, NodeId, PartnerId, Region, Role, ServerId,
    ServerStatus, ServiceId, VmRecord, Zone, value_type,
};
use smol_str::{SmolStr, format_smolstr};
use tokio::{net::TcpListener, task::JoinSet};

use crate::{
    fault::{Fault, NodeFault},
    local::LocalTargets,
    lock,
    network::{Cut, Endpoint, Latencies, Network},
    platform::{LocalPlatform, PlatformState, PlatformStore},
    relay::{self, Route},
    replication::replicate,
    rpc,
    server::{Server, ServerOptions},
    wire,
};

/// Servers of each database.
const GROUP_SIZE: usize = 3;
/// First port of the addresses in an entry whose servers are not on TCP.
const LOCAL_PORT: usize = 6000;

/// Sizes and seeded tables of a site.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Region.
    pub region: Region,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Service of the catalogue entry.
    pub service: ServiceId,
    /// Owner of the catalogue entry.
    pub owner: PartnerId,
    /// Databases and the statements that seed them.
    pub databases: IndexMap<DatabaseId, Vec<String>>,
    /// Number of nodes.
    pub nodes: usize,
    /// Options of each server.
    pub server: ServerOptions,
    /// Latencies.
    pub latencies: Latencies,
}

fn seed(statements: &[&str]) -> Vec<String> {
    let outcome = "CREATE TABLE siskinhook_outcome (request_id text PRIMARY KEY, tag text)";
    statements
        .iter()
        .copied()
        .chain([outcome])
        .map(str::to_owned)
        .collect()
}

impl Plan {
    /// The Shared Shift Desk as deployed today.
    #[must_use]
    pub fn shiftdesk() -> Self {
        let databases = [
            (
                "shifts",
                seed(&[
                    "CREATE TABLE shifts (id bigint PRIMARY KEY, cafe text NOT NULL, \
                     starts text NOT NULL, claimed_by text)",
                    "INSERT INTO shifts VALUES (1, 'Ahmedabad Law Garden', '06:30', NULL), \
                     (2, 'Vadodara Alkapuri', '07:00', NULL), (3, 'Surat Athwa', '06:45', NULL), \
                     (4, 'Ahmedabad Navrangpura', '07:15', NULL)",
                ]),
            ),
            (
                "claims",
                seed(&[
                    "CREATE TABLE claims (shift_id bigint PRIMARY KEY, barista text NOT NULL)",
                    "INSERT INTO claims VALUES (90, 'meera'), (91, 'kiran')",
                ]),
            ),
            (
                "payroll",
                seed(&[
                    "CREATE TABLE payroll (barista text PRIMARY KEY, amount bigint NOT NULL)",
                    "INSERT INTO payroll VALUES ('meera', 41200), ('kiran', 38750), \
                     ('dhruv', 40100)",
                ]),
            ),
        ];
        Self {
            region: "guj-west".into(),
            zones: ["ahd-a", "vdr-b", "srt-c"].map(Into::into).into(),
            service: "shiftdesk-db".into(),
            owner: "sabarmati".into(),
            databases: databases.map(|(name, seed)| (name.into(), seed)).into(),
            nodes: 8,
            server: ServerOptions::default(),
            latencies: Latencies::default(),
        }
    }

    /// The head office's connection pooler as deployed today.
    #[must_use]
    pub fn uze() -> Self {
        let databases = [
            (
                "orders",
                seed(&[
                    "CREATE TABLE orders (id bigint PRIMARY KEY, workshop text NOT NULL, \
                     braid text NOT NULL, metres bigint NOT NULL)",
                    "INSERT INTO orders VALUES (1, 'Split', 'eight-strand', 120), \
                     (2, 'Sinj', 'solid', 40), (3, 'Omis', 'twelve-strand', 75)",
                ]),
            ),
            (
                "stock",
                seed(&[
                    "CREATE TABLE stock (spool bigint PRIMARY KEY, fibre text NOT NULL, \
                     metres bigint NOT NULL)",
                    "INSERT INTO stock VALUES (1, 'hemp', 900), (2, 'flax', 1250), \
                     (3, 'polyamide', 3100)",
                ]),
            ),
            (
                "billing",
                seed(&[
                    "CREATE TABLE royalties (invoice text PRIMARY KEY, franchisee text NOT NULL, \
                     amount bigint NOT NULL)",
                    "INSERT INTO royalties VALUES ('2025-12-split', 'Split', 18400), \
                     ('2025-12-sinj', 'Sinj', 9200)",
                ]),
            ),
        ];
        Self {
            region: "hr-jug".into(),
            zones: ["split-a", "split-b", "sinj-a", "omis-a"]
                .map(Into::into)
                .into(),
            service: "uze-core".into(),
            owner: "uzarija".into(),
            databases: databases.map(|(name, seed)| (name.into(), seed)).into(),
            nodes: 8,
            server: ServerOptions {
                connections: 32,
                setup: Duration::from_millis(27),
                ..ServerOptions::default()
            },
            latencies: Latencies::default(),
        }
    }
}

value_type! {
    /// What a site reports about itself.
    pub struct SiteState {
        /// Status of each server.
        pub servers: IndexMap<ServerId, ServerState>,
        /// How the platform works.
        pub platform: PlatformState,
        /// Cuts in force.
        pub cuts: Vec<Cut>,
        /// Nodes.
        pub nodes: Vec<Endpoint>,
    }

    /// State of a server in a site.
    pub struct ServerState {
        /// Zone.
        pub zone: Zone,
        /// Whether its process is ended.
        pub crashed: bool,
        /// What it reports about itself.
        pub status: ServerStatus,
    }
}

impl fmt::Display for SiteState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:<8} {:<8} {:>5} {:>8} {:<12} {:>7} {:>6} {:<8}",
            "server", "zone", "role", "term", "last", "follows", "contact", "conns", "holder"
        )?;
        for (name, server) in &self.servers {
            let status = &server.status;
            let role = match (server.crashed, status.role) {
                (true, _) => "crashed",
                (false, Role::Primary) => "primary",
                (false, Role::Replica) => "replica",
            };
            writeln!(
                f,
                "{name:<12} {:<8} {role:<8} {:>5} {:>8} {:<12} {:>7} {:>6} {:<8}",
                server.zone,
                status.term,
                status.last.to_string(),
                status.primary.as_deref().unwrap_or("-"),
                status
                    .contact
                    .map_or_else(|| "-".into(), |age| format!("{age} ms")),
                status.connections,
                status.holder.as_deref().unwrap_or("-"),
            )?;
        }
        writeln!(f, "platform: {:?}", self.platform)?;
        write!(f, "cuts: {:?}", self.cuts)
    }
}

/// Binds a loopback port chosen by the system.
async fn bind() -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .context("no loopback port is free; check the open file limit")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

type OnNode = Box<dyn Fn(&NodeFault) -> anyhow::Result<()> + Send + Sync>;

/// A site with its servers, platform and network.
pub struct Site {
    plan: Plan,
    network: Network,
    platform: PlatformStore,
    servers: Arc<IndexMap<ServerId, Arc<Server>>>,
    nodes: Vec<Endpoint>,
    /// Addresses of the servers and of the platform, by name.
    addresses: IndexMap<SmolStr, SmolStr>,
    on_node: Option<OnNode>,
    /// Replication, listeners and relays; they end with the site.
    tasks: Mutex<JoinSet<()>>,
    /// The platform's RPC server, which ends with its handle.
    handle: Option<ServerHandle>,
}

impl fmt::Debug for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Site")
            .field("service", &self.plan.service)
            .finish_non_exhaustive()
    }
}

impl Site {
    /// Starts a site in this process. The seed decides which answers of the platform are lost.
    ///
    /// The first server of each database is its primary; primaries are spread over the zones.
    ///
    /// # Errors
    /// Fails when a statement of the plan's seed is rejected.
    pub fn local(seed: u64, plan: Plan) -> anyhow::Result<Self> {
        let network = Network::new(plan.latencies);
        let platform = PlatformStore::new(seed);
        let mut tasks = JoinSet::new();
        let mut servers = IndexMap::new();
        for (place, (database, statements)) in plan.databases.iter().enumerate() {
            let names: Vec<ServerId> = ["a", "b", "c"]
                .map(|letter| format_smolstr!("{database}-{letter}"))
                .into();
            let mut group = Vec::new();
            for (member, name) in names.iter().enumerate() {
                let zone = &plan.zones[(place + member) % plan.zones.len()];
                let server = Server::new(
                    Endpoint::new(name.clone(), zone.clone()),
                    network.clone(),
                    plan.server.clone(),
                    &names[0],
                    statements,
                )
                .with_context(|| format!("the seed of database {database} is wrong"))?;
                group.push(server);
            }
            debug_assert_eq!(group.len(), GROUP_SIZE);
            for server in &group {
                tasks.spawn(replicate(server.clone(), group.clone()));
                servers.insert(server.endpoint().name.clone(), server.clone());
            }
        }
        let nodes: Vec<Endpoint> = (0..plan.nodes)
            .map(|node| {
                let zone = plan.zones[node % plan.zones.len()].clone();
                Endpoint::new(format_smolstr!("n{}", node + 1), zone)
            })
            .collect();
        let vms = nodes.iter().map(|node| VmRecord {
            name: node.name.clone(),
            region: plan.region.clone(),
            zone: node.zone.clone(),
            address: node.name.clone(),
            leaving: false,
        });
        platform.set_vms(vms.collect());
        let addresses = servers
            .keys()
            .enumerate()
            .map(|(place, name): (_, &ServerId)| {
                let port = LOCAL_PORT + place;
                (name.clone(), format_smolstr!("127.0.0.1:{port}"))
            })
            .collect();
        Ok(Self {
            plan,
            network,
            platform,
            servers: Arc::new(servers),
            nodes,
            addresses,
            on_node: None,
            tasks: Mutex::new(tasks),
            handle: None,
        })
    }

    /// Starts a site that serves its servers and platform on loopback ports chosen by the
    /// system.
    ///
    /// # Errors
    /// As `local`, and when a port cannot be opened.
    pub async fn start_tcp(seed: u64, plan: Plan) -> anyhow::Result<Self> {
        let mut site = Self::local(seed, plan)?;
        for (name, server) in site.servers.as_ref() {
            let (listener, address) = bind().await?;
            lock(&site.tasks).spawn(wire::listen(server.clone(), listener));
            site.addresses
                .insert(name.clone(), format_smolstr!("{address}"));
        }
        let (address, handle) = rpc::serve_platform(site.platform.clone()).await?;
        site.addresses
            .insert(Endpoint::platform().name, format_smolstr!("{address}"));
        site.handle = Some(handle);
        Ok(site)
    }

    /// Returns the address of a server or of `platform`, if the site serves it on TCP.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.handle.as_ref()?;
        self.addresses.get(name)?.parse().ok()
    }

    /// Opens a relay from one endpoint to another, whose address is `target`; returns the
    /// address to dial instead. Cuts, delays and silence of the network act on it.
    ///
    /// # Errors
    /// Fails when no port can be opened.
    pub async fn relay(
        &self,
        from: &Endpoint,
        to: &Endpoint,
        target: SocketAddr,
    ) -> anyhow::Result<SocketAddr> {
        let (listener, address) = bind().await?;
        let route = Route {
            from: from.clone(),
            to: to.clone(),
            target,
        };
        lock(&self.tasks).spawn(relay::relay(self.network.clone(), route, listener));
        Ok(address)
    }

    /// Opens relays from a node to all servers and the platform; returns the dial overrides of
    /// the node: the relay's address for each address.
    ///
    /// # Errors
    /// Fails when the site does not serve on TCP, or when no port can be opened.
    pub async fn overrides(&self, node: &Endpoint) -> anyhow::Result<IndexMap<SmolStr, SmolStr>> {
        let mut overrides = IndexMap::new();
        for (name, address) in &self.addresses {
            let target = self
                .address(name)
                .context("only a site on TCP has relays; start it with start_tcp")?;
            let to = match self.servers.get(name) {
                Some(server) => server.endpoint().clone(),
                None => Endpoint::platform(),
            };
            let dial = self.relay(node, &to, target).await?;
            overrides.insert(address.clone(), format_smolstr!("{dial}"));
        }
        Ok(overrides)
    }

    /// Returns the plan.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the network.
    #[must_use]
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Returns the platform's data and state.
    #[must_use]
    pub fn store(&self) -> &PlatformStore {
        &self.platform
    }

    /// Returns the nodes of the plan with their zones, named `n1`, `n2` and so on.
    #[must_use]
    pub fn nodes(&self) -> &[Endpoint] {
        &self.nodes
    }

    /// Returns the servers by name.
    #[must_use]
    pub fn servers(&self) -> &IndexMap<ServerId, Arc<Server>> {
        &self.servers
    }

    /// Returns a server.
    ///
    /// # Errors
    /// Fails with the list of names when there is none of this name.
    pub fn server(&self, name: &str) -> anyhow::Result<&Arc<Server>> {
        self.servers.get(name).with_context(|| {
            let names: Vec<&str> = self.servers.keys().map(SmolStr::as_str).collect();
            format!(
                "there is no server {name}; the servers are {}",
                names.join(", ")
            )
        })
    }

    /// Returns the access of a node to the servers, in this process.
    #[must_use]
    pub fn targets(&self, node: &Endpoint) -> LocalTargets {
        LocalTargets::new(node.clone(), self.network.clone(), self.servers.clone())
    }

    /// Returns the access of a node to the platform, in this process.
    #[must_use]
    pub fn platform(&self, node: &Endpoint) -> LocalPlatform {
        LocalPlatform::new(node.clone(), self.network.clone(), self.platform.clone())
    }

    /// Returns the catalogue entry of the site's service.
    #[must_use]
    pub fn entry(&self) -> Entry {
        let databases = self.plan.databases.keys().map(|database| {
            let servers = ["a", "b", "c"].iter().filter_map(|letter| {
                let server = self.servers.get(format!("{database}-{letter}").as_str())?;
                let Endpoint { name, zone } = server.endpoint().clone();
                Some(siskinhook_types::Server {
                    address: self.addresses.get(&name).cloned().unwrap_or_default(),
                    name,
                    zone,
                    leaving: false,
                })
            });
            let database_entry = Database {
                servers: servers.collect(),
            };
            (database.clone(), database_entry)
        });
        Entry {
            name: self.plan.service.clone(),
            owner: self.plan.owner.clone(),
            class: Class::Short,
            limits: Limits {
                slots: u32::try_from(self.plan.server.slots).unwrap_or(u32::MAX),
                connections: u32::try_from(self.plan.server.connections).unwrap_or(u32::MAX),
                ..Limits::default()
            },
            max_age: None,
            credentials: "standin".into(),
            databases: databases.collect(),
        }
    }

    /// Sets what carries out faults of nodes.
    pub fn on_node(
        &mut self,
        callback: impl Fn(&NodeFault) -> anyhow::Result<()> + Send + Sync + 'static,
    ) {
        self.on_node = Some(Box::new(callback));
    }

    /// Returns the state of the site.
    #[must_use]
    pub fn state(&self) -> SiteState {
        let servers = self.servers.iter().map(|(name, server)| {
            let state = ServerState {
                zone: server.endpoint().zone.clone(),
                crashed: server.is_crashed(),
                status: server.status(),
            };
            (name.clone(), state)
        });
        SiteState {
            servers: servers.collect(),
            platform: self.platform.state(),
            cuts: self.network.cuts(),
            nodes: self.nodes.clone(),
        }
    }

    /// Injects a fault, or ends one.
    ///
    /// # Errors
    /// Fails when the fault names something that is not part of the site.
    pub fn apply(&self, fault: &Fault) -> anyhow::Result<()> {
        match fault {
            Fault::Cut(cut) => {
                self.check(cut)?;
                self.network.cut(cut.clone());
            }
            Fault::Heal { cut, silent } => {
                self.check(cut)?;
                self.network.heal(cut, *silent);
            }
            Fault::Silence(cut) => {
                self.check(cut)?;
                self.network.silence(cut);
            }
            Fault::Delay { cut, milliseconds } => {
                self.check(cut)?;
                self.network
                    .delay(cut, Duration::from_millis(*milliseconds));
            }
            Fault::Lag {
                server,
                milliseconds,
            } => self
                .server(server)?
                .set_lag(Duration::from_millis(*milliseconds)),
            Fault::Slow {
                server,
                milliseconds,
            } => self
                .server(server)?
                .set_slowness(Duration::from_millis(*milliseconds)),
            Fault::Platform(state) => self.platform.set_state(*state),
            Fault::Crash(server) => self.server(server)?.crash(),
            Fault::Restart(server) => self.server(server)?.restart(),
            Fault::Node(fault) => {
                self.check_node(fault.node())?;
                let callback = self
                    .on_node
                    .as_ref()
                    .context("this site has no nodes of its own; start the demo for that")?;
                callback(fault)?;
            }
        }
        Ok(())
    }

    fn check(&self, cut: &Cut) -> anyhow::Result<()> {
        match cut {
            Cut::Zone(zone) | Cut::Platform(zone) => self.check_zone(zone),
            Cut::Name(name) => self
                .check_node(name)
                .or_else(|_| self.server(name).map(|_| ())),
            Cut::Pair(first, second) => [first, second].into_iter().try_for_each(|name| {
                self.check_zone(name)
                    .or_else(|_| self.check_node(name))
                    .or_else(|_| self.server(name).map(|_| ()))
            }),
        }
    }

    fn check_zone(&self, zone: &Zone) -> anyhow::Result<()> {
        let known = self.plan.zones.contains(zone);
        known.then_some(()).with_context(|| {
            format!(
                "there is no zone {zone}; the zones are {}",
                self.plan.zones.join(", ")
            )
        })
    }

    fn check_node(&self, node: &NodeId) -> anyhow::Result<()> {
        let known = self.nodes.iter().any(|endpoint| endpoint.name == *node);
        known.then_some(()).with_context(|| {
            format!(
                "there is no node {node}; the nodes are n1 to n{}",
                self.nodes.len()
            )
        })
    }
}
