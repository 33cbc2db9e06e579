//! Pool of the data connections to one server.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use siskinhook_types::{Control, Failure, FailureKind, Purpose, Server, TargetSession, Targets};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};

use super::RESERVED_CONNECTIONS;
use crate::{
    clock::{now, until},
    core::{Core, deadline_passed, unavailable},
    counters::count,
};

/// Delay before another attempt to open a connection to a server at its connection limit.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(20);

struct State<S> {
    idle: VecDeque<(S, Instant)>,
    /// Connections that are in use, idle or being opened.
    total: usize,
    /// Connections in `total` that are being opened; the server may not count them yet.
    opening: usize,
    /// Connections that the former owner still uses.
    former_owner: usize,
    /// Incremented when connections become invalid, for example when the lock is lost. A
    /// connection of an older epoch is closed instead of returned to the pool.
    epoch: u64,
}

/// The data connections to one server, opened only while the node holds the server's lock.
pub struct Pool<T: Targets> {
    core: Arc<Core<T>>,
    server: Server,
    limit: usize,
    min_open: usize,
    permits: Arc<Semaphore>,
    state: Mutex<State<T::Session>>,
    allowed: watch::Sender<bool>,
    /// Wakes the task that holds the lock, so that it checks the lock.
    lock_check: Notify,
}

/// A data connection in use. Dropping it closes the connection.
pub struct DataConnection<T: Targets> {
    /// The connection to the server.
    pub session: T::Session,
    /// Whether it was idle before, in which case it may have broken unnoticed.
    pub reused: bool,
    epoch: u64,
    guard: CountGuard<T>,
    _permit: OwnedSemaphorePermit,
}

/// Decrements the number of open connections when dropped.
struct CountGuard<T: Targets> {
    pool: Arc<Pool<T>>,
    /// False once the connection is idle: it then stays counted after the guard drops.
    counted: bool,
}

/// Decrements the number of connections being opened when dropped.
struct OpeningGuard<'a, T: Targets>(&'a Pool<T>);

impl<T: Targets> Drop for OpeningGuard<'_, T> {
    fn drop(&mut self) {
        self.0.lock().opening -= 1;
    }
}

impl<T: Targets> Drop for CountGuard<T> {
    fn drop(&mut self) {
        if self.counted {
            self.pool.lock().total -= 1;
        }
    }
}

impl<T: Targets> Pool<T> {
    /// Creates an empty pool of at most `limit` connections that keeps `min_open` of them open.
    pub fn new(core: &Arc<Core<T>>, server: Server, limit: usize, min_open: usize) -> Self {
        Self {
            core: core.clone(),
            server,
            limit,
            min_open: min_open.min(limit),
            permits: Arc::new(Semaphore::new(limit)),
            state: Mutex::new(State {
                idle: VecDeque::new(),
                total: 0,
                opening: 0,
                former_owner: 0,
                epoch: 0,
            }),
            allowed: watch::Sender::new(false),
            lock_check: Notify::new(),
        }
    }

    /// Allows connections to be opened, because the node holds the lock.
    pub fn allow(&self) {
        self.allowed.send_if_modified(|allowed| {
            let changed = !*allowed;
            *allowed = true;
            changed
        });
    }

    /// Updates the number of connections that the server reports and of nodes that monitor it.
    /// Connections beyond those of this node and of the monitors belong to the former owner, which
    /// finishes its work in flight. They count towards the limit until they are closed.
    pub fn set_connections(&self, connections: u32, monitors: usize) {
        let mut state = self.lock();
        let known = state.total - state.opening + monitors.min(RESERVED_CONNECTIONS as usize);
        state.former_owner = (connections as usize).saturating_sub(known);
    }

    /// Forbids new connections and closes idle ones. Connections in use are closed after their
    /// statement or transaction.
    pub fn forbid(&self) {
        self.allowed.send_replace(false);
        self.invalidate();
    }

