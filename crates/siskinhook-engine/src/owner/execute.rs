//! Runs single statements (reads, describes and writes) on a server connection.

use std::sync::Arc;

use siskinhook_types::{
    Failure, FailureKind, Kind, LogPoint, Part, Request, Role, Statement, TargetSession, Targets,
    Verdict, sqlstate,
};
use smol_str::SmolStr;

use super::{
    DataConnection, Owner, not_primary,
    silence::WatchedStatement,
    worker::{Reply, Worker},
};
use crate::{clock::now, core::deadline_passed, counters::count};

/// The command tag and commit log position that end an answer.
pub type Completion = (SmolStr, Option<LogPoint>);

/// What to do with the parts of an answer that come before the last one.
#[derive(Clone, Copy)]
pub enum Rows<'a> {
    /// Forward them to the link.
    Forward(&'a Reply),
    /// Discard them, because the owner itself issued the statement.
    Discard,
}

impl<T: Targets> Worker<T> {
    /// Runs a read or describe request and forwards its answer.
    pub async fn read(
        &mut self,
        owner: &Arc<Owner<T>>,
        mut request: Request,
    ) -> Result<(), Failure> {
        if request.kind == Kind::Read {
            owner.ensure_fresh(&self.core, &request).await?;
        }
        let queued_at = now();
        let slot = owner.acquire_read_slot(&request).await?;
        if request.kind == Kind::Read {
            // The maximum age that the caller stated is measured from the start of execution, so
            // the time spent in the queue does not count against it.
            let waited = now().saturating_duration_since(queued_at);
            if let Some(since) = &mut request.freshness.since {
                *since += waited;
            }
            owner.ensure_fresh(&self.core, &request).await?;
        }
        let mut connection = owner.send(&request).await?;
        let done = owner
            .read_answer(&mut connection, Rows::Forward(&self.reply))
            .await;
        let done = owner.return_connection(connection, done).await?;
        slot.finish();
        if request.kind == Kind::Read {
            let primary = owner.group.is_primary(&owner.server.name);
            let counters = &self.core.counters;
            count(if primary {
                &counters.primary_reads
            } else {
                &counters.replica_reads
            });
        }
        self.reply.send_done(done.0, None).await;
        Ok(())
    }

    /// Runs an autocommit write and waits until a majority of the group has it.
    pub async fn write(&mut self, owner: &Arc<Owner<T>>, request: Request) -> Result<(), Failure> {
        let slot = owner.acquire_slot(&request, false).await?;
        let mut connection = owner.send(&request).await?;
        let done = owner
            .read_answer(&mut connection, Rows::Forward(&self.reply))
            .await;
        let (tag, point) = owner.return_connection(connection, done).await?;
        slot.finish();
        owner.confirm(&self.core, point).await?;
        self.reply.send_done(tag, point).await;
        Ok(())
    }
}

