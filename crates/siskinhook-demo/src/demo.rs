//! The demo: a site on loopback with nodes in front of it.

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

/// Time limit of a call to the platform while the demo starts.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Which of the two sites the demo shows.
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
    /// The site.
    pub site: SiteName,
    /// Number of nodes; the site's own number when absent, 0 for the stand-ins only.
    pub nodes: Option<usize>,
    /// Seed of the stand-ins' random choices.
    pub seed: u64,
}

/// A running demo.
pub struct Demo {
    site: Arc<Site>,
    hosts: Arc<IndexMap<NodeId, NodeHost>>,
    summary: Summary,
    addresses: IndexMap<NodeId, Addresses>,
    _control: jsonrpsee::server::ServerHandle,
}

struct Prepared {
    endpoint: Endpoint,
    listeners: Listeners,
    addresses: Addresses,
}

impl Demo {
    /// Starts the site and its nodes, and waits until each database takes writes.
    ///
    /// # Errors
    /// Fails when a port cannot be opened or a part does not start.
    pub async fn start(options: DemoOptions) -> anyhow::Result<Self> {
        let plan = plan(&options);
        let mut site = Site::start_tcp(options.seed, plan).await?;
        let prepared = prepare(site.nodes())?;
        site.store().start_with_vms(vms(&site, &prepared));
        let platform = site
            .address("platform")
            .context("the platform has no address")?;
        publish_entry(&site, &platform.to_smolstr()).await?;
        let dials = dials(&site, &prepared).await?;
        let mut nodes = Vec::new();
        let mut addresses = IndexMap::new();
        let mut starting = JoinSet::new();
        for (place, (node, dial)) in prepared.into_iter().zip(dials).enumerate() {
            nodes.push(summary(&node));
            addresses.insert(node.endpoint.name.clone(), node.addresses.clone());
            let settings = settings::node(
                site.plan(),
                &node.endpoint,
                node.addresses,
                platform.to_smolstr(),
                dial,
            );
            let name = node.endpoint.name;
            starting.spawn(async move {
                (place, name, NodeHost::start(settings, node.listeners).await)
            });
        }
        let mut started = starting.join_all().await;
        started.sort_by_key(|(place, ..)| *place);
        let mut hosts = IndexMap::new();
        for (_, name, host) in started {
            let host = host.with_context(|| format!("cannot start node {name}"))?;
            hosts.insert(name, host);
        }
        let hosts = Arc::new(hosts);
        let faulty = Arc::clone(&hosts);
        site.on_node(move |fault| apply(&faulty, fault));
        let databases = site.plan().databases.keys().cloned().collect();
        let site = Arc::new(site);
        let (control, handle) = serve_demo(Arc::clone(&site)).await?;
        let summary = Summary {
            nodes,
            databases,
            user: settings::USER.into(),
            password: settings::PASSWORD.into(),
            control: control.to_smolstr(),
            operators: settings::operators(),
        };
        Ok(Self {
            site,
            hosts,
            summary,
            addresses,
            _control: handle,
        })
    }

    /// Returns addresses and credentials.
    #[must_use]
    pub const fn summary(&self) -> &Summary {
        &self.summary
    }

    /// Returns the addresses of a node.
    #[must_use]
    pub fn addresses(&self, node: &str) -> Option<&Addresses> {
        self.addresses.get(node)
    }

    /// Returns the site, for faults and for a look behind the nodes.
    #[must_use]
    pub fn site(&self) -> &Arc<Site> {
        &self.site
    }

    /// Ends a node at once and starts it again on its addresses, without its state.
    ///
    /// # Errors
    /// Fails when there is no such node or it cannot be started.
    pub async fn restart(&self, node: &str) -> anyhow::Result<()> {
        let host = self.hosts.get(node);
        let host = host.with_context(|| format!("there is no node {node}"))?;
        host.restart().await
    }

    /// Drains all nodes at once; returns whether all work was finished.
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

fn prepare(nodes: &[Endpoint]) -> anyhow::Result<Vec<Prepared>> {
    let any: SmolStr = "127.0.0.1:0".into();
    let addresses = Addresses {
        callers: any.clone(),
        links: any.clone(),
        peers: any.clone(),
        operators: any.clone(),
        metrics: any,
    };
    nodes
        .iter()
        .map(|endpoint| {
            let listeners = Listeners::bind(&addresses)?;
            Ok(Prepared {
                endpoint: endpoint.clone(),
                addresses: listeners.addresses()?,
                listeners,
            })
        })
        .collect()
}

fn vms(site: &Site, prepared: &[Prepared]) -> Vec<VmRecord> {
    prepared
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

/// Opens the relays between all parts; returns the dial overrides of each node.
async fn dials(
    site: &Site,
    prepared: &[Prepared],
) -> anyhow::Result<Vec<IndexMap<SmolStr, SmolStr>>> {
    let mut all = Vec::new();
    for from in prepared {
        let mut dials = site.overrides(&from.endpoint).await?;
        for to in prepared.iter().filter(|to| to.endpoint != from.endpoint) {
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

/// Makes the site's entry the first revision of the catalogue.
async fn publish_entry(site: &Site, platform: &str) -> anyhow::Result<()> {
    let client = RpcPlatform::new(platform, PLATFORM_TIMEOUT)
        .map_err(|error| anyhow::anyhow!("cannot reach the platform stand-in: {error}"))?;
    let entry = site.entry();
    let author = Author {
        operator: "demo".into(),
        partner: entry.owner.clone(),
        origin: "demo".into(),
        reason: "first entry of the demo".into(),
        time: now(),
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

/// Milliseconds since the Unix epoch, for the audit trail.
fn now() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

fn summary(node: &Prepared) -> NodeSummary {
    NodeSummary {
        name: node.endpoint.name.clone(),
        zone: node.endpoint.zone.clone(),
        address: node.addresses.callers.clone(),
        operator: node.addresses.operators.clone(),
        metrics: node.addresses.metrics.clone(),
    }
}

fn apply(hosts: &IndexMap<NodeId, NodeHost>, fault: &NodeFault) -> anyhow::Result<()> {
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
