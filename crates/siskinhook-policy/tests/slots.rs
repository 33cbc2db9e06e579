//! Tests of the slot queue: its invariants under random load, and comparisons with a plain FIFO.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_policy::{SlotAction, SlotQueue, SlotSettings, Ticket};
use siskinhook_types::{Class, FailureKind, Verdict};

/// One statement of the simulated load. All times are in milliseconds.
#[derive(Clone, Debug)]
struct Arrival {
    /// Arrival time since the start of the run.
    at: u64,
    caller: u8,
    long: bool,
    pinned: bool,
    service: u64,
    /// Time from arrival to deadline.
    patience: u64,
}

trait Queue {
    fn push(&mut self, id: u64, arrival: &Arrival, now: Instant) -> bool;
    fn poll(&mut self, now: Instant) -> Vec<SlotAction>;
    fn finish(&mut self, id: u64, now: Instant);
}

impl Queue for SlotQueue {
    fn push(&mut self, id: u64, arrival: &Arrival, now: Instant) -> bool {
        let ticket = Ticket {
            id,
            caller: format!("caller-{}", arrival.caller).into(),
            class: if arrival.long {
                Class::Long
            } else {
                Class::Short
            },
            fingerprint: u64::from(arrival.long),
            deadline: now + Duration::from_millis(arrival.patience),
            pinned: arrival.pinned,
        };
        let result = SlotQueue::push(self, ticket, now);
        if let Err(failure) = &result {
            assert_eq!(failure.verdict, Verdict::NotRun);
            assert_eq!(
                failure.retry_after.is_some(),
                failure.kind == FailureKind::Overload
            );
        }
        result.is_ok()
    }

    fn poll(&mut self, now: Instant) -> Vec<SlotAction> {
        SlotQueue::poll(self, now)
    }

    fn finish(&mut self, id: u64, now: Instant) {
        SlotQueue::finish(self, id, now);
    }
}

/// First-in, first-out queue without admission control.
struct Fifo {
    slots: usize,
    running: usize,
    waiting: VecDeque<(u64, Instant)>,
}

impl Queue for Fifo {
    fn push(&mut self, id: u64, arrival: &Arrival, now: Instant) -> bool {
        let deadline = now + Duration::from_millis(arrival.patience);
        self.waiting.push_back((id, deadline));
        true
    }

    fn poll(&mut self, now: Instant) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        while self.running < self.slots
            && let Some((id, deadline)) = self.waiting.pop_front()
        {
            if deadline <= now {
                actions.push(SlotAction::Expire(id));
            } else {
                self.running += 1;
                actions.push(SlotAction::Start(id));
            }
        }
        actions
    }

    fn finish(&mut self, _: u64, _: Instant) {
        self.running -= 1;
    }
}

#[derive(Debug, Default)]
struct Outcome {
    refused: Vec<usize>,
    expired: Vec<usize>,
    /// Wait in milliseconds of each started statement, by index of its arrival.
    started: BTreeMap<usize, u64>,
    /// When the last statement ended, in milliseconds.
    end: u64,
    max_running: usize,
    max_long: usize,
}

/// Simulates the arrivals until all are done. Each admitted one must start or expire exactly once.
fn run(queue: &mut impl Queue, arrivals: &[Arrival]) -> Outcome {
    let start = Instant::now();
    let mut outcome = Outcome::default();
    let mut running: BTreeMap<u64, u64> = BTreeMap::new();
    let mut unresolved = 0;
    let mut next = 0;
    for millis in 0.. {
        let now = start + Duration::from_millis(millis);
        let ended: Vec<u64> = running
            .iter()
            .filter(|r| *r.1 <= millis)
            .map(|r| *r.0)
            .collect();
        for id in ended {
            running.remove(&id);
            queue.finish(id, now);
            outcome.end = millis;
        }
        while arrivals
            .get(next)
            .is_some_and(|arrival| arrival.at <= millis)
        {
            if queue.push(next as u64, &arrivals[next], now) {
                unresolved += 1;
            } else {
                outcome.refused.push(next);
            }
            next += 1;
        }
        for action in queue.poll(now) {
            unresolved -= 1;
            match action {
                SlotAction::Start(id) => {
                    let index = usize::try_from(id).expect("small");
                    let arrival = &arrivals[index];
                    running.insert(id, millis + arrival.service);
                    let previous = outcome.started.insert(index, millis - arrival.at);
                    assert_eq!(previous, None, "{id} started twice");
                }
                SlotAction::Expire(id) => {
                    outcome.expired.push(usize::try_from(id).expect("small"));
                }
            }
        }
        let long = running
            .keys()
            .filter(|id| arrivals[usize::try_from(**id).expect("small")].long);
        outcome.max_long = outcome.max_long.max(long.count());
        outcome.max_running = outcome.max_running.max(running.len());
        if next == arrivals.len() && unresolved == 0 && running.is_empty() {
            return outcome;
        }
    }
    outcome
}

