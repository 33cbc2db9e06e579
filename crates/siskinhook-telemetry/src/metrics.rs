//! Recording of metrics.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::sampled::Sampled;

/// Bounds of the failover gap in seconds; a primary change is complete within 7 s.
const GAP_BOUNDS: [f64; 10] = [0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 7.0, 15.0, 60.0];

/// The metrics of a node. Clones record into the same registry.
///
/// Gauges are exported while they are set at least every 15 seconds.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    reads: Counter<u64>,
    failover_gap: Histogram<f64>,
    completed: Counter<u64>,
    refusals: Counter<u64>,
    queue_waits: Counter<u64>,
    queue_seconds: Counter<f64>,
    requests: Counter<u64>,
    reroutes: Counter<u64>,
    not_fresh: Counter<u64>,
    retries: Counter<u64>,
    verdicts: Counter<u64>,
    lookups: Counter<u64>,
    unconfirmed: Counter<u64>,
    connections_opened: Counter<u64>,
    silent_connections: Counter<u64>,
    promotions: Counter<u64>,
    polls: Counter<u64>,
    queue_length: Sampled,
    pool: Sampled,
    owned_servers: Sampled,
    active: Sampled,
    group_term: Sampled,
    replica_lag: Sampled,
    anchor_age: Sampled,
    callers: Sampled,
    members: Sampled,
    catalogue_revision: Sampled,
    audit_waiting: Sampled,
    platform_calls: Counter<u64>,
    platform_wait: Counter<f64>,
    /// Totals of the engine's counters at the last sample.
    totals: Arc<Mutex<HashMap<String, u64>>>,
}

impl Metrics {
    /// Creates the metrics of a node.
    ///
    /// # Errors
    /// The exporter cannot be set up.
    pub fn new() -> Result<Self> {
        Self::with_clock(Instant::now)
    }

    /// Creates metrics whose gauges expire by the clock passed in.
    ///
    /// # Errors
    /// The exporter cannot be set up.
    pub fn with_clock(clock: fn() -> Instant) -> Result<Self> {
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
        let time = |name| meter.f64_counter(full(name)).build();
        let gauge = |name, label| Sampled::new(&meter, full(name), label, clock);
        Ok(Self {
            reads: counter("reads"),
            failover_gap: gap(&meter),
            completed: counter("completed"),
            refusals: counter("refusals"),
            queue_waits: counter("queue_waits"),
            queue_seconds: time("queue_wait_seconds"),
            requests: counter("requests"),
            reroutes: counter("reroutes"),
            not_fresh: counter("not_fresh"),
            retries: counter("retries"),
            verdicts: counter("verdicts"),
            lookups: counter("lookups"),
            unconfirmed: counter("unconfirmed_writes"),
            connections_opened: counter("connections_opened"),
            silent_connections: counter("silent_connections"),
            promotions: counter("promotions"),
            polls: counter("group_polls"),
            queue_length: gauge("queue_length", "server"),
            pool: gauge("pool_connections", "server"),
            owned_servers: gauge("owned_servers", ""),
            active: gauge("active_requests", ""),
            group_term: gauge("group_term", "database"),
            replica_lag: gauge("replica_lag", "server"),
            anchor_age: gauge("anchor_age_seconds", "database"),
            callers: gauge("callers", ""),
            members: gauge("members", "state"),
            catalogue_revision: gauge("catalogue_revision", ""),
            audit_waiting: gauge("audit_waiting", ""),
            platform_calls: counter("platform_calls"),
            platform_wait: time("platform_wait_seconds"),
            totals: Arc::default(),
            registry,
            provider,
        })
    }

