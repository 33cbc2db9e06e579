//! State transitions: suspicion, death and removal of members, and pauses of the local node.

use std::time::Instant;

use rand::Rng;
use siskinhook_types::{MemberState, NodeId};

use super::{Contact, Membership, RECOVERY_ATTEMPTS, RECOVERY_JITTER};

impl Membership {
    pub(super) fn confirm_contact(&mut self) {
        self.changed |= self.contact != Contact::Established;
        self.contact = Contact::Established;
    }

    /// Detects that the local process was paused, by a gap between events that is longer than the
    /// suspicion timeout.
    ///
    /// Other nodes may have declared the node dead meanwhile, and its own timers expired without
    /// the members having had a chance to answer. Therefore pending calls are discarded and
    /// suspicions restart.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap <= self.settings.suspicion_timeout {
            return;
        }
        self.calls.clear();
        self.pending_relays.clear();
        for end in self.suspects.values_mut() {
            *end = now + self.settings.suspicion_timeout;
        }
        self.next_probe = now;
        self.next_hello = now;
        self.record_pause(now, self.incarnation);
    }

    pub(super) fn record_pause(&mut self, now: Instant, incarnation: u64) {
        self.pauses += 1;
        if self.contact == Contact::Established {
            self.contact = Contact::Paused;
        }
        self.next_probe = self.next_probe.min(now);
        self.raise_incarnation(now, incarnation);
    }

    /// Sets the local incarnation to `above + 1` and queues an update about it.
    pub(super) fn raise_incarnation(&mut self, now: Instant, above: u64) {
        self.incarnation = above + 1;
        self.changed = true;
        self.queue_update(now, &self.local.clone());
    }

    /// Sets the state of a member and queues an update about it.
    pub(super) fn set_state(&mut self, now: Instant, name: &NodeId, state: MemberState) {
        let Some(record) = self.members.get_mut(name) else {
            return;
        };
        let returned = record.state == MemberState::Dead && state != MemberState::Dead;
        let leaving = record.leaving;
        record.state = state;
        record.state_since = now;
        if state == MemberState::Suspect {
            self.suspects
                .insert(name.clone(), now + self.settings.suspicion_timeout);
        } else {
            self.suspects.shift_remove(name);
        }
        if returned {
            if !self.probe_order.contains(name) {
                let index = self.random.random_range(0..=self.probe_order.len());
                self.probe_order.insert(index, name.clone());
            }
            // A network partition may have healed, so other dead members may be back as well.
            self.recovery_attempts = RECOVERY_ATTEMPTS;
            let wait = RECOVERY_JITTER.mul_f64(self.random.random());
            self.next_hello = self.next_hello.min(now + wait);
        }
        self.changed = true;
        if state == MemberState::Dead && !leaving {
            // Each node declares a death by its own timer, so the update is piggybacked but not
            // pushed.
            self.updates.insert(name.clone(), 0);
        } else {
            self.queue_update(now, name);
        }
    }

    pub(super) fn mark_suspect(&mut self, now: Instant, name: &NodeId) {
        let alive = self.members.get(name).map(|r| r.state) == Some(MemberState::Alive);
        if alive {
            self.set_state(now, name, MemberState::Suspect);
        }
    }

    pub(super) fn expire_suspects(&mut self, now: Instant) {
        let expired: Vec<NodeId> = self
            .suspects
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.set_state(now, name, MemberState::Dead);
        }
        if self.is_joined() && self.live_members().next().is_none() {
            // There is no other node left that could answer.
            self.confirm_contact();
        }
    }

    pub(super) fn forget_dead(&mut self, now: Instant) {
        let (settings, listed, listed_at) = (&self.settings, &self.listed, self.listed_at);
        let before = self.members.len();
        self.members.retain(|name, record| {
            let age = now.saturating_duration_since(record.state_since);
            let unlisted = listed_at
                .is_some_and(|at| at > record.state_since + settings.forget_unlisted)
                && !listed.contains_key(name);
            record.state != MemberState::Dead || !(unlisted || age > settings.forget_listed)
        });
        self.changed |= self.members.len() != before;
    }
}
