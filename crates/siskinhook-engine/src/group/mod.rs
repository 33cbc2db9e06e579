//! The state of one database group, as seen by a node that owns one of the group's servers.

mod confirm;
mod control;
mod watcher;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Instant,
};

use indexmap::IndexMap;
use siskinhook_policy::{
    Anchor, FreshnessAnswer, GroupConfig, GroupWatch, ServerView, WatchSettings,
};
use siskinhook_types::{
    Control, DatabaseId, Failure, Freshness, LogPoint, Platform, Server, ServerId, ServerStatus,
    Targets, Term,
};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    clock::{now, until},
    core::{Core, unavailable},
};

use confirm::Confirmer;
use control::ControlConnection;
use watcher::Input;

/// Connections from this node to one server, other than data connections.
struct ServerConnections<T: Targets> {
    /// Carries probes and commands, and holds the owner's lock.
    control: ControlConnection<T>,
    /// Carries confirmations of writes, whose answers may take a while.
    wait: ControlConnection<T>,
}

/// A database group that this node monitors.
pub struct Group<T: Targets> {
    core: Arc<Core<T>>,
    database: DatabaseId,
    connections: IndexMap<ServerId, ServerConnections<T>>,
    watch: Mutex<GroupWatch>,
    inputs: mpsc::UnboundedSender<Input>,
    /// The newest anchor, for requests that wait for one. An anchor is a log position that covers
    /// every write acknowledged before the anchor's time.
    anchor: watch::Sender<Option<Anchor>>,
    confirmer: Arc<Confirmer>,
    /// Last log positions that were observed outside of polls.
    observed: Mutex<IndexMap<ServerId, LogPoint>>,
    /// Number of nodes that monitor the group.
    monitors: AtomicUsize,
    _guard: DropGuard,
}

impl<T: Targets> Group<T> {
    /// Starts to monitor a group. `rank` is this node's rank among the `monitors` nodes that
    /// monitor it.
    pub fn start<P: Platform>(
        core: &Arc<Core<T>>,
        platform: P,
        database: &DatabaseId,
        servers: &[Server],
        (rank, monitors): (u32, usize),
    ) -> Arc<Self> {
        let settings = &core.settings;
        let config = GroupConfig {
            database: database.clone(),
            servers: servers.iter().map(|s| s.name.clone()).collect(),
            leaving: leaving(servers),
            node: core.identity.node.clone(),
            rank,
        };
        let watch_settings = WatchSettings {
            poll_interval: settings.poll_interval,
            idle_interval: settings.idle_interval,
            failure_timeout: settings.probe_timeout,
            lease: settings.platform_timeout,
            rank_delay: settings.rank_delay,
            ..WatchSettings::default()
        };
        let watch = GroupWatch::new(watch_settings, config, core.random(u64::MAX), now());
        let connect = |server: &Server| {
            let connections = ServerConnections {
                control: ControlConnection::new(core.clone(), server.clone()),
                wait: ControlConnection::new(core.clone(), server.clone()),
            };
            (server.name.clone(), connections)
        };
        let (inputs, receiver) = mpsc::unbounded_channel();
        let stop = CancellationToken::new();
        let group = Arc::new(Self {
            core: core.clone(),
            database: database.clone(),
            connections: servers.iter().map(connect).collect(),
            watch: Mutex::new(watch),
            inputs,
            anchor: watch::Sender::new(None),
            confirmer: Arc::new(Confirmer::new(servers)),
            observed: Mutex::default(),
            monitors: AtomicUsize::new(monitors),
            _guard: stop.clone().drop_guard(),
        });
        tokio::spawn(watcher::run(
            Arc::downgrade(&group),
            platform,
            receiver,
            stop.clone(),
        ));
        tokio::spawn(confirm::run(
            Arc::downgrade(&group),
            group.confirmer.clone(),
            stop,
        ));
        group
    }

    /// Returns the number of nodes that monitor the group, according to this node's membership.
    pub fn monitors(&self) -> usize {
        self.monitors.load(Relaxed)
    }

    /// Updates which servers are leaving, this node's rank and the number of nodes that monitor
    /// the group.
    pub fn update(&self, servers: &[Server], rank: u32, monitors: usize) {
        self.monitors.store(monitors, Relaxed);
        let mut watch = self.watch();
        watch.set_rank(rank);
        watch.set_leaving(leaving(servers));
    }

    /// Returns whether the group consists of exactly these servers at these addresses.
    pub fn serves(&self, servers: &[Server]) -> bool {
        let known = |server: &Server| {
            let connections = self.connections.get(&server.name);
            connections.is_some_and(|connections| connections.control.address() == &server.address)
        };
        servers.len() == self.connections.len() && servers.iter().all(known)
    }

    /// Returns the primary and its term, if known.
    pub fn primary(&self) -> Option<(ServerId, Term)> {
        self.watch().primary()
    }

