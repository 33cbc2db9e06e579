//! State of a server (term, role, log, data, sessions and session lock) and its transitions.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinhook_types::{LogPoint, NodeId, Role, ServerId, Term};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::database::{BoundStatement, SqlError, Store};

/// An entry in the log of a group: a committed transaction, or no writes for a promotion.
#[derive(Debug)]
pub(crate) struct LogEntry {
    /// Position of the entry in the log.
    pub point: LogPoint,
    /// Time at which the primary committed it.
    pub committed_at: Instant,
    /// Writes of the transaction.
    pub writes: Vec<BoundStatement>,
}

/// State of a server that commands and statements change, guarded by one lock.
#[derive(Debug)]
pub(super) struct State {
    pub(super) term: Term,
    pub(super) promoter: Option<NodeId>,
    pub(super) role: Role,
    pub(super) primary: Option<ServerId>,
    pub(super) log: Vec<Arc<LogEntry>>,
    pub(super) store: Store,
    pub(super) last_contact: Option<Instant>,
    pub(super) sessions: IndexMap<u64, AttachedSession>,
    pub(super) next_session: u64,
    pub(super) lock_holder: Option<(NodeId, u64)>,
    pub(super) running: u32,
    /// Ids of the sessions that are running a statement.
    pub(super) active_sessions: BTreeSet<u64>,
    pub(super) crashed: bool,
    pub(super) lag: Duration,
    pub(super) slowness: Duration,
}

/// Server side of a session.
#[derive(Debug)]
pub(super) struct AttachedSession {
    pub(super) node: NodeId,
    pub(super) closed: CancellationToken,
}

/// Applies a log entry to a database in one transaction.
pub(super) fn replay(store: &Store, entry: &LogEntry) -> Result<(), SqlError> {
    if entry.writes.is_empty() {
        return Ok(());
    }
    store.command("BEGIN")?;
    for write in &entry.writes {
        if let Err(error) = store.run(write, &[]) {
            store.command("ROLLBACK")?;
            return Err(error);
        }
    }
    store.command("COMMIT")
}

impl State {
    /// Returns the position of the last log entry, up to which reads see the data.
    pub(super) fn last_point(&self) -> LogPoint {
        self.log
            .last()
            .map_or(LogPoint::default(), |entry| entry.point)
    }

    /// Grants a term to a promoter if it is higher than the current one, so that each term is granted
    /// at most once. A fenced primary becomes a replica.
    pub(super) fn fence(&mut self, term: Term, promoter: &NodeId) {
        if term > self.term {
            self.term = term;
            self.promoter = Some(promoter.clone());
            self.role = Role::Replica;
            self.primary = None;
            self.last_contact = None;
        }
    }

    /// Makes the server the primary if the term was granted to the promoter and the server has not
    /// followed another server in it.
    pub(super) fn promote(&mut self, name: &ServerId, term: Term, promoter: &NodeId) {
        if self.term == term
            && self.promoter.as_ref() == Some(promoter)
            && self.role == Role::Replica
            && self.primary.is_none()
        {
            self.role = Role::Primary;
            self.primary = Some(name.clone());
            self.append(Vec::new());
        }
    }

    /// Follows the primary of the current or a higher term.
    pub(super) fn follow(&mut self, name: &ServerId, term: Term, server: &ServerId) {
        if term < self.term || server == name || (term == self.term && self.role == Role::Primary) {
            return;
        }
        if term > self.term {
            self.term = term;
            self.promoter = None;
            self.role = Role::Replica;
        }
        if self.primary.as_ref() != Some(server) {
            self.primary = Some(server.clone());
            self.last_contact = None;
        }
    }

    /// Acquires the session lock if it is free or held by an older session of the same node.
    pub(super) fn take_lock(&mut self, session: u64, node: &NodeId) {
        if self
            .lock_holder
            .as_ref()
            .is_none_or(|(holder, _)| holder == node)
        {
            self.lock_holder = Some((node.clone(), session));
        }
    }

    /// Closes all sessions of a node except the session that sent the command.
    pub(super) fn terminate(&mut self, session: u64, node: &NodeId) {
        self.sessions.retain(|id, attached| {
            let keep = attached.node != *node || *id == session;
            if !keep {
                attached.closed.cancel();
            }
            keep
        });
        self.release_lock();
    }

    /// Releases the session lock if the session that holds it is closed.
    pub(super) fn release_lock(&mut self) {
        if let Some((_, session)) = &self.lock_holder
            && !self.sessions.contains_key(session)
        {
            self.lock_holder = None;
        }
    }

    pub(super) fn append(&mut self, writes: Vec<BoundStatement>) -> LogPoint {
        let point = LogPoint::new(self.term, self.last_point().position + 1);
        self.log.push(Arc::new(LogEntry {
            point,
            committed_at: Instant::now(),
            writes,
        }));
        point
    }

    /// Truncates the log and rebuilds the data from the remaining entries.
    pub(super) fn truncate(&mut self, length: usize) -> Result<(), SqlError> {
        let store = Store::open()?;
        for entry in &self.log[..length] {
            replay(&store, entry)?;
        }
        self.store = store;
        self.log.truncate(length);
        Ok(())
    }

    /// Fails if the session was closed. After the answer to the command that closed a session, none of
    /// its statements may commit, on whichever thread they run.
    pub(super) fn check_attached(&self, session: u64) -> Result<(), SqlError> {
        if self.sessions.contains_key(&session) {
            return Ok(());
        }
        Err(SqlError::new(
            "57P01",
            "the connection was terminated by an administrator",
        ))
    }

    pub(super) fn check_writable(&self) -> Result<(), SqlError> {
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica => Err(SqlError::new(
                "25006",
                "this server is a read-only replica; send writes to the primary",
            )),
        }
    }
}
