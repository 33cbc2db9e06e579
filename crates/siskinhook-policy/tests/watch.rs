//! Scenario tests of the group watch.

use std::time::{Duration, Instant};

use siskinhook_policy::{GroupConfig, GroupWatch, LeaseAnswer, WatchAction, WatchSettings};
use siskinhook_types::{Control, Freshness, LogPoint, Role, ServerId, ServerStatus, Term};

const SERVER_NAMES: [&str; 3] = ["a", "b", "c"];

fn watch(rank: u32, seed: u64, now: Instant) -> GroupWatch {
    let config = GroupConfig {
        database: "shifts".into(),
        servers: SERVER_NAMES.map(ServerId::from).to_vec(),
        leaving: Vec::new(),
        node: "node-1".into(),
        rank,
    };
    GroupWatch::new(WatchSettings::default(), config, seed, now)
}

fn status(server: &str, term: Term, contact: u64) -> ServerStatus {
    let primary = server == "a";
    ServerStatus {
        server: server.into(),
        role: if primary {
            Role::Primary
        } else {
            Role::Replica
        },
        term,
        promoter: None,
        last: LogPoint::new(term, 10),
        primary: Some("a".into()),
        contact: Some(contact),
        connections: 1,
        running: 0,
        active: Vec::new(),
        holder: None,
    }
}

/// Runs the watch for `length` in virtual time and returns all actions except probes.
///
/// `answer` returns a server's status and the delay after which it arrives, or `None` when the
/// probe gets no answer.
fn run_watch(
    watch: &mut GroupWatch,
    from: Instant,
    length: Duration,
    answer: impl Fn(&str, Duration) -> Option<(ServerStatus, Duration)>,
) -> Vec<WatchAction> {
    let step = Duration::from_millis(10);
    let mut now = from;
    let mut waiting: Vec<(Instant, Instant, ServerStatus)> = Vec::new();
    let mut commands = Vec::new();
    while now < from + length {
        let mut actions = watch.tick(now);
        let due = waiting.iter().filter(|w| w.0 <= now).cloned();
        for (_, started, status) in due.collect::<Vec<_>>() {
            actions.extend(watch.on_status(&status.server.clone(), started, status, now));
        }
        waiting.retain(|w| w.0 > now);
        for action in actions {
            match action {
                WatchAction::Probe { server, .. } => {
                    if let Some((status, delay)) = answer(&server, now - from) {
                        waiting.push((now + delay, now, status));
                    }
                }
                WatchAction::Lease { term } => {
                    commands.push(WatchAction::Lease { term });
                    commands.extend(watch.on_lease(term, LeaseAnswer::Granted, now));
                }
                other => commands.push(other),
            }
        }
        now += step;
    }
    commands
}

fn fences(actions: &[WatchAction]) -> usize {
    let fence = |a: &&WatchAction| {
        matches!(
            a,
            WatchAction::Control {
                command: Control::Fence { .. },
                ..
            }
        )
    };
    actions.iter().filter(fence).count()
}

const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Guards against a failover that never starts or takes too long to decide.
#[test]
fn a_dead_primary_is_fenced_within_two_seconds() {
    let now = Instant::now();
    let mut watch = watch(0, 1, now);
    let actions = run_watch(&mut watch, now, Duration::from_secs(4), |server, at| {
        let silent = at.saturating_sub(Duration::from_secs(2));
        let contact = u64::try_from(silent.as_millis()).unwrap();
        (server != "a" || silent.is_zero()).then(|| (status(server, 1, contact), ROUND_TRIP))
    });
    assert!(fences(&actions) >= 3, "{actions:?}");
}

/// Guards against a promotion because the primary is slow: its replicas still have contact with
/// it.
#[test]
fn a_slow_primary_is_not_replaced() {
    let now = Instant::now();
    let mut watch = watch(0, 1, now);
    let actions = run_watch(&mut watch, now, Duration::from_secs(10), |server, at| {
        let slow = server == "a" && at > Duration::from_secs(2);
        let delay = if slow {
            Duration::from_secs(3)
        } else {
            ROUND_TRIP
        };
        Some((status(server, 1, 20), delay))
    });
    assert_eq!(fences(&actions), 0, "{actions:?}");
}

/// Guards against a promotion by a node that only lost its own path to the primary.
#[test]
fn a_node_that_lost_its_path_to_the_primary_does_not_fence() {
    let now = Instant::now();
    let mut watch = watch(0, 1, now);
    let actions = run_watch(&mut watch, now, Duration::from_secs(10), |server, at| {
        (server != "a" || at < Duration::from_secs(2)).then(|| (status(server, 1, 20), ROUND_TRIP))
    });
    assert_eq!(fences(&actions), 0, "{actions:?}");
}

/// Guards against fencing by a node that reaches only one server.
#[test]
fn a_node_without_a_majority_does_not_fence() {
    let now = Instant::now();
    let mut watch = watch(0, 1, now);
    let actions = run_watch(&mut watch, now, Duration::from_secs(10), |server, at| {
        let cut = at > Duration::from_secs(2);
        (!cut || server == "b")
            .then(|| (status(server, 1, if cut { 9000 } else { 20 }), ROUND_TRIP))
    });
    assert_eq!(fences(&actions), 0, "{actions:?}");
}

