//! Membership after SWIM: probes, suspicion, refutation and gossip, without I/O or a clock.
//!
//! The caller passes every event with its time, carries out the [`Call`]s from
//! [`Membership::take_calls`] and reports each of them back exactly once.

mod gossip;
mod probing;
mod states;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use siphasher::sip::SipHasher13;
use siskinhook_types::{FleetView, Member, MemberState, NodeId, Revision, VmRecord};
use smol_str::SmolStr;

use crate::{FleetSettings, PeerMessage, Profile};

/// Time between two searches for dead members to forget.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// Time over which nodes spread their attempts to reach other dead members when one came back.
const RECOVERY_JITTER: Duration = Duration::from_secs(5);
/// Attempts to reach other dead members when one came back. Each further one that comes back
/// allows as many again, so the attempts go on while a cut heals.
const RECOVERY_ATTEMPTS: usize = 16;

/// Number of a call, unique on its node.
pub type CallId = u64;

/// A call to another node that the state machine asks for.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number under which the result is reported.
    pub id: CallId,
    /// Address of the receiver's control interface.
    pub address: SmolStr,
    /// The request.
    pub message: PeerMessage,
    /// Time after which the call has failed.
    pub timeout: Duration,
}

/// Answer to a request, as far as it is known without asking others.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The answer.
    Reply(PeerMessage),
    /// Another node must be probed first; its result goes to [`Membership::relayed`].
    Relay {
        /// Address of the node to probe.
        address: SmolStr,
        /// The probe.
        message: PeerMessage,
        /// Time after which the probe has failed.
        timeout: Duration,
    },
}

#[derive(Clone, Debug)]
struct MemberRecord {
    profile: Profile,
    state: MemberState,
    /// Kept apart from the state, so that a suspicion does not make a leaving node an owner.
    leaving: bool,
    incarnation: u64,
    /// Highest incarnation that the member itself stated. A higher one than the record's
    /// means that the gossip about it did not arrive.
    announced: u64,
    revision: Revision,
    /// Start of the state.
    state_since: Instant,
}

#[derive(Clone, Debug)]
enum CallPurpose {
    DirectProbe(NodeId),
    IndirectProbe(NodeId),
    Hello,
    Push,
}

/// Whether the node is going.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lifecycle {
    Running,
    Leaving,
    Stopped,
}

/// What the node has heard from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// No member list yet.
    Joining,
    /// Nothing since a pause.
    Paused,
    /// An answer, or there is nobody to ask.
    Established,
}

/// Members as one node knows them, and its part in keeping them up to date.
#[derive(Debug)]
pub struct Membership {
    settings: FleetSettings,
    random: SmallRng,
    local: NodeId,
    profile: Profile,
    incarnation: u64,
    revision: Option<Revision>,
    lifecycle: Lifecycle,
    contact: Contact,
    started: Instant,
    last_event: Instant,
    members: IndexMap<NodeId, MemberRecord>,
    /// Suspect members and the end of their time to refute.
    suspects: IndexMap<NodeId, Instant>,
    /// Unanswered relays by probed member.
    pending_relays: HashMap<NodeId, usize>,
    probe_order: Vec<NodeId>,
    calls: HashMap<CallId, CallPurpose>,
    next_call: CallId,
    outgoing: Vec<Call>,
    /// Members with transmissions left, and how often their rumour was sent.
    updates: IndexMap<NodeId, u32>,
    /// Members whose rumour has not been pushed yet.
    unpushed: Vec<NodeId>,
    push_at: Option<Instant>,
    pushed_at: Instant,
    next_probe: Instant,
    probes: u64,
    next_hello: Instant,
    hello_index: usize,
    /// Attempts left after a dead member came back.
    recovery_attempts: usize,
    /// Time of a second member list: nodes that start together are missing from the first.
    relist_at: Option<Instant>,
    next_cleanup: Instant,
    seeds: Vec<SmolStr>,
    listed: IndexMap<NodeId, SmolStr>,
    listed_at: Option<Instant>,
    changed: bool,
    pauses: u64,
}

impl Membership {
    /// Creates the membership of a node that knows no other one.
    ///
    /// `seeds` are addresses to join through besides those of the platform's list.
    #[must_use]
    pub fn new(
        settings: FleetSettings,
        local: NodeId,
        profile: Profile,
        seeds: Vec<SmolStr>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let first = settings.probe_interval.mul_f64(random.random());
        let hello_index = random.random_range(0..1024);
        Self {
            random,
            local,
            profile,
            incarnation: 0,
            revision: None,
            lifecycle: Lifecycle::Running,
            contact: Contact::Joining,
            started: now,
            last_event: now,
            members: IndexMap::new(),
            suspects: IndexMap::new(),
            pending_relays: HashMap::new(),
            probe_order: Vec::new(),
            calls: HashMap::new(),
            next_call: 0,
            outgoing: Vec::new(),
            updates: IndexMap::new(),
            unpushed: Vec::new(),
            push_at: None,
            pushed_at: now,
            next_probe: now + first,
            probes: 0,
            next_hello: now,
            hello_index,
            recovery_attempts: 0,
            relist_at: None,
            next_cleanup: now + CLEANUP_INTERVAL,
            seeds,
            listed: IndexMap::new(),
            listed_at: None,
            changed: true,
            pauses: 0,
            settings,
        }
    }

