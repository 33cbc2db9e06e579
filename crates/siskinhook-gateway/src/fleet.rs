//! Routing of statements between the nodes that share a server's connections.
//!
//! If a server accepts too few connections for all nodes, a few nodes hold the connections and
//! relay the statements of the others. The holders of a server are chosen by rendezvous hashing
//! among the nodes of its zone, so all nodes agree without communicating. A temporary disagreement
//! does no harm, because the server enforces its own connection limit.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use siskinhook_types::{NodeId, ServerId, ServiceId, Zone};
use tokio::{sync::watch, time::Instant};

/// Connections of one holder to one server. Fewer holders use their connections better, because
/// each queue sees a larger share of the statements.
const CONNECTIONS_PER_HOLDER: usize = 6;
/// Maximum number of holders of one server. Each additional holder opens connections of its own
/// after a restart, and its queue sees a smaller share of the statements.
const MAX_HOLDERS: usize = 10;
/// If a server accepts this many connections per node, every node holds its own: enough for a
/// transaction and a statement at the same time, and one for control requests.
const CONNECTIONS_PER_NODE: usize = 5;
/// Time for which an unreachable holder is not tried again.
const AVOID_DURATION: Duration = Duration::from_secs(4);
/// Time for which a node is not used for a server that it could not reach.
const BLOCK_DURATION: Duration = Duration::from_secs(3);

/// A node that relays statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the node.
    pub name: NodeId,
    /// Availability zone.
    pub zone: Zone,
    /// Address where the node accepts statements of other nodes.
    pub address: SocketAddr,
}

/// How this node reaches a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Path {
    /// Over connections of its own.
    Direct,
    /// Relayed by one of these nodes, in order of preference.
    ViaPeers(Vec<Peer>),
}

/// The known nodes, and which of them can reach which server.
pub struct Fleet {
    node: NodeId,
    zone: Zone,
    peers: RefCell<Vec<Peer>>,
    avoided: RefCell<HashMap<NodeId, Instant>>,
    /// Until when a node, possibly this one, is assumed to be unable to reach a server.
    blocked: RefCell<HashMap<(ServerId, NodeId), Instant>>,
    version: Cell<u64>,
    /// Time of the last contact with a server or node of another zone.
    last_contact: Cell<Instant>,
    /// Whether this node is cut off from the other zones.
    cut_off: watch::Sender<bool>,
}

