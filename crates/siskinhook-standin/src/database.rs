//! Data of a server, held in an in-memory SQLite database.

use std::{fmt, time::Duration};

use bytes::{Bytes, BytesMut};
use rusqlite::{Connection, ErrorCode, backup::Backup, ffi, types::Value};
use siskinhook_types::{Column, LogPoint, Statement};
use smol_str::SmolStr;

use crate::{
    sql::{self, Parsed, WorkArgument},
    value::{self, oid},
};

/// An error that a server reports for a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SqlError {
    /// SQLSTATE of the error.
    pub code: SmolStr,
    /// Message for the client.
    pub message: String,
}

impl SqlError {
    pub fn new(code: &str, message: impl Into<String>) -> Self {
        Self {
            code: code.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for SqlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.code)
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let (cause, message) = match &error {
            rusqlite::Error::SqliteFailure(cause, message) => (
                Some(*cause),
                message.clone().unwrap_or_else(|| error.to_string()),
            ),
            rusqlite::Error::SqlInputError { error, msg, .. } => (Some(*error), msg.clone()),
            rusqlite::Error::MultipleStatement => {
                return Self::new("42601", "more than one statement in one message");
            }
            _ => (None, error.to_string()),
        };
        let code = match cause {
            Some(cause) => match cause.extended_code {
                ffi::SQLITE_CONSTRAINT_UNIQUE
                | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
                | ffi::SQLITE_CONSTRAINT_ROWID => "23505",
                ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
                ffi::SQLITE_CONSTRAINT_CHECK => "23514",
                ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
                _ if cause.code == ErrorCode::TypeMismatch => "42804",
                _ if message.starts_with("no such table") => "42P01",
                _ if message.starts_with("no such column") => "42703",
                _ if message.starts_with("no such function") => "42883",
                _ if message.contains("already exists") => "42P07",
                ffi::SQLITE_ERROR => "42601",
                _ => "XX000",
            },
            None => "XX000",
        };
        Self::new(code, message)
    }
}

/// A statement with decoded parameters, as stored in the log of a group.
#[derive(Clone, Debug)]
pub(crate) struct BoundStatement {
    /// Parsed text of the statement.
    pub parsed: Parsed,
    /// Parameter values.
    pub values: Vec<Value>,
}

/// Result of a statement: its rows and command tag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Answer {
    /// Columns; empty if the statement returns no rows.
    pub columns: Vec<Column>,
    /// Rows, each with its number of fields and the encoded fields.
    pub rows: Vec<(u16, Bytes)>,
    /// Command tag.
    pub tag: SmolStr,
    /// Log position of the commit, if the statement committed a write.
    pub point: Option<LogPoint>,
}

impl Answer {
    /// Creates an answer without rows.
    pub fn tag(tag: impl Into<SmolStr>) -> Self {
        Self {
            tag: tag.into(),
            ..Self::default()
        }
    }
}

/// In-memory SQLite database of a server or of a transaction.
#[derive(Debug)]
pub(crate) struct Store {
    connection: Connection,
}

/// Returns the format code of a column or parameter. As in the protocol, the list is empty (all in
/// text format), has one code for all of them, or one code for each.
fn format(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        all => all.get(index).copied().unwrap_or(0),
    }
}

impl Store {
    /// Opens an empty database.
    pub fn open() -> Result<Self, SqlError> {
        Ok(Self {
            connection: Connection::open_in_memory()?,
        })
    }

    /// Returns a private copy of the committed data.
    pub fn copy(&self) -> Result<Self, SqlError> {
        let mut copy = Self::open()?;
        Backup::new(&self.connection, &mut copy.connection)?.step(-1)?;
        Ok(copy)
    }

    /// Decodes the parameters of a statement.
    pub fn bind(&self, parsed: Parsed, statement: &Statement) -> Result<BoundStatement, SqlError> {
        parsed.check()?;
        let expected = parsed.params();
        if expected != statement.params.len() {
            return Err(SqlError::new(
                "08P01",
                format!(
                    "the statement has {expected} parameters, but {} were sent",
                    statement.params.len()
                ),
            ));
        }
        let types = self.param_types(&parsed, &statement.types);
        let values = statement
            .params
            .iter()
            .enumerate()
            .map(|(index, param)| match param {
                None => Ok(Value::Null),
                Some(data) => value::decode(types[index], format(&statement.formats, index), data),
            })
            .collect::<Result<_, _>>()?;
        Ok(BoundStatement { parsed, values })
    }

    /// Returns the parameter types: the stated ones, and inferred ones for the others.
    fn param_types(&self, parsed: &Parsed, stated: &[u32]) -> Vec<u32> {
        let stated_type = |index: usize| {
            stated
                .get(index)
                .copied()
                .filter(|oid| !matches!(*oid, 0 | oid::UNKNOWN))
        };
        let count = parsed.params();
        if (0..count).all(|index| stated_type(index).is_some()) {
            return stated.to_vec();
        }
        let mut types = parsed.param_types(|table, column| self.column_type(table, column));
        for (index, oid) in types.iter_mut().enumerate() {
            if let Some(stated) = stated_type(index) {
                *oid = stated;
            }
        }
        types
    }

