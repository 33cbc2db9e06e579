//! Handling of a logged-in client: simple and extended queries, prepared statements and portals.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use pgwire::messages::{
    PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend,
    data::{NoData, ParameterDescription},
    extendedquery::{
        Bind, BindComplete, CloseComplete, ParseComplete, PortalSuspended,
        TARGET_TYPE_BYTE_STATEMENT,
    },
    response::{CommandComplete, EmptyQueryResponse},
    startup::ParameterStatus,
};
use siskinhook_types::{Column, Control, LogPoint, Protocol, Statement};
use smol_str::SmolStr;

use super::{
    codec::Stream,
    error::ClientError,
    message::{data_row, error_message, ready, row_description},
};
use crate::{
    database::{Answer, SqlError},
    server::Session,
    value::{self, oid},
};

/// A prepared statement.
struct Prepared {
    sql: SmolStr,
    types: Vec<u32>,
    columns: Vec<Column>,
}

/// A bound statement and, once it has run, its unread rows.
struct Portal {
    statement: Statement,
    columns: Vec<Column>,
    unread: Option<(VecDeque<(u16, Bytes)>, Answer)>,
}

/// Connection of a logged-in client.
pub(super) struct Client {
    stream: Stream,
    session: Session,
    statements: IndexMap<String, Prepared>,
    portals: IndexMap<String, Portal>,
}

impl Client {
    pub(super) fn new(stream: Stream, session: Session) -> Self {
        Self {
            stream,
            session,
            statements: IndexMap::new(),
            portals: IndexMap::new(),
        }
    }

    /// Closes the session and returns the stream for a final error.
    pub(super) fn into_stream(self) -> Stream {
        self.stream
    }

