//! Accepts caller connections and handles their messages.

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
    Backend, ConcurrencyLimit, Execute, FrontendSettings, Phase, StatementSettings, Users,
    connection::{Connection, Shared, State},
    messages,
    portal::Prepared,
    sessions::{SessionInfo, SessionRegistry},
    startup::ServerParameters,
};

/// The filter chain of the front end.
type FilterChain = StatementSettings<ConcurrencyLimit<Execute>>;
/// A caller's connection with its protocol codec.
type Socket = Framed<MaybeTls, PgWireMessageServerCodec<Prepared>>;

/// Buffer capacity above which the buffers of an idle connection are freed. A node holds 2,600
/// idle connections at the target size.
const IDLE_BUFFER_BYTES: usize = 1024;

/// Delay after a failed accept, for example if the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time that a caller has to read the final error before its connection is closed.
const FINAL_ERROR_TIMEOUT: Duration = Duration::from_secs(1);

/// The front end of one node.
pub struct Frontend<B: Backend> {
    settings: FrontendSettings,
    shared: Arc<Shared<B, FilterChain>>,
    manager: Arc<ConnectionManager>,
    connection_slots: Arc<Semaphore>,
    phase: watch::Receiver<Phase>,
}

impl<B: Backend> Frontend<B> {
    /// Creates a front end that authenticates the callers in `users` and follows `phase`.
    pub fn new(
        settings: FrontendSettings,
        users: Users,
        backend: B,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        let manager = Arc::new(ConnectionManager::new());
        let chain = StatementSettings::new(ConcurrencyLimit::new(settings.max_statements, Execute));
        let driver =
            AuthDriver::new(ServerParameters).with_connection_manager(Arc::clone(&manager));
        let scram = Arc::new(ScramAuth::new(Arc::new(users)));
        Self {
            connection_slots: Arc::new(Semaphore::new(settings.max_connections)),
            settings,
            shared: Arc::new(Shared {
                backend,
                filter: chain,
                driver,
                mechanisms: SaslMechanisms::new(vec![scram]),
                sessions: SessionRegistry::default(),
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
        self.settings.max_connections - self.connection_slots.available_permits()
    }
}

/// Accepts callers until the phase is [`Phase::Closing`] and returns once the last connection has
/// ended.
///
/// While the node drains, idle connections are closed at once, and connections in a statement or
/// transaction are closed at its end.
///
/// # Errors
/// Fails if the listener's address cannot be read.
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
                    let permit = Arc::clone(&frontend.connection_slots).try_acquire_owned().ok();
                    let frontend = Arc::clone(&frontend);
                    connections.spawn(async move { handle_connection(frontend, stream, permit).await });
                }
                Err(error) => {
                    log::warn!(target: "siskinhook::frontend", event = 4001_u32; "cannot accept a caller: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = wait_for_phase(&mut phase, Phase::Closing) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    Ok(())
}

async fn handle_connection<B: Backend>(
    frontend: Arc<Frontend<B>>,
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
) {
    let login_deadline = Instant::now() + frontend.settings.startup_timeout;
    let Ok(Ok(Some(mut socket))) = timeout_at(login_deadline, negotiate_tls(stream, None)).await
    else {
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
    if let Err(error) = process_messages(&frontend, &connection, &mut socket, login_deadline).await
    {
        log::debug!(target: "siskinhook::frontend", event = 4002_u32; "caller connection ended: {error}");
    }
}

/// Handles the messages of a caller until it disconnects, violates the protocol or the node
/// drains.
async fn process_messages<B: Backend>(
    frontend: &Frontend<B>,
    connection: &Arc<Connection<B, FilterChain>>,
    socket: &mut Socket,
    login_deadline: Instant,
) -> io::Result<()> {
    let cancel = Arc::new(DefaultCancelHandler::new(Arc::clone(&frontend.manager)));
    let copy = Arc::new(NoopHandler);
    let mut phase = frontend.phase.clone();
    loop {
        release_buffers(socket);
        let message = match next_message(
            &mut phase,
            socket,
            login_deadline,
            frontend.settings.max_message,
        )
        .await?
        {
            Some(PgWireFrontendMessage::Terminate(_)) | None => return Ok(()),
            Some(message) => message,
        };
        let is_cancel_request = matches!(message, PgWireFrontendMessage::CancelRequest(_));
        let is_extended = message.is_extended_query();
        let work = process_message(
            message,
            socket,
            Arc::clone(connection),
            Arc::clone(connection),
            Arc::clone(connection),
            Arc::clone(&copy),
            Arc::clone(&cancel),
        );
        let outcome = tokio::select! {
            biased;
            result = work => Some(result),
            () = wait_for_phase(&mut phase, Phase::Ended) => None,
        };
        let Some(result) = outcome else {
            return send_final_error(socket, messages::interrupted()).await;
        };
        if let Err(error) = result {
            let is_fatal_error = error.is_fatal() || is_starting(socket);
            process_error(socket, error, is_extended && !is_fatal_error).await?;
            if is_fatal_error {
                return socket.close().await;
            }
        }
        if is_cancel_request {
            return Ok(());
        }
    }
}

/// Waits for the next message; returns `None` if the connection must be closed.
async fn next_message(
    phase: &mut watch::Receiver<Phase>,
    socket: &mut Socket,
    login_deadline: Instant,
    max_message: usize,
) -> io::Result<Option<PgWireFrontendMessage>> {
    let received = if is_starting(socket) {
        timeout_at(login_deadline, socket.next())
            .await
            .unwrap_or(None)
    } else if socket.transaction_status() == TransactionStatus::Idle {
        tokio::select! {
            biased;
            message = receive(socket, max_message) => message,
            () = wait_for_phase(phase, Phase::Draining) => {
                let error = messages::fatal(
                    sqlstate::SHUTDOWN,
                    "the node is shutting down; connect again to reach another node",
                );
                send_final_error(socket, error).await?;
                return Ok(None);
            }
        }
    } else {
        tokio::select! {
            biased;
            message = receive(socket, max_message) => message,
            () = wait_for_phase(phase, Phase::Ended) => {
                send_final_error(socket, messages::rolled_back()).await?;
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

/// Waits for a message of at most `max_message` bytes.
///
/// The codec buffers up to 1 GiB before it returns a message, so the length is checked while the
/// message arrives.
async fn receive(
    socket: &mut Socket,
    max_message: usize,
) -> Option<Result<PgWireFrontendMessage, PgWireError>> {
    poll_fn(|cx| {
        let polled = socket.poll_next_unpin(cx);
        match declared_length(socket.read_buffer()) {
            Some(length) if polled.is_pending() && length > max_message => {
                Poll::Ready(Some(Err(PgWireError::MessageTooLarge(max_message, length))))
            }
            _ => polled,
        }
    })
    .await
}

/// Returns the length from the header of a message, which follows the type byte.
fn declared_length(buffer: &[u8]) -> Option<usize> {
    let length = buffer.get(1..)?.first_chunk::<4>()?;
    usize::try_from(u32::from_be_bytes(*length)).ok()
}

/// Waits until the front end has reached `minimum` or a later phase.
async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, minimum: Phase) {
    // A closed channel means that the node has stopped.
    let _ = phase.wait_for(|phase| *phase >= minimum).await;
}

/// Sends the final error of a connection. The timeout prevents a caller that does not read from
/// delaying the shutdown of the node.
async fn send_final_error(socket: &mut Socket, error: PgWireError) -> io::Result<()> {
    let sending = process_error(socket, error, false);
    timeout_at(Instant::now() + FINAL_ERROR_TIMEOUT, sending)
        .await
        .unwrap_or(Ok(()))
}

fn is_starting(socket: &Socket) -> bool {
    matches!(
        socket.state(),
        PgWireConnectionState::AwaitingSslRequest
            | PgWireConnectionState::AwaitingStartup
            | PgWireConnectionState::AuthenticationInProgress
    )
}

/// Frees large buffers of a connection that waits for a message.
fn release_buffers(socket: &mut Socket) {
    if socket.read_buffer().is_empty() && socket.read_buffer().capacity() > IDLE_BUFFER_BYTES {
        *socket.read_buffer_mut() = BytesMut::new();
    }
    if socket.write_buffer().is_empty() && socket.write_buffer().capacity() > IDLE_BUFFER_BYTES {
        *socket.write_buffer_mut() = BytesMut::new();
    }
}
