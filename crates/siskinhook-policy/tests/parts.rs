//! Tests of confirmation, retries, server selection and silence detection.

use std::time::{Duration, Instant};

use rand::{SeedableRng, rngs::SmallRng};
use siskinhook_policy::{
    Candidate, Confirmation, FreshnessAnswer, Outcome, RetryBudget, RetrySettings, SelectSettings,
    SilenceSettings, SilenceWatch, choose_server,
};
use siskinhook_types::{LogPoint, Role, ServerId, ServerStatus, Term};

fn status(server: &str, term: Term, position: u64) -> ServerStatus {
    ServerStatus {
        server: server.into(),
        role: if server == "a" {
            Role::Primary
        } else {
            Role::Replica
        },
        term,
        promoter: None,
        last: LogPoint::new(term, position),
        primary: Some("a".into()),
        contact: Some(0),
        connections: 1,
        running: 0,
        active: Vec::new(),
        holder: None,
    }
}

const NO_STATEMENTS: [u64; 0] = [];

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against acknowledging a write because of a status that was requested before its commit.
#[test]
fn a_confirmation_covers_only_writes_that_ended_before_it_was_sent() {
    let start = Instant::now();
    let servers = ["a", "b", "c"].map(ServerId::from);
    let [a, b, _] = &servers;
    let mut confirmation = Confirmation::new(a.clone(), 2, &servers);
    confirmation.add_write(1, LogPoint::new(2, 10), start);
    confirmation.add_write(2, LogPoint::new(2, 11), start);
    assert_eq!(confirmation.poll(start).len(), 3);
    confirmation.add_write(3, LogPoint::new(2, 12), start + millis(1));
    assert_eq!(confirmation.on_status(b, Some(&status("b", 2, 12))), []);
    let done = confirmation.on_status(a, Some(&status("a", 2, 12)));
    assert_eq!(done, [(1, Outcome::Confirmed), (2, Outcome::Confirmed)]);
    assert!(confirmation.is_pending(3));
    assert_eq!(
        confirmation.poll(start + millis(2)).len(),
        2,
        "c was asked already"
    );
}

/// Guards against an acknowledgement after a majority has a higher term.
#[test]
fn a_raised_term_replaces_the_primary() {
    let start = Instant::now();
    let servers = ["a", "b", "c"].map(ServerId::from);
    let mut confirmation = Confirmation::new("a".into(), 2, &servers);
    confirmation.add_write(1, LogPoint::new(2, 10), start);
    confirmation.poll(start);
    assert_eq!(
        confirmation.on_status(&servers[1], Some(&status("b", 3, 10))),
        []
    );
    let done = confirmation.on_status(&servers[2], Some(&status("c", 3, 10)));
    assert_eq!(done, [(1, Outcome::Replaced)]);
    let after = confirmation.add_write(2, LogPoint::new(2, 11), start);
    assert_eq!(after, Outcome::Replaced);
}

/// Guards against a busy loop of commands to a server that refuses connections.
#[test]
fn a_failed_confirmation_is_retried_after_a_delay() {
    let start = Instant::now();
    let servers = ["a", "b", "c"].map(ServerId::from);
    let mut confirmation = Confirmation::new("a".into(), 2, &servers);
    confirmation.add_write(1, LogPoint::new(2, 10), start);
    confirmation.poll(start);
    confirmation.on_status(&servers[1], None);
    assert_eq!(confirmation.poll(start + millis(1)), []);
    let next = confirmation.next_deadline().expect("a retry is due later");
    assert_eq!(confirmation.poll(next).len(), 1);
}

/// Guards against retries that prolong an overload.
#[test]
fn retries_stay_below_a_tenth_of_the_requests() {
    let now = Instant::now();
    let settings = RetrySettings::default();
    let burst = 20;
    let mut budget = RetryBudget::new(settings, 5);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.on_request();
        for attempt in 1..4 {
            if let Some(at) = budget.try_retry(attempt, now) {
                retries += 1;
                let bound = millis(20 << (attempt - 1));
                assert!(at >= now + bound / 2 && at <= now + bound);
            }
        }
    }
    assert!((900..=1000 + burst).contains(&retries), "{retries}");
}

fn candidate(server: &str, local: bool, primary: bool, wait: u64) -> Candidate {
    Candidate {
        server: server.into(),
        local,
        primary,
        freshness: FreshnessAnswer::Fresh,
        wait: millis(wait),
        recovered: None,
    }
}

/// Counts how often each candidate is chosen in 1000 rounds.
fn count_choices(candidates: &[Candidate], now: Instant) -> Vec<u32> {
    println!("seed 9");
    let mut random = SmallRng::seed_from_u64(9);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1000 {
        let settings = SelectSettings::default();
        counts[choose_server(candidates, &settings, now, &mut random)
            .expect("there are candidates")] += 1;
    }
    counts
}

