//! Stores the outcome of each request that has an id, which makes such requests idempotent.

use std::sync::Arc;

use siskinhook_types::{
    Failure, FailureKind, Part, Request, RequestId, Statement, TargetSession, Targets, Verdict,
    sqlstate,
};
use smol_str::SmolStr;

use super::{DataConnection, Owner, execute::Rows, worker::Worker};

/// SQLSTATE of a duplicate key error.
const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE of a statement in a failed transaction.
const FAILED_TRANSACTION: &str = "25P02";

/// SQLSTATE of a transaction that the server rolled back because it conflicts with another one.
const SERIALIZATION_FAILURE: &str = "40001";

const INSERT: &str = "INSERT INTO siskinhook_outcome (request_id, tag) VALUES ($1, $2)";
const UPDATE: &str = "UPDATE siskinhook_outcome SET tag = $2 WHERE request_id = $1";
const SELECT: &str = "SELECT tag FROM siskinhook_outcome WHERE request_id = $1";

impl<T: Targets> Worker<T> {
    /// Runs a write and stores its outcome record in one transaction. If a record already exists,
    /// answers with the stored outcome instead.
    pub async fn write_once(
        &mut self,
        owner: &Arc<Owner<T>>,
        request: Request,
    ) -> Result<(), Failure> {
        let id = request.id.clone().unwrap_or_default();
        let slot = owner.acquire_slot(&request, false).await?;
        let begin = Request {
            statement: Statement::simple("BEGIN"),
            ..request.clone()
        };
        let mut connection = owner.send(&begin).await.map_err(not_started)?;
        let opened = owner.read_answer(&mut connection, Rows::Discard).await;
        if let Err(failure) = opened {
            return Err(owner.map_read_only_error(not_started(failure)).await);
        }
        let recorded = match owner.insert_record(&mut connection, &id, "").await {
            Ok(recorded) => recorded,
            Err(failure) => return Err(owner.map_read_only_error(failure).await),
        };
        if !recorded {
            slot.finish();
            return self.answer_from_record(owner, connection, &id).await;
        }
        let tag = match self
            .run_and_record(owner, &mut connection, &request, &id)
            .await
        {
            Ok(tag) => tag,
            Err(failure) => {
                // Closing the connection would also roll back, but then a new one is needed.
                if failure.verdict == Verdict::Ran {
                    owner.roll_back(connection).await;
                }
                return Err(owner.map_read_only_error(failure).await);
            }
        };
        let commit = Statement::simple("COMMIT");
        let point = match owner.run_internal(&mut connection, &commit).await {
            Ok((_, point)) => point,
            // The server rolled back because another transaction committed first, which may be
            // an earlier attempt of this request.
            Err(failure) if failure.verdict == Verdict::Ran && is_conflict(&failure) => {
                slot.finish();
                return self.answer_from_record(owner, connection, &id).await;
            }
            Err(failure) => return Err(owner.map_read_only_error(failure).await),
        };
        connection.release();
        slot.finish();
        owner.confirm(&self.core, point).await?;
        self.reply.send_done(tag, point).await;
        Ok(())
    }

    /// Runs the statement and stores its command tag without committing. After a failure, closing
    /// the connection rolls the transaction back.
    async fn run_and_record(
        &mut self,
        owner: &Owner<T>,
        connection: &mut DataConnection<T>,
        request: &Request,
        id: &RequestId,
    ) -> Result<SmolStr, Failure> {
        connection
            .session
            .start(&request.statement)
            .await
            .map_err(not_committed)?;
        let rows = Rows::Forward(&self.reply);
        let (tag, _) = owner
            .read_answer(connection, rows)
            .await
            .map_err(not_committed)?;
        let update = Statement::with_text_params(UPDATE, [id.to_string(), tag.to_string()]);
        owner
            .run_internal(connection, &update)
            .await
            .map_err(not_committed)?;
        Ok(tag)
    }

    /// Answers a repeated request with the stored outcome of its first execution.
    pub async fn answer_from_record(
        &mut self,
        owner: &Arc<Owner<T>>,
        connection: DataConnection<T>,
        id: &RequestId,
    ) -> Result<(), Failure> {
        let Some(mut connection) = owner.roll_back(connection).await else {
            return Err(Failure::may_have_run(
                FailureKind::ConnectionLost,
                "the connection was lost while the first outcome of the request was read",
            ));
        };
        let tag = owner.read_record(&mut connection, id).await?;
        connection.release();
        let Some(tag) = tag else {
            // The conflicting transaction did not have this request's id.
            return Err(Failure::not_run(
                FailureKind::Unavailable,
                sqlstate::UNAVAILABLE,
                "a concurrent transaction changed the same rows and this one was rolled back; \
                 retry",
            ));
        };
        let point = owner.confirm_all(&self.core).await?;
        self.reply.send_done(tag, point).await;
        Ok(())
    }

