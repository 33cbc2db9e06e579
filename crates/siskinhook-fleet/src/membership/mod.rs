//! Membership state machine based on the SWIM protocol: probes, suspicion, refutation and gossip.
//!
//! It does no I/O and reads no clock. The caller passes in events with their time, executes the
//! [`Call`]s from [`Membership::take_calls`] and reports the result of each call exactly once.

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

/// Time between two removals of old dead members.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// Longest random delay before other dead members are contacted when one came back. Spreads the
/// attempts of all nodes.
const RECOVERY_JITTER: Duration = Duration::from_secs(5);
/// Number of attempts, at a short interval, to reach other dead members when one came back. The
/// count restarts with each member that returns, so the attempts continue while a network
/// partition heals.
const RECOVERY_ATTEMPTS: usize = 16;

/// ID of a call, unique on its node.
pub type CallId = u64;

/// A call to another node that the caller of the state machine has to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// ID to report the result with.
    pub id: CallId,
    /// Address of the receiver's control interface.
    pub address: SmolStr,
    /// Request to send.
    pub message: PeerMessage,
    /// Time after which the call counts as failed.
    pub timeout: Duration,
}

/// Result of a request: an answer, or a probe that has to be made first.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Message to answer with.
    Reply(PeerMessage),
    /// Another node must be probed first; pass the result to [`Membership::relay_completed`].
    Relay {
        /// Address of the node to probe.
        address: SmolStr,
        /// Probe to send.
        message: PeerMessage,
        /// Time after which the probe counts as failed.
        timeout: Duration,
    },
}

#[derive(Clone, Debug)]
struct MemberRecord {
    profile: Profile,
    state: MemberState,
    /// Separate from the state, so that a suspected leaving node does not become an owner again.
    leaving: bool,
    incarnation: u64,
    /// Highest incarnation that the member itself sent in a digest. When it exceeds `incarnation`,
    /// the gossip about the member was missed.
    announced: u64,
    revision: Revision,
    /// Time at which the member entered its state.
    state_since: Instant,
}

#[derive(Clone, Debug)]
enum CallPurpose {
    DirectProbe(NodeId),
    IndirectProbe(NodeId),
    Hello,
    Push,
}

/// Lifecycle of the local node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lifecycle {
    Running,
    Leaving,
    Stopped,
}

/// Contact of the local node with other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// No member list received yet.
    Joining,
    /// No answer received since a pause.
    Paused,
    /// Another node has answered, or no other node can be reached.
    Established,
}

/// Membership state machine of one node: its view of the members and the pending calls.
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
    /// Suspect members and the time at which each is declared dead.
    suspects: IndexMap<NodeId, Instant>,
    /// Number of unanswered indirect probes by target.
    pending_relays: HashMap<NodeId, usize>,
    probe_order: Vec<NodeId>,
    calls: HashMap<CallId, CallPurpose>,
    next_call: CallId,
    outgoing: Vec<Call>,
    /// Members whose update is still piggybacked, with the number of transmissions so far.
    updates: IndexMap<NodeId, u32>,
    /// Members whose update has not been pushed yet.
    unpushed: Vec<NodeId>,
    push_at: Option<Instant>,
    pushed_at: Instant,
    next_probe: Instant,
    probes: u64,
    next_hello: Instant,
    hello_index: usize,
    /// Remaining attempts at a short interval after a dead member came back.
    recovery_attempts: usize,
    /// Time to request a second member list. Nodes that start together are missing from the first.
    relist_at: Option<Instant>,
    next_cleanup: Instant,
    seeds: Vec<SmolStr>,
    listed: IndexMap<NodeId, SmolStr>,
    listed_at: Option<Instant>,
    changed: bool,
    pauses: u64,
}

impl Membership {
    /// Creates the membership of a node that knows no other node.
    ///
    /// `seeds` are addresses to join through, in addition to the platform's list of VMs. `seed`
    /// initializes the random number generator.
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

    /// Returns the local view of the members.
    ///
    /// The local node is suspect until another node has answered after its start or a pause.
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

    /// Returns whether the view has changed since the last call of this method.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the calls to make.
    pub fn take_calls(&mut self) -> Vec<Call> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns whether another node has answered since the start or the last pause, or no other
    /// node can be reached.
    #[must_use]
    pub fn has_contact(&self) -> bool {
        self.contact == Contact::Established
    }

    /// Returns whether the node has a member list, or has started without one because no other
    /// node answered.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.contact != Contact::Joining
    }

    /// Returns how often the node was paused or was declared dead by others while it ran.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    /// Returns the number of members that are not dead, including the local node.
    #[must_use]
    pub fn live_count(&self) -> usize {
        1 + self.live_members().count()
    }

    /// Returns the address of a member, unless it is dead or unknown.
    #[must_use]
    pub fn address(&self, name: &NodeId) -> Option<SmolStr> {
        let record = self.members.get(name)?;
        (record.state != MemberState::Dead).then(|| record.profile.peer.clone())
    }

    /// Sets the catalogue revision to send in digests.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = Some(revision);
    }

    /// Returns up to `count` distinct random members that are not dead.
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

    /// Returns the time at which [`Membership::tick`] is due.
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

    /// Processes all timers that are due.
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

    /// Handles a request from another node. Only the digest of catalogue messages is used.
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
                // The answer always includes the sender's own record, so that a new VM can raise
                // its incarnation above that of a former VM of its name.
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

    /// Builds the answer to a relay request from the result of the probe.
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

    /// Processes the result of a call; `None` when it failed or timed out.
    pub fn call_completed(&mut self, now: Instant, call: CallId, result: Option<&PeerMessage>) {
        self.detect_pause(now);
        let digest = result.and_then(PeerMessage::digest);
        if let Some(digest) = digest {
            self.apply_digest(now, digest);
        }
        // Calls from before a pause were discarded, because their timeouts say nothing about the
        // members.
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
                    // The answer to the hello contains the member's update about itself.
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

    /// Processes a new list of VMs from the platform.
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

    /// Cancels the announcement of [`Membership::leave`]. Has no effect on a stopped node.
    pub fn cancel_leave(&mut self, now: Instant) {
        if self.lifecycle == Lifecycle::Leaving {
            self.lifecycle = Lifecycle::Running;
            self.raise_incarnation(now, self.incarnation);
        }
    }

    /// Announces that the node has stopped. Members that know it as leaving declare it dead at
    /// once.
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

/// Returns the position of a member on the hash ring.
fn ring_position(name: &NodeId) -> u64 {
    SipHasher13::new().hash(name.as_bytes())
}
