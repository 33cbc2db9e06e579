//! Outgoing calls: direct probes, indirect probes and `Hello` messages.

use std::time::{Duration, Instant};

use rand::{Rng, seq::SliceRandom};
use siskinhook_types::{MemberState, NodeId};
use smol_str::SmolStr;

use super::{Call, CallId, CallPurpose, Membership, ring_position};
use crate::PeerMessage;

impl Membership {
    pub(super) fn enqueue_call(
        &mut self,
        address: SmolStr,
        message: PeerMessage,
        timeout: Duration,
        purpose: CallPurpose,
    ) {
        let id = self.allocate_call_id();
        self.calls.insert(id, purpose);
        self.outgoing.push(Call {
            id,
            address,
            message,
            timeout,
        });
    }

    /// Returns a new call ID. Also used for calls that do not concern membership.
    pub fn allocate_call_id(&mut self) -> CallId {
        self.next_call += 1;
        self.next_call
    }

    /// Probes the successor on the hash ring and a random member alternately.
    ///
    /// With random probes alone, a dead member stays unprobed for 5 probe intervals in one case of
    /// 150, regardless of the size of the fleet. Each member's predecessor on the ring probes it
    /// within two intervals.
    pub(super) fn probe_next(&mut self) {
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
        let digest = self.digest(Some(&target), self.settings.probe_updates);
        let timeout = self.settings.probe_timeout;
        self.enqueue_call(
            address,
            PeerMessage::Probe(digest),
            timeout,
            CallPurpose::DirectProbe(target),
        );
    }

    /// Returns the next alive member on the hash ring.
    pub(super) fn successor(&self) -> Option<NodeId> {
        let position = ring_position(&self.local);
        self.members
            .iter()
            .filter(|(_, r)| r.state == MemberState::Alive)
            .min_by_key(|(name, _)| ring_position(name).wrapping_sub(position))
            .map(|(name, _)| name.clone())
    }

    /// Returns the next member of the current probe round. Each round visits all live members in a
    /// new random order.
    pub(super) fn next_in_round(&mut self) -> Option<NodeId> {
        loop {
            while let Some(name) = self.probe_order.pop() {
                if self.address(&name).is_some() {
                    return Some(name);
                }
            }
            let names: Vec<NodeId> = self.live_members().map(|(name, _)| name.clone()).collect();
            if names.is_empty() {
                return None;
            }
            self.probe_order = names;
            self.probe_order.shuffle(&mut self.random);
        }
    }

    pub(super) fn probe_indirectly(&mut self, now: Instant, target: &NodeId) {
        if self.pending_relays.contains_key(target) {
            return;
        }
        let relays: Vec<NodeId> = self
            .random_members(self.settings.indirect_probes + 1)
            .into_iter()
            .filter(|name| name != target)
            .take(self.settings.indirect_probes)
            .collect();
        if relays.is_empty() {
            self.mark_suspect(now, target);
            return;
        }
        self.pending_relays.insert(target.clone(), relays.len());
        for relay in relays {
            let Some(address) = self.address(&relay) else {
                continue;
            };
            let message = PeerMessage::Relay {
                digest: self.digest(Some(&relay), self.settings.probe_updates),
                target: target.clone(),
            };
            let timeout = self.settings.relay_timeout;
            self.enqueue_call(
                address,
                message,
                timeout,
                CallPurpose::IndirectProbe(target.clone()),
            );
        }
    }

    /// Sends a `Hello` to the next address among dead members, listed VMs that are not members, and
    /// seeds; to any member while joining.
    pub(super) fn contact_next(&mut self, now: Instant) {
        if !self.is_joined() {
            self.next_hello = now + self.settings.join_interval;
            let no_addresses = self.seeds.is_empty() && self.listed.is_empty();
            let within_timeout = now < self.started + self.settings.join_timeout;
            if self.listed_at.is_some() && (no_addresses || !within_timeout) {
                self.confirm_contact();
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
            let mut live = self.live_members().map(|(_, record)| &record.profile.peer);
            **seed != self.profile.peer && live.all(|peer| peer != *seed)
        });
        addresses.extend(seeds.cloned());
        addresses.sort_unstable();
        addresses.dedup();
        if self.is_joined() {
            self.recovery_attempts = self
                .recovery_attempts
                .min(addresses.len())
                .saturating_sub(1);
            let interval = match self.recovery_attempts {
                0 => self.settings.reprobe_interval,
                _ => self.settings.join_interval,
            };
            // Jitter keeps nodes that lost the same members from retrying at the same time.
            self.next_hello = now + interval.mul_f64(self.random.random_range(0.5..1.5));
        }
        if !addresses.is_empty() {
            // Round robin: a random choice may miss a live node for long among many dead ones.
            self.hello_index = (self.hello_index + 1) % addresses.len();
            let address = addresses.swap_remove(self.hello_index);
            let all = !self.is_joined() || self.members.len() * 2 < self.listed.len();
            self.send_hello(address, all);
        }
    }

    /// Sends a `Hello` with an update about the local node. When the member at the address is not
    /// alive in the local view, the digest says so and the member can refute it.
    pub(super) fn send_hello(&mut self, address: SmolStr, all: bool) {
        let to = self
            .members
            .iter()
            .find(|(_, r)| r.profile.peer == address)
            .map(|(name, _)| name.clone());
        let mut digest = self.digest(to.as_ref(), self.settings.probe_updates);
        digest.updates.retain(|r| r.name != self.local);
        digest.updates.push(self.local_update());
        let timeout = self.settings.call_timeout;
        self.enqueue_call(
            address,
            PeerMessage::Hello { digest, all },
            timeout,
            CallPurpose::Hello,
        );
    }
}
