//! Accepts caller connections and runs them.

use std::{future::poll_fn, io, sync::Arc, task::Poll, time::Duration};

use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use pgwire::{
    api::{
        ClientInfo, ConnectionManager, NoopHandler, PgWireConnectionState,
        auth::{
            AuthDriver,
            sasl::{SaslMechanisms, scram::ScramAuth},
        },
        cancel::DefaultCancelHandler,
    },
    error::{ErrorInfo, PgWireError},
    messages::{PgWireFrontendMessage, response::TransactionStatus},
    tokio::server::{
        MaybeTls, PgWireMessageServerCodec, negotiate_tls, process_error, process_message,
    },
};
use siskinhook_types::sqlstate;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Mutex, OwnedSemaphorePermit, Semaphore, watch},
    task::JoinSet,
    time::{Instant, timeout_at},
};
use tokio_util::codec::Framed;

use crate::{
    Admit, Backend, Execute, FrontendSettings, Phase, StatementSettings, Users,
    connection::{Connection, Shared, State},
    messages,
    portal::Prepared,
    sessions::{SessionInfo, Sessions},
    startup::Parameters,
};

/// The filter chain of the front end.
type Chain = StatementSettings<Admit<Execute>>;
/// A caller's connection with its protocol codec.
type Socket = Framed<MaybeTls, PgWireMessageServerCodec<Prepared>>;

/// Buffers of an idle connection above this size are given back. A node holds 2,600 idle
/// connections at the target size.
const IDLE_BUFFER_BYTES: usize = 1024;

/// Wait after the listener failed to accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time that a caller has to read the last error before its connection is closed.
const LAST_WORD: Duration = Duration::from_secs(1);

/// The front end of one node.
pub struct Frontend<B: Backend> {
    settings: FrontendSettings,
    shared: Arc<Shared<B, Chain>>,
    manager: Arc<ConnectionManager>,
    sessions: Arc<Semaphore>,
    phase: watch::Receiver<Phase>,
}

impl<B: Backend> Frontend<B> {
    /// Creates a front end for the callers in `users` that follows `phase`.
    pub fn new(
        settings: FrontendSettings,
        users: Users,
        backend: B,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        let manager = Arc::new(ConnectionManager::new());
        let chain = StatementSettings::new(Admit::new(settings.max_statements, Execute));
        let driver = AuthDriver::new(Parameters).with_connection_manager(Arc::clone(&manager));
        let scram = Arc::new(ScramAuth::new(Arc::new(users)));
        Self {
            sessions: Arc::new(Semaphore::new(settings.max_connections)),
            settings,
            shared: Arc::new(Shared {
                backend,
                filter: chain,
                driver,
                mechanisms: SaslMechanisms::new(vec![scram]),
                sessions: Sessions::default(),
            }),
            manager,
            phase,
        }
    }

    /// Lists the sessions of authenticated callers.
    #[must_use]
    pub fn list_sessions(&self) -> Vec<SessionInfo> {
        self.shared.sessions.list()
    }

    /// Returns the number of open caller connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.settings.max_connections - self.sessions.available_permits()
    }
}

