//! Tests of the pure functions that decide whether a primary may receive writes, and whether its
//! commits need evidence.

use std::time::Duration;

use proptest::prelude::*;
use siskinhook_gateway::{Contact, PendingReplacement, REPLACEMENT_LIFETIME, ReplacementChecks};
use tokio::time::Instant;

/// Returns times as milliseconds after a common start.
fn clock() -> impl Fn(u64) -> Instant {
    let start = Instant::now();
    move |millis| start + Duration::from_millis(millis)
}

/// Guards against a connection opened after a restart that counts as one to the former process.
#[test]
fn contact_does_not_outlast_a_restart() {
    let at = clock();
    let mut contact = Contact::default();
    contact.record_reply(at(0), at(500));
    assert_eq!(
        contact.running_since(at(400)),
        at(0),
        "opened before a reply"
    );
    // Nothing shows that the process was still running at 600.
    assert_eq!(contact.running_since(at(600)), at(600));
    contact.record_reply(at(600), at(700));
    assert_eq!(contact.running_since(at(650)), at(600));
    // The first connection still answers, so the process never restarted.
    contact.record_reply(at(0), at(800));
    assert_eq!(contact.running_since(at(650)), at(0));
}

/// Guards against writes at a primary that restarted after a replacement had begun.
#[test]
fn only_a_reading_after_the_start_permits_writes() {
    let at = clock();
    let pending = Some(PendingReplacement { term: 3 });
    let mut checks = ReplacementChecks::default();
    assert!(!checks.permits(at(200), at(100), 3), "nothing is known");
    checks.record(at(50), None);
    assert!(
        !checks.permits(at(200), at(100), 3),
        "read before the start"
    );
    checks.record(at(150), pending);
    assert!(
        !checks.permits(at(200), at(100), 3),
        "a replacement is pending"
    );
    assert!(
        checks.permits(at(200), at(40), 3),
        "running before the clear reading"
    );
    assert!(
        checks.permits(at(200), at(100), 4),
        "leads the term after it"
    );
    checks.record(at(160), None);
    assert!(checks.permits(at(200), at(100), 3), "given up");
    assert!(!checks.permits(at(300), at(200), 3), "restarted again");
}

/// Guards against a primary that is never written to because the row cannot be read.
#[test]
fn primary_that_outlives_all_replacements_needs_no_reading() {
    let at = clock();
    let checks = ReplacementChecks::default();
    let limit = u64::try_from(REPLACEMENT_LIFETIME.as_millis()).expect("fits");
    assert!(!checks.permits(at(limit - 1), at(0), 1));
    assert!(checks.permits(at(limit), at(0), 1));
}

/// Guards against a replica that counts as evidence because replacements ended only after it was asked.
#[test]
fn witness_counts_only_if_it_was_asked_after_all_that_began_before_it() {
    let at = clock();
    let limit = u64::try_from(REPLACEMENT_LIFETIME.as_millis()).expect("fits");
    let mut checks = ReplacementChecks::default();
    assert!(!checks.admits_witness(at(limit - 1), at(0), 1));
    assert!(checks.admits_witness(at(limit), at(0), 1));
    checks.record(at(50), None);
    assert!(
        !checks.admits_witness(at(200), at(100), 1),
        "read before it"
    );
    assert!(checks.admits_witness(at(200), at(50), 1), "read after it");
    checks.record(at(150), Some(PendingReplacement { term: 1 }));
    assert!(!checks.admits_witness(at(200), at(100), 1), "pending");
    assert!(
        checks.admits_witness(at(200), at(100), 2),
        "of a later term"
    );
    assert!(
        checks.admits_witness(at(200), at(40), 1),
        "a replacement that began after the clear reading asks it"
    );
}

proptest! {
    /// Guards against evidence from a process that a replacement paused before it restarted: the
    /// replacement begins at `begun` and may take effect until its lifetime is over.
    #[test]
    fn no_witness_started_during_a_replacement_counts_before_its_end(
        begun in 0_u64..20_000,
        started in 0_u64..40_000,
        asked in 0_u64..60_000,
        readings in prop::collection::vec(0_u64..60_000, 0..8),
    ) {
        let at = clock();
        let limit = u64::try_from(REPLACEMENT_LIFETIME.as_millis()).expect("fits");
        let is_pending = |time: u64| (begun..begun + limit).contains(&time);
        let mut checks = ReplacementChecks::default();
        for &time in readings.iter().filter(|time| **time <= asked) {
            let pending = is_pending(time).then_some(PendingReplacement { term: 1 });
            checks.record(at(time), pending);
        }
        let is_exposed = begun <= started && started <= asked && is_pending(asked);
        prop_assert!(!(is_exposed && checks.admits_witness(at(asked), at(started), 1)));
    }

    /// Guards against a span that reaches back over a restart, whatever the order in which replies
    /// of several connections are recorded.
    #[test]
    fn contact_never_reaches_back_over_a_restart(
        restarts in prop::collection::btree_set(1_u64..1000, 0..6),
        connections in prop::collection::vec((0_u64..1000, 0_u64..300), 1..20),
        probe in 0_u64..1000,
    ) {
        let at = clock();
        let last_restart = |time: u64| restarts.range(..=time).next_back().copied().unwrap_or(0);
        let mut contact = Contact::default();
        for (opened, wait) in connections {
            // A connection that was broken by a restart does not answer.
            if last_restart(opened) == last_restart(opened + wait) {
                contact.record_reply(at(opened), at(opened + wait));
            }
        }
        prop_assert!(contact.running_since(at(probe)) >= at(last_restart(probe)));
    }
}
