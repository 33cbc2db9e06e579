//! Measures siskinhook and the naive version (section 11 of the design page) under the same load
//! and faults, with in-process stand-ins and a paused clock.
//!
//! `cargo run --release --example measure -- --site shiftdesk --seed 1 --seeds 5`

#![allow(missing_docs, reason = "xflags generates items without comments")]

mod cluster;
mod load;
mod naive;
mod scenario;

use std::{sync::Mutex, sync::PoisonError, thread};

use anyhow::{Context, bail};
use indexmap::IndexMap;
use load::Violations;
use scenario::{Figures, SCENARIOS, percentile};
use serde_json::{Value, json};
use siskinhook_standin::Plan;

/// Number of runs in parallel; limited because other work shares the machine.
const PARALLEL_RUNS: usize = 4;

xflags::xflags! {
    /// Measures siskinhook and the naive version.
    cmd measure {
        /// Site: shiftdesk or uze.
        optional --site site: String
        /// First seed.
        optional --seed seed: u64
        /// Number of seeds.
        optional --seeds count: u64
        /// Scenario; all when absent.
        optional --scenario name: String
        /// Prints JSON.
        optional --json
    }
}

/// Figures of one scenario and version over all seeds.
struct Summary {
    scenario: &'static str,
    version: &'static str,
    runs: Vec<Figures>,
}

impl Summary {
    /// Sums a count over all runs.
    fn sum(&self, count: impl Fn(&Figures) -> usize) -> usize {
        self.runs.iter().map(count).sum()
    }

    /// Returns the median, the 99th percentile and the maximum.
    fn percentiles(values: &[f64]) -> Option<[f64; 3]> {
        let worst = values.iter().copied().reduce(f64::max)?;
        Some([percentile(values, 50)?, percentile(values, 99)?, worst])
    }

    fn gap(&self) -> Option<[f64; 3]> {
        let gaps: Vec<f64> = self.runs.iter().filter_map(|run| run.gap).collect();
        Self::percentiles(&gaps)
    }

    fn short_waits(&self) -> Option<[f64; 3]> {
        let waits: Vec<f64> = self
            .runs
            .iter()
            .flat_map(|run| run.short_waits.clone())
            .collect();
        Self::percentiles(&waits)
    }

    /// Returns the lowest value of all runs if `lowest` is set, otherwise the highest.
    fn extreme(&self, value: impl Fn(&Figures) -> Option<f64>, lowest: bool) -> Option<f64> {
        let values = self.runs.iter().filter_map(value);
        values.reduce(if lowest { f64::min } else { f64::max })
    }

    fn violations(&self) -> Violations {
        let mut total = Violations::default();
        for run in &self.runs {
            total.add(&run.violations);
        }
        total
    }

    /// Failures by cause, the most frequent first.
    fn causes(&self) -> IndexMap<String, usize> {
        let mut total: IndexMap<String, usize> = IndexMap::new();
        for (cause, count) in self.runs.iter().flat_map(|run| &run.causes) {
            *total.entry(cause.clone()).or_default() += count;
        }
        total.sort_by(|_, a, _, b| b.cmp(a));
        total
    }

    fn json(&self) -> Value {
        let violations: serde_json::Map<String, Value> = self
            .violations()
            .list()
            .iter()
            .map(|(name, count)| ((*name).to_owned(), json!(count)))
            .collect();
        json!({
            "scenario": self.scenario,
            "version": self.version,
            "statements": self.sum(|run| run.statements),
            "succeeded": self.sum(|run| run.succeeded),
            "not_run": self.sum(|run| run.not_run),
            "may_have_run": self.sum(|run| run.may_have_run),
            "causes": self.causes(),
            "replica_share_least": self.extreme(|run| Some(run.replica_share), true),
            "failover_gap_ms": self.gap(),
            "goodput_least": self.extreme(|run| run.goodput, true),
            "peak_p99_ms": self.extreme(|run| run.peak_p99, false),
            "short_wait_ms": self.short_waits(),
            "broken": violations,
        })
    }

