//! The engine of one node: its sessions, the owner's side of links, drain and reports.

use std::{sync::Arc, time::Instant};

use siskinhook_types::{
    CallerId, Catalogue, DatabaseId, Failure, FleetView, Links, NodeId, Platform, Server, Targets,
};
use tokio::sync::{broadcast, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    Counters, EngineEvent, EngineReport, EngineSettings, Identity, OwnerLink, Session,
    SessionOptions,
    clock::until,
    controller,
    core::{Core, Route, draining},
    entry::{Budget, ServerSelector},
    report::report_database,
    session::unknown_database,
};

/// State that all clones of an engine share.
pub struct Inner<T: Targets, L: Links, P: Platform> {
    pub core: Arc<Core<T>>,
    pub links: L,
    pub platform: P,
    pub budget: Budget,
    pub selector: ServerSelector,
    pub stop: CancellationToken,
}

impl<T: Targets, L: Links, P: Platform> Drop for Inner<T, L, P> {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// The request path of one node. Clones share the same state.
pub struct Engine<T: Targets, L: Links, P: Platform> {
    inner: Arc<Inner<T, L, P>>,
}

impl<T: Targets, L: Links, P: Platform> Clone for Engine<T, L, P> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

impl<T: Targets, L: Links, P: Platform> Engine<T, L, P> {
    /// Creates the engine of a node, which owns no servers until `run` is called. In production,
    /// each process must use a different seed.
    pub fn new(
        settings: EngineSettings,
        identity: Identity,
        targets: T,
        links: L,
        platform: P,
        seed: u64,
    ) -> Self {
        let core = Arc::new(Core::new(settings, identity, targets, seed));
        Self {
            inner: Arc::new(Inner {
                core,
                links,
                platform,
                budget: Budget::new(seed.wrapping_add(1)),
                selector: ServerSelector::new(seed.wrapping_add(2)),
                stop: CancellationToken::new(),
            }),
        }
    }

    /// Owns servers and monitors their groups as catalogue and fleet change. Returns after
    /// `shutdown`. If the future is dropped, the owners run until the last clone is dropped.
    pub async fn run(
        &self,
        catalogue: watch::Receiver<Arc<Catalogue>>,
        fleet: watch::Receiver<Arc<FleetView>>,
    ) {
        controller::run(self.inner.clone(), catalogue, fleet).await;
    }

    /// Ends `run`, releases all servers and closes their idle connections.
    pub fn shutdown(&self) {
        self.inner.stop.cancel();
    }

    /// Opens a session for a caller of a database.
    ///
    /// # Errors
    /// Fails when the database is not in the catalogue or the node is draining.
    pub fn session(
        &self,
        database: DatabaseId,
        caller: CallerId,
        options: SessionOptions,
    ) -> Result<Session<T, L, P>, Failure> {
        if *self.inner.core.draining.borrow() {
            return Err(draining());
        }
        if self.inner.core.route(&database).is_none() {
            return Err(unknown_database(&database));
        }
        let inner = self.inner.clone();
        Ok(Session::new(inner, database, caller, options))
    }

    /// Returns the owner's side of a new link.
    #[must_use]
    pub fn accept_link(&self) -> OwnerLink<T> {
        OwnerLink::new(self.inner.core.clone())
    }

    /// Waits until a node is dead or no longer a member of the fleet.
    pub(crate) async fn node_lost(&self, node: NodeId) {
        crate::entry::node_lost(&self.inner.core, Some(node)).await;
    }

    /// Refuses new sessions and statements outside transactions, and waits until no request is
    /// in flight. Returns whether that happened before the deadline.
    pub async fn drain(&self, deadline: Instant) -> bool {
        let core = &self.inner.core;
        core.draining.send_replace(true);
        log::info!(target: "siskinhook::engine", event = 2030;
            "draining: new sessions and statements outside transactions are refused");
        let mut active = core.active.subscribe();
        until(deadline, active.wait_for(|active| *active == 0))
            .await
            .is_some()
    }

    /// Cancels a drain: new sessions and statements are accepted again.
    pub fn resume(&self) {
        self.inner.core.draining.send_replace(false);
    }

    /// Returns the counters of the request path.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        self.inner.core.counters.clone()
    }

    /// Subscribes to the events of this node, for the audit trail. A receiver that falls too far
    /// behind misses the oldest events.
    #[must_use]
    pub fn events(&self) -> broadcast::Receiver<EngineEvent> {
        self.inner.core.events.subscribe()
    }

    /// Returns the identity of the node.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.inner.core.identity
    }

    /// Returns the current state of the request path.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        let core = &self.inner.core;
        let view = core.view();
        let databases = view.routes.values();
        EngineReport {
            node: core.identity.node.clone(),
            sessions: *core.sessions.borrow() as u64,
            active: *core.active.borrow() as u64,
            draining: *core.draining.borrow(),
            databases: databases
                .map(|route| {
                    let primary = self.inner.selector.primary(core, &route.database);
                    let report = report_database(core, route, primary);
                    (route.database.clone(), report)
                })
                .collect(),
            counters: core.counters.snapshot(),
        }
    }

    pub(crate) fn route(&self, database: &DatabaseId) -> Option<Arc<Route>> {
        self.inner.core.route(database)
    }

    pub(crate) fn owner_of(&self, server: &Server) -> Option<NodeId> {
        self.inner.core.owner_of(server)
    }

    pub(crate) fn links(&self) -> &L {
        &self.inner.links
    }
}
