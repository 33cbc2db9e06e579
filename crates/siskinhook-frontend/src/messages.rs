//! Conversion of failures and answer parts to PostgreSQL protocol messages.

use bytes::BytesMut;
use pgwire::{
    error::{ErrorInfo, PgWireError},
    messages::{
        PgWireBackendMessage,
        data::{DataRow, FieldDescription, ParameterDescription, RowDescription},
        response::{CommandComplete, TransactionStatus},
        startup::ParameterStatus,
    },
};
use siskinhook_types::{Column, Failure, FailureKind, Token, sqlstate};
use smol_str::SmolStr;

use crate::TransactionState;

/// Name of the `ParameterStatus` that carries the causal token of the last write.
const TOKEN_STATUS: &str = "siskinhook.token";

/// Converts a failure to an error response. The verdict becomes the detail, the retry delay the
/// hint.
pub(crate) fn error_response(failure: Failure) -> PgWireError {
    let mut info = ErrorInfo::new("ERROR".into(), failure.code.to_string(), failure.message);
    info.detail = Some(format!("verdict: {}", failure.verdict));
    info.hint = failure
        .retry_after
        .map(|after| format!("Try again after {after} ms."));
    PgWireError::UserError(Box::new(info))
}

/// Failure of a statement that arrives before the session is open.
pub(crate) fn no_session() -> Failure {
    Failure::not_run(
        FailureKind::BadRequest,
        sqlstate::PROTOCOL,
        "the connection has no session; send a startup message first",
    )
}

/// Error for a statement that the caller canceled. Its verdict is "may have run", because the
/// cancel request can arrive after the statement has taken effect.
pub(crate) fn canceled() -> PgWireError {
    error_response(Failure {
        code: sqlstate::DEADLINE.into(),
        ..Failure::may_have_run(
            FailureKind::Deadline,
            "the statement was canceled at the caller's request",
        )
    })
}

/// Fatal error for a connection whose statement is aborted because the node shuts down.
pub(crate) fn interrupted() -> PgWireError {
    fatal_failure(Failure::may_have_run(
        FailureKind::Draining,
        "the node ended while the statement was in progress; repeat it with the same request \
         id, or check before repeating it",
    ))
}

/// Fatal error for a connection whose open transaction is rolled back because the node shuts
/// down.
pub(crate) fn rolled_back() -> PgWireError {
    fatal_failure(Failure::not_run(
        FailureKind::Draining,
        sqlstate::SHUTDOWN,
        "the node ended and the open transaction was rolled back; connect again to reach \
         another node and repeat the transaction",
    ))
}

fn fatal_failure(failure: Failure) -> PgWireError {
    let mut info = ErrorInfo::new("FATAL".into(), failure.code.to_string(), failure.message);
    info.detail = Some(format!("verdict: {}", failure.verdict));
    PgWireError::UserError(Box::new(info))
}

/// Creates an error that ends the connection.
pub(crate) fn fatal(code: &str, message: impl Into<String>) -> PgWireError {
    PgWireError::UserError(Box::new(ErrorInfo::new(
        "FATAL".into(),
        code.into(),
        message.into(),
    )))
}

pub(crate) fn row_description(columns: &[Column]) -> PgWireBackendMessage {
    let fields = columns
        .iter()
        .map(|column| {
            FieldDescription::new(
                column.name.to_string(),
                0,
                0,
                column.oid,
                -1,
                -1,
                column.format,
            )
        })
        .collect();
    PgWireBackendMessage::RowDescription(RowDescription::new(fields))
}

pub(crate) fn parameter_description(types: Vec<u32>) -> PgWireBackendMessage {
    PgWireBackendMessage::ParameterDescription(ParameterDescription::new(types))
}

pub(crate) fn data_row(fields: u16, data: bytes::Bytes) -> PgWireBackendMessage {
    let data = BytesMut::from(data);
    PgWireBackendMessage::DataRow(DataRow::new(data, fields.cast_signed()))
}

pub(crate) fn command_complete(tag: &SmolStr) -> PgWireBackendMessage {
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_string()))
}

pub(crate) fn token_status(token: &Token) -> PgWireBackendMessage {
    PgWireBackendMessage::ParameterStatus(ParameterStatus::new(
        TOKEN_STATUS.into(),
        token.to_string(),
    ))
}

pub(crate) fn transaction_status(state: TransactionState) -> TransactionStatus {
    match state {
        TransactionState::Idle => TransactionStatus::Idle,
        TransactionState::Active => TransactionStatus::Transaction,
        TransactionState::Failed => TransactionStatus::Error,
    }
}