    /// Returns all values in the text format of Prometheus.
    ///
    /// # Errors
    /// The values cannot be encoded.
    pub fn encode_text(&self) -> Result<String> {
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

    /// Adds what the engine's counters rose by since the last call. Takes their names and totals;
    /// returns the names that belong to no metric.
    pub fn add_engine_totals(&self, counters: &[(&str, u64)]) -> Vec<String> {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rise = HashMap::new();
        for (name, total) in counters {
            let before = totals.insert((*name).into(), *total).unwrap_or_default();
            rise.insert(*name, total.saturating_sub(before));
        }
        self.failover_gaps(
            rise.get("promotions").copied().unwrap_or_default(),
            rise.get("failover_gap_millis").copied().unwrap_or_default(),
        );
        counters
            .iter()
            .filter(|(name, _)| !self.add(name, rise[name]))
            .map(|(name, _)| (*name).into())
            .collect()
    }

    /// Adds to the metric of an engine counter; returns whether there is one.
    fn add(&self, name: &str, rise: u64) -> bool {
        let (counter, labels): (&Counter<u64>, &[KeyValue]) = match name {
            "replica_reads" => (&self.reads, &[label("source", "replica")]),
            "primary_reads" => (&self.reads, &[label("source", "primary")]),
            "writes" => (&self.completed, &[label("kind", "write")]),
            "inner_statements" => (&self.completed, &[label("kind", "inner")]),
            "refused" => (&self.refusals, &[label("reason", "overload")]),
            "deadlines" => (&self.refusals, &[label("reason", "deadline")]),
            "short_waits" => (&self.queue_waits, &[label("class", "short")]),
            "long_waits" => (&self.queue_waits, &[label("class", "long")]),
            "short_wait_micros" => return self.waited("short", rise),
            "long_wait_micros" => return self.waited("long", rise),
            "owned" => (&self.requests, &[label("path", "owned")]),
            "forwarded" => (&self.requests, &[label("path", "forwarded")]),
            "reroutes" => (&self.reroutes, &[]),
            "not_fresh" => (&self.not_fresh, &[]),
            "retries" => (&self.retries, &[label("result", "sent")]),
            "retries_refused" => (&self.retries, &[label("result", "refused")]),
            "not_run" => (&self.verdicts, &[label("verdict", "not_run")]),
            "may_have_run" => (&self.verdicts, &[label("verdict", "may_have_run")]),
            "ran" => (&self.verdicts, &[label("verdict", "ran")]),
            "lookups" => (&self.lookups, &[label("result", "asked")]),
            "resolved" => (&self.lookups, &[label("result", "determined")]),
            "not_confirmed" => (&self.unconfirmed, &[]),
            "connections_opened" => (&self.connections_opened, &[]),
            "silent_connections" => (&self.silent_connections, &[]),
            "promotions" => (&self.promotions, &[]),
            "polls" => (&self.polls, &[]),
            // Recorded together with the promotions.
            "failover_gap_millis" => return true,
            _ => return false,
        };
        counter.add(rise, labels);
        true
    }

    fn waited(&self, class: &str, micros: u64) -> bool {
        let time = Duration::from_micros(micros).as_secs_f64();
        self.queue_seconds.add(time, &[label("class", class)]);
        true
    }

    /// Records the gaps of promotions since the last sample. With more than one in a sample, each
    /// is recorded as their mean.
    fn failover_gaps(&self, promotions: u64, millis: u64) {
        let Ok(count) = u32::try_from(promotions) else {
            return;
        };
        for _ in 0..count {
            let gap = Duration::from_millis(millis) / count;
            self.failover_gap.record(gap.as_secs_f64(), &[]);
        }
    }

    /// Sets the number of requests that wait for a server that this node owns.
    pub fn set_queue_length(&self, server: &str, length: u64) {
        self.queue_length.set(Some(server), float(length));
    }

    /// Sets the number of data connections to a server that this node owns.
    pub fn set_pool_connections(&self, server: &str, connections: u64) {
        self.pool.set(Some(server), float(connections));
    }

    /// Sets the number of servers whose owner lock this node holds.
    pub fn set_owned_servers(&self, servers: u64) {
        self.owned_servers.set(None, float(servers));
    }

    /// Sets the number of requests in progress.
    pub fn set_active_requests(&self, requests: u64) {
        self.active.set(None, float(requests));
    }

    /// Sets the term of a group.
    pub fn set_group_term(&self, database: &str, term: u64) {
        self.group_term.set(Some(database), float(term));
    }

    /// Sets how many log entries a replica is behind.
    pub fn set_replica_lag(&self, server: &str, entries: u64) {
        self.replica_lag.set(Some(server), float(entries));
    }

    /// Sets the age of the newest anchor of a group.
    pub fn set_anchor_age(&self, database: &str, age: Duration) {
        self.anchor_age.set(Some(database), age.as_secs_f64());
    }

    /// Sets the number of connected callers.
    pub fn set_callers(&self, connections: u64) {
        self.callers.set(None, float(connections));
    }

    /// Sets the number of known nodes in a state: `alive`, `suspect`, `leaving` or `dead`.
    pub fn set_members(&self, state: &str, nodes: u64) {
        self.members.set(Some(state), float(nodes));
    }

    /// Sets the catalogue revision in force.
    pub fn set_catalogue_revision(&self, revision: u64) {
        self.catalogue_revision.set(None, float(revision));
    }

    /// Sets the number of audit records that wait for the platform.
    pub fn set_audit_waiting(&self, records: u64) {
        self.audit_waiting.set(None, float(records));
    }

    /// Counts calls to the platform; `kind` is `read` or `write`, `result` is `done`, `failed`,
    /// `lost` or `refused`.
    pub fn add_platform_calls(&self, kind: &str, result: &str, calls: u64) {
        self.platform_calls
            .add(calls, &[label("kind", kind), label("result", result)]);
    }

    /// Adds time that calls waited for the node's share of the platform.
    pub fn add_platform_wait(&self, wait: Duration) {
        self.platform_wait.add(wait.as_secs_f64(), &[]);
    }
}

fn full(name: &str) -> String {
    format!("siskinhook_{name}")
}

fn gap(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram(full("failover_gap_seconds"))
        .with_boundaries(GAP_BOUNDS.to_vec())
        .build()
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}

/// Gauges are floating point numbers on the wire; numbers above 2^53 lose their last digits.
#[expect(
    clippy::cast_precision_loss,
    reason = "the format of Prometheus has no integers"
)]
fn float(number: u64) -> f64 {
    number as f64
}
