//! Tests of acknowledgements that must not rest on what one process happened to see, on tokio's
//! paused clock.
//!
//! The primary acknowledges a commit with any replica. A caller is told of it only if a server holds
//! it that every later replacement asks.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use siskinhook_gateway::{Refusal, Session, is_held};
use siskinhook_types::{LogPoint, Role};
use support::{ask, crash, replacement::Replacement, restart, server};
use tokio::{task::LocalSet, time::sleep};

/// Seeds of the nodes' random choices.
const SEEDS: std::ops::Range<u64> = 0..20;
/// A loss that no node takes for recent any more.
const LONG_AGO: Duration = Duration::from_secs(75);

/// Lets the listed replicas receive nothing while the nodes write, and checks that callers are told
/// of no commit that these replicas lack.
async fn check_without_receiving(replacement: &Replacement, listed: &[usize]) {
    let world = &replacement.site.world;
    for &index in listed {
        // A replica that is paused receives nothing.
        world.borrow_mut()[index].paused_term = 1;
    }
    sleep(Duration::from_secs(1)).await;
    let held = listed.iter().map(|&index| world.borrow()[index].received);
    let held = held.max().expect("a listed replica");
    let told = replacement.told.get();
    assert!(told <= held, "{told} told, the listed replicas have {held}");
    for &index in listed {
        world.borrow_mut()[index].paused_term = 0;
    }
    sleep(Duration::from_secs(1)).await;
    assert!(replacement.told.get() > held, "commits are told again");
}

/// Guards against a log that counts as evidence although it ends before the commit, or in a later term
/// in which the commit may have been rolled back, and against fewer logs than a commit needs.
#[test]
fn only_logs_of_the_same_term_that_reach_a_commit_hold_it() {
    let commit = LogPoint::new(2, 10);
    let (behind, equal, later) = (LogPoint::new(2, 9), commit, LogPoint::new(3, 12));
    assert!(!is_held(commit, 1, []), "nothing is known");
    assert!(!is_held(commit, 1, [behind, later]));
    assert!(is_held(commit, 1, [behind, equal]));
    assert!(!is_held(commit, 2, [behind, equal, later]));
    assert!(is_held(commit, 2, [equal, LogPoint::new(2, 11)]));
    assert!(is_held(commit, 0, []), "no replica is needed");
}

/// Guards against losing commits that a node passes on because it started after the entry of the only
/// server that holds them had lapsed.
#[tokio::test(start_paused = true)]
async fn restarted_node_does_not_acknowledge_a_commit_on_a_server_it_does_not_know() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                replacement.site.table.lose("members/");
                replacement.site.table.restore_empty();
                for node in &replacement.nodes {
                    node.gateway.forget(&"s2".into());
                }
                replacement.restart_nodes(&[0, 1]);
                sleep(Duration::from_millis(500)).await;
                check_without_receiving(&replacement, &[1]).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits on a server that is back without an entry after the nodes have
/// forgotten its loss.
#[tokio::test(start_paused = true)]
async fn commit_on_a_server_lost_long_ago_is_not_acknowledged() {
    for seed in SEEDS.take(4) {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                crash(&replacement.site.world, 2);
                sleep(Duration::from_millis(500)).await;
                for node in &replacement.nodes {
                    node.gateway.forget(&"s2".into());
                }
                sleep(LONG_AGO).await;
                let world = &replacement.site.world;
                world.borrow_mut().push(server(Role::Replica));
                check_without_receiving(&replacement, &[1]).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits on a server that joined while its entry cannot be read, although
/// no other server was lost.
#[tokio::test(start_paused = true)]
async fn commit_on_a_server_that_joined_unlisted_is_not_acknowledged() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                world.borrow_mut().push(server(Role::Replica));
                check_without_receiving(&replacement, &[1, 2]).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits that a node passes on because it reaches no replica that it could
/// ask.
#[tokio::test(start_paused = true)]
async fn node_that_reaches_no_replica_does_not_acknowledge_a_commit() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                for node in &replacement.nodes {
                    node.gateway.dialer.hidden.borrow_mut().extend([1, 2]);
                }
                sleep(Duration::from_secs(1)).await;
                let held = world.borrow()[1].received;
                world.borrow_mut()[1].paused_term = 1;
                world.borrow_mut()[2].paused_term = 1;
                world.borrow_mut().push(server(Role::Replica));
                sleep(Duration::from_secs(1)).await;
                let told = replacement.told.get();
                assert!(told <= held, "{told} told, the listed replicas have {held}");
                let gateway = &replacement.nodes[0].gateway;
                let mut session = Session::open(gateway, "strong").expect("the route is known");
                let answer = ask(&mut session, "WRITE 1 a").await;
                assert_matches!(answer.result, Err((Refusal::Busy, _)), "certainly not run");
            })
            .await;
    }
}

