//! Tests of servers that restart or start during the replacement of a primary, on tokio's paused
//! clock.
//!
//! From the first pause of a replica until the promotion takes effect, the primary that is replaced
//! must not acknowledge a commit that the successor lacks.

mod support;

use std::time::Duration;

use serde_json::json;
use siskinhook_gateway::{
    Instance, Peer, REPLACEMENT_LIFETIME, Relay, RelayedRequest, Session, TargetCode,
};
use siskinhook_types::Role;
use support::{
    RELAY_PORTS, Server, ask, clock, crash, far_future, instance,
    replacement::{Node, PROMOTION_TIME, Replacement},
    restart, server,
    site::Site,
};
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};

/// Seeds of the nodes' random choices.
const SEEDS: std::ops::Range<u64> = 0..40;

/// Guards against losing commits that a restarted primary acknowledges together with a replica that
/// restarted after its pause, before the promotion takes effect.
#[tokio::test(start_paused = true)]
async fn replica_that_restarts_during_a_replacement_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                let (_, other) = replacement.lose_primary().await;
                restart(world, 0);
                sleep(Duration::from_millis(100)).await;
                crash(world, other);
                sleep(Duration::from_millis(200)).await;
                restart(world, other);
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits that a restarted primary acknowledges together with a server that
/// started after the replicas were paused.
#[tokio::test(start_paused = true)]
async fn server_that_starts_during_a_replacement_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                replacement.lose_primary().await;
                restart(world, 0);
                sleep(Duration::from_millis(200)).await;
                world.borrow_mut().push(server(Role::Replica));
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits while an order that got no answer may still be carried out, after
/// the node that sent it has stopped.
#[tokio::test(start_paused = true)]
async fn order_carried_out_after_its_sender_stopped_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let site = &replacement.site;
                site.orders.unanswered.set(u32::MAX);
                site.orders.late.set(Some(Duration::from_secs(8)));
                let (_, other) = replacement.lose_primary().await;
                let holder = site.orders.seen.borrow()[0].holder.clone();
                replacement.kill_node(&holder);
                replacement.site.orders.unanswered.set(0);
                let world = &replacement.site.world;
                crash(world, other);
                restart(world, other);
                restart(world, 0);
                sleep(Duration::from_secs(12)).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a primary that restarts before its replacement is ordered, and then gets no writes
/// because the replacement still counts as pending.
#[tokio::test(start_paused = true)]
async fn primary_that_is_not_replaced_gets_writes_again() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                crash(world, 0);
                sleep(Duration::from_millis(10 * seed)).await;
                restart(world, 0);
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a group that serves no writes because the node that replaced its primary stopped
/// before it sent an order.
#[tokio::test(start_paused = true)]
async fn replacement_is_completed_after_its_holder_stopped() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                // The replicas refuse to be paused, so no order is sent.
                for server in &mut world.borrow_mut()[1..] {
                    server.busy_controls = u32::MAX;
                }
                crash(&world, 0);
                sleep(Duration::from_millis(1200)).await;
                for name in ["n1", "n2", "n3"] {
                    replacement.kill_node(name);
                }
                replacement.add_node("n4");
                for server in &mut world.borrow_mut()[1..] {
                    server.busy_controls = 0;
                }
                restart(&world, 0);
                sleep(Duration::from_secs(8)).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a node that passes on another node's write to a primary which may be about to be
