//! State machine of one node that combines membership and propagation. It does no I/O and reads
//! no clock.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Change, NodeId, Revision, VmRecord, value_type};
use smol_str::SmolStr;

use crate::{
    Answer, Call, CallId, CatalogueUpdate, Digest, FleetSettings, Membership, PeerMessage, Profile,
    Propagation, SyncRequest,
};

/// Number of VMs up to which the list is read at `list_interval`; a list k times as long is read
/// k times less often.
const VMS_PER_LIST_INTERVAL: usize = 100;

/// Status of the local node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetStatus {
    /// Whether another node has answered since the start or the last pause, or no other node can
    /// be reached.
    pub has_contact: bool,
    /// How often the node was paused, or was declared dead by others while it ran. When the number
    /// rises, the engine gives up ownership of all servers.
    pub pauses: u64,
    /// Reason why the node has no catalogue yet; `None` once it has one.
    pub waits_for: Option<String>,
    /// Whether the platform is about to remove the node's VM.
    pub evicted: bool,
}

/// I/O requested by the controller.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call another node; pass the result to [`Controller::call_completed`].
    Call(Call),
    /// Read the catalogue from the platform; pass the result to [`Controller::read_completed`].
    ReadCatalogue {
        /// Revision in force; `None` without a catalogue.
        after: Option<Revision>,
    },
    /// Read the list of VMs; pass the result to [`Controller::list_completed`].
    ReadList,
}

value_type! {
    /// Name, profile and join addresses of a node.
    pub struct Identity {
        /// Name of the node, equal to the name of its VM.
        pub name: NodeId,
        /// Location and addresses of the node.
        pub profile: Profile,
        /// Addresses to join through, in addition to the platform's list of VMs.
        pub seeds: Vec<SmolStr>,
    }
}

/// State machine of one node.
///
/// Methods that handle an event take the current time. After each of them, the caller carries out
/// the actions from [`Controller::take_actions`]. It calls [`Controller::tick`] at
/// [`Controller::deadline`].
#[derive(Debug)]
pub struct Controller {
    settings: FleetSettings,
    random: SmallRng,
    name: NodeId,
    membership: Membership,
    propagation: Propagation,
    pulls: HashMap<CallId, NodeId>,
    list_at: Option<Instant>,
    list_failures: u32,
    evicted: bool,
    actions: Vec<Action>,
}

