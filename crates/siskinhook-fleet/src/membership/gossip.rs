//! Gossip: builds, sends and applies updates about members.

use std::time::{Duration, Instant};

use siskinhook_types::{MemberState, NodeId};

use super::{CallPurpose, Lifecycle, MemberRecord, Membership};
use crate::{Digest, MemberUpdate, PeerMessage};

impl Membership {
    /// Builds a digest with at most `limit` queued updates. When the receiver is not alive in the
    /// local view, its own update comes first, so that it can refute it.
    pub fn digest(&mut self, to: Option<&NodeId>, limit: usize) -> Digest {
        let correction = to.filter(|name| {
            self.members
                .get(*name)
                .is_some_and(|r| r.state != MemberState::Alive)
        });
        let mut updates: Vec<MemberUpdate> = correction
            .and_then(|name| self.member_update(name, false))
            .into_iter()
            .collect();
        updates.extend(self.take_updates(limit));
        Digest {
            from: self.local.clone(),
            incarnation: self.incarnation,
            revision: self.revision,
            wants_hello: false,
            updates,
        }
    }

    /// Builds the digest of an answer. Sets `wants_hello` when the sender's current incarnation is
    /// not known, so that the sender introduces itself.
    pub(super) fn reply_digest(&mut self, from: Option<&NodeId>) -> Digest {
        let mut digest = self.digest(from, self.settings.probe_updates);
        digest.wants_hello = from.is_some_and(|name| {
            let record = self.members.get(name);
            record.is_none_or(|r| r.announced > r.incarnation)
        });
        digest
    }

    pub(super) fn queue_update(&mut self, now: Instant, name: &NodeId) {
        self.updates.insert(name.clone(), 0);
        if !self.unpushed.contains(name) {
            self.unpushed.push(name.clone());
        }
        let earliest = self.pushed_at + self.settings.push_interval;
        let at = earliest.max(now + self.settings.push_delay);
        self.push_at.get_or_insert(at);
    }

    pub(super) fn apply_digest(&mut self, now: Instant, digest: &Digest) {
        for update in &digest.updates {
            self.apply_update(now, update, true);
        }
        if let Some(record) = self.members.get_mut(&digest.from) {
            record.revision = record.revision.max(digest.revision.unwrap_or_default());
            record.announced = record.announced.max(digest.incarnation);
            if digest.wants_hello {
                let address = record.profile.peer.clone();
                self.send_hello(address, false);
            }
        }
    }

    pub(super) fn apply_update(&mut self, now: Instant, update: &MemberUpdate, forward: bool) {
        if update.name == self.local {
            self.apply_local_update(now, update);
            return;
        }
        let Some(record) = self.members.get_mut(&update.name) else {
            self.add_member(now, update, forward);
            return;
        };
        let newer = update.incarnation > record.incarnation;
        let same = update.incarnation == record.incarnation;
        let state = match update.state {
            MemberState::Alive | MemberState::Leaving if newer => MemberState::Alive,
            MemberState::Dead if record.state == MemberState::Dead => {
                record.incarnation = record.incarnation.max(update.incarnation);
                self.count_transmission(&update.name);
                return;
            }
            MemberState::Dead if record.leaving && (newer || same) => MemberState::Dead,
            // A reported death only makes the member suspect, because a stale report between
            // regions that lost contact would remove live members. The member has
            // `time_to_refute` to raise its incarnation.
            MemberState::Suspect | MemberState::Dead
                if newer || (same && record.state == MemberState::Alive) =>
            {
                MemberState::Suspect
            }
            _ => {
                if same {
                    // Other nodes spread the update too, so this node needs to send it less often.
                    self.count_transmission(&update.name);
                }
                return;
            }
        };
        record.incarnation = update.incarnation;
        if state == MemberState::Alive {
            record.leaving = update.state == MemberState::Leaving;
            if let Some(profile) = &update.profile {
                record.profile = profile.clone();
            }
        }
        self.set_state(now, &update.name, state);
        if state == MemberState::Suspect {
            let end = now + self.time_to_refute(update);
            self.suspects.insert(update.name.clone(), end);
        }
    }

    /// Returns how long a reported member stays suspect before it is declared dead.
    ///
    /// The remaining time of the sender counts, so a late report does not restart the whole
    /// timeout. The minimum is half of the timeout, because a refutation may be in flight.
    pub(super) fn time_to_refute(&self, update: &MemberUpdate) -> Duration {
        let full = self.settings.suspicion_timeout;
        let left = match update.state {
            MemberState::Dead => Duration::ZERO,
            _ => update.remaining.map_or(full, Duration::from_millis),
        };
        left.clamp(full / 2, full)
    }

