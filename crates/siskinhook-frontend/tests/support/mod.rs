//! A scripted backend, and a front end for it that listens on a loopback port.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::{BufMut, Bytes, BytesMut};
use siskinhook_frontend::{
    Answer, Backend, CallerOptions, CallerSession, Frontend, FrontendSettings, Phase,
    TransactionState, Users, serve,
};
use siskinhook_types::{
    CallerId, Column, DatabaseId, Failure, FailureKind, LogPoint, Part, RequestId, Statement,
    Token, sqlstate,
};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// Backend with one database `shifts` and these statements: `rows N`, `write`, `refuse`,
/// `lose`, `hang`, `seen` (the options as one row), `begin`, `commit`, `rollback`.
#[derive(Clone, Default)]
pub struct ScriptedBackend {
    /// Number of rows read from answers of all sessions.
    pub rows_read: Arc<AtomicUsize>,
    /// Number of `hang` statements that have started.
    pub hang_count: Arc<AtomicUsize>,
}

pub struct ScriptedSession {
    backend: ScriptedBackend,
    options: CallerOptions,
    transaction: TransactionState,
    position: u64,
}

pub struct ScriptedAnswer {
    rows_read: Arc<AtomicUsize>,
    columns: Option<Vec<Column>>,
    rows: usize,
    row_text: String,
    tag: &'static str,
    done: bool,
}

impl Backend for ScriptedBackend {
    type Session = ScriptedSession;

    fn open(&self, database: DatabaseId, _caller: CallerId) -> Result<ScriptedSession, Failure> {
        if database != "shifts" {
            return Err(Failure::not_run(
                FailureKind::BadRequest,
                sqlstate::UNKNOWN_DATABASE,
                format!("database {database:?} is not in the catalogue"),
            ));
        }
        Ok(ScriptedSession {
            backend: self.clone(),
            options: CallerOptions::default(),
            transaction: TransactionState::Idle,
            position: 0,
        })
    }
}

impl ScriptedSession {
    fn answer(&self, rows: usize, row_text: &str, tag: &'static str) -> ScriptedAnswer {
        let column = Column {
            name: "value".into(),
            oid: 25,
            format: 0,
        };
        ScriptedAnswer {
            rows_read: self.backend.rows_read.clone(),
            columns: Some(if rows == 0 { Vec::new() } else { vec![column] }),
            rows,
            row_text: row_text.into(),
            tag,
            done: false,
        }
    }
}

impl CallerSession for ScriptedSession {
    type Answer = ScriptedAnswer;

    fn set_options(&mut self, options: &CallerOptions) {
        self.options = options.clone();
    }

    async fn execute(&mut self, statement: Statement) -> Result<ScriptedAnswer, Failure> {
        let words: Vec<&str> = statement.sql.split_whitespace().collect();
        let failed = |failure: Failure| Err(failure);
        match *words.as_slice() {
            ["rows", count, ..] => Ok(self.answer(count.parse().unwrap(), "value", "SELECT")),
            ["write"] => {
                self.position += 1;
                self.options.request = None;
                Ok(self.answer(0, "", "INSERT 0 1"))
            }
            ["seen"] => Ok(self.answer(1, &format!("{:?}", self.options), "SELECT 1")),
            ["hang"] => {
                self.backend.hang_count.fetch_add(1, Ordering::Relaxed);
                std::future::pending().await
            }
            ["refuse"] => {
                if self.transaction == TransactionState::Active {
                    self.transaction = TransactionState::Failed;
                }
                failed(Failure {
                    retry_after: Some(40),
                    ..Failure::not_run(FailureKind::Overload, sqlstate::OVERLOAD, "queue is full")
                })
            }
            ["lose"] => failed(Failure::may_have_run(
                FailureKind::ConnectionLost,
                "connection lost",
            )),
            ["begin" | "BEGIN"] | ["START", "TRANSACTION"] => {
                self.transaction = TransactionState::Active;
                Ok(self.answer(0, "", "BEGIN"))
            }
            [word] if word.eq_ignore_ascii_case("commit") => {
                self.transaction = TransactionState::Idle;
                Ok(self.answer(0, "", "COMMIT"))
            }
            [word] if word.eq_ignore_ascii_case("rollback") => {
                self.transaction = TransactionState::Idle;
                Ok(self.answer(0, "", "ROLLBACK"))
            }
            _ => failed(Failure::ran("42601", "syntax error")),
        }
    }

    async fn describe(&mut self, statement: Statement) -> Result<ScriptedAnswer, Failure> {
        let rows = usize::from(statement.sql.starts_with("rows") || statement.sql == "seen");
        let mut answer = self.answer(rows, "", "");
        answer.rows = 0;
        Ok(answer)
    }

    fn request(&self) -> Option<RequestId> {
        self.options.request.clone()
    }

    fn transaction(&self) -> TransactionState {
        self.transaction
    }

    fn token(&self) -> Option<Token> {
        (self.position > 0).then(|| Token {
            database: "shifts".into(),
            point: LogPoint::new(1, self.position),
        })
    }
}

impl Answer for ScriptedAnswer {
    async fn next(&mut self) -> Result<Option<Part>, Failure> {
        if let Some(columns) = self.columns.take() {
            return Ok(Some(Part::Columns(columns)));
        }
        if self.rows > 0 {
            self.rows -= 1;
            self.rows_read.fetch_add(1, Ordering::Relaxed);
            let mut data = BytesMut::new();
            data.put_i32(i32::try_from(self.row_text.len()).unwrap());
            data.put_slice(self.row_text.as_bytes());
            return Ok(Some(Part::Row {
                fields: 1,
                data: Bytes::from(data),
            }));
        }
        if std::mem::replace(&mut self.done, true) {
            return Ok(None);
        }
        Ok(Some(Part::Done {
            tag: self.tag.into(),
            point: None,
        }))
    }
}

/// A running front end. Not every test uses every field.
#[allow(dead_code)]
pub struct TestServer {
    pub address: SocketAddr,
    pub backend: ScriptedBackend,
    pub phase: watch::Sender<Phase>,
    pub task: JoinHandle<std::io::Result<()>>,
}

pub async fn start_server(settings: FrontendSettings) -> TestServer {
    let backend = ScriptedBackend::default();
    let mut users = Users::default();
    users.add("meera".into(), "secret");
    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let frontend = Frontend::new(settings, users, backend.clone(), phase_receiver);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(serve(listener, Arc::new(frontend)));
    TestServer {
        address,
        backend,
        phase,
        task,
    }
}

pub fn config(address: SocketAddr) -> tokio_postgres::Config {
    let mut config = tokio_postgres::Config::new();
    config
        .host("127.0.0.1")
        .port(address.port())
        .user("meera")
        .password("secret")
        .dbname("shifts");
    config
}

/// Connects a client and runs its connection in a background task.
pub async fn connect(
    config: &tokio_postgres::Config,
) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}