fn queue(slots: u32) -> SlotQueue {
    SlotQueue::new(SlotSettings {
        slots,
        ..SlotSettings::default()
    })
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let arrival = (
        0..20_u64,
        0..5_u8,
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.1),
    )
        .prop_flat_map(|(gap, caller, long, pinned)| {
            let service = if long { 200..800_u64 } else { 1..12 };
            (Just((gap, caller, long, pinned)), service, 50..3000_u64)
        });
    prop::collection::vec(arrival, 1..120).prop_map(|list| {
        let mut at = 0;
        let arrival = |((gap, caller, long, pinned), service, patience)| {
            at += gap;
            Arrival {
                at,
                caller,
                long,
                pinned,
                service,
                patience,
            }
        };
        list.into_iter().map(arrival).collect()
    })
}

fn run_property(name: &str, test: impl Fn(Vec<Arrival>, u32) -> Result<(), TestCaseError>) {
    println!("{name}: seed 7");
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let strategy = (arrivals(), 1..5_u32);
    TestRunner::new_with_rng(config, random)
        .run(&strategy, |(arrivals, slots)| test(arrivals, slots))
        .unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against lost or duplicated tickets, more running statements than slots, and long work in
/// all slots.
#[test]
fn every_ticket_ends_once_within_the_slots() {
    run_property("every_ticket", |arrivals, slots| {
        let outcome = run(&mut queue(slots), &arrivals);
        let ended = outcome.refused.len() + outcome.expired.len() + outcome.started.len();
        prop_assert_eq!(ended, arrivals.len());
        prop_assert!(outcome.max_running <= slots as usize);
        prop_assert!(outcome.max_long <= (slots as usize - 1).max(1));
        for (index, wait) in &outcome.started {
            prop_assert!(
                *wait < arrivals[*index].patience,
                "started past its deadline"
            );
        }
        let pinned = |index: &usize| arrivals[*index].pinned;
        prop_assert!(
            !outcome.refused.iter().any(pinned),
            "refused inside a transaction"
        );
        Ok(())
    });
}

/// Guards against idle slots. When all work is short and nothing is refused or expires, the queue
/// may finish at most one statement later than the FIFO, which never leaves a slot idle.
#[test]
fn short_work_ends_with_the_fifo() {
    run_property("short_work", |mut arrivals, slots| {
        for arrival in &mut arrivals {
            arrival.long = false;
            arrival.service = arrival.service.min(11);
            arrival.patience = 100_000;
        }
        let outcome = run(&mut queue(slots), &arrivals);
        prop_assume!(outcome.refused.is_empty() && outcome.expired.is_empty());
        let mut fifo = Fifo {
            slots: slots as usize,
            running: 0,
            waiting: VecDeque::new(),
        };
        let fifo_outcome = run(&mut fifo, &arrivals);
        prop_assert_eq!(outcome.started.len(), fifo_outcome.started.len());
        prop_assert!(
            outcome.end <= fifo_outcome.end + 11,
            "{} > {}",
            outcome.end,
            fifo_outcome.end
        );
        Ok(())
    });
}

/// Returns random arrivals over 4 s at `factor` times the capacity of two slots, with a mean
/// service time of 5 ms.
fn overload(factor: u64, seed: u64) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(seed);
    let total = 1600 * factor;
    let arrival = |_| Arrival {
        at: random.random_range(0..4000),
        caller: random.random_range(0..40),
        long: false,
        pinned: false,
        service: random.random_range(1..=9),
        patience: 1000,
    };
    let mut arrivals: Vec<Arrival> = (0..total).map(arrival).collect();
    arrivals.sort_by_key(|a| a.at);
    arrivals
}

/// Guards against congestion collapse, in which the slots only run statements that are already
/// late. At 2, 5 and 10 times the capacity, the slots must stay busy with work that meets its
/// deadline, and admitted work must not wait long.
#[test]
fn goodput_stays_near_capacity_in_overload() {
    for factor in [2, 5, 10] {
        let seed = 11 + factor;
        println!("factor {factor}, seed {seed}");
        let arrivals = overload(factor, seed);
        let outcome = run(&mut queue(2), &arrivals);
        let busy: u64 = outcome.started.keys().map(|i| arrivals[*i].service).sum();
        let capacity = 2 * outcome.end;
        assert!(
            busy * 10 >= capacity * 9,
            "{busy} of {capacity} ms at {factor} times"
        );
        let worst_wait = outcome.started.values().max().expect("some started");
        assert!(*worst_wait <= 1000, "{worst_wait} ms at {factor} times");
        let late = outcome.expired.len() * 10;
        assert!(late <= outcome.started.len(), "{late} at {factor} times");
    }
}