    /// Returns the declared type of a column of `table`, or without a table, of the first table that
    /// has such a column.
    fn column_type(&self, table: Option<&str>, column: sql::Column<'_>) -> Option<u32> {
        let (filter, argument) = match column {
            sql::Column::Name(name) => ("lower(p.name) = lower(?2)", Value::Text(name.into())),
            sql::Column::Index(index) => ("p.cid = ?2", Value::Integer(i64::try_from(index).ok()?)),
        };
        let query = format!(
            "SELECT p.type FROM sqlite_schema AS t, pragma_table_info(t.name) AS p \
             WHERE t.type = 'table' AND (?1 IS NULL OR lower(t.name) = lower(?1)) AND {filter} \
             ORDER BY t.name LIMIT 1"
        );
        let declared: String = self
            .connection
            .prepare_cached(&query)
            .and_then(|mut statement| statement.query_one((table, argument), |row| row.get(0)))
            .ok()?;
        Some(value::type_oid(&declared))
    }

    /// Returns whether a statement only reads.
    pub fn is_read(&self, bound: &BoundStatement) -> Result<bool, SqlError> {
        Ok(self
            .connection
            .prepare_cached(&bound.parsed.text)?
            .readonly())
    }

    /// Returns the parameter types and the columns of a statement.
    pub fn describe(
        &self,
        parsed: &Parsed,
        stated: &[u32],
        formats: &[i16],
    ) -> Result<(Vec<u32>, Vec<Column>), SqlError> {
        parsed.check()?;
        let columns = self.columns(parsed, formats)?;
        Ok((self.param_types(parsed, stated), columns))
    }

    /// Returns the columns of a statement.
    ///
    /// SQLite has no types for expressions. An expression gets the type of the value that it has
    /// when all parameters are NULL, so that a description agrees with every later execution.
    fn columns(&self, parsed: &Parsed, formats: &[i16]) -> Result<Vec<Column>, SqlError> {
        let mut statement = self.connection.prepare_cached(&parsed.text)?;
        let mut columns: Vec<Column> = Vec::new();
        let mut untyped = Vec::new();
        for (index, column) in statement.columns().enumerate() {
            let name = column.name();
            let declared = column.decl_type().map(value::type_oid);
            if declared.is_none() {
                untyped.push(index);
            }
            columns.push(Column {
                name: name.into(),
                oid: declared.unwrap_or(oid::TEXT),
                format: format(formats, index),
            });
        }
        if untyped.is_empty() || !statement.readonly() {
            return Ok(columns);
        }
        statement.clear_bindings();
        let mut rows = statement.raw_query();
        let row = rows.next().ok().flatten();
        for index in untyped {
            let name = columns[index].name.to_ascii_lowercase();
            let observed = row
                .and_then(|row| row.get_ref(index).ok())
                .and_then(value::value_oid);
            columns[index].oid = if name.bytes().all(|byte| byte.is_ascii_digit()) {
                oid::INT4
            } else if let Some(observed) = observed {
                observed
            } else if ["sum(", "count(", "max(", "min("]
                .iter()
                .any(|function| name.starts_with(function))
            {
                oid::INT8
            } else {
                oid::TEXT
            };
        }
        Ok(columns)
    }

    /// Runs a statement and returns its encoded rows.
    pub fn run(&self, bound: &BoundStatement, formats: &[i16]) -> Result<Answer, SqlError> {
        let columns = self.columns(&bound.parsed, formats)?;
        let mut statement = self.connection.prepare_cached(&bound.parsed.text)?;
        for index in 1..=statement.parameter_count() {
            let number: usize = statement
                .parameter_name(index)
                .and_then(|name| name.strip_prefix('$'))
                .and_then(|number| number.parse().ok())
                .ok_or_else(|| {
                    SqlError::new("42601", "parameters are written as $1, $2 and so on")
                })?;
            let value = number
                .checked_sub(1)
                .and_then(|position| bound.values.get(position))
                .ok_or_else(|| {
                    SqlError::new("42P02", format!("there is no parameter ${number}"))
                })?;
            statement.raw_bind_parameter(index, value)?;
        }
        let mut answer = Answer::default();
        let changed = if columns.is_empty() {
            statement.raw_execute()?
        } else {
            let fields = u16::try_from(columns.len())
                .map_err(|_| SqlError::new("54011", "more than 65535 columns"))?;
            let mut rows = statement.raw_query();
            while let Some(row) = rows.next()? {
                let mut data = BytesMut::new();
                for (index, column) in columns.iter().enumerate() {
                    value::encode(row.get_ref(index)?, column.oid, column.format, &mut data)?;
                }
                answer.rows.push((fields, data.freeze()));
            }
            answer.rows.len()
        };
        answer.tag = bound.parsed.tag(changed).into();
        answer.columns = columns;
        Ok(answer)
    }

    /// Runs an SQLite control statement, such as `BEGIN`.
    pub fn command(&self, text: &str) -> Result<(), SqlError> {
        Ok(self.connection.execute_batch(text)?)
    }
}

/// Returns the simulated work time of a statement, the sum of its `work_ms` calls.
pub(crate) fn simulated_work(bound: &BoundStatement) -> Duration {
    bound
        .parsed
        .work
        .iter()
        .map(|work| {
            let milliseconds = match work {
                WorkArgument::Literal(milliseconds) => *milliseconds,
                WorkArgument::Param(number) => match bound.values.get(number - 1) {
                    Some(Value::Integer(value)) => u64::try_from(*value).unwrap_or(0),
                    _ => 0,
                },
            };
            Duration::from_millis(milliseconds)
        })
        .sum()
}
