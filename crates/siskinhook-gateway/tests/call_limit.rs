//! Time limit of calls against sequences of response times.

use std::time::Duration;

use proptest::prelude::*;
use siskinhook_gateway::AdaptiveLimit;

const MIN_LIMIT: Duration = Duration::from_millis(800);
const MAX_LIMIT: Duration = Duration::from_secs(2);

fn limit_after(response_times: impl IntoIterator<Item = u64>) -> AdaptiveLimit {
    let mut limit = AdaptiveLimit::default();
    for millis in response_times {
        limit.record(Duration::from_millis(millis));
    }
    limit
}

proptest! {
    /// Guards against a limit that gives calls up which take as long as the one before.
    #[test]
    fn limit_exceeds_the_latest_response_time(
        earlier in prop::collection::vec(0_u64..10_000, 0..20),
        latest in 0_u64..2_000,
    ) {
        let limit = limit_after(earlier.into_iter().chain([latest])).get();
        prop_assert!(limit > Duration::from_millis(latest));
        prop_assert!((MIN_LIMIT..=MAX_LIMIT).contains(&limit));
    }

    /// Guards against lost calls that are noticed late for long after the store was slow.
    #[test]
    fn limit_falls_to_the_shortest_soon_after_the_store_was_slow(
        earlier in prop::collection::vec(0_u64..10_000, 0..20),
    ) {
        // A peak of 10 s is below 400 ms after five halvings.
        let limit = limit_after(earlier.into_iter().chain([4; 5])).get();
        prop_assert_eq!(limit, MIN_LIMIT);
    }
}

/// Guards against a limit that falls below the response times of a store that is slow now and then.
#[test]
fn limit_outlasts_a_single_fast_answer() {
    assert!(limit_after([900, 4]).get() >= Duration::from_millis(900));
}

/// Guards against a first call that waits longer, or shorter, than one to a fast store.
#[test]
fn limit_begins_at_the_shortest() {
    assert_eq!(limit_after([]).get(), MIN_LIMIT);
}
