//! A connector to the servers that counts open connections.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use indexmap::IndexMap;
use siskinhook_standin::{LocalSession, LocalTargets};
use siskinhook_types::{
    Control, Failure, FailureKind, NodeId, Part, Purpose, Server, ServerId, ServerStatus,
    Statement, TargetSession, Targets,
};

/// The open connections of all nodes, with statistics.
#[derive(Default)]
pub struct Registry {
    open: Mutex<IndexMap<u64, (ServerId, NodeId, Purpose)>>,
    next: AtomicU64,
    /// Maximum number of connections of any kind that were open to one server at the same time.
    pub max_open: AtomicU64,
    /// Maximum number of data connections that were open to one server at the same time.
    pub max_data: AtomicU64,
    /// Connections that a server refused because of its limit.
    pub refused: AtomicU64,
}

#[derive(Clone)]
pub struct CountedTargets {
    pub inner: LocalTargets,
    pub node: NodeId,
    pub registry: Arc<Registry>,
}

pub struct CountedSession {
    inner: LocalSession,
    server: ServerId,
    id: u64,
    registry: Arc<Registry>,
}

impl Drop for CountedSession {
    fn drop(&mut self) {
        self.registry.open.lock().unwrap().swap_remove(&self.id);
    }
}

impl Targets for CountedTargets {
    type Session = CountedSession;

    async fn connect(&self, server: &Server, purpose: Purpose) -> Result<CountedSession, Failure> {
        let opened = self.inner.connect(server, purpose).await;
        let inner = opened.inspect_err(|failure| {
            if failure.kind == FailureKind::Overload {
                self.registry.refused.fetch_add(1, Relaxed);
            }
        })?;
        let id = self.registry.next.fetch_add(1, Relaxed);
        let mut open = self.registry.open.lock().unwrap();
        open.insert(id, (server.name.clone(), self.node.clone(), purpose));
        let here = open.values().filter(|(name, ..)| *name == server.name);
        let data = here
            .clone()
            .filter(|(.., purpose)| *purpose == Purpose::Data);
        let (all, data) = (here.clone().count(), data.count());
        self.registry.max_open.fetch_max(all as u64, Relaxed);
        self.registry.max_data.fetch_max(data as u64, Relaxed);
        drop(open);
        Ok(CountedSession {
            inner,
            server: server.name.clone(),
            id,
            registry: self.registry.clone(),
        })
    }
}

impl TargetSession for CountedSession {
    fn id(&self) -> Option<u64> {
        self.inner.id()
    }

    async fn start(&mut self, statement: &Statement) -> Result<(), Failure> {
        self.inner.start(statement).await
    }

    async fn describe(&mut self, statement: &Statement) -> Result<(), Failure> {
        self.inner.describe(statement).await
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        self.inner.next().await
    }

    async fn control(&mut self, command: &Control) -> Result<ServerStatus, Failure> {
        let status = self.inner.control(command).await?;
        if let Control::Terminate { node } = command {
            let mut open = self.registry.open.lock().unwrap();
            open.retain(|id, (server, owner, _)| {
                *server != self.server || owner != node || *id == self.id
            });
        }
        Ok(status)
    }
}
