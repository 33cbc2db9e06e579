//! Read-after-write consistency of a caller, on one node and across nodes.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use siskinhook_standin::Cut;
use siskinhook_types::{FailureKind, Statement, Verdict};
use support::{Cluster, claim, claims, plan, run};
use tokio::time::{Instant, sleep};

const NODES: [&str; 4] = ["n1", "n2", "n3", "n4"];

/// Makes one replica lag while the other confirms writes immediately. With equal lag, a write would
/// be on all replicas when it is acknowledged, and no read could miss it.
fn lag_one_replica(cluster: &Cluster, milliseconds: u64) {
    let lagging = cluster.site.server("claims-c").unwrap();
    lagging.set_lag(Duration::from_millis(milliseconds));
}

/// Guards against a request path that does not work at all.
#[tokio::test(start_paused = true)]
async fn write_and_read_on_one_node() {
    let cluster = Cluster::start(1, plan(1)).await;
    let mut session = cluster.session("n1");
    let token = claim(&mut session, 1).await.unwrap();
    assert_eq!(token.database, "claims");
    assert_eq!(claims(&mut session, 1).await.unwrap(), 1);
}

/// Guards against a read on a replica that lags behind the caller's own write, on the node that
/// handled the write and on any other.
#[tokio::test(start_paused = true)]
async fn token_carries_writes_to_other_nodes() {
    let cluster = Cluster::start(2, plan(4)).await;
    lag_one_replica(&cluster, 3000);
    for (number, writer) in NODES.iter().enumerate() {
        let shift = number as u64 + 1;
        let token = claim(&mut cluster.session(writer), shift).await.unwrap();
        for reader in NODES {
            let mut session = cluster.session(reader);
            session.options_mut().token = Some(token.clone());
            assert_eq!(
                claims(&mut session, shift).await.unwrap(),
                1,
                "{writer} to {reader}"
            );
        }
    }
}

/// Guards against a session that resumes without a token and misses its earlier writes.
#[tokio::test(start_paused = true)]
async fn session_without_token_sees_earlier_writes() {
    let cluster = Cluster::start(3, plan(4)).await;
    lag_one_replica(&cluster, 3000);
    for (number, writer) in NODES.iter().enumerate() {
        let shift = number as u64 + 1;
        claim(&mut cluster.session(writer), shift).await.unwrap();
        for reader in NODES {
            let mut session = cluster.session(reader);
            session.options_mut().session = "till-7".into();
            assert_eq!(
                claims(&mut session, shift).await.unwrap(),
                1,
                "{writer} to {reader}"
            );
        }
    }
}

/// Guards against a read-only transaction on data older than the caller's own write.
#[tokio::test(start_paused = true)]
async fn read_only_transaction_sees_own_writes() {
    let cluster = Cluster::start(4, plan(4)).await;
    lag_one_replica(&cluster, 1000);
    let mut session = cluster.session("n2");
    claim(&mut session, 1).await.unwrap();
    run(&mut session, "BEGIN READ ONLY").await.unwrap();
    assert_eq!(claims(&mut session, 1).await.unwrap(), 1);
    run(&mut session, "COMMIT").await.unwrap();
}

/// Guards against a token of another database that is accepted for this one.
#[tokio::test(start_paused = true)]
async fn token_of_another_database_is_refused() {
    let cluster = Cluster::start(5, plan(1)).await;
    let mut session = cluster.session("n1");
    session.options_mut().token = Some("payroll:1:1".parse().unwrap());
    let failure = claims(&mut session, 1).await.unwrap_err();
    assert_eq!(
        (failure.verdict, failure.code.as_str()),
        (Verdict::NotRun, "22023")
    );
}

/// Guards against a read that returns data older than its maximum age: a value written before that
/// must be visible.
#[tokio::test(start_paused = true)]
async fn bounded_reads_are_never_older() {
    let cluster = Cluster::start(6, plan(4)).await;
    lag_one_replica(&cluster, 900);
    let mut writer = cluster.session("n1");
    let mut written: Vec<(Instant, u64)> = Vec::new();
    let bound = Duration::from_millis(400);
    for (shift, reader) in (1..60).zip(NODES.into_iter().cycle()) {
        claim(&mut writer, shift).await.unwrap();
        written.push((Instant::now(), shift));
        let mut session = cluster.session(reader);
        session.options_mut().max_age = Some(bound);
        let old = written.iter().filter(|(at, _)| at.elapsed() >= bound);
        let expected = old.map(|(_, shift)| *shift).max().unwrap_or(0);
        let sql = "SELECT max(shift_id) FROM claims WHERE shift_id < 90";
        let (rows, _) = run(&mut session, sql).await.unwrap();
        let seen: u64 = rows[0][0].parse().unwrap_or(0);
        assert!(seen >= expected, "{reader} saw {seen}, must see {expected}");
        sleep(Duration::from_millis(37)).await;
    }
    let (replica, primary) = (
        cluster.total(|c| c.replica_reads),
        cluster.total(|c| c.primary_reads),
    );
    assert!(
        replica > primary,
        "{replica} reads on replicas, {primary} on the primary"
    );
}

/// Guards against stale data in an isolated zone: reads succeed while the latest anchor is recent
/// enough and then fail as not run.
#[tokio::test(start_paused = true)]
async fn bounded_reads_in_an_isolated_zone_fail() {
    let cluster = Cluster::start(7, plan(4)).await;
    let node = cluster
        .site
        .nodes()
        .iter()
        .find(|n| n.name == "n2")
        .unwrap()
        .clone();
    let bound = Duration::from_secs(1);
    let mut session = cluster.session("n2");
    session.options_mut().max_age = Some(bound);
    session.options_mut().deadline = Some(Duration::from_secs(1));
    // Groups in use are polled often enough for the maximum age.
    for _ in 0..20 {
        assert_eq!(claims(&mut session, 90).await.unwrap(), 1);
        sleep(Duration::from_millis(50)).await;
    }
    cluster.cut(Cut::Zone(node.zone.clone()));
    let cut = Instant::now();
    let mut served = 0;
    let mut refused = 0;
    while cut.elapsed() < Duration::from_secs(4) {
        let sent = Instant::now();
        match claims(&mut session, 90).await {
            Ok(_) => {
                assert!(sent - cut <= bound, "served {:?} after the cut", sent - cut);
                served += 1;
            }
            Err(failure) => {
                assert_eq!(failure.verdict, Verdict::NotRun, "{failure}");
                println!("{:?} {failure}", sent - cut);
                refused += 1;
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(
        served > 3,
        "the zone served {served} reads although its anchor was new"
    );
    assert!(refused > 0);
}

/// Guards against a read that ignores the log position of its token or waits for it forever.
#[tokio::test(start_paused = true)]
async fn unreachable_token_position_is_not_run() {
    let cluster = Cluster::start(8, plan(4)).await;
    let mut session = cluster.session("n3");
    session.options_mut().token = Some("claims:1:1000".parse().unwrap());
    session.options_mut().deadline = Some(Duration::from_millis(700));
    let result = session.execute(Statement::simple("SELECT 1")).await;
    let failure = result.err().unwrap();
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert!(
        matches!(failure.kind, FailureKind::NotFresh | FailureKind::Deadline),
        "{failure:?}"
    );
}