impl Controller {
    /// Creates a controller. `seed` initializes the random number generators.
    #[must_use]
    pub fn new(settings: FleetSettings, identity: Identity, seed: u64, now: Instant) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let propagation = Propagation::new(settings.clone(), random.random(), now);
        let membership = Membership::new(
            settings.clone(),
            identity.name.clone(),
            identity.profile,
            identity.seeds,
            random.random(),
            now,
        );
        Self {
            settings,
            random,
            name: identity.name,
            membership,
            propagation,
            pulls: HashMap::new(),
            list_at: Some(now),
            list_failures: 0,
            evicted: false,
            actions: Vec::new(),
        }
    }

    /// Returns the membership state machine.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the propagation state machine.
    #[must_use]
    pub fn propagation(&self) -> &Propagation {
        &self.propagation
    }

    /// Returns whether the view of the fleet has changed since the last call of this method.
    pub fn take_view_changed(&mut self) -> bool {
        self.membership.take_changed()
    }

    /// Returns whether the catalogue has changed since the last call of this method.
    pub fn take_catalogue_changed(&mut self) -> bool {
        self.propagation.take_changed()
    }

    /// Returns the node's status.
    #[must_use]
    pub fn status(&self) -> FleetStatus {
        FleetStatus {
            has_contact: self.membership.has_contact(),
            pauses: self.membership.pauses(),
            waits_for: self.propagation.waits_for(),
            evicted: self.evicted,
        }
    }

    /// Returns the time at which [`Controller::tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        [self.propagation.deadline(), self.list_at]
            .into_iter()
            .flatten()
            .fold(self.membership.deadline(), Instant::min)
    }

    /// Processes all timers that are due.
    pub fn tick(&mut self, now: Instant) {
        self.membership.tick(now);
        self.propagation.tick(now);
        if self.list_at.is_some_and(|at| at <= now) {
            self.list_at = None;
            self.actions.push(Action::ReadList);
        }
    }

    /// Returns the I/O to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        for request in self.propagation.take_requests() {
            match request {
                SyncRequest::Push(changes) => self.push_changes(&changes),
                SyncRequest::Pull { peer, after } => self.pull_changes(peer, after),
                SyncRequest::Read { after } => self.actions.push(Action::ReadCatalogue { after }),
            }
        }
        let calls = self.membership.take_calls();
        self.actions.extend(calls.into_iter().map(Action::Call));
        std::mem::take(&mut self.actions)
    }

    /// Handles a request from another node.
    pub fn handle_request(&mut self, now: Instant, message: PeerMessage) -> Answer {
        let answer = self.membership.handle_request(now, &message);
        self.observe_digest(now, message.digest());
        match message {
            PeerMessage::Gossip { changes, .. } => self.receive_changes(now, changes),
            PeerMessage::Pull { after } => {
                if let Some(reply) = self.propagation.answer_pull(after) {
                    return Answer::Reply(reply);
                }
            }
            _ => {}
        }
        answer
    }

    /// Builds the answer to a relay request from the result of the probe.
    pub fn relay_completed(
        &mut self,
        now: Instant,
        from: &NodeId,
        target: &NodeId,
        result: Option<&PeerMessage>,
    ) -> PeerMessage {
        self.observe_digest(now, result.and_then(PeerMessage::digest));
        self.membership
            .relay_completed(now, Some(from), target, result)
    }

    /// Processes the result of a call; `None` when it failed or timed out.
    pub fn call_completed(&mut self, now: Instant, call: CallId, result: Option<PeerMessage>) {
        self.membership.call_completed(now, call, result.as_ref());
        self.observe_digest(now, result.as_ref().and_then(PeerMessage::digest));
        if let Some(peer) = self.pulls.remove(&call) {
            self.propagation.pull_completed(now, &peer, result);
            self.update_revision();
        }
    }

    /// Processes catalogue changes that the platform has accepted.
    pub fn receive_changes(&mut self, now: Instant, changes: impl IntoIterator<Item = Change>) {
        self.propagation.receive_changes(now, changes);
        self.update_revision();
    }

    /// Processes the result of reading the catalogue.
    pub fn read_completed(&mut self, now: Instant, result: Result<CatalogueUpdate, SmolStr>) {
        self.propagation.read_completed(now, result);
        self.update_revision();
    }

    /// Processes the list of VMs; `None` when it could not be read.
    pub fn list_completed(&mut self, now: Instant, vms: Option<&[VmRecord]>) {
        let delay = if let Some(vms) = vms {
            self.list_failures = 0;
            self.evicted = vms.iter().any(|vm| vm.name == self.name && vm.leaving);
            self.membership.observe_list(now, vms);
            // The list grows with the fleet. Reading it less often keeps the cost per node
            // constant.
            let scale = u32::try_from(vms.len() / VMS_PER_LIST_INTERVAL)
                .unwrap_or(u32::MAX)
                .max(1);
            let interval = self.settings.list_interval * scale;
            interval.mul_f64(self.random.random_range(0.5..1.5))
        } else {
            let cap = Duration::from_secs(1) * (1 << self.list_failures.min(16));
            self.list_failures += 1;
            let limit = self.settings.backoff_limit;
            cap.min(limit).mul_f64(self.random.random())
        };
        self.list_at = Some(now + delay);
    }

    /// Announces that the node is leaving.
    pub fn leave(&mut self, now: Instant) {
        self.membership.leave(now);
    }

    /// Cancels the announcement that the node is leaving.
    pub fn cancel_leave(&mut self, now: Instant) {
        self.membership.cancel_leave(now);
    }

    /// Announces that the node has stopped.
    pub fn stop(&mut self, now: Instant) {
        self.membership.stop(now);
    }

    fn observe_digest(&mut self, now: Instant, digest: Option<&Digest>) {
        if let Some(digest) = digest {
            self.propagation
                .observe_revision(now, &digest.from, digest.revision);
        }
    }

    fn update_revision(&mut self) {
        if let Some(revision) = self.propagation.revision() {
            self.membership.set_revision(revision);
        }
    }

    fn push_changes(&mut self, changes: &[Change]) {
        for target in self.membership.random_members(self.settings.fan_out) {
            let digest = self
                .membership
                .digest(Some(&target), self.settings.probe_updates);
            let message = PeerMessage::Gossip {
                digest,
                changes: changes.to_vec(),
            };
            self.enqueue_call(&target, message, self.settings.call_timeout);
        }
    }

    fn pull_changes(&mut self, peer: NodeId, after: Option<Revision>) {
        // A peer that has died meanwhile is called as well: the call fails, and the propagation
        // then reads the platform.
        let limit = match after {
            Some(_) => self.settings.pull_timeout,
            None => self.settings.call_timeout,
        };
        let id = self.enqueue_call(&peer, PeerMessage::Pull { after }, limit);
        self.pulls.insert(id, peer);
    }

    fn enqueue_call(&mut self, target: &NodeId, message: PeerMessage, timeout: Duration) -> CallId {
        let id = self.membership.allocate_call_id();
        self.actions.push(Action::Call(Call {
            id,
            address: self.membership.address(target).unwrap_or_default(),
            message,
            timeout,
        }));
        id
    }
}
