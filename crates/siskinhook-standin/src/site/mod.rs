//! A site: zones, servers, platform and network, in the sizes of a deployment.

mod faults;
mod plan;
mod state;

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use anyhow::Context;
use indexmap::IndexMap;
use jsonrpsee::server::ServerHandle;
use siskinhook_types::{Class, Database, Entry, Limits, ServerId, VmRecord};
use smol_str::{SmolStr, format_smolstr};
use tokio::{net::TcpListener, task::JoinSet};

use crate::{
    fault::NodeFault,
    local::LocalTargets,
    lock,
    network::{Endpoint, Network},
    platform::{LocalPlatform, PlatformStore},
    relay::{self, Route},
    replication::replicate,
    rpc,
    server::Server,
    wire,
};

pub use plan::Plan;
pub use state::{ServerState, SiteState};

/// Number of servers of each database.
const GROUP_SIZE: usize = 3;
/// First port of the placeholder addresses in the catalogue entry of a site without TCP.
const FIRST_LOCAL_PORT: usize = 6000;

/// Binds an ephemeral loopback port.
async fn bind_loopback() -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .context("no loopback port is free; check the open file limit")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

type NodeFaultHandler = Box<dyn Fn(&NodeFault) -> anyhow::Result<()> + Send + Sync>;

/// A site with its servers, platform and network.
pub struct Site {
    plan: Plan,
    network: Network,
    platform: PlatformStore,
    servers: Arc<IndexMap<ServerId, Arc<Server>>>,
    nodes: Vec<Endpoint>,
    /// Addresses of the servers and of the platform, by name.
    addresses: IndexMap<SmolStr, SmolStr>,
    node_fault_handler: Option<NodeFaultHandler>,
    /// Tasks of replication, listeners and relays, which are aborted when the site is dropped.
    tasks: Mutex<JoinSet<()>>,
    /// RPC server of the platform, which stops when the handle is dropped.
    rpc_server: Option<ServerHandle>,
}

impl fmt::Debug for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Site")
            .field("service", &self.plan.service)
            .finish_non_exhaustive()
    }
}

impl Site {
    /// Starts a site in this process. The seed determines which answers of the platform are lost.
    ///
    /// The first server of each database is its primary. The primaries are spread over the zones.
    ///
    /// # Errors
    /// Fails if a seed statement of the plan is rejected.
    pub fn local(seed: u64, plan: Plan) -> anyhow::Result<Self> {
        let network = Network::new(plan.latencies);
        let platform = PlatformStore::new(seed);
        let mut tasks = JoinSet::new();
        let mut servers = IndexMap::new();
        for (index, (database, statements)) in plan.databases.iter().enumerate() {
            let names: Vec<ServerId> = ["a", "b", "c"]
                .map(|letter| format_smolstr!("{database}-{letter}"))
                .into();
            let mut group = Vec::new();
            for (member, name) in names.iter().enumerate() {
                let zone = &plan.zones[(index + member) % plan.zones.len()];
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
            .map(|(index, name): (_, &ServerId)| {
                let port = FIRST_LOCAL_PORT + index;
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
            node_fault_handler: None,
            tasks: Mutex::new(tasks),
            rpc_server: None,
        })
    }

    /// Starts a site that also serves its servers and platform on ephemeral loopback ports.
    ///
    /// # Errors
    /// Fails like `local`, and if a port cannot be opened.
    pub async fn start_tcp(seed: u64, plan: Plan) -> anyhow::Result<Self> {
        let mut site = Self::local(seed, plan)?;
        for (name, server) in site.servers.as_ref() {
            let (listener, address) = bind_loopback().await?;
            lock(&site.tasks).spawn(wire::listen(server.clone(), listener));
            site.addresses
                .insert(name.clone(), format_smolstr!("{address}"));
        }
        let (address, rpc_server) = rpc::serve_platform(site.platform.clone()).await?;
        site.addresses
            .insert(Endpoint::platform().name, format_smolstr!("{address}"));
        site.rpc_server = Some(rpc_server);
        Ok(site)
    }

    /// Returns the address of a server or of `platform`; `None` if the site is not served on TCP.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.rpc_server.as_ref()?;
        self.addresses.get(name)?.parse().ok()
    }

    /// Opens a relay from one endpoint to another, whose address is `target`, and returns the
    /// address to dial instead. The relay is subject to the cuts, delays and silence of the
    /// network.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn relay(
        &self,
        from: &Endpoint,
        to: &Endpoint,
        target: SocketAddr,
    ) -> anyhow::Result<SocketAddr> {
        let (listener, address) = bind_loopback().await?;
        let route = Route {
            from: from.clone(),
            to: to.clone(),
            target,
        };
        lock(&self.tasks).spawn(relay::relay(self.network.clone(), route, listener));
        Ok(address)
    }

    /// Opens relays from a node to all servers and the platform. Returns the dial overrides of the
    /// node, which map each address to the address of its relay.
    ///
    /// # Errors
    /// Fails if the site is not served on TCP or if no port can be opened.
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

    /// Returns the plan that the site was started with.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the simulated network of the site.
    #[must_use]
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Returns the data and state of the platform.
    #[must_use]
    pub fn store(&self) -> &PlatformStore {
        &self.platform
    }

    /// Returns the nodes of the plan, named `n1`, `n2` and so on, with their zones.
    #[must_use]
    pub fn nodes(&self) -> &[Endpoint] {
        &self.nodes
    }

    /// Returns the servers by name.
    #[must_use]
    pub fn servers(&self) -> &IndexMap<ServerId, Arc<Server>> {
        &self.servers
    }

    /// Returns a server by name.
    ///
    /// # Errors
    /// Fails with the list of names if no server has this name.
    pub fn server(&self, name: &str) -> anyhow::Result<&Arc<Server>> {
        self.servers.get(name).with_context(|| {
            let names: Vec<&str> = self.servers.keys().map(SmolStr::as_str).collect();
            format!(
                "there is no server {name}; the servers are {}",
                names.join(", ")
            )
        })
    }

    /// Returns the in-process access of a node to the servers.
    #[must_use]
    pub fn targets(&self, node: &Endpoint) -> LocalTargets {
        LocalTargets::new(node.clone(), self.network.clone(), self.servers.clone())
    }

    /// Returns the in-process access of a node to the platform.
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

    /// Sets the callback that carries out node faults.
    pub fn on_node(
        &mut self,
        callback: impl Fn(&NodeFault) -> anyhow::Result<()> + Send + Sync + 'static,
    ) {
        self.node_fault_handler = Some(Box::new(callback));
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
}
