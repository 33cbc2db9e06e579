//! Records the metrics of a node and exports them in the text format of Prometheus.

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

use crate::sampled::SampledGauge;

/// Bucket bounds of the failover gap. A change of primary completes within 7 s.
const FAILOVER_GAP_BOUNDS_SECONDS: [f64; 10] =
    [0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 7.0, 15.0, 60.0];

/// The metrics of a node. Clones record into the same registry.
///
/// A gauge is exported only while it is set at least every 15 seconds.
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
    unconfirmed_writes: Counter<u64>,
    connections_opened: Counter<u64>,
    silent_connections: Counter<u64>,
    promotions: Counter<u64>,
    group_polls: Counter<u64>,
    queue_length: SampledGauge,
    pool_connections: SampledGauge,
    owned_servers: SampledGauge,
    active_requests: SampledGauge,
    group_term: SampledGauge,
    replica_lag: SampledGauge,
    anchor_age: SampledGauge,
    callers: SampledGauge,
    members: SampledGauge,
    catalogue_revision: SampledGauge,
    audit_waiting: SampledGauge,
    platform_calls: Counter<u64>,
    platform_wait: Counter<f64>,
    /// Last seen totals of the engine's counters, by name.
    engine_totals: Arc<Mutex<HashMap<String, u64>>>,
}

impl Metrics {
    /// Creates the metrics of a node.
    ///
    /// # Errors
    /// Fails when the exporter cannot be set up.
    pub fn new() -> Result<Self> {
        Self::with_clock(Instant::now)
    }