/// Guards against short work that waits behind long work. The FIFO shows that the load causes the
/// fault without the queue.
#[test]
fn short_work_does_not_wait_for_long_work() {
    let arrival = |at, long| Arrival {
        at,
        caller: 1 + u8::from(long),
        long,
        pinned: false,
        service: if long { 600 } else { 5 },
        patience: 10_000,
    };
    let mut arrivals: Vec<Arrival> = (0..500).map(|n| arrival(n * 10, false)).collect();
    // Two long statements arrive at a time, which would occupy both slots.
    arrivals.extend([0, 0, 1300, 1300, 2600, 2600, 3900, 3900].map(|at| arrival(at, true)));
    arrivals.sort_by_key(|a| a.at);
    let worst_wait = |outcome: &Outcome| {
        let short = outcome
            .started
            .iter()
            .filter(|(index, _)| !arrivals[**index].long);
        short.map(|(_, wait)| *wait).max().expect("some started")
    };
    let outcome = run(&mut queue(2), &arrivals);
    let mut fifo = Fifo {
        slots: 2,
        running: 0,
        waiting: VecDeque::new(),
    };
    let fifo_outcome = run(&mut fifo, &arrivals);
    assert!(worst_wait(&outcome) <= 10, "{} ms", worst_wait(&outcome));
    assert!(
        worst_wait(&fifo_outcome) > 100,
        "the load does not show the fault"
    );
    assert_eq!(
        outcome.started.len(),
        arrivals.len(),
        "long work must not starve"
    );
}

/// Guards against long work that a caller states as short: its observed service times must make
/// it count as long.
#[test]
fn long_work_stated_as_short_is_reclassified() {
    let now = Instant::now();
    let mut queue = queue(2);
    let ticket = |id, fingerprint| Ticket {
        id,
        caller: "billing".into(),
        class: Class::Short,
        fingerprint,
        deadline: now + Duration::from_secs(100),
        pinned: false,
    };
    let mut at = now;
    for id in 0..4 {
        queue.push(ticket(id, 1), at).unwrap();
        assert_eq!(queue.poll(at), [SlotAction::Start(id)]);
        at += Duration::from_millis(400);
        queue.finish(id, at);
    }
    queue.push(ticket(10, 1), at).unwrap();
    queue.push(ticket(11, 1), at).unwrap();
    assert_eq!(
        queue.poll(at),
        [SlotAction::Start(10)],
        "one slot stays free for short work"
    );
    queue.push(ticket(12, 2), at).unwrap();
    assert_eq!(queue.poll(at), [SlotAction::Start(12)]);
}

/// Guards against one caller that fills the queue, and against other callers that wait behind all
/// of its statements.
#[test]
fn a_caller_gets_at_most_half_of_the_queue() {
    let now = Instant::now();
    let settings = SlotSettings {
        queue: 10,
        ..SlotSettings::default()
    };
    let mut queue = SlotQueue::new(settings);
    let ticket = |id: u64, caller: &str| Ticket {
        id,
        caller: caller.into(),
        class: Class::Short,
        fingerprint: 0,
        deadline: now + Duration::from_secs(10),
        pinned: false,
    };
    let admitted = (0..20).filter(|id| queue.push(ticket(*id, "a"), now).is_ok());
    assert_eq!(admitted.count(), 5);
    queue.push(ticket(30, "b"), now).unwrap();
    let started = queue.poll(now);
    assert_eq!(
        started,
        [SlotAction::Start(0), SlotAction::Start(30)],
        "callers take turns"
    );
}

/// Guards against long work that never runs while short work keeps all slots busy.
#[test]
fn long_work_does_not_starve() {
    let mut arrivals = overload(10, 3);
    arrivals.insert(
        0,
        Arrival {
            at: 0,
            caller: 99,
            long: true,
            pinned: false,
            service: 300,
            patience: 9000,
        },
    );
    let outcome = run(&mut queue(2), &arrivals);
    let wait = outcome.started.get(&0).expect("the long statement starts");
    assert!(*wait <= 1100, "{wait} ms");
}

/// Guards against unbounded memory for service times.
#[test]
fn stored_service_times_are_bounded() {
    let mut times = siskinhook_policy::ServiceTimes::new(100, Duration::from_millis(5));
    for fingerprint in 0..10_000 {
        times.observe(fingerprint, Duration::from_millis(5), true);
    }
    assert_eq!(times.len(), 100);
}
