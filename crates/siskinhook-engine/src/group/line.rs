//! A control connection to one server, opened when needed.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use siskinhook_types::{Control, Failure, Purpose, Server, ServerStatus, TargetSession, Targets};
use smol_str::SmolStr;

use crate::{
    clock::{now, until},
    core::{Core, unavailable},
};

/// Time that a command waits for the one before it. After it the line is held to hang and a
/// further connection is opened, because commands of a failover must not wait for a probe.
const TURN: Duration = Duration::from_millis(50);

/// A control connection; commands take turns on it.
pub struct Line<T: Targets> {
    core: Arc<Core<T>>,
    server: Server,
    turn: tokio::sync::Mutex<()>,
    session: Mutex<Option<T::Session>>,
    /// Raised to close the connection, also while a command uses it.
    epoch: AtomicU64,
}

impl<T: Targets> Line<T> {
    pub fn new(core: Arc<Core<T>>, server: Server) -> Self {
        Self {
            core,
            server,
            turn: tokio::sync::Mutex::default(),
            session: Mutex::default(),
            epoch: AtomicU64::new(0),
        }
    }

    /// Address of the server.
    pub const fn address(&self) -> &SmolStr {
        &self.server.address
    }

    /// Runs a command, on the open connection if there is one.
    pub async fn send(&self, command: &Control, limit: Instant) -> Result<ServerStatus, Failure> {
        let turn = until(limit.min(now() + TURN), self.turn.lock()).await;
        let epoch = self.epoch.load(Relaxed);
        let open = turn.is_some().then(|| self.session().take()).flatten();
        self.run(open, command, limit, epoch).await
    }

    /// Runs a command on a new connection, which replaces the open one.
    pub async fn send_fresh(
        &self,
        command: &Control,
        limit: Instant,
    ) -> Result<ServerStatus, Failure> {
        self.close();
        self.run(None, command, limit, self.epoch.load(Relaxed))
            .await
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.epoch.fetch_add(1, Relaxed);
        drop(self.session().take());
    }

    async fn run(
        &self,
        open: Option<T::Session>,
        command: &Control,
        limit: Instant,
        epoch: u64,
    ) -> Result<ServerStatus, Failure> {
        let exchange = async {
            let mut session = match open {
                Some(session) => session,
                None => {
                    self.core
                        .targets
                        .connect(&self.server, Purpose::Control)
                        .await?
                }
            };
            let status = session.control(command).await?;
            Ok((session, status))
        };
        let Some(result) = until(limit, exchange).await else {
            return Err(unavailable(format!(
                "server {} did not answer {command} in time",
                self.server.name
            )));
        };
        let (session, status) = result?;
        let mut slot = self.session();
        if slot.is_none() && self.epoch.load(Relaxed) == epoch {
            *slot = Some(session);
        }
        Ok(status)
    }

    fn session(&self) -> std::sync::MutexGuard<'_, Option<T::Session>> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
