//! Tests of nodes that are cut off from the other availability zones, on tokio's paused clock.

mod support;

use std::{rc::Rc, time::Duration};

use assert_matches::assert_matches;
use siskinhook_gateway::{Gateway, Instance, Peer, Refusal, Session, watch_isolation};
use support::{FakeDialer, World, ask, instance, node, world};
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};

/// Starts a node in zone `z`. The first `near` servers are in zone `z` (the primary is the first),
/// the others in zone `y`. The node of zone `y` responds while the third server is reachable.
fn start(world: &World, near: usize) -> Rc<Gateway<FakeDialer>> {
    let gateway = node("n1", world);
    for index in 0..3 {
        let role = world.borrow()[index].role;
        let zone = if index < near { "z" } else { "y" };
        gateway.forget(&instance(index, role).id);
        gateway.discover(Instance {
            zone: zone.into(),
            ..instance(index, role)
        });
    }
    let peer = |name: &str, zone: &str, port| Peer {
        name: name.into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], port).into(),
    };
    gateway
        .fleet
        .set_peers(vec![peer("n1", "z", 1), peer("n2", "y", 3)]);
    spawn_local(watch_isolation(gateway.clone()));
    gateway
}

fn reach(world: &World, servers: &[usize], reachable: bool) {
    for server in servers {
        world.borrow_mut()[*server].reachable = reachable;
    }
}

/// Guards against keeping callers in a zone that cannot serve them: a node that stays in the load
/// balancer's rotation, or that holds statements to their deadline.
#[tokio::test(start_paused = true)]
async fn cut_off_node_leaves_the_rotation_until_contact_is_back() {
    let test = async {
        let world = world();
        let gateway = start(&world, 0);
        sleep(Duration::from_secs(2)).await;
        assert!(gateway.is_ready(), "idle, with contact");
        reach(&world, &[0, 1, 2], false);
        sleep(Duration::from_millis(1500)).await;
        assert!(!gateway.is_ready());
        let mut session = Session::open(&gateway, "strong").expect("the route is known");
        let started = Instant::now();
        let answer = ask(&mut session, "WRITE 1 a").await;
        assert_matches!(answer.result, Err((Refusal::Busy, _)));
        assert!(started.elapsed() < Duration::from_millis(100));
        reach(&world, &[0, 1, 2], true);
        sleep(Duration::from_secs(1)).await;
        assert!(gateway.is_ready());
        let answer = ask(&mut session, "WRITE 1 a").await;
        assert!(answer.result.is_ok(), "{answer:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against all nodes leaving the rotation because servers are lost.
#[tokio::test(start_paused = true)]
async fn lost_servers_alone_are_not_isolation() {
    let test = async {
        let world = world();
        let gateway = start(&world, 0);
        reach(&world, &[0, 1], false);
        let mut session = Session::open(&gateway, "strong").expect("the route is known");
        for _ in 0..5 {
            ask(&mut session, "WRITE 1 a").await;
            assert!(gateway.is_ready());
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an acknowledged commit that only an unknown server holds: the primary is cut off
/// together with this node from all replicas that are listed, and the other zones may replace it.
#[tokio::test(start_paused = true)]
async fn commit_without_a_listed_replica_is_not_acknowledged_while_cut_off() {
    let test = async {
        let world = world();
        let gateway = start(&world, 1);
        sleep(Duration::from_secs(2)).await;
        reach(&world, &[1, 2], false);
        sleep(Duration::from_millis(1500)).await;
        assert!(gateway.is_cut_off());
        let mut session = Session::open(&gateway, "strong").expect("the route is known");
        let answer = ask(&mut session, "WRITE 1 a").await;
        assert_matches!(answer.result, Err((Refusal::Busy, _)));
        assert!(world.borrow()[0].ran.is_empty(), "the write was not sent");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a node leaving the rotation because it reaches no other node, although it reaches
/// the servers.
#[tokio::test(start_paused = true)]
async fn reachable_servers_count_as_contact() {
    let test = async {
        let world = world();
        let gateway = start(&world, 0);
        reach(&world, &[1, 2], false);
        for _ in 0..10 {
            sleep(Duration::from_millis(500)).await;
            assert!(gateway.is_ready());
        }
        let mut session = Session::open(&gateway, "strong").expect("the route is known");
        let answer = ask(&mut session, "READ 1").await;
        assert!(answer.result.is_ok(), "{answer:?}");
        // No replica could show the commit of a write, so it is not sent.
        let ran = world.borrow()[0].ran.len();
        let answer = ask(&mut session, "WRITE 1 a").await;
        assert_matches!(answer.result, Err((Refusal::Busy, _)));
        assert_eq!(world.borrow()[0].ran.len(), ran);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against holding a statement to its deadline after the node found that it is cut off.
#[tokio::test(start_paused = true)]
async fn waiting_statement_ends_when_the_node_is_found_cut_off() {
    let test = async {
        let world = world();
        let gateway = start(&world, 0);
        sleep(Duration::from_secs(1)).await;
        reach(&world, &[0, 1, 2], false);
        sleep(Duration::from_millis(100)).await;
        let mut session = Session::open(&gateway, "strong").expect("the route is known");
        let started = Instant::now();
        let answer = ask(&mut session, "READ 1").await;
        assert_matches!(answer.result, Err((Refusal::Busy, _)));
        assert!(gateway.is_cut_off(), "ended because the node is cut off");
        assert!(
            started.elapsed() < Duration::from_millis(780),
            "not at the deadline"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a zone leaving the rotation although it can commit writes by itself, and against
/// one staying in it with a primary whose writes no replica receives: the other zones replace that
/// primary.
#[tokio::test(start_paused = true)]
async fn cut_off_node_serves_groups_that_can_commit_in_its_zone() {
    let test = async {
        let world_with_primary_only = world();
        let primary_only = start(&world_with_primary_only, 1);
        reach(&world_with_primary_only, &[1, 2], false);
        let world = world();
        let gateway = start(&world, 2);
        reach(&world, &[2], false);
        sleep(Duration::from_secs(2)).await;
        assert!(primary_only.is_cut_off() && !primary_only.is_ready());
        assert!(gateway.is_cut_off());
        assert!(gateway.is_ready());
        let mut session = Session::open(&gateway, "strong").expect("the route is known");
        let answer = ask(&mut session, "WRITE 1 a").await;
        assert!(answer.result.is_ok(), "{answer:?}");
    };
    LocalSet::new().run_until(test).await;
}