    /// Returns the members as the node sees them.
    ///
    /// The node itself is suspect until it has heard from others after its start or a pause.
    #[must_use]
    pub fn view(&self) -> FleetView {
        let mut members = IndexMap::with_capacity(self.members.len() + 1);
        members.insert(self.local.clone(), self.local_member());
        members.extend(self.members.iter().map(|(name, record)| {
            let state = match record.state {
                MemberState::Dead => MemberState::Dead,
                _ if record.leaving => MemberState::Leaving,
                state => state,
            };
            let member = member(
                name,
                &record.profile,
                state,
                record.incarnation,
                record.revision,
            );
            (name.clone(), member)
        }));
        FleetView {
            local: self.local.clone(),
            members,
        }
    }

    fn local_member(&self) -> Member {
        let state = if self.lifecycle > Lifecycle::Running {
            MemberState::Leaving
        } else if self.has_contact() {
            MemberState::Alive
        } else {
            MemberState::Suspect
        };
        let revision = self.revision.unwrap_or_default();
        member(
            &self.local,
            &self.profile,
            state,
            self.incarnation,
            revision,
        )
    }

    /// Returns whether the view changed since the last call of this function.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the calls to carry out.
    pub fn take_calls(&mut self) -> Vec<Call> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns whether the node has heard from others since its start or its last pause.
    #[must_use]
    pub fn has_contact(&self) -> bool {
        self.contact == Contact::Established
    }

