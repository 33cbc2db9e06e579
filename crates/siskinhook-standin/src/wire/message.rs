//! Conversion of the stand-in's types to protocol messages.

use bytes::BytesMut;
use pgwire::{
    error::ErrorInfo,
    messages::{
        PgWireBackendMessage as Backend,
        data::{DataRow, FieldDescription, RowDescription},
        response::{ReadyForQuery, TransactionStatus},
    },
};
use siskinhook_types::Column;

use crate::{database::SqlError, server::Session, value::oid};

pub(super) fn error_message(severity: &str, error: SqlError) -> Backend {
    let info = ErrorInfo::new(severity.into(), error.code.into(), error.message);
    Backend::ErrorResponse(info.into())
}

pub(super) fn ready(session: &Session) -> Backend {
    let status = match session.status() {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    Backend::ReadyForQuery(ReadyForQuery::new(status))
}

pub(super) fn data_row(fields: u16, data: &[u8]) -> Backend {
    // The 16-bit count of the protocol is unsigned, but pgwire stores it in a signed field.
    Backend::DataRow(DataRow::new(BytesMut::from(data), fields.cast_signed()))
}

pub(super) fn row_description(columns: &[Column]) -> Backend {
    let fields = columns.iter().map(|column| {
        let size = match column.oid {
            oid::BOOL => 1,
            oid::INT2 => 2,
            oid::INT4 | oid::FLOAT4 => 4,
            oid::INT8 | oid::FLOAT8 => 8,
            _ => -1,
        };
        FieldDescription::new(
            column.name.to_string(),
            0,
            0,
            column.oid,
            size,
            -1,
            column.format,
        )
    });
    Backend::RowDescription(RowDescription::new(fields.collect()))
}
