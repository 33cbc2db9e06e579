//! States of members: suspicion, death, pauses of the node itself, forgetting.

use std::time::Instant;

use rand::Rng;
use siskinhook_types::{MemberState, NodeId};

use super::{Contact, Membership, REVIVAL_ATTEMPTS, REVIVAL_SPREAD};

impl Membership {
    pub(super) fn settle(&mut self) {
        self.changed |= self.contact != Contact::Settled;
        self.contact = Contact::Settled;
    }

    /// A gap in the node's own clock means that others may have declared it dead, and that
    /// the age of its suspicions and calls says nothing.
    pub(super) fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap <= self.settings.suspicion_timeout {
            return;
        }
        self.calls.clear();
        self.relays.clear();
        for end in self.suspects.values_mut() {
            *end = now + self.settings.suspicion_timeout;
        }
        self.next_probe = now;
        self.next_hello = now;
        self.interrupted(now, self.incarnation);
    }

    pub(super) fn interrupted(&mut self, now: Instant, incarnation: u64) {
        self.pauses += 1;
        if self.contact == Contact::Settled {
            self.contact = Contact::Paused;
        }
        self.next_probe = self.next_probe.min(now);
        self.raise(now, incarnation);
    }

    /// Raises the own incarnation above `above` and spreads it.
    pub(super) fn raise(&mut self, now: Instant, above: u64) {
        self.incarnation = above + 1;
        self.changed = true;
        self.spread(now, &self.local.clone());
    }

    /// Puts a member into a state and spreads it.
    pub(super) fn enter(&mut self, now: Instant, name: &NodeId, state: MemberState) {
        let Some(record) = self.members.get_mut(name) else {
            return;
        };
        let returned = record.state == MemberState::Dead && state != MemberState::Dead;
        let leaving = record.leaving;
        record.state = state;
        record.since = now;
        if state == MemberState::Suspect {
            self.suspects
                .insert(name.clone(), now + self.settings.suspicion_timeout);
        } else {
            self.suspects.shift_remove(name);
        }
        if returned {
            if !self.ring.contains(name) {
                let place = self.random.random_range(0..=self.ring.len());
                self.ring.insert(place, name.clone());
            }
            // Other dead members may be back as well: a cut may have healed.
            self.attempts = REVIVAL_ATTEMPTS;
            let wait = REVIVAL_SPREAD.mul_f64(self.random.random());
            self.next_hello = self.next_hello.min(now + wait);
        }
        self.changed = true;
        if state == MemberState::Dead && !leaving {
            // Every node's own timer decides on a death, so the word of it is not urgent.
            self.rumours.insert(name.clone(), 0);
        } else {
            self.spread(now, name);
        }
    }

    pub(super) fn suspect(&mut self, now: Instant, name: &NodeId) {
        let alive = self.members.get(name).map(|r| r.state) == Some(MemberState::Alive);
        if alive {
            self.enter(now, name, MemberState::Suspect);
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
            self.enter(now, name, MemberState::Dead);
        }
        if self.is_joined() && self.others().next().is_none() {
            // Nobody is left to hear from.
            self.settle();
        }
    }

    pub(super) fn forget(&mut self, now: Instant) {
        let (settings, listed, listed_at) = (&self.settings, &self.listed, self.listed_at);
        let before = self.members.len();
        self.members.retain(|name, record| {
            let age = now.saturating_duration_since(record.since);
            let unlisted = listed_at.is_some_and(|at| at > record.since + settings.forget_unlisted)
                && !listed.contains_key(name);
            record.state != MemberState::Dead || !(unlisted || age > settings.forget_listed)
        });
        self.changed |= self.members.len() != before;
    }
}