/// replaced, also as a prepared statement.
#[tokio::test(start_paused = true)]
async fn relayed_write_is_refused_at_a_primary_that_may_be_replaced() {
    LocalSet::new()
        .run_until(async {
            let site = Site::new(1);
            let gateway = site.start("n1");
            let row = json!({"holder": "n2", "process": 7, "token": 1, "written": clock(), "replaces": 1});
            site.table.put("failover/svc", row).await;
            let mut relay =
                Relay::open(&gateway, &"svc".into(), &"s0".into()).expect("every node relays");
            let batches: [(&[&str], bool); 4] = [
                (&["WRITE 1 a"], true),
                (&["RESET", "PREPARE p WRITE q"], false),
                (&["EXECUTE p 1 a"], true),
                (&["READ 1"], false),
            ];
            for (texts, is_refused) in batches {
                let request = |text: &&str| RelayedRequest {
                    id: "q".into(),
                    text: text.to_string().into(),
                };
                let requests: Vec<_> = texts.iter().map(request).collect();
                let replies = relay.forward(&requests).await.expect("a reply");
                let refused = matches!(replies[0].result, Err((TargetCode::Busy, _)));
                assert_eq!(refused, is_refused, "{texts:?}: {replies:?}");
            }
        })
        .await;
}

/// Guards against losing commits that the primary acknowledged with a live replica whose entry is
/// missing: it is cut off from the table of servers, while the other replica receives nothing.
#[tokio::test(start_paused = true)]
async fn live_replica_without_an_entry_takes_part_in_the_replacement() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                for node in &replacement.nodes {
                    node.gateway.forget(&"s2".into());
                }
                sleep(Duration::from_secs(1)).await;
                // A replica that is paused receives nothing.
                world.borrow_mut()[1].paused_term = 1;
                sleep(Duration::from_millis(500)).await;
                let (chosen, _) = replacement.lose_primary().await;
                assert_eq!(chosen, 2, "the server that was ordered to lead");
                world.borrow_mut()[1].paused_term = 0;
                sleep(PROMOTION_TIME * 2).await;
                assert_eq!(replacement.site.orders.missing.get(), 0, "missing commits");
                // The entry is back.
                for node in &replacement.nodes {
                    node.gateway.discover(instance(2, Role::Primary));
                }
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a group that stays without a primary because the promoted server has no entry, so
/// that no caller reaches it.
#[tokio::test(start_paused = true)]
async fn promoted_server_without_an_entry_is_replaced_in_turn() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                for node in &replacement.nodes {
                    node.gateway.forget(&"s2".into());
                }
                sleep(Duration::from_secs(1)).await;
                world.borrow_mut()[1].paused_term = 1;
                sleep(Duration::from_millis(500)).await;
                replacement.lose_primary().await;
                sleep(PROMOTION_TIME).await;
                // The other replica receives the log of the new primary.
                {
                    let mut world = world.borrow_mut();
                    world[1].received = world[2].received;
                }
                sleep(PROMOTION_TIME * 6).await;
                replacement.check().await;
                assert_eq!(replacement.site.primaries(), [1]);
            })
            .await;
    }
}

/// Guards against an acknowledged commit that only a server without an entry holds: a lost server is
/// back under a new id, and no node can read its entry.
#[tokio::test(start_paused = true)]
async fn commit_on_an_unknown_server_alone_is_not_acknowledged() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                crash(world, 2);
                sleep(Duration::from_millis(500)).await;
                for node in &replacement.nodes {
                    node.gateway.forget(&"s2".into());
                    // An entry that was gone for a moment replaces no lost server.
                    node.gateway.forget(&"s1".into());
                    node.gateway.discover(instance(1, Role::Replica));
                }
                world.borrow_mut().push(server(Role::Replica));
                // A replica that is paused receives nothing.
                world.borrow_mut()[1].paused_term = 1;
                sleep(Duration::from_secs(1)).await;
                let held = world.borrow()[1].received;
                let told = replacement.told.get();
                assert!(told <= held, "{told} told, the listed replica has {held}");
                world.borrow_mut()[1].paused_term = 0;
                replacement.check().await;
                assert!(replacement.told.get() > held, "commits are told again");
            })
            .await;
    }
}

