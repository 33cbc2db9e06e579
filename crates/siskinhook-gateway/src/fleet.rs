//! The nodes that share a server's connections.
//!
//! Where a server accepts too few connections for all nodes, a few nodes hold them and pass the
//! statements of the others on. The holders of a server are chosen by rendezvous hashing among
//! the nodes of its zone, so that all nodes agree without talking to each other. Nodes that do
//! not agree for a moment lose nothing: the server's own limit holds.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use siskinhook_types::{NodeId, ServerId, Zone};
use tokio::time::Instant;

/// Connections of one holder to one server. Fewer holders use them better, since one queue sees
/// more of the work.
const CONNECTIONS_PER_HOLDER: usize = 6;
/// Most holders of one server: each one more opens connections of its own after a restart, and
/// sees less of the queue.
const MAX_HOLDERS: usize = 10;
/// Connections for each node from which on every node holds its own: a transaction and a
/// statement at the same time, and one for control.
const CONNECTIONS_PER_NODE: usize = 5;
/// Time for which a holder that could not be reached is not tried again.
const AVOID_DURATION: Duration = Duration::from_secs(4);

/// Time for which a node is not asked for a server that it could not reach.
const BLOCK_DURATION: Duration = Duration::from_secs(3);

/// A node that passes statements on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the node.
    pub name: NodeId,
    /// Availability zone.
    pub zone: Zone,
    /// Where it accepts statements of other nodes.
    pub address: SocketAddr,
}

/// How a node reaches a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Path {
    /// Over its own connections.
    Direct,
    /// Through one of these nodes, in the order to try.
    ViaPeers(Vec<Peer>),
}

/// The nodes known at present.
pub struct Fleet {
    node: NodeId,
    zone: Zone,
    peers: RefCell<Vec<Peer>>,
    avoided: RefCell<HashMap<NodeId, Instant>>,
    /// Until when a node, this one included, counts as without a way to a server.
    blocked: RefCell<HashMap<(ServerId, NodeId), Instant>>,
    version: Cell<u64>,
    /// Last contact to a server or node of another zone.
    last_contact: Cell<Instant>,
}

impl Fleet {
    /// Creates a fleet of this node alone.
    #[must_use]
    pub fn new(node: NodeId, zone: Zone) -> Self {
        Self {
            node,
            zone,
            peers: RefCell::default(),
            avoided: RefCell::default(),
            blocked: RefCell::default(),
            version: Cell::new(1),
            last_contact: Cell::new(Instant::now()),
        }
    }

    /// Replaces the list of nodes, this one included.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        if *self.peers.borrow() != peers {
            *self.peers.borrow_mut() = peers;
            self.version.set(self.version.get() + 1);
        }
    }

    /// Returns the number of changes of the list of nodes.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Returns the number of known nodes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Returns the last contact to another zone; the start of the process before the first one.
    #[must_use]
    pub fn last_contact(&self) -> Instant {
        self.last_contact.get()
    }

    /// Records contact to another zone.
    pub fn record_contact(&self) {
        self.last_contact.set(Instant::now());
    }

    /// Records that a server or node of this zone answered.
    pub fn record_reply_from(&self, zone: &Zone) {
        if *zone != self.zone {
            self.record_contact();
        }
    }

    /// Returns some nodes of other zones; another `offset` gives others.
    #[must_use]
    pub fn peers_elsewhere(&self, offset: usize, count: usize) -> Vec<Peer> {
        let peers = self.peers.borrow();
        let elsewhere: Vec<&Peer> = peers.iter().filter(|peer| peer.zone != self.zone).collect();
        // A stride spreads the choice over the zones, since the list is sorted by name.
        let stride = (elsewhere.len() / count.max(1)).max(1);
        let chosen = elsewhere.iter().cycle().skip(offset).step_by(stride);
        let count = count.min(elsewhere.len());
        chosen.take(count).map(|peer| (*peer).clone()).collect()
    }

    /// Leaves a node out for a while.
    pub fn avoid(&self, name: &NodeId) {
        let until = Instant::now() + AVOID_DURATION;
        self.avoided.borrow_mut().insert(name.clone(), until);
    }

    /// Records that a node, this one included, does not reach a server.
    pub fn block(&self, server: &ServerId, node: &NodeId) {
        let now = Instant::now();
        let mut blocked = self.blocked.borrow_mut();
        blocked.retain(|_, until| now < *until);
        blocked.insert((server.clone(), node.clone()), now + BLOCK_DURATION);
    }

    /// Whether a node, this one included, lately did not reach a server.
    fn is_blocked(&self, server: &ServerId, node: &NodeId) -> bool {
        let blocked = self.blocked.borrow();
        let until = blocked.get(&(server.clone(), node.clone()));
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Whether this node lately did not reach a server by itself.
    #[must_use]
    pub fn is_direct_blocked(&self, server: &ServerId) -> bool {
        self.is_blocked(server, &self.node)
    }

    /// Records that this node does not reach a server by itself.
    pub fn block_direct(&self, server: &ServerId) {
        self.block(server, &self.node);
    }

    /// Returns the nodes that hold the connections to a server, in the order of their hashes;
    /// `None` when all nodes do.
    fn holders(&self, server: &ServerId, zone: &Zone, max_connections: usize) -> Option<Vec<Peer>> {
        let peers = self.peers.borrow();
        if peers.len() <= 1 || max_connections >= peers.len() * CONNECTIONS_PER_NODE {
            return None;
        }
        let same_zone = |peer: &&Peer| peer.zone == *zone;
        let mut ranked: Vec<Peer> = peers.iter().filter(same_zone).cloned().collect();
        if ranked.is_empty() {
            ranked.clone_from(&peers);
        }
        ranked.sort_by_key(|peer| rendezvous_hash(server, &peer.name));
        ranked.truncate((max_connections / CONNECTIONS_PER_HOLDER).clamp(1, MAX_HOLDERS));
        Some(ranked)
    }

    /// Returns whether this node holds connections to a server that accepts `max_connections` of them.
    #[must_use]
    pub fn is_holder(&self, server: &ServerId, zone: &Zone, max_connections: usize) -> bool {
        self.holders(server, zone, max_connections)
            .is_none_or(|holders| holders.iter().any(|peer| peer.name == self.node))
    }

    /// Returns how this node reaches a server that accepts `max_connections` connections.
    #[must_use]
    pub fn path(&self, server: &ServerId, zone: &Zone, max_connections: usize) -> Path {
        let Some(mut holders) = self.holders(server, zone, max_connections) else {
            return Path::Direct;
        };
        if holders.iter().any(|peer| peer.name == self.node) && !self.is_direct_blocked(server) {
            return Path::Direct;
        }
        // Each node prefers another holder, so that their load is even.
        let start = usize::try_from(rendezvous_hash(server, &self.node) >> 32).unwrap_or_default();
        let count = holders.len();
        holders.rotate_left(start % count);
        let avoided = self.avoided.borrow();
        let now = Instant::now();
        holders.retain(|peer| {
            let avoided = avoided.get(&peer.name).is_some_and(|until| now < *until);
            peer.name != self.node && !avoided && !self.is_blocked(server, &peer.name)
        });
        if holders.is_empty() {
            Path::Direct
        } else {
            Path::ViaPeers(holders)
        }
    }
}

fn rendezvous_hash(server: &ServerId, node: &NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (server, node).hash(&mut hasher);
    hasher.finish()
}
