//! Why an exchange with a client failed.

use pgwire::error::PgWireError;

use crate::database::SqlError;

/// Why an exchange failed.
pub(super) enum Fault {
    /// The server rejects the statement.
    Sql(SqlError),
    /// The connection broke or the client does not speak the protocol.
    Protocol(PgWireError),
}

impl From<SqlError> for Fault {
    fn from(error: SqlError) -> Self {
        Self::Sql(error)
    }
}

impl From<PgWireError> for Fault {
    fn from(error: PgWireError) -> Self {
        Self::Protocol(error)
    }
}
