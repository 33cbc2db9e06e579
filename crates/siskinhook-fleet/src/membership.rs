//! Membership after SWIM: probes, suspicion, refutation and gossip, without I/O or a clock.
//!
//! The caller passes every event with its time, carries out the [`Call`]s from
//! [`Membership::take_calls`] and reports each of them back exactly once.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom, seq::SliceRandom};
use siphasher::sip::SipHasher13;
use siskinhook_types::{FleetView, Member, MemberState, NodeId, Revision, VmRecord};
use smol_str::SmolStr;

use crate::{Digest, FleetSettings, PeerMessage, Profile, Rumour};

/// Time between two searches for dead members to forget.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// Time over which nodes spread their attempts to reach other dead members when one came back.
const REVIVAL_SPREAD: Duration = Duration::from_secs(5);
/// Attempts to reach other dead members when one came back. Each further one that comes back
/// allows as many again, so the attempts go on while a cut heals.
const REVIVAL_ATTEMPTS: usize = 16;

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
struct Record {
    profile: Profile,
    state: MemberState,
    /// Kept apart from the state, so that a suspicion does not make a leaving node an owner.
    leaving: bool,
    incarnation: u64,
    /// Highest incarnation that the member itself stated. A higher one than the record's
    /// means that the gossip about it did not arrive.
    stated: u64,
    revision: Revision,
    /// Start of the state.
    since: Instant,
}

#[derive(Clone, Debug)]
enum Purpose {
    Direct(NodeId),
    Relayed(NodeId),
    Hello,
    Push,
}