/// Guards against two primaries in one term after a restart: the new process must not use a term
/// that was granted to the former process of the same node.
#[test]
fn a_restarted_node_has_another_promoter_name() {
    let now = Instant::now();
    let names = [1, 2].map(|seed| watch(0, seed, now).promoter().clone());
    assert_ne!(names[0], names[1]);
    assert!(names.iter().all(|name| name.starts_with("node-1#")));
}

/// Guards against anchors that are newer than the statuses they are based on, or that count a
/// server with another term.
#[test]
fn an_anchor_needs_a_majority_of_the_primary_term() {
    let now = Instant::now();
    let later = now + Duration::from_millis(40);
    let mut watch = watch(0, 1, now);
    let since = now + Duration::from_millis(10);
    let freshness = Freshness {
        point: None,
        since: Some(since),
    };
    watch.request_anchor(since, later);
    watch.on_status(&"a".into(), since, status("a", 2, 0), later);
    watch.on_status(&"b".into(), since, status("b", 1, 0), later);
    assert_eq!(watch.anchor(), None, "b has another term");
    watch.on_status(&"c".into(), now, status("c", 2, 0), later);
    assert_eq!(
        watch.anchor().map(|a| a.at),
        Some(now),
        "as old as the oldest request"
    );
    assert_eq!(watch.required_point(&freshness), Err(since));
    watch.on_status(&"c".into(), since, status("c", 2, 0), later);
    assert_eq!(
        watch.required_point(&freshness),
        Ok(Some(LogPoint::new(2, 10)))
    );
}

/// Guards against replicas that stay at an older term or keep following another server.
#[test]
fn diverged_servers_are_told_to_follow() {
    let now = Instant::now();
    let mut watch = watch(0, 1, now);
    let actions = run_watch(&mut watch, now, Duration::from_millis(300), |server, _| {
        let term = if server == "b" { 1 } else { 2 };
        Some((status(server, term, 20), ROUND_TRIP))
    });
    let command = Control::Follow {
        term: 2,
        server: "a".into(),
    };
    let server = "b".into();
    assert!(
        actions.contains(&WatchAction::Control { server, command }),
        "{actions:?}"
    );
}

/// Guards against a leaving primary that keeps its role, and against fencing it: it would then
/// count for the majority from which the new primary is chosen.
#[test]
fn a_leaving_primary_is_replaced() {
    let now = Instant::now();
    let mut watch = watch(0, 1, now);
    watch.set_leaving(vec!["a".into()]);
    let actions = run_watch(&mut watch, now, Duration::from_secs(2), |server, _| {
        Some((status(server, 1, 20), ROUND_TRIP))
    });
    let fenced = |name: &str| {
        actions.iter().any(|a| {
            matches!(a, WatchAction::Control { server, command: Control::Fence { .. } } if server == name)
        })
    };
    assert_eq!(
        ["a", "b", "c"].map(fenced),
        [false, true, true],
        "{actions:?}"
    );
}

/// Guards against promoting a server whose owner failed together with the primary. Writes would
/// then wait until another node owns it.
#[test]
fn an_owned_server_is_promoted_among_equal_logs() {
    for own in ["b", "c"] {
        let start = Instant::now();
        let mut watch = watch(0, 1, start);
        let answer = |server: &str, at: Duration| {
            let silent = at.saturating_sub(Duration::from_secs(2));
            let contact = u64::try_from(silent.as_millis()).unwrap();
            let mut status = status(server, 1, contact);
            status.holder = Some(if server == own { "node-1" } else { "node-2" }.into());
            (server != "a" || silent.is_zero()).then_some((status, ROUND_TRIP))
        };
        let actions = run_watch(&mut watch, start, Duration::from_secs(4), answer);
        let fence = actions.iter().rev().find_map(|a| match a {
            WatchAction::Control { command, .. } => Some(command.clone()),
            _ => None,
        });
        let Some(Control::Fence { term, promoter }) = fence.clone() else {
            panic!("{actions:?}");
        };
        let now = start + Duration::from_secs(4);
        let mut promoted = Vec::new();
        for server in ["b", "c"] {
            let mut granted = answer(server, Duration::from_secs(4)).unwrap().0;
            (granted.term, granted.promoter) = (term, Some(promoter.clone()));
            (granted.primary, granted.last) = (None, LogPoint::new(1, 10));
            let command = fence.clone().unwrap();
            let actions = watch.on_control(&server.into(), &command, Ok(granted), now, now);
            promoted.extend(actions);
        }
        promoted.extend(watch.tick(now + Duration::from_millis(60)));
        let command = Control::Promote { term, promoter };
        let server = own.into();
        assert!(
            promoted.contains(&WatchAction::Control { server, command }),
            "{promoted:?}"
        );
    }
}

/// Guards against continuous polling by a node in a partitioned zone, where a requested anchor
/// cannot be made.
#[test]
fn a_requested_anchor_without_majority_is_polled_at_intervals() {
    let start = Instant::now();
    let mut watch = watch(0, 1, start);
    let polls = std::cell::Cell::new(0);
    watch.request_anchor(start, start);
    run_watch(&mut watch, start, Duration::from_secs(2), |server, _| {
        polls.set(polls.get() + 1);
        (server == "b").then(|| (status(server, 1, 20), ROUND_TRIP))
    });
    // Three servers at the urgent interval of 100 ms.
    assert!(polls.get() <= 3 * 21, "{} polls in 2 s", polls.get());
}