/// Guards against losing commits of a primary that the replacing node does not reach, but others do:
/// it acknowledges with a server that started after the replicas were paused.
#[tokio::test(start_paused = true)]
async fn primary_that_only_other_nodes_reach_is_demoted_through_them() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                let peer = |(index, node): (u16, &Node)| Peer {
                    name: node.gateway.node.clone(),
                    zone: "z".into(),
                    address: ([127, 0, 0, 1], RELAY_PORTS + index).into(),
                };
                let peers: Vec<Peer> = (0_u16..).zip(&replacement.nodes).map(peer).collect();
                for node in &replacement.nodes {
                    node.gateway.fleet.set_peers(peers.clone());
                }
                let cut_off = &replacement.nodes[0].gateway;
                cut_off.dialer.hidden.borrow_mut().insert(0);
                let limit = Instant::now() + Duration::from_secs(5);
                while replacement.site.orders.seen.borrow().is_empty() {
                    sleep(Duration::from_millis(1)).await;
                    let is_paused = world.borrow()[1].paused_term > 0;
                    if is_paused && world.borrow().len() == 3 {
                        world.borrow_mut().push(server(Role::Replica));
                    }
                    assert!(Instant::now() < limit, "no promotion was ordered");
                }
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits of a primary that is reached, but refuses its demotion because of
/// load: it acknowledges with a server that started after the replicas were paused.
#[tokio::test(start_paused = true)]
async fn primary_that_refuses_its_demotion_is_not_replaced_without_it() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                world.borrow_mut()[0].busy_controls = 50;
                let mut leaving = instance(0, Role::Primary);
                leaving.draining = true;
                replacement.nodes[0].gateway.discover(leaving);
                let limit = Instant::now() + Duration::from_secs(8);
                while replacement.site.orders.seen.borrow().is_empty() {
                    sleep(Duration::from_millis(1)).await;
                    let is_paused = world.borrow()[1].paused_term > 0;
                    if is_paused && world.borrow().len() == 3 {
                        world.borrow_mut().push(server(Role::Replica));
                    }
                    assert!(Instant::now() < limit, "no promotion was ordered");
                }
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a lost primary that is never replaced, because an entry of another writer among
/// those of the servers names one that does not exist.
#[tokio::test(start_paused = true)]
async fn entry_without_a_server_does_not_stop_replacements() {
    for (seed, role) in SEEDS.zip([Role::Primary, Role::Replica].into_iter().cycle()) {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                world.borrow_mut().push(server(role));
                world.borrow_mut()[3].reachable = false;
                let odd = instance(3, role);
                for node in &replacement.nodes {
                    node.gateway.discover(odd.clone());
                    spawn_local(node.gateway.clone().sweep());
                }
                sleep(Duration::from_secs(20)).await;
                assert_eq!(
                    *replacement.site.orders.seen.borrow(),
                    [],
                    "nothing is lost"
                );
                replacement.lose_primary().await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a replacement that waits for the demotion of a server which no longer exists: the
/// primary restarted under a new id, and its entry under the old one says that it leads.
#[tokio::test(start_paused = true)]
async fn former_entry_of_a_restarted_primary_does_not_delay_its_replacement() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                crash(world, 0);
                world.borrow_mut()[0].id = Some("s0b".into());
                restart(world, 0);
                let restarted = Instance {
                    id: "s0b".into(),
                    started: 2,
                    ..instance(0, Role::Primary)
                };
                for node in &replacement.nodes {
                    node.gateway.discover(restarted.clone());
                }
                sleep(Duration::from_secs(1)).await;
                let leaving = Instance {
                    draining: true,
                    sequence: 2,
                    ..restarted
                };
                for node in &replacement.nodes {
                    node.gateway.discover(leaving.clone());
                }
                sleep(Duration::from_millis(1500)).await;
                assert_eq!(replacement.site.orders.seen.borrow().len(), 1);
                replacement.check().await;
            })
            .await;
    }
}

