//! A loopback proxy in front of one server for one node.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// How the proxy treats the bytes between node and server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Passes them on.
    Open,
    /// Passes them on late.
    Slow(Duration),
    /// Holds them back in both directions; new connections get no answer.
    Silent,
    /// Holds back what the server sends.
    Deaf,
    /// Ends all connections, new ones included.
    Reset,
}

/// The proxy between one node and one server.
pub struct Proxy {
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

impl Proxy {
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (link, links) = watch::channel(Link::Open);
        tokio::spawn(async move {
            while let Ok((node, _)) = listener.accept().await {
                tokio::spawn(serve(node, server, links.clone()));
            }
        });
        Self { address, link }
    }

    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn serve(node: TcpStream, server: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_node, to_node) = node.into_split();
    let (from_server, to_server) = server.into_split();
    let holds_requests = |link: Link| link == Link::Silent;
    let holds_answers = |link: Link| matches!(link, Link::Silent | Link::Deaf);
    tokio::select! {
        () = pass(from_node, to_server, link.clone(), holds_requests) => {}
        () = pass(from_server, to_node, link.clone(), holds_answers) => {}
        // The proxy lives as long as the run.
        _ = link.wait_for(|link| *link == Link::Reset) => {}
    }
}

/// Passes bytes on in one direction until an end closes.
async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    holds: impl Fn(Link) -> bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(n) = from.read(&mut buffer).await {
        if n == 0 {
            return;
        }
        let Ok(state) = link.wait_for(|link| !holds(*link)).await.map(|link| *link) else {
            return;
        };
        if let Link::Slow(time) = state {
            sleep(time).await;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