    /// Refutes updates about the local node that are worse than its actual state, by raising its
    /// incarnation. A new VM thereby also exceeds the incarnations of a former VM of its name.
    pub(super) fn apply_local_update(&mut self, now: Instant, update: &MemberUpdate) {
        if self.lifecycle == Lifecycle::Stopped || update.incarnation < self.incarnation {
            return;
        }
        let newer = update.incarnation > self.incarnation;
        match update.state {
            MemberState::Alive | MemberState::Leaving => {
                let other = update.profile.as_ref().is_some_and(|p| *p != self.profile);
                if newer || other {
                    self.raise_incarnation(now, update.incarnation);
                }
            }
            MemberState::Suspect => self.raise_incarnation(now, update.incarnation),
            MemberState::Dead => self.record_pause(now, update.incarnation),
        }
    }

    /// Adds a member that was not known before. `forward` is false for an update from a member
    /// list, which is not gossiped again.
    pub(super) fn add_member(&mut self, now: Instant, update: &MemberUpdate, forward: bool) {
        let Some(profile) = &update.profile else {
            return;
        };
        let name = &update.name;
        let record = MemberRecord {
            profile: profile.clone(),
            state: MemberState::Dead,
            leaving: update.state == MemberState::Leaving,
            incarnation: update.incarnation,
            announced: 0,
            revision: 0,
            state_since: now,
        };
        self.members.insert(name.clone(), record);
        let state = match update.state {
            MemberState::Leaving => MemberState::Alive,
            state => state,
        };
        if state != MemberState::Dead {
            self.set_state(now, name, state);
        }
        if !forward {
            // The update comes from a member list, so the node that sent it has it already.
            self.updates.shift_remove(name);
            self.unpushed.retain(|n| n != name);
        }
        self.changed = true;
    }

    /// Pushes the updates that were queued since the last push to random members.
    pub(super) fn send_push(&mut self, now: Instant) {
        self.push_at = None;
        let count = self.unpushed.len().min(self.settings.push_updates);
        let names: Vec<NodeId> = self.unpushed.drain(..count).collect();
        let updates: Vec<MemberUpdate> = names
            .iter()
            .filter_map(|n| self.member_update(n, false))
            .collect();
        if updates.is_empty() {
            return;
        }
        self.pushed_at = now;
        if !self.unpushed.is_empty() {
            self.push_at = Some(now + self.settings.push_interval);
        }
        for target in self.random_members(self.settings.fan_out) {
            let Some(address) = self.address(&target) else {
                continue;
            };
            let digest = Digest {
                from: self.local.clone(),
                incarnation: self.incarnation,
                revision: self.revision,
                wants_hello: false,
                updates: updates.clone(),
            };
            let message = PeerMessage::Gossip {
                digest,
                changes: Vec::new(),
            };
            self.enqueue_call(
                address,
                message,
                self.settings.call_timeout,
                CallPurpose::Push,
            );
        }
    }

    /// Returns up to `limit` updates, those sent least often first, and counts a transmission of
    /// each.
    pub(super) fn take_updates(&mut self, limit: usize) -> Vec<MemberUpdate> {
        let mut order: Vec<(u32, NodeId)> = self
            .updates
            .iter()
            .map(|(name, sent)| (*sent, name.clone()))
            .collect();
        order.sort_by_key(|(sent, _)| *sent);
        order.truncate(limit);
        let mut updates = Vec::with_capacity(order.len());
        for (_, name) in order {
            updates.extend(self.member_update(&name, false));
            self.count_transmission(&name);
        }
        updates
    }

    /// Counts a transmission on a probe or answer; the update is dropped at the limit. Pushes do
    /// not count: in a small fleet they would use up the transmissions before the update reaches
    /// the nodes that all pushes missed.
    pub(super) fn count_transmission(&mut self, name: &NodeId) {
        let limit = self.settings.retransmit_factor * (self.members.len() + 2).ilog2();
        if let Some(sent) = self.updates.get_mut(name) {
            *sent += 1;
            if *sent >= limit {
                self.updates.swap_remove(name);
            }
        }
    }

    pub(super) fn local_update(&self) -> MemberUpdate {
        let state = match self.lifecycle {
            Lifecycle::Running => MemberState::Alive,
            Lifecycle::Leaving => MemberState::Leaving,
            Lifecycle::Stopped => MemberState::Dead,
        };
        MemberUpdate {
            name: self.local.clone(),
            incarnation: self.incarnation,
            state,
            remaining: None,
            profile: Some(self.profile.clone()),
        }
    }

    pub(super) fn member_update(&self, name: &NodeId, profile: bool) -> Option<MemberUpdate> {
        if *name == self.local {
            return Some(self.local_update());
        }
        let record = self.members.get(name)?;
        let state = match record.state {
            MemberState::Alive if record.leaving => MemberState::Leaving,
            state => state,
        };
        let remaining = self.suspects.get(name).map(|end| {
            let left = end.saturating_duration_since(self.last_event);
            u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
        });
        Some(MemberUpdate {
            name: name.clone(),
            incarnation: record.incarnation,
            state,
            remaining,
            profile: (profile || record.state == MemberState::Alive)
                .then(|| record.profile.clone()),
        })
    }
}