    /// Returns whether the node has a member list or nobody to ask for one.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.contact != Contact::Joining
    }

    /// Returns how often the node was paused, or was held dead by others while it lived.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    /// Returns the number of members that are not dead, the local one included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        1 + self.live_members().count()
    }

    /// Returns the address of a member that is not dead.
    #[must_use]
    pub fn address(&self, name: &NodeId) -> Option<SmolStr> {
        let record = self.members.get(name)?;
        (record.state != MemberState::Dead).then(|| record.profile.peer.clone())
    }

    /// Sets the catalogue revision that digests carry.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = Some(revision);
    }

    /// Returns up to `count` different members that are not dead, in random order.
    pub fn random_members(&mut self, count: usize) -> Vec<NodeId> {
        let names: Vec<&NodeId> = self
            .members
            .iter()
            .filter(|(_, r)| r.state != MemberState::Dead)
            .map(|(name, _)| name)
            .collect();
        names
            .choose_multiple(&mut self.random, count)
            .map(|&name| name.clone())
            .collect()
    }

    /// Returns the time of the next [`Membership::tick`].
    #[must_use]
    pub fn deadline(&self) -> Instant {
        let suspects = self.suspects.values().copied().min();
        [
            Some(self.next_probe),
            Some(self.next_hello),
            self.push_at,
            self.relist_at,
            suspects,
        ]
        .into_iter()
        .flatten()
        .fold(self.next_cleanup, Instant::min)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        self.detect_pause(now);
        if self.lifecycle == Lifecycle::Stopped {
            self.send_push(now);
            self.next_probe = now + self.settings.probe_interval;
            self.next_hello = self.next_probe;
            self.next_cleanup = now + CLEANUP_INTERVAL;
            return;
        }
        self.expire_suspects(now);
        if self.next_hello <= now {
            self.contact_next(now);
        }
        if self.next_probe <= now {
            self.next_probe = now + self.settings.probe_interval;
            self.probe_next();
        }
        if self.relist_at.is_some_and(|at| at <= now) {
            self.relist_at = None;
            let helper = self.random_members(1).pop();
            if let Some(address) = helper.and_then(|name| self.address(&name)) {
                self.send_hello(address, true);
            }
        }
        if self.push_at.is_some_and(|at| at <= now) {
            self.send_push(now);
        }
        if self.next_cleanup <= now {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.forget_dead(now);
        }
    }

    /// Answers a request; messages that concern the catalogue only count as contact.
    pub fn handle_request(&mut self, now: Instant, message: &PeerMessage) -> Answer {
        self.detect_pause(now);
        let from = message.digest().map(|digest| {
            self.apply_digest(now, digest);
            digest.from.clone()
        });
        match message {
            PeerMessage::Relay { target, .. } => match self.address(target) {
                Some(address) => {
                    let digest = self.digest(Some(target), self.settings.probe_updates);
                    Answer::Relay {
                        address,
                        message: PeerMessage::Probe(digest),
                        timeout: self.settings.probe_timeout,
                    }
                }
                None => Answer::Reply(self.relay_completed(now, from.as_ref(), target, None)),
            },
            PeerMessage::Hello { all, .. } => {
                // The sender's own record lets a fresh VM raise its incarnation above that of a
                // former node of its name.
                let mut members = vec![self.local_update()];
                let known = self.members.keys();
                let requested = known.filter(|name| *all || Some(*name) == from.as_ref());
                members.extend(requested.filter_map(|name| self.member_update(name, true)));
                Answer::Reply(PeerMessage::Members {
                    digest: self.reply_digest(from.as_ref()),
                    members,
                })
            }
            _ => Answer::Reply(PeerMessage::Ack(self.reply_digest(from.as_ref()))),
        }
    }

    /// Makes the answer to a relay request from the result of the probe.
    pub fn relay_completed(
        &mut self,
        now: Instant,
        from: Option<&NodeId>,
        target: &NodeId,
        result: Option<&PeerMessage>,
    ) -> PeerMessage {
        let digest = result.and_then(PeerMessage::digest);
        if let Some(digest) = digest {
            self.apply_digest(now, digest);
        }
        let reply = self.reply_digest(from);
        if digest.is_some_and(|d| d.from == *target) {
            PeerMessage::Ack(reply)
        } else {
            PeerMessage::Unreachable(reply)
        }
    }

    /// Takes the result of a call; `None` when it failed or timed out.
    pub fn call_completed(&mut self, now: Instant, call: CallId, result: Option<&PeerMessage>) {
        self.detect_pause(now);
        let digest = result.and_then(PeerMessage::digest);
        if let Some(digest) = digest {
            self.apply_digest(now, digest);
        }
        // Calls from before a pause are gone: their age says nothing about the members.
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        if digest.is_some() && self.is_joined() {
            self.confirm_contact();
        }
        match purpose {
            CallPurpose::DirectProbe(target) => {
                if digest.is_none_or(|d| d.from != target) {
                    self.probe_indirectly(now, &target);
                } else if let Some(record) = self.members.get(&target)
                    && record.announced > record.incarnation
                {
                    // Its answer to an introduction has its own rumour.
                    self.send_hello(record.profile.peer.clone(), false);
                }
            }
            CallPurpose::IndirectProbe(target) => {
                if matches!(result, Some(PeerMessage::Ack(_))) {
                    self.pending_relays.remove(&target);
                } else if let Some(left) = self.pending_relays.get_mut(&target) {
                    *left -= 1;
                    if *left == 0 {
                        self.pending_relays.remove(&target);
                        self.mark_suspect(now, &target);
                    }
                }
            }
            CallPurpose::Hello => {
                if let Some(PeerMessage::Members { members, .. }) = result {
                    for update in members {
                        self.apply_update(now, update, false);
                    }
                    if self.contact == Contact::Joining {
                        self.relist_at = Some(now + self.settings.join_timeout);
                    }
                    self.confirm_contact();
                }
            }
            CallPurpose::Push => {}
        }
    }

    /// Takes the platform's list of VMs.
    pub fn observe_list(&mut self, now: Instant, vms: &[VmRecord]) {
        self.detect_pause(now);
        self.listed = vms
            .iter()
            .filter(|vm| vm.name != self.local)
            .map(|vm| (vm.name.clone(), vm.address.clone()))
            .collect();
        self.listed_at = Some(now);
        if !self.is_joined() {
            self.next_hello = now;
        }
    }

    /// Announces that the node is leaving.
    pub fn leave(&mut self, now: Instant) {
        if self.lifecycle == Lifecycle::Running {
            self.lifecycle = Lifecycle::Leaving;
            self.raise_incarnation(now, self.incarnation);
        }
    }

    /// Takes the announcement of [`Membership::leave`] back; a stopped node stays gone.
    pub fn cancel_leave(&mut self, now: Instant) {
        if self.lifecycle == Lifecycle::Leaving {
            self.lifecycle = Lifecycle::Running;
            self.raise_incarnation(now, self.incarnation);
        }
    }

    /// Announces that the node is gone. Members that know it as leaving drop it at once.
    pub fn stop(&mut self, now: Instant) {
        self.leave(now);
        self.lifecycle = Lifecycle::Stopped;
        self.suspects.clear();
        self.relist_at = None;
        self.push_at = Some(now);
        self.queue_update(now, &self.local.clone());
    }

    fn live_members(&self) -> impl Iterator<Item = (&NodeId, &MemberRecord)> {
        self.members
            .iter()
            .filter(|(_, r)| r.state != MemberState::Dead)
    }
}

fn member(
    name: &NodeId,
    profile: &Profile,
    state: MemberState,
    incarnation: u64,
    revision: Revision,
) -> Member {
    Member {
        name: name.clone(),
        region: profile.region.clone(),
        zone: profile.zone.clone(),
        peer: profile.peer.clone(),
        link: profile.link.clone(),
        state,
        incarnation,
        revision,
    }
}

/// Place of a member on the ring of hashes.
fn ring_position(name: &NodeId) -> u64 {
    SipHasher13::new().hash(name.as_bytes())
}
