//! State of the running node for the operator interface.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::{StreamExt, stream};
use serde_json::{Value, json};
use siskinhook_catalogue::CatalogueReader;
use siskinhook_engine::{Operation, classify};
use siskinhook_fleet::{Digest, Intent, PeerMessage, Peers, RpcPeers};
use siskinhook_frontend::Frontend;
use siskinhook_operator::{Explain, NodeRevision, NodeState, NodeStatus, NodeView, Report};
use siskinhook_settings::NodeSettings;
use siskinhook_types::{Catalogue, FleetView, Member, MemberState, NodeId, Revision};
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

use crate::{backend::NodeBackend, node::NodePlatform};

/// Interval at which the node checks whether it is cut off from the fleet.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of concurrent probes for the revisions of other nodes.
const MAX_REVISION_PROBES: usize = 32;

/// Time limit of a probe for the revision of another node.
const REVISION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a drain request that is forwarded to another node.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

/// View of a node for the operator interface. Clones share their state.
#[derive(Clone)]
pub(crate) struct View {
    inner: Arc<Inner>,
}

struct Inner {
    settings: NodeSettings,
    backend: NodeBackend,
    frontend: Arc<Frontend<NodeBackend>>,
    reader: CatalogueReader<NodePlatform>,
    peer_client: RpcPeers,
    /// Last time at which at least half of the other nodes were alive in this node's view.
    last_contact: Mutex<Instant>,
}

impl View {
    pub(crate) fn new(
        settings: NodeSettings,
        backend: NodeBackend,
        frontend: Arc<Frontend<NodeBackend>>,
        platform: NodePlatform,
        peer_client: RpcPeers,
    ) -> Self {
        Self {
            inner: Arc::new(Inner {
                settings,
                backend,
                frontend,
                reader: CatalogueReader::new(platform),
                peer_client,
                last_contact: Mutex::new(Instant::now()),
            }),
        }
    }

    /// Keeps `last_contact` up to date until the node ends.
    pub(crate) async fn track_contact(self) {
        loop {
            if !self.is_cut_off() {
                *self.last_contact() = Instant::now();
            }
            tokio::time::sleep(CONTACT_INTERVAL).await;
        }
    }

    fn last_contact(&self) -> std::sync::MutexGuard<'_, Instant> {
        self.inner
            .last_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether fewer than half of the other nodes are alive in this node's view.
    fn is_cut_off(&self) -> bool {
        let fleet = self.inner.backend.fleet.view();
        let view = fleet.borrow();
        let others = view.members.values().filter(|m| m.name != view.local);
        let (alive, all) = others.fold((0, 0), |(alive, all), member| {
            let is_reachable = matches!(member.state, MemberState::Alive | MemberState::Leaving);
            (alive + usize::from(is_reachable), all + 1)
        });
        alive * 2 < all
    }

    pub(crate) fn waiting_reason(&self) -> Option<String> {
        self.inner.backend.waiting_reason()
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.intent().borrow() != Intent::Serve
    }

    /// Returns the target state of the node.
    pub(crate) fn intent(&self) -> watch::Receiver<Intent> {
        self.inner.backend.fleet.intent()
    }

    /// Forwards a drain request to another node. With `drain` false, that node serves again.
    async fn forward_drain(&self, node: &NodeId, drain: bool) -> Result<(), String> {
        let member = self.fleet().members.shift_remove(node);
        let Some(member) = member.filter(|member| member.state != MemberState::Dead) else {
            return Err(format!(
                "node {node} is not a live member in the view of {}; siskinctl fleet lists all",
                self.inner.settings.name
            ));
        };
        let message = PeerMessage::Drain {
            drain,
            incarnation: member.incarnation,
        };
        let call = self.inner.peer_client.call(&member.peer, message);
        match timeout(FORWARD_TIMEOUT, call).await {
            Ok(Ok(PeerMessage::Drained(true))) => Ok(()),
            Ok(Ok(_)) => Err(format!(
                "node {node} refused: it is stopping, or its state has changed since this node \
                 heard of it; look at siskinctl fleet and try again"
            )),
            Ok(Err(error)) => Err(format!(
                "{error}; whether node {node} was told is not known, repeat the command"
            )),
            Err(_) => Err(format!(
                "node {node} did not answer within {} s; whether it was told is not known, \
                 repeat the command",
                FORWARD_TIMEOUT.as_secs()
            )),
        }
    }

    pub(crate) fn session_count(&self) -> usize {
        self.inner.frontend.connection_count()
    }

    async fn database_report(&self, name: &str) -> Result<Value, String> {
        let collected = self.inner.backend.engine.collect_report(&name.into()).await;
        let mut value = collected.ok_or_else(|| unknown_database(name))?;
        value["database"] = json!(name);
        Ok(value)
    }

