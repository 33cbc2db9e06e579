//! The PostgreSQL protocol of a database server.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use pgwire::{
    error::{ErrorInfo, PgWireError},
    messages::{
        DecodeContext, PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend,
        ProtocolVersion, SslNegotiationMetaMessage,
        data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
        extendedquery::{
            Bind, BindComplete, CloseComplete, ParseComplete, PortalSuspended,
            TARGET_TYPE_BYTE_STATEMENT,
        },
        response::{
            CommandComplete, EmptyQueryResponse, GssEncResponse, ReadyForQuery, SslResponse,
            TransactionStatus,
        },
        startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
    },
};
use siskinhook_types::{Column, Control, LogPoint, Protocol, Statement};
use smol_str::SmolStr;
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::codec::{Decoder, Encoder, Framed};

use crate::{
    database::{Answer, SqlError},
    server::{Server, Session},
    value::{self, oid},
};

/// Time in which a client must log in.
const LOGIN: Duration = Duration::from_mins(1);
/// Time in which a last message to a terminated connection must be taken.
const FAREWELL: Duration = Duration::from_secs(1);

/// Encodes and decodes messages on the server's side.
#[derive(Debug, Default)]
struct Codec {
    context: DecodeContext,
}

impl Decoder for Codec {
    type Item = Frontend;
    type Error = PgWireError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frontend>, PgWireError> {
        Frontend::decode(buffer, &self.context)
    }
}

impl Encoder<Backend> for Codec {
    type Error = PgWireError;

    fn encode(&mut self, message: Backend, buffer: &mut BytesMut) -> Result<(), PgWireError> {
        message.encode(buffer)
    }
}

type Stream = Framed<TcpStream, Codec>;

