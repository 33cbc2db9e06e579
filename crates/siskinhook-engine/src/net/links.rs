//! Links to other nodes over TCP, with a pool of idle links.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use siskinhook_types::{Failure, FleetView, Link, Links, NodeId, Part, Request};
use smol_str::SmolStr;
use tokio::{net::TcpStream, sync::watch};

use super::{FrameLink, frame::elapsed_since, link::not_sent};
use crate::clock::{now, until};

/// Settings of links over TCP. Construct them with `..Default::default()`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// Timeout for opening a link.
    pub connect_timeout: Duration,
    /// Time without any frame after which the owner is considered lost. While a request is in
    /// progress, the owner sends at least one frame every 500 ms.
    pub frame_timeout: Duration,
    /// Maximum number of idle links per node.
    pub max_idle: usize,
    /// Time after which an idle link is closed.
    pub idle_timeout: Duration,
    /// Addresses to dial instead of those in the fleet's view, by the replaced address.
    pub address_overrides: IndexMap<SmolStr, SmolStr>,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            frame_timeout: Duration::from_secs(2),
            max_idle: 32,
            idle_timeout: Duration::from_mins(1),
            address_overrides: IndexMap::new(),
        }
    }
}

/// Idle links by node, with the time at which they became idle.
type IdleLinks = IndexMap<NodeId, Vec<(FrameLink<TcpStream>, Instant)>>;

struct Inner {
    node: NodeId,
    secret: SmolStr,
    fleet: watch::Receiver<Arc<FleetView>>,
    options: LinkOptions,
    idle: Mutex<IdleLinks>,
}

/// Links to the other nodes of the fleet over TCP.
#[derive(Clone)]
pub struct TcpLinks {
    inner: Arc<Inner>,
}

/// A link over TCP. It returns to the pool if it is dropped while no exchange is in progress.
pub struct TcpLink {
    link: Option<FrameLink<TcpStream>>,
    node: NodeId,
    pool: Arc<Inner>,
}

impl TcpLinks {
    /// Creates the links of a node, which take the addresses of other nodes from the fleet's view.
    #[must_use]
    pub fn new(
        node: NodeId,
        secret: SmolStr,
        fleet: watch::Receiver<Arc<FleetView>>,
        options: LinkOptions,
    ) -> Self {
        Self {
            inner: Arc::new(Inner {
                node,
                secret,
                fleet,
                options,
                idle: Mutex::default(),
            }),
        }
    }
}

impl Inner {
    fn take_idle(&self, node: &NodeId) -> Option<FrameLink<TcpStream>> {
        let mut idle = self.idle();
        let links = idle.get_mut(node)?;
        while let Some((mut link, since)) = links.pop() {
            if elapsed_since(since) < self.options.idle_timeout && link.is_reusable() {
                return Some(link);
            }
        }
        None
    }

    fn return_idle(&self, node: &NodeId, link: FrameLink<TcpStream>) {
        let mut idle = self.idle();
        let links = idle.entry(node.clone()).or_default();
        if links.len() < self.options.max_idle {
            links.push((link, now()));
        }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, IdleLinks> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn dial(&self, node: &NodeId) -> Result<FrameLink<TcpStream>, Failure> {
        let address = {
            let view = self.fleet.borrow();
            view.members.get(node).map(|member| member.link.clone())
        };
        let Some(address) = address else {
            return Err(not_sent(&format!(
                "node {node} is not a member of the fleet"
            )));
        };
        let address = self
            .options
            .address_overrides
            .get(&address)
            .unwrap_or(&address);
        let stream = TcpStream::connect(address.as_str()).await;
        let stream =
            stream.map_err(|error| not_sent(&format!("node {node} at {address}: {error}")))?;
        stream
            .set_nodelay(true)
            .map_err(|error| not_sent(&format!("node {node} at {address}: {error}")))?;
        let (name, secret) = (self.node.clone(), self.secret.clone());
        FrameLink::open(stream, name, secret, self.options.frame_timeout).await
    }
}

impl Links for TcpLinks {
    type Link = TcpLink;

    async fn open(&self, node: &NodeId) -> Result<TcpLink, Failure> {
        let link = if let Some(link) = self.inner.take_idle(node) {
            link
        } else {
            let limit = now() + self.inner.options.connect_timeout;
            let opened = until(limit, self.inner.dial(node)).await;
            opened
                .unwrap_or_else(|| Err(not_sent(&format!("node {node} did not answer in time"))))?
        };
        Ok(TcpLink {
            link: Some(link),
            node: node.clone(),
            pool: self.inner.clone(),
        })
    }
}

impl Link for TcpLink {
    async fn start(&mut self, request: Request) -> Result<(), Failure> {
        match &mut self.link {
            Some(link) => link.start(request).await,
            None => Err(not_sent("the link is closed")),
        }
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        match &mut self.link {
            Some(link) => link.next().await,
            None => Err(not_sent("the link is closed")),
        }
    }
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        if let Some(mut link) = self.link.take()
            && link.is_reusable()
        {
            self.pool.return_idle(&self.node, link);
        }
    }
}
