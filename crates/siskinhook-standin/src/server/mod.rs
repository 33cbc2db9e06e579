//! A database server with its status, faults, sessions, slots and control commands.

mod options;
mod session;
mod shipping;
mod state;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;
use siskinhook_types::{Control, LogPoint, NodeId, Role, ServerId, ServerStatus};
use tokio::{
    sync::{Semaphore, watch},
    time::{Instant, timeout_at},
};
use tokio_util::sync::CancellationToken;

use self::state::{AttachedSession, LogEntry, State, replay};
use crate::{
    database::{BoundStatement, SqlError, Store},
    lock,
    network::{Endpoint, Network, sleep_carrying_rest},
    sql,
};

pub use options::ServerOptions;
pub(crate) use session::Session;

/// A database server of a group.
#[derive(Debug)]
pub struct Server {
    endpoint: Endpoint,
    network: Network,
    options: ServerOptions,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    slots: Semaphore,
    /// Service time below one millisecond that is carried over to the next statement.
    unslept: Mutex<Duration>,
}

impl Server {
    /// Creates a server in term 1 whose first log entry holds the seed statements.
    ///
    /// # Errors
    /// Fails if SQLite rejects a seed statement.
    pub fn new(
        endpoint: Endpoint,
        network: Network,
        options: ServerOptions,
        primary: &ServerId,
        seed: &[String],
    ) -> anyhow::Result<Arc<Self>> {
        let writes = seed
            .iter()
            .map(|text| BoundStatement {
                parsed: sql::parse(text),
                values: Vec::new(),
            })
            .collect();
        let first = Arc::new(LogEntry {
            point: LogPoint::new(1, 1),
            committed_at: Instant::now(),
            writes,
        });
        let store = Store::open().map_err(|error| anyhow::anyhow!("{error}"))?;
        replay(&store, &first).map_err(|error| anyhow::anyhow!("{error}"))?;
        let is_primary = endpoint.name == *primary;
        let slots = Semaphore::new(options.slots);
        Ok(Arc::new(Self {
            endpoint,
            network,
            options,
            state: Mutex::new(State {
                term: 1,
                promoter: None,
                role: if is_primary {
                    Role::Primary
                } else {
                    Role::Replica
                },
                primary: Some(primary.clone()),
                log: vec![first],
                store,
                last_contact: None,
                sessions: IndexMap::new(),
                next_session: 1,
                lock_holder: None,
                running: 0,
                active_sessions: BTreeSet::new(),
                crashed: false,
                lag: Duration::ZERO,
                slowness: Duration::ZERO,
            }),
            changed: watch::Sender::new(0),
            slots,
            unslept: Mutex::default(),
        }))
    }

    /// Returns the server's name and zone.
    #[must_use]
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the server's options.
    #[must_use]
    pub fn options(&self) -> &ServerOptions {
        &self.options
    }

    pub(crate) fn network(&self) -> &Network {
        &self.network
    }

    /// Returns a receiver that is notified of every change of log, term or role.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Returns the status that the server reports.
    #[must_use]
    pub fn status(&self) -> ServerStatus {
        let state = lock(&self.state);
        ServerStatus {
            server: self.endpoint.name.clone(),
            role: state.role,
            term: state.term,
            promoter: state.promoter.clone(),
            last: state.last_point(),
            primary: state.primary.clone(),
            contact: match state.role {
                Role::Primary => Some(0),
                Role::Replica => state
                    .last_contact
                    .map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX)),
            },
            connections: u32::try_from(state.sessions.len()).unwrap_or(u32::MAX),
            running: state.running,
            active: state.active_sessions.iter().copied().collect(),
            holder: state.lock_holder.as_ref().map(|(node, _)| node.clone()),
        }
    }

    /// Sets the replication lag: the time from the commit of an entry to its replay on this
    /// replica.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
        self.notify();
    }

    /// Sets a time that is added to the duration of every statement.
    pub fn set_slowness(&self, slowness: Duration) {
        lock(&self.state).slowness = slowness;
    }

    /// Returns whether the server has crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        lock(&self.state).crashed
    }

    /// Crashes the process. All sessions are closed, and open transactions are lost. Log, term and
    /// role remain, as if they were on disk.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        state.crashed = true;
        state.last_contact = None;
        state.lock_holder = None;
        for (_, session) in state.sessions.drain(..) {
            session.closed.cancel();
        }
        drop(state);
        self.notify();
    }

    /// Restarts the process after a crash.
    pub fn restart(&self) {
        lock(&self.state).crashed = false;
        self.notify();
    }

    /// Opens a session for a node.
    ///
    /// # Errors
    /// Fails with 57P03 if the server has crashed and with 53300 at the connection limit.
    pub(crate) fn attach(self: &Arc<Self>, node: NodeId) -> Result<Session, SqlError> {
        let mut state = lock(&self.state);
        if state.crashed {
            return Err(SqlError::new("57P03", "the server is not running"));
        }
        if state.sessions.len() >= self.options.connections {
            return Err(SqlError::new(
                "53300",
                format!(
                    "server {} has {} connections, its limit; close one first",
                    self.endpoint.name, self.options.connections
                ),
            ));
        }
        let id = state.next_session;
        state.next_session += 1;
        let closed = CancellationToken::new();
        state.sessions.insert(
            id,
            AttachedSession {
                node,
                closed: closed.clone(),
            },
        );
        Ok(Session::new(self.clone(), id, closed))
    }

    /// Runs a control command for a session.
    async fn control(&self, session: u64, command: &Control) -> ServerStatus {
        match command {
            Control::Status => {}
            Control::Wait { point, timeout } => {
                let deadline = Instant::now() + Duration::from_millis(*timeout);
                let mut changes = self.changes();
                while !lock(&self.state).last_point().covers(*point) {
                    if !matches!(timeout_at(deadline, changes.changed()).await, Ok(Ok(()))) {
                        break;
                    }
                }
            }
            Control::Fence { term, promoter } => lock(&self.state).fence(*term, promoter),
            Control::Promote { term, promoter } => {
                lock(&self.state).promote(&self.endpoint.name, *term, promoter);
            }
            Control::Follow { term, server } => {
                lock(&self.state).follow(&self.endpoint.name, *term, server);
            }
            Control::Lock { node } => lock(&self.state).take_lock(session, node),
            Control::Terminate { node } => lock(&self.state).terminate(session, node),
        }
        if !matches!(command, Control::Status | Control::Wait { .. }) {
            self.notify();
        }
        self.status()
    }

    /// Waits for a slot and then for the service time of the statement.
    async fn acquire_slot(&self, work: Duration) -> Result<Slot<'_>, SqlError> {
        let permit = self
            .slots
            .acquire()
            .await
            .map_err(|_| SqlError::new("57P03", "the server is stopping"))?;
        let slowness = {
            let mut state = lock(&self.state);
            state.running += 1;
            state.slowness
        };
        let slot = Slot {
            server: self,
            _permit: permit,
        };
        sleep_carrying_rest(&self.unslept, self.options.service + slowness + work).await;
        Ok(slot)
    }
}

/// Guard of a slot in use.
struct Slot<'a> {
    server: &'a Server,
    _permit: tokio::sync::SemaphorePermit<'a>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.server.state).running -= 1;
    }
}