/// Lets the order of a node that stops get no answer and take effect `late` or never, and other nodes, which
/// would choose a different server, replace the lost primary meanwhile. Returns the server that was
/// ordered to lead and the other replica.
async fn stop_holder_after_order(
    replacement: &mut Replacement,
    late: Option<Duration>,
) -> (usize, usize) {
    let orders = replacement.site.orders.clone();
    orders.unanswered.set(u32::MAX);
    orders.late.set(late);
    for node in &replacement.nodes {
        // A server without an entry is not chosen while another one qualifies.
        node.gateway.forget(&"s1".into());
    }
    let (ordered, other) = replacement.lose_primary().await;
    for name in ["n1", "n2", "n3"] {
        replacement.kill_node(name);
    }
    orders.unanswered.set(0);
    for name in ["n4", "n5", "n6"] {
        replacement.add_node_knowing(name, &[0, ordered, other]);
    }
    restart(&replacement.site.world, 0);
    (ordered, other)
}

/// Guards against losing commits of a server that the late order of a stopped node promotes after another node has chosen a different one.
#[tokio::test(start_paused = true)]
async fn late_order_during_the_next_replacement_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                let late = Duration::from_millis(3500 + 40 * seed);
                let (_, other) = stop_holder_after_order(&mut replacement, Some(late)).await;
                sleep(Duration::from_millis(4300)).await;
                let until = Instant::now() + Duration::from_millis(2500);
                world.borrow_mut()[other].deaf_until = Some(until);
                sleep(Duration::from_millis(6500)).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits of a server that a late order promotes after it did not answer the node that replaces the primary.
#[tokio::test(start_paused = true)]
async fn late_order_for_a_silent_server_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                let late = Duration::from_millis(3500 + 40 * seed);
                let (ordered, other) = stop_holder_after_order(&mut replacement, Some(late)).await;
                sleep(Duration::from_secs(4)).await;
                world.borrow_mut()[ordered].unresponsive = true;
                let until = Instant::now() + Duration::from_millis(3500);
                world.borrow_mut()[other].deaf_until = Some(until);
                sleep(Duration::from_millis(1200)).await;
                world.borrow_mut()[ordered].unresponsive = false;
                sleep(Duration::from_secs(15)).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a group without a primary for good because the server of an unanswered order is lost.
#[tokio::test(start_paused = true)]
async fn unanswered_order_for_a_lost_server_does_not_stop_replacements() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                let late = Duration::from_secs(5);
                let (ordered, _) = stop_holder_after_order(&mut replacement, Some(late)).await;
                crash(&world, ordered);
                sleep(Duration::from_secs(4)).await;
                for node in &replacement.nodes {
                    node.gateway.forget(&instance(ordered, Role::Replica).id);
                }
                sleep(REPLACEMENT_LIFETIME).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits that a primary, silent while it is replaced, acknowledges with a replica that restarted after its pause.
#[tokio::test(start_paused = true)]
async fn silent_primary_with_a_restarted_replica_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let mut sessions = replacement.open_transactions("READ 1").await;
                let world = &replacement.site.world;
                let (_, other) = replacement.silence_primary().await;
                crash(world, other);
                restart(world, other);
                for session in &mut sessions {
                    ask(session, "READ 1").await;
                }
                replacement.check_told().await;
            })
            .await;
    }
}

/// Guards against losing commits that a primary, silent while it is replaced, acknowledges with a server that started after the pauses.
#[tokio::test(start_paused = true)]
async fn silent_primary_with_a_started_server_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let mut sessions = replacement.open_transactions("READ 1").await;
                replacement.silence_primary().await;
                replacement.start_server();
                for session in &mut sessions {
                    ask(session, "READ 1").await;
                }
                replacement.check_told().await;
            })
            .await;
    }
}

/// Guards against losing commits of transactions that were open at a primary while it was silent.
#[tokio::test(start_paused = true)]
async fn transaction_open_at_a_silent_primary_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let mut sessions = replacement.open_transactions("WRITE 1 a").await;
                let (_, other) = replacement.silence_primary().await;
                replacement.stop_writers();
                let world = &replacement.site.world;
                crash(world, other);
                restart(world, other);
                sleep(Duration::from_millis(300)).await;
                for session in &mut sessions {
                    let answer = ask(session, "COMMIT").await;
                    if let (Ok(_), Some(point)) = (answer.result, answer.point) {
                        replacement.commits.borrow_mut().push(point);
                    }
                }
                replacement.check_told().await;
            })
            .await;
    }
}

