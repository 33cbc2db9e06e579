//! Pooled connections, and the guard that returns a connection to its pool.

use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
};

use bytes::Bytes;
use siskinhook_types::NodeId;
use smol_str::SmolStr;
use tokio::{task::spawn_local, time::Instant};

use super::Target;
use crate::{Connection, Dialer, ServerOp};

/// A pooled connection with the session state that is set on it.
pub struct Pooled<C> {
    pub conn: C,
    /// Session values set on the connection.
    pub values: BTreeMap<Bytes, Bytes>,
    /// Names of the statements prepared on the connection.
    pub prepared: HashSet<SmolStr>,
    /// The node that relays to the server; `None` for a direct connection.
    pub(super) via: Option<NodeId>,
    /// When the connection was opened.
    pub(super) opened_at: Instant,
    /// When the connection became idle.
    pub(super) idle_since: Instant,
}

impl<C> Pooled<C> {
    pub(super) fn new(conn: C, via: Option<NodeId>) -> Self {
        Self {
            conn,
            values: BTreeMap::new(),
            prepared: HashSet::new(),
            via,
            opened_at: Instant::now(),
            idle_since: Instant::now(),
        }
    }

    /// Whether any session value or prepared statement is set on the connection.
    pub fn is_set_up(&self) -> bool {
        !self.values.is_empty() || !self.prepared.is_empty()
    }
}

/// A connection in use. Dropping it closes the connection, unless `return_to_pool` was called.
pub struct Leased<D: Dialer> {
    pub(super) target: Option<Rc<Target<D>>>,
    pub(super) pooled: Option<Pooled<D::Connection>>,
    pub(super) reusable: bool,
}

impl<D: Dialer> Leased<D> {
    /// Returns the connection.
    pub fn pooled(&mut self) -> Option<&mut Pooled<D::Connection>> {
        self.pooled.as_mut()
    }

    /// Returns the server.
    pub fn target(&self) -> Option<&Rc<Target<D>>> {
        self.target.as_ref()
    }

    /// Whether the connection goes to the server directly, without a relay.
    pub fn is_direct(&self) -> bool {
        self.pooled
            .as_ref()
            .is_some_and(|pooled| pooled.via.is_none())
    }

    /// Records that the server answered a request that was sent at `sent`. Replies through a relay
    /// say nothing about the server's process, because the relay may have reconnected.
    pub fn record_reply(&self, sent: Instant) {
        if let (Some(target), Some(opened_at)) = (&self.target, self.opened_directly_at()) {
            target.contact.borrow_mut().record_reply(opened_at, sent);
        }
    }

    /// Returns since when the server's process has certainly been running; `None` for a connection
    /// through a relay.
    pub fn running_since(&self) -> Option<Instant> {
        let target = self.target.as_ref()?;
        let opened_at = self.opened_directly_at()?;
        Some(target.contact.borrow().running_since(opened_at))
    }

    fn opened_directly_at(&self) -> Option<Instant> {
        let direct = self.pooled.as_ref().filter(|pooled| pooled.via.is_none());
        direct.map(|pooled| pooled.opened_at)
    }

    /// Closes the connection because its relaying node cannot reach the server. Returns whether a
    /// direct connection or another relay is left to try.
    pub fn block_relay(self) -> bool {
        let via = self.pooled.as_ref().and_then(|pooled| pooled.via.as_ref());
        match (&self.target, via) {
            (Some(target), Some(node)) => target.block(node),
            _ => false,
        }
    }

    /// Returns the connection to the pool. No transaction may be open on it.
    pub fn return_to_pool(mut self) {
        let relayed = self.pooled.as_mut().filter(|pooled| pooled.via.is_some());
        let Some(pooled) = relayed.filter(|pooled| pooled.is_set_up()) else {
            self.reusable = true;
            return;
        };
        // The relay occupies a connection to the server as long as any session state is set, so the
        // state is reset first.
        pooled.conn.push(&ServerOp::Reset);
        pooled.values.clear();
        pooled.prepared.clear();
        spawn_local(self.flush_and_return());
    }

    /// Sends the queued requests and returns the connection to the pool if that succeeds.
    async fn flush_and_return(mut self) {
        let Some(pooled) = self.pooled.as_mut() else {
            return;
        };
        let sent = pooled.conn.flush().await.is_ok();
        self.reusable = sent;
    }
}

impl<D: Dialer> Drop for Leased<D> {
    fn drop(&mut self) {
        let (Some(target), Some(pooled)) = (self.target.take(), self.pooled.take()) else {
            return;
        };
        if self.reusable {
            target.return_connection(pooled);
        } else {
            drop(pooled);
            target.connection_closed();
        }
    }
}
