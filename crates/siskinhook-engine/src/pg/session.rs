//! A connection to a database server, and the mapping of its messages to parts of an answer.

use std::fmt::Display;

use futures::{FutureExt, SinkExt, StreamExt};
use pgwire::{
    api::client::ClientInfo,
    messages::{
        PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend,
        data::{DataRow, RowDescription},
        extendedquery::{Bind, Describe, Execute, Parse, Sync},
        response::ErrorResponse,
        simplequery::Query,
    },
    tokio::client::PgWireClient,
};
use siskinhook_types::{
    Column, Control, Failure, FailureKind, LogPoint, Part, Protocol, ServerStatus, Statement,
    TargetSession, sqlstate,
};
use smol_str::SmolStr;

/// Name of the parameter status that reports the log position of a commit.
const LOG_POSITION_PARAMETER: &str = "log_position";

/// A connection to a database server.
pub struct PgSession {
    client: PgWireClient,
    tag: Option<SmolStr>,
    point: Option<LogPoint>,
    error: Option<ErrorResponse>,
    /// Whether an answer is outstanding.
    busy: bool,
    /// Process id that the server assigned to the connection.
    id: Option<u64>,
}

impl PgSession {
    pub(super) fn new(client: PgWireClient) -> Self {
        // The library reports -1 when the server gave no process id.
        let id = u64::try_from(client.process_id()).ok();
        Self {
            client,
            tag: None,
            point: None,
            error: None,
            busy: false,
            id,
        }
    }

    /// Sends the messages of a request.
    async fn send<const N: usize>(&mut self, messages: [Frontend; N]) -> Result<(), Failure> {
        if self.busy {
            return Err(not_sent("the answer before it was not read to its end"));
        }
        // Between two requests the server sends only notices and parameter changes. An error or
        // the end of the connection shows that the server would not read the request.
        while let Some(message) = self.client.next().now_or_never() {
            match message {
                Some(Ok(Backend::NoticeResponse(_) | Backend::ParameterStatus(_))) => {}
                Some(Err(error)) => return Err(not_sent(&error)),
                Some(Ok(_)) | None => return Err(not_sent("the server closed the connection")),
            }
        }
        self.busy = true;
        (self.tag, self.point, self.error) = (None, None, None);
        for message in messages {
            self.client
                .feed(message)
                .await
                .map_err(|error| connection_lost(&error))?;
        }
        self.client
            .flush()
            .await
            .map_err(|error| connection_lost(&error))
    }

    /// Waits for the next message.
    async fn receive(&mut self) -> Result<Backend, Failure> {
        match self.client.next().await {
            Some(Ok(message)) => Ok(message),
            Some(Err(error)) => Err(connection_lost(&error)),
            None => Err(match self.error.take() {
                Some(error) => connection_lost(&server_error(&error).message),
                None => connection_lost("the server closed the connection"),
            }),
        }
    }

    /// Completes an answer with its final part, or with the error that the server reported.
    fn complete(&mut self) -> Result<Part, Failure> {
        self.busy = false;
        if let Some(error) = self.error.take() {
            return Err(server_error(&error));
        }
        Ok(Part::Done {
            tag: self.tag.take().unwrap_or_default(),
            point: self.point.take(),
        })
    }
}

impl TargetSession for PgSession {
    fn id(&self) -> Option<u64> {
        self.id
    }

    async fn start(&mut self, statement: &Statement) -> Result<(), Failure> {
        if statement.protocol == Protocol::Simple {
            return self.send([query(&statement.sql)]).await;
        }
        let bind = Bind::new(
            None,
            None,
            statement.formats.clone(),
            statement.params.clone(),
            statement.results.clone(),
        );
        self.send([
            parse(statement),
            Frontend::Bind(bind),
            Frontend::Describe(Describe::new(b'P', None)),
            Frontend::Execute(Execute::new(None, 0)),
            Frontend::Sync(Sync::new()),
        ])
        .await
    }

    async fn describe(&mut self, statement: &Statement) -> Result<(), Failure> {
        self.send([
            parse(statement),
            Frontend::Describe(Describe::new(b'S', None)),
            Frontend::Sync(Sync::new()),
        ])
        .await
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        loop {
            match self.receive().await? {
                Backend::DataRow(row) => return Ok(row_part(row)),
                Backend::RowDescription(description) => return Ok(columns_part(description)),
                Backend::NoData(_) => return Ok(Part::Columns(Vec::new())),
                Backend::ParameterDescription(parameters) => {
                    return Ok(Part::Parameters(parameters.types));
                }
                Backend::CommandComplete(complete) => self.tag = Some(complete.tag.into()),
                Backend::ParameterStatus(status) if status.name == LOG_POSITION_PARAMETER => {
                    self.point = status.value.parse().ok();
                }
                Backend::ErrorResponse(error) => self.error = Some(error),
                Backend::ReadyForQuery(_) => return self.complete(),
                Backend::CopyInResponse(_)
                | Backend::CopyOutResponse(_)
                | Backend::CopyBothResponse(_) => {
                    return Err(connection_lost(
                        "COPY is not supported; use INSERT or SELECT",
                    ));
                }
                _ => {}
            }
        }
    }

    async fn control(&mut self, command: &Control) -> Result<ServerStatus, Failure> {
        self.send([query(&command.to_string())]).await?;
        let mut status = None;
        loop {
            match self.next().await? {
                Part::Row { data, .. } => status = parse_status(&data),
                Part::Done { .. } => {
                    return status.ok_or_else(|| {
                        connection_lost(
                            "the answer to a control command is not the status of a server",
                        )
                    });
                }
                _ => {}
            }
        }
    }
}

fn query(sql: &str) -> Frontend {
    Frontend::Query(Query::new(sql.to_owned()))
}

fn parse(statement: &Statement) -> Frontend {
    let sql = statement.sql.to_string();
    Frontend::Parse(Parse::new(None, sql, statement.types.clone()))
}

fn row_part(row: DataRow) -> Part {
    Part::Row {
        fields: u16::try_from(row.field_count).unwrap_or_default(),
        data: row.data.freeze(),
    }
}

fn columns_part(description: RowDescription) -> Part {
    let fields = description.fields.into_iter();
    let columns = fields.map(|field| Column {
        name: field.name.into(),
        oid: field.type_id,
        format: field.format_code,
    });
    Part::Columns(columns.collect())
}

/// Parses the status from the only field of a row.
fn parse_status(data: &[u8]) -> Option<ServerStatus> {
    let (length, rest) = data.split_first_chunk::<4>()?;
    let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
    serde_json::from_slice(rest.get(..length)?).ok()
}

/// Converts an error response of the server into a failure.
fn server_error(error: &ErrorResponse) -> Failure {
    let field = |kind: u8| {
        let mut fields = error.fields.iter();
        let found = fields.find(|(field, _)| *field == kind);
        found.map_or("", |(_, text)| text.as_str())
    };
    Failure::ran(field(b'C'), field(b'M'))
}

/// Builds the failure for a connection that broke after a statement was sent on it.
fn connection_lost(reason: &(impl Display + ?Sized)) -> Failure {
    Failure::may_have_run(
        FailureKind::ConnectionLost,
        format!("the connection to the server was lost after the statement was sent: {reason}"),
    )
}

/// Builds the failure for a connection that is not usable, so that nothing was sent on it.
fn not_sent(reason: &(impl Display + ?Sized)) -> Failure {
    Failure::not_run(
        FailureKind::ConnectionLost,
        sqlstate::CONNECTION_FAILURE,
        format!("the connection to the server is not usable: {reason}"),
    )
}
