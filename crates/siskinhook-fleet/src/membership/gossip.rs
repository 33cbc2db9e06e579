//! Rumours: what a node tells and believes about members.

use std::time::{Duration, Instant};

use siskinhook_types::{MemberState, NodeId};

use super::{Departure, Membership, Purpose, Record};
use crate::{Digest, PeerMessage, MemberUpdate};

impl Membership {
    /// Builds a digest for a member, with corrections of what it should refute first.
    pub fn digest(&mut self, to: Option<&NodeId>, limit: usize) -> Digest {
        let correction = to.filter(|name| {
            self.members
                .get(*name)
                .is_some_and(|r| r.state != MemberState::Alive)
        });
        let mut updates: Vec<MemberUpdate> = correction
            .and_then(|name| self.rumour(name, false))
            .into_iter()
            .collect();
        updates.extend(self.take_rumours(limit));
        Digest {
            from: self.local.clone(),
            incarnation: self.incarnation,
            revision: self.revision,
            unknown: false,
            updates,
        }
    }

    /// Digest of an answer; asks a sender whose incarnation is not known to introduce itself.
    pub(super) fn reply_digest(&mut self, from: Option<&NodeId>) -> Digest {
        let mut digest = self.digest(from, self.settings.probe_rumours);
        digest.unknown = from.is_some_and(|name| {
            let record = self.members.get(name);
            record.is_none_or(|r| r.stated > r.incarnation)
        });
        digest
    }

    pub(super) fn spread(&mut self, now: Instant, name: &NodeId) {
        self.rumours.insert(name.clone(), 0);
        if !self.unpushed.contains(name) {
            self.unpushed.push(name.clone());
        }
        let earliest = self.pushed_at + self.settings.push_spacing;
        let at = earliest.max(now + self.settings.push_delay);
        self.push_at.get_or_insert(at);
    }

    pub(super) fn absorb(&mut self, now: Instant, digest: &Digest) {
        for rumour in &digest.updates {
            self.apply(now, rumour, true);
        }
        if let Some(record) = self.members.get_mut(&digest.from) {
            record.revision = record.revision.max(digest.revision.unwrap_or_default());
            record.stated = record.stated.max(digest.incarnation);
            if digest.unknown {
                let address = record.profile.peer.clone();
                self.introduce(address, false);
            }
        }
    }

    pub(super) fn apply(&mut self, now: Instant, rumour: &MemberUpdate, spread: bool) {
        if rumour.name == self.local {
            self.apply_local(now, rumour);
            return;
        }
        let Some(record) = self.members.get_mut(&rumour.name) else {
            self.add(now, rumour, spread);
            return;
        };
        let newer = rumour.incarnation > record.incarnation;
        let same = rumour.incarnation == record.incarnation;
        let state = match rumour.state {
            MemberState::Alive | MemberState::Leaving if newer => MemberState::Alive,
            MemberState::Dead if record.state == MemberState::Dead => {
                record.incarnation = record.incarnation.max(rumour.incarnation);
                self.count_transmission(&rumour.name);
                return;
            }
            MemberState::Dead if record.leaving && (newer || same) => MemberState::Dead,
            // Nobody takes another node's word for a death: between regions that lost each
            // other, a stale word would remove live members. The member has time to refute.
            // See also `time_to_refute`.
            MemberState::Suspect | MemberState::Dead
                if newer || (same && record.state == MemberState::Alive) =>
            {
                MemberState::Suspect
            }
            _ => {
                if same {
                    // Others spread it as well, so fewer transmissions of this node suffice.
                    self.count_transmission(&rumour.name);
                }
                return;
            }
        };
        record.incarnation = rumour.incarnation;
        if state == MemberState::Alive {
            record.leaving = rumour.state == MemberState::Leaving;
            if let Some(profile) = &rumour.profile {
                record.profile = profile.clone();
            }
        }
        self.enter(now, &rumour.name, state);
        if state == MemberState::Suspect {
            let end = now + self.time_to_refute(rumour);
            self.suspects.insert(rumour.name.clone(), end);
        }
    }

    /// A node that hears late of a suspicion, or of a death, does not grant the whole time
    /// again. Half of it is the least, because a refutation may be on its way.
    pub(super) fn time_to_refute(&self, rumour: &MemberUpdate) -> Duration {
        let whole = self.settings.suspicion_timeout;
        let left = match rumour.state {
            MemberState::Dead => Duration::ZERO,
            _ => rumour.remaining.map_or(whole, Duration::from_millis),
        };
        left.clamp(whole / 2, whole)
    }

