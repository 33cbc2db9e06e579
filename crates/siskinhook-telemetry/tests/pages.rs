//! Checks that `docs/EVENTS.md` and `docs/METRICS.md` match the code. `UPDATE_GOLDEN=1` rewrites
//! both pages.

use std::{
    collections::HashSet,
    fmt::Write as _,
    fs,
    path::{Path, PathBuf},
    sync::{Mutex, atomic::Ordering},
    time::{Duration, Instant},
};

use siskinhook_telemetry::{EVENTS, Event, METRICS, MetricKind, Metrics};

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

/// Collects the Rust files of a directory, except tests, benchmarks and the table of events.
fn collect_sources(directory: &Path, out: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("the directory is readable") {
        let path = entry.expect("the entry is readable").path();
        let name = path.file_name().unwrap_or_default();
        if path.is_dir() {
            if name != "tests" && name != "target" && name != "benches" {
                collect_sources(&path, out);
            }
        } else if path.extension().is_some_and(|e| e == "rs") && name != "events.rs" {
            out.push(path);
        }
    }
}

/// Returns the number of each event that the code logs, its level if it is logged by a macro of
/// `log` that names the level, and the file.
fn logged_events() -> Vec<(u64, Option<String>, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    collect_sources(&root.join("crates"), &mut files);
    collect_sources(&root.join("src"), &mut files);
    collect_sources(&root.join("platform"), &mut files);
    let mut found = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("the file is readable");
        let file_path = file.display().to_string();
        for (index, _) in text.match_indices("event = ") {
            let digits: String = text[index + 8..]
                .chars()
                .take_while(char::is_ascii_digit)
                .collect();
            let Ok(number) = digits.parse() else { continue };
            let start = text[..index]
                .rfind("!(")
                .expect("an event stands in a macro");
            let name = text[..start].rsplit(|c: char| !c.is_alphanumeric()).next();
            found.push((number, name.map(str::to_uppercase), file_path.clone()));
        }
        for info in EVENTS {
            let name = format!("Event::{:?}", info.event);
            let used = text.match_indices(&name).any(|(index, _)| {
                !text[index + name.len()..].starts_with(|c: char| c.is_alphanumeric())
            });
            if used {
                found.push((info.event.number(), None, file_path.clone()));
            }
        }
    }
    found
}

/// Operators look up events in the page, so every logged event must be in the table with
/// its level.
#[test]
fn logged_events_are_in_the_table() {
    for (number, level, file_path) in logged_events() {
        let info = EVENTS.iter().find(|info| info.event.number() == number);
        let info =
            info.unwrap_or_else(|| panic!("{file_path}: event {number} is not in the table"));
        if let Some(level) = level {
            assert_eq!(
                level,
                info.level.as_str(),
                "{file_path}: level of event {number}"
            );
        }
    }
}

/// The page must not explain events that are never logged.
#[test]
fn events_of_the_table_are_logged() {
    let numbers: HashSet<u64> = logged_events()
        .into_iter()
        .map(|(number, ..)| number)
        .collect();
    let missing: Vec<Event> = EVENTS
        .iter()
        .map(|info| info.event)
        .filter(|event| !numbers.contains(&event.number()))
        .collect();
    assert_eq!(missing, []);
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

/// Records every metric and compares the exported names, kinds and labels with the table. Every
/// counter of the engine must belong to a metric.
#[test]
fn exported_metrics_match_the_table() {
    let metrics = Metrics::new().unwrap();
    let second = Duration::from_secs(1);
    let counters = siskinhook_engine::Counters::default();
    counters.promotions.store(1, Ordering::Relaxed);
    assert_eq!(
        metrics.add_engine_totals(&counters.snapshot().list()),
        Vec::<String>::new()
    );
    assert_eq!(
        metrics.add_engine_totals(&[("unheard_of", 1)]),
        ["unheard_of"]
    );
    metrics.set_queue_length("shifts-1", 3);
    metrics.set_pool_connections("shifts-1", 4);
    metrics.set_owned_servers(5);
    metrics.set_active_requests(6);
    metrics.set_group_term("shifts", 7);
    metrics.set_replica_lag("shifts-2", 9);
    metrics.set_anchor_age("shifts", second);
    metrics.set_callers(10);
    metrics.set_members("alive", 8);
    metrics.set_catalogue_revision(12);
    metrics.add_platform_calls("read", "done", 2);
    metrics.add_platform_wait(second);
    metrics.set_audit_waiting(1);
    let text = metrics.encode_text().unwrap();
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
}

/// Returns the value of the first line that starts with `name` and contains `label`.
fn sample_value(text: &str, name: &str, label: &str) -> Option<f64> {
    let line = text
        .lines()
        .find(|l| l.starts_with(name) && l.contains(label))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// The engine reports totals once a second. Only their increase may be added to the metrics.
#[test]
fn engine_totals_are_added_once() {
    let metrics = Metrics::new().unwrap();
    for (promotions, gaps) in [(0, 0), (1, 2400), (1, 2400), (3, 4400)] {
        metrics.add_engine_totals(&[
            ("replica_reads", promotions * 10),
            ("primary_reads", 5),
            ("short_wait_micros", promotions * 500_000),
            ("promotions", promotions),
            ("failover_gap_millis", gaps),
        ]);
    }
    let text = metrics.encode_text().unwrap();
    let found = |name, label| sample_value(&text, name, label);
    assert_eq!(found("siskinhook_reads_total", "replica"), Some(30.0));
    assert_eq!(found("siskinhook_reads_total", "primary"), Some(5.0));
    assert_eq!(
        found("siskinhook_queue_wait_seconds_total", "short"),
        Some(1.5)
    );
    assert_eq!(
        found("siskinhook_failover_gap_seconds_count", ""),
        Some(3.0)
    );
    assert_eq!(found("siskinhook_failover_gap_seconds_sum", ""), Some(4.4));
    assert_eq!(
        found("siskinhook_failover_gap_seconds_bucket", "le=\"1\""),
        Some(2.0)
    );
}

/// A node that no longer owns a server must stop exporting the last queue length of that server.
#[test]
fn gauges_expire_when_not_set() {
    static NOW: Mutex<Option<Instant>> = Mutex::new(None);
    let set = |time| *NOW.lock().unwrap() = Some(time);
    let start = Instant::now();
    set(start);
    let metrics = Metrics::with_clock(|| NOW.lock().unwrap().unwrap()).unwrap();
    metrics.set_queue_length("shifts-1", 3);
    metrics.set_queue_length("shifts-2", 4);
    set(start + Duration::from_secs(10));
    metrics.set_queue_length("shifts-2", 5);
    set(start + Duration::from_secs(20));
    let text = metrics.encode_text().unwrap();
    assert_eq!(
        sample_value(&text, "siskinhook_queue_length", "shifts-1"),
        None
    );
    assert_eq!(
        sample_value(&text, "siskinhook_queue_length", "shifts-2"),
        Some(5.0)
    );
}

/// The handbook must not refer operators to events or metrics that do not exist.
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
