//! Data connections of one server.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use siskinhook_types::{Failure, FailureKind, Purpose, Server, Targets};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::{
    clock::{now, until},
    core::{Core, deadline_passed, unavailable},
    counters::count,
};

/// Pause before a server that is full is asked again for a connection.
const FULL_PAUSE: Duration = Duration::from_millis(20);

struct State<S> {
    idle: VecDeque<(S, Instant)>,
    /// Open connections, used and idle, and those being opened.
    total: usize,
    /// Raised when the lock is lost; connections of an older epoch are not used again.
    epoch: u64,
}

/// Data connections of one server, opened only while the node holds the server's lock.
pub struct Pool<T: Targets> {
    core: Arc<Core<T>>,
    server: Server,
    limit: usize,
    ready: usize,
    permits: Arc<Semaphore>,
    state: Mutex<State<T::Session>>,
    allowed: watch::Sender<bool>,
}

/// A data connection in use; dropping it closes it.
pub struct DataConnection<T: Targets> {
    /// The connection to the server.
    pub session: T::Session,
    /// Whether it was idle before, so that it may have broken unnoticed.
    pub reused: bool,
    epoch: u64,
    share: Share<T>,
    _permit: OwnedSemaphorePermit,
}

/// The right to one connection, counted until it drops.
struct Share<T: Targets> {
    pool: Arc<Pool<T>>,
    /// False once an idle connection carries the count on.
    counted: bool,
}

impl<T: Targets> Drop for Share<T> {
    fn drop(&mut self) {
        if self.counted {
            self.pool.lock().total -= 1;
        }
    }
}

impl<T: Targets> Pool<T> {
    /// Creates an empty pool of at most `limit` connections that keeps `ready` open.
    pub fn new(core: &Arc<Core<T>>, server: Server, limit: usize, ready: usize) -> Self {
        Self {
            core: core.clone(),
            server,
            limit,
            ready: ready.min(limit),
            permits: Arc::new(Semaphore::new(limit)),
            state: Mutex::new(State {
                idle: VecDeque::new(),
                total: 0,
                epoch: 0,
            }),
            allowed: watch::Sender::new(false),
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

    /// Forbids new connections and closes idle ones; those in use are closed after their
    /// statement or transaction.
    pub fn forbid(&self) {
        self.allowed.send_replace(false);
        let mut state = self.lock();
        state.epoch += 1;
        state.total -= state.idle.len();
        state.idle.clear();
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
        let mut allowed = self.allowed.subscribe();
        // Another server or owner may serve the request, so that it does not wait for the lock
        // up to its deadline.
        let patience = deadline.min(now() + self.core.settings.connect_timeout);
        if until(patience, allowed.wait_for(|allowed| *allowed))
            .await
            .is_none()
        {
            return Err(unavailable(format!(
                "this node does not hold the lock of server {} yet; retry",
                self.server.name
            )));
        }
        loop {
            if let Some((session, epoch)) = self.take_idle() {
                return Ok(DataConnection {
                    session,
                    reused: true,
                    epoch,
                    share: self.share(),
                    _permit: permit,
                });
            }
            match self.connect(Purpose::Data, deadline).await {
                Ok((session, epoch, share)) => {
                    return Ok(DataConnection {
                        session,
                        reused: false,
                        epoch,
                        share,
                        _permit: permit,
                    });
                }
                // The server is full while the connections of the previous owner end.
                Err(failure) if failure.kind == FailureKind::Overload && now() < deadline => {
                    tokio::time::sleep(FULL_PAUSE).await;
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Takes over the count of a connection that was idle.
    fn share(self: &Arc<Self>) -> Share<T> {
        Share {
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
    /// when the limit is reached, and runs `use_it` on it.
    pub async fn borrow<R>(
        self: &Arc<Self>,
        deadline: Instant,
        use_it: impl AsyncFnOnce(&mut T::Session) -> Result<R, Failure>,
    ) -> Result<R, Failure> {
        let _permit = self.permit(deadline).await?;
        {
            let mut state = self.lock();
            if state.total >= self.limit && state.idle.pop_front().is_some() {
                state.total -= 1;
            }
        }
        let (mut session, _, _share) = self.connect(Purpose::Control, deadline).await?;
        match until(deadline, use_it(&mut session)).await {
            Some(result) => result,
            None => Err(deadline_passed("the server's status")),
        }
    }

    /// Opens connections ahead of need and closes those unused for long.
    pub async fn maintain(self: &Arc<Self>) {
        self.close_idle();
        while self.is_allowed() && self.lacks() {
            let Ok(_permit) = self.permits.clone().try_acquire_owned() else {
                return;
            };
            let deadline = now() + self.core.settings.connect_timeout;
            let Ok((session, epoch, share)) = self.connect(Purpose::Data, deadline).await else {
                return;
            };
            self.put(session, epoch, share);
        }
    }

    fn lacks(&self) -> bool {
        let state = self.lock();
        // Ahead of need: while all connections are used, one more is opened.
        let busy = state.idle.is_empty() && state.total < self.limit;
        state.total < self.ready || busy && state.total > 0
    }

    fn close_idle(&self) {
        let unused = self.core.settings.idle_timeout;
        let mut state = self.lock();
        while state.total > self.ready
            && state
                .idle
                .front()
                .is_some_and(|(_, since)| *since + unused < now())
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
    ) -> Result<(T::Session, u64, Share<T>), Failure> {
        let epoch = {
            let mut state = self.lock();
            if state.total >= self.limit {
                let mut failure = unavailable(format!(
                    "all connections of server {} are in use; retry",
                    self.server.name
                ));
                failure.kind = FailureKind::Overload;
                return Err(failure);
            }
            state.total += 1;
            state.epoch
        };
        let share = self.share();
        let limit = deadline.min(now() + self.core.settings.connect_timeout);
        let opening = self.core.targets.connect(&self.server, purpose);
        let Some(session) = until(limit, opening).await else {
            return Err(unavailable(format!(
                "server {} did not accept a connection in time; retry",
                self.server.name
            )));
        };
        let session = session?;
        count(&self.core.counters.connections_opened);
        Ok((session, epoch, share))
    }

    fn put(&self, session: T::Session, epoch: u64, mut share: Share<T>) {
        let mut state = self.lock();
        let keep = epoch == state.epoch && self.is_allowed();
        if keep {
            state.idle.push_back((session, now()));
            share.counted = false;
        }
        // The share gives its count back under the same mutex when it drops.
        drop(state);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State<T::Session>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Targets> DataConnection<T> {
    /// Gives the connection back for the next statement; the transaction must have ended.
    pub fn release(self) {
        let pool = self.share.pool.clone();
        pool.put(self.session, self.epoch, self.share);
    }
}
