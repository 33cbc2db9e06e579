//! Catalogue edits during faults, and nodes that start while the platform is down.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use siskinhook_demo::Demo;
use siskinhook_operator::{NodeState, OperatorApiClient};
use siskinhook_standin::{Cut, Fault, NodeFault, PlatformState};
use siskinhook_types::Revision;
use support::{
    connect, edit, eventually, node_index, operator_client, query_value, start, try_connect,
};

/// Polls the revisions of all nodes until `stop` is set and checks that none goes back. Returns
/// the last revision seen on each node.
async fn watch_revisions(demo: Arc<Demo>, stop: Arc<AtomicBool>) -> Vec<Revision> {
    let mut seen = vec![0; demo.summary().nodes.len()];
    while !stop.load(Ordering::Relaxed) {
        for (node, seen) in seen.iter_mut().enumerate() {
            let answer_timeout = std::time::Duration::from_millis(200);
            let client = operator_client(&demo, node);
            // A paused or killed node does not answer.
            let Ok(Ok(answer)) = tokio::time::timeout(answer_timeout, client.status()).await else {
                continue;
            };
            let revision = answer.value.revision;
            assert!(revision >= *seen, "n{} went back to {revision}", node + 1);
            *seen = revision;
        }
    }
    seen
}

/// Waits until a revision and the deadline that it set are in force on the given nodes.
async fn wait_in_force(demo: &Demo, nodes: &[usize], revision: Revision, deadline: u64) {
    for node in nodes {
        let client = operator_client(demo, *node);
        let what = format!("revision {revision} on n{}", node + 1);
        eventually(&what, async || {
            client.catalogue().await.is_ok_and(|answer| {
                let catalogue = answer.value;
                let mut entries = catalogue.entries.values();
                catalogue.revision == revision
                    && entries.all(|entry| entry.limits.deadline == deadline)
            })
        })
        .await;
    }
}

/// Guards against an accepted edit that does not reach a node, or that a node reverts, while one
/// node is paused, one is killed and a zone is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn edits_come_into_force_and_stay() {
    let demo = Arc::new(start().await);
    let fault = |fault| demo.site().apply(&fault).unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = tokio::spawn(watch_revisions(Arc::clone(&demo), Arc::clone(&stop)));
    let all: Vec<usize> = (0..demo.summary().nodes.len()).collect();
    let first = edit(&demo, 0, "first", |entry| entry.limits.deadline = 6001).await;
    wait_in_force(&demo, &all, first, 6001).await;

    // n1, n4 and n7 are in the first zone; n2, n5 and n8 are in the second.
    let zone = demo.summary().nodes[1].zone.clone();
    fault(Fault::Node(NodeFault::Pause("n4".into())));
    fault(Fault::Node(NodeFault::Kill("n7".into())));
    fault(Fault::Cut(Cut::Zone(zone.clone())));
    let second = edit(&demo, 0, "second", |entry| entry.limits.deadline = 6002).await;
    wait_in_force(&demo, &[0, 2, 5], second, 6002).await;
    let third = edit(&demo, 2, "third", |entry| entry.limits.deadline = 6003).await;
    wait_in_force(&demo, &[0, 2, 5], third, 6003).await;
    for cut_off in [1, 4, 7] {
        let status = operator_client(&demo, cut_off)
            .status()
            .await
            .unwrap()
            .value;
        assert_eq!(status.revision, first, "the zone is not cut off");
    }
    fault(Fault::Node(NodeFault::Resume("n4".into())));
    fault(Fault::Heal {
        cut: Cut::Zone(zone),
        silent: false,
    });
    let live: Vec<usize> = all.into_iter().filter(|node| *node != 6).collect();
    wait_in_force(&demo, &live, third, 6003).await;
    stop.store(true, Ordering::Relaxed);
    let seen = watcher.await.unwrap();
    println!("revisions seen last: {seen:?}");
}

/// Guards against nodes that do not report why they cannot serve, or that never recover, after
/// all of them restart while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn restart_without_the_platform() {
    let demo = start().await;
    let down = Fault::Platform(PlatformState::Down);
    demo.site().apply(&down).unwrap();
    let nodes = demo.summary().nodes.clone();
    let restarts = nodes.iter().map(|node| demo.restart(&node.name));
    for restarted in futures::future::join_all(restarts).await {
        restarted.unwrap();
    }
    for node in &nodes {
        let node_index = node_index(&demo, &node.name);
        let client = operator_client(&demo, node_index);
        let reported = async || {
            let state = client.status().await.ok()?.value.state;
            match state {
                NodeState::Waiting(reason) => Some(reason),
                _ => None,
            }
        };
        eventually("the node reports what it waits for", async || {
            reported().await.is_some_and(|reason| !reason.is_empty())
        })
        .await;
        let refused = try_connect(&demo, node_index, "shifts", "")
            .await
            .err()
            .unwrap();
        let refused = refused.as_db_error().expect("an error of the node");
        assert_eq!(refused.code().code(), "57P03");
        println!("{}: {}", node.name, refused.message());
        assert!(refused.message().contains("the node cannot serve yet: "));
    }
    let up = Fault::Platform(PlatformState::Up);
    demo.site().apply(&up).unwrap();
    for node_index in 0..nodes.len() {
        eventually("the node serves again", async || {
            try_connect(&demo, node_index, "shifts", "").await.is_ok()
        })
        .await;
        let caller = connect(&demo, node_index, "shifts", "").await;
        assert_eq!(
            query_value(&caller, "SELECT count(*) FROM shifts").await,
            "4"
        );
    }
}