impl<T: Targets> Owner<T> {
    /// Acquires a connection and sends the request's statement on it. If a reused connection
    /// turns out to have broken while it was idle, retries on another one: nothing was sent.
    pub async fn send(&self, request: &Request) -> Result<DataConnection<T>, Failure> {
        loop {
            if request.deadline <= now() {
                return Err(deadline_passed("a server connection"));
            }
            let connection = self.pool.acquire(request.deadline);
            let mut connection = self.while_owned(connection).await?;
            let session = &mut connection.session;
            let sent = if request.kind == Kind::Describe {
                session.describe(&request.statement).await
            } else {
                session.start(&request.statement).await
            };
            match sent {
                Ok(()) => return Ok(connection),
                Err(failure) if failure.verdict == Verdict::NotRun && connection.reused => {
                    self.recheck_lock_on_loss(&failure);
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Reads the answer to the statement that was sent last, up to its final part.
    pub async fn read_answer(
        &self,
        connection: &mut DataConnection<T>,
        rows: Rows<'_>,
    ) -> Result<Completion, Failure> {
        let id = connection.session.id();
        let mut watched = Some(self.hang_detector.watch(id));
        let mut reported_at = now();
        loop {
            let watch = watched.get_or_insert_with(|| self.hang_detector.watch(id));
            let part = receive(&mut connection.session, watch).await;
            let part = part.inspect_err(|failure| self.recheck_lock_on_loss(failure))?;
            // Reporting every row would take a lock per row.
            if now().saturating_duration_since(reported_at) > PROGRESS_INTERVAL {
                reported_at = now();
                watch.progress();
            }
            let part = match part {
                Part::Done { tag, point } => return Ok((tag, point)),
                part => part,
            };
            let Rows::Forward(reply) = rows else { continue };
            if let Some(part) = reply.try_send_part(part) {
                // Stop watching while the reader is slow: a lack of progress then does not mean
                // that the connection hangs.
                watched = None;
                reply.send_part(part).await;
            }
        }
    }

    /// Requests a check of the server's lock when a connection was lost, because another node
    /// may have taken the lock and terminated the connection.
    pub fn recheck_lock_on_loss(&self, failure: &Failure) {
        if failure.kind == FailureKind::ConnectionLost {
            self.pool.request_lock_check();
        }
    }

    /// Returns a connection to the pool after its statement, or closes it if its state is
    /// unknown. Passes the statement's result through.
    pub async fn return_connection(
        &self,
        connection: DataConnection<T>,
        result: Result<Completion, Failure>,
    ) -> Result<Completion, Failure> {
        match result {
            Ok(done) => {
                connection.release();
                Ok(done)
            }
            Err(failure) => {
                if failure.verdict == Verdict::Ran {
                    connection.release();
                }
                Err(self.map_read_only_error(failure).await)
            }
        }
    }

    /// Maps the target's read-only error for a write on a replica to `NotPrimary` and requests a
    /// poll of the group, because the known primary may be out of date.
    pub async fn map_read_only_error(&self, failure: Failure) -> Failure {
        let refused = failure.verdict == Verdict::Ran && failure.code == sqlstate::READ_ONLY;
        // A primary refuses writes only in a read-only transaction.
        if !refused || self.is_still_primary().await {
            return failure;
        }
        self.group.request_poll();
        not_primary(&self.server)
    }

    /// Asks the server whether it is the primary, unless the group is already known to have another
    /// one. A promotion may have demoted it since the last poll.
    async fn is_still_primary(&self) -> bool {
        let name = &self.server.name;
        if !self.group.is_primary(name) {
            return false;
        }
        let started = now();
        // Without an answer nothing shows that it is still the primary.
        let Ok(status) = self.group.status(name).await else {
            return false;
        };
        let is_primary = status.role == Role::Primary;
        self.group.record_status(name, started, status);
        is_primary
    }

    /// Runs a statement that the owner itself issues and discards its rows.
    pub async fn run_internal(
        &self,
        connection: &mut DataConnection<T>,
        statement: &Statement,
    ) -> Result<Completion, Failure> {
        let sent = connection.session.start(statement).await;
        sent.inspect_err(|failure| self.recheck_lock_on_loss(failure))?;
        self.read_answer(connection, Rows::Discard).await
    }

    /// Waits until a majority of the group has a committed write.
    ///
    /// # Errors
    /// `NotConfirmed` with the verdict `MayHaveRun` when no majority acknowledged it in time.
    pub async fn confirm(
        &self,
        core: &crate::core::Core<T>,
        point: Option<LogPoint>,
    ) -> Result<(), Failure> {
        let Some(point) = point else { return Ok(()) };
        if self.group.confirm(&self.server.name, point).await {
            return Ok(());
        }
        count(&core.counters.not_confirmed);
        Err(Failure::may_have_run(
            FailureKind::NotConfirmed,
            format!(
                "server {} committed the write, but no majority of its group confirmed it: the \
                 primary may have been replaced; look the result up before repeating the write",
                self.server.name
            ),
        ))
    }
}

/// Minimum interval between two progress reports of one statement to the hang detector.
const PROGRESS_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// Waits for the next part of an answer, or fails when the connection is found to hang.
async fn receive<T: Targets>(
    session: &mut T::Session,
    watched: &WatchedStatement<T>,
) -> Result<Part, Failure> {
    tokio::select! {
        biased;
        part = session.next() => part,
        () = watched.hung.cancelled() => Err(Failure::may_have_run(
            FailureKind::ConnectionLost,
            "the connection to the server stopped answering and was closed",
        )),
    }
}
