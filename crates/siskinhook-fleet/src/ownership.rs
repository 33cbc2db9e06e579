//! Assigns servers to owner nodes by rendezvous hashing.
//!
//! The owner of a server is a pure function of the members that a node knows. Nodes with
//! different views may name different owners for a short time; the lock on the server decides
//! between them.

use std::{
    cmp::Reverse,
    collections::HashMap,
    hash::Hasher,
    sync::{Arc, PoisonError, RwLock},
};

use siphasher::sip::SipHasher13;
use siskinhook_types::{FleetView, Member, MemberState, NodeId, Server, ServerId};
use smol_str::SmolStr;

/// Sort key of a member for one server: leaving or paused, other zone, other region, hash. The
/// member with the lowest rank owns the server.
type Rank = (bool, bool, bool, Reverse<u64>);

/// Returns the members that can own a server, best first.
///
/// Members of the server's zone come first, then members of its region, then all others;
/// within each group the highest rendezvous hash comes first. Leaving members rank last, and
/// so does the local node while it considers itself suspect (after a start or a pause). Dead
/// members are excluded. Other suspect members keep their rank, because most suspicions are
/// refuted.
///
/// The region of the server's zone is taken from any member in that zone, including dead ones.
#[must_use]
pub fn owners(view: &FleetView, server: &Server) -> Vec<NodeId> {
    let mut ranked: Vec<(Rank, &Member)> = candidates(view, server).collect();
    ranked.sort_unstable_by(|(a, m), (b, n)| a.cmp(b).then_with(|| m.name.cmp(&n.name)));
    ranked.into_iter().map(|(_, m)| m.name.clone()).collect()
}

/// Returns the owner of a server; `None` when the view has no live member.
///
/// Computes one hash per member; the request path uses [`OwnerCache`] instead.
#[must_use]
pub fn owner(view: &FleetView, server: &Server) -> Option<NodeId> {
    candidates(view, server)
        .min_by(|(a, m), (b, n)| a.cmp(b).then_with(|| m.name.cmp(&n.name)))
        .map(|(_, member)| member.name.clone())
}

/// Returns whether the local node owns a server and may act as owner.
///
/// A node that considers itself suspect must not act as owner: it was paused or just started, so
/// other nodes may own its servers.
#[must_use]
pub fn owns(view: &FleetView, server: &Server) -> bool {
    let paused = view
        .members
        .get(&view.local)
        .is_none_or(|m| m.state == MemberState::Suspect);
    !paused && owner(view, server).as_ref() == Some(&view.local)
}

fn candidates<'a>(
    view: &'a FleetView,
    server: &'a Server,
) -> impl Iterator<Item = (Rank, &'a Member)> {
    let region = view
        .members
        .values()
        .find(|m| m.zone == server.zone)
        .map(|m| &m.region);
    view.members
        .values()
        .filter(|m| m.state != MemberState::Dead)
        .map(move |m| {
            let paused = m.state == MemberState::Suspect && m.name == view.local;
            let rank = (
                m.state == MemberState::Leaving || paused,
                m.zone != server.zone,
                Some(&m.region) != region,
                Reverse(rendezvous_hash(&server.name, &m.name)),
            );
            (rank, m)
        })
}

/// Computes the rendezvous hash of a server and a node.
///
/// `SipHash` 1-3 with a zero key has a fixed definition, so all versions and builds compute the
/// same owners.
fn rendezvous_hash(server: &ServerId, node: &NodeId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(server.as_bytes());
    // A separator keeps "a" + "bc" distinct from "ab" + "c".
    hasher.write_u8(0xff);
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// Caches the owner of each server for the newest view.
///
/// Only the owner is cached, because full rankings of 2,070 servers over 620 nodes take 30 MB.
#[derive(Debug, Default)]
pub struct OwnerCache {
    state: RwLock<CacheState>,
}

#[derive(Debug, Default)]
struct CacheState {
    view: Option<Arc<FleetView>>,
    owners: HashMap<ServerId, (SmolStr, Option<NodeId>)>,
}

impl OwnerCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the owner of a server, as [`owner`] does.
    ///
    /// A new view clears the cache. Views are compared by pointer; the cache holds a reference to
    /// its view, so the address cannot be reused for another one.
    #[must_use]
    pub fn owner(&self, view: &Arc<FleetView>, server: &Server) -> Option<NodeId> {
        {
            let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
            if state.view.as_ref().is_some_and(|v| Arc::ptr_eq(v, view))
                && let Some((zone, owner)) = state.owners.get(&server.name)
                && *zone == server.zone
            {
                return owner.clone();
            }
        }
        let found = owner(view, server);
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        if !state.view.as_ref().is_some_and(|v| Arc::ptr_eq(v, view)) {
            state.owners.clear();
            state.view = Some(Arc::clone(view));
        }
        state
            .owners
            .insert(server.name.clone(), (server.zone.clone(), found.clone()));
        found
    }
}
