//! State that all parts of a node's engine share.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_fleet::OwnerCache;
use siskinhook_types::{
    Catalogue, Class, DatabaseId, Failure, FailureKind, FleetView, Limits, NodeId, Server,
    ServerId, Targets, sqlstate,
};
use tokio::sync::{broadcast, watch};

use crate::{
    Classifier, Counters, EngineEvent, EngineSettings, Identity, counters::count, group::Group,
    owner::Owner,
};

/// Events kept for a slow receiver. A node produces a few a day.
const EVENT_CAPACITY: usize = 256;

/// A database with the parts of its catalogue entry that routing needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub database: DatabaseId,
    pub class: Class,
    pub limits: Limits,
    pub max_age: Option<u64>,
    pub servers: Vec<Server>,
}

/// The catalogue and the fleet as this node currently applies them.
#[derive(Clone)]
pub struct View {
    pub routes: Arc<IndexMap<DatabaseId, Arc<Route>>>,
    pub fleet: Arc<FleetView>,
}

/// State shared by the parts of a node's engine.
pub struct Core<T: Targets> {
    pub settings: EngineSettings,
    pub identity: Identity,
    pub targets: T,
    pub counters: Arc<Counters>,
    pub classifier: Classifier,
    pub draining: watch::Sender<bool>,
    pub active: watch::Sender<usize>,
    pub sessions: watch::Sender<usize>,
    /// Incremented after each change of catalogue or fleet.
    pub changes: watch::Sender<u64>,
    pub owner_cache: OwnerCache,
    /// Events for the audit trail, dropped if there is no receiver.
    pub events: broadcast::Sender<EngineEvent>,
    view: RwLock<View>,
    owners: Mutex<IndexMap<ServerId, Arc<Owner<T>>>>,
    groups: Mutex<IndexMap<DatabaseId, Arc<Group<T>>>>,
    random: Mutex<SmallRng>,
}

impl<T: Targets> Core<T> {
    pub fn new(settings: EngineSettings, identity: Identity, targets: T, seed: u64) -> Self {
        let fleet = FleetView {
            local: identity.node.clone(),
            members: IndexMap::new(),
        };
        Self {
            classifier: Classifier::new(settings.classifier_capacity),
            settings,
            identity,
            targets,
            counters: Arc::default(),
            draining: watch::Sender::new(false),
            active: watch::Sender::new(0),
            sessions: watch::Sender::new(0),
            changes: watch::Sender::new(0),
            owner_cache: OwnerCache::new(),
            events: broadcast::Sender::new(EVENT_CAPACITY),
            view: RwLock::new(View {
                routes: Arc::default(),
                fleet: Arc::new(fleet),
            }),
            owners: Mutex::default(),
            groups: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    pub fn view(&self) -> View {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn set_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .routes
            .get(database)
            .cloned()
    }

    pub fn owners(&self) -> std::sync::MutexGuard<'_, IndexMap<ServerId, Arc<Owner<T>>>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn groups(&self) -> std::sync::MutexGuard<'_, IndexMap<DatabaseId, Arc<Group<T>>>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a random number below `bound`, or 0 when `bound` is 0.
    pub fn random(&self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.random
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .random_range(0..bound)
    }

    /// Returns the node that owns a server.
    pub fn owner_of(&self, server: &Server) -> Option<NodeId> {
        self.owner_cache.owner(&self.view().fleet, server)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track(self: &Arc<Self>) -> ActiveRequest<T> {
        self.active.send_modify(|n| *n += 1);
        ActiveRequest { core: self.clone() }
    }

    /// Counts the verdict of a failure that is reported to a caller.
    pub fn count_failure(&self, failure: &Failure) {
        use siskinhook_types::Verdict;
        count(match failure.verdict {
            Verdict::NotRun => &self.counters.not_run,
            Verdict::MayHaveRun => &self.counters.may_have_run,
            Verdict::Ran => &self.counters.ran,
        });
        match failure.kind {
            FailureKind::Overload => count(&self.counters.refused),
            FailureKind::Deadline => count(&self.counters.deadlines),
            _ => {}
        }
    }
}

/// Guard that counts a request as in progress; a drain waits until there is none.
pub struct ActiveRequest<T: Targets> {
    core: Arc<Core<T>>,
}

impl<T: Targets> Drop for ActiveRequest<T> {
    fn drop(&mut self) {
        self.core.active.send_modify(|n| *n -= 1);
    }
}

/// Returns the routes of all databases in a catalogue.
pub fn build_routes(catalogue: &Catalogue) -> IndexMap<DatabaseId, Arc<Route>> {
    let entries = catalogue.entries.values();
    entries
        .flat_map(|entry| {
            entry.databases.iter().map(|(id, database)| {
                let route = Route {
                    database: id.clone(),
                    class: entry.class,
                    limits: entry.limits.clone(),
                    max_age: entry.max_age,
                    servers: database.servers.clone(),
                };
                (id.clone(), Arc::new(route))
            })
        })
        .collect()
}

/// Returns the failure of a request whose deadline passed before it ran.
pub fn deadline_passed(what: &str) -> Failure {
    Failure::not_run(
        FailureKind::Deadline,
        sqlstate::DEADLINE,
        format!(
            "the deadline passed while the statement waited for {what}; raise siskinhook.deadline or retry"
        ),
    )
}

/// Returns the failure of new work on a draining node.
pub fn draining() -> Failure {
    Failure::not_run(
        FailureKind::Draining,
        sqlstate::SHUTDOWN,
        "the node is shutting down; connect again to reach another node",
    )
}

/// Returns the failure of a request that no server can serve at the moment.
pub fn unavailable(message: impl Into<String>) -> Failure {
    Failure::not_run(FailureKind::Unavailable, sqlstate::UNAVAILABLE, message)
}
