//! TCP relays that put the network stand-in between real sockets.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    join,
    net::{TcpListener, TcpStream},
    select,
    task::JoinSet,
};

use crate::network::{Connection, Endpoint, Network};

/// Bytes that a relay reads at a time.
const CHUNK: usize = 64 * 1024;

/// One-way path of a relay: who dials whom, and where that is.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    /// Who dials.
    pub from: Endpoint,
    /// Who is dialled.
    pub to: Endpoint,
    /// Address of the one who is dialled.
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
                connections.spawn(pipe(connection, socket, route.target));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Relays one connection. While the network is cut nothing is read, so that bytes wait in the
/// sockets as in TCP's send buffer; over a connection that is silent for good they stay there.
async fn pipe(connection: Arc<Connection>, mut near: TcpStream, target: SocketAddr) {
    connection.opened().await;
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    // The delay of small segments would add 40 ms to each exchange.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    join!(
        pump(&connection, near_read, far_write),
        pump(&connection, far_read, near_write),
    );
}

async fn pump(
    connection: &Connection,
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let length = from.read(&mut chunk).await.unwrap_or(0);
        connection.pass().await;
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            // The other side may be gone already.
            let _ = to.shutdown().await;
            return;
        }
    }
}
