//! State machine that propagates catalogue revisions. It does no I/O and reads no clock.
//!
//! A node applies revision r+1 only on top of r. Changes arrive as pushes from other nodes.
//! Missing changes are pulled from a peer that has them, or read from the platform.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Catalogue, Change, NodeId, Revision, value_type};
use smol_str::SmolStr;

use crate::{FleetSettings, PeerMessage};

/// Maximum number of buffered changes that wait for an earlier one.
const OUT_OF_ORDER_LIMIT: usize = 64;
/// Maximum number of changes in one answer to a pull.
const PULL_ANSWER_LIMIT: usize = 64;
/// Maximum number of changes applied at once that are forwarded. Larger batches close a gap of
/// this node that other nodes do not have.
const PUSH_CHANGES_LIMIT: usize = 8;

/// I/O requested by the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncRequest {
    /// Push changes to random other nodes.
    Push(Vec<Change>),
    /// Pull the changes after a revision, or the whole catalogue, from a peer. Pass the result to
    /// [`Propagation::pull_completed`].
    Pull {
        /// Peer to pull from.
        peer: NodeId,
        /// Revision in force; `None` without a catalogue.
        after: Option<Revision>,
    },
    /// Read the changes after a revision, or the whole catalogue, from the platform. Pass the
    /// result to [`Propagation::read_completed`].
    Read {
        /// Revision in force; `None` without a catalogue.
        after: Option<Revision>,
    },
}

value_type! {
    /// Result of reading the catalogue from the platform.
    #[derive(Default)]
    pub struct CatalogueUpdate {
        /// Whole catalogue; present when the changes alone do not suffice.
        pub snapshot: Option<Catalogue>,
        /// Changes in revision order.
        pub changes: Vec<Change>,
    }
}

/// Propagation state machine of one node: the catalogue in force and the changes to exchange.
#[derive(Debug)]
pub struct Propagation {
    settings: FleetSettings,
    random: SmallRng,
    catalogue: Option<Arc<Catalogue>>,
    recent: VecDeque<Change>,
    out_of_order: BTreeMap<Revision, Change>,
    /// Highest revision reported by a peer, and that peer.
    newest_known: Option<(Revision, NodeId)>,
    pull_at: Option<Instant>,
    pulling: bool,
    read_at: Option<Instant>,
    read_failures: u32,
    wait_reason: SmolStr,
    requests: Vec<SyncRequest>,
    changed: bool,
}

impl Propagation {
    /// Creates the propagation of a node without a catalogue. Its first request reads the platform.
    #[must_use]
    pub fn new(settings: FleetSettings, seed: u64, now: Instant) -> Self {
        Self {
            settings,
            random: SmallRng::seed_from_u64(seed),
            catalogue: None,
            recent: VecDeque::new(),
            out_of_order: BTreeMap::new(),
            newest_known: None,
            pull_at: None,
            pulling: false,
            read_at: Some(now),
            read_failures: 0,
            wait_reason: SmolStr::new_static("the first read of the platform is in progress"),
            requests: Vec::new(),
            changed: false,
        }
    }

