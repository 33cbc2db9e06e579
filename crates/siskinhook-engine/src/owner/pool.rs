//! Data connections of one server.

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

/// Pause before a server that is full is asked again for a connection.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(20);

struct State<S> {
    idle: VecDeque<(S, Instant)>,
    /// Open connections, used and idle, and those being opened.
    total: usize,
    /// Those of `total` that are being opened, which the server may not count yet.
    opening: usize,
    /// Connections of the former owner that are still in use there.
    former_owner: usize,
    /// Raised when the lock is lost; connections of an older epoch are not used again.
    epoch: u64,
}

/// Data connections of one server, opened only while the node holds the server's lock.
pub struct Pool<T: Targets> {
    core: Arc<Core<T>>,
    server: Server,
    limit: usize,
    min_open: usize,
    permits: Arc<Semaphore>,
    state: Mutex<State<T::Session>>,
    allowed: watch::Sender<bool>,
    /// Wakes up the task that holds the lock.
    lock_check: Notify,
}

/// A data connection in use; dropping it closes it.
pub struct DataConnection<T: Targets> {
    /// The connection to the server.
    pub session: T::Session,
    /// Whether it was idle before, so that it may have broken unnoticed.
    pub reused: bool,
    epoch: u64,
    guard: CountGuard<T>,
    _permit: OwnedSemaphorePermit,
}

/// The right to one connection, counted until it drops.
struct CountGuard<T: Targets> {
    pool: Arc<Pool<T>>,
    /// False once an idle connection carries the count on.
    counted: bool,
}

/// A connection that is being opened.
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
    /// Creates an empty pool of at most `limit` connections that keeps `min_open` open.
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

    /// Allows connections to be opened: the node holds the lock.
    pub fn allow(&self) {
        self.allowed.send_if_modified(|allowed| {
            let changed = !*allowed;
            *allowed = true;
            changed
        });
    }

    /// Takes over how many connections the server has, and how many nodes monitor it. Those
    /// beyond this node's own and the monitors' belong to the former owner, which finishes its
    /// work in flight; they count until they are closed.
    pub fn set_connections(&self, connections: u32, monitors: usize) {
        let mut state = self.lock();
        let known = state.total - state.opening + monitors.min(RESERVED_CONNECTIONS as usize);
        state.former_owner = (connections as usize).saturating_sub(known);
    }

    /// Forbids new connections and closes idle ones; those in use are closed after their
    /// statement or transaction.
    pub fn forbid(&self) {
        self.allowed.send_replace(false);
        self.invalidate();
    }

    /// Opens no connection until the lock was checked: another node may have taken it and
    /// terminated this node's connections.
    pub fn request_lock_check(&self) {
        self.forbid();
        self.lock_check.notify_one();
    }

    /// Waits until a check of the lock is requested.
    pub async fn lock_check_requested(&self) {
        self.lock_check.notified().await;
    }

    /// Closes idle connections, and those in use after their statement: what broke one of them
    /// may have broken them all.
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

    /// Whether the node holds the lock.
    pub fn is_allowed(&self) -> bool {
        *self.allowed.borrow()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.lock().total
    }

    /// Takes a connection, waiting for the lock and for a free one.
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
                // Opened while the lock was in doubt, it may be one too many.
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
                // The server is full while the connections of the previous owner end.
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
        // Another server or owner may serve the request, so that it does not wait for the lock
        // up to its deadline.
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

    /// Takes over the count of a connection that was idle.
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

    /// Opens a control connection within the limit of data connections, closing an idle one
    /// when the limit is reached, and runs `operation` on it.
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

    /// Opens connections ahead of need and closes those unused for long.
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
        // Ahead of need: while all connections are used, one more is opened.
        let busy = state.idle.is_empty() && state.total + state.former_owner < self.limit;
        state.total < self.min_open || busy && state.total > 0
    }

    fn close_idle(&self) {
        let idle_timeout = self.core.settings.idle_timeout;
        let mut state = self.lock();
        while state.total > self.min_open
            && state
                .idle
                .front()
                .is_some_and(|(_, since)| *since + idle_timeout < now())
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

    /// Opens a connection and counts it.
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

    /// Opens a connection. One for data is used only when the server still names this node as
    /// the holder of the lock, which it may have lost unnoticed.
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
        // The guard gives its count back under the same mutex when it drops.
        drop(state);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State<T::Session>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Targets> DataConnection<T> {
    /// Gives the connection back for the next statement; the transaction must have ended.
    pub fn release(self) {
        let pool = self.guard.pool.clone();
        pool.return_idle(self.session, self.epoch, self.guard);
    }
}
