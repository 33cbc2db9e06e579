//! Runs a caller's transaction, which stays on one link and one server connection.

use std::sync::Arc;

use siskinhook_types::{
    Failure, FailureKind, Kind, Request, RequestId, TargetSession, Targets, Verdict, sqlstate,
};
use tokio::sync::OwnedSemaphorePermit;

use super::{
    DataConnection, Owner,
    execute::{Completion, Rows},
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
    _permit: OwnedSemaphorePermit,
    /// Counts the transaction as active, also between its statements.
    _active: ActiveRequest<T>,
}

impl<T: Targets> Worker<T> {
    /// Begins a transaction and keeps it open on the worker.
    pub async fn begin(&mut self, owner: Arc<Owner<T>>, request: Request) -> Result<(), Failure> {
        owner.ensure_fresh(&self.core, &request).await?;
        let permit = async {
            let permit = until(
                request.deadline,
                owner.transaction_permits.clone().acquire_owned(),
            )
            .await;
            let Some(Ok(permit)) = permit else {
                return Err(deadline_passed("a connection for a transaction"));
            };
            Ok(permit)
        };
        let permit = owner.while_owned(permit).await?;
        let slot = owner.acquire_slot(&request, false).await?;
        let mut connection = owner.send(&request).await?;
        let done = owner
            .read_answer(&mut connection, Rows::Forward(&self.reply))
            .await;
        let (tag, _) = match done {
            Ok(done) => done,
            Err(failure) => return Err(owner.map_read_only_error(failure).await),
        };
        slot.finish();
        let point = owner.group.last_position(&owner.server.name);
        self.transaction = Some(Transaction {
            owner,
            connection,
            id: request.id,
            _permit: permit,
            _active: self.core.track(),
        });
        self.reply.send_done(tag, point).await;
        Ok(())
    }

    /// Runs a request inside the open transaction.
    pub async fn run_in_transaction(&mut self, request: Request) -> Result<(), Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Ok(());
        };
        let owner = transaction.owner.clone();
        let result = match request.kind {
            Kind::Commit => return self.commit(transaction, request).await,
            Kind::Rollback | Kind::Inner | Kind::Describe => {
                self.run_statement(&mut transaction, &request).await
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
                self.reply.send_done(tag, None).await;
                Ok(())
            }
            Ok((tag, _)) => {
                self.transaction = Some(transaction);
                self.reply.send_done(tag, None).await;
                Ok(())
            }
            // An error from the target leaves the transaction open until the caller ends it.
            // After any other failure the connection is dropped, which rolls back.
            Err(failure) if failure.verdict == Verdict::Ran => {
                self.transaction = Some(transaction);
                Err(owner.map_read_only_error(failure).await)
            }
            Err(failure) => Err(failure),
        }
    }

    async fn run_statement(
        &mut self,
        transaction: &mut Transaction<T>,
        request: &Request,
    ) -> Result<Completion, Failure> {
        let owner = transaction.owner.clone();
        let slot = owner.slots.acquire(request, true).await?;
        let session = &mut transaction.connection.session;
        let sent = if request.kind == Kind::Describe {
            session.describe(&request.statement).await
        } else {
            session.start(&request.statement).await
        };
        sent.inspect_err(|failure| owner.recheck_lock_on_loss(failure))?;
        let rows = Rows::Forward(&self.reply);
        let done = owner.read_answer(&mut transaction.connection, rows).await?;
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
                .insert_record(&mut transaction.connection, &id, "COMMIT")
                .await?;
            if !recorded {
                return self
                    .answer_from_record(&owner, transaction.connection, &id)
                    .await;
            }
        }
        let done = self.run_statement(&mut transaction, &request).await;
        let (tag, point) = owner
            .return_connection(transaction.connection, done)
            .await?;
        owner.confirm(&self.core, point).await?;
        self.reply.send_done(tag, point).await;
        Ok(())
    }
}
