//! Keeps `docs/EVENTS.md` and `docs/METRICS.md` equal to the code. `UPDATE_GOLDEN=1` rewrites
//! them.

use std::{collections::HashSet, fmt::Write as _, fs, path::Path, time::Duration};

use siskinhook_telemetry::{EVENTS, METRICS, MetricKind, Metrics, Pool, ReadSource, Refused};

fn check_page(name: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, expected).expect("the page can be written");
    }
    let page = fs::read_to_string(path).expect("the page exists");
    assert!(
        page == expected,
        "docs/{name} differs from the code; run with UPDATE_GOLDEN=1"
    );
}

#[test]
fn events_page_matches_the_table() {
    let mut page = String::from(
        "# Log events\n\nEach event has a number, which log lines carry as `event`. Lines of one \
         event beyond `log.burst` per second are counted and suppressed (event 1090). Secrets and \
         values of statements are never logged. This page is generated from \
         `crates/siskinhook-telemetry/src/events.rs`.\n",
    );
    let groups = [
        (1, "Node"),
        (2, "Engine and failover"),
        (3, "Fleet and catalogue"),
        (4, "Front end"),
        (5, "Platform"),
        (6, "Operators"),
    ];
    for (thousand, title) in groups {
        write!(
            page,
            "\n## {title} ({thousand}000)\n\n| event | level | name | meaning | what to do |\n\
             |---|---|---|---|---|\n"
        )
        .unwrap();
        for info in EVENTS
            .iter()
            .filter(|info| info.event.number() / 1000 == thousand)
        {
            let level = info.level.as_str().to_lowercase();
            let number = info.event.number();
            writeln!(
                page,
                "| {number} | {level} | `{}` | {} | {} |",
                info.name, info.meaning, info.action
            )
            .unwrap();
        }
    }
    check_page("EVENTS.md", &page);
}

#[test]
fn event_numbers_and_names_are_unique_and_ordered() {
    let numbers: Vec<u64> = EVENTS.iter().map(|info| info.event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    assert!(numbers.iter().all(|n| (1000..7000).contains(n)));
    let names: HashSet<&str> = EVENTS.iter().map(|info| info.name).collect();
    assert_eq!(names.len(), EVENTS.len());
    for info in EVENTS {
        assert_eq!(info.event.info().name, info.name);
    }
}

#[test]
fn metrics_page_matches_the_table() {
    let mut page = String::from(
        "# Metrics\n\nEach node serves its metrics in the format of Prometheus at `/metrics` of \
         the address `addresses.metrics`, besides `/health` (the process answers) and `/ready` \
         (200 when the load balancer may send callers, else 503 with the reason). The four key \
         measures come first. Names of servers and databases are labels; names of callers and \
         statements are not. This page is generated from \
         `crates/siskinhook-telemetry/src/names.rs`.\n\n\
         | metric | kind | unit | labels | question |\n|---|---|---|---|---|\n",
    );
    for metric in METRICS {
        let kind = match metric.kind {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
            MetricKind::Histogram => "histogram",
        };
        writeln!(
            page,
            "| `{}` | {kind} | {} | {} | {} |",
            metric.name, metric.unit, metric.labels, metric.question
        )
        .unwrap();
    }
    page.push_str(
        "\nShare of reads by replicas: `sum(rate(siskinhook_reads_total{source=\"replica\"}[5m])) \
         / sum(rate(siskinhook_reads_total[5m]))`.\n",
    );
    check_page("METRICS.md", &page);
}

/// Records every metric once and compares names, kinds and labels with the table.
#[test]
fn exported_metrics_match_the_table() {
    let metrics = Metrics::new().unwrap();
    let second = Duration::from_secs(1);
    metrics.read("shifts", ReadSource::Replica);
    metrics.failover_gap("shifts", second);
    metrics.completed("shifts", "short");
    metrics.refused("shifts", Refused::Overload);
    metrics.queue_wait("shifts", "short", second);
    metrics.queue_length("shifts-1", "short", 3);
    metrics.slots_busy("shifts-1", 2);
    metrics.pool("shifts-1", Pool::Pinned, 4);
    metrics.owned_servers(5);
    metrics.takeover();
    metrics.group_term("shifts", 7);
    metrics.promotion("shifts", "done");
    metrics.replica_lag("shifts-2", 9);
    metrics.anchor_age("shifts", second);
    metrics.verdict("shifts", "not_run");
    metrics.outcome("shifts", "ran");
    metrics.retry("shifts");
    metrics.callers(10);
    metrics.members("alive", 8);
    metrics.catalogue_revision(12);
    metrics.catalogue_delay(second);
    metrics.control("sent", 100);
    metrics.platform_calls("read", "done", 2);
    metrics.platform_wait(second);
    metrics.audit_waiting(1);
    let text = metrics.text().unwrap();
    let mut exported: Vec<(String, String)> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split_once(' '))
        .map(|(name, kind)| (name.into(), kind.into()))
        .collect();
    let mut table: Vec<(String, String)> = METRICS
        .iter()
        .map(|m| (m.name.into(), format!("{:?}", m.kind).to_lowercase()))
        .collect();
    exported.sort();
    table.sort();
    assert_eq!(exported, table);
    for metric in METRICS {
        let line = text.lines().find(|l| l.starts_with(metric.name)).unwrap();
        for label in metric.labels.split(", ").filter(|l| !l.is_empty()) {
            assert!(
                line.contains(&format!("{label}=\"")),
                "{line} lacks label {label}"
            );
        }
    }
    assert!(text.contains("siskinhook_pool_connections{"));
    assert!(
        text.lines()
            .any(|l| l.starts_with("siskinhook_callers") && l.ends_with(" 10"))
    );
}

/// The handbook must not send operators to events or metrics that do not exist.
#[test]
fn handbook_names_existing_events_and_metrics() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/handbook");
    let numbers: HashSet<u64> = EVENTS.iter().map(|info| info.event.number()).collect();
    let mut found = 0;
    for file in fs::read_dir(directory).unwrap() {
        let path = file.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let words = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
        for word in words {
            if let Ok(number) = word.parse::<u64>()
                && (1001..7000).contains(&number)
                && word.len() == 4
                && number != 2026
            {
                assert!(
                    numbers.contains(&number),
                    "{}: event {number}",
                    path.display()
                );
                found += 1;
            }
            if word.starts_with("siskinhook_") {
                let known = METRICS.iter().any(|metric| metric.name == word);
                assert!(known, "{}: metric {word}", path.display());
                found += 1;
            }
        }
    }
    assert!(
        found > 40,
        "{found} references are too few, the scan is broken"
    );
}