/// Whether the node is going.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Departure {
    Staying,
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
    Settled,
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
    departure: Departure,
    contact: Contact,
    started: Instant,
    last_event: Instant,
    members: IndexMap<NodeId, Record>,
    /// Suspect members and the end of their time to refute.
    suspects: IndexMap<NodeId, Instant>,
    /// Unanswered relays by probed member.
    relays: HashMap<NodeId, usize>,
    ring: Vec<NodeId>,
    calls: HashMap<CallId, Purpose>,
    next_call: CallId,
    outgoing: Vec<Call>,
    /// Members with transmissions left, and how often their rumour was sent.
    rumours: IndexMap<NodeId, u32>,
    /// Members whose rumour has not been pushed yet.
    unpushed: Vec<NodeId>,
    push_at: Option<Instant>,
    pushed_at: Instant,
    next_probe: Instant,
    probes: u64,
    next_hello: Instant,
    hello_turn: usize,
    /// Attempts left after a dead member came back.
    attempts: usize,
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
        let hello_turn = random.random_range(0..1024);
        Self {
            random,
            local,
            profile,
            incarnation: 0,
            revision: None,
            departure: Departure::Staying,
            contact: Contact::Joining,
            started: now,
            last_event: now,
            members: IndexMap::new(),
            suspects: IndexMap::new(),
            relays: HashMap::new(),
            ring: Vec::new(),
            calls: HashMap::new(),
            next_call: 0,
            outgoing: Vec::new(),
            rumours: IndexMap::new(),
            unpushed: Vec::new(),
            push_at: None,
            pushed_at: now,
            next_probe: now + first,
            probes: 0,
            next_hello: now,
            hello_turn,
            attempts: 0,
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
        let state = if self.departure > Departure::Staying {
            MemberState::Leaving
        } else if self.is_settled() {
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
    pub fn is_settled(&self) -> bool {
        self.contact == Contact::Settled
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
    pub fn live(&self) -> usize {
        1 + self.others().count()
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
    pub fn pick(&mut self, count: usize) -> Vec<NodeId> {
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
        self.notice_pause(now);
        if self.departure == Departure::Stopped {
            self.push(now);
            self.next_probe = now + self.settings.probe_interval;
            self.next_hello = self.next_probe;
            self.next_cleanup = now + CLEANUP_INTERVAL;
            return;
        }
        self.expire_suspects(now);
        if self.next_hello <= now {
            self.hello(now);
        }
        if self.next_probe <= now {
            self.next_probe = now + self.settings.probe_interval;
            self.probe();
        }
        if self.relist_at.is_some_and(|at| at <= now) {
            self.relist_at = None;
            let helper = self.pick(1).pop();
            if let Some(address) = helper.and_then(|name| self.address(&name)) {
                self.introduce(address, true);
            }
        }
        if self.push_at.is_some_and(|at| at <= now) {
            self.push(now);
        }
        if self.next_cleanup <= now {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.forget(now);
        }
    }

    /// Answers a request; messages that concern the catalogue only count as contact.
    pub fn request(&mut self, now: Instant, message: &PeerMessage) -> Answer {
        self.notice_pause(now);
        let from = message.digest().map(|digest| {
            self.absorb(now, digest);
            digest.from.clone()
        });
        match message {
            PeerMessage::Relay { target, .. } => match self.address(target) {
                Some(address) => {
                    let digest = self.digest(Some(target), self.settings.probe_rumours);
                    Answer::Relay {
                        address,
                        message: PeerMessage::Probe(digest),
                        timeout: self.settings.probe_timeout,
                    }
                }
                None => Answer::Reply(self.relayed(now, from.as_ref(), target, None)),
            },
            PeerMessage::Hello { all, .. } => {
                // The sender's own record lets a fresh VM raise its incarnation above that of a
                // former node of its name.
                let mut members = vec![self.local_rumour()];
                let known = self.members.keys();
                let wanted = known.filter(|name| *all || Some(*name) == from.as_ref());
                members.extend(wanted.filter_map(|name| self.rumour(name, true)));
                Answer::Reply(PeerMessage::Members {
                    digest: self.reply_digest(from.as_ref()),
                    members,
                })
            }
            _ => Answer::Reply(PeerMessage::Ack(self.reply_digest(from.as_ref()))),
        }
    }

    /// Makes the answer to a relay request from the result of the probe.
    pub fn relayed(
        &mut self,
        now: Instant,
        from: Option<&NodeId>,
        target: &NodeId,
        result: Option<&PeerMessage>,
    ) -> PeerMessage {
        let digest = result.and_then(PeerMessage::digest);
        if let Some(digest) = digest {
            self.absorb(now, digest);
        }
        let reply = self.reply_digest(from);
        if digest.is_some_and(|d| d.from == *target) {
            PeerMessage::Ack(reply)
        } else {
            PeerMessage::Unreachable(reply)
        }
    }

    /// Takes the result of a call; `None` when it failed or timed out.
    pub fn completed(&mut self, now: Instant, call: CallId, result: Option<&PeerMessage>) {
        self.notice_pause(now);
        let digest = result.and_then(PeerMessage::digest);
        if let Some(digest) = digest {
            self.absorb(now, digest);
        }
        // Calls from before a pause are gone: their age says nothing about the members.
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        if digest.is_some() && self.is_joined() {
            self.settle();
        }
        match purpose {
            Purpose::Direct(target) => {
                if digest.is_none_or(|d| d.from != target) {
                    self.relay(now, &target);
                } else if let Some(record) = self.members.get(&target)
                    && record.stated > record.incarnation
                {
                    // Its answer to an introduction has its own rumour.
                    self.introduce(record.profile.peer.clone(), false);
                }
            }
            Purpose::Relayed(target) => {
                if matches!(result, Some(PeerMessage::Ack(_))) {
                    self.relays.remove(&target);
                } else if let Some(left) = self.relays.get_mut(&target) {
                    *left -= 1;
                    if *left == 0 {
                        self.relays.remove(&target);
                        self.suspect(now, &target);
                    }
                }
            }
            Purpose::Hello => {
                if let Some(PeerMessage::Members { members, .. }) = result {
                    for rumour in members {
                        self.apply(now, rumour, false);
                    }
                    if self.contact == Contact::Joining {
                        self.relist_at = Some(now + self.settings.join_patience);
                    }
                    self.settle();
                }
            }
            Purpose::Push => {}
        }
    }

    /// Takes the platform's list of VMs.
    pub fn observe_list(&mut self, now: Instant, vms: &[VmRecord]) {
        self.notice_pause(now);
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
        if self.departure == Departure::Staying {
            self.departure = Departure::Leaving;
            self.raise(now, self.incarnation);
        }
    }

    /// Takes the announcement of [`Membership::leave`] back; a stopped node stays gone.
    pub fn stay(&mut self, now: Instant) {
        if self.departure == Departure::Leaving {
            self.departure = Departure::Staying;
            self.raise(now, self.incarnation);
        }
    }

    /// Announces that the node is gone. Members that know it as leaving drop it at once.
    pub fn stop(&mut self, now: Instant) {
        self.leave(now);
        self.departure = Departure::Stopped;
        self.suspects.clear();
        self.relist_at = None;
        self.push_at = Some(now);
        self.spread(now, &self.local.clone());
    }

    /// Builds a digest for a member, with corrections of what it should refute first.
    pub fn digest(&mut self, to: Option<&NodeId>, limit: usize) -> Digest {
        let correction = to.filter(|name| {
            self.members
                .get(*name)
                .is_some_and(|r| r.state != MemberState::Alive)
        });
        let mut rumours: Vec<Rumour> = correction
            .and_then(|name| self.rumour(name, false))
            .into_iter()
            .collect();
        rumours.extend(self.take_rumours(limit));
        Digest {
            from: self.local.clone(),
            incarnation: self.incarnation,
            revision: self.revision,
            unknown: false,
            rumours,
        }
    }

    /// Digest of an answer; asks a sender whose incarnation is not known to introduce itself.
    fn reply_digest(&mut self, from: Option<&NodeId>) -> Digest {
        let mut digest = self.digest(from, self.settings.probe_rumours);
        digest.unknown = from.is_some_and(|name| {
            let record = self.members.get(name);
            record.is_none_or(|r| r.stated > r.incarnation)
        });
        digest
    }

    fn others(&self) -> impl Iterator<Item = (&NodeId, &Record)> {
        self.members
            .iter()
            .filter(|(_, r)| r.state != MemberState::Dead)
    }

    fn settle(&mut self) {
        self.changed |= self.contact != Contact::Settled;
        self.contact = Contact::Settled;
    }

    /// A gap in the node's own clock means that others may have declared it dead, and that
    /// the age of its suspicions and calls says nothing.
    fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap <= self.settings.suspicion {
            return;
        }
        self.calls.clear();
        self.relays.clear();
        for end in self.suspects.values_mut() {
            *end = now + self.settings.suspicion;
        }
        self.next_probe = now;
        self.next_hello = now;
        self.interrupted(now, self.incarnation);
    }

    fn interrupted(&mut self, now: Instant, incarnation: u64) {
        self.pauses += 1;
        if self.contact == Contact::Settled {
            self.contact = Contact::Paused;
        }
        self.next_probe = self.next_probe.min(now);
        self.raise(now, incarnation);
    }

    /// Raises the own incarnation above `above` and spreads it.
    fn raise(&mut self, now: Instant, above: u64) {
        self.incarnation = above + 1;
        self.changed = true;
        self.spread(now, &self.local.clone());
    }

    fn spread(&mut self, now: Instant, name: &NodeId) {
        self.rumours.insert(name.clone(), 0);
        if !self.unpushed.contains(name) {
            self.unpushed.push(name.clone());
        }
        let earliest = self.pushed_at + self.settings.push_spacing;
        let at = earliest.max(now + self.settings.push_delay);
        self.push_at.get_or_insert(at);
    }

    fn absorb(&mut self, now: Instant, digest: &Digest) {
        for rumour in &digest.rumours {
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

    fn apply(&mut self, now: Instant, rumour: &Rumour, spread: bool) {
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
    fn time_to_refute(&self, rumour: &Rumour) -> Duration {
        let whole = self.settings.suspicion;
        let left = match rumour.state {
            MemberState::Dead => Duration::ZERO,
            _ => rumour.remaining.map_or(whole, Duration::from_millis),
        };
        left.clamp(whole / 2, whole)
    }

    /// Refutes rumours about the node itself that are worse than the truth. This is also how
    /// a fresh VM gets past the incarnations of a former node of its name.
    fn apply_local(&mut self, now: Instant, rumour: &Rumour) {
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

    fn add(&mut self, now: Instant, rumour: &Rumour, spread: bool) {
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

    /// Puts a member into a state and spreads it.
    fn enter(&mut self, now: Instant, name: &NodeId, state: MemberState) {
        let Some(record) = self.members.get_mut(name) else {
            return;
        };
        let returned = record.state == MemberState::Dead && state != MemberState::Dead;
        let leaving = record.leaving;
        record.state = state;
        record.since = now;
        if state == MemberState::Suspect {
            self.suspects
                .insert(name.clone(), now + self.settings.suspicion);
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

    fn suspect(&mut self, now: Instant, name: &NodeId) {
        let alive = self.members.get(name).map(|r| r.state) == Some(MemberState::Alive);
        if alive {
            self.enter(now, name, MemberState::Suspect);
        }
    }

    fn expire_suspects(&mut self, now: Instant) {
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

    fn call(
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
    fn probe(&mut self) {
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
    fn successor(&self) -> Option<NodeId> {
        let place = hash(&self.local);
        self.members
            .iter()
            .filter(|(_, r)| r.state == MemberState::Alive)
            .min_by_key(|(name, _)| hash(name).wrapping_sub(place))
            .map(|(name, _)| name.clone())
    }

    /// Returns the next member of the round; each round has its own random order.
    fn next_in_round(&mut self) -> Option<NodeId> {
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

    fn relay(&mut self, now: Instant, target: &NodeId) {
        if self.relays.contains_key(target) {
            return;
        }
        let helpers: Vec<NodeId> = self
            .pick(self.settings.relays + 1)
            .into_iter()
            .filter(|name| name != target)
            .take(self.settings.relays)
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
    fn hello(&mut self, now: Instant) {
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
    fn introduce(&mut self, address: SmolStr, all: bool) {
        let to = self
            .members
            .iter()
            .find(|(_, r)| r.profile.peer == address)
            .map(|(name, _)| name.clone());
        let mut digest = self.digest(to.as_ref(), self.settings.probe_rumours);
        digest.rumours.retain(|r| r.name != self.local);
        digest.rumours.push(self.local_rumour());
        let timeout = self.settings.call_timeout;
        self.call(
            address,
            PeerMessage::Hello { digest, all },
            timeout,
            Purpose::Hello,
        );
    }

    /// Pushes what was learnt since the last push.
    fn push(&mut self, now: Instant) {
        self.push_at = None;
        let count = self.unpushed.len().min(self.settings.push_rumours);
        let names: Vec<NodeId> = self.unpushed.drain(..count).collect();
        let rumours: Vec<Rumour> = names.iter().filter_map(|n| self.rumour(n, false)).collect();
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
                rumours: rumours.clone(),
            };
            let message = PeerMessage::News {
                digest,
                changes: Vec::new(),
            };
            self.call(address, message, self.settings.call_timeout, Purpose::Push);
        }
    }

    /// Takes the rumours that were sent least often.
    fn take_rumours(&mut self, limit: usize) -> Vec<Rumour> {
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
    fn count_transmission(&mut self, name: &NodeId) {
        let limit = self.settings.retransmits * (self.members.len() + 2).ilog2();
        if let Some(sent) = self.rumours.get_mut(name) {
            *sent += 1;
            if *sent >= limit {
                self.rumours.swap_remove(name);
            }
        }
    }

    fn local_rumour(&self) -> Rumour {
        let state = match self.departure {
            Departure::Staying => MemberState::Alive,
            Departure::Leaving => MemberState::Leaving,
            Departure::Stopped => MemberState::Dead,
        };
        Rumour {
            name: self.local.clone(),
            incarnation: self.incarnation,
            state,
            remaining: None,
            profile: Some(self.profile.clone()),
        }
    }

    fn rumour(&self, name: &NodeId, profile: bool) -> Option<Rumour> {
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
        Some(Rumour {
            name: name.clone(),
            incarnation: record.incarnation,
            state,
            remaining,
            profile: (profile || record.state == MemberState::Alive)
                .then(|| record.profile.clone()),
        })
    }

    fn forget(&mut self, now: Instant) {
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
fn hash(name: &NodeId) -> u64 {
    SipHasher13::new().hash(name.as_bytes())
}