/// Guards against losing commits of a primary that the replacing node does not reach in time: it acknowledges with a restarted replica or a new server.
#[tokio::test(start_paused = true)]
async fn primary_cut_off_from_the_replacing_node_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                let cut_off = &replacement.nodes[0].gateway;
                cut_off.dialer.hidden.borrow_mut().insert(0);
                let (_, other) = replacement.wait_for_order(Duration::from_secs(5)).await;
                if seed % 2 == 0 {
                    crash(world, other);
                    restart(world, other);
                } else {
                    replacement.start_server();
                }
                replacement.check_told().await;
            })
            .await;
    }
}

/// Guards against a commit that rests on a relayed log of a replica which restarted during a replacement.
#[tokio::test(start_paused = true)]
async fn relay_answers_for_no_replica_that_may_have_lost_its_pause() {
    LocalSet::new()
        .run_until(async {
            let site = Site::new(1);
            let gateway = site.start("n1");
            let replaces = |term: Option<u64>, token: u64| {
                json!({"holder": "n2", "process": 7, "token": token, "written": clock(), "replaces": term})
            };
            site.table.put("failover/svc", replaces(Some(1), 1)).await;
            let mut relay =
                Relay::open(&gateway, &"svc".into(), &"s1".into()).expect("every node relays");
            let mut is_answered = async |text: &str| {
                let request = RelayedRequest {
                    id: "-".into(),
                    text: text.to_string().into(),
                };
                let replies = relay.forward(&[request]).await.expect("a reply");
                sleep(Duration::from_secs(1)).await;
                replies[0].point.is_some()
            };
            for _ in 0..2 {
                assert!(!is_answered("WITNESS ROLLBACK").await);
                assert!(!is_answered("WITNESS STATUS").await);
                assert!(is_answered("ROLLBACK").await, "the server is reached");
            }
            site.table.put("failover/svc", replaces(None, 2)).await;
            is_answered("WITNESS ROLLBACK").await;
            assert!(is_answered("WITNESS ROLLBACK").await, "it was given up");
            assert!(is_answered("WITNESS STATUS").await);
        })
        .await;
}

/// Guards against writes that are held back at a server that leads no more, although another one does.
#[tokio::test(start_paused = true)]
async fn write_held_back_at_a_former_primary_finds_the_new_one() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let gateway = site.start("n1");
                let row = json!({"holder": "n2", "process": 7, "token": 1, "written": clock(), "replaces": 1});
                site.table.put("failover/svc", row).await;
                for server in site.world.borrow_mut().iter_mut() {
                    server.term = 2;
                    server.role = Role::Replica;
                }
                site.world.borrow_mut()[1].role = Role::Primary;
                let mut session = Session::open(&gateway, "strong").expect("the route is known");
                let answer = ask(&mut session, "WRITE 1 a").await;
                assert!(answer.result.is_ok(), "{answer:?}");
            })
            .await;
    }
}

/// Guards against losing commits of a silent primary because a relayed log of a restarted replica counts as evidence.
#[tokio::test(start_paused = true)]
async fn silent_primary_behind_relaying_nodes_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                replacement.relay_statements();
                sleep(Duration::from_millis(500)).await;
                let mut sessions = replacement.open_transactions("READ 1").await;
                let world = &replacement.site.world;
                let (_, other) = replacement.silence_primary().await;
                crash(world, other);
                restart(world, other);
                for session in &mut sessions {
                    ask(session, "READ 1").await;
                }
                replacement.check_told().await;
            })
            .await;
    }
}

/// Guards against a new primary that gets no writes because the replicas' logs end in the former term until its first commit.
#[tokio::test(start_paused = true)]
async fn first_write_of_a_term_needs_no_log_of_that_term() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let site = Site::new(seed);
                let gateway = site.start("n1");
                let row = json!({"holder": "n2", "process": 7, "token": 1, "written": clock(), "replaces": 1});
                site.table.put("failover/svc", row).await;
                for server in site.world.borrow_mut().iter_mut() {
                    server.term = 2;
                    server.former_term = Some(1);
                    server.sync_replicas = 1;
                }
                let mut session = Session::open(&gateway, "strong").expect("the route is known");
                let answer = ask(&mut session, "WRITE 1 a").await;
                assert!(answer.result.is_ok(), "{answer:?}");
            })
            .await;
    }
}