    /// Forbids new connections until the lock has been checked, because another node may have
    /// taken it and terminated this node's connections.
    pub fn request_lock_check(&self) {
        self.forbid();
        self.lock_check.notify_one();
    }

    /// Waits until a check of the lock is requested.
    pub async fn lock_check_requested(&self) {
        self.lock_check.notified().await;
    }

    /// Closes idle connections, and those in use after their statement. Used when one connection
    /// failed, because the same fault may have broken the others.
    pub fn invalidate(&self) {
        let mut state = self.lock();
        state.epoch += 1;
        state.total -= state.idle.len();
        state.idle.clear();
    }

    /// Returns the shared state of the node's engine.
    pub fn core(&self) -> &Core<T> {
        &self.core
    }

    /// Returns whether connections may be opened, which means that the node holds the lock.
    pub fn is_allowed(&self) -> bool {
        *self.allowed.borrow()
    }

    /// Returns the number of connections that are open or being opened.
    pub fn open(&self) -> usize {
        self.lock().total
    }

    /// Acquires a connection, waiting for the lock and for a free connection.
    pub async fn acquire(
        self: &Arc<Self>,
        deadline: Instant,
    ) -> Result<DataConnection<T>, Failure> {
        let permit = self.permit(deadline).await?;
        loop {
            self.wait_for_lock(deadline).await?;
            if let Some((session, epoch)) = self.take_idle() {
                return Ok(DataConnection {
                    session,
                    reused: true,
                    epoch,
                    guard: self.count_guard(),
                    _permit: permit,
                });
            }
            match self.connect(Purpose::Data, deadline).await {
                // The pool was invalidated while the connection was being opened, for example
                // because the lock may be lost. The connection may exceed the server's limit.
                Ok((_, epoch, _)) if epoch != self.lock().epoch => {}
                Ok((session, epoch, guard)) => {
                    return Ok(DataConnection {
                        session,
                        reused: false,
                        epoch,
                        guard,
                        _permit: permit,
                    });
                }
                // The server is full until the connections of the former owner are closed.
                Err(failure) if failure.kind == FailureKind::Overload && now() < deadline => {
                    self.lock_check.notify_one();
                    tokio::time::sleep(FULL_RETRY_DELAY).await;
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Waits until the node holds the lock.
    pub async fn wait_for_lock(&self, deadline: Instant) -> Result<(), Failure> {
        let mut allowed = self.allowed.subscribe();
        // Another server or owner may be able to serve the request, so it does not wait for the
        // lock until its own deadline.
        let lock_deadline = deadline.min(now() + self.core.settings.connect_timeout);
        let held = until(lock_deadline, allowed.wait_for(|allowed| *allowed)).await;
        match held {
            Some(Ok(_)) => Ok(()),
            _ => Err(unavailable(format!(
                "this node does not hold the lock of server {} now; retry",
                self.server.name
            ))),
        }
    }

    /// Returns a guard for a connection that is already counted.
    fn count_guard(self: &Arc<Self>) -> CountGuard<T> {
        CountGuard {
            pool: self.clone(),
            counted: true,
        }
    }

    async fn permit(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, Failure> {
        let permit = until(deadline, self.permits.clone().acquire_owned()).await;
        match permit {
            Some(Ok(permit)) => Ok(permit),
            _ => Err(deadline_passed("a server connection")),
        }
    }

    /// Opens a control connection within the limit of data connections and runs `operation` on
    /// it. Closes an idle data connection if the limit is reached.
    pub async fn with_control_connection<R>(
        self: &Arc<Self>,
        deadline: Instant,
        operation: impl AsyncFnOnce(&mut T::Session) -> Result<R, Failure>,
    ) -> Result<R, Failure> {
        let _permit = self.permit(deadline).await?;
        {
            let mut state = self.lock();
            if state.total >= self.limit && state.idle.pop_front().is_some() {
                state.total -= 1;
            }
        }
        let (mut session, _, _guard) = self.connect(Purpose::Control, deadline).await?;
        match until(deadline, operation(&mut session)).await {
            Some(result) => result,
            None => Err(deadline_passed("the server's status")),
        }
    }

    /// Opens connections before they are needed and closes those that were idle for too long.
    pub async fn maintain(self: &Arc<Self>) {
        self.close_idle();
        while self.is_allowed() && self.needs_connection() {
            let Ok(_permit) = self.permits.clone().try_acquire_owned() else {
                return;
            };
            let deadline = now() + self.core.settings.connect_timeout;
            let Ok((session, epoch, guard)) = self.connect(Purpose::Data, deadline).await else {
                return;
            };
            self.return_idle(session, epoch, guard);
        }
    }

    fn needs_connection(&self) -> bool {
        let state = self.lock();
        // While all connections are in use, one more is opened in advance.
        let busy = state.idle.is_empty() && state.total + state.former_owner < self.limit;
        state.total < self.min_open || busy && state.total > 0
    }

    fn close_idle(&self) {
        let max_idle = self.core.settings.idle_timeout;
        let mut state = self.lock();
        while state.total > self.min_open
            && state
                .idle
                .front()
                .is_some_and(|(_, since)| *since + max_idle < now())
        {
            state.idle.pop_front();
            state.total -= 1;
        }
    }

    fn take_idle(&self) -> Option<(T::Session, u64)> {
        let mut state = self.lock();
        let (session, _) = state.idle.pop_back()?;
        Some((session, state.epoch))
    }

    /// Opens a connection and counts it towards the limit.
    async fn connect(
        self: &Arc<Self>,
        purpose: Purpose,
        deadline: Instant,
    ) -> Result<(T::Session, u64, CountGuard<T>), Failure> {
        let epoch = {
            let mut state = self.lock();
            if state.total + state.former_owner >= self.limit {
                let mut failure = unavailable(format!(
                    "all connections of server {} are in use; retry",
                    self.server.name
                ));
                failure.kind = FailureKind::Overload;
                return Err(failure);
            }
            state.total += 1;
            state.opening += 1;
            state.epoch
        };
        let guard = self.count_guard();
        let opening_guard = OpeningGuard(self);
        let connect_deadline = deadline.min(now() + self.core.settings.connect_timeout);
        let opening = self.open_checked(purpose);
        let Some(session) = until(connect_deadline, opening).await else {
            return Err(unavailable(format!(
                "server {} did not accept a connection in time; retry",
                self.server.name
            )));
        };
        let session = session?;
        drop(opening_guard);
        count(&self.core.counters.connections_opened);
        Ok((session, epoch, guard))
    }

    /// Opens a connection. A data connection is used only if the server still reports this node
    /// as the holder of the lock, because the node may have lost the lock unnoticed.
    async fn open_checked(&self, purpose: Purpose) -> Result<T::Session, Failure> {
        let mut session = self.core.targets.connect(&self.server, purpose).await?;
        if purpose == Purpose::Control {
            return Ok(session);
        }
        let status = session.control(&Control::Status).await;
        let status = status.map_err(|failure| unavailable(failure.message))?;
        if status.holder.as_ref() == Some(&self.core.identity.node) {
            return Ok(session);
        }
        self.request_lock_check();
        Err(unavailable(format!(
            "another node holds the lock of server {}; retry",
            self.server.name
        )))
    }

    fn return_idle(&self, session: T::Session, epoch: u64, mut guard: CountGuard<T>) {
        let mut state = self.lock();
        let keep = epoch == state.epoch && self.is_allowed();
        if keep {
            state.idle.push_back((session, now()));
            guard.counted = false;
        }
        // Unlocks before `guard` drops, because dropping it locks the same mutex.
        drop(state);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State<T::Session>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Targets> DataConnection<T> {
    /// Returns the connection to the pool. Its transaction must have ended.
    pub fn release(self) {
        let pool = self.guard.pool.clone();
        pool.return_idle(self.session, self.epoch, self.guard);
    }
}
