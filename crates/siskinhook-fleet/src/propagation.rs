//! Propagation of catalogue revisions, without I/O or a clock.
//!
//! A node applies revision r+1 only on top of r. Changes arrive as pushes from other nodes;
//! what is missing is pulled from a peer that has it, or read from the platform.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Catalogue, Change, NodeId, Revision, value_type};
use smol_str::SmolStr;

use crate::{FleetSettings, PeerMessage};

/// Changes that arrived ahead of a missing one and are kept.
const OUT_OF_ORDER_LIMIT: usize = 64;
/// Changes in one answer to a pull.
const PULL_ANSWER_LIMIT: usize = 64;
/// Batches of more changes are not pushed on: they close a gap that the others do not have.
const PUSH_CHANGES_LIMIT: usize = 8;

/// What the state machine asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncRequest {
    /// Push changes to some other nodes.
    Push(Vec<Change>),
    /// Pull from a peer what follows a revision, or the whole catalogue; the result goes to
    /// [`Propagation::pulled`].
    Pull {
        /// The peer.
        peer: NodeId,
        /// Revision in force; `None` without a catalogue.
        after: Option<Revision>,
    },
    /// Read from the platform what follows a revision, or the whole catalogue; the result
    /// goes to [`Propagation::read`].
    Read {
        /// Revision in force; `None` without a catalogue.
        after: Option<Revision>,
    },
}

value_type! {
    /// What the platform has beyond the revision in force.
    #[derive(Default)]
    pub struct CatalogueUpdate {
        /// A whole catalogue, when the changes alone do not suffice.
        pub snapshot: Option<Catalogue>,
        /// Changes in order.
        pub changes: Vec<Change>,
    }
}

/// The catalogue in force on one node, and its part in spreading changes.
#[derive(Debug)]
pub struct Propagation {
    settings: FleetSettings,
    random: SmallRng,
    catalogue: Option<Arc<Catalogue>>,
    recent: VecDeque<Change>,
    out_of_order: BTreeMap<Revision, Change>,
    /// Highest revision heard of, and a peer that has it.
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
    /// Creates the propagation of a node without a catalogue; it reads the platform first.
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

    /// Returns what the node waits for while it has no catalogue.
    #[must_use]
    pub fn waits_for(&self) -> Option<String> {
        self.catalogue.is_none().then(|| {
            format!(
                "no catalogue yet: waiting for the platform ({}) or a peer that has one",
                self.wait_reason
            )
        })
    }

    /// Returns whether the catalogue changed since the last call of this function.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns what to do.
    pub fn take_requests(&mut self) -> Vec<SyncRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Returns the time of the next [`Propagation::tick`], if any.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let pull_at = self.pull_at.filter(|_| !self.pulling);
        [self.read_at, pull_at].into_iter().flatten().min()
    }

    /// Does what is due.
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

    /// Takes changes from any source, in any order.
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

    /// Applies the changes that follow without a gap and returns them.
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

    /// Takes the revision that a peer has in force.
    pub fn observe_revision(&mut self, now: Instant, peer: &NodeId, revision: Option<Revision>) {
        let known = self.newest_known.as_ref().map(|(revision, _)| *revision);
        let Some(revision) = revision.filter(|r| Some(*r) > self.revision()) else {
            return;
        };
        if known.is_none_or(|known| revision >= known) {
            self.newest_known = Some((revision, peer.clone()));
        }
        // A push may be on its way already; without a catalogue there is none.
        let delay = match self.catalogue {
            Some(_) => self.settings.pull_delay,
            None => std::time::Duration::ZERO,
        };
        self.pull_at.get_or_insert(now + delay);
    }

    /// Takes the result of a pull; `None` when it failed.
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
            // The peer did not help; another one or the platform will.
            self.newest_known = None;
            self.schedule_read(now);
        }
    }

    /// Takes the result of a read of the platform.
    pub fn read_completed(&mut self, now: Instant, result: Result<CatalogueUpdate, SmolStr>) {
        match result {
            Ok(update) => {
                let poll = self.settings.poll_interval;
                // The first poll after an outage comes anywhere within the interval, so that
                // the nodes do not return in step.
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

    /// Answers a pull. `None` while the node has no catalogue itself.
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
        // The changes before the snapshot are not all known, so pulls get the snapshot.
        self.recent.clear();
        self.apply_in_order();
    }

    /// Reads the platform within a second, unless reads fail already.
    fn schedule_read(&mut self, now: Instant) {
        if self.read_failures == 0
            && let Some(at) = &mut self.read_at
        {
            let delay = std::time::Duration::from_secs(1).mul_f64(self.random.random());
            *at = (*at).min(now + delay);
        }
    }
}
