//! The PostgreSQL protocol of a database server.

mod client;
mod codec;
mod fault;
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

use self::{client::Client, codec::Codec, fault::Fault, login::log_in, message::error_message};
use crate::{database::SqlError, server::Server};

/// Time in which a client must log in.
const LOGIN: Duration = Duration::from_mins(1);
/// Time in which a last message to a terminated connection must be taken.
const FAREWELL: Duration = Duration::from_secs(1);

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
    let mut client = Client::new(stream, session);
    let ended = select! {
        biased;
        () = closed.cancelled() => None,
        ended = client.exchange() => Some(ended),
    };
    let mut stream = client.into_stream();
    let farewell = match ended {
        Some(Err(Fault::Protocol(error))) => SqlError::new("08P01", error.to_string()),
        None if !server.is_crashed() => {
            SqlError::new("57P01", "the connection was terminated by an administrator")
        }
        _ => return,
    };
    let _ = timeout(FAREWELL, stream.send(error_message("FATAL", farewell))).await;
}
