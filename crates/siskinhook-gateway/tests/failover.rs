//! Tests of failover by several nodes, on tokio's paused clock.

mod support;

use std::{collections::HashSet, time::Duration};

use siskinhook_gateway::Session;
use siskinhook_types::Role;
use support::{
    ask, instance, seeded_node,
    site::{Site, write_for},
    world,
};
use tokio::{
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Seeds of the nodes' random choices.
const SEEDS: std::ops::Range<u64> = 0..40;

/// Guards against a lost primary that is not replaced, against two promotions for one loss, and
/// against a node that does not look for the new primary while another one holds the lease.
#[tokio::test(start_paused = true)]
async fn lost_primary_is_replaced_once() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let nodes = [site.start("n1"), site.start("n2"), site.start("n3")];
                write_for(&nodes, 3).await;
                site.world.borrow_mut()[0].reachable = false;
                write_for(&nodes, 60).await;
                assert_eq!(
                    site.orders.seen.borrow().len(),
                    1,
                    "{:?}",
                    site.orders.seen.borrow()
                );
                assert_eq!(site.primaries().len(), 1);
                let mut session = Session::open(&nodes[0], "strong").unwrap();
                let answer = ask(&mut session, "WRITE 1 a").await;
                assert!(answer.result.is_ok());
            })
            .await;
    }
}

/// Guards against two lease holders that act within three seconds of each other.
#[tokio::test(start_paused = true)]
async fn lease_does_not_change_holders_within_three_seconds() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let nodes = [site.start("n1"), site.start("n2"), site.start("n3")];
                for _ in 0..4 {
                    write_for(&nodes, 5).await;
                    let primary = site.primaries()[0];
                    site.world.borrow_mut()[primary].reachable = false;
                    write_for(&nodes, 30).await;
                    let mut world = site.world.borrow_mut();
                    world[primary].reachable = true;
                    world[primary].role = Role::Replica;
                    world[primary].term = world.iter().map(|server| server.term).max().unwrap();
                }
                let seen = site.orders.seen.borrow();
                assert!(seen.len() >= 2, "{seen:?}");
                for pair in seen.windows(2) {
                    let near = pair[1].at - pair[0].at < 3000;
                    assert!(!near || pair[0].holder == pair[1].holder, "{pair:?}");
                    assert!(pair[1].token > pair[0].token, "{pair:?}");
                }
            })
            .await;
    }
}

/// Guards against a lease row that was lost when the table came back from an older copy: its token
/// was given out again, and its holder was still acting when the next one began.
#[tokio::test(start_paused = true)]
async fn restored_table_does_not_give_out_a_token_or_a_turn_again() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let nodes = [site.start("n1"), site.start("n2"), site.start("n3")];
                site.table.restore_empty();
                sleep(Duration::from_secs(5)).await;
                for _ in 0..4 {
                    write_for(&nodes, 5).await;
                    let primary = site.primaries()[0];
                    site.world.borrow_mut()[primary].reachable = false;
                    write_for(&nodes, 10).await;
                    site.table.restore_empty();
                    write_for(&nodes, 60).await;
                    let mut world = site.world.borrow_mut();
                    world[primary].reachable = true;
                    world[primary].role = Role::Replica;
                    world[primary].term = world.iter().map(|server| server.term).max().unwrap();
                }
                let seen = site.orders.seen.borrow();
                assert!(seen.len() >= 4, "{seen:?}");
                for pair in seen.windows(2) {
                    let near = pair[1].at - pair[0].at < 3000;
                    assert!(!near || pair[0].holder == pair[1].holder, "{pair:?}");
                    assert!(pair[1].token > pair[0].token, "{pair:?}");
                }
            })
            .await;
    }
}

