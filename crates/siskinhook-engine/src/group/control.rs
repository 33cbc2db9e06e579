//! A control connection to one server, opened on demand.

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

/// Maximum time that a command waits for the command before it. After that, the connection is
/// assumed to hang and the command opens another one, because failover commands must not wait for
/// a probe.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(50);

/// A control connection, on which commands run one at a time.
pub struct ControlConnection<T: Targets> {
    core: Arc<Core<T>>,
    server: Server,
    in_use: tokio::sync::Mutex<()>,
    session: Mutex<Option<T::Session>>,
    /// Incremented to close the connection. A command that is using it then does not put it back.
    epoch: AtomicU64,
}

impl<T: Targets> ControlConnection<T> {
    pub fn new(core: Arc<Core<T>>, server: Server) -> Self {
        Self {
            core,
            server,
            in_use: tokio::sync::Mutex::default(),
            session: Mutex::default(),
            epoch: AtomicU64::new(0),
        }
    }

    /// Returns the address of the server.
    pub const fn address(&self) -> &SmolStr {
        &self.server.address
    }

    /// Runs a command on the open connection, or on a new one if none is open or the open one is
    /// busy for too long.
    pub async fn send(
        &self,
        command: &Control,
        reply_deadline: Instant,
    ) -> Result<ServerStatus, Failure> {
        let in_use = until(
            reply_deadline.min(now() + QUEUE_TIMEOUT),
            self.in_use.lock(),
        )
        .await;
        let epoch = self.epoch.load(Relaxed);
        let open = in_use.is_some().then(|| self.session().take()).flatten();
        self.run(open, command, reply_deadline, epoch).await
    }

    /// Runs a command on a new connection, which replaces the open one.
    pub async fn send_on_new(
        &self,
        command: &Control,
        reply_deadline: Instant,
    ) -> Result<ServerStatus, Failure> {
        self.close();
        self.run(None, command, reply_deadline, self.epoch.load(Relaxed))
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
        reply_deadline: Instant,
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
        let Some(result) = until(reply_deadline, exchange).await else {
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
