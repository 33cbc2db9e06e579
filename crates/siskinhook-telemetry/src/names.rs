//! The table of metrics.

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Only rises; the exported name ends in `_total`.
    Counter,
    /// A current value.
    Gauge,
    /// A distribution.
    Histogram,
}

/// A metric: its name as exported, unit, labels and the question it answers.
#[derive(Clone, Copy, Debug)]
pub struct MetricInfo {
    /// Name as exported.
    pub name: &'static str,
    /// Kind.
    pub kind: MetricKind,
    /// Unit.
    pub unit: &'static str,
    /// Labels, separated by commas.
    pub labels: &'static str,
    /// Question that the metric answers.
    pub question: &'static str,
}

const fn metric(
    name: &'static str,
    kind: MetricKind,
    unit: &'static str,
    labels: &'static str,
    question: &'static str,
) -> MetricInfo {
    MetricInfo {
        name,
        kind,
        unit,
        labels,
        question,
    }
}

use MetricKind::{Counter, Gauge, Histogram};

/// All metrics; the four key measures come first.
pub const METRICS: &[MetricInfo] = &[
    metric(
        "siskinhook_reads_total",
        Counter,
        "reads",
        "database, source",
        "Which share of reads do replicas serve? (source replica or primary)",
    ),
    metric(
        "siskinhook_failover_gap_seconds",
        Histogram,
        "seconds",
        "database",
        "How long were writes unavailable during a primary change?",
    ),
    metric(
        "siskinhook_completed_total",
        Counter,
        "requests",
        "database, class",
        "How much work is answered within its deadline (goodput)?",
    ),
    metric(
        "siskinhook_refusals_total",
        Counter,
        "requests",
        "database, reason",
        "How much work is refused, and why? (reason overload, deadline, not_fresh, unavailable or draining)",
    ),
    metric(
        "siskinhook_queue_wait_seconds",
        Histogram,
        "seconds",
        "database, class",
        "How long does short work wait, and long work?",
    ),
    metric(
        "siskinhook_queue_length",
        Gauge,
        "requests",
        "server, class",
        "How many requests wait for a server that this node owns?",
    ),
    metric(
        "siskinhook_slots_busy",
        Gauge,
        "slots",
        "server",
        "How many slots of a server are in use?",
    ),
    metric(
        "siskinhook_pool_connections",
        Gauge,
        "connections",
        "server, state",
        "How many connections to a server does this node hold? (state idle, busy, pinned or control)",
    ),
    metric(
        "siskinhook_owned_servers",
        Gauge,
        "servers",
        "",
        "How many servers does this node own?",
    ),
    metric(
        "siskinhook_takeovers_total",
        Counter,
        "takeovers",
        "",
        "How often did this node take over a server from another node?",
    ),
    metric(
        "siskinhook_group_term",
        Gauge,
        "terms",
        "database",
        "In which term is a group, as this node last saw it?",
    ),
    metric(
        "siskinhook_promotions_total",
        Counter,
        "promotions",
        "database, result",
        "How often did this node promote a server? (result done, failed or deferred)",
    ),
    metric(
        "siskinhook_replica_lag",
        Gauge,
        "log entries",
        "server",
        "How far is a replica behind its primary?",
    ),
    metric(
        "siskinhook_anchor_age_seconds",
        Gauge,
        "seconds",
        "database",
        "How old is the newest data that reads can be sure of?",
    ),
    metric(
        "siskinhook_verdicts_total",
        Counter,
        "failures",
        "database, verdict",
        "How many failures were certain (not_run, ran) and how many were not (may_have_run)?",
    ),
    metric(
        "siskinhook_outcomes_total",
        Counter,
        "lookups",
        "database, result",
        "How were requests that may have run resolved? (result ran, not_run or unknown)",
    ),
    metric(
        "siskinhook_retries_total",
        Counter,
        "retries",
        "database",
        "How much work is repeated?",
    ),
    metric(
        "siskinhook_callers",
        Gauge,
        "connections",
        "",
        "How many callers are connected to this node?",
    ),
    metric(
        "siskinhook_members",
        Gauge,
        "nodes",
        "state",
        "How many nodes does this node know, by state?",
    ),
    metric(
        "siskinhook_catalogue_revision",
        Gauge,
        "revisions",
        "",
        "Which catalogue revision is in force on this node?",
    ),
    metric(
        "siskinhook_catalogue_delay_seconds",
        Histogram,
        "seconds",
        "",
        "How long after its acceptance came a change into force on this node?",
    ),
    metric(
        "siskinhook_control_bytes_total",
        Counter,
        "bytes",
        "direction",
        "How much control traffic does this node cause? (direction sent or received)",
    ),
    metric(
        "siskinhook_control_messages_total",
        Counter,
        "messages",
        "direction",
        "How many control messages does this node exchange?",
    ),
    metric(
        "siskinhook_platform_calls_total",
        Counter,
        "calls",
        "kind, result",
        "How many calls does this node send to the platform? (kind read or write; result done, failed, lost or refused)",
    ),
    metric(
        "siskinhook_platform_wait_seconds_total",
        Counter,
        "seconds",
        "",
        "How long did calls wait for this node's share of the platform?",
    ),
    metric(
        "siskinhook_audit_waiting",
        Gauge,
        "records",
        "",
        "How many audit records wait for the platform?",
    ),
];