/// Guards against a group that keeps a lost primary after a restore of the table, because the lease
/// row is dated by the clock of the former history.
#[tokio::test(start_paused = true)]
async fn lost_primary_is_replaced_after_a_restore_that_took_the_clock_back() {
    for seed in SEEDS {
        let site = Site::new(seed);
        let first_holder = async {
            let node = [site.start("n1")];
            write_for(&node, 3).await;
            site.world.borrow_mut()[0].reachable = false;
            write_for(&node, 30).await;
        };
        // The node stops with its local set.
        LocalSet::new().run_until(first_holder).await;
        assert_eq!(site.orders.seen.borrow().len(), 1, "the first loss");
        let others = async {
            let nodes = [site.start("n2"), site.start("n3")];
            let primary = site.primaries()[0];
            {
                let mut world = site.world.borrow_mut();
                world[0].role = Role::Replica;
                world[0].term = world[primary].term;
                world[0].reachable = true;
            }
            site.table.restore_with_clock_back(60_000);
            write_for(&nodes, 160).await;
            site.world.borrow_mut()[primary].reachable = false;
            write_for(&nodes, 40).await;
        };
        LocalSet::new().run_until(others).await;
        assert_eq!(site.orders.seen.borrow().len(), 2, "the second loss");
    }
}

/// Guards against the late execution of an order that got no answer: the repeated order has a
/// higher token, so the late one is refused.
#[tokio::test(start_paused = true)]
async fn unanswered_order_is_repeated_under_a_higher_token() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                site.orders.unanswered.set(2);
                let nodes = [site.start("n1")];
                write_for(&nodes, 3).await;
                site.world.borrow_mut()[0].reachable = false;
                write_for(&nodes, 40).await;
                let tokens: Vec<u64> = site.orders.seen.borrow().iter().map(|o| o.token).collect();
                assert_eq!(tokens.len(), 3);
                assert_eq!(tokens.iter().collect::<HashSet<_>>().len(), 3, "{tokens:?}");
                assert_eq!(site.primaries().len(), 1);
            })
            .await;
    }
}

/// Guards against a node that was cut off and acquires the lease with outdated knowledge: it
/// stopped servers under a term that they had already reached, and acknowledged commits were lost.
#[tokio::test(start_paused = true)]
async fn node_with_an_old_view_does_not_replace_a_live_primary() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let old = site.start("n1");
                write_for(std::slice::from_ref(&old), 3).await;
                {
                    let mut world = site.world.borrow_mut();
                    world[0].reachable = false;
                    world[1].role = Role::Primary;
                    world[1].term = 2;
                    world[1].position = 50;
                    world[1].received = 50;
                    world[2].term = 2;
                }
                write_for(std::slice::from_ref(&old), 30).await;
                assert_eq!(*site.orders.seen.borrow(), []);
                assert_eq!(site.primaries(), [1]);
                let mut session = Session::open(&old, "strong").unwrap();
                assert!(ask(&mut session, "WRITE 1 a").await.result.is_ok());
            })
            .await;
    }
}

/// Guards against a node that was cut off from all servers and replaces a live primary when the cut
/// ends, because a connect to the primary is still waiting for its timeout.
#[tokio::test(start_paused = true)]
async fn node_that_was_cut_off_does_not_replace_a_live_primary() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let node = [site.start("n1")];
                // A node just started does not replace a primary.
                write_for(&node, 160).await;
                for server in site.world.borrow_mut().iter_mut() {
                    server.reachable = false;
                    server.dial_time = Duration::from_millis(300);
                }
                write_for(&node, 30).await;
                sleep(Duration::from_millis(7 * seed)).await;
                for server in site.world.borrow_mut().iter_mut() {
                    server.reachable = true;
                }
                write_for(&node, 30).await;
                assert_eq!(*site.orders.seen.borrow(), []);
            })
            .await;
    }
}

