//! In-process implementation of [`Peers`] for tests and measurements.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    future::pending,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_types::{Region, Zone};
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::sleep;

use crate::{Fleet, PeerError, PeerMessage, Peers};

/// Latency, loss and framing of a [`MemoryNetwork`].
#[derive(Clone, Debug)]
pub struct MemorySettings {
    /// Seed for random losses and delays.
    pub seed: u64,
    /// Mean one-way latency within a region.
    pub latency: Duration,
    /// Mean one-way latency between regions.
    pub region_latency: Duration,
    /// Probability that a request is lost, and that an answer is lost.
    pub loss: f64,
    /// Bytes that JSON-RPC and HTTP add to a request.
    pub request_framing: usize,
    /// Bytes that JSON-RPC and HTTP add to an answer.
    pub answer_framing: usize,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self {
            seed: 1,
            latency: Duration::from_micros(500),
            region_latency: Duration::from_millis(60),
            loss: 0.0,
            request_framing: 0,
            answer_framing: 0,
        }
    }
}

/// Number and total size of the messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes, including framing.
    pub bytes: u64,
}

/// Network between the nodes of one process. Messages are encoded and decoded as on a real
/// network.
#[derive(Clone, Debug)]
pub struct MemoryNetwork {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    settings: MemorySettings,
    random: SmallRng,
    nodes: HashMap<SmolStr, Endpoint>,
    cut: HashSet<Zone>,
    traffic: BTreeMap<&'static str, Traffic>,
}

#[derive(Clone, Debug)]
struct Endpoint {
    region: Region,
    zone: Zone,
    fleet: Option<Fleet>,
}

/// Client of a [`MemoryNetwork`] for the node at one address.
#[derive(Clone, Debug)]
pub struct MemoryPeers {
    network: MemoryNetwork,
    local: SmolStr,
}

impl MemoryNetwork {
    /// Creates a network without nodes.
    #[must_use]
    pub fn new(settings: MemorySettings) -> Self {
        let state = State {
            random: SmallRng::seed_from_u64(settings.seed),
            settings,
            nodes: HashMap::new(),
            cut: HashSet::new(),
            traffic: BTreeMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Adds an address and returns the client for the node at this address.
    #[must_use]
    pub fn add(&self, address: &str, region: &str, zone: &str) -> MemoryPeers {
        let endpoint = Endpoint {
            region: region.into(),
            zone: zone.into(),
            fleet: None,
        };
        self.state().nodes.insert(address.into(), endpoint);
        MemoryPeers {
            network: self.clone(),
            local: address.into(),
        }
    }

    /// Routes requests for an address to a node.
    pub fn attach(&self, address: &str, fleet: Fleet) {
        if let Some(endpoint) = self.state().nodes.get_mut(address) {
            endpoint.fleet = Some(fleet);
        }
    }

    /// Removes an address; requests to it are never answered. The node's task ends once all other
    /// handles to it are dropped.
    pub fn remove(&self, address: &str) {
        self.state().nodes.remove(address);
    }

    /// Partitions the network into the given zones and all others; replaces an earlier partition.
    pub fn cut(&self, zones: &[&str]) {
        self.state().cut = zones.iter().map(SmolStr::new).collect();
    }

    /// Returns the traffic by kind of message since the last call of this method.
    #[must_use]
    pub fn take_traffic(&self) -> BTreeMap<&'static str, Traffic> {
        std::mem::take(&mut self.state().traffic)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts a message and returns its delay, or `None` when the message is lost.
    fn send(
        &mut self,
        from: &str,
        to: &str,
        message: &PeerMessage,
        size: usize,
    ) -> Option<Duration> {
        let traffic = self.traffic.entry(message.kind()).or_default();
        traffic.messages += 1;
        traffic.bytes += size as u64;
        let (from, to) = (self.nodes.get(from)?, self.nodes.get(to)?);
        let cut = self.cut.contains(&from.zone) != self.cut.contains(&to.zone);
        if cut || (self.settings.loss > 0.0 && self.random.random_bool(self.settings.loss)) {
            return None;
        }
        let mean = if from.region == to.region {
            self.settings.latency
        } else {
            self.settings.region_latency
        };
        Some(mean.mul_f64(self.random.random_range(0.8..1.2)))
    }
}

impl MemoryPeers {
    /// Delivers a message to an address after a delay; never returns when the message is lost.
    async fn transmit(
        &self,
        from: &str,
        to: &str,
        message: &PeerMessage,
        framing: usize,
    ) -> Result<PeerMessage, PeerError> {
        let failed = |e: serde_json::Error| PeerError {
            address: to.into(),
            reason: e.to_string(),
        };
        let data = serde_json::to_vec(message).map_err(failed)?;
        let delay = self
            .network
            .state()
            .send(from, to, message, data.len() + framing);
        match delay {
            Some(delay) => sleep(delay).await,
            None => pending().await,
        }
        serde_json::from_slice(&data).map_err(failed)
    }
}

impl Peers for MemoryPeers {
    async fn call(&self, address: &str, message: PeerMessage) -> Result<PeerMessage, PeerError> {
        let (request, answer) = {
            let state = self.network.state();
            (
                state.settings.request_framing,
                state.settings.answer_framing,
            )
        };
        let message = self
            .transmit(&self.local, address, &message, request)
            .await?;
        let endpoint = self.network.state().nodes.get(address).cloned();
        let Some(fleet) = endpoint.and_then(|endpoint| endpoint.fleet) else {
            return pending().await;
        };
        let reply = fleet.receive(message).await.ok_or_else(|| PeerError {
            address: address.into(),
            reason: "the node has stopped".into(),
        })?;
        let local = self.local.to_smolstr();
        self.transmit(address, &local, &reply, answer).await
    }
}
