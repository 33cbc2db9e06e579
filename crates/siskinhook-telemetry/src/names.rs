//! Table of the exported metrics.

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases; its exported name ends in `_total`.
    Counter,
    /// A current value, which can rise and fall.
    Gauge,
    /// A distribution of values in buckets.
    Histogram,
}

/// Description of a metric.
#[derive(Clone, Copy, Debug)]
pub struct MetricInfo {
    /// Exported name.
    pub name: &'static str,
    /// Kind of the metric.
    pub kind: MetricKind,
    /// Unit of the values.
    pub unit: &'static str,
    /// Label names, separated by a comma and a space; empty if the metric has none.
    pub labels: &'static str,
    /// Question that the metric answers for an operator.
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

/// All metrics. The four key measures come first.
pub const METRICS: &[MetricInfo] = &[
    metric(
        "siskinhook_reads_total",
        Counter,
        "reads",
        "source",
        "Which share of reads do replicas serve? (source replica or primary)",
    ),
    metric(
        "siskinhook_failover_gap_seconds",
        Histogram,
        "seconds",
        "",
        "How long was a primary missing when this node promoted the next one?",
    ),
    metric(
        "siskinhook_completed_total",
        Counter,
        "statements",
        "kind",
        "How much work besides reads is done (goodput)? (kind write, or inner for statements inside transactions)",
    ),
    metric(
        "siskinhook_refusals_total",
        Counter,
        "requests",
        "reason",
        "How much work is refused, and why? (reason overload or deadline)",
    ),
    metric(
        "siskinhook_queue_wait_seconds_total",
        Counter,
        "seconds",
        "class",
        "How long does short work wait for a slot, and long work? Divide by the number of waits.",
    ),
    metric(
        "siskinhook_queue_waits_total",
        Counter,
        "statements",
        "class",
        "How many statements waited for a slot? (class short or long)",
    ),
    metric(
        "siskinhook_queue_length",
        Gauge,
        "requests",
        "server",
        "How many requests wait for a server that this node owns?",
    ),
    metric(
        "siskinhook_pool_connections",
        Gauge,
        "connections",
        "server",
        "How many data connections to a server does this node hold?",
    ),
    metric(
        "siskinhook_connections_opened_total",
        Counter,
        "connections",
        "",
        "How often are data connections opened?",
    ),
    metric(
        "siskinhook_silent_connections_total",
        Counter,
        "connections",
        "",
        "How many server connections were closed because they hung?",
    ),
    metric(
        "siskinhook_owned_servers",
        Gauge,
        "servers",
        "",
        "How many servers does this node own?",
    ),
    metric(
        "siskinhook_active_requests",
        Gauge,
        "requests",
        "",
        "How many requests are in progress on this node?",
    ),
    metric(
        "siskinhook_requests_total",
        Counter,
        "requests",
        "path",
        "Which share of requests takes the extra hop? (path owned or forwarded)",
    ),
    metric(
        "siskinhook_reroutes_total",
        Counter,
        "requests",
        "",
        "How many requests went to another server or owner after an answer such as not fresh?",
    ),
    metric(
        "siskinhook_not_fresh_total",
        Counter,
        "answers",
        "",
        "How often was a server not fresh enough?",
    ),
    metric(
        "siskinhook_retries_total",
        Counter,
        "retries",
        "result",
        "How much work is repeated, and how often was the retry budget used up? (result sent or refused)",
    ),
    metric(
        "siskinhook_verdicts_total",
        Counter,
        "failures",
        "verdict",
        "How many failures were certain (not_run, ran) and how many were not (may_have_run)?",
    ),
    metric(
        "siskinhook_lookups_total",
        Counter,
        "lookups",
        "result",
        "How many uncertain outcomes were asked for, and how many of them were determined?",
    ),
    metric(
        "siskinhook_unconfirmed_writes_total",
        Counter,
        "writes",
        "",
        "How many writes did no majority confirm in time?",
    ),
    metric(
        "siskinhook_promotions_total",
        Counter,
        "promotions",
        "",
        "How often did this node promote a server?",
    ),
    metric(
        "siskinhook_group_term",
        Gauge,
        "terms",
        "database",
        "In which term is a group, as this node last saw it?",
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
        "siskinhook_group_polls_total",
        Counter,
        "polls",
        "",
        "How often does this node poll groups?",
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
