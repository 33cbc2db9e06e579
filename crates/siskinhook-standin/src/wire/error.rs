//! Errors in the communication with a client.

use pgwire::error::PgWireError;

use crate::database::SqlError;

/// Error in the communication with a client.
pub(super) enum ClientError {
    /// The server rejected the statement.
    Sql(SqlError),
    /// The connection broke or the client violated the protocol.
    Protocol(PgWireError),
}

impl From<SqlError> for ClientError {
    fn from(error: SqlError) -> Self {
        Self::Sql(error)
    }
}

impl From<PgWireError> for ClientError {
    fn from(error: PgWireError) -> Self {
        Self::Protocol(error)
    }
}
