//! Tests of ownership that moves between nodes, and of nodes that shut down.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::{sync::atomic::Ordering::Relaxed, time::Duration};

use siskinhook_engine::TransactionState;
use siskinhook_standin::Cut;
use siskinhook_types::{FailureKind, MemberState, Verdict};
use support::{Cluster, claim, claims, insert, plan, run, write_load::WriteLoad};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const NODES: [&str; 4] = ["n1", "n2", "n3", "n4"];
/// Maximum number of connections that a server accepts.
const CONNECTION_LIMIT: u64 = 16;
/// Maximum number of those connections that may carry data.
const DATA_CONNECTION_LIMIT: u64 = 12;

/// Keeps many transactions in flight, so that owners need all their connections.
fn load(cluster: &Cluster, callers: u64) -> JoinSet<Result<u64, String>> {
    let mut tasks = JoinSet::new();
    for (caller, node) in (0..callers).zip(NODES.iter().cycle()) {
        let mut session = cluster.session(node);
        tasks.spawn(async move {
            let end = Instant::now() + Duration::from_secs(7);
            let mut done = 0;
            while Instant::now() < end {
                let shift = 10_000 + caller * 1000 + done;
                run(&mut session, "BEGIN")
                    .await
                    .map_err(|f| f.to_string())?;
                let result = insert(&mut session, shift).await;
                let end = if result.is_ok() { "COMMIT" } else { "ROLLBACK" };
                run(&mut session, end).await.map_err(|f| f.to_string())?;
                done += 1;
            }
            Ok(done)
        });
    }
    tasks
}

/// Checks that all nodes together never exceeded the connection limit of a server.
fn check_limit(cluster: &Cluster) {
    let connections = &cluster.connections;
    let (max_open, data) = (
        connections.max_open.load(Relaxed),
        connections.max_data.load(Relaxed),
    );
    let refused = connections.refused.load(Relaxed);
    println!("at most {max_open} connections to a server, {data} for data, {refused} refused");
    assert!(data >= 2, "the load needed no connections");
    assert!(
        data <= DATA_CONNECTION_LIMIT,
        "{data} data connections to a server"
    );
    assert!(
        max_open <= CONNECTION_LIMIT,
        "{max_open} connections to a server"
    );
}

/// Guards against two nodes that together exceed a server's connection limit while ownership
/// moves because other nodes consider a live node dead.
#[tokio::test(start_paused = true)]
async fn moving_ownership_keeps_the_connection_limit() {
    let cluster = Cluster::start(101, plan(4)).await;
    let load = load(&cluster, 40);
    let owner = cluster.owner("claims-a");
    let others: Vec<&str> = NODES.into_iter().filter(|node| *node != owner).collect();
    for _ in 0..3 {
        sleep(Duration::from_secs(1)).await;
        cluster.set_state(&owner, MemberState::Dead, Some(&others));
        sleep(Duration::from_secs(1)).await;
        cluster.set_state(&owner, MemberState::Alive, None);
    }
    let ended = load.join_all().await;
    let served = ended.iter().filter(|result| result.is_ok()).count();
    println!("{served} of {} callers met no failure", ended.len());
    check_limit(&cluster);
}

/// Guards against a graceful move of ownership that interrupts statements or transactions.
#[tokio::test(start_paused = true)]
async fn leaving_owner_finishes_its_work() {
    let cluster = Cluster::start(102, plan(4)).await;
    let owner = cluster.owner("claims-a");
    let caller = if owner == "n2" { "n3" } else { "n2" };
    let mut transaction = cluster.session(caller);
    run(&mut transaction, "BEGIN").await.unwrap();
    insert(&mut transaction, 7).await.unwrap();
    let mut long = cluster.session(caller);
    let work = tokio::spawn(async move { run(&mut long, "SELECT work_ms(3000)").await });
    sleep(Duration::from_millis(100)).await;
    let writers = WriteLoad::start(&cluster, &[caller], false);
    cluster.set_state(&owner, MemberState::Leaving, None);
    let leaving = cluster.node(&owner);
    let deadline = (Instant::now() + Duration::from_secs(10)).into_std();
    let drained = tokio::spawn(async move { leaving.drain(deadline).await });
    sleep(Duration::from_secs(1)).await;
    insert(&mut transaction, 8).await.unwrap();
    run(&mut transaction, "COMMIT").await.unwrap();
    assert!(
        work.await.unwrap().is_ok(),
        "the long statement was cut off"
    );
    assert!(drained.await.unwrap(), "the node did not drain in time");
    assert!(writers.gap(Instant::now() - Duration::from_secs(3)) < Duration::from_secs(2));
    let written = writers.finish(&cluster).await;
    let failed = written.iter().filter(|write| write.result.is_err()).count();
    assert_eq!(failed, 0, "statements were cut off");
    assert_eq!(claims(&mut cluster.session(caller), 8).await.unwrap(), 1);
}