/// Guards against losing commits that only the primary and one replica hold, which are both away for longer than servers usually are and then come back.
#[tokio::test(start_paused = true)]
async fn holders_that_are_away_for_long_lose_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                replacement.add_deaf_replicas().await;
                replacement.lose_holders().await;
                sleep(Duration::from_secs(13) + Duration::from_millis(600 * seed)).await;
                for index in [0, 2] {
                    replacement.return_restarted(index);
                }
                replacement.check().await;
                assert!(world.borrow().iter().any(|s| s.role == Role::Primary));
            })
            .await;
    }
}

/// Guards against losing commits on a replica that starts again under its id without its log, just before the primary is lost for some time.
#[tokio::test(start_paused = true)]
async fn replica_that_starts_again_without_its_log_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                world.borrow_mut()[1].deaf_until = Some(far_future());
                sleep(Duration::from_millis(500)).await;
                let held = world.borrow()[1].received;
                assert!(replacement.told.get() > held, "commits rest on one replica");
                crash(world, 2);
                crash(world, 0);
                world.borrow_mut()[1].deaf_until = None;
                sleep(Duration::from_millis(100 + 10 * seed)).await;
                replacement.return_without_log(2);
                sleep(Duration::from_secs(8)).await;
                restart(world, 0);
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits because a primary that starts again under its id without its log counts as the former primary, whose log has them all.
#[tokio::test(start_paused = true)]
async fn primary_that_starts_again_without_its_log_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                world.borrow_mut()[1].deaf_until = Some(far_future());
                sleep(Duration::from_millis(500)).await;
                let held = world.borrow()[1].received;
                assert!(replacement.told.get() > held, "commits rest on one replica");
                crash(world, 2);
                crash(world, 0);
                world.borrow_mut()[1].deaf_until = None;
                sleep(Duration::from_millis(100 + 10 * seed)).await;
                replacement.return_without_log(0);
                sleep(Duration::from_secs(8)).await;
                restart(world, 2);
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits on a listed server that the replacing node never reached, while other nodes let commits rest on it.
#[tokio::test(start_paused = true)]
async fn server_that_only_other_nodes_ever_reached_takes_part_in_the_replacement() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                world.borrow_mut().push(Server {
                    sync_replicas: 1,
                    ..server(Role::Replica)
                });
                // The node that reaches the server is not one of those that keep the record.
                let peer = |index: u16| Peer {
                    name: format!("p{index}").into(),
                    zone: "z".into(),
                    address: ([127, 0, 0, 1], RELAY_PORTS + index).into(),
                };
                let fleet = &replacement.nodes[0].gateway.fleet;
                fleet.set_peers((0..40).map(peer).collect());
                assert!(fleet.rank(&"svc".into()) >= Some(3), "it is no recorder");
                for (index, node) in replacement.nodes.iter().enumerate() {
                    if index > 0 {
                        node.gateway.dialer.hidden.borrow_mut().insert(3);
                    }
                    node.gateway.discover(instance(3, Role::Replica));
                    spawn_local(node.gateway.clone().sweep());
                }
                sleep(Duration::from_secs(20)).await;
                // The server has gone on reporting. Only a replacement reads such reports.
                replacement.site.entries.borrow_mut().push(Instance {
                    sequence: 16,
                    ..instance(3, Role::Replica)
                });
                for index in [1, 2] {
                    world.borrow_mut()[index].deaf_until = Some(far_future());
                }
                sleep(Duration::from_millis(500)).await;
                let held = world.borrow()[1].received;
                assert!(replacement.told.get() > held, "commits rest on one replica");
                replacement.kill_node("n1");
                crash(&world, 0);
                for index in [1, 2] {
                    world.borrow_mut()[index].deaf_until = None;
                }
                sleep(Duration::from_secs(8)).await;
                for node in &replacement.nodes {
                    node.gateway.dialer.hidden.borrow_mut().clear();
                }
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against taking the log of a server that this node last saw lead for that of the former primary, although another one led a later term.
#[tokio::test(start_paused = true)]
async fn server_that_led_an_earlier_term_does_not_count_as_the_former_primary() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                world.borrow_mut().push(Server {
                    sync_replicas: 1,
                    ..server(Role::Replica)
                });
                for node in &replacement.nodes {
                    node.gateway.discover(instance(3, Role::Replica));
                }
                let idle = replacement.site.start_knowing("n4", &[0, 1, 2, 3]);
                let (ordered, other) = replacement.lose_primary().await;
                sleep(PROMOTION_TIME * 2).await;
                world.borrow_mut()[0].role = Role::Replica;
                restart(&world, 0);
                for index in [0, 3] {
                    world.borrow_mut()[index].deaf_until = Some(far_future());
                }
                sleep(Duration::from_millis(500)).await;
                let held = world.borrow()[3].received;
                assert!(replacement.told.get() > held, "commits rest on one replica");
                for index in [ordered, other] {
                    crash(&world, index);
                    idle.forget(&instance(index, Role::Replica).id);
                }
                for name in ["n1", "n2", "n3"] {
                    replacement.kill_node(name);
                }
                let mut session = Session::open(&idle, "strong").expect("the route is known");
                ask(&mut session, "WRITE 1 a").await;
                sleep(Duration::from_secs(8)).await;
                for index in [ordered, other] {
                    restart(&world, index);
                    idle.discover(instance(index, world.borrow()[index].role));
                }
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits because the empty log of a primary that started again counts as that of the former primary when the only holder refuses its pause.
#[tokio::test(start_paused = true)]
async fn primary_without_its_log_does_not_stand_for_a_replica_that_was_not_paused() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                world.borrow_mut()[1].deaf_until = Some(far_future());
                sleep(Duration::from_millis(500)).await;
                let held = world.borrow()[1].received;
                assert!(replacement.told.get() > held, "commits rest on one replica");
                crash(world, 0);
                world.borrow_mut()[2].busy_controls = u32::MAX;
                sleep(Duration::from_millis(20 * seed)).await;
                replacement.return_without_log(0);
                world.borrow_mut()[1].deaf_until = None;
                sleep(Duration::from_secs(8)).await;
                world.borrow_mut()[2].busy_controls = 0;
                sleep(Duration::from_secs(4)).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against replacing a healthy primary because writes that other nodes relay to a replica are held back.
