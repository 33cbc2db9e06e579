//! Recording of metrics.

use std::time::Duration;

use anyhow::{Context, Result};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds in seconds. 7 s is the limit of a failover, 0.5 ms the latency between zones.
const BOUNDS: [f64; 16] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 7.0, 30.0,
];

/// Where a read was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSource {
    /// By a replica.
    Replica,
    /// By the primary.
    Primary,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The expected wait was too long.
    Overload,
    /// The deadline passed.
    Deadline,
    /// No server was fresh enough in time.
    NotFresh,
    /// No server could serve it.
    Unavailable,
    /// The node drains.
    Draining,
}

/// State of a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pool {
    /// Free.
    Idle,
    /// Running a statement.
    Busy,
    /// Held by a transaction.
    Pinned,
    /// For control commands.
    Control,
}

/// The metrics of a node. Clones record into the same registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    reads: Counter<u64>,
    failover_gap: Histogram<f64>,
    completed: Counter<u64>,
    refusals: Counter<u64>,
    queue_wait: Histogram<f64>,
    queue_length: Gauge<u64>,
    slots_busy: Gauge<u64>,
    pool: Gauge<u64>,
    owned_servers: Gauge<u64>,
    takeovers: Counter<u64>,
    group_term: Gauge<u64>,
    promotions: Counter<u64>,
    replica_lag: Gauge<u64>,
    anchor_age: Gauge<f64>,
    verdicts: Counter<u64>,
    outcomes: Counter<u64>,
    retries: Counter<u64>,
    callers: Gauge<u64>,
    members: Gauge<u64>,
    catalogue_revision: Gauge<u64>,
    catalogue_delay: Histogram<f64>,
    control_bytes: Counter<u64>,
    control_messages: Counter<u64>,
    platform_calls: Counter<u64>,
    platform_wait: Counter<f64>,
    audit_waiting: Gauge<u64>,
}

