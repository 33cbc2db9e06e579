//! Selection of the server that a request is sent to.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::{SeedableRng, rngs::SmallRng};
use siskinhook_policy::{Candidate, FreshnessAnswer, SelectSettings, choose_server};
use siskinhook_types::{DatabaseId, Freshness, Server, ServerId, Targets};

use crate::{
    clock::now,
    core::{Core, Route},
};

/// Half-life of the observed wait of a server while no new observations arrive.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(500);

/// Observations of a server that this node sends requests to.
#[derive(Clone, Copy, Debug)]
struct Observed {
    /// Moving average of the time until the first part of a short read arrived.
    wait: Duration,
    /// When `wait` was last updated.
    updated_at: Instant,
    /// When the server became usable again after a refusal.
    recovered_at: Option<Instant>,
    /// When the server last refused a request, for example because it was not fresh or not
    /// reachable.
    refused_at: Option<Instant>,
}

struct State {
    primaries: IndexMap<DatabaseId, ServerId>,
    observed: IndexMap<ServerId, Observed>,
    random: SmallRng,
}

/// Selects servers from the known primaries and the observations of earlier requests.
pub struct ServerSelector {
    state: Mutex<State>,
    settings: SelectSettings,
}

impl ServerSelector {
    pub fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                primaries: IndexMap::new(),
                observed: IndexMap::new(),
                random: SmallRng::seed_from_u64(seed),
            }),
            settings: SelectSettings::default(),
        }
    }

    /// Returns the primary of a database, if known to this node.
    pub fn primary<T: Targets>(&self, core: &Core<T>, database: &DatabaseId) -> Option<ServerId> {
        let group = core.groups().get(database).cloned();
        let monitored = group.and_then(|group| group.primary());
        let monitored = monitored.map(|(server, _)| server);
        monitored.or_else(|| self.lock().primaries.get(database).cloned())
    }

    /// Records a server as primary after it accepted a write.
    pub fn record_primary(&self, database: &DatabaseId, server: &ServerId) {
        let mut state = self.lock();
        if state.primaries.get(database) != Some(server) {
            state.primaries.insert(database.clone(), server.clone());
        }
    }

    /// Removes a server as primary after it refused a write because it is not the primary.
    pub fn forget_primary(&self, database: &DatabaseId, server: &ServerId) {
        let mut state = self.lock();
        if state.primaries.get(database) == Some(server) {
            state.primaries.swap_remove(database);
        }
    }

    /// Records the time that a short read took until its first part arrived.
    pub fn record_wait(&self, server: &ServerId, wait: Duration) {
        let at = now();
        let mut state = self.lock();
        let Some(seen) = state.observed.get_mut(server) else {
            let seen = Observed {
                wait,
                updated_at: at,
                recovered_at: None,
                refused_at: None,
            };
            state.observed.insert(server.clone(), seen);
            return;
        };
        seen.wait = (seen.wait * 7 + wait) / 8;
        seen.updated_at = at;
        if seen.refused_at.take().is_some() {
            seen.recovered_at = Some(at);
        }
    }

    /// Records that a server could not serve a request.
    pub fn record_refusal(&self, server: &ServerId) {
        let at = now();
        let mut state = self.lock();
        let seen = state.observed.entry(server.clone()).or_insert(Observed {
            wait: Duration::ZERO,
            updated_at: at,
            recovered_at: None,
            refused_at: None,
        });
        seen.refused_at = Some(at);
    }

    /// Selects a server for a read among those that were not tried yet.
    pub fn select_for_read<T: Targets>(
        &self,
        core: &Core<T>,
        route: &Route,
        freshness: &Freshness,
        tried: &[ServerId],
    ) -> Option<Server> {
        let primary = self.primary(core, &route.database);
        let is_usable = |server: &&Server| !server.leaving && !tried.contains(&server.name);
        let servers: Vec<&Server> = route.servers.iter().filter(is_usable).collect();
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| self.candidate(core, route, server, primary.as_ref(), freshness))
            .collect();
        let mut state = self.lock();
        let index = choose_server(&candidates, &self.settings, now(), &mut state.random)?;
        servers.get(index).map(|server| (*server).clone())
    }

    fn candidate<T: Targets>(
        &self,
        core: &Core<T>,
        route: &Route,
        server: &Server,
        primary: Option<&ServerId>,
        freshness: &Freshness,
    ) -> Candidate {
        let group = core.groups().get(&route.database).cloned();
        let known = group.map_or(FreshnessAnswer::NeedAnchor, |group| {
            group.freshness(&server.name, freshness)
        });
        let owner = core.owners().get(&server.name).cloned();
        let (observed, recovered_at) = self.observed(&server.name);
        Candidate {
            server: server.name.clone(),
            local: server.zone == core.identity.zone,
            primary: primary == Some(&server.name),
            freshness: known,
            wait: owner.map_or(observed, |owner| owner.slots.load().wait),
            recovered: recovered_at,
        }
    }

    /// Returns the expected wait, which decays while there are no new observations. Also returns
    /// when the server last refused a request or, if it has served a read since, when it recovered.
    fn observed(&self, server: &ServerId) -> (Duration, Option<Instant>) {
        let state = self.lock();
        let Some(seen) = state.observed.get(server) else {
            return (Duration::ZERO, None);
        };
        let age = now().saturating_duration_since(seen.updated_at);
        let halvings = age.as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        let wait = seen.wait.mul_f64(0.5_f64.powf(halvings));
        (wait, seen.refused_at.or(seen.recovered_at))
    }

    /// Selects a server for a request that needs the primary: first the known primary, then the
    /// other servers in the order of the catalogue entry.
    pub fn select_for_write<T: Targets>(
        &self,
        core: &Core<T>,
        route: &Route,
        tried: &[ServerId],
    ) -> Option<Server> {
        let is_untried = |server: &&Server| !tried.contains(&server.name);
        let primary = self.primary(core, &route.database);
        let known = primary.and_then(|primary| {
            let server = route.servers.iter().find(|server| server.name == primary)?;
            Some(server).filter(is_untried)
        });
        known
            .or_else(|| route.servers.iter().find(is_untried))
            .cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