    /// Answers messages until the client disconnects.
    pub(super) async fn process_messages(&mut self) -> Result<(), ClientError> {
        let mut skip_to_sync = false;
        while let Some(message) = self.stream.next().await.transpose()? {
            let is_simple = matches!(message, Frontend::Query(_));
            let result = match message {
                Frontend::Terminate(_) => return Ok(()),
                Frontend::Sync(_) => {
                    skip_to_sync = false;
                    self.send_ready().await?;
                    continue;
                }
                _ if skip_to_sync => continue,
                Frontend::Query(query) => self.simple_query(&query.query).await,
                Frontend::Parse(parse) => {
                    self.parse(parse.name, &parse.query, parse.type_oids).await
                }
                Frontend::Bind(bind) => self.bind(bind).await,
                Frontend::Describe(describe) => {
                    self.describe(describe.target_type, describe.name).await
                }
                Frontend::Execute(execute) => self.execute(execute.name, execute.max_rows).await,
                Frontend::Close(close) => {
                    let name = close.name.unwrap_or_default();
                    if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
                        self.statements.shift_remove(&name);
                    } else {
                        self.portals.shift_remove(&name);
                    }
                    self.feed(Backend::CloseComplete(CloseComplete::new()))
                        .await
                }
                Frontend::Flush(_) => self.stream.flush().await.map_err(Into::into),
                _ => Err(SqlError::new("0A000", "this message is not supported").into()),
            };
            match result {
                Ok(()) => {}
                Err(ClientError::Sql(error)) => {
                    self.stream.send(error_message("ERROR", error)).await?;
                    skip_to_sync = !is_simple;
                }
                Err(error) => return Err(error),
            }
            if is_simple {
                self.send_ready().await?;
            }
        }
        Ok(())
    }

    async fn feed(&mut self, message: Backend) -> Result<(), ClientError> {
        Ok(self.stream.feed(message).await?)
    }

    async fn send_ready(&mut self) -> Result<(), ClientError> {
        let message = ready(&self.session);
        Ok(self.stream.send(message).await?)
    }

    async fn simple_query(&mut self, sql: &str) -> Result<(), ClientError> {
        if sql.trim_matches([';', ' ', '\n', '\t']).is_empty() {
            return self
                .feed(Backend::EmptyQueryResponse(EmptyQueryResponse::new()))
                .await;
        }
        let answer = self.run(&Statement::simple(sql)).await?;
        if !answer.columns.is_empty() {
            self.feed(row_description(&answer.columns)).await?;
        }
        for (fields, data) in &answer.rows {
            self.feed(data_row(*fields, data)).await?;
        }
        self.complete(&answer).await
    }

    /// Runs a statement or a control command.
    async fn run(&mut self, statement: &Statement) -> Result<Answer, SqlError> {
        let Some(command) = Control::parse(&statement.sql) else {
            return self.session.run(statement).await;
        };
        let status = self.session.control(&command).await;
        let text = serde_json::to_string(&status)
            .map_err(|error| SqlError::new("XX000", error.to_string()))?;
        let mut data = BytesMut::new();
        value::encode(
            rusqlite::types::ValueRef::Text(text.as_bytes()),
            oid::TEXT,
            0,
            &mut data,
        )?;
        Ok(Answer {
            columns: status_columns(),
            rows: vec![(1, data.freeze())],
            tag: "SHOW".into(),
            point: None,
        })
    }

    async fn complete(&mut self, answer: &Answer) -> Result<(), ClientError> {
        if let Some(point) = answer.point {
            self.report_position(point).await?;
        }
        let complete = CommandComplete::new(answer.tag.to_string());
        self.feed(Backend::CommandComplete(complete)).await
    }

    async fn report_position(&mut self, point: LogPoint) -> Result<(), ClientError> {
        let status = ParameterStatus::new("log_position".into(), point.to_string());
        self.feed(Backend::ParameterStatus(status)).await
    }

    async fn parse(
        &mut self,
        name: Option<String>,
        sql: &str,
        stated: Vec<u32>,
    ) -> Result<(), ClientError> {
        let (types, columns) = if Control::parse(sql).is_some() {
            (Vec::new(), status_columns())
        } else if sql.trim().is_empty() {
            (Vec::new(), Vec::new())
        } else {
            self.session.describe(&Statement {
                types: stated,
                ..Statement::simple(sql)
            })?
        };
        let prepared = Prepared {
            sql: sql.into(),
            types,
            columns,
        };
        self.statements.insert(name.unwrap_or_default(), prepared);
        self.feed(Backend::ParseComplete(ParseComplete::new()))
            .await
    }

    async fn bind(&mut self, bind: Bind) -> Result<(), ClientError> {
        let name = bind.statement_name.unwrap_or_default();
        let Some(prepared) = self.statements.get(&name) else {
            let message = format!("there is no prepared statement {name:?}");
            return Err(SqlError::new("26000", message).into());
        };
        let results = bind.result_column_format_codes;
        let columns = prepared
            .columns
            .iter()
            .enumerate()
            .map(|(index, column)| Column {
                format: match results.as_slice() {
                    [] => 0,
                    [one] => *one,
                    all => all.get(index).copied().unwrap_or(0),
                },
                ..column.clone()
            });
        let portal = Portal {
            columns: columns.collect(),
            statement: Statement {
                sql: prepared.sql.clone(),
                protocol: Protocol::Extended,
                types: prepared.types.clone(),
                params: bind.parameters,
                formats: bind.parameter_format_codes,
                results,
            },
            unread: None,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        self.feed(Backend::BindComplete(BindComplete::new())).await
    }

    async fn describe(&mut self, target: u8, name: Option<String>) -> Result<(), ClientError> {
        let name = name.unwrap_or_default();
        let columns = if target == TARGET_TYPE_BYTE_STATEMENT {
            let Some(prepared) = self.statements.get(&name) else {
                let message = format!("there is no prepared statement {name:?}");
                return Err(SqlError::new("26000", message).into());
            };
            let (types, columns) = (prepared.types.clone(), prepared.columns.clone());
            let description = ParameterDescription::new(types);
            self.feed(Backend::ParameterDescription(description))
                .await?;
            columns
        } else {
            let Some(portal) = self.portals.get(&name) else {
                let message = format!("there is no portal {name:?}");
                return Err(SqlError::new("34000", message).into());
            };
            portal.columns.clone()
        };
        let message = if columns.is_empty() {
            Backend::NoData(NoData::new())
        } else {
            row_description(&columns)
        };
        self.feed(message).await
    }

    async fn execute(&mut self, name: Option<String>, max_rows: i32) -> Result<(), ClientError> {
        let name = name.unwrap_or_default();
        let Some(mut portal) = self.portals.shift_remove(&name) else {
            let message = format!("there is no portal {name:?}");
            return Err(SqlError::new("34000", message).into());
        };
        if portal.statement.sql.trim().is_empty() {
            return self
                .feed(Backend::EmptyQueryResponse(EmptyQueryResponse::new()))
                .await;
        }
        let (mut rows, answer) = if let Some(unread) = portal.unread.take() {
            unread
        } else {
            let mut answer = self.run(&portal.statement).await?;
            (std::mem::take(&mut answer.rows).into(), answer)
        };
        let max_rows = usize::try_from(max_rows)
            .ok()
            .filter(|max_rows| *max_rows > 0);
        let count = max_rows.unwrap_or(rows.len()).min(rows.len());
        for (fields, data) in rows.drain(..count) {
            self.feed(data_row(fields, &data)).await?;
        }
        if rows.is_empty() {
            return self.complete(&answer).await;
        }
        portal.unread = Some((rows, answer));
        self.portals.insert(name, portal);
        self.feed(Backend::PortalSuspended(PortalSuspended::new()))
            .await
    }
}

fn status_columns() -> Vec<Column> {
    vec![Column {
        name: "status".into(),
        oid: oid::TEXT,
        format: 0,
    }]
}