#[tokio::test(start_paused = true)]
async fn held_back_write_at_a_replica_is_no_reason_for_a_replacement() {
    LocalSet::new()
        .run_until(async {
            let site = Site::new(1);
            let gateway = site.start("n1");
            sleep(Duration::from_secs(1)).await;
            let row = json!({"holder": "n2", "process": 7, "token": 1, "written": clock(), "replaces": 1});
            site.table.put("failover/svc", row).await;
            let mut relay =
                Relay::open(&gateway, &"svc".into(), &"s1".into()).expect("every node relays");
            for _ in 0..80 {
                let request = RelayedRequest {
                    id: "q".into(),
                    text: "WRITE 1 a".to_string().into(),
                };
                let replies = relay.forward(&[request]).await.expect("a reply");
                let refused = matches!(replies[0].result, Err((TargetCode::Busy, _)));
                assert!(refused, "{replies:?}");
                sleep(Duration::from_millis(100)).await;
            }
            assert_eq!(*site.orders.seen.borrow(), [], "the primary is healthy");
        })
        .await;
}

/// Guards against losing commits because a store that comes back from an older copy lacks the order that takes effect during the next replacement.
#[tokio::test(start_paused = true)]
async fn late_order_that_a_restored_store_lacks_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                let late = Duration::from_millis(3500 + 40 * seed);
                let (_, other) = stop_holder_after_order(&mut replacement, Some(late)).await;
                replacement.site.table.restore_empty();
                sleep(Duration::from_millis(4300)).await;
                let until = Instant::now() + Duration::from_millis(2500);
                world.borrow_mut()[other].deaf_until = Some(until);
                sleep(REPLACEMENT_LIFETIME).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a group without a primary for good because nodes that started without a record of its servers cannot tell which ones left before.
