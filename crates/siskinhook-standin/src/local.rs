//! In-process access to the servers, over the network stand-in.

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

/// The servers of a site as one node reaches them in the same process.
#[derive(Clone, Debug)]
pub struct LocalTargets {
    node: Endpoint,
    network: Network,
    servers: Arc<IndexMap<ServerId, Arc<Server>>>,
}

/// A connection to a server in the same process.
#[derive(Debug)]
pub struct LocalSession {
    id: u64,
    requests: UnboundedSender<Message>,
    replies: UnboundedReceiver<Result<Reply, Failure>>,
}

#[derive(Debug)]
enum Message {
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
    /// Creates the access of one node.
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

fn lost() -> Failure {
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
        tokio::spawn(serve(session, connection, incoming, outgoing));
        Ok(LocalSession {
            id,
            requests,
            replies,
        })
    }
}

/// Runs a future unless the server closes the session first.
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

/// Serves one connection until the client or the server closes it. A request that was sent
/// before the client closed the connection still runs.
async fn serve(
    mut session: Session,
    connection: Arc<Connection>,
    mut requests: UnboundedReceiver<Message>,
    replies: UnboundedSender<Result<Reply, Failure>>,
) {
    let closed = session.closed();
    let answered = async {
        while let Some(message) = requests.recv().await {
            connection.pass().await;
            let answer = respond(&mut session, message).await;
            connection.pass().await;
            for reply in answer {
                // The client may be gone; its statement has run all the same.
                let _ = replies.send(reply);
            }
        }
        connection.pass().await;
    };
    if unless_closed(&closed, answered).await.is_none() {
        drop(session);
        connection.pass().await;
        let _ = replies.send(Err(lost()));
    }
}

async fn respond(session: &mut Session, message: Message) -> Vec<Result<Reply, Failure>> {
    let failed = |error: SqlError| vec![Err(Failure::ran(&error.code, error.message))];
    let parts = match message {
        Message::Run(statement) => match session.run(&statement).await {
            Ok(answer) => parts(answer),
            Err(error) => return failed(error),
        },
        Message::Describe(statement) => match session.describe(&statement) {
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
        Message::Control(command) => {
            return vec![Ok(Reply::Status(session.control(&command).await))];
        }
    };
    parts
        .into_iter()
        .map(|part| Ok(Reply::Part(part)))
        .collect()
}

fn parts(answer: Answer) -> Vec<Part> {
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
    fn send(&self, message: Message) -> Result<(), Failure> {
        self.requests.send(message).map_err(|_| {
            Failure::not_run(
                FailureKind::ConnectionLost,
                sqlstate::CONNECTION_FAILURE,
                "the connection to the server is closed; open a new one",
            )
        })
    }

    async fn reply(&mut self) -> Result<Reply, Failure> {
        self.replies.recv().await.unwrap_or_else(|| Err(lost()))
    }
}

impl TargetSession for LocalSession {
    fn id(&self) -> Option<u64> {
        Some(self.id)
    }

    async fn start(&mut self, statement: &Statement) -> Result<(), Failure> {
        self.send(Message::Run(statement.clone()))
    }

    async fn describe(&mut self, statement: &Statement) -> Result<(), Failure> {
        self.send(Message::Describe(statement.clone()))
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        match self.reply().await? {
            Reply::Part(part) => Ok(part),
            Reply::Status(_) => Err(out_of_turn()),
        }
    }

    async fn control(&mut self, command: &Control) -> Result<ServerStatus, Failure> {
        self.send(Message::Control(command.clone()))?;
        match self.reply().await? {
            Reply::Status(status) => Ok(status),
            Reply::Part(_) => Err(out_of_turn()),
        }
    }
}

fn out_of_turn() -> Failure {
    Failure::may_have_run(
        FailureKind::BadRequest,
        "the answer belongs to another request; read each answer to its end first",
    )
}