/// Guards against a node that could not read the list of servers for some time: it replaced a live
/// primary that had started since, and commits that this one acknowledged meanwhile were lost.
#[tokio::test(start_paused = true)]
async fn node_with_an_old_list_of_servers_does_not_replace_a_live_primary() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                site.orders.delay.set(Duration::from_millis(300));
                let old = site.start_knowing("n1", &[0, 1]);
                write_for(std::slice::from_ref(&old), 3).await;
                {
                    let mut world = site.world.borrow_mut();
                    world[0].reachable = false;
                    world[1].term = 2;
                    world[2].term = 2;
                    world[2].role = Role::Primary;
                }
                let entries = [instance(1, Role::Replica), instance(2, Role::Primary)];
                site.entries.borrow_mut().extend(entries);
                let informed = site.start("n2");
                write_for(&[old.clone(), informed], 40).await;
                assert_eq!(*site.orders.seen.borrow(), []);
                assert_eq!(site.orders.missing.get(), 0, "missing commits");
                assert_eq!(site.primaries(), [2]);
                let mut session = Session::open(&old, "strong").expect("the route is known");
                assert!(ask(&mut session, "WRITE 1 a").await.result.is_ok());
            })
            .await;
    }
}

/// Guards against a promotion without the reply of a replica that may hold the only copy of an
/// acknowledged commit.
#[tokio::test(start_paused = true)]
async fn no_promotion_while_a_replica_is_unresponsive() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let nodes = [site.start("n1"), site.start("n2")];
                write_for(&nodes, 3).await;
                site.world.borrow_mut()[0].reachable = false;
                site.world.borrow_mut()[1].reachable = false;
                write_for(&nodes, 50).await;
                assert_eq!(*site.orders.seen.borrow(), []);
                site.world.borrow_mut()[1].reachable = true;
                write_for(&nodes, 80).await;
                assert_eq!(site.orders.seen.borrow().len(), 1);
            })
            .await;
    }
}

/// Guards against a promotion without the log of a replica that is reached but refuses to be paused
/// because of load; it may hold the only copy of an acknowledged commit.
#[tokio::test(start_paused = true)]
async fn no_promotion_while_a_replica_refuses_to_be_paused() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let nodes = [site.start("n1"), site.start("n2")];
                write_for(&nodes, 3).await;
                site.world.borrow_mut()[0].reachable = false;
                site.world.borrow_mut()[1].busy_controls = u32::MAX;
                write_for(&nodes, 50).await;
                assert_eq!(*site.orders.seen.borrow(), []);
                site.world.borrow_mut()[1].busy_controls = 0;
                write_for(&nodes, 80).await;
                assert_eq!(site.orders.seen.borrow().len(), 1);
            })
            .await;
    }
}

/// Guards against a draining primary that is not replaced before it stops.
#[tokio::test(start_paused = true)]
async fn draining_primary_is_replaced() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let gateway = site.start("n1");
                write_for(std::slice::from_ref(&gateway), 3).await;
                let mut leaving = instance(0, Role::Primary);
                leaving.draining = true;
                gateway.discover(leaving);
                write_for(std::slice::from_ref(&gateway), 20).await;
                assert_eq!(site.orders.seen.borrow().len(), 1);
                assert_ne!(site.primaries(), [0]);
            })
            .await;
    }
}

/// Guards against a node that takes its group for one without a primary, because the server that it
/// regarded as the primary was removed, although the entry of another server says that it leads.
#[test]
fn server_that_claims_to_lead_follows_a_removed_primary() {
    let gateway = seeded_node("n1", &world(), 1);
    gateway.discover(instance(1, Role::Primary));
    let mut restarted = instance(0, Role::Primary);
    restarted.started = 2;
    gateway.discover(restarted);
    gateway.forget(&"s0".into());
    let group = gateway.group(&"svc".into()).expect("the service is known");
    assert_eq!(group.leader_id(), Some("s1".into()));
}

/// Guards against losing commits that the primary acknowledged while its replicas were paused: a new
/// server that the nodes do not know yet receives them. The model acknowledges every commit.
#[tokio::test(start_paused = true)]
async fn commits_during_a_planned_replacement_are_not_lost() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(replace_busy_primary(seed, 2))
            .await;
    }
}

/// Guards against a promotion that does not wait for the demotion of a primary that is reached but
/// has no free slot for it; the primary acknowledged commits until the promotion took effect.
#[tokio::test(start_paused = true)]
async fn commits_on_a_primary_that_is_slow_to_be_demoted_are_not_lost() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(replace_busy_primary(seed, 20))
            .await;
    }
}

