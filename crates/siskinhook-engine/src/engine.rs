//! The engine of one node.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use siskinhook_types::{
    CallerId, Catalogue, DatabaseId, Failure, FleetView, Links, NodeId, Platform, ServerId, Targets,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    Counters, DatabaseReport, EngineReport, EngineSettings, Identity, OwnerLink, ServerReport,
    Session, SessionOptions,
    clock::{millis, now, until},
    controller,
    core::{Core, Route, draining},
    entry::{Budget, Choices},
    session::unknown_database,
};

/// State behind all clones of an engine.
pub struct Inner<T: Targets, L: Links, P: Platform> {
    pub core: Arc<Core<T>>,
    pub links: L,
    pub platform: P,
    pub budget: Budget,
    pub choices: Choices,
    pub stop: CancellationToken,
}

impl<T: Targets, L: Links, P: Platform> Drop for Inner<T, L, P> {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// The request path of one node; clones share it.
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
    /// Creates the engine of a node; `run` makes it serve. The seed must differ between
    /// processes in production.
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
                choices: Choices::new(seed.wrapping_add(2)),
                stop: CancellationToken::new(),
            }),
        }
    }

    /// Follows catalogue and fleet: owns servers, monitors their groups. Ends after `shutdown`;
    /// dropping the future leaves the owners running until the last clone is dropped.
    pub async fn run(
        &self,
        catalogue: watch::Receiver<Arc<Catalogue>>,
        fleet: watch::Receiver<Arc<FleetView>>,
    ) {
        controller::run(self.inner.clone(), catalogue, fleet).await;
    }

    /// Ends `run`, gives up all servers and closes their idle connections.
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

    /// Waits until membership holds a node to be gone.
    pub(crate) async fn node_lost(&self, node: NodeId) {
        crate::entry::node_lost(&self.inner.core, Some(node)).await;
    }

    /// Stops new sessions and statements outside transactions, and waits until the work in
    /// flight is done. Returns whether that was before the deadline.
    pub async fn drain(&self, deadline: Instant) -> bool {
        let core = &self.inner.core;
        core.draining.send_replace(true);
        log::info!(target: "siskinhook::engine", event = 2030; "draining");
        let mut active = core.active.subscribe();
        until(deadline, active.wait_for(|active| *active == 0))
            .await
            .is_some()
    }

    /// Takes a drain back: new sessions and statements are accepted again.
    pub fn resume(&self) {
        self.inner.core.draining.send_replace(false);
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        self.inner.core.counters.clone()
    }

    /// Returns the identity of the node.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.inner.core.identity
    }

    /// Reports the state of the request path.
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
                .map(|route| (route.database.clone(), self.report_database(route)))
                .collect(),
            counters: core.counters.snapshot(),
        }
    }

    fn report_database(&self, route: &Route) -> DatabaseReport {
        let core = &self.inner.core;
        let group = core.groups().get(&route.database).cloned();
        let known = group.as_ref().and_then(|group| group.primary());
        let anchor = group.as_ref().and_then(|group| group.anchor());
        let age = |at: Instant| -> Duration { now().saturating_duration_since(at) };
        let servers = route.servers.iter().map(|server| {
            let report = ServerReport {
                owner: core.owner_of(server),
                ..self.report_server(&server.name, group.as_deref())
            };
            (server.name.clone(), report)
        });
        DatabaseReport {
            primary: self.inner.choices.primary(core, &route.database),
            term: known.map(|(_, term)| term),
            anchor_age: anchor.map(|anchor| millis(age(anchor.at))),
            servers: servers.collect(),
        }
    }

    fn report_server(
        &self,
        server: &ServerId,
        group: Option<&crate::group::Group<T>>,
    ) -> ServerReport {
        let owner = self.inner.core.owners().get(server).cloned();
        let views = group.map(crate::group::Group::views).unwrap_or_default();
        let view = views.iter().find(|view| view.server == *server);
        let seen = view.filter(|view| view.role.is_some());
        ServerReport {
            owner: None,
            point: seen.map(|view| view.last),
            lag: seen.map(|view| view.lag),
            queue: owner
                .as_ref()
                .map(|owner| u64::from(owner.slots.load().queued)),
            connections: owner.as_ref().map(|owner| owner.pool.open() as u64),
            locked: owner.is_some_and(|owner| owner.pool.is_allowed()),
        }
    }
}
