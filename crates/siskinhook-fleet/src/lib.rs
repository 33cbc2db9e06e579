//! Gossip membership, ownership of servers and propagation of catalogue revisions between nodes.

mod controller;
mod fleet;
mod membership;
mod memory;
mod message;
mod ownership;
mod peers;
mod propagation;
mod reader;
mod rpc;
mod settings;

pub use controller::{Action, Controller, FleetStatus, Identity};
pub use fleet::{Fleet, Intent};
pub use membership::{Answer, Call, CallId, Membership};
pub use memory::{MemoryNetwork, MemoryPeers, MemorySettings, Traffic};
pub use message::{Digest, MemberUpdate, PeerMessage, Profile};
pub use ownership::{OwnerCache, owner, owners, owns};
pub use peers::{PeerError, Peers};
pub use propagation::{CatalogueUpdate, Propagation, SyncRequest};
pub use reader::{
    CHANGE_PREFIX, REVISION_KEY, SNAPSHOT_KEY, SNAPSHOT_PREFIX, change_key, snapshot_key,
};
pub use rpc::{RpcPeers, Secret, serve};
pub use settings::FleetSettings;
