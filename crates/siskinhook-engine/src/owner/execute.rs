//! Single statements on a server connection.

use std::sync::Arc;

use siskinhook_types::{
    Failure, FailureKind, Kind, LogPoint, Part, Request, Statement, TargetSession, Targets,
    Verdict, sqlstate,
};
use smol_str::SmolStr;

use super::{
    DataConnection, Owner, not_primary,
    silence::Watched,
    worker::{Reply, Worker},
};
use crate::{clock::now, core::deadline_passed, counters::count};

/// The last part of an answer.
pub type Done = (SmolStr, Option<LogPoint>);

/// How the parts of an answer before the last one are handled.
#[derive(Clone, Copy)]
pub enum Rows<'a> {
    /// Passed on to the link.
    Pass(&'a Reply),
    /// Dropped: the statement is the owner's own.
    Drop,
}

impl<T: Targets> Worker<T> {
    /// Runs a read or describe request.
    pub async fn read(
        &mut self,
        owner: &Arc<Owner<T>>,
        mut request: Request,
    ) -> Result<(), Failure> {
        if request.kind == Kind::Read {
            owner.ensure_fresh(&self.core, &request).await?;
        }
        let queued = now();
        let slot = owner.slot(&request, false).await?;
        if request.kind == Kind::Read {
            // An age that the caller stated counts from now, not from before the queue.
            let waited = now().saturating_duration_since(queued);
            if let Some(since) = &mut request.freshness.since {
                *since += waited;
            }
            owner.ensure_fresh(&self.core, &request).await?;
        }
        let mut connection = owner.send(&request).await?;
        let done = owner
            .collect(&mut connection, Rows::Pass(&self.reply))
            .await;
        let done = owner.settle(connection, done)?;
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
        self.reply.done(done.0, None).await;
        Ok(())
    }

    /// Runs a write that commits by itself.
    pub async fn write(&mut self, owner: &Arc<Owner<T>>, request: Request) -> Result<(), Failure> {
        let slot = owner.slot(&request, false).await?;
        let mut connection = owner.send(&request).await?;
        let done = owner
            .collect(&mut connection, Rows::Pass(&self.reply))
            .await;
        let (tag, point) = owner.settle(connection, done)?;
        slot.finish();
        owner.confirm(&self.core, point).await?;
        self.reply.done(tag, point).await;
        Ok(())
    }
}

impl<T: Targets> Owner<T> {
    /// Takes a connection and sends the request's statement on it. A connection that broke
    /// while it was idle is replaced, because nothing was sent on it.
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
                    self.note_loss(&failure);
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Reads the answer to the statement that was sent.
    pub async fn collect(
        &self,
        connection: &mut DataConnection<T>,
        rows: Rows<'_>,
    ) -> Result<Done, Failure> {
        let id = connection.session.id();
        let mut watched = Some(self.silence.watch(id));
        let mut reported = now();
        loop {
            let watch = watched.get_or_insert_with(|| self.silence.watch(id));
            let part = receive(&mut connection.session, watch).await;
            let part = part.inspect_err(|failure| self.note_loss(failure))?;
            // Noting each row would take a lock per row.
            if now().saturating_duration_since(reported) > NOTE_INTERVAL {
                reported = now();
                watch.progress();
            }
            let part = match part {
                Part::Done { tag, point } => return Ok((tag, point)),
                part => part,
            };
            let Rows::Pass(reply) = rows else { continue };
            if let Some(part) = reply.try_part(part) {
                // While the reader is slow, silence says nothing about the connection.
                watched = None;
                reply.part(part).await;
            }
        }
    }

    /// Doubts the lock when a connection was lost: another node may have terminated it.
    pub fn note_loss(&self, failure: &Failure) {
        if failure.kind == FailureKind::ConnectionLost {
            self.pool.doubt();
        }
    }

    /// Gives a connection back after its statement, or closes it; passes the result on.
    pub fn settle(
        &self,
        connection: DataConnection<T>,
        result: Result<Done, Failure>,
    ) -> Result<Done, Failure> {
        match result {
            Ok(done) => {
                connection.release();
                Ok(done)
            }
            Err(failure) => {
                if failure.verdict == Verdict::Ran {
                    connection.release();
                }
                Err(self.translate(failure))
            }
        }
    }

    /// Turns the target's refusal of a write on a replica into `NotPrimary`.
    pub fn translate(&self, failure: Failure) -> Failure {
        let refused = failure.verdict == Verdict::Ran && failure.code == sqlstate::READ_ONLY;
        if refused && !self.group.is_primary(&self.server.name) {
            self.group.doubt();
            return not_primary(&self.server);
        }
        failure
    }

    /// Runs one of the owner's own statements and drops its rows.
    pub async fn own(
        &self,
        connection: &mut DataConnection<T>,
        statement: &Statement,
    ) -> Result<Done, Failure> {
        let sent = connection.session.start(statement).await;
        sent.inspect_err(|failure| self.note_loss(failure))?;
        self.collect(connection, Rows::Drop).await
    }

    /// Waits until a majority holds a committed write.
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

/// Least time between two notes of progress of one statement.
const NOTE_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

async fn receive<T: Targets>(
    session: &mut T::Session,
    watched: &Watched<T>,
) -> Result<Part, Failure> {
    tokio::select! {
        biased;
        part = session.next() => part,
        () = watched.hangs.cancelled() => Err(Failure::may_have_run(
            FailureKind::ConnectionLost,
            "the connection to the server stopped answering and was closed",
        )),
    }
}
