//! Tests of servers that restart or start during the replacement of a primary, on tokio's paused
//! clock.
//!
//! From the first pause of a replica until the promotion takes effect, the primary that is replaced
//! must not acknowledge a commit that the successor lacks.

mod support;

use std::time::Duration;

use serde_json::json;
use siskinhook_gateway::{Instance, Peer, Relay, RelayedRequest, Session, TargetCode};
use siskinhook_types::Role;
use support::{
    RELAY_PORTS, Server, ask, clock, crash, instance,
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
                site.orders.unanswered.set(1);
                site.orders.late.set(Some(Duration::from_secs(8)));
                let (_, other) = replacement.lose_primary().await;
                let holder = site.orders.seen.borrow()[0].holder.clone();
                replacement.kill_node(&holder);
                let world = &replacement.site.world;
                crash(world, other);
                restart(world, other);
                restart(world, 0);
                sleep(Duration::from_secs(12)).await;
                println!(
                    "{seed} {:?} missing {}",
                    replacement.site.orders.seen.borrow(),
                    replacement.site.orders.missing.get()
                );
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
                    text: (*text).into(),
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

/// Guards against losing commits of a server that the late order of a stopped node promotes after another node has chosen a different one.
#[tokio::test(start_paused = true)]
async fn late_order_during_the_next_replacement_loses_no_commits() {
    for seed in SEEDS {
        LocalSet::new()
            .run_until(async {
                let mut replacement = Replacement::start(seed).await;
                let world = replacement.site.world.clone();
                let orders = replacement.site.orders.clone();
                orders.unanswered.set(u32::MAX);
                let late = Duration::from_millis(3500 + 40 * seed);
                orders.late.set(Some(late));
                let (ordered, other) = replacement.lose_primary().await;
                for name in ["n1", "n2", "n3"] {
                    replacement.kill_node(name);
                }
                orders.unanswered.set(0);
                // Of two servers with the same log, these nodes choose the other one.
                for name in ["n4", "n5", "n6"] {
                    replacement.add_node_knowing(name, &[0, ordered, other]);
                }
                restart(&world, 0);
                sleep(Duration::from_millis(4300)).await;
                world.borrow_mut()[other].deaf = true;
                sleep(Duration::from_millis(2500)).await;
                world.borrow_mut()[other].deaf = false;
                sleep(Duration::from_secs(4)).await;
                replacement.check().await;
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
                world.borrow_mut()[1].deaf = true;
                sleep(Duration::from_millis(500)).await;
                let held = world.borrow()[1].received;
                assert!(replacement.told.get() > held, "commits rest on one replica");
                crash(world, 2);
                crash(world, 0);
                world.borrow_mut()[1].deaf = false;
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
                world.borrow_mut()[1].deaf = true;
                sleep(Duration::from_millis(500)).await;
                let held = world.borrow()[1].received;
                assert!(replacement.told.get() > held, "commits rest on one replica");
                crash(world, 2);
                crash(world, 0);
                world.borrow_mut()[1].deaf = false;
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
                for index in [1, 2] {
                    world.borrow_mut()[index].deaf = true;
                }
                sleep(Duration::from_millis(500)).await;
                let held = world.borrow()[1].received;
                assert!(replacement.told.get() > held, "commits rest on one replica");
                replacement.kill_node("n1");
                crash(&world, 0);
                for index in [1, 2] {
                    world.borrow_mut()[index].deaf = false;
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
                    world.borrow_mut()[index].deaf = true;
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
