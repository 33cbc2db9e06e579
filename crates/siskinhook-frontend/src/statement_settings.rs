//! Filter that answers `SET`, `RESET`, `SHOW` and `DISCARD` statements on the node.

use bytes::{BufMut, Bytes, BytesMut};
use siskinhook_types::{Column, Failure, FailureKind, Part, Protocol, Statement, sqlstate};
use smol_str::SmolStr;
use sqlparser::{
    ast::{Expr, Set, Statement as ParsedStatement, Value},
    dialect::PostgreSqlDialect,
    parser::Parser,
};

use crate::{CallerOptions, CallerSession, Filter, Reply, options::PREFIX};

/// Type OID of `text`.
const TEXT_OID: u32 = 25;

/// Settings that drivers send at the start of a session. They are accepted and ignored, because
/// they have no effect on a shared server connection.
const IGNORED_SETTINGS: &[&str] = &[
    "application_name",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
];

/// Answers statements about session settings on the node and passes other statements on.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatementSettings<N> {
    next: N,
}

impl<N> StatementSettings<N> {
    /// Creates a filter that passes other statements to `next`.
    pub const fn new(next: N) -> Self {
        Self { next }
    }
}

impl<S: CallerSession, N: Filter<S>> Filter<S> for StatementSettings<N> {
    type Answer = N::Answer;

    async fn call(
        &self,
        session: &mut S,
        options: &mut CallerOptions,
        statement: Statement,
    ) -> Result<Reply<Self::Answer>, Failure> {
        if !is_local(&statement.sql) {
            return self.next.call(session, options, statement).await;
        }
        answer_locally(session, options, &statement).map(Reply::local)
    }
}

/// Returns whether the node answers a statement itself, because it concerns session settings.
pub(crate) fn is_local(sql: &str) -> bool {
    let word = sql.split_whitespace().next().unwrap_or_default();
    ["set", "reset", "show", "discard"]
        .iter()
        .any(|keyword| word.eq_ignore_ascii_case(keyword))
}

/// Returns the result columns of a statement that the node answers itself.
pub(crate) fn columns(sql: &str) -> Vec<Column> {
    let mut words = sql.trim_end_matches(';').split_whitespace();
    if !words
        .next()
        .is_some_and(|word| word.eq_ignore_ascii_case("show"))
    {
        return Vec::new();
    }
    vec![column(words.next().unwrap_or_default())]
}

fn column(name: &str) -> Column {
    Column {
        name: name.to_ascii_lowercase().into(),
        oid: TEXT_OID,
        format: 0,
    }
}

fn answer_locally<S: CallerSession>(
    session: &S,
    options: &mut CallerOptions,
    statement: &Statement,
) -> Result<Vec<Part>, Failure> {
    let text = statement.sql.trim().trim_end_matches(';');
    let mut words = text.split_whitespace();
    let keyword = words.next().unwrap_or_default().to_ascii_lowercase();
    match keyword.as_str() {
        "show" => show(
            session,
            options,
            statement,
            words.next().unwrap_or_default(),
        ),
        "reset" => reset(options, words.next().unwrap_or_default()).map(|()| completed("RESET")),
        "discard" => {
            *options = CallerOptions::default();
            Ok(completed("DISCARD ALL"))
        }
        _ => set(options, text).map(|()| completed("SET")),
    }
}

fn completed(tag: &'static str) -> Vec<Part> {
    vec![Part::Done {
        tag: tag.into(),
        point: None,
    }]
}

fn show<S: CallerSession>(
    session: &S,
    options: &CallerOptions,
    statement: &Statement,
    name: &str,
) -> Result<Vec<Part>, Failure> {
    let name = name.to_ascii_lowercase();
    let value: SmolStr = match name.strip_prefix(PREFIX) {
        Some("token") if session.token().is_some() => session
            .token()
            .map(|t| t.to_string())
            .unwrap_or_default()
            .into(),
        Some(option) => options.get(option)?,
        None => match name.as_str() {
            "standard_conforming_strings" => "on".into(),
            "client_encoding" | "server_encoding" => "UTF8".into(),
            "server_version" => crate::startup::SERVER_VERSION.into(),
            _ => return Err(unsupported_setting(&name)),
        },
    };
    let column = column(&name);
    let mut parts = vec![Part::Columns(vec![column])];
    parts.push(text_row(&value));
    parts.push(Part::Done {
        tag: if statement.protocol == Protocol::Simple {
            "SHOW"
        } else {
            "SELECT 1"
        }
        .into(),
        point: None,
    });
    Ok(parts)
}

fn text_row(value: &str) -> Part {
    let mut data = BytesMut::with_capacity(4 + value.len());
    data.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
    data.put_slice(value.as_bytes());
    Part::Row {
        fields: 1,
        data: Bytes::from(data),
    }
}

fn reset(options: &mut CallerOptions, name: &str) -> Result<(), Failure> {
    let name = name.to_ascii_lowercase();
    if name == "all" {
        *options = CallerOptions::default();
        return Ok(());
    }
    match name.strip_prefix(PREFIX) {
        Some(option) => options.set(option, ""),
        None if IGNORED_SETTINGS.contains(&name.as_str()) || name == "statement_timeout" => Ok(()),
        None => Err(unsupported_setting(&name)),
    }
}

fn set(options: &mut CallerOptions, text: &str) -> Result<(), Failure> {
    let parsed = Parser::parse_sql(&PostgreSqlDialect {}, text).map_err(|error| {
        Failure::not_run(
            FailureKind::BadRequest,
            "42601",
            format!("cannot read SET: {error}"),
        )
    })?;
    let Some(ParsedStatement::Set(Set::SingleAssignment {
        variable, values, ..
    })) = parsed.into_iter().next()
    else {
        return Err(unsupported_setting(text));
    };
    let name = variable.to_string().to_ascii_lowercase();
    let value = values.first().map(literal).unwrap_or_default();
    match name.strip_prefix(PREFIX) {
        Some(option) => options.set(option, &value),
        None if IGNORED_SETTINGS.contains(&name.as_str()) => Ok(()),
        // PostgreSQL's own setting for a time limit, where 0 means no limit.
        None if name == "statement_timeout" => {
            options.set("deadline", if value == "0" { "" } else { &value })
        }
        None => Err(unsupported_setting(&name)),
    }
}

fn literal(expr: &Expr) -> String {
    match expr {
        Expr::Value(value) => match &value.value {
            Value::SingleQuotedString(text) | Value::DoubleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        other => other.to_string(),
    }
}

fn unsupported_setting(name: &str) -> Failure {
    Failure::not_run(
        FailureKind::BadRequest,
        sqlstate::NOT_SUPPORTED,
        format!(
            "setting {name:?} is not supported, because server connections are shared between \
             callers; the settings of siskinhook start with {PREFIX}"
        ),
    )
}