/// Guards against reads on the primary, which also serves the writes.
#[test]
fn reads_go_to_replicas_in_the_same_zone_first() {
    let now = Instant::now();
    let idle = [
        ("a", false, true, 0),
        ("b", true, false, 0),
        ("c", false, false, 0),
    ];
    let list = idle.map(|(s, local, primary, wait)| candidate(s, local, primary, wait));
    assert_eq!(count_choices(&list, now), [0, 1000, 0]);
    let mut loaded = list.clone();
    loaded[1].wait = millis(100);
    let counts = count_choices(&loaded, now);
    assert!(counts[0] == 0 && counts[2] >= 500, "{counts:?}");
    let mut behind = list;
    behind[1].freshness = FreshnessAnswer::Wait(LogPoint::new(1, 1));
    let counts = count_choices(&behind, now);
    assert!(counts[0] == 0 && counts[2] >= 500, "{counts:?}");
    assert_eq!(
        count_choices(&[candidate("a", false, true, 900)], now),
        [1000]
    );
}

/// Guards against sending the full load to a recovered replica immediately.
#[test]
fn a_returning_replica_gets_load_gradually() {
    let now = Instant::now();
    let mut list = [
        candidate("b", true, false, 0),
        candidate("c", false, false, 0),
    ];
    list[0].recovered = Some(now);
    let at = [0, 2500, 5000].map(|ms| count_choices(&list, now + millis(ms))[0]);
    assert!(at[0] < 300 && at[0] < at[1] && at[1] < at[2], "{at:?}");
    assert_eq!(at[2], 1000);
}

/// Guards against statements that wait forever on a hung connection.
#[test]
fn a_silent_connection_is_found_after_two_checks() {
    let start = Instant::now();
    let mut watch = SilenceWatch::new(SilenceSettings::default());
    watch.start(1, Some(11), start);
    assert!(!watch.poll(start + millis(900)));
    assert!(watch.poll(start + millis(1000)));
    assert_eq!(
        watch.on_answer(start + millis(1000), &[]),
        NO_STATEMENTS,
        "its answer may be on the way"
    );
    assert!(!watch.poll(start + millis(1400)));
    assert!(watch.poll(start + millis(1500)));
    assert_eq!(watch.on_answer(start + millis(1500), &[]), [1]);
    assert_eq!(watch.next_deadline(), None);
}

/// Guards against a silent connection that goes undetected while the server executes other
/// statements.
#[test]
fn a_silent_connection_is_found_beside_live_work() {
    let start = Instant::now();
    let mut watch = SilenceWatch::new(SilenceSettings::default());
    watch.start(1, Some(11), start);
    watch.start(2, Some(12), start);
    assert_eq!(
        watch.on_answer(start + millis(1000), &[12, 13]),
        NO_STATEMENTS
    );
    assert_eq!(watch.on_answer(start + millis(1500), &[12]), [1]);
    assert_eq!(watch.on_answer(start + millis(2000), &[12]), NO_STATEMENTS);
}

/// Guards against giving up slow but live statements, and those whose connection id is unknown.
#[test]
fn slow_work_is_kept() {
    let start = Instant::now();
    let mut watch = SilenceWatch::new(SilenceSettings::default());
    watch.start(1, Some(11), start);
    watch.start(2, None, start);
    for seconds in 1..60 {
        let now = start + Duration::from_secs(seconds);
        watch.poll(now);
        assert_eq!(watch.on_answer(now, &[11]), NO_STATEMENTS);
    }
    // Progress between two checks clears the suspicion of the first.
    assert_eq!(
        watch.on_answer(start + Duration::from_mins(1), &[]),
        NO_STATEMENTS
    );
    watch.progress(1, start + millis(60_300));
    assert_eq!(watch.on_answer(start + millis(60_500), &[]), NO_STATEMENTS);
}

/// Guards against giving up a slow but live statement beside short ones: the server executes only
/// the slow one when it is asked, and a short one is sent before its answer arrives.
#[test]
fn slow_work_is_kept_beside_short_statements() {
    let start = Instant::now();
    let mut watch = SilenceWatch::new(SilenceSettings::default());
    watch.start(1, Some(11), start);
    for check in 2..10 {
        let started = start + millis(check * 500);
        assert!(watch.poll(started));
        let short = 100 + check;
        watch.start(short, Some(12), started + millis(10));
        assert_eq!(
            watch.on_answer(started, &[11]),
            NO_STATEMENTS,
            "check {check}"
        );
        watch.finish(short);
    }
}
