//! State of a server: term, role, log, data, sessions and session lock, with the rules that
//! change them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinhook_types::{LogPoint, NodeId, Role, ServerId, Term};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::database::{Bound, SqlError, Store};

/// An entry of a group's log: one committed transaction, or none for a promotion.
#[derive(Debug)]
pub(crate) struct LogEntry {
    /// Where it is in the log.
    pub point: LogPoint,
    /// When the primary committed it.
    pub at: Instant,
    /// Its writes.
    pub writes: Vec<Bound>,
}

/// The part of a server that commands and statements change, under one lock.
#[derive(Debug)]
pub(super) struct State {
    pub(super) term: Term,
    pub(super) promoter: Option<NodeId>,
    pub(super) role: Role,
    pub(super) primary: Option<ServerId>,
    pub(super) log: Vec<Arc<LogEntry>>,
    pub(super) store: Store,
    pub(super) contact: Option<Instant>,
    pub(super) sessions: IndexMap<u64, Attached>,
    pub(super) next_session: u64,
    pub(super) holder: Option<(NodeId, u64)>,
    pub(super) running: u32,
    /// Sessions that work on a statement.
    pub(super) active: BTreeSet<u64>,
    pub(super) crashed: bool,
    pub(super) lag: Duration,
    pub(super) slowness: Duration,
}

/// The server's side of a session.
#[derive(Debug)]
pub(super) struct Attached {
    pub(super) node: NodeId,
    pub(super) closed: CancellationToken,
}

/// Applies an entry in one transaction.
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
    /// Returns the end of the log, which is what reads see.
    pub(super) fn last(&self) -> LogPoint {
        self.log
            .last()
            .map_or(LogPoint::default(), |entry| entry.point)
    }

    /// Grants a term once, and only if it is higher; a fenced primary becomes a replica.
    pub(super) fn fence(&mut self, term: Term, promoter: &NodeId) {
        if term > self.term {
            self.term = term;
            self.promoter = Some(promoter.clone());
            self.role = Role::Replica;
            self.primary = None;
            self.contact = None;
        }
    }

    /// Makes the server primary if the term was granted to the promoter and the server has
    /// followed nobody in it.
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

    /// Follows a primary of the same or a higher term.
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
            self.contact = None;
        }
    }

    /// Takes the session lock if it is free, or held by an older session of the same node.
    pub(super) fn take_lock(&mut self, session: u64, node: &NodeId) {
        if self
            .holder
            .as_ref()
            .is_none_or(|(holder, _)| holder == node)
        {
            self.holder = Some((node.clone(), session));
        }
    }

    /// Closes all sessions of a node except the one that asks.
    pub(super) fn terminate(&mut self, session: u64, node: &NodeId) {
        self.sessions.retain(|id, attached| {
            let stays = attached.node != *node || *id == session;
            if !stays {
                attached.closed.cancel();
            }
            stays
        });
        self.release_lock();
    }

    /// Frees the lock when its session is gone.
    pub(super) fn release_lock(&mut self) {
        if let Some((_, session)) = &self.holder
            && !self.sessions.contains_key(session)
        {
            self.holder = None;
        }
    }

    pub(super) fn append(&mut self, writes: Vec<Bound>) -> LogPoint {
        let point = LogPoint::new(self.term, self.last().position + 1);
        self.log.push(Arc::new(LogEntry {
            point,
            at: Instant::now(),
            writes,
        }));
        point
    }

    /// Cuts the log and rebuilds the data from what is left.
    pub(super) fn truncate(&mut self, length: usize) -> Result<(), SqlError> {
        let store = Store::open()?;
        for entry in &self.log[..length] {
            replay(&store, entry)?;
        }
        self.store = store;
        self.log.truncate(length);
        Ok(())
    }

    /// Fails when the session was closed: nothing of it may commit after the answer to the
    /// command that closed it, whichever thread its statement runs on.
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
