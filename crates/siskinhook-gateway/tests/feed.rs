//! Calls of a feed against a model of a store with outages, in simulated time.

use std::time::Duration;

use proptest::prelude::*;
use siskinhook_gateway::{Feed, FeedCall, FeedSettings};

const SETTINGS: FeedSettings = FeedSettings {
    silence_limit: Duration::from_secs(4),
    call_timeout: Duration::from_millis(800),
};
/// Time that the store takes for an answer.
const LATENCY: Duration = Duration::from_millis(4);

/// An outage of the store.
#[derive(Clone, Copy, Debug)]
struct Outage {
    start: Duration,
    end: Duration,
    /// Whether the store refuses calls instead of leaving them without an answer.
    refuses: bool,
}

/// Returns the times of all answers until `end`, and the number of calls.
fn play(outages: &[Outage], end: Duration) -> (Vec<Duration>, usize) {
    let mut feed = Feed::new(SETTINGS);
    let mut now = Duration::ZERO;
    let mut answers = Vec::new();
    let mut calls = 0;
    while now < end {
        calls += 1;
        let wait = match feed.next_call(Duration::MAX) {
            FeedCall::ReadTable => Duration::ZERO,
            FeedCall::ReadChanges { wait, .. } => wait,
        };
        let answered = now + wait + LATENCY;
        // A call is lost if the store is away at any moment while it waits.
        let lost = outages
            .iter()
            .find(|outage| outage.start < answered && now < outage.end);
        match lost {
            None => {
                now = answered;
                feed.record_answer(1);
                answers.push(now);
            }
            Some(outage) => {
                now = if outage.refuses {
                    now.max(outage.start)
                } else {
                    now + wait + SETTINGS.call_timeout
                };
                let (_, backoff) = feed.record_failure();
                now += backoff;
            }
        }
    }
    (answers, calls)
}

fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let outage = (0_u64..20_000, 1_u64..8_000, any::<bool>());
    let outage = outage.prop_map(|(start, length, refuses)| Outage {
        start: Duration::from_millis(start),
        end: Duration::from_millis(start + length),
        refuses,
    });
    prop::collection::vec(outage, 1..4)
}

proptest! {
    /// Guards against a feed that stays without news of a store that works again.
    #[test]
    fn store_is_heard_within_the_limit_after_every_outage(outages in outages()) {
        let end = outages.iter().map(|outage| outage.end).max().unwrap_or_default();
        let (answers, _) = play(&outages, end + SETTINGS.silence_limit * 2);
        let first = answers.iter().find(|answered| **answered >= end);
        prop_assert!(first.is_some_and(|first| *first <= end + SETTINGS.silence_limit), "{first:?}");
    }
}

/// Guards against a feed that calls the store more often than its limit requires.
#[test]
fn quiet_table_costs_one_call_per_wait() {
    let (_, calls) = play(&[], Duration::from_mins(4));
    assert!(calls <= 102, "{calls} calls in 240 s");
}

/// Guards against a failed call that is repeated without a delay.
#[test]
fn calls_become_rare_while_the_store_refuses_them() {
    let outage = Outage {
        start: Duration::ZERO,
        end: Duration::from_mins(1),
        refuses: true,
    };
    let (_, calls) = play(&[outage], Duration::from_mins(1));
    assert!(calls <= 55, "{calls} calls in 60 s");
}