/// Guards against an entry node that, while draining, interrupts its callers' transactions or
/// accepts new work.
#[tokio::test(start_paused = true)]
async fn draining_entry_finishes_its_callers() {
    let cluster = Cluster::start(103, plan(4)).await;
    let mut open = cluster.session("n2");
    run(&mut open, "BEGIN").await.unwrap();
    let mut idle = cluster.session("n2");
    let node = cluster.node("n2");
    let deadline = (Instant::now() + Duration::from_secs(10)).into_std();
    let drained = tokio::spawn(async move { node.drain(deadline).await });
    sleep(Duration::from_millis(50)).await;
    let failure = claim(&mut idle, 6).await.unwrap_err();
    assert_eq!(
        (failure.verdict, failure.kind),
        (Verdict::NotRun, FailureKind::Draining)
    );
    insert(&mut open, 7).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    assert!(
        !drained.is_finished(),
        "an open transaction is work in flight"
    );
    run(&mut open, "COMMIT").await.unwrap();
    assert_eq!(open.transaction(), TransactionState::Idle);
    assert!(drained.await.unwrap());
    assert_eq!(claims(&mut cluster.session("n3"), 7).await.unwrap(), 1);
}

/// Guards against statements that stay in the queue of an owner that released its server until
/// they are refused. They have to go to the next owner immediately.
#[tokio::test(start_paused = true)]
async fn queued_statements_follow_the_server() {
    let cluster = Cluster::start(107, plan(4)).await;
    let owner = cluster.owner("claims-a");
    let end = Instant::now() + Duration::from_secs(5);
    let mut callers = JoinSet::new();
    for caller in 0..16 {
        let mut session = cluster.session(NODES[caller % NODES.len()]);
        callers.spawn(async move {
            let mut shift = 10_000 + caller as u64 * 10_000;
            while Instant::now() < end {
                shift += 1;
                insert(&mut session, shift).await?;
            }
            Ok::<_, siskinhook_types::Failure>(shift)
        });
    }
    sleep(Duration::from_secs(1)).await;
    cluster.set_state(&owner, MemberState::Leaving, None);
    sleep(Duration::from_secs(2)).await;
    assert_ne!(cluster.owner("claims-a"), owner);
    cluster.set_state(&owner, MemberState::Alive, None);
    for result in callers.join_all().await {
        result.expect("no statement fails while the server moves");
    }
}

/// Guards against a node that does not take its servers back, or interrupts work, after its drain
/// was cancelled.
#[tokio::test(start_paused = true)]
async fn resumed_node_takes_its_servers_back() {
    let cluster = Cluster::start(106, plan(4)).await;
    let owner = cluster.owner("claims-a");
    let caller = if owner == "n2" { "n3" } else { "n2" };
    let writers = WriteLoad::start(&cluster, &[caller], false);
    sleep(Duration::from_secs(1)).await;
    cluster.set_state(&owner, MemberState::Leaving, None);
    let node = cluster.node(&owner);
    assert!(
        node.drain((Instant::now() + Duration::from_secs(10)).into_std())
            .await
    );
    sleep(Duration::from_secs(2)).await;
    assert_ne!(
        cluster.owner("claims-a"),
        owner,
        "the leaving node is still owner"
    );
    node.resume();
    cluster.set_state(&owner, MemberState::Alive, None);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(cluster.owner("claims-a"), owner);
    let report = node.report();
    assert!(report.databases["claims"].servers["claims-a"].locked);
    let mut session = cluster.session(&owner);
    claim(&mut session, 6).await.unwrap();
    let written = writers.finish(&cluster).await;
    let failed = written.iter().filter(|write| write.result.is_err()).count();
    assert_eq!(failed, 0, "statements were cut off");
}

/// Guards against sending new work to a target that is leaving.
#[tokio::test(start_paused = true)]
async fn leaving_target_gets_no_new_work() {
    let cluster = Cluster::start(104, plan(4)).await;
    cluster.edit_catalogue(|catalogue| {
        let entry = catalogue.entries.values_mut().next().unwrap();
        for server in &mut entry.databases["claims"].servers {
            server.leaving = server.name == "claims-a";
        }
    });
    // Allows for the required time limit after which a leaving target gets no new work, and for a
    // failover of its primary.
    sleep(Duration::from_secs(3)).await;
    assert_ne!(
        cluster.primary(),
        "claims-a",
        "the leaving primary was not replaced"
    );
    let server = cluster.site.server("claims-a").unwrap().clone();
    let watch = tokio::spawn(async move {
        for _ in 0..500 {
            assert_eq!(server.status().running, 0, "the leaving server got work");
            sleep(Duration::from_millis(1)).await;
        }
    });
    for node in NODES {
        let mut session = cluster.session(node);
        for _ in 0..10 {
            assert_eq!(claims(&mut session, 90).await.unwrap(), 1);
        }
    }
    watch.await.unwrap();
}

/// Guards against a node that continues as owner after a pause, although another node has taken
/// over.
#[tokio::test(start_paused = true)]
async fn paused_owner_releases_its_servers() {
    let cluster = Cluster::start(105, plan(4)).await;
    let owner = cluster.owner("claims-a");
    let others: Vec<&str> = NODES.into_iter().filter(|node| *node != owner).collect();
    let writers = WriteLoad::start(&cluster, &NODES, false);
    sleep(Duration::from_secs(1)).await;
    cluster.cut(Cut::Name(owner.clone()));
    sleep(Duration::from_secs(1)).await;
    cluster.set_state(&owner, MemberState::Dead, Some(&others));
    sleep(Duration::from_secs(3)).await;
    // The node returns and does not know yet that the others consider it dead.
    cluster.heal(&Cut::Name(owner.clone()));
    sleep(Duration::from_secs(1)).await;
    cluster.set_state(&owner, MemberState::Alive, None);
    sleep(Duration::from_secs(2)).await;
    writers.finish(&cluster).await;
    check_limit(&cluster);
}