/// Guards against commits that no caller is told of although a live server has them that every
/// replacement asks, and against losing them when all nodes restart once more.
#[tokio::test(start_paused = true)]
async fn commits_rest_on_a_recorded_server_without_an_entry() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                for node in &replacement.nodes {
                    node.gateway.forget(&"s2".into());
                }
                replacement.restart_nodes(&[0, 1]);
                sleep(Duration::from_millis(500)).await;
                world.borrow_mut()[1].paused_term = 1;
                sleep(Duration::from_secs(8)).await;
                let held = world.borrow()[1].received;
                assert!(replacement.told.get() > held + 100, "commits are told");
                world.borrow_mut()[1].paused_term = 0;
                crash(&world, 0);
                for node in ["n4", "n5", "n6"] {
                    replacement.kill_node(node);
                }
                replacement.add_node_knowing("n7", &[0, 1]);
                let (chosen, _) = replacement.lose_primary().await;
                assert_eq!(chosen, 2, "the server that was ordered to lead");
                sleep(Duration::from_secs(2)).await;
                assert_eq!(replacement.site.orders.missing.get(), 0, "missing commits");
            })
            .await;
    }
}

/// Guards against a group whose commits are withheld for good, because a replacement that was given
/// up left its replicas paused.
#[tokio::test(start_paused = true)]
async fn replicas_left_paused_lead_to_a_new_replacement() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                world.borrow_mut()[1].paused_term = 2;
                world.borrow_mut()[2].paused_term = 2;
                // An unknown server lets the primary acknowledge.
                world.borrow_mut().push(server(Role::Replica));
                let told = replacement.told.get();
                sleep(Duration::from_secs(8)).await;
                assert!(replacement.told.get() > told + 10, "commits are told again");
            })
            .await;
    }
}

/// Guards against losing commits on a server whose entry lapsed before all nodes restarted: they ask
/// it in the replacement, although none of them ever read its entry.
#[tokio::test(start_paused = true)]
async fn restarted_nodes_ask_a_server_that_lost_its_entry_before() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                world.borrow_mut()[1].paused_term = 1;
                sleep(Duration::from_millis(500)).await;
                assert!(replacement.told.get() > world.borrow()[1].received);
                world.borrow_mut()[1].paused_term = 0;
                crash(&world, 0);
                replacement.restart_nodes(&[0, 1]);
                let (chosen, _) = replacement.lose_primary().await;
                assert_eq!(chosen, 2, "the server that was ordered to lead");
                sleep(Duration::from_secs(2)).await;
                assert_eq!(replacement.site.orders.missing.get(), 0, "missing commits");
            })
            .await;
    }
}

/// Guards against commits that are withheld while the table is away, although a replica that did not restart holds them.
#[tokio::test(start_paused = true)]
async fn older_replica_shows_commits_while_the_row_cannot_be_read() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                let told = replacement.told.get();
                sleep(Duration::from_secs(5)).await;
                let usual = replacement.told.get() - told;
                replacement.site.table.set_down(true);
                crash(world, 2);
                restart(world, 2);
                let told = replacement.told.get();
                sleep(Duration::from_secs(5)).await;
                let count = replacement.told.get() - told;
                assert!(
                    count * 10 >= usual * 9,
                    "{count} commits instead of {usual}"
                );
            })
            .await;
    }
}

/// Guards against commits that are withheld for good after all replicas restarted while the table is away.
#[tokio::test(start_paused = true)]
async fn restarted_replicas_show_commits_again_without_the_row() {
    for seed in SEEDS.take(4) {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                replacement.site.table.set_down(true);
                for index in [1, 2] {
                    crash(world, index);
                    restart(world, index);
                }
                sleep(Duration::from_secs(1)).await;
                let told = replacement.told.get();
                sleep(Duration::from_secs(12)).await;
                assert_eq!(
                    replacement.told.get(),
                    told,
                    "nothing shows their processes' age"
                );
                sleep(Duration::from_secs(6)).await;
                assert!(replacement.told.get() > told + 50, "commits are told again");
            })
            .await;
    }
}

/// Guards against a reading of the record by each node and group that writes, although its listed replicas answer.
#[tokio::test(start_paused = true)]
async fn first_write_of_a_healthy_group_does_not_read_the_record() {
    LocalSet::new()
        .run_until(async {
            let replacement = Replacement::start(1).await;
            sleep(Duration::from_secs(2)).await;
            assert!(replacement.told.get() > 10, "writes are answered");
            // Each of the three nodes records the servers once.
            assert_eq!(replacement.site.table.reads("members/svc"), 3);
        })
        .await;
}
