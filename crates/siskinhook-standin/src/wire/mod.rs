//! PostgreSQL protocol server for a database server.

mod client;
mod codec;
mod error;
mod login;
mod message;

use std::{sync::Arc, time::Duration};

use futures::SinkExt;
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    task::JoinSet,
    time::timeout,
};
use tokio_util::codec::Framed;

use self::{
    client::Client, codec::Codec, error::ClientError, login::log_in, message::error_message,
};
use crate::{database::SqlError, server::Server};

/// Time that a client has to log in.
const LOGIN_TIMEOUT: Duration = Duration::from_mins(1);
/// Time that a client has to receive the final error before its connection is closed.
const FINAL_ERROR_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts connections until the task is aborted.
pub(crate) async fn listen(server: Arc<Server>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        select! {
            accepted = listener.accept() => {
                let Ok((socket, _)) = accepted else { continue };
                if !server.is_crashed() {
                    connections.spawn(serve_connection(server.clone(), socket));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(server: Arc<Server>, socket: TcpStream) {
    // Nagle's algorithm would add 40 ms to each exchange.
    let _ = socket.set_nodelay(true);
    let mut stream = Framed::new(socket, Codec::default());
    let session = match timeout(LOGIN_TIMEOUT, log_in(&server, &mut stream)).await {
        Ok(Ok(Some(session))) => session,
        Ok(Err(ClientError::Sql(error))) => {
            let _ = timeout(
                FINAL_ERROR_TIMEOUT,
                stream.send(error_message("FATAL", error)),
            )
            .await;
            return;
        }
        _ => return,
    };
    let closed = session.closed();
    let mut client = Client::new(stream, session);
    let outcome = select! {
        biased;
        () = closed.cancelled() => None,
        outcome = client.process_messages() => Some(outcome),
    };
    let mut stream = client.into_stream();
    let final_error = match outcome {
        Some(Err(ClientError::Protocol(error))) => SqlError::new("08P01", error.to_string()),
        None if !server.is_crashed() => {
            SqlError::new("57P01", "the connection was terminated by an administrator")
        }
        _ => return,
    };
    let _ = timeout(
        FINAL_ERROR_TIMEOUT,
        stream.send(error_message("FATAL", final_error)),
    )
    .await;
}
