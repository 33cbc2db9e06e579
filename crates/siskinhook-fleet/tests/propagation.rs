//! Tests of the propagation state machine with single events.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use siskinhook_fleet::{CatalogueUpdate, FleetSettings, PeerMessage, Propagation, SyncRequest};
use siskinhook_types::{Catalogue, Change};

fn change(revision: u64) -> Change {
    Change {
        revision,
        edit: format!("edit-{revision}").into(),
        service: "service".into(),
        entry: None,
    }
}

/// Returns a node with the empty catalogue in force and no pending requests.
fn ready(now: Instant) -> Propagation {
    let mut node = Propagation::new(FleetSettings::default(), 1, now);
    node.tick(now);
    assert_eq!(node.take_requests(), [SyncRequest::Read { after: None }]);
    let update = CatalogueUpdate {
        snapshot: Some(Catalogue::default()),
        changes: Vec::new(),
    };
    node.read_completed(now, Ok(update));
    node
}

/// Guards against gaps, duplicates and outdated messages that change the catalogue in force.
#[test]
fn only_the_next_revision_is_applied() {
    let now = Instant::now();
    let mut node = ready(now);
    node.receive_changes(now, [change(3), change(2)]);
    assert_eq!(node.revision(), Some(0));
    node.receive_changes(now, [change(1)]);
    assert_eq!(node.revision(), Some(3));
    let pushed = vec![change(1), change(2), change(3)];
    assert_eq!(node.take_requests(), [SyncRequest::Push(pushed)]);
    node.receive_changes(now, [change(2), change(1)]);
    node.pull_completed(
        now,
        &"b".into(),
        Some(PeerMessage::Snapshot(Catalogue::default())),
    );
    node.read_completed(
        now,
        Ok(CatalogueUpdate {
            snapshot: Some(Catalogue::default()),
            changes: vec![change(1)],
        }),
    );
    assert_eq!(node.revision(), Some(3));
    assert_eq!(node.take_requests(), []);
}

/// Guards against a lost pull that delays a change for seconds: the platform has to be read within
/// a second. Found by `changes_and_deaths_spread_quickly_under_loss`.
#[test]
fn failed_pull_schedules_a_platform_read() {
    let mut now = Instant::now();
    let mut node = ready(now);
    node.observe_revision(now, &"b".into(), Some(1));
    now += FleetSettings::default().pull_delay;
    node.tick(now);
    let pull = SyncRequest::Pull {
        peer: "b".into(),
        after: Some(0),
    };
    assert_eq!(node.take_requests(), [pull]);
    node.pull_completed(now, &"b".into(), None);
    now += Duration::from_secs(1);
    node.tick(now);
    assert_eq!(node.take_requests(), [SyncRequest::Read { after: Some(0) }]);
}

/// Guards against retries during an outage that are synchronized between nodes, or that do not back
/// off and overload the platform.
#[test]
fn failed_reads_back_off_with_jitter() {
    let limit = FleetSettings::default().backoff_limit;
    let start = Instant::now();
    let waits = |seed| {
        let mut now = start;
        let mut node = Propagation::new(FleetSettings::default(), seed, now);
        let mut waits = Vec::new();
        for _ in 0..20 {
            let at = node.deadline().unwrap();
            waits.push(at - now);
            now = at;
            node.tick(now);
            assert_matches!(
                node.take_requests()[..],
                [SyncRequest::Read { after: None }]
            );
            node.read_completed(now, Err("down".into()));
        }
        waits
    };
    let (a, b) = (waits(1), waits(2));
    assert_ne!(a, b);
    assert!(a.iter().all(|wait| *wait <= limit));
    let late: Duration = a[10..].iter().sum();
    assert!(late > limit * 2, "ten late retries took {late:?} together");
}

/// Guards against an answer to a pull whose changes do not directly follow the requested
/// revision.
#[test]
fn pulls_are_answered_without_a_gap() {
    let now = Instant::now();
    let mut node = Propagation::new(FleetSettings::default(), 1, now);
    assert_eq!(node.answer_pull(None), None);
    let snapshot = Catalogue {
        revision: 100,
        ..Catalogue::default()
    };
    node.read_completed(
        now,
        Ok(CatalogueUpdate {
            snapshot: Some(snapshot),
            changes: vec![change(101), change(102)],
        }),
    );
    assert_eq!(
        node.answer_pull(Some(100)),
        Some(PeerMessage::Changes(vec![change(101), change(102)]))
    );
    assert_eq!(
        node.answer_pull(Some(101)),
        Some(PeerMessage::Changes(vec![change(102)]))
    );
    assert_eq!(
        node.answer_pull(Some(102)),
        Some(PeerMessage::Changes(Vec::new()))
    );
    for after in [None, Some(99)] {
        assert_matches!(
            node.answer_pull(after),
            Some(PeerMessage::Snapshot(c)) if c.revision == 102
        );
    }
}