/// Accepts connections until the task is aborted.
pub(crate) async fn listen(server: Arc<Server>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        select! {
            accepted = listener.accept() => {
                let Ok((socket, _)) = accepted else { continue };
                if !server.is_crashed() {
                    connections.spawn(serve(server.clone(), socket));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(server: Arc<Server>, socket: TcpStream) {
    // The delay of small segments would add 40 ms to each exchange.
    let _ = socket.set_nodelay(true);
    let mut stream = Framed::new(socket, Codec::default());
    let session = match timeout(LOGIN, log_in(&server, &mut stream)).await {
        Ok(Ok(Some(session))) => session,
        Ok(Err(Fault::Sql(error))) => {
            let _ = timeout(FAREWELL, stream.send(error_message("FATAL", error))).await;
            return;
        }
        _ => return,
    };
    let closed = session.closed();
    let mut client = Client {
        stream,
        session,
        statements: IndexMap::new(),
        portals: IndexMap::new(),
    };
    let ended = select! {
        biased;
        () = closed.cancelled() => None,
        ended = client.exchange() => Some(ended),
    };
    let Client {
        mut stream,
        session,
        ..
    } = client;
    drop(session);
    let farewell = match ended {
        Some(Err(Fault::Protocol(error))) => SqlError::new("08P01", error.to_string()),
        None if !server.is_crashed() => {
            SqlError::new("57P01", "the connection was terminated by an administrator")
        }
        _ => return,
    };
    let _ = timeout(FAREWELL, stream.send(error_message("FATAL", farewell))).await;
}

/// Why an exchange failed.
enum Fault {
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

fn error_message(severity: &str, error: SqlError) -> Backend {
    let info = ErrorInfo::new(severity.into(), error.code.into(), error.message);
    Backend::ErrorResponse(info.into())
}

/// Negotiates and authenticates; `None` when the client left.
async fn log_in(server: &Arc<Server>, stream: &mut Stream) -> Result<Option<Session>, Fault> {
    let mut node = SmolStr::default();
    loop {
        let Some(message) = stream.next().await.transpose()? else {
            return Ok(None);
        };
        match message {
            Frontend::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                stream
                    .send(Backend::SslResponse(SslResponse::Refuse))
                    .await?;
            }
            Frontend::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                stream
                    .send(Backend::GssEncResponse(GssEncResponse::Refuse))
                    .await?;
            }
            Frontend::SslNegotiation(SslNegotiationMetaMessage::None) => {
                stream.codec_mut().context.awaiting_frontend_ssl = false;
            }
            Frontend::Startup(startup) => {
                let context = &mut stream.codec_mut().context;
                context.awaiting_frontend_startup = false;
                context.protocol_version = ProtocolVersion::PROTOCOL3_0;
                let name = ["application_name", "user"]
                    .iter()
                    .find_map(|key| startup.parameters.get(*key));
                node = name.map(Into::into).unwrap_or_default();
                stream
                    .send(Backend::Authentication(Authentication::CleartextPassword))
                    .await?;
            }
            Frontend::PasswordMessageFamily(message) => {
                let password = message.into_password()?.password;
                if password != server.options().password {
                    return Err(SqlError::new("28P01", "the password is wrong").into());
                }
                break;
            }
            _ => return Ok(None),
        }
    }
    sleep(server.options().setup).await;
    let session = server.attach(node)?;
    stream
        .feed(Backend::Authentication(Authentication::Ok))
        .await?;
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        let status = ParameterStatus::new(name.into(), value.into());
        stream.feed(Backend::ParameterStatus(status)).await?;
    }
    let pid = i32::try_from(session.id()).unwrap_or(i32::MAX);
    let key = BackendKeyData::new(pid, SecretKey::I32(pid));
    stream.feed(Backend::BackendKeyData(key)).await?;
    stream.send(ready(&session)).await?;
    Ok(Some(session))
}

fn ready(session: &Session) -> Backend {
    let status = match session.status() {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    Backend::ReadyForQuery(ReadyForQuery::new(status))
}

/// A prepared statement.
struct Prepared {
    sql: SmolStr,
    types: Vec<u32>,
    columns: Vec<Column>,
}

/// A bound statement, and what is left of its rows.
struct Portal {
    statement: Statement,
    columns: Vec<Column>,
    started: Option<(VecDeque<(u16, Bytes)>, Answer)>,
}

/// A logged-in connection.
struct Client {
    stream: Stream,
    session: Session,
    statements: IndexMap<String, Prepared>,
    portals: IndexMap<String, Portal>,
}

impl Client {
    /// Answers messages until the client leaves.
    async fn exchange(&mut self) -> Result<(), Fault> {
        let mut skipping = false;
        while let Some(message) = self.stream.next().await.transpose()? {
            let is_simple = matches!(message, Frontend::Query(_));
            let result = match message {
                Frontend::Terminate(_) => return Ok(()),
                Frontend::Sync(_) => {
                    skipping = false;
                    self.send_ready().await?;
                    continue;
                }
                _ if skipping => continue,
                Frontend::Query(query) => self.simple(&query.query).await,
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
                Err(Fault::Sql(error)) => {
                    self.stream.send(error_message("ERROR", error)).await?;
                    skipping = !is_simple;
                }
                Err(error) => return Err(error),
            }
            if is_simple {
                self.send_ready().await?;
            }
        }
        Ok(())
    }

    async fn feed(&mut self, message: Backend) -> Result<(), Fault> {
        Ok(self.stream.feed(message).await?)
    }

    async fn send_ready(&mut self) -> Result<(), Fault> {
        let message = ready(&self.session);
        Ok(self.stream.send(message).await?)
    }

    async fn simple(&mut self, sql: &str) -> Result<(), Fault> {
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

    async fn complete(&mut self, answer: &Answer) -> Result<(), Fault> {
        if let Some(point) = answer.point {
            self.report(point).await?;
        }
        let complete = CommandComplete::new(answer.tag.to_string());
        self.feed(Backend::CommandComplete(complete)).await
    }

    async fn report(&mut self, point: LogPoint) -> Result<(), Fault> {
        let status = ParameterStatus::new("log_position".into(), point.to_string());
        self.feed(Backend::ParameterStatus(status)).await
    }

    async fn parse(
        &mut self,
        name: Option<String>,
        sql: &str,
        stated: Vec<u32>,
    ) -> Result<(), Fault> {
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

    async fn bind(&mut self, bind: Bind) -> Result<(), Fault> {
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
            started: None,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        self.feed(Backend::BindComplete(BindComplete::new())).await
    }

    async fn describe(&mut self, target: u8, name: Option<String>) -> Result<(), Fault> {
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

    async fn execute(&mut self, name: Option<String>, limit: i32) -> Result<(), Fault> {
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
        let (mut rows, answer) = if let Some(started) = portal.started.take() {
            started
        } else {
            let mut answer = self.run(&portal.statement).await?;
            (std::mem::take(&mut answer.rows).into(), answer)
        };
        let limit = usize::try_from(limit).ok().filter(|limit| *limit > 0);
        let count = limit.unwrap_or(rows.len()).min(rows.len());
        for (fields, data) in rows.drain(..count) {
            self.feed(data_row(fields, &data)).await?;
        }
        if rows.is_empty() {
            return self.complete(&answer).await;
        }
        portal.started = Some((rows, answer));
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

fn data_row(fields: u16, data: &[u8]) -> Backend {
    // The protocol's 16-bit count is unsigned; pgwire keeps it in a signed field.
    Backend::DataRow(DataRow::new(BytesMut::from(data), fields.cast_signed()))
}

fn row_description(columns: &[Column]) -> Backend {
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
