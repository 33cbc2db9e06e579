//! Each node's share of the platform's capacity, backoff, and the recovery after an outage.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use futures::future::join_all;
use siskinhook_platform::{
    Budget, BudgetSettings, Budgeted, CallKind, Fault, Health, MemoryPlatform, Refusal,
};
use siskinhook_types::{Batch, Platform, PlatformError};
use tokio::time;

const NODES: usize = 620;

fn settings() -> BudgetSettings {
    BudgetSettings::default()
}

/// All nodes send calls as fast as their budget allows for one minute. The platform serves 2,000
/// reads and 300 writes per second, of which the fleet may use a quarter.
#[test]
fn fleet_stays_under_a_quarter_of_the_capacity() {
    let start = Instant::now();
    let mut sent = [0_u32; 2];
    for seed in 0..NODES {
        let mut budget = Budget::new(settings(), NODES, seed as u64, start);
        for (index, kind) in [CallKind::Read, CallKind::Write].into_iter().enumerate() {
            for tick in 0..600 {
                let now = start + Duration::from_millis(100 * tick);
                while let Ok(wait) = budget.reserve(kind, false, now) {
                    let due = now + wait - start;
                    if due >= Duration::from_mins(1) {
                        break;
                    }
                    sent[index] += 1;
                }
            }
        }
    }
    println!("reads {} writes {} in 60 s", sent[0], sent[1]);
    assert!(sent[0] > 60 * 300, "the budget must not starve the fleet");
    assert!(sent[0] <= 60 * 2000 / 4);
    assert!(sent[1] <= 60 * 300 / 4);
}

#[test]
fn urgent_calls_exceed_the_rate_by_a_bounded_number() {
    let start = Instant::now();
    let mut budget = Budget::new(settings(), NODES, 1, start);
    for (kind, expected) in [(CallKind::Write, 5), (CallKind::Read, 17)] {
        let mut at_once = 0;
        while budget.reserve(kind, true, start) == Ok(Duration::ZERO) {
            at_once += 1;
        }
        assert_eq!(at_once, expected);
    }
    assert_matches!(
        budget.reserve(CallKind::Write, false, start),
        Err(Refusal::Share(_))
    );
}

#[test]
fn nodes_return_spread_over_ten_seconds() {
    let start = Instant::now();
    let mut per_second = [0_u32; 10];
    for seed in 0..NODES {
        let mut budget = Budget::new(settings(), NODES, seed as u64, start);
        let mut now = start;
        for _ in 0..12 {
            now += Duration::from_secs(10);
            budget.record_failure(now);
        }
        let Err(Refusal::Backoff(wait)) = budget.reserve(CallKind::Read, false, now) else {
            continue;
        };
        assert!(wait <= Duration::from_secs(10));
        per_second[usize::try_from(wait.as_secs()).unwrap().min(9)] += 1;
    }
    println!("first calls per second after the outage: {per_second:?}");
    // The expected number is 62 per second; a quarter of 2,000 reads per second is 500.
    assert!(per_second.iter().all(|n| (20..=120).contains(n)));
}

#[tokio::test(start_paused = true)]
async fn outage_stops_calls_and_recovery_resumes_them() {
    let memory = MemoryPlatform::default();
    let platform = Budgeted::new(memory.clone(), settings(), 7);
    memory.set_down(true);
    for _ in 0..100 {
        let error = platform.get("a").await.unwrap_err();
        assert_matches!(error, PlatformError::NotDone(_));
        time::sleep(Duration::from_millis(100)).await;
    }
    let outage_calls = memory.calls();
    assert!(
        outage_calls < 30,
        "{outage_calls} calls were sent during an outage of 10 s"
    );
    memory.set_down(false);
    time::sleep(Duration::from_secs(10)).await;
    assert_eq!(platform.get("a").await, Ok(None));
    assert_eq!(platform.get("a").await, Ok(None));
    let counters = platform.counters().snapshot();
    assert_eq!(counters.reads, memory.calls());
    assert_eq!(counters.refused_reads + counters.failed_reads, 100);
    let listed: Vec<_> = counters
        .list()
        .into_iter()
        .filter(|(_, _, n)| *n > 0)
        .collect();
    assert_eq!(
        listed,
        [
            ("read", "done", 2),
            ("read", "failed", counters.failed_reads),
            ("read", "refused", counters.refused_reads),
        ]
    );
}

#[tokio::test(start_paused = true)]
async fn slow_answers_cause_backoff_but_not_for_urgent_calls() {
    let memory = MemoryPlatform::default();
    let platform = Budgeted::new(memory.clone(), settings(), 3);
    memory.inject([Fault::Slow(Duration::from_millis(1500))]);
    assert_eq!(platform.get("a").await, Ok(None));
    assert_matches!(platform.get("a").await, Err(PlatformError::NotDone(_)));
    assert_eq!(platform.urgent().get("a").await, Ok(None));
}

#[tokio::test(start_paused = true)]
async fn calls_above_the_share_wait() {
    let memory = MemoryPlatform::default();
    let platform = Budgeted::new(memory.clone(), settings(), 1);
    platform.set_nodes(60); // one write per second
    let start = time::Instant::now();
    let commits = (0..5).map(|_| platform.commit(Batch::default()));
    for result in join_all(commits).await {
        assert_matches!(result, Ok(_));
    }
    assert!(start.elapsed() >= Duration::from_secs(3));
    assert!(platform.counters().snapshot().waited >= 3000);
}

/// Guards against a log line for every call during an outage: only a change of the platform's
/// health is reported.
#[test]
fn health_changes_are_reported_once() {
    let now = Instant::now();
    let mut budget = Budget::new(settings(), 1, 1, now);
    let fast = Duration::from_millis(5);
    assert_eq!(budget.record_answer(fast, now), None);
    assert_eq!(budget.record_failure(now), Some(Health::Slow));
    assert_eq!(budget.record_failure(now), None);
    assert_eq!(budget.record_failure(now), Some(Health::Down));
    assert_eq!(budget.record_failure(now), None);
    assert_eq!(budget.record_answer(fast, now), Some(Health::Good));
    assert_eq!(
        budget.record_answer(Duration::from_secs(1), now),
        Some(Health::Slow)
    );
    assert_eq!(budget.record_answer(fast, now), Some(Health::Good));
}