    /// Creates the metrics with a clock that decides when gauges expire.
    ///
    /// # Errors
    /// Fails when the exporter cannot be set up.
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
        let counter = |name| meter.u64_counter(metric_name(name)).build();
        let seconds_counter = |name| meter.f64_counter(metric_name(name)).build();
        let gauge = |name, label| SampledGauge::new(&meter, metric_name(name), label, clock);
        Ok(Self {
            reads: counter("reads"),
            failover_gap: failover_gap_histogram(&meter),
            completed: counter("completed"),
            refusals: counter("refusals"),
            queue_waits: counter("queue_waits"),
            queue_seconds: seconds_counter("queue_wait_seconds"),
            requests: counter("requests"),
            reroutes: counter("reroutes"),
            not_fresh: counter("not_fresh"),
            retries: counter("retries"),
            verdicts: counter("verdicts"),
            lookups: counter("lookups"),
            unconfirmed_writes: counter("unconfirmed_writes"),
            connections_opened: counter("connections_opened"),
            silent_connections: counter("silent_connections"),
            promotions: counter("promotions"),
            group_polls: counter("group_polls"),
            queue_length: gauge("queue_length", "server"),
            pool_connections: gauge("pool_connections", "server"),
            owned_servers: gauge("owned_servers", ""),
            active_requests: gauge("active_requests", ""),
            group_term: gauge("group_term", "database"),
            replica_lag: gauge("replica_lag", "server"),
            anchor_age: gauge("anchor_age_seconds", "database"),
            callers: gauge("callers", ""),
            members: gauge("members", "state"),
            catalogue_revision: gauge("catalogue_revision", ""),
            audit_waiting: gauge("audit_waiting", ""),
            platform_calls: counter("platform_calls"),
            platform_wait: seconds_counter("platform_wait_seconds"),
            engine_totals: Arc::default(),
            registry,
            provider,
        })
    }

    /// Encodes all metrics in the text format of Prometheus.
    ///
    /// # Errors
    /// Fails when the values cannot be encoded.
    pub fn encode_text(&self) -> Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buffer)
            .context("the metrics cannot be encoded")?;
        String::from_utf8(buffer).context("the metrics are not valid UTF-8")
    }

    /// Shuts down the metrics provider when the node ends.
    pub fn shutdown(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("metrics were already shut down: {error}");
        }
    }

    /// Adds the increase of the engine's counters since the previous call to their metrics.
    ///
    /// `counters` holds the name and total of each counter. Returns the names of the counters that
    /// belong to no metric.
    pub fn add_engine_totals(&self, counters: &[(&str, u64)]) -> Vec<String> {
        let mut engine_totals = self
            .engine_totals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut increase = HashMap::new();
        for (name, total) in counters {
            let previous = engine_totals
                .insert((*name).into(), *total)
                .unwrap_or_default();
            increase.insert(*name, total.saturating_sub(previous));
        }
        self.record_failover_gaps(
            increase.get("promotions").copied().unwrap_or_default(),
            increase
                .get("failover_gap_millis")
                .copied()
                .unwrap_or_default(),
        );
        counters
            .iter()
            .filter(|(name, _)| !self.add_counter(name, increase[name]))
            .map(|(name, _)| (*name).into())
            .collect()
    }

    /// Adds an increase to the metric of an engine counter. Returns false if it has no metric.
    fn add_counter(&self, name: &str, increase: u64) -> bool {
        let (counter, labels): (&Counter<u64>, &[KeyValue]) = match name {
            "replica_reads" => (&self.reads, &[label("source", "replica")]),
            "primary_reads" => (&self.reads, &[label("source", "primary")]),
            "writes" => (&self.completed, &[label("kind", "write")]),
            "inner_statements" => (&self.completed, &[label("kind", "inner")]),
            "refused" => (&self.refusals, &[label("reason", "overload")]),
            "deadlines" => (&self.refusals, &[label("reason", "deadline")]),
            "short_waits" => (&self.queue_waits, &[label("class", "short")]),
            "long_waits" => (&self.queue_waits, &[label("class", "long")]),
            "short_wait_micros" => return self.add_queue_wait("short", increase),
            "long_wait_micros" => return self.add_queue_wait("long", increase),
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
            "not_confirmed" => (&self.unconfirmed_writes, &[]),
            "connections_opened" => (&self.connections_opened, &[]),
            "silent_connections" => (&self.silent_connections, &[]),
            "promotions" => (&self.promotions, &[]),
            "polls" => (&self.group_polls, &[]),
            // `add_engine_totals` records it together with the promotions.
            "failover_gap_millis" => return true,
            _ => return false,
        };
        counter.add(increase, labels);
        true
    }

    fn add_queue_wait(&self, class: &str, micros: u64) -> bool {
        let seconds = Duration::from_micros(micros).as_secs_f64();
        self.queue_seconds.add(seconds, &[label("class", class)]);
        true
    }

    /// Records the failover gaps of the promotions since the previous call.
    ///
    /// Only the sum of the gaps is known: with several promotions, the mean is recorded for each.
    fn record_failover_gaps(&self, promotions: u64, millis: u64) {
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
        self.queue_length.set(Some(server), to_f64(length));
    }

    /// Sets the number of data connections to a server that this node owns.
    pub fn set_pool_connections(&self, server: &str, connections: u64) {
        self.pool_connections.set(Some(server), to_f64(connections));
    }

    /// Sets the number of servers whose owner lock this node holds.
    pub fn set_owned_servers(&self, servers: u64) {
        self.owned_servers.set(None, to_f64(servers));
    }

    /// Sets the number of requests in progress.
    pub fn set_active_requests(&self, requests: u64) {
        self.active_requests.set(None, to_f64(requests));
    }

    /// Sets the current term of a group.
    pub fn set_group_term(&self, database: &str, term: u64) {
        self.group_term.set(Some(database), to_f64(term));
    }

    /// Sets how many log entries a replica is behind.
    pub fn set_replica_lag(&self, server: &str, entries: u64) {
        self.replica_lag.set(Some(server), to_f64(entries));
    }

    /// Sets the age of the newest read-freshness anchor of a group.
    pub fn set_anchor_age(&self, database: &str, age: Duration) {
        self.anchor_age.set(Some(database), age.as_secs_f64());
    }

    /// Sets the number of connected callers.
    pub fn set_callers(&self, connections: u64) {
        self.callers.set(None, to_f64(connections));
    }

    /// Sets the number of known nodes in a state: `alive`, `suspect`, `leaving` or `dead`.
    pub fn set_members(&self, state: &str, nodes: u64) {
        self.members.set(Some(state), to_f64(nodes));
    }

    /// Sets the catalogue revision in force.
    pub fn set_catalogue_revision(&self, revision: u64) {
        self.catalogue_revision.set(None, to_f64(revision));
    }

    /// Sets the number of audit records that wait for the platform.
    pub fn set_audit_waiting(&self, records: u64) {
        self.audit_waiting.set(None, to_f64(records));
    }

    /// Adds calls to the platform. `kind` is `read` or `write`; `result` is `done`, `failed`, `lost`
    /// or `refused`.
    pub fn add_platform_calls(&self, kind: &str, result: &str, calls: u64) {
        self.platform_calls
            .add(calls, &[label("kind", kind), label("result", result)]);
    }

    /// Adds the time that calls waited for the node's share of the platform's capacity.
    pub fn add_platform_wait(&self, wait: Duration) {
        self.platform_wait.add(wait.as_secs_f64(), &[]);
    }
}

fn metric_name(name: &str) -> String {
    format!("siskinhook_{name}")
}

fn failover_gap_histogram(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram(metric_name("failover_gap_seconds"))
        .with_boundaries(FAILOVER_GAP_BOUNDS_SECONDS.to_vec())
        .build()
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}

/// Converts a value for export as floating point. Values above 2^53 lose precision.
#[expect(
    clippy::cast_precision_loss,
    reason = "the format of Prometheus has no integers"
)]
fn to_f64(number: u64) -> f64 {
    number as f64
}
