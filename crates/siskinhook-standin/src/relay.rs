//! TCP relays that apply the simulated network to real sockets.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    join,
    net::{TcpListener, TcpStream},
    select,
    task::JoinSet,
};

use crate::network::{Connection, Endpoint, Network};

/// Size of the read buffer of a relay.
const CHUNK_BYTES: usize = 64 * 1024;

/// Endpoints of a relay, and the address that it dials.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    /// Endpoint that dials.
    pub from: Endpoint,
    /// Endpoint that is dialled.
    pub to: Endpoint,
    /// Address of the endpoint that is dialled.
    pub target: SocketAddr,
}

/// Accepts connections and relays them until the task is aborted.
pub(crate) async fn relay(network: Network, route: Route, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        select! {
            accepted = listener.accept() => {
                let Ok((socket, _)) = accepted else { continue };
                let connection = network.connect(route.from.clone(), route.to.clone());
                connections.spawn(relay_connection(connection, socket, route.target));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Relays one connection.
///
/// Nothing is read while the network is cut, so the bytes wait in the buffers of the sockets. On a
/// connection that is silent for good they stay there.
async fn relay_connection(connection: Arc<Connection>, mut inbound: TcpStream, target: SocketAddr) {
    connection.wait_until_open().await;
    let Ok(mut outbound) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would add 40 ms to each exchange.
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.split();
    let (outbound_read, outbound_write) = outbound.split();
    join!(
        forward_bytes(&connection, inbound_read, outbound_write),
        forward_bytes(&connection, outbound_read, inbound_write),
    );
}

/// Copies bytes in one direction until the sender closes the connection.
async fn forward_bytes(
    connection: &Connection,
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await.unwrap_or(0);
        connection.pass().await;
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            // The other side may have closed the connection already.
            let _ = to.shutdown().await;
            return;
        }
    }
}