impl Metrics {
    /// Creates the metrics of a node.
    ///
    /// # Errors
    /// The exporter cannot be set up.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_units()
            .without_target_info()
            .build()
            .context("the metrics exporter cannot be set up")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("siskinhook");
        let counter = |name| meter.u64_counter(full(name)).build();
        let gauge = |name| meter.u64_gauge(full(name)).build();
        let histogram = |name| seconds(&meter, name);
        Ok(Self {
            reads: counter("reads"),
            failover_gap: histogram("failover_gap_seconds"),
            completed: counter("completed"),
            refusals: counter("refusals"),
            queue_wait: histogram("queue_wait_seconds"),
            queue_length: gauge("queue_length"),
            slots_busy: gauge("slots_busy"),
            pool: gauge("pool_connections"),
            owned_servers: gauge("owned_servers"),
            takeovers: counter("takeovers"),
            group_term: gauge("group_term"),
            promotions: counter("promotions"),
            replica_lag: gauge("replica_lag"),
            anchor_age: meter.f64_gauge(full("anchor_age_seconds")).build(),
            verdicts: counter("verdicts"),
            outcomes: counter("outcomes"),
            retries: counter("retries"),
            callers: gauge("callers"),
            members: gauge("members"),
            catalogue_revision: gauge("catalogue_revision"),
            catalogue_delay: histogram("catalogue_delay_seconds"),
            control_bytes: counter("control_bytes"),
            control_messages: counter("control_messages"),
            platform_calls: counter("platform_calls"),
            platform_wait: meter.f64_counter(full("platform_wait_seconds")).build(),
            audit_waiting: gauge("audit_waiting"),
            registry,
            provider,
        })
    }

    /// Returns all values in the text format of Prometheus.
    ///
    /// # Errors
    /// The values cannot be encoded.
    pub fn text(&self) -> Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buffer)
            .context("the metrics cannot be encoded")?;
        String::from_utf8(buffer).context("the metrics are not valid UTF-8")
    }

    /// Stops recording, at the end of the process.
    pub fn shutdown(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("metrics were already shut down: {error}");
        }
    }

    /// Counts a read.
    pub fn read(&self, database: &str, source: ReadSource) {
        let source = match source {
            ReadSource::Replica => "replica",
            ReadSource::Primary => "primary",
        };
        self.reads
            .add(1, &[label("database", database), label("source", source)]);
    }

    /// Records for how long writes were unavailable during a primary change.
    pub fn failover_gap(&self, database: &str, gap: Duration) {
        self.failover_gap
            .record(gap.as_secs_f64(), &[label("database", database)]);
    }

    /// Counts a request answered within its deadline. `class` is `short` or `long`.
    pub fn completed(&self, database: &str, class: &str) {
        self.completed
            .add(1, &[label("database", database), label("class", class)]);
    }

    /// Counts a refused request.
    pub fn refused(&self, database: &str, reason: Refused) {
        let reason = match reason {
            Refused::Overload => "overload",
            Refused::Deadline => "deadline",
            Refused::NotFresh => "not_fresh",
            Refused::Unavailable => "unavailable",
            Refused::Draining => "draining",
        };
        self.refusals
            .add(1, &[label("database", database), label("reason", reason)]);
    }

    /// Records the time that a request waited for a slot.
    pub fn queue_wait(&self, database: &str, class: &str, wait: Duration) {
        self.queue_wait.record(
            wait.as_secs_f64(),
            &[label("database", database), label("class", class)],
        );
    }

    /// Sets the number of requests that wait for a server.
    pub fn queue_length(&self, server: &str, class: &str, length: u64) {
        self.queue_length
            .record(length, &[label("server", server), label("class", class)]);
    }

    /// Sets the number of busy slots of a server.
    pub fn slots_busy(&self, server: &str, slots: u64) {
        self.slots_busy.record(slots, &[label("server", server)]);
    }

    /// Sets the number of connections to a server in a state.
    pub fn pool(&self, server: &str, state: Pool, connections: u64) {
        let state = match state {
            Pool::Idle => "idle",
            Pool::Busy => "busy",
            Pool::Pinned => "pinned",
            Pool::Control => "control",
        };
        self.pool.record(
            connections,
            &[label("server", server), label("state", state)],
        );
    }

    /// Sets the number of servers that the node owns.
    pub fn owned_servers(&self, servers: u64) {
        self.owned_servers.record(servers, &[]);
    }

    /// Counts a server taken over from another node.
    pub fn takeover(&self) {
        self.takeovers.add(1, &[]);
    }

    /// Sets the term of a group.
    pub fn group_term(&self, database: &str, term: u64) {
        self.group_term.record(term, &[label("database", database)]);
    }

    /// Counts a promotion; `result` is `done`, `failed` or `deferred`.
    pub fn promotion(&self, database: &str, result: &str) {
        self.promotions
            .add(1, &[label("database", database), label("result", result)]);
    }

    /// Sets how many log entries a replica is behind.
    pub fn replica_lag(&self, server: &str, entries: u64) {
        self.replica_lag.record(entries, &[label("server", server)]);
    }

    /// Sets the age of the newest anchor of a group.
    pub fn anchor_age(&self, database: &str, age: Duration) {
        self.anchor_age
            .record(age.as_secs_f64(), &[label("database", database)]);
    }

    /// Counts a failure by its verdict: `not_run`, `may_have_run` or `ran`.
    pub fn verdict(&self, database: &str, verdict: &str) {
        self.verdicts
            .add(1, &[label("database", database), label("verdict", verdict)]);
    }

    /// Counts a look-up of an outcome; `result` is `ran`, `not_run` or `unknown`.
    pub fn outcome(&self, database: &str, result: &str) {
        self.outcomes
            .add(1, &[label("database", database), label("result", result)]);
    }

    /// Counts a retry.
    pub fn retry(&self, database: &str) {
        self.retries.add(1, &[label("database", database)]);
    }

    /// Sets the number of connected callers.
    pub fn callers(&self, connections: u64) {
        self.callers.record(connections, &[]);
    }

    /// Sets the number of known nodes in a state: `alive`, `suspect`, `leaving` or `dead`.
    pub fn members(&self, state: &str, nodes: u64) {
        self.members.record(nodes, &[label("state", state)]);
    }

    /// Sets the catalogue revision in force.
    pub fn catalogue_revision(&self, revision: u64) {
        self.catalogue_revision.record(revision, &[]);
    }

    /// Records how long after its acceptance a change came into force.
    pub fn catalogue_delay(&self, delay: Duration) {
        self.catalogue_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Counts a control message; `direction` is `sent` or `received`.
    pub fn control(&self, direction: &str, bytes: u64) {
        let labels = [label("direction", direction)];
        self.control_messages.add(1, &labels);
        self.control_bytes.add(bytes, &labels);
    }

    /// Counts calls to the platform; `kind` is `read` or `write`, `result` is `done`, `failed`,
    /// `lost` or `refused`.
    pub fn platform_calls(&self, kind: &str, result: &str, calls: u64) {
        self.platform_calls
            .add(calls, &[label("kind", kind), label("result", result)]);
    }

    /// Adds time that calls waited for the node's share of the platform.
    pub fn platform_wait(&self, wait: Duration) {
        self.platform_wait.add(wait.as_secs_f64(), &[]);
    }

    /// Sets the number of audit records that wait for the platform.
    pub fn audit_waiting(&self, records: u64) {
        self.audit_waiting.record(records, &[]);
    }
}

fn full(name: &str) -> String {
    format!("siskinhook_{name}")
}

fn seconds(meter: &Meter, name: &str) -> Histogram<f64> {
    meter
        .f64_histogram(full(name))
        .with_boundaries(BOUNDS.to_vec())
        .build()
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}
