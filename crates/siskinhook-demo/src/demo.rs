//! Starts a site's stand-ins on loopback ports, with nodes in front of them.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, bail};
use indexmap::IndexMap;
use siskinhook_catalogue::{Author, CatalogueStore, Edit};
use siskinhook_node::Listeners;
use siskinhook_platform::RpcPlatform;
use siskinhook_settings::Addresses;
use siskinhook_standin::{Endpoint, NodeFault, Plan, Site, serve_demo};
use siskinhook_types::{NodeId, VmRecord};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::task::JoinSet;

use crate::{NodeHost, NodeSummary, Summary, settings};

/// Timeout of a platform call while the demo starts.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The sites that the demo can run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SiteName {
    /// The Shared Shift Desk.
    #[default]
    Shiftdesk,
    /// The pooler of the franchise workshops.
    Uze,
}

/// Options of the demo.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemoOptions {
    /// Site to run.
    pub site: SiteName,
    /// Number of nodes: the site's own number if `None`, only the stand-ins if 0.
    pub nodes: Option<usize>,
    /// Seed of the random choices that the stand-ins make.
    pub seed: u64,
}

/// A running site with its nodes.
pub struct Demo {
    site: Arc<Site>,
    hosts: Arc<IndexMap<NodeId, NodeHost>>,
    summary: Summary,
    addresses: IndexMap<NodeId, Addresses>,
    _control_server: jsonrpsee::server::ServerHandle,
}

/// A node that is not started yet, with its listeners bound.
struct BoundNode {
    endpoint: Endpoint,
    listeners: Listeners,
    addresses: Addresses,
}

impl Demo {
    /// Starts the site and its nodes, and waits until each database takes writes.
    ///
    /// # Errors
    /// Fails when a port cannot be opened, or a stand-in or node does not start.
    pub async fn start(options: DemoOptions) -> anyhow::Result<Self> {
        let plan = plan(&options);
        let mut site = Site::start_tcp(options.seed, plan).await?;
        let bound = bind_nodes(site.nodes())?;
        site.store().start_with_vms(vm_records(&site, &bound));
        let platform = site
            .address("platform")
            .context("the platform has no address")?;
        publish_entry(&site, &platform.to_smolstr()).await?;
        let dials = open_relays(&site, &bound).await?;
        let mut nodes = Vec::new();
        let mut addresses = IndexMap::new();
        let mut start_tasks = JoinSet::new();
        for (index, (node, dial)) in bound.into_iter().zip(dials).enumerate() {
            nodes.push(node_summary(&node));
            addresses.insert(node.endpoint.name.clone(), node.addresses.clone());
            let settings = settings::node_settings(
                site.plan(),
                &node.endpoint,
                node.addresses,
                platform.to_smolstr(),
                dial,
            );
            let name = node.endpoint.name;
            start_tasks.spawn(async move {
                (index, name, NodeHost::start(settings, node.listeners).await)
            });
        }
        let mut started = start_tasks.join_all().await;
        started.sort_by_key(|(index, ..)| *index);
        let mut hosts = IndexMap::new();
        for (_, name, host) in started {
            let host = host.with_context(|| format!("cannot start node {name}"))?;
            hosts.insert(name, host);
        }
        let hosts = Arc::new(hosts);
        let fault_hosts = Arc::clone(&hosts);
        site.on_node(move |fault| apply_node_fault(&fault_hosts, fault));
        let databases = site.plan().databases.keys().cloned().collect();
        let site = Arc::new(site);
        let (control, handle) = serve_demo(Arc::clone(&site)).await?;
        let summary = Summary {
            nodes,
            databases,
            user: settings::CALLER_USER.into(),
            password: settings::CALLER_PASSWORD.into(),
            control: control.to_smolstr(),
            operators: settings::operator_tokens(),
        };
        Ok(Self {
            site,
            hosts,
            summary,
            addresses,
            _control_server: handle,
        })
    }

    /// Returns the addresses and credentials to print.
    #[must_use]
    pub const fn summary(&self) -> &Summary {
        &self.summary
    }

    /// Returns the addresses of a node.
    #[must_use]
    pub fn addresses(&self, node: &str) -> Option<&Addresses> {
        self.addresses.get(node)
    }

    /// Returns the site, to inject faults and to inspect the stand-ins directly.
    #[must_use]
    pub fn site(&self) -> &Arc<Site> {
        &self.site
    }