impl Fleet {
    /// Creates a fleet with no known nodes besides this one.
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
            cut_off: watch::Sender::new(false),
        }
    }

    /// Returns the name of this node.
    #[must_use]
    pub const fn node(&self) -> &NodeId {
        &self.node
    }

    /// Replaces the list of nodes, which includes this one.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        if *self.peers.borrow() != peers {
            *self.peers.borrow_mut() = peers;
            self.version.set(self.version.get() + 1);
        }
    }

    /// Returns the version of the list of nodes, which increases with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Returns the number of known nodes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Returns the time of the last contact with another zone, or the creation of the fleet before
    /// the first contact.
    #[must_use]
    pub fn last_contact(&self) -> Instant {
        self.last_contact.get()
    }

    /// Sets whether this node is cut off from the other zones. Returns whether the value changed.
    pub(crate) fn set_cut_off(&self, cut_off: bool) -> bool {
        self.cut_off
            .send_if_modified(|known| std::mem::replace(known, cut_off) != cut_off)
    }

    /// Whether this node is cut off from the other zones.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    /// Returns a receiver that tracks whether this node is cut off from the other zones.
    pub(crate) fn isolation(&self) -> watch::Receiver<bool> {
        self.cut_off.subscribe()
    }

    /// Records a contact with another zone.
    pub fn record_contact(&self) {
        self.last_contact.set(Instant::now());
    }

    /// Records that a server or node of `zone` replied. Only replies from other zones count as
    /// contact.
    pub fn record_reply_from(&self, zone: &Zone) {
        if *zone != self.zone {
            self.record_contact();
        }
    }

    /// Returns up to `count` nodes of other zones; `offset` selects which ones.
    #[must_use]
    pub fn peers_elsewhere(&self, offset: usize, count: usize) -> Vec<Peer> {
        let peers = self.peers.borrow();
        let elsewhere: Vec<&Peer> = peers.iter().filter(|peer| peer.zone != self.zone).collect();
        // The list is sorted by name, so a stride spreads the choice over the zones.
        let stride = (elsewhere.len() / count.max(1)).max(1);
        let chosen = elsewhere.iter().cycle().skip(offset).step_by(stride);
        let count = count.min(elsewhere.len());
        chosen.take(count).map(|peer| (*peer).clone()).collect()
    }

    /// Stops using a node as a relay for `AVOID_DURATION`.
    pub fn avoid(&self, name: &NodeId) {
        let until = Instant::now() + AVOID_DURATION;
        self.avoided.borrow_mut().insert(name.clone(), until);
    }

    /// Records that a node, possibly this one, cannot reach a server.
    pub fn block(&self, server: &ServerId, node: &NodeId) {
        let now = Instant::now();
        let mut blocked = self.blocked.borrow_mut();
        blocked.retain(|_, until| now < *until);
        blocked.insert((server.clone(), node.clone()), now + BLOCK_DURATION);
    }

    /// Whether a node, possibly this one, recently failed to reach a server.
    fn is_blocked(&self, server: &ServerId, node: &NodeId) -> bool {
        let blocked = self.blocked.borrow();
        let until = blocked.get(&(server.clone(), node.clone()));
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Whether this node recently failed to reach a server directly.
    #[must_use]
    pub fn is_direct_blocked(&self, server: &ServerId) -> bool {
        self.is_blocked(server, &self.node)
    }

    /// Records that this node cannot reach a server directly.
    pub fn block_direct(&self, server: &ServerId) {
        self.block(server, &self.node);
    }

    /// Returns the nodes that hold the connections to a server, ordered by rendezvous hash, or
    /// `None` if all nodes do.
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

    /// Returns the number of nodes that come before this one in the rendezvous order of a service, or
    /// `None` while the nodes are not known.
    #[must_use]
    pub fn rank(&self, service: &ServiceId) -> Option<usize> {
        let own = rendezvous_hash(service, &self.node);
        let peers = self.peers.borrow();
        if peers.is_empty() {
            return None;
        }
        let is_before =
            |peer: &&Peer| peer.name != self.node && rendezvous_hash(service, &peer.name) < own;
        Some(peers.iter().filter(is_before).count())
    }

    /// Whether this node holds connections to a server with the given connection limit.
    #[must_use]
    pub fn is_holder(&self, server: &ServerId, zone: &Zone, max_connections: usize) -> bool {
        self.holders(server, zone, max_connections)
            .is_none_or(|holders| holders.iter().any(|peer| peer.name == self.node))
    }

    /// Returns up to `count` other nodes that hold connections to a server with the given connection
    /// limit, spread over the zones.
    #[must_use]
    pub fn relays(
        &self,
        server: &ServerId,
        zone: &Zone,
        max_connections: usize,
        count: usize,
    ) -> Vec<Peer> {
        let holders = self.holders(server, zone, max_connections);
        let mut relays = holders.unwrap_or_else(|| self.peers.borrow().clone());
        relays.retain(|peer| peer.name != self.node);
        // The list of nodes is sorted by name, so a stride spreads the choice over the zones.
        let stride = relays.len().div_ceil(count.max(1)).max(1);
        relays.into_iter().step_by(stride).collect()
    }

    /// Returns how this node reaches a server with the given connection limit.
    #[must_use]
    pub fn path(&self, server: &ServerId, zone: &Zone, max_connections: usize) -> Path {
        let Some(mut holders) = self.holders(server, zone, max_connections) else {
            return Path::Direct;
        };
        if holders.iter().any(|peer| peer.name == self.node) && !self.is_direct_blocked(server) {
            return Path::Direct;
        }
        // Each node starts with a different holder, which balances the load.
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

fn rendezvous_hash(subject: &str, node: &NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (subject, node).hash(&mut hasher);
    hasher.finish()
}
