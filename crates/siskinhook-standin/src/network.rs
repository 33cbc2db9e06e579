//! Simulated network with latencies, cuts and silenced connections.

use std::{
    future,
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use indexmap::{IndexMap, IndexSet};
use siskinhook_types::{Zone, value_type};
use smol_str::SmolStr;
use tokio::{sync::watch, time::sleep};

use crate::lock;

/// Pseudo zone of callers, which are outside all zones.
const CLIENT_ZONE: &str = "client";
/// Name and pseudo zone of the platform.
const PLATFORM: &str = "platform";

value_type! {
    /// A process that sends and receives messages.
    #[derive(Hash)]
    pub struct Endpoint {
        /// Name; unique in the site.
        pub name: SmolStr,
        /// Zone that the process runs in.
        pub zone: Zone,
    }

    /// A network partition: messages between its two sides do not arrive.
    #[derive(Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum Cut {
        /// Separates a zone from all other zones.
        Zone(Zone),
        /// Separates a zone from the platform.
        Platform(Zone),
        /// Separates a server or node from everything.
        Name(SmolStr),
        /// Separates two zones, servers or nodes from each other.
        Pair(SmolStr, SmolStr),
    }
}

impl Endpoint {
    /// Creates the endpoint of a server or node.
    pub fn new(name: impl Into<SmolStr>, zone: impl Into<Zone>) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
        }
    }

    /// Creates the endpoint of a caller.
    pub fn client(name: impl Into<SmolStr>) -> Self {
        Self::new(name, CLIENT_ZONE)
    }

    /// Creates the endpoint of the platform.
    #[must_use]
    pub fn platform() -> Self {
        Self::new(PLATFORM, PLATFORM)
    }

    fn is_in_zone(&self) -> bool {
        self.zone != CLIENT_ZONE && self.zone != PLATFORM
    }

    fn matches(&self, name: &str) -> bool {
        self.name == name || self.zone == name
    }
}

impl Cut {
    /// Returns whether the cut separates two endpoints.
    #[must_use]
    pub fn separates(&self, a: &Endpoint, b: &Endpoint) -> bool {
        match self {
            Self::Zone(zone) => {
                a.is_in_zone() && b.is_in_zone() && (a.zone == *zone) != (b.zone == *zone)
            }
            Self::Platform(zone) => {
                (a.zone == PLATFORM && b.zone == *zone) || (b.zone == PLATFORM && a.zone == *zone)
            }
            Self::Name(name) => a.name == *name || b.name == *name,
            Self::Pair(x, y) => (a.matches(x) && b.matches(y)) || (a.matches(y) && b.matches(x)),
        }
    }
}

/// One-way latencies. The defaults are those of today's deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latencies {
    /// Within a zone.
    pub local: Duration,
    /// Between zones.
    pub zones: Duration,
    /// Between callers and the site.
    pub clients: Duration,
    /// Between the platform and the zones.
    pub platform: Duration,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            local: Duration::from_micros(100),
            zones: Duration::from_micros(500),
            clients: Duration::from_millis(1),
            platform: Duration::from_millis(1),
        }
    }
}

/// Network that connects all endpoints of a site.
#[derive(Clone, Debug)]
pub struct Network {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    latencies: Latencies,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    cuts: IndexSet<Cut>,
    delays: IndexMap<Cut, Duration>,
    connections: Vec<Weak<Connection>>,
}

/// A connection between two endpoints.
#[derive(Debug)]
pub struct Connection {
    network: Network,
    from: Endpoint,
    to: Endpoint,
    silent: AtomicBool,
    /// Latency below one millisecond that is carried over to the next message.
    unslept: Mutex<Duration>,
}

impl Network {
    /// Creates a network without cuts.
    #[must_use]
    pub fn new(latencies: Latencies) -> Self {
        Self {
            inner: Arc::new(Inner {
                latencies,
                state: Mutex::default(),
                changed: watch::Sender::new(0),
            }),
        }
    }

    /// Returns whether messages can pass between two endpoints.
    #[must_use]
    pub fn is_open(&self, a: &Endpoint, b: &Endpoint) -> bool {
        let state = lock(&self.inner.state);
        !state.cuts.iter().any(|cut| cut.separates(a, b))
    }

    /// Returns the cuts in force.
    #[must_use]
    pub fn cuts(&self) -> Vec<Cut> {
        lock(&self.inner.state).cuts.iter().cloned().collect()
    }

