//! In-process access to the servers, over the simulated network.

use std::{future::Future, sync::Arc};

use indexmap::IndexMap;
use siskinhook_types::{
    Control, Failure, FailureKind, Part, Purpose, ServerId, ServerStatus, Statement, TargetSession,
    Targets, sqlstate,
};
use tokio::{
    select,
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{
    database::{Answer, SqlError},
    network::{Connection, Endpoint, Network},
    server::{Server, Session},
};

/// In-process access of one node to the servers of a site.
#[derive(Clone, Debug)]
pub struct LocalTargets {
    node: Endpoint,
    network: Network,
    servers: Arc<IndexMap<ServerId, Arc<Server>>>,
}

/// An in-process connection to a server.
#[derive(Debug)]
pub struct LocalSession {
    id: u64,
    requests: UnboundedSender<Request>,
    replies: UnboundedReceiver<Result<Reply, Failure>>,
}

#[derive(Debug)]
enum Request {
    Run(Statement),
    Describe(Statement),
    Control(Control),
}

#[derive(Debug)]
enum Reply {
    Part(Part),
    Status(ServerStatus),
}

impl LocalTargets {
    /// Creates the access of a node.
    #[must_use]
    pub fn new(
        node: Endpoint,
        network: Network,
        servers: Arc<IndexMap<ServerId, Arc<Server>>>,
    ) -> Self {
        Self {
            node,
            network,
            servers,
        }
    }
}

fn connection_lost() -> Failure {
    Failure::may_have_run(
        FailureKind::ConnectionLost,
        "the connection to the server was closed before the answer; the statement may have run",
    )
}

impl Targets for LocalTargets {
    type Session = LocalSession;

    async fn connect(
        &self,
        server: &siskinhook_types::Server,
        _purpose: Purpose,
    ) -> Result<LocalSession, Failure> {
        let Some(target) = self.servers.get(&server.name) else {
            return Err(Failure::not_run(
                FailureKind::Unavailable,
                sqlstate::UNAVAILABLE,
                format!(
                    "there is no server {}; check the catalogue entry",
                    server.name
                ),
            ));
        };
        let connection = self
            .network
            .connect(self.node.clone(), target.endpoint().clone());
        connection.pass().await;
        if !target.is_crashed() {
            sleep(target.options().setup).await;
        }
        let attached = target.attach(self.node.name.clone());
        connection.pass().await;
        let session = attached.map_err(|error| {
            let kind = if error.code == sqlstate::OVERLOAD {
                FailureKind::Overload
            } else {
                FailureKind::ConnectionLost
            };
            Failure::not_run(kind, &error.code, error.message)
        })?;
        let id = session.id();
        let (requests, incoming) = unbounded_channel();
        let (outgoing, replies) = unbounded_channel();
        tokio::spawn(serve_connection(session, connection, incoming, outgoing));
        Ok(LocalSession {
            id,
            requests,
            replies,
        })
    }
}

/// Runs a future; returns `None` if the server closes the session first.
async fn unless_closed<T>(
    closed: &CancellationToken,
    future: impl Future<Output = T>,
) -> Option<T> {
    select! {
        biased;
        () = closed.cancelled() => None,
        value = future => Some(value),
    }
}

/// Serves a connection until the client or the server closes it. Requests that the client sent
/// before it closed the connection still run.
async fn serve_connection(
    mut session: Session,
    connection: Arc<Connection>,
    mut requests: UnboundedReceiver<Request>,
    replies: UnboundedSender<Result<Reply, Failure>>,
) {
    let closed = session.closed();
    let answer_requests = async {
        while let Some(request) = requests.recv().await {
            connection.pass().await;
            let answer = respond(&mut session, request).await;
            connection.pass().await;
            for reply in answer {
                // The statement has run even if the client has closed the connection.
                let _ = replies.send(reply);
            }
        }
        connection.pass().await;
    };
    if unless_closed(&closed, answer_requests).await.is_none() {
        drop(session);
        connection.pass().await;
        let _ = replies.send(Err(connection_lost()));
    }
}

async fn respond(session: &mut Session, request: Request) -> Vec<Result<Reply, Failure>> {
    let failed = |error: SqlError| vec![Err(Failure::ran(&error.code, error.message))];
    let parts = match request {
        Request::Run(statement) => match session.run(&statement).await {
            Ok(answer) => answer_parts(answer),
            Err(error) => return failed(error),
        },
        Request::Describe(statement) => match session.describe(&statement) {
            Ok((types, columns)) => vec![
                Part::Parameters(types),
                Part::Columns(columns),
                Part::Done {
                    tag: "DESCRIBE".into(),
                    point: None,
                },
            ],
            Err(error) => return failed(error),
        },
        Request::Control(command) => {
            return vec![Ok(Reply::Status(session.control(&command).await))];
        }
    };
    parts
        .into_iter()
        .map(|part| Ok(Reply::Part(part)))
        .collect()
}

fn answer_parts(answer: Answer) -> Vec<Part> {
    let mut parts = vec![Part::Columns(answer.columns)];
    parts.extend(
        answer
            .rows
            .into_iter()
            .map(|(fields, data)| Part::Row { fields, data }),
    );
    parts.push(Part::Done {
        tag: answer.tag,
        point: answer.point,
    });
    parts
}

impl LocalSession {
    fn send(&self, request: Request) -> Result<(), Failure> {
        self.requests.send(request).map_err(|_| {
            Failure::not_run(
                FailureKind::ConnectionLost,
                sqlstate::CONNECTION_FAILURE,
                "the connection to the server is closed; open a new one",
            )
        })
    }

    async fn reply(&mut self) -> Result<Reply, Failure> {
        self.replies
            .recv()
            .await
            .unwrap_or_else(|| Err(connection_lost()))
    }
}

impl TargetSession for LocalSession {
    fn id(&self) -> Option<u64> {
        Some(self.id)
    }

    async fn start(&mut self, statement: &Statement) -> Result<(), Failure> {
        self.send(Request::Run(statement.clone()))
    }

    async fn describe(&mut self, statement: &Statement) -> Result<(), Failure> {
        self.send(Request::Describe(statement.clone()))
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        match self.reply().await? {
            Reply::Part(part) => Ok(part),
            Reply::Status(_) => Err(unexpected_reply()),
        }
    }

    async fn control(&mut self, command: &Control) -> Result<ServerStatus, Failure> {
        self.send(Request::Control(command.clone()))?;
        match self.reply().await? {
            Reply::Status(status) => Ok(status),
            Reply::Part(_) => Err(unexpected_reply()),
        }
    }
}

fn unexpected_reply() -> Failure {
    Failure::may_have_run(
        FailureKind::BadRequest,
        "the answer belongs to another request; read each answer to its end first",
    )
}
