//! Calls of a feed against a model of a store with outages, in simulated time.

use std::time::Duration;

use proptest::prelude::*;
use siskinhook_gateway::{Feed, FeedCall, FeedSettings};

const SETTINGS: FeedSettings = FeedSettings {
    silence_limit: Duration::from_secs(4),
    call_timeout: Duration::from_millis(800),
    latest_only: false,
};
const LATEST_ONLY: FeedSettings = FeedSettings {
    latest_only: true,
    ..SETTINGS
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
fn play(settings: FeedSettings, outages: &[Outage], end: Duration) -> (Vec<Duration>, usize) {
    play_with_timeouts(settings, &[SETTINGS.call_timeout], outages, end)
}

/// As `play`, with the timeouts of the calls, which repeat.
fn play_with_timeouts(
    settings: FeedSettings,
    timeouts: &[Duration],
    outages: &[Outage],
    end: Duration,
) -> (Vec<Duration>, usize) {
    let mut feed = Feed::new(settings);
    let mut timeouts = timeouts.iter().cycle();
    let mut now = Duration::ZERO;
    let mut answers = Vec::new();
    let mut calls = 0;
    while now < end {
        calls += 1;
        let timeout = feed.call_timeout(*timeouts.next().expect("a timeout"));
        let call = feed.next_call(Duration::MAX);
        let wait = match call {
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
                match call {
                    FeedCall::ReadTable => feed.record_table(1, 1),
                    FeedCall::ReadChanges { .. } => feed.record_changes(1, None, 0),
                };
                answers.push(now);
            }
            Some(outage) => {
                now = if outage.refuses {
                    now.max(outage.start)
                } else {
                    now + wait + timeout
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
    fn store_is_heard_within_the_limit_after_every_outage(
        outages in outages(),
        latest_only in any::<bool>(),
        timeouts in prop::collection::vec(800_u64..=2_000, 1..8),
    ) {
        let timeouts: Vec<_> = timeouts.into_iter().map(Duration::from_millis).collect();
        let settings = if latest_only { LATEST_ONLY } else { SETTINGS };
        let end = outages.iter().map(|outage| outage.end).max().unwrap_or_default();
        let until = end + SETTINGS.silence_limit * 2;
        let (answers, _) = play_with_timeouts(settings, &timeouts, &outages, until);
        let first = answers.iter().find(|answered| **answered >= end);
        prop_assert!(first.is_some_and(|first| *first <= end + SETTINGS.silence_limit), "{first:?}");
    }

    /// Guards against a node that reads versions which later ones have replaced, and against one that
    /// does not reach the latest version, or reads the table when it has.
    #[test]
    fn node_that_is_behind_reads_the_latest_version(gaps in gaps()) {
        let mut feed = Feed::new(LATEST_ONLY);
        let (mut latest, mut known) = (1_u64, 0_u64);
        let mut was_superseded = false;
        for gap in gaps {
            latest += gap;
            let failures = gap % 4;
            for _ in 0..failures {
                feed.record_failure();
            }
            let call = feed.next_call(Duration::MAX);
            if was_superseded || known == 0 || failures >= 2 {
                prop_assert_eq!(call, FeedCall::ReadTable);
            }
            answer(&mut feed, call, known, latest);
            was_superseded = matches!(call, FeedCall::ReadChanges { .. })
                && superseded(known, latest) >= 2;
            known = latest;
        }
        // The versions no longer change. At most two more calls find out, without changes.
        for _ in 0..2 {
            let call = feed.next_call(Duration::MAX);
            answer(&mut feed, call, latest, latest);
        }
        let wait = SETTINGS.silence_limit.saturating_sub(SETTINGS.call_timeout * 2);
        let expected = FeedCall::ReadChanges { after: latest, wait };
        prop_assert_eq!(feed.next_call(Duration::MAX), expected);
    }
}

/// Returns the numbers of versions written between the calls of a feed.
fn gaps() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(0_u64..12, 1..40)
}

/// Returns the number of versions that later ones replace among those after `known`.
fn superseded(known: u64, latest: u64) -> usize {
    usize::try_from(latest - known)
        .expect("a few versions")
        .saturating_sub(1)
}

/// Answers a call about a table of one row, whose versions are those of the store.
fn answer(feed: &mut Feed, call: FeedCall, known: u64, latest: u64) {
    match call {
        FeedCall::ReadTable => feed.record_table(latest, latest),
        FeedCall::ReadChanges { after, .. } => {
            assert_eq!(after, known, "no change is missed");
            let newest = (latest > known).then_some(latest);
            feed.record_changes(latest, newest, superseded(known, latest))
        }
    };
}

/// Guards against a feed that reads the table for good, although versions come one at a time again.
#[test]
fn table_is_read_until_a_reading_brings_nothing_new() {
    let mut feed = Feed::new(LATEST_ONLY);
    feed.record_table(1, 1);
    feed.record_changes(3, Some(3), 1);
    assert!(!feed.is_behind(), "after two versions of a row");
    feed.record_changes(6, Some(6), 2);
    assert!(feed.is_behind(), "after several versions of a row");
    feed.record_table(7, 7);
    assert!(feed.is_behind(), "while readings bring new versions");
    // The version of the store also rises with changes of other tables.
    feed.record_table(9, 7);
    assert!(
        !feed.is_behind(),
        "after a reading that brought nothing new"
    );
    feed.record_failure();
    assert!(!feed.is_behind(), "after one failed call");
    feed.record_failure();
    assert!(feed.is_behind(), "after two failed calls");
    feed.record_table(12, 11);
    assert!(
        !feed.is_behind(),
        "after the reading that follows failed calls"
    );
    feed.record_long_answer();
    assert!(feed.is_behind(), "after an answer that was too long");
}

/// Guards against a feed that reads the table although each change of it matters.
#[test]
fn table_is_not_read_again_if_each_change_matters() {
    let mut feed = Feed::new(SETTINGS);
    feed.record_table(1, 1);
    feed.record_changes(4, Some(4), 2);
    feed.record_long_answer();
    feed.record_failure();
    feed.record_failure();
    assert!(!feed.is_behind());
}

/// Guards against a feed that calls the store more often than its limit requires.
#[test]
fn quiet_table_costs_one_call_per_wait() {
    let (_, calls) = play(SETTINGS, &[], Duration::from_mins(4));
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
    let (_, calls) = play(SETTINGS, &[outage], Duration::from_mins(1));
    assert!(calls <= 55, "{calls} calls in 60 s");
}