/// Accepts callers until the phase is [`Phase::Closing`]; returns when the last connection has
/// ended.
///
/// Idle connections are closed once the node drains; connections in a
/// statement or transaction are closed after it.
///
/// # Errors
/// Fails when the listener's address cannot be read.
pub async fn serve<B: Backend>(
    listener: TcpListener,
    frontend: Arc<Frontend<B>>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    log::info!(target: "siskinhook::frontend", event = 4000_u32; "accepting callers on {address}");
    let mut connections = JoinSet::new();
    let mut phase = frontend.phase.clone();
    loop {
        tokio::select! {
            biased;
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let permit = Arc::clone(&frontend.sessions).try_acquire_owned().ok();
                    let frontend = Arc::clone(&frontend);
                    connections.spawn(async move { run(frontend, stream, permit).await });
                }
                Err(error) => {
                    log::warn!(target: "siskinhook::frontend", event = 4001_u32; "cannot accept a caller: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = reached(&mut phase, Phase::Closing) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    Ok(())
}

async fn run<B: Backend>(
    frontend: Arc<Frontend<B>>,
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
) {
    let limit = Instant::now() + frontend.settings.startup_timeout;
    let Ok(Ok(Some(mut socket))) = timeout_at(limit, negotiate_tls(stream, None)).await else {
        return;
    };
    if permit.is_none() {
        let error = messages::fatal(
            sqlstate::OVERLOAD,
            "the node has too many connections; connect to another node or close idle connections",
        );
        let _ = process_error(&mut socket, error, false).await;
        return;
    }
    let connection = Arc::new(Connection {
        shared: Arc::clone(&frontend.shared),
        state: Mutex::new(State::new()),
    });
    if let Err(error) = converse(&frontend, &connection, &mut socket, limit).await {
        log::debug!(target: "siskinhook::frontend", event = 4002_u32; "caller connection ended: {error}");
    }
}

/// Handles a caller's messages until it leaves, breaks the protocol or the node drains.
async fn converse<B: Backend>(
    frontend: &Frontend<B>,
    connection: &Arc<Connection<B, Chain>>,
    socket: &mut Socket,
    limit: Instant,
) -> io::Result<()> {
    let cancel = Arc::new(DefaultCancelHandler::new(Arc::clone(&frontend.manager)));
    let copy = Arc::new(NoopHandler);
    let mut phase = frontend.phase.clone();
    loop {
        release_buffers(socket);
        let message =
            match next_message(&mut phase, socket, limit, frontend.settings.max_message).await? {
                Some(PgWireFrontendMessage::Terminate(_)) | None => return Ok(()),
                Some(message) => message,
            };
        let last = matches!(message, PgWireFrontendMessage::CancelRequest(_));
        let extended = message.is_extended_query();
        let work = process_message(
            message,
            socket,
            Arc::clone(connection),
            Arc::clone(connection),
            Arc::clone(connection),
            Arc::clone(&copy),
            Arc::clone(&cancel),
        );
        let worked = tokio::select! {
            biased;
            result = work => Some(result),
            () = reached(&mut phase, Phase::Ended) => None,
        };
        let Some(result) = worked else {
            return end(socket, messages::cut_off()).await;
        };
        if let Err(error) = result {
            let ends = error.is_fatal() || starting(socket);
            process_error(socket, error, extended && !ends).await?;
            if ends {
                return socket.close().await;
            }
        }
        if last {
            return Ok(());
        }
    }
}

/// Waits for the next message; `None` when the connection is to be closed.
async fn next_message(
    phase: &mut watch::Receiver<Phase>,
    socket: &mut Socket,
    limit: Instant,
    largest: usize,
) -> io::Result<Option<PgWireFrontendMessage>> {
    let received = if starting(socket) {
        timeout_at(limit, socket.next()).await.unwrap_or(None)
    } else if socket.transaction_status() == TransactionStatus::Idle {
        tokio::select! {
            biased;
            message = receive(socket, largest) => message,
            () = reached(phase, Phase::Draining) => {
                let error = messages::fatal(
                    sqlstate::SHUTDOWN,
                    "the node is shutting down; connect again to reach another node",
                );
                end(socket, error).await?;
                return Ok(None);
            }
        }
    } else {
        tokio::select! {
            biased;
            message = receive(socket, largest) => message,
            () = reached(phase, Phase::Ended) => {
                end(socket, messages::rolled_back()).await?;
                return Ok(None);
            }
        }
    };
    match received {
        Some(Ok(message)) => Ok(Some(message)),
        None => Ok(None),
        Some(Err(error)) => {
            let info: ErrorInfo = error.into();
            let error = messages::fatal(sqlstate::PROTOCOL, info.message);
            process_error(socket, error, false).await?;
            Ok(None)
        }
    }
}

/// Waits for a message of at most `largest` bytes. The codec alone would buffer up to 1 GiB
/// before it hands the message over, so the length is checked while the message arrives.
async fn receive(
    socket: &mut Socket,
    largest: usize,
) -> Option<Result<PgWireFrontendMessage, PgWireError>> {
    poll_fn(|cx| {
        let polled = socket.poll_next_unpin(cx);
        match announced(socket.read_buffer()) {
            Some(length) if polled.is_pending() && length > largest => {
                Poll::Ready(Some(Err(PgWireError::MessageTooLarge(largest, length))))
            }
            _ => polled,
        }
    })
    .await
}

/// Returns the length that the header of a message states, after its type byte.
fn announced(buffer: &[u8]) -> Option<usize> {
    let length = buffer.get(1..)?.first_chunk::<4>()?;
    usize::try_from(u32::from_be_bytes(*length)).ok()
}

/// Waits until the front end has come to a phase.
async fn reached(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    // A closed channel means that the node is gone.
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}

/// Sends a last error. A caller that does not read cannot hold up the end of the node.
async fn end(socket: &mut Socket, error: PgWireError) -> io::Result<()> {
    let told = process_error(socket, error, false);
    timeout_at(Instant::now() + LAST_WORD, told)
        .await
        .unwrap_or(Ok(()))
}

fn starting(socket: &Socket) -> bool {
    matches!(
        socket.state(),
        PgWireConnectionState::AwaitingSslRequest
            | PgWireConnectionState::AwaitingStartup
            | PgWireConnectionState::AuthenticationInProgress
    )
}

/// Gives back the buffers of a connection that waits for its caller.
fn release_buffers(socket: &mut Socket) {
    if socket.read_buffer().is_empty() && socket.read_buffer().capacity() > IDLE_BUFFER_BYTES {
        *socket.read_buffer_mut() = BytesMut::new();
    }
    if socket.write_buffer().is_empty() && socket.write_buffer().capacity() > IDLE_BUFFER_BYTES {
        *socket.write_buffer_mut() = BytesMut::new();
    }
}
