//! The owner's side of the request path: the queue, the connections and the lock of one server.

mod execute;
mod freshness;
mod link;
mod lock;
mod outcome;
mod pool;
mod silence;
mod slots;
mod transaction;
mod worker;

use std::{sync::Arc, time::Duration};

use siskinhook_types::{
    Failure, FailureKind, Limits, Request, Server, ServerId, Targets, sqlstate,
};
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{core::Core, group::Group};

pub use link::OwnerLink;
pub use pool::{DataConnection, Pool};
pub use silence::HangDetector;
pub use slots::{Slot, Slots};

/// Connections within a server's limit that are not used for data: the control connections of
/// the owner and of the other nodes that monitor the group, and one for confirmations of writes.
pub const RESERVED_CONNECTIONS: u32 = 4;

/// Interval at which a read that waits at a leaving primary checks whether it was replaced.
const LEAVING_PRIMARY_CHECK: Duration = Duration::from_millis(100);

/// A server that this node owns.
pub struct Owner<T: Targets> {
    pub server: Server,
    pub limits: Limits,
    pub group: Arc<Group<T>>,
    pub pool: Arc<Pool<T>>,
    pub slots: Arc<Slots>,
    pub hang_detector: Arc<HangDetector<T>>,
    /// Limits how many transactions hold a connection at the same time. The remaining
    /// connections stay available for single statements.
    pub transaction_permits: Arc<Semaphore>,
    /// Held by the request that currently waits for the server to catch up.
    catch_up: tokio::sync::Mutex<()>,
    retired: watch::Sender<bool>,
    /// Whether the catalogue marks the server as leaving.
    leaving: watch::Sender<bool>,
    stop: CancellationToken,
    _guard: DropGuard,
}

impl<T: Targets> Owner<T> {
    /// Starts the tasks that own a server: its queue, its hang detector and its lock.
    pub fn start(
        core: &Arc<Core<T>>,
        server: &Server,
        limits: &Limits,
        group: &Arc<Group<T>>,
    ) -> Arc<Self> {
        let stop = CancellationToken::new();
        let data_connections = limits
            .connections
            .saturating_sub(RESERVED_CONNECTIONS)
            .max(1) as usize;
        let pool = Arc::new(Pool::new(
            core,
            server.clone(),
            data_connections,
            limits.slots as usize,
        ));
        let transaction_limit = data_connections
            .saturating_sub(limits.slots as usize)
            .max(1);
        let hang_detector = HangDetector::start(core, pool.clone(), server.clone(), stop.clone());
        let owner = Arc::new(Self {
            server: server.clone(),
            limits: limits.clone(),
            group: group.clone(),
            slots: Slots::start(limits, core.counters.clone(), stop.clone()),
            pool,
            hang_detector,
            transaction_permits: Arc::new(Semaphore::new(transaction_limit)),
            catch_up: tokio::sync::Mutex::default(),
            retired: watch::Sender::new(false),
            leaving: watch::Sender::new(server.leaving),
            _guard: stop.clone().drop_guard(),
            stop: stop.clone(),
        });
        tokio::spawn(lock::hold_lock(
            core.clone(),
            server.clone(),
            group.clone(),
            owner.pool.clone(),
            stop,
        ));
        owner
    }

    /// Stops accepting requests and releases the lock. Requests in flight continue.
    pub fn retire(&self) {
        self.retired.send_replace(true);
        self.stop.cancel();
        self.pool.forbid();
    }

    /// Waits for the lock and then for a slot. The order matters: a statement that waited for the
    /// lock while it held a slot would be recorded as slow, and the queue would then refuse other
    /// statements because of a predicted wait that never happens.
    pub async fn acquire_slot(&self, request: &Request, pinned: bool) -> Result<Slot, Failure> {
        self.while_owned(async {
            self.pool.wait_for_lock(request.deadline).await?;
            self.slots.acquire(request, pinned).await
        })
        .await
    }

    /// Waits for a slot or a connection, and fails with `NotOwner` once the owner is retired. A
    /// retired owner has released the lock and no longer serves its queue, so the request has to
    /// go to the next owner.
    pub async fn while_owned<R>(
        &self,
        work: impl Future<Output = Result<R, Failure>>,
    ) -> Result<R, Failure> {
        let mut retired = self.retired.subscribe();
        tokio::select! {
            biased;
            result = work => result,
            _ = retired.wait_for(|retired| *retired) => {
                Err(not_owner(self.pool.core(), &self.server.name, Some(&self.server)))
            }
        }
    }

    /// Updates whether the catalogue marks the server as leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving
            .send_if_modified(|known| std::mem::replace(known, leaving) != leaving);
    }

    /// Acquires a slot for a read. Fails with `Unavailable` once the server is a leaving replica,
    /// also while the read waits in the queue: another server has to run it. A leaving primary
    /// serves reads until another server replaces it.
    pub async fn acquire_read_slot(&self, request: &Request) -> Result<Slot, Failure> {
        let mut leaving = self.leaving.subscribe();
        let left = async {
            while leaving.wait_for(|leaving| *leaving).await.is_ok() {
                if !self.group.is_primary(&self.server.name) {
                    return;
                }
                tokio::time::sleep(LEAVING_PRIMARY_CHECK).await;
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            biased;
            () = left => Err(Failure::not_run(
                FailureKind::Unavailable,
                sqlstate::UNAVAILABLE,
                format!("server {} is leaving; retry", self.server.name),
            )),
            slot = self.acquire_slot(request, false) => slot,
        }
    }

    /// Returns whether the owner was retired.
    pub fn is_retired(&self) -> bool {
        *self.retired.borrow()
    }
}

/// Builds the failure for a request to a server that this node does not own. It names the owner
/// when that is known to be another node.
pub fn not_owner<T: Targets>(core: &Core<T>, name: &ServerId, server: Option<&Server>) -> Failure {
    let known = server.and_then(|server| core.owner_of(server));
    let known = known.filter(|node| *node != core.identity.node);
    Failure::not_run(
        FailureKind::NotOwner(known),
        sqlstate::UNAVAILABLE,
        format!(
            "node {} does not own server {name}; retry",
            core.identity.node
        ),
    )
}

/// Builds the failure for a write that was sent to a server that is not the primary.
pub fn not_primary(server: &Server) -> Failure {
    Failure::not_run(
        FailureKind::NotPrimary,
        sqlstate::READ_ONLY,
        format!("server {} is not the primary; retry", server.name),
    )
}