    fn print(&self) {
        let format_percentiles = |values: Option<[f64; 3]>| match values {
            Some([p50, p99, worst]) => format!("{p50:.0} / {p99:.0} / {worst:.0} ms"),
            None => "-".into(),
        };
        println!(
            "{:<22} {:<10} ok {} of {}, not run {}, may have run {}",
            self.scenario,
            self.version,
            self.sum(|run| run.succeeded),
            self.sum(|run| run.statements),
            self.sum(|run| run.not_run),
            self.sum(|run| run.may_have_run),
        );
        let causes = self.causes();
        let causes: Vec<String> = causes.iter().map(|(c, n)| format!("{n} {c}")).collect();
        if !causes.is_empty() {
            println!("    failures: {}", causes.join(", "));
        }
        let share = self.extreme(|run| Some(run.replica_share), true);
        println!(
            "    reads on replicas, least: {:.1}%",
            share.unwrap_or(0.0) * 100.0
        );
        if let Some(gap) = self.gap() {
            println!(
                "    failover gap p50 / p99 / worst: {}",
                format_percentiles(Some(gap))
            );
        }
        if let Some(goodput) = self.extreme(|run| run.goodput, true) {
            let peak = self.extreme(|run| run.peak_p99, false).unwrap_or(0.0);
            let goodput = goodput * 100.0;
            println!("    peak: goodput, least: {goodput:.1}% of capacity, p99 {peak:.0} ms");
        }
        if let Some(waits) = self.short_waits() {
            println!(
                "    short beside long p50 / p99 / worst: {}",
                format_percentiles(Some(waits))
            );
        }
        let violations = self.violations();
        let list = violations.list();
        let list = list.iter().filter(|(_, count)| *count > 0);
        let list: Vec<String> = list
            .map(|(name, count)| format!("{count} {name}"))
            .collect();
        println!(
            "    broken promises: {} {}",
            violations.total(),
            list.join(", ")
        );
    }
}

fn plan(site: &str) -> anyhow::Result<Plan> {
    match site {
        "shiftdesk" => Ok(Plan::shiftdesk()),
        "uze" => Ok(Plan::uze()),
        _ => bail!("unknown site {site:?}; use shiftdesk or uze"),
    }
}

/// Runs a scenario with all seeds, up to `PARALLEL_RUNS` at a time. Returns the figures in the
/// order of the seeds.
fn run_seeds(
    name: &'static str,
    plan: &Plan,
    seeds: &[u64],
    naive: bool,
) -> anyhow::Result<Vec<Figures>> {
    let queue = Mutex::new(seeds.iter().copied().enumerate());
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS.min(seeds.len()) {
            scope.spawn(|| {
                loop {
                    let next = queue.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let Some((index, seed)) = next else { return };
                    let run = scenario::run(name, plan.clone(), seed, naive);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((index, run.with_context(|| format!("{name}, seed {seed}"))));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, run)| run).collect()
}

fn main() -> anyhow::Result<()> {
    let flags = Measure::from_env_or_exit();
    let site = flags.site.as_deref().unwrap_or("shiftdesk");
    let plan = plan(site)?;
    let first = flags.seed.unwrap_or(1);
    let seeds: Vec<u64> = (first..first + flags.seeds.unwrap_or(1)).collect();
    if !flags.json {
        println!("site {site}, seeds {seeds:?}");
    }
    let selected = flags.scenario.as_deref();
    let names: Vec<&'static str> = SCENARIOS
        .into_iter()
        .filter(|name| selected.is_none_or(|selected| selected == *name))
        .collect();
    if names.is_empty() {
        bail!("unknown scenario; use one of {}", SCENARIOS.join(", "));
    }
    let mut summaries = Vec::new();
    for scenario in names {
        for (version, naive) in [("siskinhook", false), ("naive", true)] {
            let runs = run_seeds(scenario, &plan, &seeds, naive)?;
            let summary = Summary {
                scenario,
                version,
                runs,
            };
            if flags.json {
                summaries.push(summary.json());
            } else {
                summary.print();
            }
        }
    }
    if flags.json {
        let report = json!({ "site": site, "seeds": seeds, "scenarios": summaries });
        println!("{}", serde_json::to_string_pretty(&report)?);
    }
    Ok(())
}
