//! A TCP proxy on the loopback interface between one node and one server, which injects network
//! faults.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// How the proxy treats the bytes between the node and the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Forwards all bytes.
    Open,
    /// Forwards each chunk of bytes after this delay.
    Delayed(Duration),
    /// Holds back the bytes in both directions. New connections are accepted but get no answer.
    Stalled,
    /// Holds back the bytes from the server only.
    AnswersStalled,
    /// Closes all connections, including new ones.
    Reset,
}

/// The proxy between one node and one server.
pub struct FaultProxy {
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

impl FaultProxy {
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (link, link_updates) = watch::channel(Link::Open);
        tokio::spawn(async move {
            while let Ok((node, _)) = listener.accept().await {
                tokio::spawn(serve(node, server, link_updates.clone()));
            }
        });
        Self { address, link }
    }

    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn serve(node: TcpStream, server: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_node, to_node) = node.into_split();
    let (from_server, to_server) = server.into_split();
    let stalls_requests = |link: Link| link == Link::Stalled;
    let stalls_answers = |link: Link| matches!(link, Link::Stalled | Link::AnswersStalled);
    tokio::select! {
        () = forward(from_node, to_server, link.clone(), stalls_requests) => {}
        () = forward(from_server, to_node, link.clone(), stalls_answers) => {}
        // This only fails when the proxy is dropped, and the proxy lives as long as the run.
        _ = link.wait_for(|link| *link == Link::Reset) => {}
    }
}

/// Forwards bytes in one direction until one end closes the connection.
async fn forward(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    is_stalled: impl Fn(Link) -> bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(n) = reader.read(&mut buffer).await {
        if n == 0 {
            return;
        }
        let Ok(state) = link
            .wait_for(|link| !is_stalled(*link))
            .await
            .map(|link| *link)
        else {
            return;
        };
        if let Link::Delayed(delay) = state {
            sleep(delay).await;
        }
        if writer.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
