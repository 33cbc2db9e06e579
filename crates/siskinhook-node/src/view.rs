//! The running node as the operator interface sees it.

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

/// Interval at which the node looks whether it reaches the fleet.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// Nodes that are asked for their revision at a time.
const REVISION_CALLS: usize = 32;

/// Time that a node has to tell its revision.
const REVISION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a request that is passed on to another node.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

/// View of a node for operators; clones share it.
#[derive(Clone)]
pub(crate) struct View {
    inner: Arc<Inner>,
}

struct Inner {
    settings: NodeSettings,
    backend: NodeBackend,
    frontend: Arc<Frontend<NodeBackend>>,
    reader: CatalogueReader<NodePlatform>,
    calls: RpcPeers,
    /// When most of the known nodes were last alive in this node's view.
    reached: Mutex<Instant>,
}

impl View {
    pub(crate) fn new(
        settings: NodeSettings,
        backend: NodeBackend,
        frontend: Arc<Frontend<NodeBackend>>,
        platform: NodePlatform,
        calls: RpcPeers,
    ) -> Self {
        Self {
            inner: Arc::new(Inner {
                settings,
                backend,
                frontend,
                reader: CatalogueReader::new(platform),
                calls,
                reached: Mutex::new(Instant::now()),
            }),
        }
    }

    /// Keeps track of when the node last reached most of the fleet.
    pub(crate) async fn follow_contact(self) {
        loop {
            if !self.cut_off() {
                *self.reached() = Instant::now();
            }
            tokio::time::sleep(CONTACT_INTERVAL).await;
        }
    }

    fn reached(&self) -> std::sync::MutexGuard<'_, Instant> {
        self.inner
            .reached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether less than half of the other nodes are alive in this node's view.
    fn cut_off(&self) -> bool {
        let fleet = self.inner.backend.fleet.view();
        let view = fleet.borrow();
        let others = view.members.values().filter(|m| m.name != view.local);
        let (alive, all) = others.fold((0, 0), |(alive, all), member| {
            let counts = matches!(member.state, MemberState::Alive | MemberState::Leaving);
            (alive + usize::from(counts), all + 1)
        });
        alive * 2 < all
    }

    pub(crate) fn waits_for(&self) -> Option<String> {
        self.inner.backend.waits_for()
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.intent().borrow() != Intent::Serve
    }

    /// Returns what is wanted of the node.
    pub(crate) fn intent(&self) -> watch::Receiver<Intent> {
        self.inner.backend.fleet.intent()
    }

    /// Passes a request to drain on to another node.
    async fn forward(&self, node: &NodeId, drain: bool) -> Result<(), String> {
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
        let call = self.inner.calls.call(&member.peer, message);
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

    pub(crate) fn sessions(&self) -> usize {
        self.inner.frontend.connection_count()
    }

    async fn database(&self, name: &str) -> Result<Value, String> {
        let survey = self.inner.backend.engine.survey(&name.into()).await;
        let mut value = survey.ok_or_else(|| unknown(name))?;
        value["database"] = json!(name);
        Ok(value)
    }

    /// Creates what this node tells about itself in a probe.
    fn digest(&self, fleet: &FleetView) -> Digest {
        let own = fleet.members.get(&fleet.local);
        Digest {
            from: fleet.local.clone(),
            incarnation: own.map_or(0, |member| member.incarnation),
            revision: Some(self.inner.backend.fleet.catalogue().borrow().revision),
            wants_hello: false,
            updates: Vec::new(),
        }
    }

    /// Asks a node for the revision in force on it, by a probe.
    async fn revision_of(&self, member: Member, digest: Digest) -> NodeRevision {
        if member.name == digest.from {
            return NodeRevision {
                node: member.name,
                revision: digest.revision,
            };
        }
        let call = self
            .inner
            .calls
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

    /// Spreads an accepted change without waiting for the next poll of the platform.
    async fn spread(self, revision: Revision) {
        match self.inner.reader.changes(revision - 1).await {
            Ok(changes) => {
                for change in changes {
                    self.inner.backend.fleet.publish(change).await;
                }
            }
            Err(error) => log::warn!(
                target: "siskinhook::node", event = 3021_u32;
                "revision {revision} was accepted but not read back, it spreads with the next poll: {error}"
            ),
        }
    }
}

impl NodeView for View {
    fn status(&self) -> NodeStatus {
        let settings = &self.inner.settings;
        let state = match self.waits_for() {
            _ if self.is_draining() => NodeState::Draining,
            Some(reason) => NodeState::Waiting(reason),
            None => NodeState::Ready,
        };
        let heard = self.reached().elapsed().as_millis();
        NodeStatus {
            name: settings.name.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            state,
            cut_off: self.cut_off(),
            heard: u64::try_from(heard).unwrap_or(u64::MAX),
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
        let digest = self.digest(&fleet);
        let members = fleet.members.into_values();
        let asked = members
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| self.revision_of(member, digest.clone()));
        stream::iter(asked)
            .buffer_unordered(REVISION_CALLS)
            .collect()
            .await
    }

    async fn report(&self, report: Report) -> Result<Value, String> {
        match report {
            Report::Node => Ok(json!(self.inner.backend.engine.report())),
            Report::Database(name) => self.database(&name).await,
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
            return self.forward(node, drain).await;
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
        let mut value = self.database(&question.database).await?;
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

    fn accepted(&self, revision: Revision) {
        tokio::spawn(self.clone().spread(revision));
    }
}

fn unknown(database: &str) -> String {
    format!("database {database:?} is not in the catalogue; siskinctl catalogue list shows all")
}