    /// Creates the digest of this node that it sends in a probe.
    fn probe_digest(&self, fleet: &FleetView) -> Digest {
        let own = fleet.members.get(&fleet.local);
        Digest {
            from: fleet.local.clone(),
            incarnation: own.map_or(0, |member| member.incarnation),
            revision: Some(self.inner.backend.fleet.catalogue().borrow().revision),
            wants_hello: false,
            updates: Vec::new(),
        }
    }

    /// Probes a node for the catalogue revision in force on it.
    async fn probe_revision(&self, member: Member, digest: Digest) -> NodeRevision {
        if member.name == digest.from {
            return NodeRevision {
                node: member.name,
                revision: digest.revision,
            };
        }
        let call = self
            .inner
            .peer_client
            .call(&member.peer, PeerMessage::Probe(digest));
        let answer = tokio::time::timeout(REVISION_TIMEOUT, call).await;
        let revision = match answer {
            Ok(Ok(PeerMessage::Ack(digest))) => digest.revision,
            _ => None,
        };
        NodeRevision {
            node: member.name,
            revision,
        }
    }

    /// Pushes an accepted revision to the fleet without waiting for the next poll of the platform.
    async fn publish_changes(self, revision: Revision) {
        match self.inner.reader.changes(revision - 1).await {
            Ok(changes) => {
                for change in changes {
                    self.inner.backend.fleet.publish(change).await;
                }
            }
            Err(error) => log::warn!(
                target: "siskinhook::node", event = 3021_u32;
                "revision {revision} was accepted but could not be read back; nodes get it with their next poll: {error}"
            ),
        }
    }
}

impl NodeView for View {
    fn status(&self) -> NodeStatus {
        let settings = &self.inner.settings;
        let state = match self.waiting_reason() {
            _ if self.is_draining() => NodeState::Draining,
            Some(reason) => NodeState::Waiting(reason),
            None => NodeState::Ready,
        };
        let contact_age = self.last_contact().elapsed().as_millis();
        NodeStatus {
            name: settings.name.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            state,
            cut_off: self.is_cut_off(),
            heard: u64::try_from(contact_age).unwrap_or(u64::MAX),
            revision: self.catalogue().revision,
        }
    }

    fn fleet(&self) -> FleetView {
        FleetView::clone(&self.inner.backend.fleet.view().borrow())
    }

    fn catalogue(&self) -> Arc<Catalogue> {
        self.inner.backend.fleet.catalogue().borrow().clone()
    }

    async fn revisions(&self) -> Vec<NodeRevision> {
        let fleet = self.fleet();
        let digest = self.probe_digest(&fleet);
        let members = fleet.members.into_values();
        let probes = members
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| self.probe_revision(member, digest.clone()));
        stream::iter(probes)
            .buffer_unordered(MAX_REVISION_PROBES)
            .collect()
            .await
    }

    async fn report(&self, report: Report) -> Result<Value, String> {
        match report {
            Report::Node => Ok(json!(self.inner.backend.engine.report())),
            Report::Database(name) => self.database_report(&name).await,
            Report::Sessions(database) => Ok(json!(
                self.inner
                    .frontend
                    .list_sessions()
                    .into_iter()
                    .filter(|s| database.as_ref().is_none_or(|name| s.database == *name))
                    .collect::<Vec<_>>()
            )),
        }
    }

    async fn drain(&self, node: &NodeId, drain: bool) -> Result<(), String> {
        if *node != self.inner.settings.name {
            return self.forward_drain(node, drain).await;
        }
        if !self
            .inner
            .backend
            .fleet
            .set_intent(Intent::from_drain(drain))
        {
            return Err(format!(
                "the process of node {node} is stopping; the platform starts a fresh one"
            ));
        }
        Ok(())
    }

    async fn explain(&self, question: Explain) -> Result<Value, String> {
        let mut value = self.database_report(&question.database).await?;
        let operation = classify(&question.sql);
        let read = matches!(operation, Operation::Read | Operation::BeginReadOnly);
        let needs = match (&question.token, question.max_age) {
            _ if !read => "the primary, and confirmation by a majority before the answer".into(),
            (Some(token), _) => format!("a server whose log covers {token}"),
            (None, Some(age)) => format!("a server with all data acknowledged {age} ms ago"),
            (None, None) => {
                "a server with all data acknowledged before the session began and all own writes"
                    .into()
            }
        };
        value["operation"] = json!(format!("{operation:?}"));
        value["goes_to"] = json!(if read {
            "a replica that is fresh enough, own zone first; else the primary"
        } else {
            "the primary"
        });
        value["needs"] = json!(needs);
        Ok(value)
    }

    fn on_edit_accepted(&self, revision: Revision) {
        tokio::spawn(self.clone().publish_changes(revision));
    }
}

fn unknown_database(database: &str) -> String {
    format!("database {database:?} is not in the catalogue; siskinctl catalogue list shows all")
}