    /// Adds a cut.
    pub fn cut(&self, cut: Cut) {
        lock(&self.inner.state).cuts.insert(cut);
        self.inner.changed.send_modify(|version| *version += 1);
    }

    /// Removes a cut. The connections across it resume, or stay silent for good if `silent` is set.
    pub fn heal(&self, cut: &Cut, silent: bool) {
        if silent {
            self.silence(cut);
        }
        lock(&self.inner.state).cuts.shift_remove(cut);
        self.inner.changed.send_modify(|version| *version += 1);
    }

    /// Makes the open connections that a cut would separate silent for good. New connections work.
    pub fn silence(&self, cut: &Cut) {
        let mut state = lock(&self.inner.state);
        state.connections.retain(|weak| weak.strong_count() > 0);
        for connection in state.connections.iter().filter_map(Weak::upgrade) {
            if cut.separates(&connection.from, &connection.to) {
                connection.silent.store(true, Ordering::Release);
            }
        }
        drop(state);
        self.inner.changed.send_modify(|version| *version += 1);
    }

    /// Delays the messages between the two sides of a cut, without cutting; zero ends the delay.
    pub fn delay(&self, cut: &Cut, delay: Duration) {
        let mut state = lock(&self.inner.state);
        if delay.is_zero() {
            state.delays.shift_remove(cut);
        } else {
            state.delays.insert(cut.clone(), delay);
        }
    }

    /// Creates a connection without sending a message.
    #[must_use]
    pub fn connect(&self, from: Endpoint, to: Endpoint) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            network: self.clone(),
            from,
            to,
            silent: AtomicBool::new(false),
            unslept: Mutex::default(),
        });
        let mut state = lock(&self.inner.state);
        if state.connections.len() == state.connections.capacity() {
            state.connections.retain(|weak| weak.strong_count() > 0);
        }
        state.connections.push(Arc::downgrade(&connection));
        connection
    }

    fn latency(&self, a: &Endpoint, b: &Endpoint) -> Duration {
        let latencies = &self.inner.latencies;
        let delay: Duration = lock(&self.inner.state)
            .delays
            .iter()
            .filter(|(cut, _)| cut.separates(a, b))
            .map(|(_, delay)| *delay)
            .sum();
        let base = if a.zone == b.zone {
            latencies.local
        } else if a.zone == PLATFORM || b.zone == PLATFORM {
            latencies.platform
        } else if a.zone == CLIENT_ZONE || b.zone == CLIENT_ZONE {
            latencies.clients
        } else {
            latencies.zones
        };
        base + delay
    }
}

impl Connection {
    /// Returns the endpoint that opened the connection.
    #[must_use]
    pub fn from(&self) -> &Endpoint {
        &self.from
    }

    /// Returns whether a message can pass now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.silent.load(Ordering::Acquire) && self.network.is_open(&self.from, &self.to)
    }

    /// Waits until a message can pass. Never returns if the connection is silent for good.
    pub async fn wait_until_open(&self) {
        let mut changed = self.network.inner.changed.subscribe();
        while !self.is_open() {
            if self.silent.load(Ordering::Acquire) || changed.changed().await.is_err() {
                future::pending::<()>().await;
            }
        }
    }

    /// Waits as long as one message takes to arrive: the latency, and any time in which the network
    /// is cut.
    ///
    /// A message sent across a cut arrives once the cut is healed, as TCP retransmits it.
    pub async fn pass(&self) {
        self.wait_until_open().await;
        let latency = self.network.latency(&self.from, &self.to);
        sleep_carrying_rest(&self.unslept, latency).await;
        self.wait_until_open().await;
    }
}

/// Sleeps for whole milliseconds and carries the rest over to the next call, because tokio's timer
/// rounds every sleep up to a whole millisecond.
pub(crate) async fn sleep_carrying_rest(unslept: &Mutex<Duration>, duration: Duration) {
    let whole_millis = {
        let mut unslept = lock(unslept);
        *unslept += duration;
        let whole_millis =
            Duration::from_millis(u64::try_from(unslept.as_millis()).unwrap_or(u64::MAX));
        *unslept -= whole_millis;
        whole_millis
    };
    if !whole_millis.is_zero() {
        sleep(whole_millis).await;
    }
}
