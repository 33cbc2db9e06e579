//! Measures the cost of one routing decision and of one pass through the slot queue.
//!
//! Run with `cargo run --release -p siskinhook-policy --example decision_cost`

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use siskinhook_policy::{
    Anchor, Candidate, FreshnessAnswer, SelectSettings, SlotQueue, SlotSettings, Ticket,
    choose_server,
};
use siskinhook_types::{Class, Freshness, LogPoint};

const ROUNDS: u32 = 1_000_000;

fn report(name: &str, start: Instant) {
    let nanos = start.elapsed().as_nanos() / u128::from(ROUNDS);
    println!("{name}: {nanos} ns");
}

/// Measures the freshness check of three servers and the choice among them.
fn measure_routing() {
    let now = Instant::now();
    let mut random = SmallRng::seed_from_u64(1);
    let settings = SelectSettings::default();
    let freshness = Freshness {
        point: Some(LogPoint::new(3, 900)),
        since: Some(now),
    };
    let point = LogPoint::new(3, 1000);
    let anchor = Some(Anchor { at: now, point });
    let mut candidates: Vec<Candidate> = (0..3_u8)
        .map(|index| Candidate {
            server: format!("shifts-{index}").into(),
            local: index == 1,
            primary: index == 0,
            freshness: FreshnessAnswer::NeedAnchor,
            wait: Duration::from_millis(u64::from(index)),
            recovered: None,
        })
        .collect();
    let start = Instant::now();
    for round in 0..ROUNDS {
        let last = LogPoint::new(3, 990 + u64::from(round % 20));
        for candidate in &mut candidates {
            candidate.freshness = FreshnessAnswer::evaluate(last, black_box(&freshness), anchor);
        }
        black_box(choose_server(&candidates, &settings, now, &mut random));
    }
    report("routing decision over three servers", start);
}

/// Measures one statement passing through a queue with `waiting` statements of ten callers.
fn measure_queue(waiting: u64) {
    let now = Instant::now();
    let settings = SlotSettings {
        short_limit: Duration::from_hours(1),
        ..SlotSettings::default()
    };
    let mut queue = SlotQueue::new(settings);
    let callers = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9].map(|n| format!("caller-{n}").into());
    let ticket = |id: u64| Ticket {
        id,
        caller: smol_str::SmolStr::clone(&callers[usize::try_from(id % 10).unwrap_or(0)]),
        class: Class::Short,
        fingerprint: id % 50,
        deadline: now + Duration::from_hours(2),
        pinned: false,
    };
    let mut running = Vec::new();
    let start = Instant::now();
    for id in 0..waiting + u64::from(ROUNDS) {
        black_box(queue.push(ticket(id), now).is_ok());
        if id < waiting {
            continue;
        }
        for action in queue.poll(now) {
            if let siskinhook_policy::SlotAction::Start(id) = action {
                running.push(id);
            }
        }
        if let Some(id) = running.pop() {
            queue.finish(id, now + Duration::from_millis(5));
        }
    }
    report(&format!("queue pass with {waiting} waiting"), start);
}

fn main() {
    measure_routing();
    measure_queue(0);
    measure_queue(100);
}
