//! Probes, relays and introductions: the calls that a node makes.

use std::time::{Duration, Instant};

use rand::{Rng, seq::SliceRandom};
use siskinhook_types::{MemberState, NodeId};
use smol_str::SmolStr;

use super::{Call, CallId, Membership, Purpose, hash};
use crate::PeerMessage;

impl Membership {
    pub(super) fn call(
        &mut self,
        address: SmolStr,
        message: PeerMessage,
        timeout: Duration,
        purpose: Purpose,
    ) {
        let id = self.call_id();
        self.calls.insert(id, purpose);
        self.outgoing.push(Call {
            id,
            address,
            message,
            timeout,
        });
    }

    /// Returns a number for a call that is not about membership.
    pub fn call_id(&mut self) -> CallId {
        self.next_call += 1;
        self.next_call
    }

    /// Probes the successor on the ring of hashes and a random member in turn.
    ///
    /// Random probes alone leave a dead member unprobed for 5 s in one case of 150, however
    /// large the fleet. The successor is probed every second time, so each member is probed
    /// by its predecessor within two intervals.
    pub(super) fn probe(&mut self) {
        self.probes += 1;
        let successor = self
            .probes
            .is_multiple_of(2)
            .then(|| self.successor())
            .flatten();
        let Some(target) = successor.or_else(|| self.next_in_round()) else {
            return;
        };
        let Some(address) = self.address(&target) else {
            return;
        };
        let digest = self.digest(Some(&target), self.settings.probe_rumours);
        let timeout = self.settings.probe_timeout;
        self.call(
            address,
            PeerMessage::Probe(digest),
            timeout,
            Purpose::Direct(target),
        );
    }

    /// Returns the next member on the ring of hashes that is not suspect.
    pub(super) fn successor(&self) -> Option<NodeId> {
        let place = hash(&self.local);
        self.members
            .iter()
            .filter(|(_, r)| r.state == MemberState::Alive)
            .min_by_key(|(name, _)| hash(name).wrapping_sub(place))
            .map(|(name, _)| name.clone())
    }

    /// Returns the next member of the round; each round has its own random order.
    pub(super) fn next_in_round(&mut self) -> Option<NodeId> {
        loop {
            while let Some(name) = self.ring.pop() {
                if self.address(&name).is_some() {
                    return Some(name);
                }
            }
            let names: Vec<NodeId> = self.others().map(|(name, _)| name.clone()).collect();
            if names.is_empty() {
                return None;
            }
            self.ring = names;
            self.ring.shuffle(&mut self.random);
        }
    }

    pub(super) fn relay(&mut self, now: Instant, target: &NodeId) {
        if self.relays.contains_key(target) {
            return;
        }
        let helpers: Vec<NodeId> = self
            .pick(self.settings.indirect_probes + 1)
            .into_iter()
            .filter(|name| name != target)
            .take(self.settings.indirect_probes)
            .collect();
        if helpers.is_empty() {
            self.suspect(now, target);
            return;
        }
        self.relays.insert(target.clone(), helpers.len());
        for helper in helpers {
            let Some(address) = self.address(&helper) else {
                continue;
            };
            let message = PeerMessage::Relay {
                digest: self.digest(Some(&helper), self.settings.probe_rumours),
                target: target.clone(),
            };
            let timeout = self.settings.relay_timeout;
            self.call(address, message, timeout, Purpose::Relayed(target.clone()));
        }
    }

    /// Tries to reach a node to join through, a dead member or a listed unknown node.
    pub(super) fn hello(&mut self, now: Instant) {
        if !self.is_joined() {
            self.next_hello = now + self.settings.join_interval;
            let nobody = self.seeds.is_empty() && self.listed.is_empty();
            let patient = now < self.started + self.settings.join_patience;
            if self.listed_at.is_some() && (nobody || !patient) {
                self.settle();
            }
        }
        let joining = !self.is_joined();
        let mut addresses: Vec<SmolStr> = self
            .members
            .values()
            .filter(|r| joining || r.state == MemberState::Dead)
            .map(|r| r.profile.peer.clone())
            .collect();
        let unknown = self
            .listed
            .iter()
            .filter(|(name, _)| !self.members.contains_key(*name));
        addresses.extend(unknown.map(|(_, address)| address.clone()));
        let seeds = self.seeds.iter().filter(|seed| {
            let mut live = self.others().map(|(_, record)| &record.profile.peer);
            **seed != self.profile.peer && live.all(|peer| peer != *seed)
        });
        addresses.extend(seeds.cloned());
        addresses.sort_unstable();
        addresses.dedup();
        if self.is_joined() {
            self.attempts = self.attempts.min(addresses.len()).saturating_sub(1);
            let interval = match self.attempts {
                0 => self.settings.reprobe_interval,
                _ => self.settings.join_interval,
            };
            // Jitter keeps nodes that lost the same members from retrying in step.
            self.next_hello = now + interval.mul_f64(self.random.random_range(0.5..1.5));
        }
        if !addresses.is_empty() {
            // In turn: a random choice may miss a live node for long among many dead ones.
            self.hello_turn = (self.hello_turn + 1) % addresses.len();
            let address = addresses.swap_remove(self.hello_turn);
            let all = !self.is_joined() || self.members.len() * 2 < self.listed.len();
            self.introduce(address, all);
        }
    }

    /// Introduces the node; the dead member at the address, if any, is told about its death.
    pub(super) fn introduce(&mut self, address: SmolStr, all: bool) {
        let to = self
            .members
            .iter()
            .find(|(_, r)| r.profile.peer == address)
            .map(|(name, _)| name.clone());
        let mut digest = self.digest(to.as_ref(), self.settings.probe_rumours);
        digest.updates.retain(|r| r.name != self.local);
        digest.updates.push(self.local_rumour());
        let timeout = self.settings.call_timeout;
        self.call(
            address,
            PeerMessage::Hello { digest, all },
            timeout,
            Purpose::Hello,
        );
    }
}