/// Replaces a primary that refuses the first control requests while callers write.
async fn replace_busy_primary(seed: u64, refusals: u32) {
    let site = Site::new(seed);
    site.orders.delay.set(Duration::from_millis(300));
    site.world.borrow_mut()[0].busy_controls = refusals;
    let nodes = [site.start("n1"), site.start("n2")];
    write_for(&nodes, 3).await;
    let mut sessions = Vec::new();
    for _ in 0..8 {
        let gateway = nodes[1].clone();
        sessions.push(spawn_local(async move {
            let mut session = Session::open(&gateway, "strong").expect("a route");
            for _ in 0..200 {
                ask(&mut session, "WRITE 1 a").await;
            }
        }));
    }
    let mut leaving = instance(0, Role::Primary);
    leaving.draining = true;
    nodes[0].discover(leaving);
    for session in sessions {
        session.await.expect("the writes end");
    }
    sleep(Duration::from_secs(1)).await;
    let orders = site.orders.seen.borrow();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(site.orders.missing.get(), 0, "missing commits");
}

/// Guards against losing commits that the primary acknowledged together with a replica that left
/// while both were cut off, over a whole failover.
#[tokio::test(start_paused = true)]
async fn no_promotion_after_a_replica_left_during_a_partition() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let nodes = [site.start("n1"), site.start("n2")];
                write_for(&nodes, 3).await;
                for lost in [0, 1] {
                    site.world.borrow_mut()[lost].reachable = false;
                }
                write_for(&nodes, 20).await;
                for gateway in &nodes {
                    gateway.forget(&"s1".into());
                }
                write_for(&nodes, 30).await;
                assert_eq!(*site.orders.seen.borrow(), []);
                site.world.borrow_mut()[0].reachable = true;
                write_for(&nodes, 30).await;
                assert_eq!(site.primaries().len(), 1);
                let mut session = Session::open(&nodes[0], "strong").expect("the route is known");
                assert!(ask(&mut session, "WRITE 1 a").await.result.is_ok());
            })
            .await;
    }
}

/// Guards against a lost primary that nobody replaces because all nodes have restarted, although the
/// record of the servers shows that none is missing.
#[tokio::test(start_paused = true)]
async fn restarted_node_replaces_the_primary_when_no_recorded_server_is_missing() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let former = site.start("n1");
                write_for(std::slice::from_ref(&former), 5).await;
                site.stop_controller("n1");
                site.world.borrow_mut()[0].reachable = false;
                let restarted = site.start("n2");
                write_for(std::slice::from_ref(&restarted), 20).await;
                assert_eq!(site.primaries().len(), 1);
            })
            .await;
    }
}

/// Guards against a restarted node that repeatedly acquires the lease although it cannot know which
/// replicas left before it started, and so keeps informed nodes from acting.
#[tokio::test(start_paused = true)]
async fn restarted_node_leaves_the_failover_to_informed_nodes() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                // Without the record of the servers, only a node that saw them is informed.
                site.table.lose("members/");
                let informed = site.start("n1");
                write_for(std::slice::from_ref(&informed), 3).await;
                site.world.borrow_mut()[0].reachable = false;
                let restarted = site.start("n2");
                write_for(std::slice::from_ref(&restarted), 20).await;
                assert_eq!(*site.orders.seen.borrow(), []);
                let highest_pause = site
                    .world
                    .borrow()
                    .iter()
                    .map(|server| server.paused_term)
                    .max();
                assert_eq!(
                    highest_pause,
                    Some(0),
                    "no server is stopped without a successor"
                );
                write_for(std::slice::from_ref(&informed), 20).await;
                let holders: Vec<String> = {
                    let seen = site.orders.seen.borrow();
                    seen.iter().map(|order| order.holder.to_string()).collect()
                };
                assert_eq!(holders, ["n1"]);
            })
            .await;
    }
}
