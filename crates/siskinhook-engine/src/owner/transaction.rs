//! A transaction of a caller, pinned to its link and to one server connection.

use std::sync::Arc;

use siskinhook_types::{
    Failure, FailureKind, Kind, Request, RequestId, TargetSession, Targets, Verdict, sqlstate,
};
use tokio::sync::OwnedSemaphorePermit;

use super::{
    DataConnection, Owner,
    execute::{Done, Rows},
    worker::Worker,
};
use crate::{
    clock::until,
    core::{ActiveRequest, deadline_passed},
};

/// An open transaction.
pub struct Transaction<T: Targets> {
    pub owner: Arc<Owner<T>>,
    pub connection: DataConnection<T>,
    pub id: Option<RequestId>,
    _pin: OwnedSemaphorePermit,
    /// Counts the transaction as in progress between its statements.
    _active: ActiveRequest<T>,
}

impl<T: Targets> Worker<T> {
    /// Opens a transaction.
    pub async fn begin(&mut self, owner: Arc<Owner<T>>, request: Request) -> Result<(), Failure> {
        owner.ensure_fresh(&self.core, &request).await?;
        let pin = async {
            let pin = until(request.deadline, owner.pins.clone().acquire_owned()).await;
            let Some(Ok(pin)) = pin else {
                return Err(deadline_passed("a connection for a transaction"));
            };
            Ok(pin)
        };
        let pin = owner.while_owned(pin).await?;
        let slot = owner.slot(&request, false).await?;
        let mut connection = owner.send(&request).await?;
        let done = owner
            .collect(&mut connection, Rows::Pass(&self.reply))
            .await;
        let (tag, _) = match done {
            Ok(done) => done,
            Err(failure) => return Err(owner.translate(failure)),
        };
        slot.finish();
        let point = owner.group.last(&owner.server.name);
        self.transaction = Some(Transaction {
            owner,
            connection,
            id: request.id,
            _pin: pin,
            _active: self.core.track(),
        });
        self.reply.done(tag, point).await;
        Ok(())
    }

    /// Runs a request inside the open transaction.
    pub async fn inner(&mut self, request: Request) -> Result<(), Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Ok(());
        };
        let owner = transaction.owner.clone();
        let result = match request.kind {
            Kind::Commit => return self.commit(transaction, request).await,
            Kind::Rollback | Kind::Inner | Kind::Describe => {
                self.statement(&mut transaction, &request).await
            }
            _ => Err(Failure::not_run(
                FailureKind::BadRequest,
                sqlstate::PROTOCOL,
                "a transaction is open on the link; end it first",
            )),
        };
        match result {
            Ok((tag, _)) if request.kind == Kind::Rollback => {
                transaction.connection.release();
                self.reply.done(tag, None).await;
                Ok(())
            }
            Ok((tag, _)) => {
                self.transaction = Some(transaction);
                self.reply.done(tag, None).await;
                Ok(())
            }
            // The target's own error leaves the transaction open until the caller ends it.
            // After any other failure the connection is closed, which rolls back.
            Err(failure) if failure.verdict == Verdict::Ran => {
                self.transaction = Some(transaction);
                Err(owner.translate(failure))
            }
            Err(failure) => Err(failure),
        }
    }

    async fn statement(
        &mut self,
        transaction: &mut Transaction<T>,
        request: &Request,
    ) -> Result<Done, Failure> {
        let owner = transaction.owner.clone();
        let slot = owner.slots.acquire(request, true).await?;
        let session = &mut transaction.connection.session;
        let sent = if request.kind == Kind::Describe {
            session.describe(&request.statement).await
        } else {
            session.start(&request.statement).await
        };
        sent.inspect_err(|failure| owner.note_loss(failure))?;
        let rows = Rows::Pass(&self.reply);
        let done = owner.collect(&mut transaction.connection, rows).await?;
        slot.finish();
        Ok(done)
    }

    async fn commit(
        &mut self,
        mut transaction: Transaction<T>,
        request: Request,
    ) -> Result<(), Failure> {
        let owner = transaction.owner.clone();
        if let Some(id) = transaction.id.clone() {
            let recorded = owner
                .record(&mut transaction.connection, &id, "COMMIT")
                .await?;
            if !recorded {
                return self.repeat(&owner, transaction.connection, &id).await;
            }
        }
        let done = self.statement(&mut transaction, &request).await;
        let (tag, point) = owner.settle(transaction.connection, done)?;
        owner.confirm(&self.core, point).await?;
        self.reply.done(tag, point).await;
        Ok(())
    }
}