    /// Kills a node and starts it again on the same addresses, without its state.
    ///
    /// # Errors
    /// Fails when there is no such node or it cannot be started.
    pub async fn restart(&self, node: &str) -> anyhow::Result<()> {
        let host = self.hosts.get(node);
        let host = host.with_context(|| format!("there is no node {node}"))?;
        host.restart().await
    }

    /// Drains all nodes in parallel. Returns whether all work was finished.
    pub async fn stop(self) -> bool {
        let mut finished = true;
        let drains = self.hosts.values().map(NodeHost::drain);
        for drained in futures::future::join_all(drains).await {
            finished &= drained;
        }
        finished
    }
}

fn plan(options: &DemoOptions) -> Plan {
    let plan = match options.site {
        SiteName::Shiftdesk => Plan::shiftdesk(),
        SiteName::Uze => Plan::uze(),
    };
    Plan {
        nodes: options.nodes.unwrap_or(plan.nodes),
        ..plan
    }
}

fn bind_nodes(nodes: &[Endpoint]) -> anyhow::Result<Vec<BoundNode>> {
    let any_port: SmolStr = "127.0.0.1:0".into();
    let addresses = Addresses {
        callers: any_port.clone(),
        links: any_port.clone(),
        peers: any_port.clone(),
        operators: any_port.clone(),
        metrics: any_port,
    };
    nodes
        .iter()
        .map(|endpoint| {
            let listeners = Listeners::bind(&addresses)?;
            Ok(BoundNode {
                endpoint: endpoint.clone(),
                addresses: listeners.addresses()?,
                listeners,
            })
        })
        .collect()
}

fn vm_records(site: &Site, bound: &[BoundNode]) -> Vec<VmRecord> {
    bound
        .iter()
        .map(|node| VmRecord {
            name: node.endpoint.name.clone(),
            region: site.plan().region.clone(),
            zone: node.endpoint.zone.clone(),
            address: node.addresses.peers.clone(),
            leaving: false,
        })
        .collect()
}

/// Opens a relay from each node to each stand-in and to each other node, so that faults apply
/// to the traffic. Returns the dial overrides of each node.
async fn open_relays(
    site: &Site,
    bound: &[BoundNode],
) -> anyhow::Result<Vec<IndexMap<SmolStr, SmolStr>>> {
    let mut all = Vec::new();
    for from in bound {
        let mut dials = site.overrides(&from.endpoint).await?;
        for to in bound.iter().filter(|to| to.endpoint != from.endpoint) {
            for address in [&to.addresses.links, &to.addresses.peers] {
                let target = address.parse().context("a node's address is not ip:port")?;
                let relay = site.relay(&from.endpoint, &to.endpoint, target).await?;
                dials.insert(address.clone(), format_smolstr!("{relay}"));
            }
        }
        all.push(dials);
    }
    Ok(all)
}

/// Publishes the site's catalogue entry as the first revision of the catalogue.
async fn publish_entry(site: &Site, platform: &str) -> anyhow::Result<()> {
    let client = RpcPlatform::new(platform, PLATFORM_TIMEOUT)
        .map_err(|error| anyhow::anyhow!("cannot reach the platform stand-in: {error}"))?;
    let entry = site.entry();
    let author = Author {
        operator: "demo".into(),
        partner: entry.owner.clone(),
        origin: "demo".into(),
        reason: "first entry of the demo".into(),
        time: unix_millis(),
    };
    let edit = Edit {
        id: "demo-1".into(),
        service: entry.name.clone(),
        entry: Some(entry),
        base: 0,
        author,
        confirmed: true,
        undoes: None,
    };
    let store = CatalogueStore::new(client, 1);
    store
        .accept(&edit)
        .await
        .map_err(|error| anyhow::anyhow!("the demo's catalogue entry was refused: {error}"))?;
    Ok(())
}

/// Returns the milliseconds since the Unix epoch, for the audit trail.
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    })
}

fn node_summary(node: &BoundNode) -> NodeSummary {
    NodeSummary {
        name: node.endpoint.name.clone(),
        zone: node.endpoint.zone.clone(),
        address: node.addresses.callers.clone(),
        operator: node.addresses.operators.clone(),
        metrics: node.addresses.metrics.clone(),
    }
}

fn apply_node_fault(hosts: &IndexMap<NodeId, NodeHost>, fault: &NodeFault) -> anyhow::Result<()> {
    let Some(host) = hosts.get(fault.node()) else {
        bail!("there is no node {}", fault.node());
    };
    match fault {
        NodeFault::Pause(_) => host.pause(),
        NodeFault::Resume(_) => host.resume(),
        NodeFault::Kill(_) => host.kill(),
    }
    Ok(())
}