#[tokio::test(start_paused = true)]
async fn lost_record_does_not_stop_replacements_for_good() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                replacement.site.table.lose("members/");
                replacement.site.table.restore_empty();
                crash(&replacement.site.world, 0);
                replacement.restart_nodes(&[0, 1, 2]);
                sleep(Duration::from_secs(25)).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a group without a primary for as long as an abandoned replacement counts as pending, because the nodes that started since trust no replica yet.
#[tokio::test(start_paused = true)]
async fn restarted_nodes_complete_an_abandoned_replacement() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                stop_holder_after_order(&mut replacement, None).await;
                // The lease passes on after 4.5 s, and a promotion takes a second.
                sleep(Duration::from_secs(8)).await;
                assert_eq!(replacement.site.primaries(), [2]);
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a group without a primary for good because the node that demoted the former one stopped, and others take it for a replica.
#[tokio::test(start_paused = true)]
async fn node_that_starts_later_knows_the_demoted_primary() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                let (ordered, other) = stop_holder_after_order(&mut replacement, None).await;
                crash(&world, ordered);
                sleep(Duration::from_secs(10)).await;
                assert_eq!(world.borrow()[0].role, Role::Replica, "it was demoted");
                for name in ["n4", "n5", "n6"] {
                    replacement.kill_node(name);
                }
                replacement.add_node_knowing("n7", &[0, other]);
                sleep(REPLACEMENT_LIFETIME).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a group without a primary for good because a primary that opens no transactions is taken for a replica after its demotion.
#[tokio::test(start_paused = true)]
async fn demoted_primary_is_remembered_without_a_transaction() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                world.borrow_mut()[0].busy_begins = u32::MAX;
                let (ordered, _) = stop_holder_after_order(&mut replacement, None).await;
                crash(&world, ordered);
                // No row names the primary, and the replacement has to be repeated.
                replacement.site.table.restore_empty();
                replacement.site.orders.unanswered.set(6);
                sleep(REPLACEMENT_LIFETIME * 2).await;
                world.borrow_mut()[0].busy_begins = 0;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against a lost primary that is not replaced for long because an earlier order for it, which a later one has superseded, still counts.
#[tokio::test(start_paused = true)]
async fn accepted_order_ends_the_wait_for_earlier_ones() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let replacement = Replacement::start(seed).await;
                let world = &replacement.site.world;
                replacement.site.orders.unanswered.set(1);
                let (ordered, _) = replacement.lose_primary().await;
                restart(world, 0);
                sleep(PROMOTION_TIME * 2).await;
                assert_eq!(replacement.site.primaries(), [ordered]);
                crash(world, ordered);
                sleep(Duration::from_secs(8)).await;
                replacement.check().await;
            })
            .await;
    }
}

/// Guards against losing commits on a listed server that nobody has recorded yet when its entry lapses and all nodes restart.
#[tokio::test(start_paused = true)]
async fn commits_on_a_server_that_is_not_recorded_yet_are_not_lost() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                replacement.start_server();
                sleep(Duration::from_millis(20)).await;
                for index in [1, 2] {
                    world.borrow_mut()[index].deaf_until = Some(far_future());
                }
                sleep(Duration::from_millis(5 * seed)).await;
                replacement.restart_nodes(&[0, 1, 2]);
                crash(&world, 0);
                for index in [1, 2] {
                    world.borrow_mut()[index].deaf_until = None;
                }
                sleep(Duration::from_secs(8)).await;
                replacement.check_told().await;
            })
            .await;
    }
}
