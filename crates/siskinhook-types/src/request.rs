//! Requests from an entry node to the owner of a server, and the links that carry them.

use std::{future::Future, time::Instant};

use crate::{
    CallerId, DatabaseId, Failure, Freshness, NodeId, Part, RequestId, ServerId, SessionId,
    Statement, value_type,
};

value_type! {
    /// Class of work of a statement.
    #[derive(Copy, Default, Hash, PartialOrd, Ord)]
    pub enum Class {
        /// Interactive work, which a person waits for.
        #[default]
        Short,
        /// Batch work, which may run many times longer, for example a billing run.
        Long,
    }

    /// Operation that a request asks the owner to perform.
    #[derive(Copy, Hash)]
    pub enum Kind {
        /// A read outside a transaction.
        Read,
        /// A write outside a transaction, committed automatically.
        Write,
        /// Opens a read-write transaction and pins a server connection to the link.
        Begin,
        /// Opens a read-only transaction and pins a server connection to the link.
        BeginReadOnly,
        /// A statement inside the transaction that is pinned to the link.
        Inner,
        /// Commits the pinned transaction.
        Commit,
        /// Rolls the pinned transaction back.
        Rollback,
        /// Requests the parameter types and columns of a statement without running it.
        Describe,
        /// Requests the owner's view of the database's group, returned as one row of JSON.
        Report,
        /// Looks up the outcome record of `Request::id`. The answer is `Part::Done` with the
        /// recorded command tag, or with an empty tag when there is no record.
        Lookup,
    }
}

/// A request from an entry node to the owner of a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// Database that the caller connected to.
    pub database: DatabaseId,
    /// Server that the entry node chose.
    pub server: ServerId,
    /// Caller, for fair queuing.
    pub caller: CallerId,
    /// Session, for log messages.
    pub session: SessionId,
    /// Requested operation.
    pub kind: Kind,
    /// Statement that the operation applies to.
    pub statement: Statement,
    /// Freshness requirements of a read.
    pub freshness: Freshness,
    /// Class of work.
    pub class: Class,
    /// The statement is not started after this instant.
    pub deadline: Instant,
    /// Idempotency key of the statement or transaction.
    pub id: Option<RequestId>,
}

impl Kind {
    /// Returns whether the request needs the primary.
    #[must_use]
    pub const fn needs_primary(self) -> bool {
        matches!(
            self,
            Self::Write | Self::Begin | Self::Commit | Self::Lookup
        )
    }
}

/// A connection to an owner that carries one request at a time.
///
/// Dropping a link during a request or transaction makes the owner roll back and close the
/// server connection.
pub trait Link: Send + 'static {
    /// Sends a request.
    ///
    /// # Errors
    /// Fails with `NotRun` when it is certain that the owner did not get the request.
    fn start(&mut self, request: Request) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Waits for the next part of the answer; `Part::Done` is the last one.
    ///
    /// # Errors
    /// Returns the owner's failure, or `MayHaveRun` when the link broke after `start`.
    fn next(&mut self) -> impl Future<Output = Result<Part, Failure>> + Send;
}

/// Opens links to other nodes.
pub trait Links: Clone + Send + Sync + 'static {
    /// The link type.
    type Link: Link;

    /// Opens a link to a node.
    ///
    /// # Errors
    /// Fails with `NotRun` when the node cannot be reached in time.
    fn open(&self, node: &NodeId) -> impl Future<Output = Result<Self::Link, Failure>> + Send;
}