    /// Looks up the outcome of a request. The answer's tag is the stored one, or empty when there
    /// is no record.
    pub async fn lookup(&mut self, owner: &Arc<Owner<T>>, request: Request) -> Result<(), Failure> {
        let id = request.id.clone().unwrap_or_default();
        owner.ensure_fresh(&self.core, &request).await?;
        let connection = owner.pool.acquire(request.deadline);
        let mut connection = owner.while_owned(connection).await?;
        let tag = owner.read_record(&mut connection, &id).await?;
        connection.release();
        // The record that was read may not be on a majority yet, and would then be lost with the
        // primary.
        let point = owner.confirm_all(&self.core).await?;
        if let Some(tag) = tag {
            self.reply.send_done(tag, point).await;
        } else {
            self.reply.send_done(SmolStr::default(), point).await;
        }
        Ok(())
    }
}

impl<T: Targets> Owner<T> {
    /// Inserts the outcome record. Returns `false` when the request already has one.
    pub async fn insert_record(
        &self,
        connection: &mut DataConnection<T>,
        id: &RequestId,
        tag: &str,
    ) -> Result<bool, Failure> {
        let insert = Statement::with_text_params(INSERT, [id.to_string(), tag.to_string()]);
        match self.run_internal(connection, &insert).await {
            Ok(_) => Ok(true),
            Err(failure) if failure.code == UNIQUE_VIOLATION => Ok(false),
            // A failed transaction cannot store a record. Its COMMIT is still passed on to the
            // server.
            Err(failure) if failure.code == FAILED_TRANSACTION => Ok(true),
            Err(failure) => Err(not_committed(failure)),
        }
    }

    /// Reads the command tag from an outcome record.
    async fn read_record(
        &self,
        connection: &mut DataConnection<T>,
        id: &RequestId,
    ) -> Result<Option<SmolStr>, Failure> {
        let select = Statement::with_text_params(SELECT, [id.to_string()]);
        connection.session.start(&select).await?;
        let mut tag = None;
        loop {
            match connection.session.next().await? {
                Part::Row { data, .. } => tag = first_field(&data),
                Part::Done { .. } => return Ok(tag),
                _ => {}
            }
        }
    }

    /// Rolls a transaction back. Returns the connection if that succeeded.
    async fn roll_back(&self, mut connection: DataConnection<T>) -> Option<DataConnection<T>> {
        let rollback = Statement::simple("ROLLBACK");
        self.run_internal(&mut connection, &rollback).await.ok()?;
        Some(connection)
    }

    /// Waits until a majority has everything that the primary has committed so far.
    async fn confirm_all(
        &self,
        core: &crate::core::Core<T>,
    ) -> Result<Option<siskinhook_types::LogPoint>, Failure> {
        let status = self.group.status(&self.server.name).await?;
        self.confirm(core, Some(status.last)).await?;
        Ok(Some(status.last))
    }
}

fn is_conflict(failure: &Failure) -> bool {
    failure.code == UNIQUE_VIOLATION || failure.code == SERIALIZATION_FAILURE
}

/// Reads the first field of a row as text.
fn first_field(data: &[u8]) -> Option<SmolStr> {
    let (length, rest) = data.split_first_chunk::<4>()?;
    let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
    std::str::from_utf8(rest.get(..length)?)
        .ok()
        .map(Into::into)
}

/// Corrects the verdict of a failure that occurred before the request's own statement was sent:
/// the statement has not run.
fn not_started(mut failure: Failure) -> Failure {
    if failure.verdict == Verdict::MayHaveRun {
        failure.verdict = Verdict::NotRun;
        failure.code = sqlstate::CONNECTION_FAILURE.into();
    }
    failure
}

/// Corrects the verdict of a failure that occurred before `COMMIT` was sent: the connection gets
/// closed, so that the transaction can no longer commit.
fn not_committed(failure: Failure) -> Failure {
    not_started(failure)
}