    /// Returns whether the server is known to be the primary.
    pub fn is_primary(&self, server: &ServerId) -> bool {
        self.primary()
            .is_some_and(|(primary, _)| primary == *server)
    }

    /// Returns whether the server may be the primary: it is the known primary, or nothing is known
    /// about any server of the group yet.
    pub fn may_be_primary(&self, server: &ServerId) -> bool {
        match self.primary() {
            Some((primary, _)) => primary == *server,
            None => self.views().iter().all(|view| view.role.is_none()),
        }
    }

    /// Returns the last known state of the group's servers.
    pub fn views(&self) -> Vec<ServerView> {
        self.watch().servers(now())
    }

    /// Returns the newest anchor.
    pub fn anchor(&self) -> Option<Anchor> {
        self.watch().anchor()
    }

    /// Marks the group as in use, which keeps the poll interval short.
    pub fn touch(&self) {
        self.watch().touch(now());
    }

    /// Requests a poll, because the known state of the group may be out of date.
    pub fn request_poll(&self) {
        let _ = self.inputs.send(Input::AnchorNeeded(now()));
    }

    /// Returns the last known log position of a server.
    pub fn last_position(&self, server: &ServerId) -> Option<LogPoint> {
        let polled = self.views().into_iter().find(|view| view.server == *server);
        let polled = polled
            .filter(|view| view.role.is_some())
            .map(|view| view.last);
        let observed = self.observed().get(server).copied();
        polled.max(observed)
    }

    /// Returns whether a server's log is known to cover a position.
    pub fn covers(&self, server: &ServerId, point: LogPoint) -> bool {
        self.last_position(server)
            .is_some_and(|last| last.covers(point))
    }

    /// Checks whether a server's data is fresh enough.
    pub fn freshness(&self, server: &ServerId, freshness: &Freshness) -> FreshnessAnswer {
        let last = self.last_position(server).unwrap_or_default();
        self.watch().is_fresh(last, freshness)
    }

    /// Waits for an anchor made at or after `since`. Returns `false` if there is none before the
    /// deadline.
    pub async fn wait_anchor(&self, since: Instant, deadline: Instant) -> bool {
        let mut anchor = self.anchor.subscribe();
        let _ = self.inputs.send(Input::AnchorNeeded(since));
        let new = anchor.wait_for(|anchor| anchor.is_some_and(|anchor| anchor.at >= since));
        until(deadline, new).await.is_some_and(|new| new.is_ok())
    }

    /// Records the status of a server, which was requested at `started`.
    pub fn record_status(&self, server: &ServerId, started: Instant, status: ServerStatus) {
        self.record_position(server, status.last);
        let _ = self.inputs.send(Input::Status {
            server: server.clone(),
            started,
            status,
        });
    }

    /// Records that a server's log covers a position.
    fn record_position(&self, server: &ServerId, point: LogPoint) {
        let mut observed = self.observed();
        let last = observed.entry(server.clone()).or_default();
        *last = point.max(*last);
    }

    /// Waits until a majority has a write of the primary. Returns `false` if the primary was
    /// replaced or no majority answered in time.
    pub async fn confirm(&self, primary: &ServerId, point: LogPoint) -> bool {
        // Reads on the primary then need not ask it whether it has the write.
        self.record_position(primary, point);
        let confirm_deadline = now() + self.core.settings.confirm_timeout;
        let confirmed = self
            .confirmer
            .confirm(primary, point, confirm_deadline)
            .await;
        if !confirmed {
            self.request_poll();
        }
        confirmed
    }

    /// Runs a command on a server over this node's control connection.
    pub async fn control(
        &self,
        server: &ServerId,
        command: &Control,
    ) -> Result<ServerStatus, Failure> {
        let reply_deadline = now() + self.core.settings.probe_timeout;
        self.connections(server)?
            .control
            .send(command, reply_deadline)
            .await
    }

    /// Requests the status of a server.
    pub async fn status(&self, server: &ServerId) -> Result<ServerStatus, Failure> {
        self.control(server, &Control::Status).await
    }

    /// Releases the lock of a server by closing the connection that holds it.
    pub fn unlock(&self, server: &ServerId) {
        if let Some(connections) = self.connections.get(server) {
            connections.control.close();
        }
    }

    fn connections(&self, server: &ServerId) -> Result<&ServerConnections<T>, Failure> {
        self.connections
            .get(server)
            .ok_or_else(|| unavailable(format!("server {server} left its group; retry")))
    }

    fn watch(&self) -> std::sync::MutexGuard<'_, GroupWatch> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn observed(&self) -> std::sync::MutexGuard<'_, IndexMap<ServerId, LogPoint>> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn leaving(servers: &[Server]) -> Vec<ServerId> {
    let leaving = servers.iter().filter(|server| server.leaving);
    leaving.map(|server| server.name.clone()).collect()
}