    /// Returns the catalogue in force, if there is one.
    #[must_use]
    pub fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.catalogue.as_ref()
    }

    /// Returns the revision in force, if there is one.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.catalogue.as_ref().map(|c| c.revision)
    }

    /// Returns the reason why the node has no catalogue yet; `None` once it has one.
    #[must_use]
    pub fn waits_for(&self) -> Option<String> {
        self.catalogue.is_none().then(|| {
            format!(
                "no catalogue yet: waiting for the platform ({}) or a peer that has one",
                self.wait_reason
            )
        })
    }

    /// Returns whether the catalogue has changed since the last call of this method.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the requests to carry out.
    pub fn take_requests(&mut self) -> Vec<SyncRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Returns the time at which [`Propagation::tick`] is due, if any.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let pull_at = self.pull_at.filter(|_| !self.pulling);
        [self.read_at, pull_at].into_iter().flatten().min()
    }

    /// Processes all timers that are due.
    pub fn tick(&mut self, now: Instant) {
        let after = self.revision();
        if self.read_at.is_some_and(|at| at <= now) {
            self.read_at = None;
            self.requests.push(SyncRequest::Read { after });
        }
        if !self.pulling && self.pull_at.is_some_and(|at| at <= now) {
            self.pull_at = None;
            if let Some((revision, peer)) = self.newest_known.clone()
                && Some(revision) > after
            {
                self.pulling = true;
                self.requests.push(SyncRequest::Pull { peer, after });
            }
        }
    }

    /// Processes changes from any source, in any order.
    pub fn receive_changes(&mut self, now: Instant, changes: impl IntoIterator<Item = Change>) {
        let before = self.revision();
        for change in changes {
            if Some(change.revision) > before {
                self.out_of_order.insert(change.revision, change);
            }
        }
        let applied = self.apply_in_order();
        while self.out_of_order.len() > OUT_OF_ORDER_LIMIT {
            self.out_of_order.pop_last();
        }
        if !applied.is_empty() && applied.len() <= PUSH_CHANGES_LIMIT {
            self.requests.push(SyncRequest::Push(applied));
        }
        if !self.out_of_order.is_empty() && self.pull_at.is_none() {
            self.pull_at = Some(now + self.settings.pull_delay);
        }
    }

    /// Applies the buffered changes that follow the revision in force without a gap, and returns
    /// them.
    fn apply_in_order(&mut self) -> Vec<Change> {
        let mut applied = Vec::new();
        let Some(catalogue) = &mut self.catalogue else {
            return applied;
        };
        while let Some(entry) = self.out_of_order.first_entry() {
            if *entry.key() > catalogue.revision + 1 {
                break;
            }
            let change = entry.remove();
            if Arc::make_mut(catalogue).apply(&change) {
                applied.push(change);
            }
        }
        self.changed |= !applied.is_empty();
        self.recent.extend(applied.iter().cloned());
        let surplus = self.recent.len().saturating_sub(self.settings.kept_changes);
        self.recent.drain(..surplus);
        applied
    }

    /// Records the revision in force on a peer, and schedules a pull when it is newer.
    pub fn observe_revision(&mut self, now: Instant, peer: &NodeId, revision: Option<Revision>) {
        let known = self.newest_known.as_ref().map(|(revision, _)| *revision);
        let Some(revision) = revision.filter(|r| Some(*r) > self.revision()) else {
            return;
        };
        if known.is_none_or(|known| revision >= known) {
            self.newest_known = Some((revision, peer.clone()));
        }
        // A push of the change may be in flight. A node without a catalogue cannot apply one, so
        // it pulls at once.
        let delay = match self.catalogue {
            Some(_) => self.settings.pull_delay,
            None => std::time::Duration::ZERO,
        };
        self.pull_at.get_or_insert(now + delay);
    }

    /// Processes the result of a pull; `None` when it failed.
    pub fn pull_completed(&mut self, now: Instant, peer: &NodeId, result: Option<PeerMessage>) {
        self.pulling = false;
        let before = self.revision();
        match result {
            Some(PeerMessage::Changes(changes)) => self.receive_changes(now, changes),
            Some(PeerMessage::Snapshot(catalogue)) => self.apply_snapshot(catalogue),
            _ => {}
        }
        let current = self.revision();
        if self
            .newest_known
            .as_ref()
            .is_some_and(|(r, _)| Some(*r) <= current)
        {
            self.newest_known = None;
        }
        if current > before {
            if self.newest_known.is_some() {
                self.pull_at = Some(now);
            }
        } else if self.newest_known.as_ref().is_some_and(|(_, p)| p == peer) {
            // The peer had no newer revision or did not answer; try another one or the platform.
            self.newest_known = None;
            self.schedule_read(now);
        }
    }

    /// Processes the result of a read of the platform.
    pub fn read_completed(&mut self, now: Instant, result: Result<CatalogueUpdate, SmolStr>) {
        match result {
            Ok(update) => {
                let poll = self.settings.poll_interval;
                // The first poll after an outage is spread over the whole interval, so that the
                // nodes do not poll at the same time.
                let range = if self.read_failures > 0 {
                    0.0..1.0
                } else {
                    0.5..1.5
                };
                self.read_failures = 0;
                self.read_at = Some(now + poll.mul_f64(self.random.random_range(range)));
                if let Some(snapshot) = update.snapshot {
                    self.apply_snapshot(snapshot);
                }
                self.receive_changes(now, update.changes);
                self.wait_reason = SmolStr::new_static("it has not returned a whole catalogue");
            }
            Err(reason) => {
                let limit = self.settings.backoff_limit;
                let cap = limit.min(self.settings.pull_delay * (1 << self.read_failures.min(16)));
                self.read_failures += 1;
                self.read_at = Some(now + cap.mul_f64(self.random.random()));
                self.wait_reason = reason;
            }
        }
    }

    /// Returns the answer to a pull; `None` while the node has no catalogue.
    #[must_use]
    pub fn answer_pull(&self, after: Option<Revision>) -> Option<PeerMessage> {
        let catalogue = self.catalogue.as_ref()?;
        let after = after.filter(|after| {
            *after >= catalogue.revision
                || self.recent.front().is_some_and(|c| c.revision <= after + 1)
        });
        Some(match after {
            Some(after) => {
                let newer = self.recent.iter().filter(|c| c.revision > after);
                PeerMessage::Changes(newer.take(PULL_ANSWER_LIMIT).cloned().collect())
            }
            None => PeerMessage::Snapshot(Catalogue::clone(catalogue)),
        })
    }

    fn apply_snapshot(&mut self, snapshot: Catalogue) {
        if Some(snapshot.revision) <= self.revision() {
            return;
        }
        self.catalogue = Some(Arc::new(snapshot));
        self.changed = true;
        // Not all changes before the snapshot are known, so older pulls get the whole catalogue.
        self.recent.clear();
        self.apply_in_order();
    }

    /// Schedules a read of the platform within a second, unless reads are failing already.
    fn schedule_read(&mut self, now: Instant) {
        if self.read_failures == 0
            && let Some(at) = &mut self.read_at
        {
            let delay = std::time::Duration::from_secs(1).mul_f64(self.random.random());
            *at = (*at).min(now + delay);
        }
    }
}