    /// Refutes rumours about the node itself that are worse than the truth. This is also how
    /// a fresh VM gets past the incarnations of a former node of its name.
    pub(super) fn apply_local(&mut self, now: Instant, rumour: &MemberUpdate) {
        if self.departure == Departure::Stopped || rumour.incarnation < self.incarnation {
            return;
        }
        let newer = rumour.incarnation > self.incarnation;
        match rumour.state {
            MemberState::Alive | MemberState::Leaving => {
                let other = rumour.profile.as_ref().is_some_and(|p| *p != self.profile);
                if newer || other {
                    self.raise(now, rumour.incarnation);
                }
            }
            MemberState::Suspect => self.raise(now, rumour.incarnation),
            MemberState::Dead => self.interrupted(now, rumour.incarnation),
        }
    }

    pub(super) fn add(&mut self, now: Instant, rumour: &MemberUpdate, spread: bool) {
        let Some(profile) = &rumour.profile else {
            return;
        };
        let name = &rumour.name;
        let record = Record {
            profile: profile.clone(),
            state: MemberState::Dead,
            leaving: rumour.state == MemberState::Leaving,
            incarnation: rumour.incarnation,
            stated: 0,
            revision: 0,
            since: now,
        };
        self.members.insert(name.clone(), record);
        let state = match rumour.state {
            MemberState::Leaving => MemberState::Alive,
            state => state,
        };
        if state != MemberState::Dead {
            self.enter(now, name, state);
        }
        if !spread {
            // The members of a list are known to the node that sent it.
            self.rumours.shift_remove(name);
            self.unpushed.retain(|n| n != name);
        }
        self.changed = true;
    }

    /// Pushes what was learnt since the last push.
    pub(super) fn push(&mut self, now: Instant) {
        self.push_at = None;
        let count = self.unpushed.len().min(self.settings.push_rumours);
        let names: Vec<NodeId> = self.unpushed.drain(..count).collect();
        let rumours: Vec<MemberUpdate> = names.iter().filter_map(|n| self.rumour(n, false)).collect();
        if rumours.is_empty() {
            return;
        }
        self.pushed_at = now;
        if !self.unpushed.is_empty() {
            self.push_at = Some(now + self.settings.push_spacing);
        }
        for target in self.pick(self.settings.fan_out) {
            let Some(address) = self.address(&target) else {
                continue;
            };
            let digest = Digest {
                from: self.local.clone(),
                incarnation: self.incarnation,
                revision: self.revision,
                unknown: false,
                updates: rumours.clone(),
            };
            let message = PeerMessage::Gossip {
                digest,
                changes: Vec::new(),
            };
            self.call(address, message, self.settings.call_timeout, Purpose::Push);
        }
    }

    /// Takes the rumours that were sent least often.
    pub(super) fn take_rumours(&mut self, limit: usize) -> Vec<MemberUpdate> {
        let mut order: Vec<(u32, NodeId)> = self
            .rumours
            .iter()
            .map(|(name, sent)| (*sent, name.clone()))
            .collect();
        order.sort_by_key(|(sent, _)| *sent);
        order.truncate(limit);
        let mut rumours = Vec::with_capacity(order.len());
        for (_, name) in order {
            rumours.extend(self.rumour(&name, false));
            self.count_transmission(&name);
        }
        rumours
    }

    /// Counts a transmission on a probe or answer. Pushes do not count: in a small fleet they
    /// would leave none for the nodes that all pushes missed.
    pub(super) fn count_transmission(&mut self, name: &NodeId) {
        let limit = self.settings.retransmits * (self.members.len() + 2).ilog2();
        if let Some(sent) = self.rumours.get_mut(name) {
            *sent += 1;
            if *sent >= limit {
                self.rumours.swap_remove(name);
            }
        }
    }

    pub(super) fn local_rumour(&self) -> MemberUpdate {
        let state = match self.departure {
            Departure::Staying => MemberState::Alive,
            Departure::Leaving => MemberState::Leaving,
            Departure::Stopped => MemberState::Dead,
        };
        MemberUpdate {
            name: self.local.clone(),
            incarnation: self.incarnation,
            state,
            remaining: None,
            profile: Some(self.profile.clone()),
        }
    }

    pub(super) fn rumour(&self, name: &NodeId, profile: bool) -> Option<MemberUpdate> {
        if *name == self.local {
            return Some(self.local_rumour());
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
